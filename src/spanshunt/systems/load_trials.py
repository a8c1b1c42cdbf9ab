"""Trials of an entering version under the load that it would carry alone.

While a version gets a small share of a service's requests, spread over all its workers,
each of them is nearly idle, and a version that is bad only under load shows no fault.
Its requests are therefore concentrated: a few of its workers at a time get most of
them, so that each of these carries about the load of full service.

The workers of a turn follow from the order's age, so boxes agree on them without
exchanging messages. A worker in its turn is only preferred: requests go elsewhere if it
cannot take them, or once it is busier than any worker of the leaving version.
"""

import math
import typing as t

from ..ids import Millis
from ..ids import ServiceId
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Verdict
from ..tables.workers import WorkerRow
from ..utils import unit_hash
from .exposing import SESSIONS_FROM
from .exposing import entering_share
from .exposing import fleet_request_rate
from .exposing import full_phase_start_ms
from .exposing import order_steps

TURNS = 2
"""Number of turns in the part of an order in which sessions enter. A turn must be long,
as the requests of several seconds run at once at an engine, and with a single turn a
fault of the worker in it could not be told from one of the version."""

MAX_TURN_MS = 6_000
"""Longest turn, in ms."""

CONTROL_SHARE = 0.2
"""Share of the entering requests that go to any worker of the version. Their answers
tell whether a fault is the version's or that of the worker in its turn."""

MIN_TURN_REQUESTS = 8.0
"""Least number of requests that the version must get in a turn. With fewer, turns would
load no worker and would only leave most workers untested."""

LOADED_PART = 0.55
"""Part of the load of full service from which on a worker counts as loaded."""

MIN_RUNNING = 0.1
"""Requests at once at each worker, on average, below which there is no load."""

REPORT_VALID_MS = 2_000
"""Age up to which the load that a worker reported counts, in ms."""


def update_load_trial(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Update the load trial of a running order; return whether turns began or ended.

    It follows measured rates, so it is computed once a tick and not for each request.
    """
    if now < row.began + full_phase_start_ms(fleet, row):
        _update_usual_load(fleet, row, now)
    had_turns = row.has_turns
    row.has_turns = _has_turns(fleet, row, now)
    return row.has_turns is not had_turns


def _update_usual_load(fleet: Fleet, row: RolloutRow, now: Millis) -> None:
    """Update the load from which on a worker of the version counts as loaded."""
    entering = fleet.workers.find_capable(row.service, row.version)
    leaving = [
        worker
        for worker in fleet.workers.find_capable(row.service, None)
        if row.version not in worker.versions
    ]
    if not entering or not leaving:
        return
    carried = sum(_known_load(worker, now) * worker.slots for worker in leaving)
    usual = carried / sum(worker.slots for worker in entering)
    row.loads_measured += 1
    row.usual_load += (usual - row.usual_load) / row.loads_measured
    least = 1 / min(worker.slots for worker in entering)
    row.loaded_from = max(least, LOADED_PART * row.usual_load)


def _has_turns(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    if now >= row.began + full_phase_start_ms(fleet, row):
        return False
    rate = fleet_request_rate(fleet, row, now)
    share = entering_share(fleet, row, now, in_session=True)
    return rate * share * _turn_ms(fleet, row) / 1_000 >= MIN_TURN_REQUESTS


def _turn_ms(fleet: Fleet, row: RolloutRow) -> int:
    entering_part = order_steps(fleet, row).full_at - SESSIONS_FROM
    return min(MAX_TURN_MS, int(entering_part * row.duration_ms / TURNS))


def is_loaded(fleet: Fleet, service: ServiceId, worker: WorkerRow, now: Millis) -> bool:
    """Return whether a worker that gets a request is loaded, while an order runs."""
    row = fleet.rollouts.rows.get(service)
    if row is None or row.verdict is not Verdict.RUNNING:
        return False
    return _known_load(worker, now) >= row.loaded_from


def has_load(fleet: Fleet, row: RolloutRow) -> bool:
    """Return whether requests would run at once at a worker of the version."""
    entering = fleet.workers.find_capable(row.service, row.version)
    slots = min((worker.slots for worker in entering), default=1)
    return row.usual_load * slots >= MIN_RUNNING


def _known_load(worker: WorkerRow, now: Millis) -> float:
    """Return the requests at a worker as a fraction of its slots.

    Other boxes' requests count in full, not less with the age of the report: the usual
    load is compared, not the next moment estimated.
    """
    running = worker.inflight
    if worker.reported_at and now - worker.reported_at < REPORT_VALID_MS:
        running += max(0, worker.reported - worker.own_inflight_at_report)
    return running / max(1, worker.slots)


def workers_in_turn(
    fleet: Fleet,
    row: RolloutRow,
    request: str,
    tried: t.Collection[WorkerId],
    share: float,
    now: Millis,
) -> frozenset[WorkerId]:
    """Return the workers that a request of the entering version should go to.

    Empty means any worker of the version: the requests are not concentrated, or this
    one is a control. If a request goes to several workers one after the other, as when
    it is asked of a larger model, the later ones follow in the order of the turns, so
    the long answers of larger models are concentrated, too.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    row : RolloutRow
        The order.
    request : str
        The request, which is hashed to select controls.
    tried : collection of str
        Workers that already received the request.
    share : float
        Share of the requests that the version gets now, in 0 to 1.
    now : int
        The time, in ms.
    """
    if not row.has_turns or unit_hash("control", request) < CONTROL_SHARE:
        return frozenset()
    names = sorted(
        worker.name
        for worker in fleet.workers.find_capable(row.service, row.version)
        if worker.name not in fleet.workers.leaving
    )
    if len(names) < 2:
        return frozenset()
    count = max(1, math.floor(share * (1 - CONTROL_SHARE) * len(names)))
    entered_ms = now - row.began - int(SESSIONS_FROM * row.duration_ms)
    first = entered_ms // _turn_ms(fleet, row) * count % len(names)
    in_order = [*names[first:], *names[:first]]
    return frozenset([name for name in in_order if name not in tried][:count])
