"""How fast each worker is: its usual speed, and what it reports of the present one.

Two things are kept apart. The usual factor is learned from the times of a worker's
answers against its service's usual times, shared between boxes and forgotten with the
worker's incarnation. The slowdown is what the worker reports of its machine at this
moment, and loses weight with its age.
"""

from ..ids import Millis
from ..tables.workers import WorkerRow


def time_factor(row: WorkerRow, now: Millis) -> float:
    """Return the time of work that a worker begins now, against the service's usual.

    It is a multiple: 2 for a worker that takes twice as long as its service usually
    does. It is exactly 1 for a worker of which nothing is known.
    """
    return row.speed.usual_factor
