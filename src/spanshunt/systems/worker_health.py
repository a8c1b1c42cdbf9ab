"""Health of a worker, from its load reports and answers, and its ejection."""

import msgspec

from ..ids import Millis
from ..tables.workers import WorkerRow
from .worker_speed import record_slowdown

EJECTION_MS = 600
"""First ejection of a worker that can't be reached, in ms; doubled with each further
failure. It is short because a worker that is back must get requests again."""

MAX_EJECTION_MS = 5_000
"""Longest ejection of a worker, in ms."""

EJECTION_FAILURES = 3
"""Consecutive failed answers after which a worker is ejected, if it was reachable each
time. One such failure may be the request's fault."""

FAILING_TOGETHER_MS = 300
"""Failures to reach a worker within this time of the last one counted are not counted
again, in ms: half of the first ejection."""

TOGETHER_MS = 20
"""Reports of a worker within this time come together, in ms: answers of requests that
were sent together pass the network and this box within it."""

_ERROR_SMOOTHING = 0.15
_TTFT_SMOOTHING = 0.2


class WorkerLoad(msgspec.Struct, frozen=True):
    """Load that a worker reports: running and waiting requests, and its slots.

    ``slowdown`` is the time that work takes there now, as a multiple of what the worker
    usually takes; None if it reports none.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


def record_load(row: WorkerRow, load: WorkerLoad, now: Millis) -> None:
    """Record a load report of a worker."""
    row.reported = load.running + load.waiting
    row.queued = load.waiting
    row.own_inflight_at_report = row.inflight
    row.slots = max(1, load.slots)
    row.reported_at = now
    record_others(row, max(0, row.own_inflight_at_report - 1), now)
    if load.slowdown is not None:
        record_slowdown(row, load.slowdown, now)


def record_relayed_load(row: WorkerRow, load: WorkerLoad, at: Millis) -> bool:
    """Record a load report that another box got from a worker at `at`, if it is newer.

    How many of the requests in it are this box's own is not known: some that are in
    progress now began after it, some that it counts have ended. They are taken to be as
    many as are in progress now, so that the load is never below these, and never above
    the reported number and what this box sends from now on.
    """
    if at <= row.reported_at:
        return False
    record_load(row, load, at)
    row.own_inflight_at_report = min(row.inflight, row.reported)
    record_others(row, row.own_inflight_at_report, at)
    return True


def record_others(row: WorkerRow, own: int, now: Millis) -> None:
    """Record how many requests of other boxes a worker has, by its newest report.

    `own` of the reported requests are this box's. A report that comes with an answer
    need not count the answered request, which this box still has in progress; callers
    leave that one out of `own`. Of reports that come together the lowest counts,
    because they may arrive in another order than the worker made them.
    """
    others = max(0, row.reported - own)
    if row.others_at >= 0 and now - row.others_at < TOGETHER_MS:
        row.others = min(row.others, others)
        return
    row.others = others
    row.others_at = now


def record_answer(row: WorkerRow, first_ms: float, *, good: bool, now: Millis) -> None:
    """Record the outcome of an answer and its time to the first byte.

    A worker with too many consecutive failures is ejected for a while.
    """
    row.error_rate += _ERROR_SMOOTHING * ((0.0 if good else 1.0) - row.error_rate)
    if good:
        row.failures = 0
        row.ejected_until = Millis(0)
        mean = row.ttft_ms or first_ms
        row.ttft_ms = mean + _TTFT_SMOOTHING * (first_ms - mean)
        return
    row.failures += 1
    if row.failures >= EJECTION_FAILURES:
        _eject(row, now)


def record_unreachable(row: WorkerRow, now: Millis) -> None:
    """Eject a worker for a while that can't be reached or stopped responding.

    An ejected worker gets requests only if no other worker is left. Requests that fail
    together count as one failure: those that wait for a silent worker end one after the
    other, though it may be silent for a second only.
    """
    if row.failed_at >= 0 and now - row.failed_at < FAILING_TOGETHER_MS:
        return
    row.failed_at = now
    row.failures += 1
    _eject(row, now)


def _eject(row: WorkerRow, now: Millis) -> None:
    doublings = min(row.failures - 1, 4)
    row.ejected_until = Millis(now + min(MAX_EJECTION_MS, EJECTION_MS * 2**doublings))
