"""How fast each worker is: its usual speed, and what it reports of the present one.

Two things are kept apart. The usual factor is learned from the times of a worker's
answers against its service's usual times, shared between boxes and forgotten with the
worker's incarnation. The slowdown is what the worker reports of its machine at this
moment, and loses weight with its age.
"""

import math

from ..ids import Millis
from ..ids import ModelId
from ..tables.catalog import RouteRow
from ..tables.fleet import FirstByteTimes
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow
from .warming import is_cold

SLOWDOWN_HALF_LIFE_MS = 200
"""Half-life of the weight of a reported slowdown, in ms: machines that are shared with
others change several times a second."""

LASTING_SHARE = 0.5
"""Share of a slowdown that work which begins now is expected to meet: the machine
changes before it is done. Avoided for the whole of a slowdown, the machine would stand
idle while requests wait at others."""

MIN_SLOWDOWN = 0.25
"""Shortest time of work that is believed of a report, as a multiple of the worker's
usual one, so that a report that is wrong does not draw all requests."""

MIN_FACTOR, MAX_FACTOR = 0.2, 5.0
"""Bounds of a usual factor: a worker beyond them has another trouble than its speed."""

MAX_SURPRISE = 0.5
"""Largest difference between the logarithms of a measured and the known factor that
counts. Times are seldom too short and often too long, by any amount."""

MIN_ANSWER_WEIGHT = 0.03
"""Least weight of one answer in a usual factor, so that it follows a machine that
changes for good within about fifty answers."""

MIN_SERVICE_ANSWERS = 8
"""Number of answers after which the usual time of a service is known well enough to
compare a worker with it."""

MAX_LEARNING_LOAD = 0.8
"""A plain worker's time is compared with others' only if the request found it less
loaded than this, as a fraction of its batch: it then hardly waited."""

MAX_MEDIAN_STEP, MIN_MEDIAN_STEP = 0.3, 0.03
"""Relative steps by which the median time of a route changes, at first and later."""

MAX_PEER_WEIGHT = 0.5
"""Greatest weight of a peer's usual factor against this box's own, so that no box that
is wrong, or repeats old news, replaces what this box learned."""

MAX_PEER_ANSWERS = 50
"""Number of a peer's answers that counts at most, so that a box goes on learning."""

SLOW_WORKER_FACTOR, NO_LONGER_SLOW_FACTOR = 1.5, 1.3
"""Usual factors from which a worker counts as slow, and below which no longer; the
difference keeps a worker in between from being logged again and again."""


def time_factor(row: WorkerRow, now: Millis) -> float:
    """Return the time of work that a worker begins now, against the service's usual.

    It is a multiple: 2 for a worker that takes twice as long as its service usually
    does. It is exactly 1 for a worker of which nothing is known.
    """
    lasting = LASTING_SHARE * (present_slowdown(row, now) - 1.0)
    return row.speed.usual_factor * (1.0 + lasting)


def present_slowdown(row: WorkerRow, now: Millis) -> float:
    """Return the time of work at a worker now, as a multiple of its usual one.

    The newest report loses weight with its age. Without one it is exactly 1.
    """
    speed = row.speed
    if speed.slowdown == 1.0:
        return 1.0
    age = max(0, now - speed.slowdown_at)
    weight: float = 0.5 ** (age / SLOWDOWN_HALF_LIFE_MS)
    return 1.0 + (speed.slowdown - 1.0) * weight


def record_slowdown(row: WorkerRow, slowdown: float, now: Millis) -> None:
    """Record the slowdown that a worker reports."""
    row.speed.slowdown = max(MIN_SLOWDOWN, slowdown)
    row.speed.slowdown_at = now


