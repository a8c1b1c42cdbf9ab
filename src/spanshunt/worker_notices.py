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
from .systems.throttling import is_over
from .systems.throttling import take_limit
from .systems.throttling import take_told_limit
from .tables.fleet import Fleet
from .tables.notices import Notice
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
    if found.flaw or found.replaced:
        return
    notice, worker = found.notice, attempt.worker
    if notice.flaw:
        _log_flaw(state, worker, notice)
        return
    if notice.per_s is not None or is_over(worker, attempt.sent):
        me = core.fleet.me.box
        limit = RateLimit(notice.per_s, core.clock.now(), me)
        before = worker.limit
        if take_limit(core.fleet, worker, limit, limit.at):
            core.count("worker_limits")
            log_limit(worker, before, request=state.request)


def _log_flaw(state: CatalogRequest, worker: WorkerRow, notice: Notice) -> None:
    """Log the first thing that a worker says of itself and that can't be used."""
    if worker.notice_flaw:
        return
    worker.notice_flaw = notice.flaw
    log_event(
        "WARNING",
        "worker's word can't be used",
        worker=worker.name,
        request=state.request,
        detail=notice.flaw,
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


def limit_words(rows: t.Iterable[WorkerRow], now: Millis) -> tuple[str, ...]:
    """Return for logs which limits some workers name, how old, and who heard them."""
    return tuple(
        f"{row.name} {row.limit.per_s}/s {now - row.limit.at} ms by {row.limit.source}"
        for row in itertools.islice(rows, WORDS_SHOWN)
        if row.limit is not None
    )


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
        changed = take_told_limit(fleet, told.worker, Millis(told.born), limit, now)
        if changed is not None:
            log_limit(changed, before)
