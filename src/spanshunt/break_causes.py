"""Cause of broken connections: whether the worker ended, and during which requests."""

import collections
import typing as t

from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .ids import Fingerprint
from .ids import Millis
from .keeping_back import enforce_quarantine
from .logs import log_event
from .systems.attributing import QUARANTINE_ENDS
from .systems.attributing import is_candidate
from .systems.ending import record_broken_connection
from .systems.ending import record_worker_end
from .systems.quarantining import record_end_during
from .systems.quarantining import update_quarantine
from .systems.quarantining import was_cleared_recently
from .tables.fleet import Fleet
from .tables.suspects import CONTENT_POSITION
from .tables.suspects import BrokenConnection
from .tables.suspects import RequestFeature
from .tables.suspects import SuspectFeature
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
    sent = Millis(attempt.sent)
    connection = BrokenConnection(state.features, attempt.service, now, sent)
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
    """Record that a worker ended, and the end for the features that it processed."""
    fleet, now = core.fleet, core.clock.now()
    already_ended = worker.ended_at >= 0
    broken = record_worker_end(fleet, worker, now)
    if already_ended and not broken:
        return
    core.count("worker_ends")
    aboard = {
        feature: connection.service
        for connection in broken
        for feature in connection.features
    }
    sent = _first_sent(broken)
    # A connection may break before its worker ends, and the probe takes some time.
    ended_at = max((connection.at for connection in broken), default=now)
    requests = collections.Counter(
        feature.fingerprint for connection in broken for feature in connection.features
    )
    contents = [one.fingerprint for one in aboard if one.position == CONTENT_POSITION]
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
        record_end_during(
            fleet,
            feature.fingerprint,
            service,
            worker,
            ended_at,
            feature.position,
            requests[feature.fingerprint],
            sent[feature.fingerprint],
        )
        for feature, service in aboard.items()
        if not _is_cleared_part(fleet, feature, now)
    ]
    _log_common_causes(rows)
    for row in rows:
        if update_quarantine(fleet, row, now):
            enforce_quarantine(core, row, "own evidence")


def _is_cleared_part(fleet: Fleet, feature: RequestFeature, now: Millis) -> bool:
    """Return whether a feature is a prompt part that this box has seen to be harmless.

    At each end there are several of these, which need no row.
    """
    return feature.position != CONTENT_POSITION and was_cleared_recently(
        fleet, feature.fingerprint, now
    )


def _log_common_causes(rows: t.Iterable[SuspectFeature]) -> None:
    """Log the contents that ends count against once, as they came together."""
    contents = [
        row.fingerprint
        for row in rows
        if row.position == CONTENT_POSITION
        and len(row.counted_ends()) >= QUARANTINE_ENDS
        and not is_candidate(row)
    ]
    if contents:
        log_event(
            "INFO",
            "ends of one moment",
            contents=len(contents),
            fingerprints=sorted(contents)[:FINGERPRINTS_SHOWN],
        )


def _first_sent(broken: t.Iterable[BrokenConnection]) -> dict[Fingerprint, Millis]:
    """Return when the oldest of the requests with each feature was sent, in ms."""
    sent: dict[Fingerprint, Millis] = {}
    for connection in broken:
        for feature in connection.features:
            known = sent.get(feature.fingerprint, connection.sent)
            sent[feature.fingerprint] = min(known, connection.sent)
    return sent


def shown_part_names(features: t.Iterable[RequestFeature]) -> tuple[str, ...]:
    """Return the names of a prompt's shared parts as logs show them."""
    names = [one.name for one in features if one.position != CONTENT_POSITION]
    return tuple(name[:PART_NAME_SHOWN] for name in names[:PARTS_SHOWN])


def _count_parts(broken: t.Iterable[BrokenConnection]) -> dict[str, int]:
    """Return in how many broken requests each prompt part was, most frequent first."""
    names = collections.Counter(
        name for connection in broken for name in shown_part_names(connection.features)
    )
    return dict(names.most_common(PARTS_SHOWN))
