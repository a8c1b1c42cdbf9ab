"""Choice of a worker from delayed load reports and this box's own exact counts.

``spanshuntd`` uses this module; the choice of ``spanshunt.platform.node``, which also
considers prompts and failure domains, is in `placing`.
"""

import random
import typing as t

from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..tables.workers import WorkerRow
from ..tables.workers import Workers
from ..tables.workers import WorkerState

SAMPLE_SIZE = 3
"""Number of workers drawn at random, of which the least loaded is taken."""

MAX_FULL_SCAN = 32
"""Maximum number of workers that are all examined. Of more workers, a random sample of
half this number is examined."""

EJECT_AFTER = 3
"""Number of consecutive failures after which a worker is ejected."""

EJECT_MS = 5_000
"""Duration of the first ejection, in ms. Each further failure doubles it."""

EJECT_MAX_MS = 60_000
"""Maximum duration of an ejection, in ms."""

_SMOOTHING = 0.2
_OTHERS_WEIGHT = 0.5

Picker = t.Callable[[list[WorkerRow]], WorkerRow]
"""Selects one worker from a non-empty list of usable workers."""


def eligible_workers(
    workers: Workers,
    service: ServiceId,
    version: VersionId | None,
    tried: t.Collection[WorkerId],
    rng: random.Random,
) -> list[WorkerRow]:
    """Return the live workers that can answer, except those tried already.

    Of many workers a random sample is examined first, so that the time taken mostly
    does not grow with their number. If the sample has no live worker, all are examined;
    if there is still none, ejected workers are returned.
    """
    able = workers.find_capable(service, version)
    if len(able) > MAX_FULL_SCAN:
        sample = _usable(workers, rng.sample(able, MAX_FULL_SCAN // 2), tried)
        live = [row for row in sample if row.state is WorkerState.LIVE]
        if live:
            return live
    usable = _usable(workers, able, tried)
    live = [row for row in usable if row.state is WorkerState.LIVE]
    return live or usable


def _usable(
    workers: Workers, rows: list[WorkerRow], tried: t.Collection[WorkerId]
) -> list[WorkerRow]:
    return [
        row
        for row in rows
        if row.name not in tried
        and row.name not in workers.leaving
        and row.state is not WorkerState.LEAVING
    ]


def estimated_load(row: WorkerRow) -> float:
    """Return the worker's estimated load, as a fraction of its batch.

    The report counts the requests of all boxes but is old; this box's own requests are
    counted exactly. The requests of other boxes count half, because some of them have
    ended by now, and because many boxes would otherwise pick the same worker from the
    same old report. Their weight does not depend on the age of the report, unlike in
    `placing.batch_load`.
    """
    others = max(0, row.reported - row.own_inflight_at_report)
    return (row.inflight + _OTHERS_WEIGHT * others) / max(1, row.slots)


def least_loaded_picker(rng: random.Random) -> Picker:
    """Return a picker that takes the least loaded of a few workers drawn at random."""

    def pick(rows: list[WorkerRow]) -> WorkerRow:
        drawn = rng.sample(rows, min(SAMPLE_SIZE, len(rows)))
        return min(drawn, key=estimated_load)

    return pick


def record_success(row: WorkerRow, ttft_ms: float, token_ms: float) -> None:
    """Record the times of a successful answer in the worker's row."""
    row.failures = 0
    if row.state is WorkerState.EJECTED:
        row.state = WorkerState.LIVE
    row.ttft_ms = _smooth(row.ttft_ms, ttft_ms)
    row.token_ms = _smooth(row.token_ms, token_ms)


def record_failure(workers: Workers, row: WorkerRow, now: Millis) -> None:
    """Record a failed request in the worker's row; eject the worker after too many."""
    row.failures += 1
    if row.failures >= EJECT_AFTER and row.state is not WorkerState.LEAVING:
        doublings = min(row.failures - EJECT_AFTER, 6)
        duration = min(EJECT_MS * 2**doublings, EJECT_MAX_MS)
        row.state = WorkerState.EJECTED
        workers.ejected.add(row.name)
        row.ejected_until = Millis(now + duration)


def end_ejections(workers: Workers, now: Millis) -> None:
    """Make workers live again whose ejection has expired."""
    for name in list(workers.ejected):
        row = workers.rows.get(name)
        if row is None or row.state is not WorkerState.EJECTED:
            workers.ejected.discard(name)
        elif now >= row.ejected_until:
            workers.ejected.discard(name)
            row.state = WorkerState.LIVE
            row.failures = EJECT_AFTER - 1


def _smooth(old: float, new: float) -> float:
    return new if old == 0.0 else old + _SMOOTHING * (new - old)
