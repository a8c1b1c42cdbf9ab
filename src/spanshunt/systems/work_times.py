"""Usual times of work without a queue, by route, learned from answers."""

from ..ids import Millis
from ..tables.catalog import RouteRow
from ..tables.fleet import Fleet
from ..tables.waiting import WorkTime
from ..tables.workers import WorkerRow
from .worker_speed import time_factor

MAX_STEP, MIN_STEP = 0.3, 0.03
"""Relative steps by which a learned time changes: `MAX_STEP` divided by the number of
answers, but at least `MIN_STEP`."""

MIN_INFERRED_WAIT = 0.25
"""Time beyond the usual, as a fraction of it, from which an answer is taken to have
waited behind others: work varies by itself."""


def usual_work_ms(fleet: Fleet, route: RouteRow) -> float:
    """Return the usual time of work of a route's requests, in ms; 0 if unknown."""
    known = fleet.work_times.get(route.name)
    return known.usual_ms if known is not None else 0.0


def learn_work_time(
    fleet: Fleet,
    route: RouteRow,
    worker: WorkerRow,
    took_ms: float,
    now: Millis,
    *,
    was_free: bool,
) -> None:
    """Move a route's usual time towards the median of the times of its answers.

    As long as no answer came without a possible queue, the shortest time counts.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    route : RouteRow
        The route of the request.
    worker : WorkerRow
        The worker, with the report that came with the answer.
    took_ms : float
        Time from the sending of the request to the head of its answer, in ms.
    now : int
        The time, in ms.
    was_free : bool
        Whether all workers of the service were believed to have a free slot, so that
        the request hardly waited.
    """
    took_ms = max(1.0, took_ms / time_factor(worker, now))
    known = fleet.work_times.get(route.name)
    if not was_free or worker.queued:
        if known is None:
            known = fleet.work_times[route.name] = WorkTime(took_ms, answers=0)
        if not known.answers:
            known.usual_ms = min(known.usual_ms, took_ms)
        return
    if known is None or not known.answers:
        fleet.work_times[route.name] = WorkTime(took_ms)
        return
    known.answers += 1
    step = max(MIN_STEP, MAX_STEP / known.answers)
    known.usual_ms *= 1.0 + (step if took_ms > known.usual_ms else -step)


def infer_others(
    fleet: Fleet, route: RouteRow, worker: WorkerRow, took_ms: float, now: Millis
) -> None:
    """Infer the load of a worker that reports none from the time of its answer.

    Time beyond the route's usual is taken to be the wait behind a full batch, and the
    worker to have as many requests now as it had then.
    """
    usual_ms = usual_work_ms(fleet, route) * time_factor(worker, now)
    if worker.reported_at or usual_ms <= 0.0:
        return
    waited = took_ms / usual_ms - 1.0
    if waited < MIN_INFERRED_WAIT:
        worker.others = 0
        return
    held = round(worker.slots * (1.0 + waited))
    worker.others = max(0, held - worker.inflight)
    worker.others_at = now


def forget_work_times(fleet: Fleet) -> None:
    """Remove the times of routes that the catalog no longer has."""
    if fleet.catalog is None:
        return
    names = {route.name for route in fleet.catalog.routes}
    for name in fleet.work_times.keys() - names:
        del fleet.work_times[name]