def learn_usual_factor(
    row: WorkerRow, measured_ms: float, usual_ms: float, now: Millis
) -> None:
    """Learn a worker's usual factor from the time of one answer.

    Parameters
    ----------
    row : WorkerRow
        The worker, with the slowdown that the answer reports.
    measured_ms : float
        Time that the worker took for the work, without waiting, in ms.
    usual_ms : float
        Time that the service usually takes for it, in ms.
    now : int
        When the answer came, in ms.

    Notes
    -----
    The factor is a mean in logarithms, in which an answer counts by at most
    `MAX_SURPRISE`, and begins at 1 with the weight of one answer. Cold workers are left
    out, as they are slow for a while only. So are workers that report no slowdown:
    without it, a machine that is slow for a moment looks like a slow one.
    """
    if usual_ms <= 0.0 or measured_ms <= 0.0 or is_cold(row, now):
        return
    speed = row.speed
    if speed.slowdown_at < 0:
        return
    speed.answers += 1
    measured = measured_ms / (usual_ms * present_slowdown(row, now))
    surprise = math.log(measured / speed.usual_factor)
    surprise = min(MAX_SURPRISE, max(-MAX_SURPRISE, surprise))
    weight = max(MIN_ANSWER_WEIGHT, 1.0 / (speed.answers + 1))
    speed.usual_factor = _bounded(speed.usual_factor * math.exp(weight * surprise))


def learn_plain_factor(
    fleet: Fleet,
    row: WorkerRow,
    route: RouteRow,
    model: ModelId,
    first_ms: float,
    load: float,
    now: Millis,
) -> None:
    """Learn a plain worker's usual factor from the time to an answer's first byte.

    It is compared with the median of such times of the route. `load` is what the
    request found there, as a fraction of the batch.
    """
    usual = fleet.first_byte_times.get((route.name, model))
    if usual is None or load >= MAX_LEARNING_LOAD or first_ms <= 0.0:
        return
    if usual.median_ms and usual.answers >= MIN_SERVICE_ANSWERS:
        learn_usual_factor(row, first_ms, usual.median_ms, now)
    _follow_median(usual, first_ms / present_slowdown(row, now))


def _follow_median(usual: FirstByteTimes, first_ms: float) -> None:
    """Move the median of a route's times towards one of them."""
    if not usual.median_ms:
        usual.median_ms = first_ms
        return
    step = max(MIN_MEDIAN_STEP, MAX_MEDIAN_STEP / max(1, usual.answers))
    usual.median_ms *= 1.0 + step if first_ms > usual.median_ms else 1.0 / (1.0 + step)


def merge_usual_factor(row: WorkerRow, factor: float, answers: int) -> None:
    """Merge the usual factor that a peer knows, weighted by its number of answers."""
    if not (answers > 0 and 0.0 < factor < math.inf):
        return
    speed = row.speed
    known = min(answers, MAX_PEER_ANSWERS)
    weight = min(MAX_PEER_WEIGHT, known / (known + speed.answers))
    surprise = math.log(_bounded(factor) / speed.usual_factor)
    speed.usual_factor = _bounded(speed.usual_factor * math.exp(weight * surprise))
    speed.answers = max(speed.answers, known)


def _bounded(factor: float) -> float:
    return min(MAX_FACTOR, max(MIN_FACTOR, factor))


def newest_slowdowns(
    fleet: Fleet, now: Millis, count: int, max_age_ms: int
) -> list[WorkerRow]:
    """Return up to `count` workers with young reports of a slowdown, newest first."""
    rows = [
        row
        for row in fleet.workers.rows.values()
        if row.speed.slowdown_at == row.reported_at > now - max_age_ms
    ]
    return sorted(rows, key=lambda row: -row.reported_at)[:count]


def excused_factor(row: WorkerRow, now: Millis) -> float:
    """Return how much longer a worker's machine takes now, for judging its version.

    It is the slowdown that the worker reports, at least 1. The usual factor excuses
    nothing: that of an entering version's worker was learned from the very answers that
    are judged, and if only the leaving version's answers were excused by it, a good
    version on the same mix of machines would look slow.
    """
    return max(1.0, present_slowdown(row, now))


def update_slow_mark(row: WorkerRow) -> bool:
    """Update whether a worker counts as usually slow; return whether that changed."""
    speed = row.speed
    if speed.answers < MIN_SERVICE_ANSWERS:
        return False
    bound = NO_LONGER_SLOW_FACTOR if speed.slow else SLOW_WORKER_FACTOR
    was_slow, speed.slow = speed.slow, speed.usual_factor >= bound
    return speed.slow is not was_slow
