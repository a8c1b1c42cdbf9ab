"""Notices of workers about themselves: applied from answers and peers, and logged.

A worker repeats its notices in each of its answers, so a line is logged only when a
notice changes.
"""

import itertools
import typing as t

from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .ids import Millis
from .logs import log_event
from .peers.news import News
from .ports import Answer
from .systems.brittleness import apply_brittle
from .systems.brittleness import apply_peer_brittle
from .systems.brittleness import own_places
from .systems.brittleness import revokes_brittle
from .systems.following_workers import record_leaving_notice
from .systems.resting import apply_rest
from .systems.resting import rest_left_ms
from .systems.throttling import apply_limit
from .systems.throttling import apply_peer_limit
from .systems.throttling import revokes_limit
from .tables.fleet import Fleet
from .tables.notices import InvalidNotice
from .tables.notices import LeavingNotice
from .tables.notices import Notice
from .tables.notices import NoticeKind
from .tables.notices import RateLimit
from .tables.workers import WorkerRow

MAX_NOTICES_SHOWN = 4
"""Maximum number of workers whose notices one log line shows."""


def apply_notice(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, answer: Answer
) -> None:
    """Apply the notices in an answer to the worker that the request was sent to.

    They are ignored in an answer to another request, which may be old, and in an answer
    of another worker.
    """
    if answer.defect or answer.replaced:
        return
    for invalid in answer.notice.invalid:
        _log_invalid_notice(state, attempt.worker, invalid)
    _apply_limit(core, state, attempt, answer.notice)
    _apply_brittle(core, state, attempt, answer.notice)
    if answer.notice.leaving:
        _apply_leaving(core, state, attempt.worker)
    if answer.notice.rest_ms is not None:
        _apply_rest(core, state, attempt.worker, answer.notice.rest_ms)


def _apply_limit(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, notice: Notice
) -> None:
    worker = attempt.worker
    if notice.is_invalid(NoticeKind.LIMIT):
        return
    if notice.per_s is None and not revokes_limit(worker, attempt.sent):
        return
    limit = RateLimit(notice.per_s, core.clock.now(), core.fleet.identity.box)
    previous = worker.limit
    if apply_limit(core.fleet, worker, limit, limit.at):
        core.count("worker_limits")
        log_limit(worker, previous, request=state.request)


def _apply_brittle(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, notice: Notice
) -> None:
    """Apply a notice that a worker is brittle, or its end, and tell peers."""
    worker = attempt.worker
    if notice.is_invalid(NoticeKind.BRITTLE):
        return
    if notice.brittle_per_s is None and not revokes_brittle(worker, attempt.sent):
        return
    now = core.clock.now()
    known = RateLimit(notice.brittle_per_s, now, core.fleet.identity.box)
    if apply_brittle(worker, known):
        core.count("workers_brittle")
        _log_brittle(core.fleet, worker, request=state.request)
        core.gossip_now()


def _apply_leaving(core: Core, state: CatalogRequest, worker: WorkerRow) -> None:
    """Apply a notice that a worker leaves, and tell peers.

    The worker's entry in the list may say so much later.
    """
    notice = LeavingNotice(core.clock.now(), core.fleet.identity.box)
    if record_leaving_notice(core.fleet, worker, notice):
        core.count("workers_leaving")
        _log_leaving(worker, request=state.request)
        core.gossip_now()


def _apply_rest(
    core: Core, state: CatalogRequest, worker: WorkerRow, rest_ms: Millis
) -> None:
    """Apply a worker's request that this box sends nothing to it for some time."""
    if not apply_rest(worker, rest_ms, core.clock.now()):
        return
    core.count("worker_rests")
    log_event(
        "INFO",
        "worker rests",
        worker=worker.name,
        rest_ms=rest_ms,
        request=state.request,
    )


def _log_invalid_notice(
    state: CatalogRequest, worker: WorkerRow, invalid: InvalidNotice
) -> None:
    """Log the first invalid notice of each kind of a worker."""
    if invalid.kind in worker.invalid_notices:
        return
    worker.invalid_notices.add(invalid.kind)
    log_event(
        "WARNING",
        "worker's word can't be used",
        worker=worker.name,
        request=state.request,
        detail=invalid.detail,
    )


