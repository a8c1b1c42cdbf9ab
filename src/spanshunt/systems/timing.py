"""Timeouts for the first byte and for stalls, and usual times to the first byte.

The first-byte timeout follows the usual times and the route's target latency. The stall
timeout follows only the route's targets.
"""

from ..ids import Millis
from ..ids import ModelId
from ..tables.catalog import RouteRow
from ..tables.fleet import FirstByteTimes
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow

FIRST_BYTE_FACTOR = 5.0
"""Multiple of the usual time to the first byte after which a request is sent elsewhere,
if that is possible. Within a batch, times vary by a factor of about three."""

MIN_TARGET_SHARE = 0.55
"""The first byte is awaited for at least this part of the route's target latency. The
rest must be enough for an answer from elsewhere. The next bytes of a stream are awaited
for at least the same part of the route's target for gaps, or of its target latency if
it has none."""

UNKNOWN_USUAL_FACTOR = 1.2
"""Multiple of the route's target latency for which the first byte is awaited while the
usual time to the first byte is unknown. It is above 1 because no usual time is known
after a restart of all boxes, when engines are busy with requests that callers send
again."""

MIN_STALL_MS = 950
"""A shorter time without bytes in a stream is not treated as a stall, in ms. An engine
that prefills long prompts between the tokens of others takes nearly as long for an
event, and a stream that is resumed elsewhere is prefilled again there."""

RECENTLY_SENT_MS = 400
"""If a worker sent bytes on any request within this time, in ms, its pending answers
are awaited for longer, as it is more likely busy than stuck. A worker that did not may
just be idle."""

RECENTLY_SENT_FACTOR = 2.5
"""Factor by which timeouts are longer for a worker that sent bytes recently. Asking
elsewhere sooner adds to the load of engines that are merely busy."""

MAX_PATIENCE = 3.0
"""Greatest factor by which a slow worker is awaited longer than a usual one: what a
worker says of itself must not keep a request until its caller gives up."""

SLOW_FACTOR = 3.0
"""An answer counts as slow if its first byte took this many times the usual time."""

MIN_SLOW_MS = 400.0
"""Answers faster than this never count as slow, in ms, unless a plain worker had room.
"""

MIN_KNOWN_ANSWERS = 8
"""Number of answers after which the usual time of plain work is known well enough."""

MIN_SLOW_TARGET_SHARE = 0.5
"""A plain answer of a worker that had room never counts as slow if it took less than
this part of the route's target latency: it harms nobody."""

_SMOOTHING = 0.05


def first_byte_timeout_ms(
    fleet: Fleet, route: RouteRow, model: ModelId, read: int, time_factor: float = 1.0
) -> float:
    """Return how long to wait for the first byte of a silent worker, in ms.

    `time_factor` is the time that work takes there, against the service's usual.
    """
    usual = usual_first_byte_ms(fleet, route, model, read)
    if usual <= 0.0:
        return UNKNOWN_USUAL_FACTOR * route.target_latency_ms
    expected = usual * _patience(time_factor)
    return max(MIN_TARGET_SHARE * route.target_latency_ms, FIRST_BYTE_FACTOR * expected)


def stall_timeout_ms(route: RouteRow, time_factor: float = 1.0) -> float:
    """Return how long to wait for the next bytes of a silent worker's stream, in ms.

    `time_factor` is the time that work takes there, against the service's usual.
    """
    usual = max(
        MIN_STALL_MS,
        MIN_TARGET_SHARE * (route.target_gap_ms or route.target_latency_ms),
    )
    return usual * _patience(time_factor)


def _patience(time_factor: float) -> float:
    """Return the factor by which a slow worker is awaited longer; at least 1."""
    return min(MAX_PATIENCE, max(1.0, time_factor))


def has_sent_recently(worker: WorkerRow, now: Millis) -> bool:
    """Return whether a worker sent bytes on any request recently."""
    return now - worker.last_byte_at < RECENTLY_SENT_MS


def usual_first_byte_ms(
    fleet: Fleet, route: RouteRow, model: ModelId, read: int
) -> float:
    """Return the usual time to the first byte of a prompt of `read` tokens, in ms."""
    usual = fleet.first_byte_times.get((route.name, model))
    if usual is None:
        return 0.0
    return usual.first_ms * max(1.0, read / max(1.0, usual.read))


def is_slow_first_byte(
    fleet: Fleet, route: RouteRow, model: ModelId, read: int, first_ms: float
) -> bool:
    """Return whether the first byte of an answer was much slower than usual."""
    usual = usual_first_byte_ms(fleet, route, model, read)
    return usual > 0.0 and first_ms > max(MIN_SLOW_MS, SLOW_FACTOR * usual)


def is_slow_plain_work(
    fleet: Fleet, route: RouteRow, model: ModelId, first_ms: float
) -> bool:
    """Return whether a plain worker that had room took much longer than usual.

    Its time holds no wait, so it is compared with the median of such times, and work
    that is several times slower shows also where it is short.
    """
    usual = fleet.first_byte_times.get((route.name, model))
    if usual is None or usual.answers < MIN_KNOWN_ANSWERS or not usual.median_ms:
        return False
    least = MIN_SLOW_TARGET_SHARE * route.target_latency_ms
    return first_ms > max(least, SLOW_FACTOR * usual.median_ms)


def learn_first_byte_time(
    fleet: Fleet, route: RouteRow, model: ModelId, read: int, first_ms: float
) -> None:
    """Update the route's means with a time to the first byte.

    A slow answer counts as if its time were the slowness bound, so that a version that
    becomes slow does not make slowness usual at once.
    """
    key = (route.name, model)
    usual = fleet.first_byte_times.get(key)
    if usual is None:
        fleet.first_byte_times[key] = FirstByteTimes(first_ms, read)
        return
    bound = max(MIN_SLOW_MS, SLOW_FACTOR * usual.first_ms)
    usual.answers += 1
    step = max(_SMOOTHING, 1.0 / usual.answers)
    usual.first_ms += step * (min(first_ms, bound) - usual.first_ms)
    usual.read += step * (read - usual.read)
