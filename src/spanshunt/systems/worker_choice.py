"""Choice of a worker: lagged reports, corrected by what this box knows exactly."""

import random
import typing as t

from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..tables.workers import WorkerRow
from ..tables.workers import Workers
from ..tables.workers import WorkerState

SAMPLE = 3
"""Workers drawn at random before the least loaded of them is taken."""

WHOLE_VIEW = 32
"""Up to this many workers are all looked at; of more, half this many at random."""

EJECT_AFTER = 3
"""Failures in a row that eject a worker."""

EJECT_MS = 5_000
"""How long the first ejection lasts; each further failure doubles it."""

EJECT_MAX_MS = 60_000
"""The longest ejection."""

_SMOOTHING = 0.2
_REMOTE_WEIGHT = 0.5

Picker = t.Callable[[list[WorkerRow]], WorkerRow]
"""Takes one of the workers that may be used; the list is not empty."""


def eligible(
    workers: Workers,
    service: ServiceId,
    version: VersionId | None,
    tried: t.Collection[WorkerId],
    rng: random.Random,
) -> list[WorkerRow]:
    """Return live workers that can answer, less those tried already.

    Of many workers only a random sample is looked at, so that the time taken does not
    grow with them. When no live one is left, an ejected one is better than none.
    """
    able = workers.find_capable(service, version)
    if len(able) > WHOLE_VIEW:
        sample = _usable(workers, rng.sample(able, WHOLE_VIEW // 2), tried)
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


def load_of(row: WorkerRow) -> float:
    """Return the worker's estimated load in parts of its batch.

    The report counts every box's requests but is old; this box's own requests since
    are exact. Others' part is taken at half, as some of it has ended by now and each
    of many boxes would else run from the same old report to the same worker.
    """
    others = max(0, row.reported - row.own_inflight_at_report)
    return (row.inflight + _REMOTE_WEIGHT * others) / max(1, row.slots)


def least_of_sample(rng: random.Random) -> Picker:
    """Return a picker: the least loaded of a few drawn at random."""

    def pick(rows: list[WorkerRow]) -> WorkerRow:
        drawn = rng.sample(rows, min(SAMPLE, len(rows)))
        return min(drawn, key=load_of)

    return pick


def note_success(row: WorkerRow, ttft_ms: float, token_ms: float) -> None:
    """Take the times of an answer into the worker's row."""
    row.failures = 0
    if row.state is WorkerState.EJECTED:
        row.state = WorkerState.LIVE
    row.ttft_ms = _smooth(row.ttft_ms, ttft_ms)
    row.token_ms = _smooth(row.token_ms, token_ms)


def note_failure(workers: Workers, row: WorkerRow, now: Millis) -> None:
    """Take a failed request into the worker's row; too many eject it."""
    row.failures += 1
    if row.failures >= EJECT_AFTER and row.state is not WorkerState.LEAVING:
        doublings = min(row.failures - EJECT_AFTER, 6)
        duration = min(EJECT_MS * 2**doublings, EJECT_MAX_MS)
        row.state = WorkerState.EJECTED
        workers.ejected.add(row.name)
        row.ejected_until = Millis(now + duration)


def let_back(workers: Workers, now: Millis) -> None:
    """Let ejected workers back whose time is over."""
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
