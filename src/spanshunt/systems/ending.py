"""Ends of workers, and the requests that a worker was processing when it ended.

A broken connection alone tells little: network links fail, idle connections are closed,
and workers abort answers and go on. A worker has ended if its address refuses
connections just after, or if another incarnation of it, or another worker, appears at
that address.
"""

from ..ids import Millis
from ..tables.engines import PromptCache
from ..tables.fleet import Fleet
from ..tables.suspects import BrokenConnection
from ..tables.workers import WorkerRow
from .throttling import forget_limit
from .warming import note_started

BREAK_COUNTS_MS = 5_000
"""How long before the detected end of a worker a broken connection still counts as part
of it, in ms. If the address keeps accepting connections, only the list shows the end,
once the worker is back some seconds later."""

BREAKS_KEPT = 256
"""Maximum number of broken connections kept per worker: twice the number of requests
that an engine runs."""


def note_break(fleet: Fleet, worker: WorkerRow, broken: BrokenConnection) -> None:
    """Record that a worker's connection broke during a request."""
    breaks = fleet.broken_connections.setdefault(worker.name, [])
    breaks.append(broken)
    del breaks[:-BREAKS_KEPT]


def note_end(fleet: Fleet, worker: WorkerRow, now: Millis) -> list[BrokenConnection]:
    """Record that a worker ended; return the broken connections that this explains."""
    worker.ended_at = now
    _forget_life(worker)
    forget_limit(worker, now)
    note_started(fleet, worker, now)
    for prefill in [row for row in fleet.recent_prefills if row.worker == worker.name]:
        fleet.recent_prefills.remove(prefill)
    breaks = fleet.broken_connections.pop(worker.name, [])
    return [broken for broken in breaks if now - broken.at <= BREAK_COUNTS_MS]


def note_return(fleet: Fleet, worker: WorkerRow, now: Millis) -> None:
    """Record an answer of a worker; one that had ended has a new incarnation."""
    if worker.ended_at >= 0:
        worker.ended_at = Millis(-1)
        worker.return_count += 1
        note_started(fleet, worker, now)


def _forget_life(worker: WorkerRow) -> None:
    """Reset the state of a worker that ended; its next incarnation starts empty."""
    worker.kept = PromptCache()
    worker.reported = worker.own_inflight_at_report = worker.queued = 0
    worker.reported_at = Millis(0)
    worker.peer_prefill_ms.clear()
    worker.unreported_prefill_ms = 0.0
    worker.error_rate = 0.0


def forget_breaks(fleet: Fleet, now: Millis) -> None:
    """Remove the broken connections that are too old to belong to an end."""
    for name, breaks in list(fleet.broken_connections.items()):
        if now - breaks[-1].at > BREAK_COUNTS_MS:
            del fleet.broken_connections[name]
