"""Items of the news that boxes exchange: one struct for each kind of row.

Structs are encoded as arrays, so the order of their fields is part of the protocol.
Ages are by the sender's clock, at the time of sending.
"""

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Fingerprint
from ..ids import Incarnation
from ..ids import ModelId
from ..ids import OrgId
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..ids import WorkerIncarnation
from ..quantities import Epoch
from ..quantities import Position
from ..quantities import Slots
from ..quantities import SpanMs
from ..quantities import WallMs
from ..quantities import Whole
from ..tables.rollouts import Finding
from ..tables.rollouts import Verdict
from ..tables.suspects import CONTENT_POSITION


class TallyNews(msgspec.Struct, frozen=True, array_like=True):
    """Tally of one version on one route in one epoch, as in `Tally`."""

    route: str
    entering: bool
    epoch: Epoch
    answers: Whole
    failed: Whole
    slow: Whole
    timed: Whole = 0
    loaded: Whole = 0
    loaded_failed: Whole = 0
    errors: Whole = 0


class WorkerTallyNews(msgspec.Struct, frozen=True, array_like=True):
    """Tally of one run of a worker since the order, as in `Tally`."""

    worker: WorkerIncarnation
    entering: bool
    answers: Whole
    failed: Whole
    slow: Whole
    timed: Whole
    loaded: Whole = 0
    loaded_failed: Whole = 0
    errors: Whole = 0


class TallyGroup(msgspec.Struct, frozen=True, array_like=True):
    """Tallies of one run of a box, or their sums over a failure domain.

    Attributes
    ----------
    domain : str
        The failure domain.
    box : str
        The run of the box; empty for the sum over the domain.
    tallies : tuple of TallyNews
        Tallies of the newest epochs and of some older ones, in rotation.
    workers : tuple of WorkerTallyNews
        Tallies by worker.
    """

    domain: DomainId
    box: Incarnation
    tallies: tuple[TallyNews, ...]
    workers: tuple[WorkerTallyNews, ...] = ()


class SuspicionNews(msgspec.Struct, frozen=True, array_like=True):
    """The suspicion against an entering version that the store has recorded."""

    route: str
    finding: Finding
    log_evidence: float
    epoch: Epoch


class RolloutNews(msgspec.Struct, frozen=True, array_like=True):
    """An order and its roll-out as the sender knows them, with the tallies.

    Attributes
    ----------
    service, version, order, duration_ms
        The order.
    age_ms : int
        Time since the roll-out began, in ms.
    verdict : Verdict
        Outcome; ``running`` until there is one.
    reason : str
        Evidence for it.
    recorded : bool
        Whether the verdict is recorded in the platform's store.
    groups : tuple of TallyGroup
        Tallies of the sender's own failure domain, and sums of the others it knows.
    barred : tuple of str
        Versions that were rolled back before this order.
    extra : float
        Share of requests in addition to the bound, as in `RolloutRow.extra`.
    seen : bool
        Whether the age is from a box that saw the order arrive.
    full_from_ms : int
        Postponed age of the order from which all requests move to the version, in ms; 0
        if it was not postponed.
    turned_bad_reason : str
        Evidence that the version turned bad after its success; empty for none.
    announced : bool
        Whether the start of the roll-out is recorded in the platform's store.
    recorded_suspicion : SuspicionNews or None
        The suspicion recorded there.
    """

    service: ServiceId
    version: VersionId
    order: Position
    duration_ms: SpanMs
    age_ms: SpanMs
    verdict: Verdict
    reason: str
    recorded: bool
    groups: tuple[TallyGroup, ...] = ()
    barred: tuple[VersionId, ...] = ()
    extra: float = 0.0
    seen: bool = False
    full_from_ms: SpanMs = 0
    turned_bad_reason: str = ""
    announced: bool = False
    recorded_suspicion: SuspicionNews | None = None


class WorkerNews(msgspec.Struct, frozen=True, array_like=True):
    """A backend server's entry in the workers' list, as the sender knows it.

    ``born`` is when this run of the worker began, in ms since the Unix epoch, 0 if
    unknown; ``cold_ms`` is how much longer it is cold, in ms.
    """

    name: WorkerId
    address: str
    service: ServiceId
    domain: DomainId
    versions: tuple[VersionId, ...]
    slots: Slots
    draining: bool
    born: WallMs = 0
    cold_ms: Whole = 0


class SilenceNews(msgspec.Struct, frozen=True, array_like=True):
    """A report that a worker was silent to a box, ``age_ms`` ago."""

    worker: WorkerId
    box: BoxId
    age_ms: Whole


