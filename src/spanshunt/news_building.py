"""What a box tells a peer: all of its state that boxes share, in one message."""

import random

from .ids import DomainId
from .ids import Millis
from .peers.mean_rows import answer_arrivals
from .peers.mean_rows import answer_demands
from .peers.mean_rows import arrivals_news
from .peers.mean_rows import busy_boxes_news
from .peers.mean_rows import demands_news
from .peers.news import News
from .peers.news_items import PeerNews
from .peers.news_items import SilenceNews
from .peers.news_rows import brittle_news
from .peers.news_rows import evacuations_news
from .peers.news_rows import leaving_news
from .peers.news_rows import limits_news
from .peers.news_rows import loads_news
from .peers.news_rows import pending_prefills_news
from .peers.news_rows import recent_prefills_news
from .peers.news_rows import rollout_news
from .peers.news_rows import speeds_news
from .peers.news_rows import suspects_news
from .peers.news_rows import worker_speeds_news
from .peers.news_rows import workers_news
from .systems.fleet_size import box_count
from .systems.following_workers import followers_to_announce
from .systems.following_workers import is_served_by_store
from .systems.following_workers import list_digest
from .systems.partitions import gateway_room
from .systems.proving import proof_age
from .systems.quarantine_records import quarantine_digest
from .systems.silence import newest_silence_reports
from .tables.fleet import Fleet

MAX_PEERS_SENT = 8
"""Maximum number of other boxes named in one message."""

MAX_PEERS_SENT_TO_NEW = 64
"""The same for a peer of this failure domain that knows less than half as many boxes:
about 3 KB. The peer then need not read the list of boxes, and sends cold workers no
more than its share from its first second on."""


def build_news(
    fleet: Fleet,
    rng: random.Random,
    now: Millis,
    peer_news: News | None,
    domain: DomainId | None = None,
) -> News:
    """Return the news to send to a peer.

    `peer_news` is the message to answer; None for a call. `domain` is the failure
    domain of the receiver; None if it is unknown.
    """
    streak = fleet.list_read_streak
    digest = list_digest(fleet)
    wants_list = (
        peer_news is not None
        and peer_news.workers_digest != digest
        and peer_news.workers_end < fleet.workers_end
    )
    return News(
        box=fleet.identity.box,
        address=fleet.identity.address,
        domain=fleet.identity.domain,
        incarnation=fleet.identity.incarnation,
        catalog_version=fleet.catalog_version,
        workers_end=fleet.workers_end,
        workers_age_ms=max(0, now - fleet.workers_read_at),
        list_read_age_ms=max(0, now - streak.last) if streak.last >= 0 else -1,
        list_unbroken_ms=streak.last - streak.since,
        served=is_served_by_store(fleet, now),
        silence_reports=tuple(
            SilenceNews(item.worker, item.box, now - item.at)
            for item in newest_silence_reports(fleet, now)
        ),
        speeds=speeds_news(fleet),
        pending_prefills=pending_prefills_news(fleet),
        recent_prefills=recent_prefills_news(fleet, now),
        suspect_requests=suspects_news(
            fleet,
            now,
            peer_news.quarantined_digest if peer_news is not None else None,
        ),
        quarantined_digest=quarantine_digest(fleet),
        quarantine_known=fleet.quarantine_known,
        followers=followers_to_announce(fleet, now)
        if domain == fleet.identity.domain
        else (),
        limits=limits_news(fleet, now),
        leaving_notices=leaving_news(fleet, now),
        loads=loads_news(fleet, now),
        worker_speeds=worker_speeds_news(fleet, rng),
        evacuations=evacuations_news(fleet),
        boxes=box_count(fleet),
        store_era=fleet.store.era,
        sent_at=now,
        proof_age_ms=proof_age(fleet, now),
        proof_end=fleet.catalog_proof.end,
        proof_by=fleet.catalog_proof.source,
        settings_digest=fleet.settings.digest,
        settings_age_ms=now - fleet.settings.since,
        settings_refused=bool(fleet.settings.refused),
        settings_waiting=bool(fleet.settings.waiting),
        workers_digest=digest,
        workers=workers_news(fleet, now) if wants_list else (),
        rollouts=tuple(
            rollout_news(fleet, row, now, domain)
            for row in fleet.rollouts.rows.values()
        ),
        peers=_sample_peers(fleet, rng, peer_news) if peer_news is not None else (),
        demands=demands_news(fleet, now)
        if peer_news is None
        else answer_demands(fleet, peer_news.demands, now),
        arrivals=arrivals_news(fleet, now)
        if peer_news is None
        else answer_arrivals(fleet, peer_news.arrivals, now),
        busy_boxes=busy_boxes_news(fleet, now),
        gateway_room=gateway_room(fleet),
        brittle=brittle_news(fleet, now),
    )


def _sample_peers(
    fleet: Fleet, rng: random.Random, peer_news: News
) -> tuple[PeerNews, ...]:
    """Return some known boxes for a peer; more of them if it knows few boxes."""
    peers = list(fleet.peers.values())
    same_domain = peer_news.domain == fleet.identity.domain
    is_new = same_domain and 2 * peer_news.boxes < len(peers)
    max_sent = MAX_PEERS_SENT_TO_NEW if is_new else MAX_PEERS_SENT
    sent = rng.sample(peers, min(max_sent, len(peers)))
    return tuple(PeerNews(peer.box, peer.address, peer.domain) for peer in sent)
