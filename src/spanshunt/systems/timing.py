"""How long is long: limits of waiting that follow what answers usually take."""

from ..ids import Millis
from ..ids import ModelId
from ..tables.catalog import RouteRow
from ..tables.fleet import FirstByteTimes
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow

FIRST_FACTOR = 5.0
"""A first byte later than this many times its usual time is not waited for, where the
request may be sent elsewhere. Within a batch, times vary by about three."""

FIRST_AIM_PART = 0.55
"""A first byte is waited for at least this part of the route's aim: what is left must
suffice for the answer from elsewhere."""

UNKNOWN_AIM_PART = 1.2
"""A first byte is waited for this part of the aim where nothing is known of its usual
time: after a restart of all boxes, engines are busy with what callers ask again."""

GAP_LEAST_MS = 950
"""A shorter silence in a stream is not taken for a stall, in ms: an engine that reads
long prompts between the tokens of others takes nearly as long for an event, and what is
taken up elsewhere is read again there."""

ALIVE_MS = 400
"""A worker that sent bytes on any request within this time is alive, in ms: what it
owes is waited for longer, as it is more likely busy than stuck."""

ALIVE_FACTOR = 2.5
"""How many times longer a worker that is alive is waited for: asking elsewhere sooner
adds to the load of engines that are merely busy."""

SLOW_FACTOR = 3.0
"""An answer counts as slow if its first byte took this many times the usual time."""

SLOW_LEAST_MS = 400.0
"""Answers faster than this never count as slow, in ms."""

_SMOOTHING = 0.05


def first_limit_ms(fleet: Fleet, route: RouteRow, model: ModelId, read: int) -> float:
    """Return how long to wait for a first byte of a silent worker, in ms."""
    usual = usual_first_ms(fleet, route, model, read)
    if usual <= 0.0:
        return UNKNOWN_AIM_PART * route.target_latency_ms
    return max(FIRST_AIM_PART * route.target_latency_ms, FIRST_FACTOR * usual)


def gap_limit_ms(route: RouteRow) -> float:
    """Return how long a stream of a silent worker is waited for, in ms."""
    return max(
        GAP_LEAST_MS, FIRST_AIM_PART * (route.target_gap_ms or route.target_latency_ms)
    )


def is_alive(worker: WorkerRow, now: Millis) -> bool:
    """Tell whether a worker sent bytes on any request just now."""
    return now - worker.last_byte_at < ALIVE_MS


def usual_first_ms(fleet: Fleet, route: RouteRow, model: ModelId, read: int) -> float:
    """Return the usual time to the first byte of a prompt of `read` tokens, in ms."""
    usual = fleet.first_byte_times.get((route.name, model))
    if usual is None:
        return 0.0
    return usual.first_ms * max(1.0, read / max(1.0, usual.read))


def is_slow(
    fleet: Fleet, route: RouteRow, model: ModelId, read: int, first_ms: float
) -> bool:
    """Tell whether an answer was several times slower than usual."""
    usual = usual_first_ms(fleet, route, model, read)
    return usual > 0.0 and first_ms > max(SLOW_LEAST_MS, SLOW_FACTOR * usual)


def note_first_time(
    fleet: Fleet, route: RouteRow, model: ModelId, read: int, first_ms: float
) -> None:
    """Take a time to the first byte into the route's means.

    A slow answer counts as the bound of slowness, so that a version that turns slow
    does not make slowness usual at once.
    """
    key = (route.name, model)
    usual = fleet.first_byte_times.get(key)
    if usual is None:
        fleet.first_byte_times[key] = FirstByteTimes(first_ms, read)
        return
    bound = max(SLOW_LEAST_MS, SLOW_FACTOR * usual.first_ms)
    usual.answers += 1
    step = max(_SMOOTHING, 1.0 / usual.answers)
    usual.first_ms += step * (min(first_ms, bound) - usual.first_ms)
    usual.read += step * (read - usual.read)
