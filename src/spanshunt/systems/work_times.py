"""Usual times of work without a queue, by route, learned from answers."""

from ..ids import Millis
from ..tables.catalog import RouteRow
from ..tables.fleet import Fleet
from ..tables.waiting import WorkTime
from ..tables.workers import WorkerRow
from .worker_speed import time_factor

MAX_STEP, MIN_STEP = 0.6, 0.06
"""Relative steps by which a learned time changes, at first and later."""


def usual_work_ms(fleet: Fleet, route: RouteRow) -> float:
    """Return the usual time of work of a route's requests, in ms; 0 if unknown."""
    known = fleet.work_times.get(route.name)
    return known.usual_ms if known is not None else 0.0


def learn_work_time(
    fleet: Fleet, route: RouteRow, worker: WorkerRow, took_ms: float, now: Millis
) -> None:
    """Move a route's usual time towards the median of the times of its answers.

    `took_ms` is the time of an answer of a worker that had a free slot.
    """
    took_ms /= time_factor(worker, now)
    known = fleet.work_times.get(route.name)
    if known is None:
        fleet.work_times[route.name] = WorkTime(max(1.0, took_ms))
        return
    known.answers += 1
    step = max(MIN_STEP, MAX_STEP / known.answers) / 2
    known.usual_ms *= 1.0 + (step if took_ms > known.usual_ms else -step)


def forget_work_times(fleet: Fleet) -> None:
    """Remove the times of routes that the catalog no longer has."""
    if fleet.catalog is None:
        return
    names = {route.name for route in fleet.catalog.routes}
    for name in fleet.work_times.keys() - names:
        del fleet.work_times[name]
