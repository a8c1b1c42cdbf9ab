"""Gossip between boxes: which peers to call, what to send them, and how to apply it.

Each message is one `News`, the state that a box shares with its peers. A call sends the
news of this box and returns those of the peer.
"""

import asyncio
import random
import typing as t

from result import Err

from .clock import Clock
from .engine_news import take_engine_news
from .ids import DomainId
from .ids import Millis
from .ids import Offset
from .logs import log_event
from .news_building import MAX_PEERS_SENT
from .news_building import build_news
from .peers.mean_rows import apply_arrival_answer
from .peers.mean_rows import apply_demand_answer
from .peers.mean_rows import merge_busy_boxes_news
from .peers.news import News
from .peers.news import news_streams
from .peers.news_items import RolloutNews
from .peers.news_items import SilenceNews
from .peers.news_items import SuspicionNews
from .peers.news_rows import merge_tally_group
from .peers.news_rows import to_evacuation_row
from .peers.news_rows import to_listed_worker
from .peers.news_rows import to_recorded_suspicion
from .peers.news_rows import to_suspect_feature
from .peers.partners import Partners
from .peers.talks import PeerStreams
from .platform_lines import log_busy_box
from .platform_lines import log_evacuation
from .platform_lines import log_newer_catalog
from .platform_lines import log_older_store
from .rollout_lines import log_order
from .rollout_lines import log_turned_bad
from .rollout_lines import log_verdict
from .speed_news import merge_load_news
from .speed_news import merge_worker_speed_news
from .systems.eras import record_era
from .systems.evacuating import apply_evacuation
from .systems.following_workers import EMPTY_LIST_DIGEST
from .systems.following_workers import apply_worker_list
from .systems.following_workers import find_list_reader
from .systems.following_workers import list_digest
from .systems.following_workers import record_list_read
from .systems.proving import merge_peer_proof
from .systems.proving import newest_reported_version
from .systems.quarantine_records import quarantine_digest
from .systems.quarantining import merge_suspect
from .systems.quarantining import quarantined_features
from .systems.quarantining import update_quarantine
from .systems.ramping import apply_order
from .systems.ramping import apply_verdict
from .systems.ramping import bar_versions
from .systems.silence import SilenceReport
from .systems.silence import is_silent
from .systems.silence import record_silence
from .tables.fleet import CatalogProof
from .tables.fleet import Fleet
from .tables.fleet import PeerRow
from .tables.rollouts import RolloutRow
from .tables.settings_state import PeerSettings
from .tables.suspects import SuspectFeature
from .tables.workers import WorkerRow
from .worker_notices import merge_brittle_news
from .worker_notices import merge_leaving_news
from .worker_notices import merge_limit_news

SAME_DOMAIN_CALLS, OTHER_DOMAIN_CALLS = 1, 1
"""Number of peers of this and of other failure domains that a box calls in a round, in
addition to the box that reads the workers' list. Few calls go to other domains, as
traffic between domains costs money and news spread within a domain anyway."""

CROSS_DOMAIN_CALLERS = 5
"""Mean number of boxes of a failure domain, in addition to the reader of the workers'
list, that call a peer of another domain in a round. Traffic between domains then does
not grow with the number of boxes, and each domain hears from others thirty times a
second."""

TIMEOUT_S = 0.8
"""Timeout of a call to a peer, in s: a slow box still answers in a few tenths."""

MAX_PUSH_PEERS = 4
"""Maximum number of peers that a box calls at once with news that can't wait for the
next round. Each box that learns of them does the same, so a hundred boxes know after
four successive calls."""

SEED_RETRY_MS = 1_000
"""Pause between calls to seeds that have not answered, in ms, once a peer was heard."""

BACK_OFF_MS = 1_000
"""Back-off after a failed call to a peer, for each failure in a row, in ms."""

MAX_BACK_OFF_FAILURES = 10
"""Maximum number of failures that lengthen the back-off."""


