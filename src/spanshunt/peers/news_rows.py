"""Rows of tables as boxes tell them to each other, and back."""

from ..ids import DomainId
from ..ids import Incarnation
from ..ids import Millis
from ..systems.estimating import newest_reads
from ..systems.following_workers import ListedWorker
from ..systems.tallies import add_up
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import EvidenceKey
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tally
from ..tables.rollouts import Verdict
from ..tables.workers import WorkerRow
from .news import ReadingNews
from .news import ReadNews
from .news import RolloutNews
from .news import SpeedNews
from .news import TallyGroup
from .news import TallyNews
from .news import WorkerNews

TALLY_EPOCHS = 3
"""Newest epochs of evidence told: older ones were told before."""


def workers_news(fleet: Fleet) -> tuple[WorkerNews, ...]:
    """Return the list of workers as the store gave it."""
    return tuple(
        WorkerNews(
            name=row.name,
            address=row.address,
            service=row.service,
            domain=row.domain,
            versions=tuple(row.versions),
            slots=row.slots,
            draining=row.name in fleet.workers.leaving,
        )
        for row in fleet.workers.rows.values()
        if row.name not in fleet.missing
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
    )
    return ListedWorker(row, draining=item.draining)


def rollout_news(fleet: Fleet, row: RolloutRow, now: Millis) -> RolloutNews:
    """Return what this box knows of an order, with the newest evidence."""
    me = fleet.me
    running = row.verdict is Verdict.RUNNING
    oldest = max(0, now - row.began) // EPOCH_MS - TALLY_EPOCHS
    groups = [
        _group(me.domain, me.incarnation, row.own, oldest),
        _group(me.domain, Incarnation(""), add_up(row.own, *row.near.values()), oldest),
        *(
            _group(domain, Incarnation(""), tallies, oldest)
            for domain, tallies in row.far.items()
        ),
    ]
    return RolloutNews(
        service=row.service,
        version=row.version,
        order=row.order,
        duration_ms=row.duration_ms,
        age_ms=now - row.began,
        verdict=row.verdict.value,
        reason=row.reason,
        recorded=row.recorded,
        groups=tuple(group for group in groups if running and group.tallies),
        barred=tuple(sorted(row.barred)),
        extra=row.extra,
        seen=row.seen,
    )


def _group(
    domain: DomainId,
    box: Incarnation,
    tallies: dict[EvidenceKey, Tally],
    oldest: int,
) -> TallyGroup:
    told = tuple(
        TallyNews(
            route=key.route,
            entering=key.entering,
            epoch=key.epoch,
            answers=tally.answers,
            failed=tally.failed,
            slow=tally.slow,
        )
        for key, tally in tallies.items()
        if key.epoch > oldest
    )
    return TallyGroup(domain, box, told)


def speeds_news(fleet: Fleet) -> tuple[SpeedNews, ...]:
    """Return how fast engines are, as far as this box learned it."""
    return tuple(
        SpeedNews(service, model, speed.read_ms, speed.base_ms)
        for (service, model), speed in fleet.speeds.items()
    )


def readings_news(fleet: Fleet) -> tuple[ReadingNews, ...]:
    """Return what this box has waiting at engines."""
    return tuple(
        ReadingNews(row.name, int(row.reading_ms))
        for row in fleet.workers.rows.values()
        if row.reading_ms >= 1.0
    )


def reads_news(fleet: Fleet, now: Millis) -> tuple[ReadNews, ...]:
    """Return the prompts that this box sent to engines of late."""
    return tuple(
        ReadNews(read.worker, read.model, read.shared)
        for read in newest_reads(fleet, now)
    )
