"""What one request went through so far, whichever front it came in by."""

import asyncio
import enum

import msgspec
from multidict import CIMultiDict

from .ids import ClassId
from .ids import Millis
from .ids import ModelId
from .ids import OrgId
from .ids import RequestId
from .ids import VersionId
from .ids import WorkerId
from .refusals import Refusal
from .tables.workers import WorkerRow


class Ending(enum.Enum):
    """How one attempt ended.

    ``DELIVERED``: the caller has the whole answer. ``BETTER``: dropped, a larger model
    is to be asked. ``NOT_RUN``: the worker certainly did not run it. ``FAILED``: it may
    have run, and the caller has nothing of this attempt. ``CUT``: a stream broke off
    after events of it went to the caller. ``REFUSED``: the worker refuses the request
    itself, as any other would.
    """

    DELIVERED = "delivered"
    BETTER = "better"
    NOT_RUN = "not_run"
    FAILED = "failed"
    CUT = "cut"
    REFUSED = "refused"


class WorkerFailure(msgspec.Struct, frozen=True):
    """A worker's own failure, whole, kept to be given if nothing better comes."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class Attempt(msgspec.Struct, kw_only=True):
    """One send to a worker, as decided.

    Attributes
    ----------
    worker : WorkerRow
        Where to.
    model : str
        The model named; empty for plain requests.
    sent : int
        When it was sent, in ms.
    broke : bool
        Whether its connection ended before an answer was whole.
    """

    worker: WorkerRow
    model: ModelId = ModelId("")
    sent: Millis = Millis(0)
    broke: bool = False


class RequestState(msgspec.Struct, kw_only=True):
    """A request under way.

    Attributes
    ----------
    request, org, request_class : str
        Its id, whose it is (empty for nobody's) and what it is counted under.
    began, limit : int
        When it came, and when it gets its final answer at the latest, in ms of the
        monotonic clock.
    repeatable : bool
        Whether it may run again after it may have run once, while the caller has
        nothing of it.
    resumable : bool
        Whether it may go on at another worker after part of its answer was given.
    max_attempts : int
        Workers that it may run on.
    tried : set
        Workers that had it.
    broken : bool
        Whether an attempt brought no whole answer.
    sends : int
        Attempts that were made.
    unreached : int
        Those of them that certainly reached no worker.
    stopped_by : str
        Why no further worker was tried, for the log; empty while none was wanted.
    runs : int
        Attempts that may have run.
    version : str
        The version that runs it; empty until one does.
    under_way : Attempt or None
        The attempt that it waits for.
    failure : WorkerFailure or None
        What to give if nothing better comes.
    refused : Refusal or None
        What a worker's refusal of the request itself comes to.
    trouble : str
        What went wrong last; empty while nothing did.
    attempts : list of str
        What became of each attempt, for the log.
    first_at : int
        When the first bytes of a stream went to the caller, in ms; -1 for never.
    events : int
        Events of a stream that went to the caller.
    timer : asyncio.Timeout or None
        What ends it at its limit.
    stopped : Refusal or None
        Why it was ended before that; None while it was not.
    """

    request: RequestId
    org: OrgId
    request_class: ClassId
    began: Millis
    limit: Millis
    repeatable: bool
    resumable: bool = False
    max_attempts: int = 1
    tried: set[WorkerId] = set()
    broken: bool = False
    sends: int = 0
    unreached: int = 0
    stopped_by: str = ""
    runs: int = 0
    version: VersionId = VersionId("")
    under_way: Attempt | None = None
    failure: WorkerFailure | None = None
    refused: Refusal | None = None
    trouble: str = ""
    attempts: list[str] = []
    first_at: Millis = Millis(-1)
    events: int = 0
    timer: asyncio.Timeout | None = None
    stopped: Refusal | None = None
