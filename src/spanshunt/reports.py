"""What operators see: documents made from the tables."""

import msgspec
from result import Err
from result import Ok
from result import Result

from .backing.outcomes import PlatformFault
from .histograms import Summary
from .ids import Micros
from .ids import Millis
from .ids import Offset
from .ids import OrgId
from .ids import ServiceId
from .router import Router
from .systems.choice import choose
from .systems.choice_rows import VersionRequest
from .systems.freshness import fresh_age
from .systems.invariants import checks
from .systems.learning import estimate_quality
from .tables.config import HistoryRow
from .tables.evidence import Cell


class StatusReport(msgspec.Struct, frozen=True):
    """One box at a glance."""

    box: str
    domain: str
    incarnation: str
    ready: bool
    reason: str
    offset: Offset
    fresh_age_ms: Millis
    running: int
    open_bills: int
    copied_bills: int
    checks: dict[str, int]


class VersionReport(msgspec.Struct, frozen=True):
    """A version: state, share of a roll-out, and what was seen in the last hour."""

    version: str
    service: str
    state: str
    share: float
    suspended: bool
    runs: int
    errors: int
    rated: int
    good: int
    workers: int


class RolloutReport(msgspec.Struct, frozen=True):
    """A roll-out.

    ``shut_out_ms`` is for how long boxes have given its version no work though its
    pull-back is not recorded yet, in ms; -1 while they do give it some.
    """

    rollout: str
    version: str
    state: str
    stage: int
    share: float
    reason: str
    shut_out_ms: Millis


class BoxReport(msgspec.Struct, frozen=True):
    """A box as this one knows it."""

    box: str
    domain: str
    address: str
    offset: Offset
    silent_ms: Millis
    stopping: bool
    listed: bool


class WorkerReport(msgspec.Struct, frozen=True):
    """A worker as this box knows it."""

    worker: str
    service: str
    domain: str
    state: str
    inflight: int
    reported: int
    slots: int
    versions: tuple[str, ...]


class OrgReport(msgspec.Struct, frozen=True):
    """An organisation: what it may use and uses."""

    org: str
    allowed: tuple[str, ...]
    credentials: int
    rate: float
    concurrency: int
    budget: int | None
    demand: float
    running: int
    spent: Micros


class BillReport(msgspec.Struct, frozen=True):
    """What an organisation owes for a service."""

    org: str
    service: str
    requests: int
    prompt_tokens: int
    output_tokens: int
    cost: Micros


class BillsReport(msgspec.Struct, frozen=True):
    """The fold of the bills stream.

    Attributes
    ----------
    rows : tuple
        By organisation and service.
    doubled : int
        Entries that were on the log more than once and counted once.
    since : int
        Bills before this record were dropped with no snapshot and are not in the rows;
        0 if none were.
    """

    rows: tuple[BillReport, ...]
    doubled: int
    since: Offset


class ExplainReport(msgspec.Struct, frozen=True):
    """What the router would do with a request now, and why."""

    version: str
    rule: str
    rate: float
    fallback: str
    excluded: tuple[str, ...]
    estimates: dict[str, str]


def status_report(router: Router) -> StatusReport:
    """Return the status of this box."""
    state = router.state
    reason = router.why_not_ready()
    return StatusReport(
        box=state.identity.box,
        domain=state.identity.domain,
        incarnation=state.identity.incarnation,
        ready=not reason,
        reason=reason,
        offset=state.config.next_offset,
        fresh_age_ms=fresh_age(state, router.clock.now()),
        running=len(router.running),
        open_bills=len(state.journal.open),
        copied_bills=state.journal.size - len(state.journal.open),
        checks=dict(sorted(checks.items())),
    )


def version_reports(router: Router) -> list[VersionReport]:
    """Return all versions."""
    state = router.state
    reports = []
    for name, row in sorted(state.config.versions.items()):
        rollout = state.config.rollout_of(name)
        cells = [
            counts
            for (version, request_class), counts in state.evidence.pool.classes.items()
            if version == name and "!" not in request_class
        ]
        reports.append(
            VersionReport(
                version=name,
                service=row.service,
                state=row.state.value,
                share=rollout.share if rollout is not None else 1.0,
                suspended=name in state.suspended,
                runs=sum(counts.runs for counts in cells),
                errors=sum(counts.errors for counts in cells),
                rated=sum(counts.rated for counts in cells),
                good=sum(counts.good for counts in cells),
                workers=sum(
                    name in worker.versions for worker in state.workers.rows.values()
                ),
            )
        )
    return reports


