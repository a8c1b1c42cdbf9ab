"""Exchanges of news between boxes: whom to ask, what to tell, what to take in."""

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
from .peers.news import AgainstNews
from .peers.news import News
from .peers.news import PeerNews
from .peers.news import RolloutNews
from .peers.news import SilenceNews
from .peers.news import news_talks
from .peers.news_rows import evacuations_news
from .peers.news_rows import leavings_news
from .peers.news_rows import limits_news
from .peers.news_rows import listed
from .peers.news_rows import readings_news
from .peers.news_rows import reads_news
from .peers.news_rows import rollout_news
from .peers.news_rows import speeds_news
from .peers.news_rows import suspects_news
from .peers.news_rows import take_group
from .peers.news_rows import told_against
from .peers.news_rows import told_evacuation
from .peers.news_rows import told_suspect
from .peers.news_rows import workers_news
from .peers.partners import Partners
from .peers.talks import Talks
from .platform_lines import log_evacuation
from .platform_lines import log_newer_catalog
from .platform_lines import log_older_store
from .rollout_lines import log_order
from .rollout_lines import log_turned_bad
from .rollout_lines import log_verdict
from .systems.eras import record_era
from .systems.evacuating import apply_evacuation
from .systems.fleet_size import box_count
from .systems.following_workers import apply_worker_list
from .systems.following_workers import find_list_reader
from .systems.following_workers import followers_to_announce
from .systems.following_workers import is_served_by_store
from .systems.following_workers import list_digest
from .systems.following_workers import record_list_read
from .systems.proving import merge_peer_proof
from .systems.proving import newest_reported_version
from .systems.proving import proof_age
from .systems.quarantining import merge_suspect
from .systems.quarantining import quarantine_digest
from .systems.quarantining import update_quarantine
from .systems.ramping import apply_order
from .systems.ramping import apply_verdict
from .systems.ramping import bar_versions
from .systems.silence import SilenceReport
from .systems.silence import is_silent
from .systems.silence import newest_silence_reports
from .systems.silence import record_silence
from .tables.fleet import CatalogProof
from .tables.fleet import Fleet
from .tables.fleet import PeerRow
from .tables.rollouts import RolloutRow
from .tables.rollouts import Verdict
from .tables.settings_state import PeerSettings
from .tables.suspects import SuspectRequest
from .tables.workers import WorkerRow
from .worker_notices import take_leaving_news
from .worker_notices import take_limit_news

NEAR_ASKED, FAR_ASKED = 1, 1
"""Peers of this and of other failure domains asked in a round, beside the box that
reads the workers' list: bytes between domains are priced, and news pass on within a
domain."""

FAR_CALLERS = 5
"""Boxes of a failure domain, beside the reader, that ask one of another in a round,
about: what crosses between domains does not grow with the boxes there, and each domain
hears from others thirty times a second."""

TIMEOUT_S = 0.8
"""How long a peer may take, in s: a slowed box still answers in a few tenths."""

SPREAD_MOST = 4
"""Peers told at once of what can't wait for the next round, by each box that learns of
it: a hundred boxes know within four calls one after the other."""

PEERS_TOLD = 8
"""Other boxes named in one exchange."""

NEWCOMER_TOLD = 64
"""Those named to a box of this failure domain that knows less than half as many: some 3
KB. It then need not read the list of boxes, and sends cold workers no more than its
part from its first second on."""

BACK_OFF_MS = 1_000
"""How long a peer that did not answer is left alone, times its failures, in ms."""

BACK_OFF_MOST = 10
"""Failures that lengthen that wait at most."""


