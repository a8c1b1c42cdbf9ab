"""Conversion between rows of tables and the messages between boxes."""

import random

from ..ids import DomainId
from ..ids import Incarnation
from ..ids import Millis
from ..ids import Offset
from ..systems.brittleness import brittle_to_send
from ..systems.estimating import reportable_prefills
from ..systems.following_workers import is_leaving_without_notice
from ..systems.quarantine_records import suspects_to_send
from ..systems.tallies import sum_tallies
from ..systems.throttling import WorkerLimit
from ..systems.throttling import limits_to_send
from ..systems.worker_speed import newest_slowdowns
from ..tables.fleet import EvacuationRow
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import RecordedSuspicion
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tallies
from ..tables.rollouts import Tally
from ..tables.rollouts import TallyKey
from ..tables.rollouts import Verdict
from ..tables.rollouts import WorkerTallyKey
from ..tables.suspects import NEVER_CLEARED
from ..tables.suspects import SuspectFeature
from ..tables.worker_list import ListedWorker
from ..tables.workers import WorkerRow
from .news_items import EvacuationNews
from .news_items import LeavingNews
from .news_items import LimitNews
from .news_items import LoadNews
from .news_items import PendingPrefillNews
from .news_items import RecentPrefillNews
from .news_items import RolloutNews
from .news_items import SpeedNews
from .news_items import SuspectNews
from .news_items import SuspicionNews
from .news_items import TallyGroup
from .news_items import TallyNews
from .news_items import WorkerNews
from .news_items import WorkerSpeedNews
from .news_items import WorkerTallyNews

NEWEST_EPOCHS_SENT = 3
"""Number of the newest epochs whose tallies are sent in each message."""

MAX_OLDER_EPOCHS_SENT, OLDER_EPOCHS_TURN_MS = 3, 400
"""Maximum number of older epochs whose tallies are sent in each message, in rotation,
and the length of one turn of the rotation, in ms. A box that started or was not heard
for a while knows all tallies of an order of 24 s within 4 s, for about as many bytes as
the newest epochs take."""


MAX_LOADS_SENT, MAX_LOAD_AGE_MS = 16, 1_000
"""Maximum number of load reports in one message, newest first, and the age from which
they are not passed on, in ms: a slowdown has lost nearly all of its weight by then."""

MAX_WORKER_SPEEDS_SENT = 16
"""Maximum number of workers' usual speeds in one message."""

MAX_LEAVING_NOTICES_SENT = 32
"""Maximum number of leaving notices in one message, newest first."""


def workers_news(fleet: Fleet, now: Millis) -> tuple[WorkerNews, ...]:
    """Return the workers' list, without workers that are missing from the store."""
    return tuple(
        WorkerNews(
            name=row.name,
            address=row.address,
            service=row.service,
            domain=row.domain,
            versions=tuple(row.versions),
            slots=row.slots,
            draining=is_leaving_without_notice(fleet, row),
            born=row.born,
            cold_ms=max(0, row.cold_until - now) if row.listed_cold else 0,
        )
        for row in fleet.workers.rows.values()
        if row.name not in fleet.missing_workers
    )


def to_listed_worker(item: WorkerNews) -> ListedWorker:
    """Return a received worker as an entry of the list."""
    row = WorkerRow(
        name=item.name,
        address=item.address,
        service=item.service,
        domain=item.domain,
        versions=frozenset(item.versions),
        slots=item.slots,
        born=Millis(item.born),
    )
    return ListedWorker(row, draining=item.draining, cold_ms=Millis(item.cold_ms))


def rollout_news(
    fleet: Fleet, row: RolloutRow, now: Millis, receiver: DomainId | None = None
) -> RolloutNews:
    """Return the state of an order, with the tallies for the receiver's failure domain.

    A receiver in this domain gets the tallies of single runs of boxes, other receivers
    their sum over this domain; no domain gets its own sum back. If the receiver's
    domain is unknown, all of them are sent.
    """
    groups: list[TallyGroup] = []
    if row.verdict is not Verdict.ROLLED_BACK:
        groups = _tally_groups(fleet, row, _epochs_to_send(row, now), receiver)
    return RolloutNews(
        service=row.service,
        version=row.version,
        order=row.order,
        duration_ms=row.duration_ms,
        age_ms=now - row.began,
        verdict=row.verdict,
        reason=row.reason,
        recorded=row.recorded,
        groups=tuple(group for group in groups if group.tallies or group.workers),
        barred=tuple(sorted(row.barred)),
        extra=row.extra,
        seen=row.seen,
        full_from_ms=row.full_from_ms,
        turned_bad_reason=row.turned_bad_reason,
        announced=row.announced,
        recorded_suspicion=_suspicion_news(row.recorded_suspicion),
    )


def _suspicion_news(suspicion: RecordedSuspicion | None) -> SuspicionNews | None:
    if suspicion is None:
        return None
    return SuspicionNews(
        suspicion.route, suspicion.finding, suspicion.log_evidence, suspicion.epoch
    )


