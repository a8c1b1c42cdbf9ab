"""What peers tell of engines: how fast they are, what waits there, what they read."""

from .ids import Millis
from .peers.news import News
from .systems.estimating import apply_peer_prefill
from .systems.estimating import merge_prefill_speed
from .systems.pacing import merge_decode_speed
from .tables.engines import PrefillSpeed
from .tables.engines import PromptPart
from .tables.engines import RecentPrefill
from .tables.fleet import Fleet


def take_engine_news(fleet: Fleet, news: News, now: Millis) -> None:
    """Take in what a peer tells of engines; its newest word of waits counts alone."""
    for told in news.speeds:
        speed = PrefillSpeed(told.read_ms, told.base_ms)
        merge_prefill_speed(fleet, told.service, told.model, speed)
        if told.gap_ms > 0.0:
            merge_decode_speed(fleet, told.service, told.model, told.gap_ms)
    for row in fleet.workers.rows.values():
        row.peer_prefill_ms.pop(news.box, None)
    for waiting in news.pending_prefills:
        reading = fleet.workers.rows.get(waiting.worker)
        if reading is not None:
            reading.peer_prefill_ms[news.box] = (float(waiting.prefill_ms), now)
    for read in news.recent_prefills:
        shared = tuple(PromptPart(*part) for part in read.shared_parts)
        apply_peer_prefill(fleet, RecentPrefill(read.worker, read.model, shared, now))
