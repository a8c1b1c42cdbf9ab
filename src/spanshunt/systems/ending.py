"""Ends of workers, and the requests that a worker was processing when it ended.

A broken connection alone tells little: network links fail, idle connections are closed,
and workers abort answers and go on. A worker has ended if its address refuses
connections just after, or if another incarnation of it, or another worker, appears at
that address. An incarnation is one run of a worker, from its start to its end.

Workers are listed in the store: each has an entry, and boxes read the list from there
or get it from peers. The entry of a worker that restarted may arrive seconds later.
"""

from ..ids import Millis
from ..tables.engines import PromptCache
from ..tables.fleet import Fleet
from ..tables.speeds import WorkerSpeed
from ..tables.suspects import BrokenConnection
from ..tables.workers import WorkerRow
from .throttling import clear_limit
from .warming import mark_cold

BREAK_VALID_MS = 5_000
"""How long before the detected end of a worker a broken connection still counts as part
of it, in ms. If the address keeps accepting connections, only the list of workers shows
the end, once the worker is back some seconds later."""

MAX_BREAKS = 256
"""Maximum number of broken connections kept per worker: twice the number of requests
that an engine runs."""


def record_broken_connection(
    fleet: Fleet, worker: WorkerRow, broken: BrokenConnection
) -> None:
    """Record that a worker's connection broke during a request."""
    breaks = fleet.broken_connections.setdefault(worker.name, [])
    breaks.append(broken)
    del breaks[:-MAX_BREAKS]


def record_worker_end(
    fleet: Fleet, worker: WorkerRow, now: Millis
) -> list[BrokenConnection]:
    """Record that a worker ended; return the broken connections that this explains."""
    worker.ended_at = now
    _reset_worker(worker)
    clear_limit(worker, now)
    mark_cold(fleet, worker, now)
    for prefill in [row for row in fleet.recent_prefills if row.worker == worker.name]:
        fleet.recent_prefills.remove(prefill)
    breaks = fleet.broken_connections.pop(worker.name, [])
    return [broken for broken in breaks if now - broken.at <= BREAK_VALID_MS]


def record_worker_return(fleet: Fleet, worker: WorkerRow, now: Millis) -> None:
    """Record that a worker answered; called for each answer.

    If this box had found that the worker ended, the answer counts as one of a new
    incarnation, also if that finding was wrong. Otherwise nothing changes.
    """
    if worker.ended_at >= 0:
        worker.ended_at = Millis(-1)
        worker.return_count += 1
        mark_cold(fleet, worker, now)


def _reset_worker(worker: WorkerRow) -> None:
    """Reset the state of a worker that ended; its next incarnation starts empty."""
    worker.kept = PromptCache()
    worker.reported = worker.own_inflight_at_report = worker.queued = 0
    worker.reported_at = Millis(0)
    worker.others = 0
    worker.others_at = Millis(-1)
    worker.peer_prefill_ms.clear()
    worker.unreported_prefill_ms = 0.0
    worker.error_rate = 0.0
    worker.speed = WorkerSpeed()


def expire_broken_connections(fleet: Fleet, now: Millis) -> None:
    """Remove the broken connections that are too old to belong to an end."""
    for name, breaks in list(fleet.broken_connections.items()):
        if now - breaks[-1].at > BREAK_VALID_MS:
            del fleet.broken_connections[name]