class SpeedNews(msgspec.Struct, frozen=True, array_like=True):
    """How fast the engines of a service run a model, as the sender estimates it.

    The times are those of `PrefillSpeed` and `DecodeSpeed`, in ms; ``gap_ms`` is 0
    while it is unknown.
    """

    service: ServiceId
    model: ModelId
    read_ms: float
    base_ms: float
    gap_ms: float = 0.0


class PendingPrefillNews(msgspec.Struct, frozen=True, array_like=True):
    """Prefill time of the sender's prompts that wait at an engine, in ms."""

    worker: WorkerId
    prefill_ms: Whole


class RecentPrefillNews(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that the sender sent to an engine, as its shared parts and tokens."""

    worker: WorkerId
    model: ModelId
    shared_parts: tuple[tuple[str, Whole], ...]


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """The newest rate limit of a worker for all boxes, as the sender knows it.

    Attributes
    ----------
    worker, born
        The worker, and when this run of it began, in ms since the Unix epoch.
    per_s : float
        Requests a second; -1 once the worker names no limit any more.
    age_ms : int
        Time since a box received it from the worker, in ms.
    source : str
        The box that received it from the worker.
    """

    worker: WorkerId
    born: WallMs
    per_s: float
    age_ms: Whole
    source: BoxId


class LeavingNews(msgspec.Struct, frozen=True, array_like=True):
    """A worker's own notice that it leaves.

    ``born`` identifies the run of the worker. ``age_ms`` is the time since the box
    ``source`` received the notice.
    """

    worker: WorkerId
    born: WallMs
    age_ms: Whole
    source: BoxId


class SuspectNews(msgspec.Struct, frozen=True, array_like=True):
    """A feature of requests suspected of crashing workers, as the sender knows it.

    Attributes
    ----------
    fingerprint, service, versions
        The feature, its service, and the versions of the workers that ended.
    ends : tuple
        Runs of workers that ended while processing it, and how long ago, in ms.
    cleared_age_ms : int
        Time since a worker last answered it completely and went on running, in ms; -1
        for never.
    quarantined_by : str
        The first box by name that decided to quarantine it; empty for none.
    recorded : bool
        Whether the quarantine is recorded in the platform's store.
    position : int
        Index of a part in its prompt; -1 for a content. Earlier versions send none and
        know contents only.
    requests : int
        The most requests with the feature that these ends broke at one box.
    sent_ages_ms : tuple
        Time since the oldest request with the feature that an end broke was sent to
        its worker, in ms, by run. Earlier versions send none.
    """

    fingerprint: Fingerprint
    service: ServiceId
    versions: tuple[VersionId, ...]
    ends: tuple[tuple[WorkerIncarnation, Whole], ...]
    cleared_age_ms: Whole
    quarantined_by: BoxId
    recorded: bool
    position: Whole = CONTENT_POSITION
    requests: Whole = 0
    sent_ages_ms: tuple[tuple[WorkerIncarnation, Whole], ...] = ()


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """A worker's newest load report that the sender knows.

    Attributes
    ----------
    worker, born
        The worker, and when this run of it began, in ms since the Unix epoch.
    running, waiting, slots : int
        The report.
    slowdown_percent : int
        Time that work takes there now, 100 for the worker's usual; 0 if not reported.
    age_ms : int
        Time since a box received the report from the worker, in ms.
    """

    worker: WorkerId
    born: WallMs
    running: Whole
    waiting: Whole
    slots: Whole
    slowdown_percent: Whole
    age_ms: Whole


class WorkerSpeedNews(msgspec.Struct, frozen=True, array_like=True):
    """How fast a run of a worker usually is, as in `WorkerSpeed`."""

    worker: WorkerId
    born: WallMs
    usual_factor: float
    answers: Whole


class DemandNews(msgspec.Struct, frozen=True, array_like=True):
    """Mean demand of an organisation for a service over all boxes, as in `OrgDemand`.

    The answer to a call names the organisations that the call named, with their mean
    after the call was taken in.
    """

    service: ServiceId
    org: OrgId
    per_s: float


class ArrivalNews(msgspec.Struct, frozen=True, array_like=True):
    """Mean requests a second for a service over all boxes, as in `DemandNews`."""

    service: ServiceId
    per_s: float


class BusyBoxNews(msgspec.Struct, frozen=True, array_like=True):
    """Requests a second for a service at a busy box, as it stated them."""

    service: ServiceId
    box: BoxId
    per_s: float
    age_ms: Whole


class EvacuationNews(msgspec.Struct, frozen=True, array_like=True):
    """An operator's newest order whether a failure domain is evacuated."""

    domain: DomainId
    order: Position
    active: bool


class PeerNews(msgspec.Struct, frozen=True, array_like=True):
    """A box, the address of its peer protocol, and its failure domain."""

    box: BoxId
    address: str
    domain: DomainId