def _log_leaving(worker: WorkerRow, request: str | None = None) -> None:
    """Log a worker's leaving notice, the first box that received it, and its entry."""
    assert worker.leaving is not None
    log_event(
        "INFO",
        "worker leaves",
        worker=worker.name,
        source=worker.leaving.source,
        listed=worker.listed_leaving,
        request=request,
    )


def _log_brittle(fleet: Fleet, worker: WorkerRow, request: str | None = None) -> None:
    """Log that a worker became brittle or no longer is, and this box's places."""
    assert worker.brittle is not None
    log_event(
        "INFO",
        "worker brittle",
        worker=worker.name,
        per_s=worker.brittle.per_s,
        source=worker.brittle.source,
        places=own_places(fleet, worker),
        slots=worker.slots,
        request=request,
    )


def log_limit(
    worker: WorkerRow, previous: RateLimit | None, request: str | None = None
) -> None:
    """Log that a worker announced another rate limit, or withdrew its limit."""
    limit = worker.limit
    assert limit is not None
    log_event(
        "INFO",
        "worker limit",
        worker=worker.name,
        per_s=limit.per_s,
        before=previous.per_s if previous is not None else None,
        source=limit.source,
        request=request,
    )


def describe_notices(rows: t.Iterable[WorkerRow], now: Millis) -> tuple[str, ...]:
    """Return the notices that keep requests from workers and their age, for logs."""
    shown = itertools.islice(rows, MAX_NOTICES_SHOWN)
    return tuple(f"{row.name} {_describe_notice(row, now)}" for row in shown)


def _describe_notice(row: WorkerRow, now: Millis) -> str:
    left_ms = rest_left_ms(row, now)
    if row.rest is not None and left_ms:
        return f"rests {left_ms} ms more, requested {now - row.rest.at} ms ago"
    if row.limit is not None:
        limit = row.limit
        return (
            f"takes {limit.per_s}/s, received {now - limit.at} ms ago by {limit.source}"
        )
    return ""


def merge_limit_news(
    fleet: Fleet, news: News, told_at: Millis | None, now: Millis
) -> None:
    """Merge rate limits that workers announced to the peer or to a box it heard from.

    If it is unknown when the peer sent the news, they may be old, and a withdrawn limit
    in them is ignored.
    """
    for item in news.limits:
        if told_at is None and item.per_s < 0:
            continue
        at = Millis((now if told_at is None else told_at) - item.age_ms)
        per_s = item.per_s if item.per_s >= 0 else None
        limit = RateLimit(per_s, at, item.source)
        row = fleet.workers.rows.get(item.worker)
        previous = row.limit if row is not None else None
        changed = apply_peer_limit(fleet, item.worker, Millis(item.born), limit, now)
        if changed is not None:
            log_limit(changed, previous)


def merge_brittle_news(
    fleet: Fleet, news: News, told_at: Millis | None, now: Millis
) -> None:
    """Merge notices of brittle workers, as `merge_limit_news` does with limits."""
    for item in news.brittle:
        if told_at is None and item.per_s < 0:
            continue
        at = Millis((now if told_at is None else told_at) - item.age_ms)
        per_s = item.per_s if item.per_s >= 0 else None
        notice = RateLimit(per_s, at, item.source)
        changed = apply_peer_brittle(fleet, item.worker, Millis(item.born), notice)
        if changed is not None:
            _log_brittle(fleet, changed)


def merge_leaving_news(
    fleet: Fleet, news: News, told_at: Millis | None, now: Millis
) -> None:
    """Merge leaving notices that workers sent to the peer or to a box it heard from."""
    for item in news.leaving_notices:
        row = fleet.workers.rows.get(item.worker)
        if row is None or row.born != item.born:
            continue
        at = Millis((now if told_at is None else told_at) - item.age_ms)
        if at >= row.notices_since and record_leaving_notice(
            fleet, row, LeavingNotice(at, item.source)
        ):
            _log_leaving(row)
