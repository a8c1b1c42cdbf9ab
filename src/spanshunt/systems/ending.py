"""Workers that end, and which requests they had as they did.

A connection that breaks tells little: links are cut, kept connections go stale, workers
break answers off and go on. That a worker has ended shows when its address refuses
connections just after, or when another life of it, or another worker, is there.
"""

from ..ids import Millis
from ..tables.engines import PromptCache
from ..tables.fleet import Fleet
from ..tables.suspects import BrokenConnection
from ..tables.workers import WorkerRow
from .throttling import forget_limit
from .warming import note_started

BREAK_COUNTS_MS = 5_000
"""How long before a worker is known to have ended a break counts as part of that, in
ms: where an address takes connections for it, only the list shows the end, when the
worker is back some seconds later."""

BREAKS_KEPT = 256
"""Breaks remembered of one worker at most: twice the requests that an engine runs."""


def note_break(fleet: Fleet, worker: WorkerRow, broke: BrokenConnection) -> None:
    """Remember that a worker's connection ended under a request."""
    breaks = fleet.broken_connections.setdefault(worker.name, [])
    breaks.append(broke)
    del breaks[:-BREAKS_KEPT]


def note_end(fleet: Fleet, worker: WorkerRow, now: Millis) -> list[BrokenConnection]:
    """Take in that a worker has ended; return the breaks that this explains."""
    worker.ended_at = now
    _forget_life(worker)
    forget_limit(worker, now)
    note_started(fleet, worker, now)
    for read in [read for read in fleet.recent_prefills if read.worker == worker.name]:
        fleet.recent_prefills.remove(read)
    breaks = fleet.broken_connections.pop(worker.name, [])
    return [broke for broke in breaks if now - broke.at <= BREAK_COUNTS_MS]


def note_return(fleet: Fleet, worker: WorkerRow, now: Millis) -> None:
    """Take in that a worker answers: one that had ended is back, in another life."""
    if worker.ended_at >= 0:
        worker.ended_at = Millis(-1)
        worker.return_count += 1
        note_started(fleet, worker, now)


def _forget_life(worker: WorkerRow) -> None:
    """Drop what was believed of a worker that has ended: whatever is back is empty."""
    worker.kept = PromptCache()
    worker.reported = worker.own_inflight_at_report = worker.queued = 0
    worker.reported_at = Millis(0)
    worker.peer_prefill_ms.clear()
    worker.unreported_prefill_ms = 0.0
    worker.error_rate = 0.0


def forget_breaks(fleet: Fleet, now: Millis) -> None:
    """Drop the breaks that no end can explain any more."""
    for name, breaks in list(fleet.broken_connections.items()):
        if now - breaks[-1].at > BREAK_COUNTS_MS:
            del fleet.broken_connections[name]