def rollout_reports(router: Router) -> list[RolloutReport]:
    """Return all roll-outs; one that boxes shut out says why, recorded or not."""
    state, now = router.state, router.clock.now()
    reports = []
    for row in state.config.rollouts.values():
        shut_out = state.suspended.get(row.version)
        reports.append(
            RolloutReport(
                rollout=row.name,
                version=row.version,
                state=row.state.value,
                stage=row.stage,
                share=row.share,
                reason=row.reason or (shut_out.reason if shut_out else ""),
                shut_out_ms=Millis(now - shut_out.since if shut_out else -1),
            )
        )
    return reports


def box_reports(router: Router) -> list[BoxReport]:
    """Return this box's peers."""
    state = router.state
    now = router.clock.now()
    return [
        BoxReport(
            box=row.box,
            domain=row.domain,
            address=row.address,
            offset=row.offset,
            silent_ms=Millis(now - row.heard),
            stopping=row.stopping,
            listed=row.box in state.members.listed,
        )
        for row in sorted(state.members.rows.values(), key=lambda row: row.box)
    ]


def worker_reports(router: Router) -> list[WorkerReport]:
    """Return the workers."""
    table = router.state.workers
    return [
        WorkerReport(
            worker=row.name,
            service=row.service,
            domain=row.domain,
            state="leaving" if row.name in table.leaving else row.state.value,
            inflight=row.inflight,
            reported=row.reported,
            slots=row.slots,
            versions=tuple(sorted(row.versions)),
        )
        for row in sorted(table.rows.values(), key=lambda row: row.name)
    ]


def org_reports(router: Router) -> list[OrgReport]:
    """Return the organisations; credentials are only counted."""
    reports = []
    for name, row in sorted(router.state.config.orgs.items()):
        own = router.state.usage.own.get(name)
        reports.append(
            OrgReport(
                org=name,
                allowed=row.allowed,
                credentials=len(row.credentials),
                rate=row.limits.rate,
                concurrency=row.limits.concurrency,
                budget=row.limits.budget,
                demand=round(own.demand, 2) if own else 0.0,
                running=own.running + own.others_running if own else 0,
                spent=Micros(own.spent + own.others_spent) if own else Micros(0),
            )
        )
    return reports


def history_reports(router: Router) -> list[HistoryRow]:
    """Return the confirmed plans and automatic steps, oldest first."""
    return list(router.state.config.history)


def histogram_reports(router: Router) -> list[Summary]:
    """Return this box's histograms."""
    return router.histograms.summaries()


async def bills_report(router: Router) -> Result[BillsReport, PlatformFault]:
    """Fold the bills stream and return it."""
    caught_up = await router.bill_reader.catch_up()
    if isinstance(caught_up, Err):
        return caught_up
    fold = caught_up.ok_value
    rows = tuple(
        BillReport(
            org=org,
            service=service,
            requests=total.requests,
            prompt_tokens=total.prompt_tokens,
            output_tokens=total.output_tokens,
            cost=total.cost,
        )
        for org, services in sorted(fold.totals.items())
        for service, total in sorted(services.items())
    )
    return Ok(BillsReport(rows, fold.doubled, router.bill_reader.missing_before))


def explain_report(router: Router, asked: VersionRequest) -> ExplainReport:
    """Return what the router would do with a request now."""
    state = router.state
    estimates = {}
    for row in state.config.versions_of(asked.service):
        name = type(asked.pin)(row.name)
        found = estimate_quality(
            state.evidence.pool, Cell(name, asked.request_class, asked.org)
        )
        estimates[row.name] = (
            f"{found.mean:.3f} ({found.low:.3f} to {found.high:.3f}, "
            f"worth {found.ratings:.0f} ratings)"
        )
    match choose(
        state.config,
        state.evidence.pool,
        asked,
        lambda version: router.holds(ServiceId(asked.service), version),
        router.preferences,
        router.clock.now(),
    ):
        case Ok(choice):
            excluded = tuple(f"{it.version}: {it.reason}" for it in choice.excluded)
            return ExplainReport(
                version=choice.version,
                rule=choice.rule.value,
                rate=choice.rate,
                fallback=choice.fallback,
                excluded=excluded,
                estimates=estimates,
            )
        case Err(none):
            excluded = tuple(f"{it.version}: {it.reason}" for it in none.excluded)
            return ExplainReport("", "none may be used", 0.0, "", excluded, estimates)


def known_org(router: Router, name: str) -> bool:
    """Tell whether an organisation is declared."""
    return OrgId(name) in router.state.config.orgs
