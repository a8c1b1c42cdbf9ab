"""Speeds and load reports of workers that peers pass on, merged into the tables."""

from .ids import Millis
from .peers.news import News
from .peers.news_items import LoadNews
from .systems.worker_health import WorkerLoad
from .systems.worker_health import record_relayed_load
from .systems.worker_speed import merge_usual_factor
from .tables.fleet import Fleet


def merge_load_news(fleet: Fleet, news: News, told_at: Millis | None) -> None:
    """Merge load reports that workers gave to other boxes.

    If it is unknown when the peer sent the news, their age is unknown as well, and they
    are ignored. So is a report of another run of the worker, or of one that ended.
    """
    if told_at is None:
        return
    for item in news.loads:
        row = fleet.workers.rows.get(item.worker)
        at = Millis(told_at - max(0, item.age_ms))
        if row is not None and row.born == item.born and at >= row.notices_since:
            record_relayed_load(row, _to_load(item), at)


def _to_load(item: LoadNews) -> WorkerLoad:
    slowdown = item.slowdown_percent / 100 if item.slowdown_percent > 0 else None
    return WorkerLoad(item.running, item.waiting, item.slots, slowdown)


def merge_worker_speed_news(fleet: Fleet, news: News) -> None:
    """Merge the usual speeds that the peer knows of the same runs of workers."""
    for item in news.worker_speeds:
        row = fleet.workers.rows.get(item.worker)
        if row is not None and row.born == item.born and row.ended_at < 0:
            merge_usual_factor(row, item.usual_factor, item.answers)
