"""Choice of a worker for one attempt: load, prompt memory, distance, health.

Each candidate gets an estimate of what it costs to run there, in parts of a batch; the
cheapest is taken. Boxes see the same old reports, so the estimate counts this box's own
requests exactly and draws among near equals at random.
"""

import random
import typing as t

import msgspec

from ..ids import DomainId
from ..ids import Millis
from ..ids import ServiceId
from ..ids import WorkerId
from ..tables.workers import WorkerRow
from ..tables.workers import Workers
from ..tables.workers import WorkerState
from ..utils import rendezvous
from .ramping import VersionRule

FAR_COST = 0.35
"""What another failure domain costs, in parts of a batch: bytes between domains are
priced, and an answer from there must be that much sooner to be worth them."""

MISS_COST = 0.25
"""What a worker costs that probably lacks the prompt's shared parts, in parts of a
batch, for a prompt whose shared parts are half of it; in proportion else."""

ERROR_COST = 2.0
"""What a worker costs that fails all its answers, in parts of a batch."""

SLOW_COST = 0.15
"""What a worker costs whose first bytes come twice as late as usual, in parts of a
batch; in proportion else. Slots tell little of an engine that reads long prompts: at a
load of 0.2 of a batch, answers already came late."""

SLOWNESS_MOST = 6.0
"""Times the usual that one answer counts as at most."""

SLOWNESS_HALF_LIFE_MS = 1_500
"""How fast a worker's slowness is forgotten while it tells nothing, in ms: a queue of
prompts is read in about a second."""

PENDING_TOKENS = 60_000
"""Prompt tokens of this box that wait at a worker and count as one whole batch."""

NOISE = 0.04
"""Size of the random part, in parts of a batch: about one request of a batch of 32."""

REPORT_HALF_LIFE_MS = 400
"""How fast other boxes' part of a worker's report loses weight, in ms: about the time
that a short answer takes."""

SUSPECT_MS = 600
"""How long a worker is left out after it could not be reached, in ms; doubled with each
further failure. Short, because a worker that is back must get work again."""

SUSPECT_MAX_MS = 5_000
"""Longest time that a worker is left out for, in ms."""

STREAK = 3
"""Failed answers in a row that leave a worker out, when none of them was a failure to
reach it: a worker's own failures may be the request's fault."""

_ERROR_SMOOTHING = 0.15
_TIME_SMOOTHING = 0.2
_SLOWNESS_SMOOTHING = 0.3


class Load(msgspec.Struct, frozen=True):
    """What a worker says of its load: requests running, waiting, and its slots."""

    running: int
    waiting: int
    slots: int


class Wanted(msgspec.Struct, frozen=True):
    """What an attempt needs of a worker.

    Attributes
    ----------
    service : str
        Who must answer.
    rule : VersionRule
        Which versions may answer.
    domain : str
        The failure domain of this box.
    memory_key : str
        Names the shared parts of the prompt for the model; "" for none.
    shared_part : float
        The part of the prompt that they are, in 0 to 1.
    avoid : collection of str
        Workers that had the request already.
    again : bool
        Whether one of these is better than none.
    silent : collection of str
        Workers that boxes found silent.
    """

    service: ServiceId
    rule: VersionRule
    domain: DomainId
    memory_key: str = ""
    shared_part: float = 0.0
    avoid: t.Collection[WorkerId] = ()
    again: bool = False
    silent: t.Collection[WorkerId] = ()


class Placed(msgspec.Struct, frozen=True):
    """A chosen worker, and what the choice rested on, for logs."""

    worker: WorkerRow
    load: float
    candidates: int
    report_age_ms: int


def place(
    workers: Workers, wanted: Wanted, now: Millis, rng: random.Random
) -> Placed | None:
    """Choose a worker, or none if no worker takes work."""
    rows = candidates(workers, wanted, now)
    if not rows:
        return None
    owners = _owners(rows, wanted)

    def cost(row: WorkerRow) -> float:
        miss = row.name not in owners
        return (
            estimate(row, now)
            + (FAR_COST if row.domain != wanted.domain else 0.0)
            + (2 * MISS_COST * wanted.shared_part if miss else 0.0)
            + ERROR_COST * row.error_rate
            + SLOW_COST * max(0.0, slowness(row, now) - 1.0)
            + row.pending_read / PENDING_TOKENS
            + NOISE * rng.random()
        )

    best = min(rows, key=cost)
    age = now - best.reported_at if best.reported_at else -1
    return Placed(best, estimate(best, now), len(rows), age)


