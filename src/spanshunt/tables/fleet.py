"""All tables of a box that routes requests by the platform's catalog.

The process in ``spanshunt.platform.node`` holds a `Fleet`; ``spanshuntd``, the process
in ``spanshunt.daemon``, holds a :class:`~spanshunt.tables.state.State` instead. No
process has both. The two share only some rows, such as those of workers.

All records come from the platform's store. The operators' stream, also called the
operators' records, holds what operators declare and order; the workers' stream holds
the entries of backend servers, and the newest entry of each is the workers' list.
"""

import collections

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Fingerprint
from ..ids import Incarnation
from ..ids import Millis
from ..ids import ModelId
from ..ids import Offset
from ..ids import OrgId
from ..ids import RegionId
from ..ids import ServiceId
from ..ids import WorkerId
from .catalog import Catalog
from .engines import DecodeSpeed
from .engines import PrefillSpeed
from .engines import RecentPrefill
from .holdings import BoxLimits
from .holdings import ByteAccount
from .identity import Identity
from .overload import Overload
from .partition import Partition
from .rates import BusyBox
from .rates import MeanRate
from .rollouts import Rollouts
from .settings_state import PeerSettings
from .settings_state import SettingsRow
from .suspects import BrokenConnection
from .suspects import SuspectFeature
from .waiting import OrgDemand
from .waiting import ServiceShares
from .waiting import WaitList
from .waiting import WorkTime
from .workers import Workers


class PeerRow(msgspec.Struct):
    """A peer: another box that this one exchanges state with.

    Attributes
    ----------
    box, address, domain : str
        Name of the peer, address of its peer protocol, and its failure domain.
    incarnation : str
        The run of the peer's daemon at its last message.
    heard : int
        When the peer last answered this box or called it, in ms; -1 for never.
    asked : int
        When this box last called the peer, in ms.
    failures : int
        Failed calls to the peer since it last answered.
    served : bool
        Whether the store serves the peer, as the peer reports.
    catalog_version : int
        The newest catalog version that the peer reports; -1 for none.
    clock_ahead : int or None
        Upper bound of how far the peer's clock is ahead of this box's, in ms, from its
        last answer.
    settings : PeerSettings
        Settings in force at the peer, as the peer reports them.
    followers : tuple of str
        The boxes of the failure domain that read the operators' records from the store
        themselves; the others learn of new records from their peers. A box reports them
        if it finds itself first by name among the recently heard boxes of its failure
        domain, and reports none otherwise. Boxes that the store does not serve are left
        out, unless it does not serve that box either. Each box judges by its own view,
        so boxes mostly agree, but need not.
    gateway_room : int
        How many more requests the peer would send to workers for others, as it reports;
        0 for none.
    gateway_sends : int
        Requests that this box sends through the peer now.
    gateway_failed_at : int
        When the peer last failed to send for this box, in ms; -1 for never.
    """

    box: BoxId
    address: str
    domain: DomainId = DomainId("")
    incarnation: Incarnation = Incarnation("")
    heard: Millis = Millis(-1)
    asked: Millis = Millis(-1)
    failures: int = 0
    served: bool = True
    catalog_version: int = -1
    clock_ahead: int | None = None
    settings: PeerSettings = PeerSettings()
    followers: tuple[BoxId, ...] = ()
    gateway_room: int = 0
    gateway_sends: int = 0
    gateway_failed_at: Millis = Millis(-1)


class TrafficSecond(msgspec.Struct):
    """Requests, and attempts of this box beyond the first, in one second.

    Attributes
    ----------
    number : int
        Number of the second on this box's clock.
    requests : int
        Requests that this box sent for the first time.
    repeats : int
        Further attempts that may have reached a worker: retries after failures and
        second answers from a larger model, which share one retry budget. A request that
        the caller sends again is a new request.
    """

    number: int
    requests: int = 0
    repeats: int = 0


class Traffic(msgspec.Struct):
    """Requests and repeats of one service in recent seconds, oldest first."""

    seconds: collections.deque[TrafficSecond] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=32)
    )