def to_recorded_suspicion(received: SuspicionNews) -> RecordedSuspicion:
    """Return a received suspicion as it is kept in a row."""
    return RecordedSuspicion(
        received.route,
        received.finding,
        received.log_evidence,
        received.epoch,
    )


def _tally_groups(
    fleet: Fleet, row: RolloutRow, epochs: set[int], receiver: DomainId | None
) -> list[TallyGroup]:
    me = fleet.identity
    groups = []
    if receiver in (None, me.domain):
        groups.append(_tally_group(me.domain, me.incarnation, row.own, epochs))
        # A restarted box lacks the tallies of its former run, so peers send them to it.
        running = {peer.incarnation for peer in fleet.peers.values()}
        groups += [
            _tally_group(me.domain, ended, tallies, epochs)
            for ended, tallies in row.same_domain.items()
            if ended not in running
        ]
    if receiver != me.domain:
        total = sum_tallies(row.own, *row.same_domain.values())
        groups.append(_tally_group(me.domain, Incarnation(""), total, epochs))
    groups += [
        _tally_group(domain, Incarnation(""), tallies, epochs)
        for domain, tallies in row.other_domains.items()
        if domain != receiver
    ]
    return groups


def _epochs_to_send(row: RolloutRow, now: Millis) -> set[int]:
    """Return the epochs to send now: the newest, and older ones in rotation."""
    newest = max(0, now - row.began) // EPOCH_MS
    older = max(0, newest - NEWEST_EPOCHS_SENT + 1)
    turns = 1
    while turns * MAX_OLDER_EPOCHS_SENT < older:
        turns *= 2
    # The number of turns is doubled, so that a turn keeps its epochs while the order
    # goes on.
    return {
        *range(now // OLDER_EPOCHS_TURN_MS % turns, older, turns),
        *range(older, newest + 1),
    }


def _tally_group(
    domain: DomainId, box: Incarnation, tallies: Tallies, epochs: set[int]
) -> TallyGroup:
    routes = tuple(
        TallyNews(
            route=key.route,
            entering=key.entering,
            epoch=key.epoch,
            answers=tally.answers,
            failed=tally.failed,
            slow=tally.slow,
            timed=tally.timed,
            loaded=tally.loaded,
            loaded_failed=tally.loaded_failed,
            errors=tally.errors,
        )
        for key, tally in tallies.routes.items()
        if key.epoch in epochs
    )
    workers = tuple(
        WorkerTallyNews(
            worker=key.worker,
            entering=key.entering,
            answers=tally.answers,
            failed=tally.failed,
            slow=tally.slow,
            timed=tally.timed,
            loaded=tally.loaded,
            loaded_failed=tally.loaded_failed,
            errors=tally.errors,
        )
        for key, tally in tallies.workers.items()
    )
    return TallyGroup(domain, box, routes, workers)


def merge_tally_group(fleet: Fleet, row: RolloutRow, group: TallyGroup) -> None:
    """Merge received tallies: of single boxes of this domain, or a sum of another.

    Counts only rise, so the greatest one is the newest, whatever the order of arrival.
    """
    me = fleet.identity
    same_domain = group.domain == me.domain
    if same_domain != bool(group.box) or group.box == me.incarnation:
        return
    row.changes += 1
    tallies = (
        row.same_domain.setdefault(group.box, Tallies())
        if same_domain
        else row.other_domains.setdefault(group.domain, Tallies())
    )
    for received in group.tallies:
        key = TallyKey(received.route, received.entering, received.epoch)
        tallies.routes.setdefault(key, Tally()).merge(_to_tally(received))
    for item in group.workers:
        worker_key = WorkerTallyKey(item.worker, item.entering)
        tallies.workers.setdefault(worker_key, Tally()).merge(_to_tally(item))


def _to_tally(received: TallyNews | WorkerTallyNews) -> Tally:
    """Return the counts of a received row."""
    return Tally(
        answers=received.answers,
        failed=received.failed,
        timed=received.timed,
        slow=received.slow,
        loaded=received.loaded,
        loaded_failed=received.loaded_failed,
        errors=received.errors,
    )


def speeds_news(fleet: Fleet) -> tuple[SpeedNews, ...]:
    """Return the speeds of engines, as this box estimates them."""
    items = []
    for (service, model), speed in fleet.prefill_speeds.items():
        decode_speed = fleet.decode_speeds.get((service, model))
        gap_ms = decode_speed.gap_ms if decode_speed is not None else 0.0
        items.append(SpeedNews(service, model, speed.read_ms, speed.base_ms, gap_ms))
    return tuple(items)


def pending_prefills_news(fleet: Fleet) -> tuple[PendingPrefillNews, ...]:
    """Return the prefill times of this box's prompts that wait at engines."""
    return tuple(
        PendingPrefillNews(row.name, int(row.prefill_ms))
        for row in fleet.workers.rows.values()
        if row.prefill_ms >= 1.0
    )


def recent_prefills_news(fleet: Fleet, now: Millis) -> tuple[RecentPrefillNews, ...]:
    """Return the prompts that this box recently sent to engines."""
    return tuple(
        RecentPrefillNews(prefill.worker, prefill.model, prefill.shared_parts)
        for prefill in reportable_prefills(fleet, now)
    )


def limits_news(fleet: Fleet, now: Millis) -> tuple[LimitNews, ...]:
    """Return the newest rate limits of workers."""
    return _rates_news(limits_to_send(fleet, now), now)


def brittle_news(fleet: Fleet, now: Millis) -> tuple[LimitNews, ...]:
    """Return the newest notices of brittle workers."""
    return _rates_news(brittle_to_send(fleet, now), now)


def _rates_news(rows: list[WorkerLimit], now: Millis) -> tuple[LimitNews, ...]:
    return tuple(
        LimitNews(
            worker=known.worker.name,
            born=known.worker.born,
            per_s=-1.0 if known.limit.per_s is None else known.limit.per_s,
            age_ms=now - known.limit.at,
            source=known.limit.source,
        )
        for known in rows
    )


def loads_news(fleet: Fleet, now: Millis) -> tuple[LoadNews, ...]:
    """Return the newest load reports of workers that report a slowdown."""
    return tuple(
        LoadNews(
            worker=row.name,
            born=row.born,
            running=row.reported - row.queued,
            waiting=row.queued,
            slots=row.slots,
            slowdown_percent=round(100 * row.speed.slowdown),
            age_ms=now - row.reported_at,
        )
        for row in newest_slowdowns(fleet, now, MAX_LOADS_SENT, MAX_LOAD_AGE_MS)
    )


def worker_speeds_news(fleet: Fleet, rng: random.Random) -> tuple[WorkerSpeedNews, ...]:
    """Return the usual speeds of workers; if there are many, of some drawn anew."""
    rows = [row for row in fleet.workers.rows.values() if row.speed.answers]
    if len(rows) > MAX_WORKER_SPEEDS_SENT:
        rows = rng.sample(rows, MAX_WORKER_SPEEDS_SENT)
    return tuple(
        WorkerSpeedNews(row.name, row.born, row.speed.usual_factor, row.speed.answers)
        for row in rows
    )


def leaving_news(fleet: Fleet, now: Millis) -> tuple[LeavingNews, ...]:
    """Return the newest leaving notices of workers, the newest first."""
    notices = [
        LeavingNews(row.name, row.born, now - row.leaving.at, row.leaving.source)
        for row in fleet.workers.rows.values()
        if row.leaving is not None and not row.listed_leaving
    ]
    return tuple(
        sorted(notices, key=lambda item: item.age_ms)[:MAX_LEAVING_NOTICES_SENT]
    )


def evacuations_news(fleet: Fleet) -> tuple[EvacuationNews, ...]:
    """Return the operators' newest evacuation order for each failure domain."""
    return tuple(
        EvacuationNews(row.domain, row.order, row.active)
        for row in fleet.evacuations.values()
    )


def to_evacuation_row(item: EvacuationNews) -> EvacuationRow:
    """Return a received evacuation order as a row."""
    return EvacuationRow(item.domain, Offset(item.order), item.active)


def suspects_news(
    fleet: Fleet, now: Millis, receiver_digest: int | None
) -> tuple[SuspectNews, ...]:
    """Return the suspect requests to send to a peer.

    `receiver_digest` is the peer's `quarantine_digest`; None if it is unknown.
    """
    return tuple(
        SuspectNews(
            fingerprint=row.fingerprint,
            service=row.service,
            versions=tuple(row.versions),
            ends=tuple((run, now - at) for run, at in row.ends.items()),
            cleared_age_ms=_cleared_age_ms(row, now),
            quarantined_by=row.quarantined_by,
            recorded=row.recorded,
            position=row.position,
            requests=row.requests,
            sent_ages_ms=tuple((run, now - at) for run, at in row.sent.items()),
        )
        for row in suspects_to_send(fleet, now, receiver_digest)
    )


def _cleared_age_ms(row: SuspectFeature, now: Millis) -> int:
    return now - row.cleared_at if row.cleared_at > NEVER_CLEARED else -1


def to_suspect_feature(item: SuspectNews, now: Millis) -> SuspectFeature:
    """Return a received suspect request as a row."""
    cleared_age_ms = item.cleared_age_ms
    return SuspectFeature(
        fingerprint=item.fingerprint,
        service=item.service,
        ends={run: Millis(now - age) for run, age in item.ends},
        versions=set(item.versions),
        cleared_at=(
            Millis(now - cleared_age_ms) if cleared_age_ms >= 0 else NEVER_CLEARED
        ),
        quarantined_by=item.quarantined_by,
        recorded=item.recorded,
        position=item.position,
        requests=item.requests,
        sent={run: Millis(now - age) for run, age in item.sent_ages_ms},
    )
