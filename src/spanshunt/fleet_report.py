"""What one box believes of the whole fleet on the platform, for operators."""

import msgspec

from .ids import BoxId
from .ids import DomainId
from .ids import Fingerprint
from .ids import Incarnation
from .ids import Millis
from .ids import ModelId
from .ids import OrgId
from .ids import ServiceId
from .ids import VersionId
from .ids import WorkerId
from .ids import WorkerIncarnation
from .systems.estimating import others_wait_ms
from .systems.evacuating import evacuated_domains
from .systems.evacuating import is_evacuated
from .systems.exposing import entering_share
from .systems.following_workers import find_list_reader
from .systems.placing import batch_load
from .systems.proving import proof_age
from .systems.quarantining import quarantined_features
from .systems.repeats import RepeatBounds
from .systems.repeats import retry_budget
from .systems.resting import rest_left_ms
from .systems.silence import is_silent
from .systems.tallies import pooled_tallies
from .systems.warming import is_cold
from .systems.withholding import withheld_versions
from .systems.worker_speed import present_slowdown
from .tables.fleet import Fleet
from .tables.fleet import PeerRow
from .tables.rollouts import RolloutRow
from .tables.settings_state import PeerSettings
from .tables.settings_state import SettingsRow
from .tables.suspects import SuspectFeature
from .tables.workers import WorkerRow

FLEET_PATH = "/fleet"
"""Where the metrics address serves it."""


class WorkerView(msgspec.Struct, frozen=True):
    """A backend server: its load in parts of its batch, and why it is out, if so.

    ``usual_factor`` is the time of its work against its service's usual; ``slowdown``
    what it reports beside that, by its newest report.
    """

    worker: WorkerId
    service: ServiceId
    domain: DomainId
    versions: tuple[VersionId, ...]
    load: float
    slots: int
    inflight: int
    error_rate: float
    waiting_ms: int
    out: str
    usual_factor: float
    slowdown: float


class RolloutView(msgspec.Struct, frozen=True):
    """A roll-out: how far it is and the answers that it rests on, of all boxes heard.

    ``failed`` and ``slow`` are parts of ``answers``, of the entering version; ``share``
    is the part of sessions that it gets now.
    """

    service: ServiceId
    version: VersionId
    verdict: str
    reason: str
    recorded: bool
    share: float
    age_ms: Millis
    duration_ms: Millis
    answers: int
    failed: int
    slow: int
    barred: tuple[VersionId, ...]


class BudgetView(msgspec.Struct, frozen=True):
    """The box's part of the budget of repeats of one service, in the window now."""

    service: ServiceId
    requests: int
    repeats: int
    allowed: float
    repeat_price: float


class ModelView(msgspec.Struct, frozen=True):
    """A model: answers seen here and the mean of its own sureness, in 0 to 1."""

    model: ModelId
    answers: int
    sureness: float


class KeptBackView(msgspec.Struct, frozen=True):
    """A content or prompt part that is sent to no worker.

    ``ends`` are the lives of workers that ended under it; ``position`` is the index of
    a part in its prompt, -1 for a content.
    """

    fingerprint: Fingerprint
    service: ServiceId
    ends: tuple[WorkerIncarnation, ...]
    versions: tuple[VersionId, ...]
    last_end_ms: Millis
    found_by: BoxId
    recorded: bool
    position: int


class SettingsView(msgspec.Struct, frozen=True):
    """Settings in force: their digest, for how long, and what of the file is not.

    ``refused`` tells why the newest file is not taken (empty if it is), ``refused_ms``
    for how long (-1 if it is), ``waiting`` its fields that need the next start.
    """

    digest: str
    in_force_ms: Millis
    refused: str
    refused_ms: Millis
    waiting: tuple[str, ...]


class PeerView(msgspec.Struct, frozen=True):
    """Another box; ``heard_ms`` is how long ago it was heard, -1 for never.

    ``catalog`` is the newest catalog that it told of; ``settings`` names the settings
    that it told to have in force, for ``settings_ms``; ``settings_file`` is what is
    wrong with its newest file.
    """

    box: BoxId
    domain: DomainId
    heard_ms: Millis
    served: bool
    failures: int
    catalog: int = -1
    settings: str = ""
    settings_ms: Millis = Millis(-1)
    settings_file: str = ""


class ShareView(msgspec.Struct, frozen=True):
    """Share of an organisation that asks for more than its share, in slots.

    ``room`` is that of the whole service, ``pace`` the part of the share that this box
    gives out.
    ``demand_age_ms`` is how long ago the demand was last above the share.
    """

    service: ServiceId
    org: OrgId
    room: float
    share: float
    demand: float
    pace: float
    in_force: bool
    demand_age_ms: Millis