def candidates(workers: Workers, wanted: Wanted, now: Millis) -> list[WorkerRow]:
    """Return workers that take work; a suspect one only where no other is left."""
    able = [
        row
        for row in workers.able(wanted.service, wanted.rule.only)
        if wanted.rule.admits(row.versions)
        and row.name not in workers.leaving
        and row.state is not WorkerState.LEAVING
    ]
    rows = [row for row in able if row.name not in wanted.avoid]
    if not rows and wanted.again:
        rows = able
    live = [row for row in rows if row.back_at <= now and row.name not in wanted.silent]
    return live or rows


def estimate(row: WorkerRow, now: Millis) -> float:
    """Return a worker's load in parts of its batch, requests in its queue twice."""
    age = max(0, now - row.reported_at)
    weight = 0.5 ** (age / REPORT_HALF_LIFE_MS) if row.reported_at else 0.0
    others = max(0, row.reported - row.inflight_at_report)
    queued = row.queued * weight
    return (row.inflight + others * weight + queued) / max(1, row.slots)


def slowness(row: WorkerRow, now: Millis) -> float:
    """Return how slow a worker is now, in parts of the usual; 1 if that is unknown."""
    age = max(0, now - row.slowness_at)
    kept: float = 0.5 ** (age / SLOWNESS_HALF_LIFE_MS)
    return 1.0 + (row.slowness - 1.0) * kept


def note_slowness(
    row: WorkerRow, first_ms: float, usual_ms: float, now: Millis
) -> None:
    """Take a time to the first byte into the worker's slowness."""
    if usual_ms <= 0.0:
        return
    before = slowness(row, now)
    told = min(SLOWNESS_MOST, first_ms / usual_ms)
    row.slowness = before + _SLOWNESS_SMOOTHING * (told - before)
    row.slowness_at = now


def note_load(row: WorkerRow, load: Load, now: Millis) -> None:
    """Take a worker's own word of its load into its row."""
    row.reported = load.running + load.waiting
    row.queued = load.waiting
    row.inflight_at_report = row.inflight
    row.slots = max(1, load.slots)
    row.reported_at = now


def note_answer(row: WorkerRow, first_ms: float, *, good: bool, now: Millis) -> None:
    """Take an answer into the row: its time to the first byte, and whether it failed.

    A worker whose answers fail one after the other is left out for a while.
    """
    row.error_rate += _ERROR_SMOOTHING * ((0.0 if good else 1.0) - row.error_rate)
    if good:
        row.failures = 0
        row.back_at = Millis(0)
        before = row.ttft_ms or first_ms
        row.ttft_ms = before + _TIME_SMOOTHING * (first_ms - before)
        return
    row.failures += 1
    if row.failures >= STREAK:
        _leave_out(row, now)


def note_unreached(row: WorkerRow, now: Millis) -> None:
    """Leave a worker out for a while that could not be reached or fell silent."""
    row.failures += 1
    _leave_out(row, now)


def _leave_out(row: WorkerRow, now: Millis) -> None:
    doublings = min(row.failures - 1, 4)
    row.back_at = Millis(now + min(SUSPECT_MAX_MS, SUSPECT_MS * 2**doublings))


def _owners(rows: list[WorkerRow], wanted: Wanted) -> t.Collection[WorkerId]:
    """Return who probably keeps the prompt's shared parts: one near, one anywhere."""
    if not wanted.memory_key:
        return [row.name for row in rows]
    near = [row.name for row in rows if row.domain == wanted.domain]
    names = near or [row.name for row in rows]
    owners = rendezvous(wanted.memory_key, names, 1)
    return [WorkerId(name) for name in owners]