class ModelStats(msgspec.Struct):
    """Quality of a model's answers, as this box observed it.

    Attributes
    ----------
    confidence : float
        Moving mean of the probability, in 0 to 1, that an answer is good. Each answer's
        reported confidence is mapped to that probability first. The caller that
        creates this row passes a prior of 0.9.
    answers : int
        Number of answers in the mean.
    """

    confidence: float = 0.5
    answers: int = 0


class FirstByteTimes(msgspec.Struct):
    """Usual time to the first byte of a route's answers, with one model.

    It is measured from the sending of an attempt to the head of its answer. The same
    measurement also feeds the time to an engine's first event in `PrefillSpeed`.

    Attributes
    ----------
    first_ms : float
        Moving mean of that time, in ms.
    read : float
        Moving mean of the prompt length, in tokens; longer prompts are allowed a
        proportionally longer time.
    answers : int
        Number of answers in the means.
    median_ms : float
        Median of the times of plain workers that had room, without the slowdown that
        they reported, in ms; 0 if unknown.
    """

    first_ms: float = 0.0
    read: float = 0.0
    answers: int = 1
    median_ms: float = 0.0


class EvacuationRow(msgspec.Struct, frozen=True):
    """An operator's order whether the workers of a failure domain get requests.

    Attributes
    ----------
    domain : str
        The failure domain.
    order : int
        Offset of the order in the operators' stream; an order with a greater offset
        replaces this one.
    active : bool
        Whether the domain is being evacuated; False once the order was revoked.
    """

    domain: DomainId
    order: Offset
    active: bool


class DomainOutage(msgspec.Struct):
    """Workers of a failure domain that became unreachable, and when, in ms.

    Any answer from the domain empties the table.
    """

    unreached: dict[WorkerId, Millis] = {}


class ColdBounds(msgspec.Struct, frozen=True):
    """Bounds of the requests that a cold worker may get from all boxes together.

    The bound is ``rate_factor`` times the rate that the catalog declares for a cold
    worker, plus ``slack``.

    Attributes
    ----------
    rate_factor : float
        Allowed multiple of that rate (``cold_per_s`` of the service).
    slack : float
        Requests a second allowed in addition.
    """

    rate_factor: float = 1.0
    slack: float = 0.0


class StoreHealth(msgspec.Struct):
    """Health of the platform's store, as this box sees it.

    Attributes
    ----------
    failing_since : int
        Since when calls to the store fail, in ms; -1 while they succeed.
    failed_at : int
        When the last call failed, in ms; -1 for never.
    era : int
        How often the store was restored from a copy, by its own count; -1 if unknown.
        The store gives out its own offsets again after a restore. An `Offset` of this
        program contains the era, so that one of a later era is always greater.
    era_began : int
        When this box learned of the last restore, in ms; -1 for none.
    """

    failing_since: Millis = Millis(-1)
    failed_at: Millis = Millis(-1)
    era: int = -1
    era_began: Millis = Millis(-1)


class CatalogProof(msgspec.Struct, frozen=True):
    """Proof that the known catalog was the newest at some time.

    ``spanshuntd`` has another measure for the same purpose, ``State.fresh_at``.

    Attributes
    ----------
    at : int
        The time that the proof is for, in ms; -1 for never.
    end : int
        End of the operators' stream at that time; -1 for unknown.
    source : str
        The box that read the stream from the store; empty for none.
    """

    at: Millis = Millis(-1)
    end: Offset = Offset(-1)
    source: BoxId = BoxId("")


class ListReadStreak(msgspec.Struct):
    """Time span in which boxes read the workers' list without a gap.

    Two reads more than 1.5 s apart leave a gap. Workers' entries may have expired while
    no box could read the list, so a worker that is absent soon after a gap is kept for
    a grace period.

    Attributes
    ----------
    since, last : int
        Times of the first and of the newest read, in ms; -1 for none.
    """

    since: Millis = Millis(-1)
    last: Millis = Millis(-1)


