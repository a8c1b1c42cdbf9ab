"""Brittle workers: those that fall over if they turn many requests away.

A brittle worker names how many requests it may turn away in a second, of all boxes
together; it may let fewer requests wait than before, without a word. So boxes send it
no more than it runs at once. They share its slots without communication: each box has
some places of its own at each brittle worker. A box that needs another one may try a
slot that it believes free. Such tries are bounded for all boxes together, as each may
be turned away.
"""

import math

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
from .throttling import REVOCATION_SENT_MS
from .throttling import WorkerLimit

TRIED_SHARE = 0.4
"""Part of the rate of tolerated rejections that tries use up. The rest covers requests
that were under way as the worker became brittle, and boxes that disagree on how many
they are."""

TRY_VALID_MS = 250
"""How long a try that is not used stays valid, in ms: in any second, boxes then use the
tries of a second and a quarter at most."""

OTHERS_HALF_LIFE_MS = 2_000.0
"""Half-life of the weight of other boxes' requests in a worker's report, in ms, when a
slot is believed free."""

MAX_NOTICES_SENT = 32
"""Maximum number of brittle workers named in one message to a peer, newest first."""


def is_brittle(row: WorkerRow) -> bool:
    """Return whether a worker says that it is brittle."""
    return row.brittle is not None and row.brittle.per_s is not None


def apply_brittle(row: WorkerRow, notice: RateLimit) -> bool:
    """Apply a notice unless a newer one is known; return whether the rate changes.

    Its rate is that of tolerated rejections, None once the worker is brittle no more.
    """
    known = row.brittle
    if known is None and notice.per_s is None:
        return False
    if known is not None and known.at > notice.at:
        return False
    row.brittle = notice
    if notice.per_s is None:
        row.try_limiter = None
    return known is None or known.per_s != notice.per_s


def revokes_brittle(row: WorkerRow, sent: Millis) -> bool:
    """Return whether an answer without the notice ends it: to a later request."""
    known = row.brittle
    return known is not None and known.per_s is not None and sent > known.at


def apply_peer_brittle(
    fleet: Fleet, worker: WorkerId, born: Millis, notice: RateLimit
) -> WorkerRow | None:
    """Apply a notice that a peer forwards; return the worker's row if it changes."""
    row = fleet.workers.rows.get(worker)
    if row is None or row.born != born or notice.at < row.notices_since:
        return None
    return row if apply_brittle(row, notice) else None


def brittle_to_send(fleet: Fleet, now: Millis) -> list[WorkerLimit]:
    """Return the newest notices to send to peers, and those that ended recently."""
    known = [
        WorkerLimit(row, row.brittle)
        for row in fleet.workers.rows.values()
        if row.brittle is not None
        and (row.brittle.per_s is not None or now - row.brittle.at < REVOCATION_SENT_MS)
    ]
    return sorted(known, key=lambda item: -item.limit.at)[:MAX_NOTICES_SENT]


def has_place(fleet: Fleet, row: WorkerRow, now: Millis) -> bool:
    """Return whether this box may send a worker one more request, if it is brittle."""
    if not is_brittle(row) or row.inflight < own_places(fleet, row):
        return True
    if not is_discovery_finished(fleet, now):
        return False
    return _may_try(fleet, row, now) and _seems_free(row, now)


def lacks_place(fleet: Fleet, service: ServiceId, now: Millis) -> bool:
    """Return whether any worker of a service is brittle and has no place."""
    return any(
        is_brittle(row) and not has_place(fleet, row, now)
        for row in fleet.workers.find_capable(service, None)
    )


def own_places(fleet: Fleet, row: WorkerRow) -> int:
    """Return how many of a worker's slots are this box's.

    What is left of the slots after an even share goes to some boxes, which differ by
    worker.
    """
    boxes = box_count(fleet)
    even, rest = divmod(row.slots, boxes)
    turn = int(stagger_fraction(fleet, f"place {row.name}") * boxes)
    return even + (1 if turn < rest else 0)


def use_place(fleet: Fleet, row: WorkerRow, now: Millis) -> None:
    """Use up a try for a request that this box sends beyond its places."""
    if is_brittle(row) and row.inflight >= own_places(fleet, row):
        limiter = _refresh_tries(fleet, row, now)
        limiter.next_grant_at += limiter.period_ms


def _seems_free(row: WorkerRow, now: Millis) -> bool:
    """Return whether a slot seems to be free at a worker."""
    weight: float = 0.5 ** (max(0, now - row.others_at) / OTHERS_HALF_LIFE_MS)
    return row.inflight + row.others * weight + 1 <= row.slots


def _may_try(fleet: Fleet, row: WorkerRow, now: Millis) -> bool:
    return _refresh_tries(fleet, row, now).next_grant_at <= now


def _refresh_tries(fleet: Fleet, row: WorkerRow, now: Millis) -> RateLimiter:
    """Return the limiter of this box's tries, updated for time and number of boxes."""
    assert row.brittle is not None
    assert row.brittle.per_s is not None
    period_ms = 1_000 * box_count(fleet) / (TRIED_SHARE * row.brittle.per_s)
    limiter = row.try_limiter
    if limiter is None or limiter.period_ms != period_ms:
        begin = now + stagger_fraction(fleet, f"try {row.name}") * period_ms
        limiter = row.try_limiter = RateLimiter(begin, period_ms)
    expired_ms = now - TRY_VALID_MS - limiter.next_grant_at
    if expired_ms > 0:
        limiter.next_grant_at += math.ceil(expired_ms / period_ms) * period_ms
    return limiter
