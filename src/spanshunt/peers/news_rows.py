"""Rows of tables as boxes tell them to each other, and back."""

from ..ids import DomainId
from ..ids import Incarnation
from ..ids import Millis
from ..ids import Offset
from ..systems.estimating import reportable_prefills
from ..systems.following_workers import ListedWorker
from ..systems.following_workers import is_leaving_without_notice
from ..systems.quarantining import suspects_to_send
from ..systems.tallies import sum_tallies
from ..systems.throttling import limits_to_send
from ..tables.fleet import EvacuationRow
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import Finding
from ..tables.rollouts import RecordedSuspicion
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tallies
from ..tables.rollouts import Tally
from ..tables.rollouts import TallyKey
from ..tables.rollouts import Verdict
from ..tables.rollouts import WorkerTallyKey
from ..tables.suspects import SuspectRequest
from ..tables.workers import WorkerRow
from .news import AgainstNews
from .news import EvacuationNews
from .news import LeavingNews
from .news import LimitNews
from .news import ReadingNews
from .news import ReadNews
from .news import RolloutNews
from .news import SpeedNews
from .news import SuspectNews
from .news import TallyGroup
from .news import TallyNews
from .news import WorkerNews
from .news import WorkerTallyNews

TALLY_EPOCHS = 3
"""Newest epochs of evidence told in each exchange."""

RETOLD_EPOCHS, RETOLD_MS = 3, 400
"""Older epochs told in each exchange at most, in turn, and how long a turn is, in ms: a
box that started or was not heard for a while knows all of an order of 24 s within 4 s,
for about as many bytes as the newest epochs take."""


LEAVINGS_TOLD = 32
"""Workers told in one exchange at most whose answers alone say that they leave."""


def workers_news(fleet: Fleet, now: Millis) -> tuple[WorkerNews, ...]:
    """Return the list of workers as the store gave it."""
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


def listed(item: WorkerNews) -> ListedWorker:
    """Return a told worker as an entry of the list."""
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
    fleet: Fleet, row: RolloutRow, now: Millis, hearer: DomainId | None = None
) -> RolloutNews:
    """Return what this box knows of an order, with evidence for a hearer's domain.

    Boxes of this failure domain take its boxes one by one, others its sum; no domain
    needs its own sum back.
    """
    groups: list[TallyGroup] = []
    if row.verdict is not Verdict.ROLLED_BACK:
        groups = _groups(fleet, row, _told_epochs(row, now), hearer)
    return RolloutNews(
        service=row.service,
        version=row.version,
        order=row.order,
        duration_ms=row.duration_ms,
        age_ms=now - row.began,
        verdict=row.verdict.value,
        reason=row.reason,
        recorded=row.recorded,
        groups=tuple(group for group in groups if group.tallies or group.workers),
        barred=tuple(sorted(row.barred)),
        extra=row.extra,
        seen=row.seen,
        full_from_ms=row.full_from_ms,
        turned_bad=row.turned_bad_reason,
        announced=row.announced,
        against=_against_news(row.recorded_suspicion),
    )


def _against_news(known: RecordedSuspicion | None) -> AgainstNews | None:
    if known is None:
        return None
    finding = known.finding.value
    return AgainstNews(known.route, finding, known.log_evidence, known.epoch)


def told_against(told: AgainstNews) -> RecordedSuspicion:
    """Return a told suspicion as a row has it."""
    return RecordedSuspicion(
        told.route, Finding(told.finding), told.log_evidence, told.epoch
    )


def _groups(
    fleet: Fleet, row: RolloutRow, epochs: set[int], hearer: DomainId | None
) -> list[TallyGroup]:
    me = fleet.identity
    groups = []
    if hearer in (None, me.domain):
        groups.append(_group(me.domain, me.incarnation, row.own, epochs))
        # What a run of a box told that has ended, the box itself lacks when it is back.
        running = {peer.incarnation for peer in fleet.peers.values()}
        groups += [
            _group(me.domain, ended, tallies, epochs)
            for ended, tallies in row.same_domain.items()
            if ended not in running
        ]
    if hearer != me.domain:
        total = sum_tallies(row.own, *row.same_domain.values())
        groups.append(_group(me.domain, Incarnation(""), total, epochs))
    groups += [
        _group(domain, Incarnation(""), tallies, epochs)
        for domain, tallies in row.other_domains.items()
        if domain != hearer
    ]
    return groups


def _told_epochs(row: RolloutRow, now: Millis) -> set[int]:
    """Return the epochs told now: the newest, and older ones in turn."""
    newest = max(0, now - row.began) // EPOCH_MS
    older = max(0, newest - TALLY_EPOCHS + 1)
    turns = 1
    while turns * RETOLD_EPOCHS < older:
        turns *= 2
    # Doubled, so that a turn stays the same epochs' while an order goes on.
    return {
        *range(now // RETOLD_MS % turns, older, turns),
        *range(older, newest + 1),
    }


def _group(
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
        )
        for key, tally in tallies.workers.items()
    )
    return TallyGroup(domain, box, routes, workers)