class Exchange:
    """Exchanges news with peers.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the peers to ask.
    on_newer : callable
        Called when a peer knows a newer catalog than this box.
    seeds : tuple of str
        Addresses to ask while no box is known.
    talks : Talks or None
        The way to peers; None for the usual one.
    on_kept : callable
        Called with a content that is kept back from now on, and who told of it.
    on_ended : callable
        Called with a worker that has ended, as a told list shows.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        on_newer: t.Callable[[], None],
        seeds: tuple[str, ...],
        talks: Talks[News] | None = None,
        on_kept: t.Callable[[SuspectRequest, str], None] = lambda _row, _source: None,
        on_ended: t.Callable[[WorkerRow], None] = lambda _row: None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._on_newer = on_newer
        self._seeds = seeds
        self._talks = talks or news_talks()
        self._near = Partners(rng)
        self._far = Partners(rng)
        self._on_kept = on_kept
        self._on_ended = on_ended
        self._spreading: set[asyncio.Task[None]] = set()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Set the addresses to ask while no box is known."""
        self._seeds = seeds

    def stop(self) -> None:
        """Close all streams."""
        for task in self._spreading:
            task.cancel()
        self._talks.stop()

    async def round(self) -> None:
        """Ask a few peers at once."""
        addresses = self._whom_to_ask()
        await asyncio.gather(*(self._ask(address) for address in addresses))

    def tell_now(self) -> None:
        """Tell some peers at once, as they will tell others."""
        task = asyncio.get_running_loop().create_task(self._spread())
        self._spreading.add(task)
        task.add_done_callback(self._spreading.discard)

    async def _spread(self) -> None:
        now = self._clock.now()
        ready = [peer for peer in self._fleet.peers.values() if _is_due(peer, now)]
        asked = self._rng.sample(ready, min(SPREAD_MOST, len(ready)))
        await asyncio.gather(*(self._ask(peer.address) for peer in asked))

    async def hear(self, news: News) -> News:
        """Take a peer's news in and answer with this box's."""
        self.take(news)
        return self.news_for(news, news.domain)

    def news_for(self, asker: News | None, domain: DomainId | None = None) -> News:
        """Return what to tell a box that told this; None before it has told.

        `domain` is the hearer's failure domain, None where that is not known.
        """
        fleet = self._fleet
        now = self._clock.now()
        readings = fleet.list_read_streak
        digest = list_digest(fleet)
        wants_list = (
            asker is not None
            and asker.workers_digest != digest
            and asker.workers_end < fleet.workers_end
        )
        return News(
            box=fleet.identity.box,
            address=fleet.identity.address,
            domain=fleet.identity.domain,
            incarnation=fleet.identity.incarnation,
            catalog_version=fleet.catalog_version,
            workers_end=fleet.workers_end,
            workers_age_ms=max(0, now - fleet.workers_read_at),
            read_age_ms=max(0, now - readings.last) if readings.last >= 0 else -1,
            read_unbroken_ms=readings.last - readings.since,
            served=is_served_by_store(fleet, now),
            silences=tuple(
                SilenceNews(item.worker, item.box, now - item.at)
                for item in newest_silence_reports(fleet, now)
            ),
            speeds=speeds_news(fleet),
            readings=readings_news(fleet),
            reads=reads_news(fleet, now),
            suspects=suspects_news(
                fleet, now, asker.kept_digest if asker is not None else None
            ),
            kept_digest=quarantine_digest(fleet),
            kept_known=fleet.quarantine_known,
            followers=followers_to_announce(fleet, now)
            if domain == fleet.identity.domain
            else (),
            limits=limits_news(fleet, now),
            leavings=leavings_news(fleet, now),
            evacuations=evacuations_news(fleet),
            boxes=box_count(fleet),
            store_era=fleet.store.era,
            told_at=now,
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
            peers=self._names_for(asker) if asker is not None else (),
        )

    def _names_for(self, asker: News) -> tuple[PeerNews, ...]:
        """Return some boxes to tell an asker of; many if it knows few of them."""
        peers = list(self._fleet.peers.values())
        near = asker.domain == self._fleet.identity.domain
        new = near and 2 * asker.boxes < len(peers)
        most = NEWCOMER_TOLD if new else PEERS_TOLD
        told = self._rng.sample(peers, min(most, len(peers)))
        return tuple(PeerNews(peer.box, peer.address, peer.domain) for peer in told)

    def take(self, news: News, asked_at: Millis | None = None) -> None:
        """Take in what is newer than what this box knows.

        `asked_at` is when the peer was asked, for an answer, in ms.
        """
        now = self._clock.now()
        fleet = self._fleet
        if news.box == fleet.identity.box:
            return
        fleet.wake_hold_until = Millis(0)
        if record_era(fleet, news.store_era, now):
            log_older_store(fleet, news.box)
        told_before = newest_reported_version(fleet)
        self._take_peers(news, now)
        told_at = self._told_at(news, asked_at)
        self._take_proof(news, told_at)
        if news.catalog_version > fleet.catalog_version:
            if news.catalog_version > told_before:
                log_newer_catalog(fleet, news.box, news.catalog_version, now)
            self._on_newer()
        self._take_workers(news, told_at, now)
        for order in news.rollouts:
            self._take_rollout(news, order, now)
        for word in news.evacuations:
            if apply_evacuation(fleet, told_evacuation(word), now):
                log_evacuation(fleet, word.domain, news.box)
        for told in news.silences:
            self._take_silence(news, told, now)
        for item in news.suspects:
            suspect = told_suspect(item, now)
            suspect.recorded &= news.store_era >= fleet.store.era
            row = merge_suspect(fleet, suspect, now)
            if update_quarantine(fleet, row, now):
                self._on_kept(row, news.box)
        if news.kept_known and news.kept_digest == quarantine_digest(fleet):
            fleet.quarantine_known = True
        take_engine_news(fleet, news, now)
        take_limit_news(fleet, news, told_at, now)
        take_leaving_news(fleet, news, told_at, now)

    def _told_at(self, news: News, asked_at: Millis | None) -> Millis | None:
        """Return when a peer told this at the earliest, by this box's clock.

        A message may have been held up on its way for any time, as by a link that comes
        back. Its clock is ahead of this box's by as much as an answer's time lies
        behind its question at most; None until it has answered one.
        """
        row = self._fleet.peers[news.box]
        if asked_at is not None and news.told_at >= 0:
            row.clock_ahead = news.told_at - asked_at
        if row.clock_ahead is None or news.told_at < 0:
            return None
        return Millis(news.told_at - row.clock_ahead)

    def _take_proof(self, news: News, told_at: Millis | None) -> None:
        """Take in how old the peer's proof is that its catalog is the newest."""
        if told_at is None or news.proof_age_ms < 0:
            return
        at = Millis(told_at - news.proof_age_ms)
        told = CatalogProof(at, Offset(news.proof_end), news.proof_by)
        merge_peer_proof(self._fleet, news.catalog_version, told)

    def _take_workers(self, news: News, told_at: Millis | None, now: Millis) -> None:
        """Take in a newer list, or that this box's is as new as the teller's."""
        fleet = self._fleet
        if news.read_age_ms >= 0 and told_at is not None:
            last = Millis(told_at - news.read_age_ms)
            record_list_read(fleet, last, Millis(last - news.read_unbroken_ms))
        if news.workers_end < fleet.workers_end or not news.workers_digest:
            return
        read_at = fleet.workers_read_at
        if told_at is not None:
            read_at = Millis(told_at - news.workers_age_ms)
        if news.workers:
            rows = [listed(item) for item in news.workers]
            change = apply_worker_list(fleet, rows, Offset(news.workers_end), now)
            fleet.workers_read_at = max(fleet.workers_read_at, read_at)
            for row in change.replaced:
                self._on_ended(row)
            if not change.empty:
                log_event("INFO", "workers", source=news.box, **_shown(change))
        elif news.workers_digest == list_digest(fleet):
            fleet.workers_end = Offset(news.workers_end)
            fleet.workers_read_at = max(fleet.workers_read_at, read_at)

    def _take_peers(self, news: News, now: Millis) -> None:
        peers = self._fleet.peers
        self._fleet.reported_box_count = max(self._fleet.reported_box_count, news.boxes)
        row = peers.get(news.box)
        if row is None:
            row = peers[news.box] = PeerRow(news.box, news.address)
        if row.incarnation != news.incarnation:
            # Another run may have another clock.
            row.clock_ahead = None
        row.address, row.incarnation = news.address, news.incarnation
        row.domain, row.served = news.domain, news.served
        row.catalog_version = news.catalog_version
        row.heard, row.failures = now, 0
        row.followers = news.followers
        row.settings = PeerSettings(
            digest=news.settings_digest,
            since=Millis(now - news.settings_age_ms),
            refused=news.settings_refused,
            waiting=news.settings_waiting,
        )
        for item in news.peers:
            if item.box != self._fleet.identity.box and item.box not in peers:
                peers[item.box] = PeerRow(item.box, item.address, item.domain)

    def _take_silence(self, news: News, told: SilenceNews, now: Millis) -> None:
        fleet, worker = self._fleet, told.worker
        silence = SilenceReport(worker, told.box, Millis(now - told.age_ms))
        known = is_silent(fleet, worker, now)
        if told.box == fleet.identity.box or not record_silence(fleet, silence, now):
            return
        if not known and is_silent(fleet, worker, now):
            log_event(
                "INFO",
                "worker told silent",
                worker=worker,
                by=sorted(fleet.silence_reports[worker]),
                age_ms=told.age_ms,
                source=news.box,
            )

    def _take_rollout(self, news: News, item: RolloutNews, now: Millis) -> None:
        fleet = self._fleet
        began = Millis(now - item.age_ms)
        order = Offset(item.order)
        duration = Millis(item.duration_ms)
        new = apply_order(
            fleet, item.service, item.version, order, duration, began, seen=item.seen
        )
        if new:
            log_order(fleet.rollouts.rows[item.service], now, news.box)
        row = fleet.rollouts.rows[item.service]
        if row.order != order:
            return
        bar_versions(row, item.barred)
        row.extra = max(row.extra, item.extra)
        row.full_from_ms = max(row.full_from_ms, item.full_from_ms)
        if item.turned_bad and not row.turned_bad_reason:
            row.turned_bad_reason = item.turned_bad
            log_turned_bad(row, news.box)
        verdict, reason = Verdict(item.verdict), item.reason
        # Who does not know yet that the store came back older tells what stood before.
        stands = news.store_era >= fleet.store.era
        row.announced |= item.announced and stands
        if item.against is not None and stands:
            _take_against(row, item.against)
        recorded = item.recorded and stands
        if apply_verdict(row, verdict, reason, now, recorded=recorded):
            log_verdict(row, news.box)
        for group in item.groups:
            take_group(fleet, row, group)

    def _whom_to_ask(self) -> list[str]:
        fleet, now = self._fleet, self._clock.now()
        peers = list(fleet.peers.values())
        if not any(peer.heard >= 0 for peer in peers):
            known = {peer.address for peer in peers} | {fleet.identity.address}
            unknown = [seed for seed in self._seeds if seed not in known]
            return unknown + [peer.address for peer in peers][:PEERS_TOLD]
        ready = [peer for peer in peers if _is_due(peer, now)]
        reader = find_list_reader(fleet, now)
        near = [peer for peer in ready if peer.domain == fleet.identity.domain]
        far = [peer for peer in ready if peer.domain != fleet.identity.domain]
        # One before the reader by name is it, if it lives: a box that starts finds the
        # same one as the others of its domain within a round or two. One that did not
        # answer is not asked for this again: each round waits for all that it asks.
        ahead = [p for p in near if p.box < reader and not p.failures]
        asked = sorted(ahead, key=lambda peer: peer.box)[:1]
        asked += [peer for peer in near if peer.box == reader]
        asked += self._near.draw(near, NEAR_ASKED, now)
        # All of its domain ask the reader: what it hears from others they know at once.
        if reader == fleet.identity.box or self._rng.random() * len(near) < FAR_CALLERS:
            asked += self._far.draw(far, FAR_ASKED, now)
        kept = {peer.box for peer in asked} | self._near.boxes | self._far.boxes
        self._talks.keep({fleet.peers[box].address for box in kept})
        return list({peer.address: None for peer in asked})

    async def _ask(self, address: str) -> None:
        row = next(
            (peer for peer in self._fleet.peers.values() if peer.address == address),
            None,
        )
        if row is not None:
            row.asked = self._clock.now()
        domain = row.domain if row is not None and row.domain else None
        asked_at = self._clock.now()
        news = self.news_for(None, domain)
        told = await self._talks.exchange(address, news, TIMEOUT_S)
        if isinstance(told, Err):
            if row is not None:
                row.failures += 1
                if row.failures == 1:
                    detail = told.err_value.detail
                    log_event("WARNING", "peer lost", peer=row.box, detail=detail)
            return
        if row is not None and row.failures:
            log_event("INFO", "peer regained", peer=row.box, failures=row.failures)
        self.take(told.ok_value, asked_at)


def _take_against(row: RolloutRow, item: AgainstNews) -> None:
    """Take in the suspicion that is recorded: the strongest one is the newest."""
    told = told_against(item)
    if (
        row.recorded_suspicion is None
        or told.log_evidence > row.recorded_suspicion.log_evidence
    ):
        row.recorded_suspicion = told


def _is_due(peer: PeerRow, now: Millis) -> bool:
    """Tell whether a peer may be called, after the failures since it answered."""
    return now >= peer.asked + BACK_OFF_MS * min(peer.failures, BACK_OFF_MOST)


def _shown(change: t.Any) -> dict[str, object]:
    return {name: list(getattr(change, name)) for name in ("came", "leaving", "gone")}
