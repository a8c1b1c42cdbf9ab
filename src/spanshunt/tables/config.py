"""The configuration of ``spanshuntd``; only folding the log changes its rows.

The catalog of a box that runs ``spanshunt.platform.node`` is in ``catalog.py``. Both
modules have a ``ServiceRow`` and an ``OrgRow``; no process uses both, and ids such as
`ServiceId` name the rows of its own process.
"""

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
"""A fraction from 0 to 1."""

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
    """Kind of backend that answers a service's requests."""

    MODEL = "model"
    PLAIN = "plain"


class VersionState(enum.Enum):
    """Lifecycle state of a version.

    A version is withdrawn by an operator or because its roll-out is pulled back.
    """

    DECLARED = "declared"
    ENTERING = "entering"
    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


class RolloutState(enum.Enum):
    """Lifecycle state of a roll-out.

    A roll-out that is pulled back has ended, and its version is withdrawn.
    """

    RUNNING = "running"
    DONE = "done"
    PULLED_BACK = "pulled_back"


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request class of a model service.

    Attributes
    ----------
    name : str
        Name of the class.
    target : float
        Required share of good answers, from 0 to 1.
    escalate : bool
        Whether a complete answer may be withheld and requested again from a more
        expensive version.
    """

    name: Name
    target: Share = 0.8
    escalate: bool = False


class ServiceRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service of the configuration.

    The catalog's row is :class:`~spanshunt.tables.catalog.ServiceRow`.

    Attributes
    ----------
    name : str
        Name of the service.
    kind : ServiceKind
        Kind of backend that answers its requests.
    classes : tuple of RequestClass
        Request classes of a model service; the first one is the default.
    repeatable : tuple of str
        HTTP methods of a plain service whose calls may be sent more than once.
    call_price : int
        Price of one call of a plain service, in millionths of the currency.
    """

    name: Name
    kind: ServiceKind
    classes: tuple[RequestClass, ...] = (RequestClass("default"),)
    repeatable: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    call_price: Micros = Micros(0)

    def request_class(self, name: ClassId) -> RequestClass | None:
        """Return the class called `name`, or the default class for an empty name."""
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
        The service whose requests it can answer.
    prompt_price, output_price : int
        Price of 1,000 prompt tokens and of 1,000 generated tokens, in millionths of the
        currency.
    state : VersionState
        Lifecycle state.
    since : int
        Log offset at which it became active; -1 before. Of two active versions of one
        model, the one activated later gets the new requests.
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
    """Limits of an organisation, summed over all boxes.

    Attributes
    ----------
    rate : float
        Requests a second.
    burst : float
        Requests that may arrive at once above the rate.
    concurrency : int
        Concurrent requests.
    budget : int or None
        Spending limit a day, in millionths of the currency; None for no limit.
    weight : float
        Relative weight against other organisations when a service is short of capacity.
    """

    rate: t.Annotated[float, msgspec.Meta(gt=0)] = 100.0
    burst: t.Annotated[float, msgspec.Meta(ge=1)] = 200.0
    concurrency: t.Annotated[int, msgspec.Meta(ge=1)] = 200
    budget: t.Annotated[int, msgspec.Meta(ge=0)] | None = None
    weight: t.Annotated[float, msgspec.Meta(gt=0)] = 1.0


