"""Workers in need: the requests a second that each takes from all boxes together.

Boxes share such a rate without a word. Each may send to the worker once in a period,
which is the longer the more boxes there are, and they take turns in it: a grant opens
at each box at another time. One that is not used ends soon, so that those which boxes
left unused are never used all at once.
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
from .fleet_size import box_count
from .fleet_size import is_discovery_finished
from .fleet_size import stagger_fraction

GRANTED_PART = 0.9
"""Part of the rate that boxes share out. The rest is for boxes which disagree on how
many there are, or learned of the limit at different times."""

GRANT_MS = 1_500
"""How long a grant may be used, in ms: what opens in 4 s, and so long before them, is
5.5 s worth of the rate. A worker bears 6 s worth in 4 s, and five requests."""

LEAST_PER_S = 0.25
"""Requests a second that a worker gets which takes fewer, or none at all: else nobody
would learn that it takes more again."""

YOUNG_MS = 500
"""How long a grant is left to eager requests, in ms: where one is still there after
that, grants are not short."""

WORDS_TOLD = 16
"""Workers' limits told in one exchange at most, the newest first."""

END_TOLD_MS = 5_000
"""How long boxes tell each other that a worker names no limit any more, in ms: all of
them hear of it within a few rounds of exchanges."""


class HeardLimit(msgspec.Struct, frozen=True):
    """A worker's word on its rate that this box knows."""

    worker: WorkerRow
    limit: RateLimit


def is_limited(row: WorkerRow) -> bool:
    """Tell whether a worker names a limit."""
    return row.limit is not None and row.limit.per_s is not None


def take_limit(fleet: Fleet, row: WorkerRow, limit: RateLimit, now: Millis) -> bool:
    """Take a worker's word in unless a newer one is known; return whether it changes.

    That a worker names no limit tells something only where it did name one.
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
        _refresh(fleet, row, limit.per_s, now)
    return known is None or known.per_s != limit.per_s


def is_over(row: WorkerRow, sent: Millis) -> bool:
    """Tell whether an answer without a limit ends the one known.

    An answer to a request that was sent before that limit was heard may be older.
    """
    known = row.limit
    return known is not None and known.per_s is not None and sent > known.at


def forget_limit(row: WorkerRow, now: Millis) -> None:
    """Drop what a life of a worker said that has ended; what is told of it is older."""
    row.limit = row.rate_limiter = None
    row.notices_since = now


def has_limits(fleet: Fleet, service: ServiceId) -> bool:
    """Tell whether any worker of a service names a limit."""
    return any(is_limited(row) for row in fleet.workers.find_capable(service, None))


def grant_wait_ms(fleet: Fleet, row: WorkerRow, now: Millis, *, eager: bool) -> Millis:
    """Return in how long this box may send a limited worker a request, in ms."""
    limit = row.limit
    assert limit is not None
    assert limit.per_s is not None
    grants = _refresh(fleet, row, limit.per_s, now)
    opens_at = grants.next_grant_at
    if not is_discovery_finished(fleet, now):
        opens_at = max(opens_at, fleet.discovery_until)
    wait_ms = 0 if eager else YOUNG_MS
    return Millis(math.ceil(max(0.0, opens_at + wait_ms - now)))


def note_sent(fleet: Fleet, row: WorkerRow, now: Millis) -> None:
    """Take in that this box sends a worker a request: it uses the oldest grant."""
    if row.limit is not None and row.limit.per_s is not None:
        grants = _refresh(fleet, row, row.limit.per_s, now)
        grants.next_grant_at += grants.period_ms


def newest_limits(fleet: Fleet, now: Millis) -> list[HeardLimit]:
    """Return the newest limits to tell other boxes, and those that ended just now."""
    heard = [
        HeardLimit(row, row.limit)
        for row in fleet.workers.rows.values()
        if row.limit is not None
        and (row.limit.per_s is not None or now - row.limit.at < END_TOLD_MS)
    ]
    return sorted(heard, key=lambda item: -item.limit.at)[:WORDS_TOLD]


def take_told_limit(
    fleet: Fleet, worker: WorkerId, born: Millis, limit: RateLimit, now: Millis
) -> WorkerRow | None:
    """Take in a worker's word that a peer tells; return its row if that changes.

    A word on another life of the worker, or on one that has ended, tells nothing.
    """
    row = fleet.workers.rows.get(worker)
    if row is None or row.born != born or limit.at < row.notices_since:
        return None
    return row if take_limit(fleet, row, limit, now) else None


def _refresh(fleet: Fleet, row: WorkerRow, per_s: float, now: Millis) -> RateLimiter:
    """Return this box's grants at a worker as of now, for the rate and boxes of now."""
    rate = GRANTED_PART * max(LEAST_PER_S, per_s)
    period_ms = 1_000 * box_count(fleet) / rate
    grants = row.rate_limiter
    if grants is None:
        opens_at = now + stagger_fraction(fleet, f"limit {row.name}") * period_ms
        grants = row.rate_limiter = RateLimiter(opens_at, period_ms)
    if grants.period_ms != period_ms:
        # A grant that is not open yet keeps its place among those of the others.
        left_ms = max(0.0, grants.next_grant_at - now)
        grants.next_grant_at += left_ms * (period_ms / grants.period_ms - 1)
        grants.period_ms = period_ms
    unused_ms = now - GRANT_MS - grants.next_grant_at
    if unused_ms > 0:
        grants.next_grant_at += math.ceil(unused_ms / period_ms) * period_ms
    return grants
