"""Rate limits that workers announce for the requests of all boxes together.

A worker announces its limit with a notice, a header of its answers. A box that receives
the notice forwards the limit to its peers.

Each box gets one grant in every period, which is the shorter the more of the service's
requests arrive there (`arrivals`). The phase of the grants differs from box to box. An
unused grant expires soon, so that grants that several boxes left unused are never used
all at once.
"""

import math

import msgspec

from ..ids import Millis
from ..ids import ServiceId
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.notices import RateLimit
from ..tables.notices import RateLimiter
from ..tables.workers import WorkerRow
from .arrivals import box_share
from .fleet_size import is_discovery_finished
from .fleet_size import stagger_fraction

GRANTED_SHARE = 0.9
"""Part of the rate that boxes share out. The rest is a reserve for boxes that disagree
on the number of boxes, or learn of the limit at different times."""

GRANT_VALID_MS = 1_500
"""How long a grant is valid, in ms. A worker tolerates, in any window of 4 s, 1.5 times
the requests that its rate allows there, i.e. as many as in 6 s, and five more. In such
a window, boxes can use the grants of 4 s and those still valid from the 1.5 s before
it, i.e. the grants of 5.5 s."""

MIN_RATE_PER_S = 0.25
"""Lowest rate, in requests a second, from which boxes compute their grants, even if the
worker announces a lower one or 0; `GRANTED_SHARE` of it is granted. Otherwise no box
would learn that the worker takes more again."""

MAX_RATE_PER_S = 1_000_000.0
"""Highest rate, in requests a second, from which boxes compute their grants: more than
any worker can take, so it bounds nothing."""

GRANT_RESERVED_MS = 500
"""How long a grant is reserved for eager requests, in ms. A request is eager if it may
use a grant as soon as it is valid: all of the service's most urgent priority, a share
of the less urgent ones, and no escalation to a larger model. A grant that is still
unused after that shows that grants are not scarce, so the other requests may use
it."""

MAX_LIMITS_SENT = 16
"""Maximum number of limits sent in one message to a peer, newest first."""

REVOCATION_SENT_MS = 5_000
"""How long boxes tell each other that a worker no longer announces a limit, in ms. All
of them learn it within a few rounds of gossip."""


class WorkerLimit(msgspec.Struct, frozen=True):
    """A worker and the newest rate limit that this box knows for it."""

    worker: WorkerRow
    limit: RateLimit


def is_limited(row: WorkerRow) -> bool:
    """Return whether a worker currently announces a rate limit."""
    return row.limit is not None and row.limit.per_s is not None


def apply_limit(fleet: Fleet, row: WorkerRow, limit: RateLimit, now: Millis) -> bool:
    """Apply a limit unless a newer one is known; return whether the rate changes.

    The absence of a limit is recorded only for a worker that has announced one.
    """
    known = row.limit
    if known is None and limit.per_s is None:
        return False
    if known is not None and known.at > limit.at:
        return False
    row.limit = limit
    if limit.per_s is None:
        row.rate_limiter = None
    else:
        _refresh_limiter(fleet, row, limit.per_s, now)
    return known is None or known.per_s != limit.per_s


def revokes_limit(row: WorkerRow, sent: Millis) -> bool:
    """Return whether an answer without a limit revokes the known one.

    The answer to a request that was sent before that limit arrived may be older than
    the limit.
    """
    known = row.limit
    return known is not None and known.per_s is not None and sent > known.at


def clear_limit(row: WorkerRow, now: Millis) -> None:
    """Clear the limit of a worker that ended.

    Notices that arrived before are ignored from now on, even if a peer forwards them.
    """
    row.limit = row.rate_limiter = None
    row.notices_since = now


def has_limited_workers(fleet: Fleet, service: ServiceId) -> bool:
    """Return whether any worker of a service announces a rate limit."""
    return any(is_limited(row) for row in fleet.workers.find_capable(service, None))


def grant_wait_ms(fleet: Fleet, row: WorkerRow, now: Millis, *, eager: bool) -> Millis:
    """Return how long this box must wait before it sends to a limited worker, in ms.

    A request that is not `eager` waits until the grant is no longer reserved for eager
    ones.
    """
    limit = row.limit
    assert limit is not None
    assert limit.per_s is not None
    limiter = _refresh_limiter(fleet, row, limit.per_s, now)
    grant_at = limiter.next_grant_at
    if not is_discovery_finished(fleet, now):
        grant_at = max(grant_at, fleet.discovery_until)
    reserved_ms = 0 if eager else GRANT_RESERVED_MS
    return Millis(math.ceil(max(0.0, grant_at + reserved_ms - now)))


def use_grant(fleet: Fleet, row: WorkerRow, now: Millis) -> None:
    """Use up the oldest grant for a request that this box sends to a worker."""
    if row.limit is not None and row.limit.per_s is not None:
        limiter = _refresh_limiter(fleet, row, row.limit.per_s, now)
        limiter.next_grant_at += limiter.period_ms


def limits_to_send(fleet: Fleet, now: Millis) -> list[WorkerLimit]:
    """Return the newest limits to send to peers, and those revoked recently."""
    limits = [
        WorkerLimit(row, row.limit)
        for row in fleet.workers.rows.values()
        if row.limit is not None
        and (row.limit.per_s is not None or now - row.limit.at < REVOCATION_SENT_MS)
    ]
    return sorted(limits, key=lambda known: -known.limit.at)[:MAX_LIMITS_SENT]


def apply_peer_limit(
    fleet: Fleet, worker: WorkerId, born: Millis, limit: RateLimit, now: Millis
) -> WorkerRow | None:
    """Apply a limit that a peer forwards; return the worker's row if its rate changes.

    A limit of another incarnation of the worker is ignored, and so is one of an
    incarnation that has ended.
    """
    row = fleet.workers.rows.get(worker)
    if row is None or row.born != born or limit.at < row.notices_since:
        return None
    return row if apply_limit(fleet, row, limit, now) else None


def _refresh_limiter(
    fleet: Fleet, row: WorkerRow, per_s: float, now: Millis
) -> RateLimiter:
    """Return a worker's limiter, updated for this time, rate and number of boxes."""
    rate = GRANTED_SHARE * min(MAX_RATE_PER_S, max(MIN_RATE_PER_S, per_s))
    period_ms = 1_000 / (rate * box_share(fleet, row.service, now))
    limiter = row.rate_limiter
    if limiter is None:
        grant_at = now + stagger_fraction(fleet, f"limit {row.name}") * period_ms
        limiter = row.rate_limiter = RateLimiter(grant_at, period_ms)
    if limiter.period_ms != period_ms:
        # A future grant keeps its phase relative to the grants of other boxes.
        remaining_ms = max(0.0, limiter.next_grant_at - now)
        limiter.next_grant_at += remaining_ms * (period_ms / limiter.period_ms - 1)
        limiter.period_ms = period_ms
    expired_ms = now - GRANT_VALID_MS - limiter.next_grant_at
    if expired_ms > 0:
        limiter.next_grant_at += math.ceil(expired_ms / period_ms) * period_ms
    return limiter
