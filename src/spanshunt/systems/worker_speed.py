"""How fast each worker is: its usual speed, and what it reports of the present one.

Two things are kept apart. The usual factor is learned from the times of a worker's
answers against its service's usual times, shared between boxes and forgotten with the
worker's incarnation. The slowdown is what the worker reports of its machine at this
moment, and loses weight with its age.
"""

from ..ids import Millis
from ..tables.workers import WorkerRow

SLOWDOWN_HALF_LIFE_MS = 200
"""Half-life of the weight of a reported slowdown, in ms: machines that are shared with
others change several times a second."""

MIN_SLOWDOWN = 0.25
"""Shortest time of work that is believed of a report, as a multiple of the worker's
usual one, so that a report that is wrong does not draw all requests."""


def time_factor(row: WorkerRow, now: Millis) -> float:
    """Return the time of work that a worker begins now, against the service's usual.

    It is a multiple: 2 for a worker that takes twice as long as its service usually
    does. It is exactly 1 for a worker of which nothing is known.
    """
    return row.speed.usual_factor * present_slowdown(row, now)


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
