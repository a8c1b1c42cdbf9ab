"""What workers say of themselves in their answers: taken in, and logged as it changes.

A worker says the same in each of its answers, so a line is written only when it says
something else.
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

WORDS_SHOWN = 4
"""Workers' words in one log line at most."""


def note_notice(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, found: Answer
) -> None:
    """Take in what an answer says of the worker that it was asked of.

    One that is another request's may be old, one that is another worker's tells nothing
    of this one.
    """
    if found.defect or found.replaced:
        return
    for flaw in found.notice.invalid:
        _log_flaw(state, attempt.worker, flaw)
    _note_limit(core, state, attempt, found.notice)
    if found.notice.leaving:
        _note_leaving(core, state, attempt.worker)
    if found.notice.rest_ms is not None:
        _note_rest(core, state, attempt.worker, found.notice.rest_ms)


def _note_limit(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, notice: Notice
) -> None:
    worker = attempt.worker
    if notice.is_invalid(NoticeKind.LIMIT):
        return
    if notice.per_s is None and not revokes_limit(worker, attempt.sent):
        return
    limit = RateLimit(notice.per_s, core.clock.now(), core.fleet.identity.box)
    before = worker.limit
    if apply_limit(core.fleet, worker, limit, limit.at):
        core.count("worker_limits")
        log_limit(worker, before, request=state.request)


def _note_leaving(core: Core, state: CatalogRequest, worker: WorkerRow) -> None:
    """Take in that a worker leaves, and tell peers: its entry may say so much later."""
    word = LeavingNotice(core.clock.now(), core.fleet.identity.box)
    if record_leaving_notice(core.fleet, worker, word):
        core.count("workers_leaving")
        _log_leaving(worker, request=state.request)
        core.tell_now()


def _note_rest(
    core: Core, state: CatalogRequest, worker: WorkerRow, rest_ms: Millis
) -> None:
    """Take in that a worker turned this box away and asks it for rest."""
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


def _log_flaw(state: CatalogRequest, worker: WorkerRow, flaw: InvalidNotice) -> None:
    """Log the first word of its kind of a worker that can't be used."""
    if flaw.kind in worker.invalid_notices:
        return
    worker.invalid_notices.add(flaw.kind)
    log_event(
        "WARNING",
        "worker's word can't be used",
        worker=worker.name,
        request=state.request,
        detail=flaw.detail,
    )


def _log_leaving(worker: WorkerRow, request: str | None = None) -> None:
    """Log that a worker said it leaves, who heard it first, and where it stands."""
    assert worker.leaving is not None
    log_event(
        "INFO",
        "worker leaves",
        worker=worker.name,
        source=worker.leaving.source,
        listed=worker.listed_leaving,
        request=request,
    )


def log_limit(
    worker: WorkerRow, before: RateLimit | None, request: str | None = None
) -> None:
    """Log that a worker names another limit than before, or none any more."""
    limit = worker.limit
    assert limit is not None
    log_event(
        "INFO",
        "worker limit",
        worker=worker.name,
        per_s=limit.per_s,
        before=before.per_s if before is not None else None,
        source=limit.source,
        request=request,
    )


def words_of(rows: t.Iterable[WorkerRow], now: Millis) -> tuple[str, ...]:
    """Return for logs what keeps requests from some workers, and how old that is."""
    shown = itertools.islice(rows, WORDS_SHOWN)
    return tuple(f"{row.name} {_word_of(row, now)}" for row in shown)


def _word_of(row: WorkerRow, now: Millis) -> str:
    left_ms = rest_left_ms(row, now)
    if row.rest is not None and left_ms:
        return f"rests {left_ms} ms more, asked {now - row.rest.at} ms ago"
    if row.limit is not None:
        limit = row.limit
        return f"takes {limit.per_s}/s, heard {now - limit.at} ms ago by {limit.source}"
    return ""


def take_limit_news(
    fleet: Fleet, news: News, told_at: Millis | None, now: Millis
) -> None:
    """Take in what workers said to a peer, or to one that it heard of.

    While it is not known when the peer told this it may be old: then it ends no limit.
    """
    for told in news.limits:
        if told_at is None and told.per_s < 0:
            continue
        at = Millis((now if told_at is None else told_at) - told.age_ms)
        per_s = told.per_s if told.per_s >= 0 else None
        limit = RateLimit(per_s, at, told.source)
        row = fleet.workers.rows.get(told.worker)
        before = row.limit if row is not None else None
        changed = apply_peer_limit(fleet, told.worker, Millis(told.born), limit, now)
        if changed is not None:
            log_limit(changed, before)


def take_leaving_news(
    fleet: Fleet, news: News, told_at: Millis | None, now: Millis
) -> None:
    """Take in which workers told a peer, or one that it heard of, that they leave."""
    for told in news.leaving_notices:
        row = fleet.workers.rows.get(told.worker)
        if row is None or row.born != told.born:
            continue
        at = Millis((now if told_at is None else told_at) - told.age_ms)
        if at >= row.notices_since and record_leaving_notice(
            fleet, row, LeavingNotice(at, told.source)
        ):
            _log_leaving(row)