class Fleet(msgspec.Struct):
    """All tables of a box that routes by the platform's catalog.

    It is the counterpart of :class:`~spanshunt.tables.state.State`; see the module's
    text.

    Attributes
    ----------
    identity : Identity
        Identity of this box.
    settings : SettingsRow
        Settings in force at this box.
    catalog : Catalog or None
        The newest known catalog; an older one never replaces it.
    catalog_packed : bytes
        The catalog in its received, packed form, for sending to peers.
    catalog_proof : CatalogProof
        Proof that the catalog is the newest.
    preceding_box_proof_at : int
        Time of the newest catalog proof made by a box whose name sorts before this
        box's name, in ms; -1 for never. The first box by name renews the proof for all,
        so this box leaves that to others while this time is recent.
    long_poll_since : int
        Start of this box's pending long poll for operators' records, in ms; -1 for
        none.
    workers : Workers
        Backend servers.
    workers_end : int
        End of the workers' stream at the newest list applied.
    workers_read_at : int
        When that list was read from the store, by this box or by the peer that sent
        it, in ms; -1 for never.
    list_read_streak : ListReadStreak
        Time span without a gap between reads of the list by any known box.
    missing_workers : set
        Workers that are absent from the list just after a restore of the store; their
        entries may return.
    silence_reports : dict
        When a box found a worker silent, in ms, by worker and reporting box.
    broken_connections : dict
        Connections that recently broke during a request, by worker.
    suspects : dict
        Contents and prompt parts suspected of crashing workers.
    quarantine_known : bool
        Whether this box has read the quarantined features recorded in the store.
    last_completed : dict
        When this box last had an answer that clears a feature, in ms, oldest first.
    peers : dict
        Other boxes by name.
    reported_box_count : int
        The greatest number of boxes that any peer reports, including that peer.
    discovery_until : int
        Until when this box assumes that undiscovered peers exist, in ms.
    cold_bounds : ColdBounds
        Bounds of the requests that a worker may get while it is cold.
    evacuations : dict
        The operators' newest order for each failure domain.
    outages : dict
        Failure domains with workers that were recently unreachable.
    partition : Partition
        Whether this box reaches workers by its own connections.
    gateway_bytes : int
        Bytes taken by requests that this box sends to workers for peers.
    gateway_sends : int
        Number of these requests.
    regions : dict
        Region of each failure domain, from the settings.
    rollouts : Rollouts
        Roll-outs that operators ordered, and their evidence.
    traffic : dict
        Numbers of requests and repeats by service.
    models : dict
        Statistics by model.
    repeat_prices : dict
        Shadow price of asking a larger model for a second answer, by service, in the
        catalog's price unit; above 0 while the retry budget denies such second answers.
    first_byte_times : dict
        Usual times to the first byte by route name and model ("" where it has none).
    prefill_speeds : dict
        Prefill speed of engines, by service and model.
    decode_speeds : dict
        Token generation speed of engines, by service and model.
    unseen_cache_rates : dict
        How often an engine had a prompt cached of which this box did not know, by
        service and model, in 0 to 1.
    recent_prefills : deque of RecentPrefill
        The newest prompts that this box sent to engines not known to have them cached.
    lateness : dict
        Moving mean of the lateness of answers, by service. The lateness of one answer
        is 0 if its first event comes early against the route's target latency, 1 from
        the target on, and rises linearly between.
    gain_per_engine_ms : dict
        Usual value that the largest model's answer adds to the smallest one's, for each
        ms of estimated time to its first event without waiting, by service, in the
        catalog's price unit. The value added is the worth of a good answer times the
        rise of the likelihood of one, for which a minimum is assumed.
    wait_list : WaitList
        Requests that wait at this box for room at a worker.
    work_times : dict
        Usual times of work without a queue, by route name, for plain requests.
    arrivals : dict
        Requests a second for each service, at this box and on average.
    busy_boxes : dict
        Boxes at which far more of these arrive than on average, by service.
    org_demands : dict
        Demand by service and organisation, averaged over all boxes.
    service_shares : dict
        Shares of services that were recently short of room.
    short_services : frozenset of str
        Services with waiting requests, or whose demand nearly fills their room, as of
        the last time that shares were computed.
    returns_spread : int
        Number of refused callers whose return this box spread over a span, without
        those that got a place of their own.
    byte_account : ByteAccount
        Bytes that this box holds for requests in progress.
    overload : Overload
        How far this box's processor is behind, and the limit that follows.
    limits : BoxLimits
        Resources of this box, from the settings.
    store : StoreHealth
        Health of the platform's store.
    wake_hold_until : int
        Until when requests are held after the box resumed from sleep, unless a peer
        or the store is heard first, in ms.
    stopping : bool
        Whether a planned stop is in progress.
    waits_end : int
        When a stopping box refuses the requests that still wait, in ms.
    """

    identity: Identity
    settings: SettingsRow = msgspec.field(default_factory=SettingsRow)
    catalog: Catalog | None = None
    catalog_packed: bytes = b""
    catalog_proof: CatalogProof = CatalogProof()
    preceding_box_proof_at: Millis = Millis(-1)
    long_poll_since: Millis = Millis(-1)
    workers: Workers = msgspec.field(default_factory=Workers)
    workers_end: Offset = Offset(-1)
    workers_read_at: Millis = Millis(-1)
    list_read_streak: ListReadStreak = msgspec.field(default_factory=ListReadStreak)
    missing_workers: set[WorkerId] = set()
    silence_reports: dict[WorkerId, dict[BoxId, Millis]] = {}
    broken_connections: dict[WorkerId, list[BrokenConnection]] = {}
    suspects: dict[Fingerprint, SuspectFeature] = {}
    quarantine_known: bool = False
    last_completed: dict[Fingerprint, Millis] = {}
    peers: dict[BoxId, PeerRow] = {}
    reported_box_count: int = 0
    discovery_until: Millis = Millis(0)
    cold_bounds: ColdBounds = ColdBounds()
    evacuations: dict[DomainId, EvacuationRow] = {}
    outages: dict[DomainId, DomainOutage] = {}
    partition: Partition = msgspec.field(default_factory=Partition)
    gateway_bytes: int = 0
    gateway_sends: int = 0
    regions: dict[DomainId, RegionId] = {}
    rollouts: Rollouts = msgspec.field(default_factory=Rollouts)
    traffic: dict[ServiceId, Traffic] = {}
    models: dict[ModelId, ModelStats] = {}
    repeat_prices: dict[ServiceId, float] = {}
    first_byte_times: dict[tuple[str, ModelId], FirstByteTimes] = {}
    prefill_speeds: dict[tuple[ServiceId, ModelId], PrefillSpeed] = {}
    decode_speeds: dict[tuple[ServiceId, ModelId], DecodeSpeed] = {}
    unseen_cache_rates: dict[tuple[ServiceId, ModelId], float] = {}
    recent_prefills: collections.deque[RecentPrefill] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=16)
    )
    lateness: dict[ServiceId, float] = {}
    gain_per_engine_ms: dict[ServiceId, float] = {}
    wait_list: WaitList = msgspec.field(default_factory=WaitList)
    work_times: dict[str, WorkTime] = {}
    arrivals: dict[ServiceId, MeanRate] = {}
    busy_boxes: dict[ServiceId, dict[BoxId, BusyBox]] = {}
    org_demands: dict[tuple[ServiceId, OrgId], OrgDemand] = {}
    service_shares: dict[ServiceId, ServiceShares] = {}
    short_services: frozenset[ServiceId] = frozenset()
    returns_spread: int = 0
    byte_account: ByteAccount = msgspec.field(default_factory=ByteAccount)
    overload: Overload = msgspec.field(default_factory=Overload)
    limits: BoxLimits = BoxLimits()
    store: StoreHealth = msgspec.field(default_factory=StoreHealth)
    wake_hold_until: Millis = Millis(0)
    stopping: bool = False
    waits_end: Millis = Millis(0)

    @property
    def catalog_version(self) -> int:
        """Version of the catalog that this box knows; -1 for none."""
        return self.catalog.version if self.catalog is not None else -1