class Exchange:
    """Exchanges news with peers and applies theirs to the tables.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    rng : random.Random
        Random generator that draws the peers to call.
    on_newer_catalog : callable
        Called when a peer knows a newer catalog than this box.
    seeds : tuple of str
        Addresses to call until each has answered once.
    streams : PeerStreams or None
        Client of the exchanges; None for a new one.
    on_quarantined : callable
        Called with a feature that is newly quarantined, and the box that reported it.
    on_ended : callable
        Called with a worker that has ended, as a received list shows.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        on_newer_catalog: t.Callable[[], None],
        seeds: tuple[str, ...],
        streams: PeerStreams[News] | None = None,
        on_quarantined: t.Callable[
            [SuspectFeature, str], None
        ] = lambda _row, _source: None,
        on_ended: t.Callable[[WorkerRow], None] = lambda _row: None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._on_newer_catalog = on_newer_catalog
        self._seeds = seeds
        self._streams = streams or news_streams()
        self._same_domain_partners = Partners(rng)
        self._other_domain_partners = Partners(rng)
        self._on_quarantined = on_quarantined
        self._on_ended = on_ended
        self._answered_seeds: set[str] = set()
        self._next_seed_call_at = Millis(0)
        self._push_tasks: set[asyncio.Task[None]] = set()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the addresses to call until each has answered once."""
        self._seeds = seeds
        self._answered_seeds &= set(seeds)

    def stop(self) -> None:
        """Cancel the calls in the background and close all streams."""
        for task in self._push_tasks:
            task.cancel()
        self._streams.stop()

    async def run_round(self) -> None:
        """Exchange news with a few peers concurrently."""
        self._quarantine_due()
        addresses = self._choose_addresses()
        self._call_seed()
        await asyncio.gather(*(self._call_peer(address) for address in addresses))

    def _quarantine_due(self) -> None:
        """Quarantine the prompt parts whose delay is over."""
        now = self._clock.now()
        for row in quarantined_features(self._fleet):
            if update_quarantine(self._fleet, row, now):
                self._on_quarantined(row, "own evidence")

    def tell_now(self) -> None:
        """Send news to some peers now, in the background; they pass them on."""
        self._run_in_background(self._push_news())

    def _run_in_background(self, calls: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(calls)
        self._push_tasks.add(task)
        task.add_done_callback(self._push_tasks.discard)

    def _call_seed(self) -> None:
        """Call a seed that has not answered yet, now and then, in the background.

        Boxes that start at the same time may hear each other in pairs before the other
        seeds are up. Without further calls, the pairs would never learn of each other,
        and each would take itself for the whole fleet.
        """
        now = self._clock.now()
        heard = {peer.address for peer in self._fleet.peers.values() if peer.heard >= 0}
        if not heard or now < self._next_seed_call_at:
            return
        known = heard | self._answered_seeds | {self._fleet.identity.address}
        pending = [seed for seed in self._seeds if seed not in known]
        if pending:
            self._next_seed_call_at = Millis(now + SEED_RETRY_MS)
            self._run_in_background(self._call_peer(self._rng.choice(pending)))

    async def _push_news(self) -> None:
        now = self._clock.now()
        ready = [peer for peer in self._fleet.peers.values() if _is_due(peer, now)]
        called = self._rng.sample(ready, min(MAX_PUSH_PEERS, len(ready)))
        await asyncio.gather(*(self._call_peer(peer.address) for peer in called))

    async def answer_news(self, news: News) -> News:
        """Apply a peer's news and return this box's news for that peer."""
        self.apply_news(news)
        return self.build_news(news, news.domain)

    def build_news(
        self, peer_news: News | None, domain: DomainId | None = None
    ) -> News:
        """Return the news to send to a peer; see `news_building.build_news`."""
        return build_news(self._fleet, self._rng, self._clock.now(), peer_news, domain)

    def apply_news(self, news: News, called_at: Millis | None = None) -> None:
        """Apply what is newer in a peer's news than in this box's tables.

        `called_at` is when this box called the peer, in ms, if the news are the answer
        to that call.
        """
        now = self._clock.now()
        fleet = self._fleet
        if news.box == fleet.identity.box:
            return
        fleet.wake_hold_until = Millis(0)
        if record_era(fleet, news.store_era, now):
            log_older_store(fleet, news.box)
        reported_before = newest_reported_version(fleet)
        self._record_peers(news, now)
        sent_at = self._sent_at(news, called_at)
        self._merge_proof(news, sent_at)
        if news.catalog_version > fleet.catalog_version:
            if news.catalog_version > reported_before:
                log_newer_catalog(fleet, news.box, news.catalog_version, now)
            self._on_newer_catalog()
        self._apply_workers(news, sent_at, now)
        for rollout in news.rollouts:
            self._merge_rollout(news, rollout, now)
        for evacuation in news.evacuations:
            if apply_evacuation(fleet, to_evacuation_row(evacuation), now):
                log_evacuation(fleet, evacuation.domain, news.box)
        for report in news.silence_reports:
            self._record_silence(news, report, now)
        self._merge_suspects(news, now)
        if news.quarantine_known and news.quarantined_digest == quarantine_digest(
            fleet
        ):
            fleet.quarantine_known = True
        take_engine_news(fleet, news, now)
        for item in merge_busy_boxes_news(fleet, news, now):
            log_busy_box(fleet, item, news.box, now)
        merge_load_news(fleet, news, sent_at)
        merge_worker_speed_news(fleet, news)
        merge_limit_news(fleet, news, sent_at, now)
        merge_brittle_news(fleet, news, sent_at, now)
        merge_leaving_news(fleet, news, sent_at, now)

    def _merge_suspects(self, news: News, now: Millis) -> None:
        """Merge all suspects, of which one may explain ends of another, then judge."""
        fleet, rows = self._fleet, []
        for item in news.suspect_requests:
            suspect = to_suspect_feature(item, now)
            suspect.recorded &= news.store_era >= fleet.store.era
            rows.append(merge_suspect(fleet, suspect, now))
        for row in rows:
            if update_quarantine(fleet, row, now):
                self._on_quarantined(row, news.box)

    def _sent_at(self, news: News, called_at: Millis | None) -> Millis | None:
        """Return the earliest time at which a peer sent its news, by this box's clock.

        A message may be delayed for any time, for example by a link that was down. The
        peer's clock is ahead of this box's by at most the difference between the time
        in an answer and the time of the call. The result is None until the peer has
        answered a call.
        """
        row = self._fleet.peers[news.box]
        if called_at is not None and news.sent_at >= 0:
            row.clock_ahead = news.sent_at - called_at
        if row.clock_ahead is None or news.sent_at < 0:
            return None
        return Millis(news.sent_at - row.clock_ahead)

    def _merge_proof(self, news: News, sent_at: Millis | None) -> None:
        """Merge the peer's proof that its catalog is the newest."""
        if sent_at is None or news.proof_age_ms < 0:
            return
        at = Millis(sent_at - news.proof_age_ms)
        proof = CatalogProof(at, Offset(news.proof_end), news.proof_by)
        merge_peer_proof(self._fleet, news.catalog_version, proof)

    def _apply_workers(self, news: News, sent_at: Millis | None, now: Millis) -> None:
        """Apply a newer list, or record that this box's equal list is as new.

        A list without workers is one, too: its digest tells it from a list that the
        peer left out.
        """
        fleet = self._fleet
        if news.list_read_age_ms >= 0 and sent_at is not None:
            last = Millis(sent_at - news.list_read_age_ms)
            record_list_read(fleet, last, Millis(last - news.list_unbroken_ms))
        if news.workers_end < fleet.workers_end or not news.workers_digest:
            return
        read_at = fleet.workers_read_at
        if sent_at is not None:
            read_at = Millis(sent_at - news.workers_age_ms)
        is_empty_list = news.workers_digest == EMPTY_LIST_DIGEST != list_digest(fleet)
        if news.workers or is_empty_list:
            rows = [to_listed_worker(item) for item in news.workers]
            end, wall = Offset(news.workers_end), self._clock.wall()
            change = apply_worker_list(fleet, rows, end, now, wall)
            fleet.workers_read_at = max(fleet.workers_read_at, read_at)
            for row in change.replaced:
                self._on_ended(row)
            if not change.empty:
                log_event("INFO", "workers", source=news.box, **change.as_fields())
        elif news.workers_digest == list_digest(fleet):
            fleet.workers_end = Offset(news.workers_end)
            fleet.workers_read_at = max(fleet.workers_read_at, read_at)

    def _record_peers(self, news: News, now: Millis) -> None:
        peers = self._fleet.peers
        self._fleet.reported_box_count = max(self._fleet.reported_box_count, news.boxes)
        row = peers.get(news.box)
        if row is None:
            row = peers[news.box] = PeerRow(news.box, news.address)
        if row.incarnation != news.incarnation:
            # The clock may differ in another run of the peer.
            row.clock_ahead = None
        row.address, row.incarnation = news.address, news.incarnation
        row.domain, row.served = news.domain, news.served
        row.catalog_version = news.catalog_version
        row.heard, row.failures = now, 0
        row.followers, row.gateway_room = news.followers, news.gateway_room
        row.settings = PeerSettings(
            digest=news.settings_digest,
            since=Millis(now - news.settings_age_ms),
            refused=news.settings_refused,
            waiting=news.settings_waiting,
        )
        for item in news.peers:
            if item.box != self._fleet.identity.box and item.box not in peers:
                peers[item.box] = PeerRow(item.box, item.address, item.domain)

    def _record_silence(self, news: News, item: SilenceNews, now: Millis) -> None:
        fleet, worker = self._fleet, item.worker
        report = SilenceReport(worker, item.box, Millis(now - item.age_ms))
        was_silent = is_silent(fleet, worker, now)
        if item.box == fleet.identity.box or not record_silence(fleet, report, now):
            return
        if not was_silent and is_silent(fleet, worker, now):
            log_event(
                "INFO",
                "worker reported silent",
                worker=worker,
                by=sorted(fleet.silence_reports[worker]),
                age_ms=item.age_ms,
                source=news.box,
            )

    def _merge_rollout(self, news: News, item: RolloutNews, now: Millis) -> None:
        fleet = self._fleet
        began = Millis(now - item.age_ms)
        order = Offset(item.order)
        duration = Millis(item.duration_ms)
        is_new = apply_order(
            fleet, item.service, item.version, order, duration, began, seen=item.seen
        )
        if is_new:
            log_order(fleet.rollouts.rows[item.service], now, news.box)
        row = fleet.rollouts.rows[item.service]
        if row.order != order:
            return
        bar_versions(row, item.barred)
        row.extra = max(row.extra, item.extra)
        row.full_from_ms = max(row.full_from_ms, item.full_from_ms)
        if item.turned_bad_reason and not row.turned_bad_reason:
            row.turned_bad_reason = item.turned_bad_reason
            log_turned_bad(row, news.box)
        # A peer that does not know yet that the store was restored from a copy may
        # report records that the store has lost.
        is_current = news.store_era >= fleet.store.era
        row.announced |= item.announced and is_current
        if item.recorded_suspicion is not None and is_current:
            _merge_suspicion(row, item.recorded_suspicion)
        recorded = item.recorded and is_current
        if apply_verdict(row, item.verdict, item.reason, now, recorded=recorded):
            log_verdict(row, news.box)
        for group in item.groups:
            merge_tally_group(fleet, row, group)

    def _choose_addresses(self) -> list[str]:
        fleet, now = self._fleet, self._clock.now()
        peers = list(fleet.peers.values())
        if not any(peer.heard >= 0 for peer in peers):
            known = {peer.address for peer in peers} | {fleet.identity.address}
            unknown = [seed for seed in self._seeds if seed not in known]
            return unknown + [peer.address for peer in peers][:MAX_PEERS_SENT]
        ready = [peer for peer in peers if _is_due(peer, now)]
        reader = find_list_reader(fleet, now)
        near = [peer for peer in ready if peer.domain == fleet.identity.domain]
        far = [peer for peer in ready if peer.domain != fleet.identity.domain]
        # A peer whose name sorts before the reader's is the actual reader if it is
        # live. Calling it lets a box that starts agree with the others of its domain on
        # the reader within a round or two. A peer that did not answer is not called for
        # this again, as a round waits for all its calls.
        preceding = [p for p in near if p.box < reader and not p.failures]
        called = sorted(preceding, key=lambda peer: peer.box)[:1]
        called += [peer for peer in near if peer.box == reader]
        called += self._same_domain_partners.draw(near, SAME_DOMAIN_CALLS, now)
        # All boxes of a domain call its reader and get its news at once, so the reader
        # always calls a peer of another domain.
        if (
            reader == fleet.identity.box
            or self._rng.random() * len(near) < CROSS_DOMAIN_CALLERS
        ):
            called += self._other_domain_partners.draw(far, OTHER_DOMAIN_CALLS, now)
        kept = (
            {peer.box for peer in called}
            | self._same_domain_partners.boxes
            | self._other_domain_partners.boxes
        )
        self._streams.close_others({fleet.peers[box].address for box in kept})
        return list({peer.address: None for peer in called})

    async def _call_peer(self, address: str) -> None:
        row = next(
            (peer for peer in self._fleet.peers.values() if peer.address == address),
            None,
        )
        if row is not None:
            row.asked = self._clock.now()
        domain = row.domain if row is not None and row.domain else None
        called_at = self._clock.now()
        news = self.build_news(None, domain)
        reply = await self._streams.exchange(address, news, TIMEOUT_S)
        if isinstance(reply, Err):
            if row is not None:
                row.failures += 1
                if row.failures == 1:
                    detail = reply.err_value.detail
                    log_event("WARNING", "peer lost", peer=row.box, detail=detail)
            return
        if row is not None and row.failures:
            log_event("INFO", "peer regained", peer=row.box, failures=row.failures)
        if address in self._seeds:
            self._answered_seeds.add(address)
        self.apply_news(reply.ok_value, called_at)
        apply_demand_answer(self._fleet, news, reply.ok_value, self._clock.now())
        apply_arrival_answer(self._fleet, news, reply.ok_value, self._clock.now())


def _merge_suspicion(row: RolloutRow, item: SuspicionNews) -> None:
    """Apply a recorded suspicion if it is stronger, hence newer, than the known one."""
    received = to_recorded_suspicion(item)
    if (
        row.recorded_suspicion is None
        or received.log_evidence > row.recorded_suspicion.log_evidence
    ):
        row.recorded_suspicion = received


def _is_due(peer: PeerRow, now: Millis) -> bool:
    """Return whether the back-off after failed calls to a peer is over."""
    return now >= peer.asked + BACK_OFF_MS * min(peer.failures, MAX_BACK_OFF_FAILURES)
