"""Why a connection to a worker broke: whether the worker has ended, and under what."""

from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .keeping_back import keep_back
from .logs import log_event
from .systems.ending import record_broken_connection
from .systems.ending import record_worker_end
from .systems.quarantining import record_end_during
from .systems.quarantining import update_quarantine
from .tables.suspects import BrokenConnection
from .tables.workers import WorkerRow
from .worker_probes import Presence

FINGERPRINTS_SHOWN = 16
"""Contents named in one log line at most."""


async def look_into(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Find out whether a worker ended under a request, before that goes on."""
    if not attempt.broke:
        return
    worker = attempt.worker
    now = core.clock.now()
    broke = BrokenConnection(state.fingerprint, attempt.service, now)
    record_broken_connection(core.fleet, worker, broke)
    if worker.ended_at >= attempt.sent:
        take_end(core, worker, "known before")
    elif await core.probe(worker) is Presence.GONE:
        take_end(core, worker, "connection refused")
    if worker.ended_at >= 0:
        await core.recall()


def take_end(core: Core, worker: WorkerRow, evidence: str) -> None:
    """Take in that a worker has ended, and hold it against what it had."""
    fleet, now = core.fleet, core.clock.now()
    known = worker.ended_at >= 0
    aboard = record_worker_end(fleet, worker, now)
    if known and not aboard:
        return
    core.count("worker_ends")
    contents = {broke.fingerprint: broke.service for broke in aboard}
    log_event(
        "WARNING",
        "worker ended",
        worker=worker.name,
        evidence=evidence,
        aboard=len(aboard),
        fingerprints=sorted(contents)[:FINGERPRINTS_SHOWN],
    )
    rows = [
        record_end_during(fleet, content, service, worker, now)
        for content, service in contents.items()
    ]
    for row in rows:
        if update_quarantine(fleet, row, now):
            keep_back(core, row, "own evidence")
