"""Cause of broken connections: whether the worker ended, and during which contents."""

import collections
import typing as t

from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .keeping_back import enforce_quarantine
from .logs import log_event
from .systems.ending import record_broken_connection
from .systems.ending import record_worker_end
from .systems.quarantining import record_end_during
from .systems.quarantining import update_quarantine
from .tables.suspects import BrokenConnection
from .tables.workers import WorkerRow
from .worker_probes import Presence

FINGERPRINTS_SHOWN = 16
"""Maximum number of fingerprints in one log line."""

PARTS_SHOWN = 8
"""Maximum number of prompt parts in one log line."""

PART_NAME_SHOWN = 32
"""Maximum length of a prompt part's name in logs; callers choose the names."""


async def find_break_cause(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt
) -> None:
    """Find out whether a worker ended during a request, before its next attempt."""
    if not attempt.connection_broke:
        return
    worker = attempt.worker
    now = core.clock.now()
    names = shown_part_names(state)
    connection = BrokenConnection(state.fingerprint, attempt.service, now, names)
    record_broken_connection(core.fleet, worker, connection)
    if worker.ended_at >= attempt.sent:
        handle_worker_end(core, worker, "known before")
    elif await core.probe(worker) is Presence.GONE:
        handle_worker_end(core, worker, "connection refused")
    if worker.ended_at >= attempt.sent:
        state.ended_runs += 1
    if worker.ended_at >= 0:
        await core.load_quarantine()


def handle_worker_end(core: Core, worker: WorkerRow, evidence: str) -> None:
    """Record that a worker ended, and the end for the contents that it processed."""
    fleet, now = core.fleet, core.clock.now()
    already_ended = worker.ended_at >= 0
    broken = record_worker_end(fleet, worker, now)
    if already_ended and not broken:
        return
    core.count("worker_ends")
    contents = {connection.fingerprint: connection.service for connection in broken}
    log_event(
        "WARNING",
        "worker ended",
        worker=worker.name,
        evidence=evidence,
        aboard=len(broken),
        fingerprints=sorted(contents)[:FINGERPRINTS_SHOWN],
        parts=_count_parts(broken),
    )
    rows = [
        record_end_during(fleet, content, service, worker, now)
        for content, service in contents.items()
    ]
    for row in rows:
        if update_quarantine(fleet, row, now):
            enforce_quarantine(core, row, "own evidence")


def shown_part_names(state: CatalogRequest) -> tuple[str, ...]:
    """Return the names of a prompt's shared parts as logs show them."""
    parts = state.call.shared_parts[:PARTS_SHOWN]
    return tuple(part.name[:PART_NAME_SHOWN] for part in parts)


def _count_parts(broken: t.Iterable[BrokenConnection]) -> dict[str, int]:
    """Return in how many broken requests each prompt part was, most frequent first."""
    names = collections.Counter(name for conn in broken for name in conn.parts)
    return dict(names.most_common(PARTS_SHOWN))