class FleetView(msgspec.Struct, frozen=True):
    """All of it.

    Attributes
    ----------
    box, domain, incarnation
        Who tells.
    ready : str
        Why the box takes no new connections; "yes" if it does.
    catalog, routes, organisations : int
        The newest catalog's version (-1 for none) and size.
    proof_age_ms, proof_by
        How old the proof is that no newer one was there, in ms (-1 for none), and the
        box that read it from the store.
    store_failing_ms : int
        How long calls to the store have been failing; -1 while they do not.
    list_age_ms : int
        How long ago the workers' list was read, by any box; -1 for never.
    list_reader : str
        Which box reads it for this failure domain.
    store_era : int
        How often the store came back from a copy; -1 while that is unknown.
    emptied : tuple of str
        Failure domains that operators emptied.
    settings : SettingsView
        What the box has in force.
    workers, rollouts, budgets, models, peers, kept_back, shares
        Rows of each; peers whose settings differ from this box's come first.
    """

    box: BoxId
    domain: DomainId
    incarnation: Incarnation
    ready: str
    catalog: int
    routes: int
    organisations: int
    proof_age_ms: Millis
    proof_by: BoxId
    store_failing_ms: Millis
    list_age_ms: Millis
    list_reader: BoxId
    store_era: int
    emptied: tuple[DomainId, ...]
    settings: SettingsView
    workers: tuple[WorkerView, ...]
    rollouts: tuple[RolloutView, ...]
    budgets: tuple[BudgetView, ...]
    models: tuple[ModelView, ...]
    peers: tuple[PeerView, ...]
    kept_back: tuple[KeptBackView, ...]
    shares: tuple[ShareView, ...] = ()


def fleet_view(
    fleet: Fleet, bounds: RepeatBounds, not_ready: str, now: Millis
) -> FleetView:
    """Return what a box believes now; `not_ready` is empty if it is ready."""
    catalog = fleet.catalog
    return FleetView(
        box=fleet.identity.box,
        domain=fleet.identity.domain,
        incarnation=fleet.identity.incarnation,
        ready=not_ready or "yes",
        catalog=fleet.catalog_version,
        routes=len(catalog.routes) if catalog else 0,
        organisations=len(catalog.orgs) if catalog else 0,
        proof_age_ms=proof_age(fleet, now),
        proof_by=fleet.catalog_proof.source,
        store_failing_ms=_since(fleet.store.failing_since, now),
        list_age_ms=_since(fleet.workers_read_at, now),
        list_reader=find_list_reader(fleet, now),
        store_era=fleet.store.era,
        emptied=tuple(sorted(evacuated_domains(fleet))),
        settings=_settings(fleet.settings, now),
        workers=tuple(
            _worker(fleet, row, now) for _, row in sorted(fleet.workers.rows.items())
        ),
        rollouts=tuple(
            _rollout(fleet, row, now) for row in fleet.rollouts.rows.values()
        ),
        budgets=tuple(
            _budget(fleet, bounds, service, now) for service in sorted(fleet.traffic)
        ),
        models=tuple(
            ModelView(name, row.answers, round(row.confidence, 3))
            for name, row in sorted(fleet.models.items())
        ),
        peers=tuple(_peer(row, now) for row in _peers_in_order(fleet)),
        kept_back=tuple(_kept_back(row, now) for row in quarantined_features(fleet)),
        shares=_shares(fleet, now),
    )


def settings_lines(fleet: Fleet, now: Millis) -> str:
    """Return for the metrics page which settings are in force, one figure a line."""
    row = fleet.settings
    label = f'digest="{row.digest}"'
    return (
        f"spanshunt_settings_in_force_ms{{{label}}} {_since(row.since, now)}\n"
        f"spanshunt_settings_refused {int(bool(row.refused))}\n"
        f"spanshunt_settings_waiting {len(row.waiting)}\n"
    )


def waiting_lines(fleet: Fleet) -> str:
    """Return for the metrics page how many requests wait, and their bytes."""
    return (
        f"spanshunt_waiters {fleet.wait_list.count}\n"
        f"spanshunt_waiting_bytes {fleet.wait_list.bytes}\n"
    )


def worker_speed_lines(fleet: Fleet, now: Millis) -> str:
    """Return for the metrics page the speeds of workers whose speed is known."""
    return "".join(
        f'spanshunt_worker_usual_factor{{worker="{row.name}"}} '
        f"{row.speed.usual_factor:.2f}\n"
        f'spanshunt_worker_slowdown{{worker="{row.name}"}} '
        f"{present_slowdown(row, now):.2f}\n"
        for row in fleet.workers.rows.values()
        if row.speed.answers or row.speed.slowdown_at >= 0
    )


def _since(at: Millis, now: Millis) -> Millis:
    return Millis(now - at if at >= 0 else -1)


def _worker(fleet: Fleet, row: WorkerRow, now: Millis) -> WorkerView:
    return WorkerView(
        worker=row.name,
        service=row.service,
        domain=row.domain,
        versions=tuple(sorted(row.versions)),
        load=round(batch_load(row, now), 2),
        slots=row.slots,
        inflight=row.inflight,
        error_rate=round(row.error_rate, 2),
        waiting_ms=round(row.prefill_ms + others_wait_ms(row, now)),
        out=_why_out(fleet, row, now),
        usual_factor=round(row.speed.usual_factor, 2),
        slowdown=round(present_slowdown(row, now), 2),
    )


