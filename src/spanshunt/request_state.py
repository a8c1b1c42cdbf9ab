"""What one request went through so far, and what it shares with all others."""

import enum
import random
import typing as t

import msgspec
from multidict import CIMultiDict

from .clock import Clock
from .histograms import Histograms
from .ids import ClassId
from .ids import Millis
from .ids import ModelId
from .ids import OrgId
from .ids import ServiceId
from .ids import VersionId
from .ids import WorkerId
from .ports import Call
from .ports import Send
from .systems.admitting import Admitted
from .systems.cascading import ModelPlan
from .systems.repeats import RepeatBounds
from .tables.fleet import Fleet
from .tables.workers import WorkerRow


class Ending(enum.Enum):
    """How one attempt ended.

    ``DELIVERED``: the caller has the whole answer. ``BETTER``: dropped, a larger model
    is to be asked. ``NOT_RUN``: the worker certainly did not run it. ``FAILED``: it may
    have run, and the caller has nothing of this attempt. ``CUT``: a stream broke off
    after events of it went to the caller.
    """

    DELIVERED = "delivered"
    BETTER = "better"
    NOT_RUN = "not_run"
    FAILED = "failed"
    CUT = "cut"


class WorkerFailure(msgspec.Struct, frozen=True):
    """A worker's own failure, whole, kept to be given if nothing better comes."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class Attempt(msgspec.Struct):
    """One send to a worker, as decided.

    Attributes
    ----------
    worker : WorkerRow
        Where to.
    service : str
        The service that it answers for.
    model : str
        The model named; empty for plain requests.
    load : float
        The worker's estimated load, in parts of its batch.
    report_age_ms : int
        Age of the report that the estimate rests on; -1 for none.
    candidates : int
        Workers that the choice was among.
    sent : int
        When it was sent, in ms.
    slow : bool
        Whether its first byte came several times later than usual.
    """

    worker: WorkerRow
    service: ServiceId
    model: ModelId
    load: float
    report_age_ms: int
    candidates: int
    sent: Millis = Millis(0)
    slow: bool = False


class RequestState(msgspec.Struct):
    """A request under way.

    Attributes
    ----------
    call, admitted
        The request, its route and its organisation.
    limit : int
        When it gets its final answer at the latest, in ms: the caller's deadline or the
        route's time.
    service : str
        The service that answers; drawn once.
    model_plan : ModelPlan or None
        The models planned, where the choice is the system's.
    raised : bool
        Whether the larger model is to be asked.
    tried : set
        Workers that had it.
    failed_versions : set
        Versions that failed it.
    broken : bool
        Whether an attempt brought no whole answer.
    sends : int
        Attempts that may have reached a worker.
    runs : int
        Attempts that may have run.
    version : str
        The version that runs it; empty until one does.
    last_event : int or None
        The last whole event that the caller has.
    failure : WorkerFailure or None
        What to give if nothing better comes.
    attempts : list of str
        What became of each attempt, for the log.
    """

    call: Call
    admitted: Admitted
    limit: Millis
    service: ServiceId = ServiceId("")
    model_plan: ModelPlan | None = None
    raised: bool = False
    tried: set[WorkerId] = set()
    failed_versions: set[VersionId] = set()
    broken: bool = False
    sends: int = 0
    runs: int = 0
    version: VersionId = VersionId("")
    last_event: int | None = None
    failure: WorkerFailure | None = None
    attempts: list[str] = []

    @property
    def org(self) -> OrgId:
        """Whose request it is; empty for nobody's."""
        return self.admitted.org.name if self.admitted.org else OrgId("")

    @property
    def request_class(self) -> ClassId:
        """What it is counted under: the route's name."""
        return ClassId(self.admitted.route.name)


Counter = t.Callable[[str], None]
"""Adds one to the counter of that name."""


class Core(msgspec.Struct):
    """What all requests share; wired once.

    Attributes
    ----------
    clock, rng
        The only sources of time and chance.
    fleet : Fleet
        The tables.
    send : callable
        Sends to workers.
    bounds : RepeatBounds
        What may be repeated.
    histograms : Histograms
        Times by organisation and class.
    count : callable
        Counts outcomes.
    running : set
        Requests under way.
    """

    clock: Clock
    rng: random.Random
    fleet: Fleet
    send: Send
    bounds: RepeatBounds
    histograms: Histograms
    count: Counter
    running: set[str] = set()
