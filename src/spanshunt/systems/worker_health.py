"""What answers tell of a worker: its load, its failures, and when to leave it out."""

import msgspec

from ..ids import Millis
from ..tables.workers import WorkerRow

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


class Load(msgspec.Struct, frozen=True):
    """What a worker says of its load: requests running, waiting, and its slots."""

    running: int
    waiting: int
    slots: int


def note_load(row: WorkerRow, load: Load, now: Millis) -> None:
    """Take a worker's own word of its load into its row."""
    row.reported = load.running + load.waiting
    row.queued = load.waiting
    row.own_inflight_at_report = row.inflight
    row.slots = max(1, load.slots)
    row.reported_at = now


def note_answer(row: WorkerRow, first_ms: float, *, good: bool, now: Millis) -> None:
    """Take an answer into the row: its time to the first byte, and whether it failed.

    A worker whose answers fail one after the other is left out for a while.
    """
    row.error_rate += _ERROR_SMOOTHING * ((0.0 if good else 1.0) - row.error_rate)
    if good:
        row.failures = 0
        row.ejected_until = Millis(0)
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
    row.ejected_until = Millis(now + min(SUSPECT_MAX_MS, SUSPECT_MS * 2**doublings))
