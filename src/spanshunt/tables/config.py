"""The configuration in force: rows that only the fold of the log changes."""

import enum
import typing as t

import msgspec

from ..ids import ClassId
from ..ids import Micros
from ..ids import Millis
from ..ids import ModelId
from ..ids import ObjectKey
from ..ids import Offset
from ..ids import OrgId
from ..ids import PlanId
from ..ids import RolloutId
from ..ids import ServiceId
from ..ids import VersionId

Share = t.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
"""A part of a whole, from 0 to 1."""

Name = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]*$", max_length=100)]
"""A name: lower case letters, digits, dot, dash and underscore."""

VersionName = t.Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9._-]*@[a-z0-9][a-z0-9._-]*$", max_length=200
    ),
]
"""A version's name, ``model@version``."""


class ServiceKind(enum.Enum):
    """What answers a service's requests."""

    MODEL = "model"
    PLAIN = "plain"


class VersionState(enum.Enum):
    """Where a version is in its life."""

    DECLARED = "declared"
    ENTERING = "entering"
    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


class RolloutState(enum.Enum):
    """Where a roll-out is in its life."""

    RUNNING = "running"
    DONE = "done"
    PULLED_BACK = "pulled_back"


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request class of a model service.

    Attributes
    ----------
    name : str
        The class.
    target : float
        The share of answers that must be good, from 0 to 1.
    escalate : bool
        Whether an answer may be held back whole and asked again of a dearer version.
    """

    name: Name
    target: Share = 0.8
    escalate: bool = False


class ServiceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service.

    Attributes
    ----------
    name : str
        The service.
    kind : ServiceKind
        What answers it.
    classes : tuple of RequestClass
        Request classes of a model service; the first one is the default.
    repeatable : tuple of str
        HTTP methods of a plain service whose calls may be sent twice.
    call_price : int
        Price of one call of a plain service, in millionths of the currency.
    """

    name: Name
    kind: ServiceKind
    classes: tuple[RequestClass, ...] = (RequestClass("default"),)
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    call_price: Micros = Micros(0)

    def request_class(self, name: ClassId) -> RequestClass | None:
        """Return the class called `name`, the default one for an empty name."""
        if not name and self.classes:
            return self.classes[0]
        return next((row for row in self.classes if row.name == name), None)


class VersionRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A version of a model.

    Attributes
    ----------
    name : str
        ``model@version``.
    service : str
        The service that it can answer.
    prompt_price, output_price : int
        Price of 1,000 tokens read and generated, in millionths of the currency.
    state : VersionState
        Where it is in its life.
    since : int
        The offset at which it became active, -1 before; of two active versions of one
        model the later one takes the new work.
    """

    name: VersionName
    service: Name
    prompt_price: Micros
    output_price: Micros
    state: VersionState = VersionState.DECLARED
    since: Offset = Offset(-1)

    @property
    def model(self) -> ModelId:
        """The part of the name before the ``@``."""
        return ModelId(self.name.partition("@")[0])


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What an organisation may use in all, over all boxes.

    Attributes
    ----------
    rate : float
        Requests a second.
    burst : float
        Requests at once above the rate.
    concurrency : int
        Requests under way at once.
    budget : int or None
        Money a day, in millionths of the currency; None is no bound.
    weight : float
        Its share when the service is short of capacity, against the others'.
    """

    rate: t.Annotated[float, msgspec.Meta(gt=0)] = 100.0
    burst: t.Annotated[float, msgspec.Meta(ge=1)] = 200.0
    concurrency: t.Annotated[int, msgspec.Meta(ge=1)] = 200
    budget: t.Annotated[int, msgspec.Meta(ge=0)] | None = None
    weight: t.Annotated[float, msgspec.Meta(gt=0)] = 1.0


class OrgRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An organisation.

    Attributes
    ----------
    name : str
        The organisation.
    credentials : tuple of str
        SHA-256 hashes of its credentials.
    allowed : tuple of str
        What it may use: services, models or versions (``model@version``). A model
        service needs both the service or a model or version of it.
    limits : Limits
        What it may use in all.
    targets : dict
        Its own quality targets by ``service/class``, over the service's.
    """

    name: Name
    credentials: tuple[str, ...] = ()
    allowed: tuple[str, ...] = ()
    limits: Limits = Limits()
    targets: dict[str, Share] = {}

    def allows_version(self, version: VersionRow) -> bool:
        """Tell whether requests may run on `version`."""
        return version.name in self.allowed or version.model in self.allowed

    def allows_service(self, service: ServiceId) -> bool:
        """Tell whether requests may go to the plain service `service`."""
        return service in self.allowed


class GuardRails(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a roll-out does by itself once it is confirmed.

    Attributes
    ----------
    stages : tuple of float
        Shares of new work, rising; the last one is 1.
    stage_ms : int
        The least time in a stage.
    stage_ratings : int
        The least number of ratings of the new version in a stage.
    good_floor : float
        Pull back once the share of good answers is shown to be under this.
    class_floors : dict
        Floors by request class, where one differs from ``good_floor``.
    error_ceiling : float
        Pull back once the share of failed requests is shown to be over this.
    slow_ceiling : float
        Pull back once the share of slow first tokens is shown to be over this.
    slow_ms : int
        A first token later than this is slow.
    alpha : float
        The chance that a sound version is pulled back, over the whole roll-out.
    """

    stages: tuple[Share, ...] = (0.01, 0.05, 0.25, 1.0)
    stage_ms: t.Annotated[int, msgspec.Meta(ge=0)] = 60_000
    stage_ratings: t.Annotated[int, msgspec.Meta(ge=0)] = 30
    good_floor: Share = 0.7
    class_floors: dict[str, Share] = {}
    error_ceiling: Share = 0.05
    slow_ceiling: Share = 0.2
    slow_ms: t.Annotated[int, msgspec.Meta(ge=1)] = 2_000
    alpha: t.Annotated[float, msgspec.Meta(gt=0, lt=1)] = 0.005


class RolloutRow(msgspec.Struct, frozen=True):
    """A roll-out of one version.

    Attributes
    ----------
    name : str
        Its id.
    version : str
        The version that enters.
    guards : GuardRails
        What it does by itself.
    stage : int
        Index into the stages.
    stage_since : int
        The wall clock at which the stage began, in ms, from the log's record.
    state : RolloutState
        Where it is in its life.
    reason : str
        Why it ended.
    """

    name: RolloutId
    version: VersionId
    guards: GuardRails
    stage: int
    stage_since: Millis
    state: RolloutState = RolloutState.RUNNING
    reason: str = ""

    @property
    def share(self) -> float:
        """The share of new work that the version may take."""
        if self.state is RolloutState.PULLED_BACK:
            return 0.0
        if self.state is RolloutState.DONE:
            return 1.0
        return self.guards.stages[self.stage]


class LeaseRow(msgspec.Struct, frozen=True):
    """A duty that one box holds at a time.

    Attributes
    ----------
    duty : str
        The duty.
    holder : str
        The incarnation that holds it.
    token : int
        The offset of the record that gave it: the fencing token.
    until : int
        The end by the log's own clock, in ms.
    """

    duty: str
    holder: str
    token: Offset
    until: Millis


class HistoryRow(msgspec.Struct, frozen=True):
    """One confirmed plan or automatic step, for the operators' audit trail."""

    offset: Offset
    at: Millis
    actor: str
    summary: str
    accepted: bool


class Config(msgspec.Struct):
    """All of the configuration, as folded up to ``next_offset`` - 1.

    The fold replaces rows and never changes one in place, so a reader may keep a row
    across an ``await`` and must look it up again before it acts on it.
    """

    next_offset: Offset = Offset(0)
    services: dict[ServiceId, ServiceRow] = {}
    versions: dict[VersionId, VersionRow] = {}
    orgs: dict[OrgId, OrgRow] = {}
    rollouts: dict[RolloutId, RolloutRow] = {}
    leases: dict[str, LeaseRow] = {}
    revisions: dict[ObjectKey, Offset] = {}
    outcomes: dict[PlanId, Offset] = {}
    conflicts: dict[PlanId, tuple[ObjectKey, ...]] = {}
    history: list[HistoryRow] = []

    def revision(self, key: ObjectKey) -> Offset:
        """Return the offset that last changed `key`, -1 if it was never there."""
        return self.revisions.get(key, Offset(-1))

    def versions_of(self, service: ServiceId) -> list[VersionRow]:
        """Return the versions that can answer `service`, cheapest first."""
        rows = [row for row in self.versions.values() if row.service == service]
        return sorted(rows, key=lambda row: (row.output_price, row.name))

    def rollout_of(self, version: VersionId) -> RolloutRow | None:
        """Return the newest roll-out of `version`."""
        rows = [row for row in self.rollouts.values() if row.version == version]
        return max(rows, key=lambda row: row.stage_since, default=None)