def _why_out(fleet: Fleet, row: WorkerRow, now: Millis) -> str:
    """Return why a worker gets no new work here; empty if it may."""
    if row.name in fleet.workers.leaving:
        return "leaving"
    barred = next(
        (
            rollout.version
            for rollout in fleet.rollouts.rows.values()
            if rollout.service == row.service and row.versions & rollout.barred
        ),
        None,
    )
    if barred is not None:
        return f"its version was taken back before {barred}"
    if row.versions and row.versions <= withheld_versions(fleet, row.service, now):
        return "its version may have an order"
    if is_silent(fleet, row.name, now):
        boxes = ", ".join(sorted(fleet.silence_reports[row.name]))
        return f"silent to {boxes}"
    if is_evacuated(fleet, row.domain):
        return f"operators emptied {row.domain}"
    if is_cold(row, now):
        return f"cold for {row.cold_until - now} ms; gets little"
    if row.ejected_until > now:
        return f"failed {row.failures} times; out for {row.ejected_until - now} ms"
    rest_ms = rest_left_ms(row, now)
    if rest_ms:
        return f"asked for rest; gets nothing for {rest_ms} ms"
    limit = row.limit
    if limit is not None and limit.per_s is not None:
        age = now - limit.at
        return f"takes {limit.per_s} a second; {limit.source} heard it {age} ms ago"
    if row.name in fleet.missing_workers:
        return "kept, though its entry lapsed with the store"
    return ""


def _rollout(fleet: Fleet, row: RolloutRow, now: Millis) -> RolloutView:
    routes = pooled_tallies(row).routes
    entering = [tally for key, tally in routes.items() if key.entering]
    return RolloutView(
        service=row.service,
        version=row.version,
        verdict=row.verdict.value,
        reason=row.reason,
        recorded=row.recorded,
        share=round(entering_share(fleet, row, now, in_session=True), 2),
        age_ms=Millis(now - row.began),
        duration_ms=row.duration_ms,
        answers=sum(tally.answers for tally in entering),
        failed=sum(tally.failed for tally in entering),
        slow=sum(tally.slow for tally in entering),
        barred=tuple(sorted(row.barred)),
    )


def _budget(
    fleet: Fleet, bounds: RepeatBounds, service: ServiceId, now: Millis
) -> BudgetView:
    window = retry_budget(fleet, service, now, bounds)
    return BudgetView(
        service=service,
        requests=window.requests,
        repeats=window.repeats,
        allowed=round(window.allowed, 1),
        repeat_price=round(fleet.repeat_prices.get(service, 0.0), 3),
    )


def _kept_back(row: SuspectFeature, now: Millis) -> KeptBackView:
    return KeptBackView(
        fingerprint=row.fingerprint,
        service=row.service,
        ends=tuple(sorted(row.counted_ends())),
        versions=tuple(sorted(row.versions)),
        last_end_ms=_since(row.last_end(), now),
        found_by=row.quarantined_by,
        recorded=row.recorded,
        position=row.position,
    )


def _shares(fleet: Fleet, now: Millis) -> tuple[ShareView, ...]:
    return tuple(
        ShareView(
            service=service,
            org=org,
            room=round(shares.room_per_s, 2),
            share=round(row.share_per_s, 2),
            demand=round(row.demand_per_s, 2),
            pace=round(row.pace_per_s, 2),
            in_force=row.limited,
            demand_age_ms=Millis(now - row.limited_at),
        )
        for service, shares in sorted(fleet.service_shares.items())
        for org, row in sorted(shares.orgs.items())
    )


def _settings(row: SettingsRow, now: Millis) -> SettingsView:
    return SettingsView(
        digest=row.digest,
        in_force_ms=_since(row.since, now),
        refused=row.refused,
        refused_ms=_since(row.refused_since, now),
        waiting=row.waiting,
    )


def _peers_in_order(fleet: Fleet) -> list[PeerRow]:
    """Return all peers by name, those whose settings differ from this box's first."""

    def order(row: PeerRow) -> tuple[bool, BoxId]:
        told = row.settings
        alike = told.digest == fleet.settings.digest
        return alike and not told.refused and not told.waiting, row.box

    return sorted(fleet.peers.values(), key=order)


def _peer(row: PeerRow, now: Millis) -> PeerView:
    return PeerView(
        row.box,
        row.domain,
        _since(row.heard, now),
        row.served,
        row.failures,
        row.catalog_version,
        row.settings.digest,
        _since(row.settings.since, now),
        _settings_file(row.settings),
    )


def _settings_file(told: PeerSettings) -> str:
    """Return what is wrong with a box's newest settings file; empty for nothing."""
    if told.refused:
        return "refused"
    return "waits for the next start" if told.waiting else ""