class OrgRow(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An organisation of the configuration.

    The catalog's row is :class:`~spanshunt.tables.catalog.OrgRow`.

    Attributes
    ----------
    name : str
        Name of the organisation.
    credentials : tuple of str
        SHA-256 hashes of its credentials.
    allowed : tuple of str
        Services, models or versions (``model@version``) that it may use. For a model
        service, a model or a version of it must be listed.
    limits : Limits
        Limits over all boxes.
    targets : dict
        Quality targets by ``service/class``; they override those of the service.
    """

    name: Name
    credentials: tuple[str, ...] = ()
    allowed: tuple[str, ...] = ()
    limits: Limits = Limits()
    targets: dict[str, Share] = {}

    def allows_version(self, version: VersionRow) -> bool:
        """Return whether requests of this organisation may run on `version`."""
        return version.name in self.allowed or version.model in self.allowed

    def allows_service(self, service: ServiceId) -> bool:
        """Return whether requests may go to the plain service `service`."""
        return service in self.allowed


class GuardRails(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits within which a confirmed roll-out proceeds automatically.

    Attributes
    ----------
    stages : tuple of float
        Increasing shares of new requests; the last share is 1.
    stage_ms : int
        Minimum time in a stage, in ms.
    stage_ratings : int
        Minimum number of ratings of the new version in a stage.
    good_floor : float
        The roll-out is pulled back once the share of good answers is significantly
        below this.
    class_floors : dict
        Floors by request class, where one differs from ``good_floor``.
    error_ceiling : float
        The roll-out is pulled back once the share of failed requests is significantly
        above this.
    slow_ceiling : float
        The roll-out is pulled back once the share of slow first tokens is significantly
        above this.
    slow_ms : int
        A first token that takes longer than this counts as slow, in ms.
    alpha : float
        Probability that a good version is pulled back, over the whole roll-out.
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
    """A roll-out of one version, started by a confirmed plan.

    Boxes with a catalog have another row,
    :class:`~spanshunt.tables.rollouts.RolloutRow`.

    Attributes
    ----------
    name : str
        Id of the roll-out.
    version : str
        The version that enters service.
    guards : GuardRails
        Limits within which it proceeds automatically.
    stage : int
        Index into the stages.
    stage_since : int
        Wall-clock time at which the stage began, in ms, taken from the log record.
    state : RolloutState
        Lifecycle state.
    reason : str
        Why the roll-out ended.
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
        """The share of new requests that the version may take."""
        if self.state is RolloutState.PULLED_BACK:
            return 0.0
        if self.state is RolloutState.DONE:
            return 1.0
        return self.guards.stages[self.stage]


class LeaseRow(msgspec.Struct, frozen=True):
    """The lease of a duty that one box holds at a time.

    Every box folds leases, but none requests one: roll-out steps and snapshots may be
    made twice without harm.

    Attributes
    ----------
    duty : str
        Name of the duty; any text.
    holder : str
        The incarnation that holds the lease.
    token : int
        Fencing token: the offset of the record that granted the lease.
    until : int
        Expiry of the lease by the log's own clock, in ms.
    """

    duty: str
    holder: str
    token: Offset
    until: Millis


class HistoryRow(msgspec.Struct, frozen=True):
    """A confirmed plan or an automatic step, as an entry of the audit trail."""

    offset: Offset
    at: Millis
    actor: str
    summary: str
    accepted: bool


class Config(msgspec.Struct):
    """The whole configuration, folded up to ``next_offset`` - 1.

    Folding replaces rows and never changes a row in place. A reader may therefore keep
    a row across an ``await``, and must look it up again before acting on it.

    Attributes
    ----------
    next_offset : int
        Offset of the first configuration record that is not folded yet.
    services, versions, orgs, rollouts : dict
        Rows by name.
    leases : dict
        Leases by duty.
    revisions : dict
        Offset of the last change by object.
    outcomes : dict
        Offset of the record that confirmed a plan, by plan, whether it was accepted or
        rejected. A second confirmation of the same plan has no effect; old plans are
        forgotten.
    conflicts : dict
        For each rejected plan, the objects that changed after the plan was made.
    history : list
        The newest entries of the audit trail, oldest first.
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
        """Return the offset of the last change to `key`, or -1 for an unknown key."""
        return self.revisions.get(key, Offset(-1))

    def versions_of(self, service: ServiceId) -> list[VersionRow]:
        """Return the versions that can answer `service`, the cheapest first."""
        rows = [row for row in self.versions.values() if row.service == service]
        return sorted(rows, key=lambda row: (row.output_price, row.name))

    def rollout_of(self, version: VersionId) -> RolloutRow | None:
        """Return the newest roll-out of `version`."""
        rows = [row for row in self.rollouts.values() if row.version == version]
        return max(rows, key=lambda row: row.stage_since, default=None)
