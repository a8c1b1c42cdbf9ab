"""Claims of idempotency keys, for calls that may be sent at most once.

The first claim of a key on the log wins, and only its request may send the call. This
module works on tables of the daemon ``spanshuntd``.
"""

from result import Ok

from ..ids import Millis
from ..ids import Offset
from ..ids import OrgId
from ..ids import RequestId
from ..ids import ServiceId
from ..records import Claim
from ..records import Claims
from ..records import LogRecord
from ..records import Release
from ..records import decode_record
from ..tables.claims import CallState
from ..tables.claims import ClaimTable
from ..tables.claims import WonClaim
from ..utils import digest

KEY_LIFETIME_MS = 15 * 60 * 1000
"""How long a key is remembered, in ms; it must be well below the log's retention."""


def claim_key(org: OrgId, service: ServiceId, key: str) -> str:
    """Return the digest under which a caller's key is claimed."""
    return digest([org, service, key])[:32]


def fold_claims(table: ClaimTable, record: LogRecord) -> tuple[Release, ...]:
    """Fold one record and return the releases that this box must append to the log.

    A box gives up a call if it can't read its claim back from the log in time, and
    tells the caller that the call did not run. If the log has the claim after all and
    the claim wins, the box must release it, so that the key is free again.
    """
    if record.offset < table.next_offset:
        return ()
    table.next_offset = Offset(record.offset + 1)
    match decode_record(record.data):
        case Ok(Claims() as claims):
            pass
        case _:
            return ()
    _drop_expired(table, record.at)
    for release in claims.releases:
        won = table.won.get(release.key)
        if won is not None and won.claim.request == release.request:
            del table.won[release.key]
    due = []
    for claim in claims.claims:
        if claim.key in table.won:
            continue
        table.won[claim.key] = WonClaim(claim, record.at)
        own = table.own.get(claim.request)
        if own is not None and own.state is CallState.GIVEN_UP:
            due.append(Release(claim.key, claim.request))
    return tuple(due)


def winning_claim(table: ClaimTable, key: str) -> Claim | None:
    """Return the claim that holds `key`, or None if the key is free."""
    won = table.won.get(key)
    return won.claim if won is not None else None


def skip_trimmed_records(table: ClaimTable, first: Offset) -> None:
    """Skip the records before `first`, the first one that the log holds.

    Records that the log dropped are older than the lifetime of a key, so no claim that
    still counts is skipped.
    """
    table.next_offset = max(table.next_offset, first)


def drop_finished_calls(table: ClaimTable, keep: int) -> None:
    """Drop this box's finished calls except for the newest `keep`."""
    finished = [
        request
        for request, call in table.own.items()
        if call.state in (CallState.DONE, CallState.GIVEN_UP)
    ]
    for request in finished[: max(0, len(finished) - keep)]:
        del table.own[request]


def may_send(table: ClaimTable, key: str, request: RequestId) -> bool:
    """Return whether `request` holds `key`, with its call neither sent nor given up."""
    own = table.own.get(request)
    held = winning_claim(table, key)
    return (
        own is not None
        and own.key == key
        and own.state is CallState.CLAIMED
        and held is not None
        and held.request == request
    )


def _drop_expired(table: ClaimTable, now: Millis) -> None:
    while table.won:
        key, won = next(iter(table.won.items()))
        if now - won.at < KEY_LIFETIME_MS:
            return
        del table.won[key]
        table.own.pop(won.claim.request, None)
