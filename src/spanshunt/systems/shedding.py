"""Closing of new connections, unread, while the box has more work than it can carry.

Most callers may ask one box, whose processor then falls behind: each turn of its event
loop takes longer, and all of its callers are answered late, while other boxes are idle.
A caller whose connection is closed with the request unread asks another box at once, at
the price of a connection; one that is read and refused has spent a try, and one that
waits its deadline.

A turn counts as long by how late a timer is. If several in a row are late, the open
requests are limited to a part of what is open then. As with the congestion window of
TCP, the limit falls by a factor while timers are late, grows slowly while they are not,
and is lifted once it is not reached any more. The box stays ready: if it did not, all
of its callers would move to the next box, and so on.

A box whose settings do not tell its share of a processor closes none: whoever runs it
may have reasons to let it stand still.
"""

import enum

from ..ids import Millis
from ..tables.holdings import BoxLimits
from ..tables.overload import Overload

LATE_MS = 50.0
"""Lateness of a timer from which on it counts as late, in ms. A request takes some ten
turns of the loop up to its first event, so half a second then."""

LOOKS_NEEDED = 6
"""Timers in a row that must be late, or on time, for the limit to change: a single
long turn, such as the reading of a large catalog, is none."""

BEHIND_LOOKS = 3
"""Timers in a row that must be late for the box to be behind: one alone is late on any
machine now and then."""

FIRST_PART, LATER_PART = 0.5, 0.8
"""Limit as a part of the requests that are open when it begins, and when it falls. The
first one is low, as requests of some seconds have piled up by then."""

GROWTH_PART = 0.05
"""Part of the limit by which it grows at a time, at least by one request."""

GROWTH_MS = 300
"""Shortest time between two rises, in ms: what they bring must show in the timers."""

DRAINED_FACTOR = 1.1
"""Open requests, as a multiple of the limit, up to which it is in effect: it does not
fall again while more are open."""

MIN_LIMIT = 4
"""Lowest limit, in requests."""

MAX_CLOSED_MS = 500
"""Longest time for which all new connections are closed, in ms: a box that is ready
takes one now and then."""

LIFTED_MS = 3_000
"""Time without a closed connection after which the limit is lifted, in ms."""

UNREAD_MS = 1_000
"""How long a connection without a request counts as an open one, in ms: callers give a
try up that is not read within that. Later it is an idle one."""

LINE_MS = 1_000
"""Shortest time between two log lines about closed connections, in ms."""


class LimitChange(enum.Enum):
    """What became of the limit on open requests."""

    BEGAN = "began"
    FELL = "fell"
    GREW = "grew"
    LIFTED = "lifted"


def look_at_timer(
    overload: Overload, late_ms: float, open_requests: int, now: Millis
) -> LimitChange | None:
    """Record how late a timer was; change the limit if that is due.

    `open_requests` is the number of requests that the box holds, those included whose
    connection it took and that it has not read yet.
    """
    overload.late_ms = late_ms
    if late_ms >= LATE_MS:
        overload.late_looks += 1
        overload.calm_looks = 0
    else:
        overload.calm_looks += 1
        overload.late_looks = 0
    if overload.late_looks >= LOOKS_NEEDED:
        return _lower(overload, open_requests, now)
    if overload.limit is None or not overload.calm_looks:
        return None
    if now - overload.closed_at >= LIFTED_MS:
        overload.limit = None
        return LimitChange.LIFTED
    if overload.calm_looks >= LOOKS_NEEDED and open_requests >= overload.limit:
        return _raise(overload, now)
    return None


def _lower(overload: Overload, open_requests: int, now: Millis) -> LimitChange | None:
    limit = overload.limit
    if limit is not None and open_requests > DRAINED_FACTOR * limit:
        return None
    overload.late_looks = 0
    part = FIRST_PART if limit is None else LATER_PART
    lowered = max(MIN_LIMIT, int(part * open_requests))
    if limit is not None and lowered >= limit:
        return None
    overload.limit = lowered
    if limit is not None:
        return LimitChange.FELL
    overload.closed_at = overload.taken_at = now
    return LimitChange.BEGAN


def _raise(overload: Overload, now: Millis) -> LimitChange | None:
    assert overload.limit is not None
    if now - overload.grew_at < GROWTH_MS:
        return None
    overload.grew_at = now
    overload.limit += max(1, int(GROWTH_PART * overload.limit))
    return LimitChange.GREW


def limits_connections(limits: BoxLimits) -> bool:
    """Return whether the settings ask for it: they tell the processor's share."""
    return limits.cpu_share > 0.0


def reset(overload: Overload) -> None:
    """Forget all lateness and the limit."""
    overload.late_looks = overload.calm_looks = 0
    overload.limit = None


def may_take_connection(overload: Overload, open_requests: int, now: Millis) -> bool:
    """Return whether a new connection is taken; if not, it is to be closed unread."""
    if overload.limit is None:
        return True
    if open_requests < overload.limit or now - overload.taken_at >= MAX_CLOSED_MS:
        overload.taken_at = now
        return True
    overload.closed += 1
    overload.closed_at = now
    return False


def closed_to_log(overload: Overload, now: Millis) -> int:
    """Return how many connections were closed since the last line, 0 if none is due."""
    if not overload.closed or now - overload.logged_at < LINE_MS:
        return 0
    closed, overload.closed = overload.closed, 0
    overload.logged_at = now
    return closed


def is_behind(overload: Overload) -> bool:
    """Return whether what takes long may do so for want of this box's processor.

    A connection that does not come up in time then tells nothing of its other end.
    """
    return overload.late_looks >= BEHIND_LOOKS or is_overloaded(overload)


def is_overloaded(overload: Overload) -> bool:
    """Return whether the box limits its open requests."""
    return overload.limit is not None
