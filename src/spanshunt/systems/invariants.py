"""Invariants of the program, asserted where they take effect.

Each check raises an error if its invariant is about to be broken. What is checked of
one request ends that request, which is logged and counted, and no other. If what all
requests share is broken, the process hands its journal, the bills that are not on the
log yet, to peers and stops. Neither sends a wrong answer. ``docs/PROMISES.md`` lists
the invariants.

The tables here are those of the daemon ``spanshuntd``.
"""

import collections

from ..exceptions import InvariantError
from ..exceptions import RequestInvariantError
from ..ids import Incarnation
from ..ids import Millis
from ..ids import Offset
from ..ids import OrgId
from ..ids import RequestId
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..records import BillEntry
from ..tables.claims import ClaimTable
from ..tables.config import Config
from ..tables.config import VersionState
from ..tables.workers import Workers
from .claiming import may_send

ALLOWED = "allowed-version"
"""A request goes only to a version or service that its organisation may use."""

WITHDRAWN = "withdrawn-version"
"""A version gets requests only while it is entering or active."""

SESSION = "session-version"
"""A session changes its version only if that was withdrawn or is no longer allowed."""

LEAVING = "leaving-worker"
"""A leaving worker gets no new requests."""

ONE_BILL = "one-bill"
"""A box bills a request once."""

AT_MOST_ONCE = "at-most-once"
"""A call that may not be repeated is sent once, by the request that holds its key."""

NEVER_REVERTS = "configuration-never-reverts"
"""An older configuration never replaces a newer one."""

NOT_RUN = "not-run-is-true"
"""A request that is refused as not run did not run at any worker."""

OWN_ANSWER = "own-whole-answer"
"""A chat answer is ended as complete only with its usage; checked where it is sent."""

SHARED = frozenset({ONE_BILL, NEVER_REVERTS})
"""Invariants of what all requests share. The others are about a single request."""

checks: collections.Counter[str] = collections.Counter()
"""How often each invariant was checked in this process."""


def check(invariant: str, holds: bool, detail: str) -> None:
    """Count a check of `invariant` and raise an error if it does not hold."""
    checks[invariant] += 1
    if holds:
        return
    if invariant in SHARED:
        raise InvariantError(invariant, detail)
    raise RequestInvariantError(invariant, detail)


def check_version(config: Config, org: OrgId, version: VersionId) -> None:
    """Check that a request of `org` may start on `version` now."""
    row = config.versions.get(version)
    owner = config.orgs.get(org)
    allowed = row is not None and owner is not None and owner.allows_version(row)
    check(ALLOWED, allowed, f"{version} is not allowed for {org}")
    serving = row is not None and row.state in (
        VersionState.ENTERING,
        VersionState.ACTIVE,
    )
    check(WITHDRAWN, serving, f"{version} is not in service")


def check_service(config: Config, org: OrgId, service: ServiceId) -> None:
    """Check that a call of `org` may go to the plain service `service` now."""
    owner = config.orgs.get(org)
    allowed = owner is not None and owner.allows_service(service)
    check(ALLOWED, allowed, f"{service} is not allowed for {org}")


def check_worker(workers: Workers, worker: WorkerId) -> None:
    """Check that a leaving worker gets no new requests."""
    check(LEAVING, worker not in workers.leaving, f"{worker} is leaving")


def check_session(
    config: Config, org: OrgId, pinned: VersionId, version: VersionId
) -> None:
    """Check that a session changes its version only when it may not stay."""
    row = config.versions.get(pinned)
    owner = config.orgs.get(org)
    may_not_stay = (
        row is None
        or owner is None
        or not owner.allows_version(row)
        or row.state is VersionState.WITHDRAWN
    )
    check(
        SESSION,
        pinned == version or may_not_stay,
        f"session on {pinned} sent to {version}",
    )


def check_claim(table: ClaimTable, key: str, request: RequestId) -> None:
    """Check that a keyed call is sent by the one request that holds its key."""
    check(AT_MOST_ONCE, may_send(table, key, request), f"{request} sends key {key}")


def check_single_send(sends: int, request: RequestId) -> None:
    """Check that a call that may not be repeated is sent once."""
    check(AT_MOST_ONCE, sends == 0, f"{request} would be sent {sends + 1} times")


def check_not_run(runs: int, request: RequestId) -> None:
    """Check that a request that is refused as not run had no attempt that may have run.

    `runs` counts such attempts. An attempt that a worker did not take is none.
    """
    check(
        NOT_RUN,
        runs == 0,
        f"{request} may have run {runs} times, but is refused as not run",
    )


def check_offset(held: Offset, offered: Offset) -> None:
    """Check that the configuration never goes back."""
    check(NEVER_REVERTS, offered >= held, f"offset {offered} would replace {held}")


def check_bill(
    billed: set[RequestId], entry: BillEntry, incarnation: Incarnation, at: Millis
) -> None:
    """Check that this box bills a request once."""
    detail = f"{entry.request} billed again by {incarnation} at {at}"
    check(ONE_BILL, entry.request not in billed, detail)
