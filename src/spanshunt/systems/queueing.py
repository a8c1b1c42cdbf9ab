"""Admission by what can be served in time: send now, wait at the box, or refuse.

A worker has room while it can start a request soon. A request that no worker has room
for waits at this box if one is likely to have room in time; otherwise it is refused at
once. Only a request that was sent to no worker waits.
"""

import collections
import enum
import math

from ..ids import Millis
from ..ids import OrgId
from ..ids import RequestId
from ..tables.fleet import Fleet
from ..tables.waiting import Waiter
from ..tables.waiting import WaitList
from .sharing import org_share
from .sharing import own_waiters_before
from .sharing import waiters_before
from .worker_room import ServiceRoom

MEMORY_FRACTION = 0.125
"""Fraction of the box's memory that waiting requests may take."""

DEFAULT_WAITING_BYTES = 64 * 1024 * 1024
"""Bytes that they may take on a box whose memory is unknown."""

WAITER_BYTES = 16 * 1024
"""Bytes that a waiting request takes beside its body: its connection, its headers and
its task."""

SPREAD = 2.0
"""Standard deviations that are added to the mean time of several starts, so that few
requests wait in vain."""

FIRST_EVENT_OPTIMISM = 0.5
"""Earliest possible first event, as a fraction of the estimated time: the estimate
follows a median, and engines keep parts of which this box does not know."""

ANSWER_MARGIN_MS = 20.0
"""Time beside the work itself until the caller has its answer, in ms."""


class Admission(enum.Enum):
    """What becomes of a request that is ready to be sent."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


def add_waiter(waiting: WaitList, waiter: Waiter) -> None:
    """Add a request to the wait list."""
    waiting.waiters.setdefault(waiter.service, {})[waiter.request] = waiter
    waiting.count += 1
    waiting.bytes += waiter.bytes


def remove_waiter(waiting: WaitList, waiter: Waiter) -> None:
    """Remove a request from the wait list, if it is there."""
    rows = waiting.waiters.get(waiter.service, {})
    if rows.pop(waiter.request, None) is None:
        return
    waiting.count -= 1
    waiting.bytes -= waiter.bytes
    if not rows:
        del waiting.waiters[waiter.service]


def expired_waiters(waiting: WaitList, now: Millis) -> list[RequestId]:
    """Return the requests that no worker can start in time any more."""
    return [
        waiter.request
        for rows in waiting.waiters.values()
        for waiter in rows.values()
        if now >= waiter.start_by
    ]


def must_end_waits(fleet: Fleet, now: Millis) -> bool:
    """Return whether this box stops and may let no request wait any more."""
    return fleet.stopping and now >= fleet.waits_end


def max_waiting_bytes(fleet: Fleet) -> int:
    """Return how many bytes all waiting requests may take."""
    memory_mb = fleet.limits.memory_mb
    if not memory_mb:
        return DEFAULT_WAITING_BYTES
    return int(MEMORY_FRACTION * memory_mb * 1024 * 1024)


def latest_start(room: ServiceRoom, limit: Millis) -> Millis:
    """Return when a request must be sent at the latest to be answered by `limit`."""
    return Millis(int(limit - room.work_ms - room.lead_ms - ANSWER_MARGIN_MS))


def expected_wait_ms(
    fleet: Fleet, room: ServiceRoom, waiter: Waiter, now: Millis
) -> float:
    """Return the time within which a request is likely sent, in ms; 0 if unknown.

    While shares are in force, the requests before it are those that their order puts
    there, and those of an organisation with a share start at its pace.
    """
    if room.starts_per_ms <= 0.0:
        return 0.0
    if waiter.service not in fleet.service_shares:
        starts = 1 + requests_before(fleet.wait_list, waiter)
        return _likely_ms(starts, room.starts_per_ms)
    starts = 1 + waiters_before(fleet, waiter, now)
    share = org_share(fleet, waiter.service, waiter.org)
    if share is None:
        # Others leave their places to it at all boxes, so it is not refused early.
        return starts / room.starts_per_ms
    likely_ms = _likely_ms(starts, room.starts_per_ms)
    if share.pace_per_s <= 0.0:
        return likely_ms
    own = own_waiters_before(fleet, waiter)
    return max(likely_ms, _likely_ms(own, share.pace_per_s / room.work_ms))


def _likely_ms(starts: int, per_ms: float) -> float:
    """Return the time within which some requests are likely to start, in ms.

    Places fall free at random times, so the time of several starts varies by the root
    of their number.
    """
    return (starts + SPREAD * math.sqrt(starts)) / per_ms


def requests_before(waiting: WaitList, waiter: Waiter) -> int:
    """Return how many waiting requests are sent before one that joins them.

    They are those of a more urgent priority, those of its own organisation and priority
    that must start sooner, and as many of each other organisation.
    """
    more_urgent = 0
    by_org: collections.Counter[OrgId] = collections.Counter()
    for row in waiting.waiters.get(waiter.service, {}).values():
        if row.request == waiter.request:
            continue
        if row.priority < waiter.priority:
            more_urgent += 1
        elif row.priority == waiter.priority and row.start_by <= waiter.start_by:
            by_org[row.org] += 1
    own = by_org.pop(waiter.org, 0)
    return more_urgent + own + sum(min(count, own + 1) for count in by_org.values())


def admit(fleet: Fleet, room: ServiceRoom, waiter: Waiter, now: Millis) -> Admission:
    """Decide on a request that is ready to be sent and does not wait yet.

    It is refused only if no worker has room and no worker is expected to start it in
    time, if this box has no memory for one more, or if the box is about to end. Its
    work is expected to take the usual time at the fastest worker.
    """
    waiting = fleet.wait_list
    if room.has_room and not waiting.waiters.get(waiter.service):
        return Admission.SEND
    if now >= waiter.start_by or must_end_waits(fleet, now):
        return Admission.SEND if room.has_room else Admission.REFUSE
    if waiting.bytes + waiter.bytes > max_waiting_bytes(fleet):
        return Admission.REFUSE
    if now + expected_wait_ms(fleet, room, waiter, now) > waiter.start_by:
        return Admission.REFUSE
    return Admission.WAIT


def may_begin_in_time(first_event_ms: float, left_ms: float) -> bool:
    """Return whether a prompt's first event may come while its caller waits.

    Parameters
    ----------
    first_event_ms : float
        Estimated time to the first event, in ms; 0 if it is unknown.
    left_ms : float
        Time for which the caller still waits, in ms.
    """
    return FIRST_EVENT_OPTIMISM * first_event_ms <= left_ms