def take_group(fleet: Fleet, row: RolloutRow, group: TallyGroup) -> None:
    """Take in evidence: boxes of this domain one by one, others as sums.

    Counts only rise, so the greatest told is the newest, in whatever order it comes.
    """
    me = fleet.identity
    near = group.domain == me.domain
    if near != bool(group.box) or group.box == me.incarnation:
        return
    row.changes += 1
    into = (
        row.same_domain.setdefault(group.box, Tallies())
        if near
        else row.other_domains.setdefault(group.domain, Tallies())
    )
    for told in group.tallies:
        key = TallyKey(told.route, told.entering, told.epoch)
        tally = Tally(told.answers, told.failed, told.timed, told.slow)
        into.routes.setdefault(key, Tally()).merge(tally)
    for item in group.workers:
        worker = WorkerTallyKey(item.worker, item.entering)
        tally = Tally(item.answers, item.failed, item.timed, item.slow)
        into.workers.setdefault(worker, Tally()).merge(tally)


def speeds_news(fleet: Fleet) -> tuple[SpeedNews, ...]:
    """Return how fast engines are, as far as this box learned it."""
    told = []
    for (service, model), speed in fleet.prefill_speeds.items():
        pace = fleet.decode_speeds.get((service, model))
        gap_ms = pace.gap_ms if pace is not None else 0.0
        told.append(SpeedNews(service, model, speed.read_ms, speed.base_ms, gap_ms))
    return tuple(told)


def readings_news(fleet: Fleet) -> tuple[ReadingNews, ...]:
    """Return what this box has waiting at engines."""
    return tuple(
        ReadingNews(row.name, int(row.prefill_ms))
        for row in fleet.workers.rows.values()
        if row.prefill_ms >= 1.0
    )


def reads_news(fleet: Fleet, now: Millis) -> tuple[ReadNews, ...]:
    """Return the prompts that this box sent to engines of late."""
    return tuple(
        ReadNews(read.worker, read.model, read.shared_parts)
        for read in reportable_prefills(fleet, now)
    )


def limits_news(fleet: Fleet, now: Millis) -> tuple[LimitNews, ...]:
    """Return what workers said of the rates that they take."""
    return tuple(
        LimitNews(
            worker=heard.worker.name,
            born=heard.worker.born,
            per_s=-1.0 if heard.limit.per_s is None else heard.limit.per_s,
            age_ms=now - heard.limit.at,
            source=heard.limit.source,
        )
        for heard in limits_to_send(fleet, now)
    )


def leavings_news(fleet: Fleet, now: Millis) -> tuple[LeavingNews, ...]:
    """Return which workers said that they leave, the newest first."""
    said = [
        LeavingNews(row.name, row.born, now - row.leaving.at, row.leaving.source)
        for row in fleet.workers.rows.values()
        if row.leaving is not None and not row.listed_leaving
    ]
    return tuple(sorted(said, key=lambda item: item.age_ms)[:LEAVINGS_TOLD])


def evacuations_news(fleet: Fleet) -> tuple[EvacuationNews, ...]:
    """Return what operators said last of each failure domain."""
    return tuple(
        EvacuationNews(row.domain, row.order, row.active)
        for row in fleet.evacuations.values()
    )


def told_evacuation(item: EvacuationNews) -> EvacuationRow:
    """Return a told word on a failure domain as a row."""
    return EvacuationRow(item.domain, Offset(item.order), item.active)


def suspects_news(
    fleet: Fleet, now: Millis, hearer_digest: int | None
) -> tuple[SuspectNews, ...]:
    """Return what this box knows of contents under which workers ended."""
    return tuple(
        SuspectNews(
            fingerprint=row.fingerprint,
            service=row.service,
            versions=tuple(row.versions),
            ends=tuple((life, now - at) for life, at in row.ends.items()),
            sound_age_ms=now - row.cleared_at if row.cleared_at >= 0 else -1,
            kept_by=row.quarantined_by,
            recorded=row.recorded,
        )
        for row in suspects_to_send(fleet, now, hearer_digest)
    )


def told_suspect(item: SuspectNews, now: Millis) -> SuspectRequest:
    """Return a told content as a row."""
    sound = item.sound_age_ms
    return SuspectRequest(
        fingerprint=item.fingerprint,
        service=item.service,
        ends={life: Millis(now - age) for life, age in item.ends},
        versions=set(item.versions),
        cleared_at=Millis(now - sound if sound >= 0 else -1),
        quarantined_by=item.kept_by,
        recorded=item.recorded,
    )
