"""Health of a worker, from its load reports and answers, and its ejection."""

import msgspec

from ..ids import Millis
from ..tables.workers import WorkerRow

SUSPECT_MS = 600
"""First ejection of a worker that can't be reached, in ms; doubled with each further
failure. It is short because a worker that is back must get requests again."""

SUSPECT_MAX_MS = 5_000
"""Longest ejection of a worker, in ms."""

STREAK = 3
"""Consecutive failed answers after which a worker is ejected, if it was reachable each
time. One such failure may be the request's fault."""

_ERROR_SMOOTHING = 0.15
_TIME_SMOOTHING = 0.2


class Load(msgspec.Struct, frozen=True):
    """Load that a worker reports: running and waiting requests, and its slots."""

    running: int
    waiting: int
    slots: int


def note_load(row: WorkerRow, load: Load, now: Millis) -> None:
    """Record a load report of a worker."""
    row.reported = load.running + load.waiting
    row.queued = load.waiting
    row.own_inflight_at_report = row.inflight
    row.slots = max(1, load.slots)
    row.reported_at = now


def note_answer(row: WorkerRow, first_ms: float, *, good: bool, now: Millis) -> None:
    """Record the outcome of an answer and its time to the first byte.

    A worker with too many consecutive failures is ejected for a while.
    """
    row.error_rate += _ERROR_SMOOTHING * ((0.0 if good else 1.0) - row.error_rate)
    if good:
        row.failures = 0
        row.ejected_until = Millis(0)
        mean = row.ttft_ms or first_ms
        row.ttft_ms = mean + _TIME_SMOOTHING * (first_ms - mean)
        return
    row.failures += 1
    if row.failures >= STREAK:
        _leave_out(row, now)


def note_unreached(row: WorkerRow, now: Millis) -> None:
    """Eject a worker for a while that can't be reached or stopped responding."""
    row.failures += 1
    _leave_out(row, now)


def _leave_out(row: WorkerRow, now: Millis) -> None:
    doublings = min(row.failures - 1, 4)
    row.ejected_until = Millis(now + min(SUSPECT_MAX_MS, SUSPECT_MS * 2**doublings))
