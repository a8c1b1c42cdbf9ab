"""Calls that may run once: who may run a key is decided by the order of the log."""

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
"""How long a key is remembered; it must be well under the log's retention."""


def claim_key(org: OrgId, service: ServiceId, key: str) -> str:
    """Return the digest under which a caller's key is claimed."""
    return digest([org, service, key])[:32]


def fold_claims(table: ClaimTable, record: LogRecord) -> tuple[Release, ...]:
    """Fold one record; return releases that this box owes the log.

    A box that gave up on a claim whose append had no answer owes a release once that
    claim shows up as a winner after all.
    """
    if record.offset < table.next_offset:
        return ()
    table.next_offset = Offset(record.offset + 1)
    match decode_record(record.data):
        case Ok(Claims() as claims):
            pass
        case _:
            return ()
    _expire(table, record.at)
    for release in claims.releases:
        won = table.won.get(release.key)
        if won is not None and won.claim.request == release.request:
            del table.won[release.key]
    owed = []
    for claim in claims.claims:
        if claim.key in table.won:
            continue
        table.won[claim.key] = WonClaim(claim, record.at)
        own = table.own.get(claim.request)
        if own is not None and own.state is CallState.GIVEN_UP:
            owed.append(Release(claim.key, claim.request))
    return tuple(owed)


def winner(table: ClaimTable, key: str) -> Claim | None:
    """Return the claim that holds `key`, None if it is free."""
    won = table.won.get(key)
    return won.claim if won is not None else None


def start_at(table: ClaimTable, first: Offset) -> None:
    """Go on from the first record that the log holds.

    Records that the log dropped are older than the lifetime of a key, so nothing that
    still counts is skipped.
    """
    table.next_offset = max(table.next_offset, first)


def forget_own(table: ClaimTable, keep: int) -> None:
    """Keep this box's newest `keep` calls that are over."""
    over = [
        request
        for request, call in table.own.items()
        if call.state in (CallState.DONE, CallState.GIVEN_UP)
    ]
    for request in over[: max(0, len(over) - keep)]:
        del table.own[request]


def may_send(table: ClaimTable, key: str, request: RequestId) -> bool:
    """Tell whether `request` holds `key` and was not sent or given up."""
    own = table.own.get(request)
    held = winner(table, key)
    return (
        own is not None
        and own.key == key
        and own.state is CallState.CLAIMED
        and held is not None
        and held.request == request
    )


def _expire(table: ClaimTable, now: Millis) -> None:
    while table.won:
        key, won = next(iter(table.won.items()))
        if now - won.at < KEY_LIFETIME_MS:
            return
        del table.won[key]
        table.own.pop(won.claim.request, None)
