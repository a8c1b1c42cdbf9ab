"""The state of a request in progress, independent of the front end."""

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


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt.

    ``DELIVERED``: the caller got the complete answer. ``ESCALATED``: the answer was
    dropped to ask a larger model. ``NOT_RUN``: the worker certainly did not run the
    request. ``FAILED``: the request may have run, and the caller got nothing of this
    attempt. ``INTERRUPTED``: a stream ended early after some of its events were sent to
    the caller. ``REFUSED``: the worker rejected the request itself, as any other worker
    would.
    """

    DELIVERED = "delivered"
    ESCALATED = "better"
    NOT_RUN = "not_run"
    FAILED = "failed"
    INTERRUPTED = "cut"
    REFUSED = "refused"


class WorkerFailure(msgspec.Struct, frozen=True):
    """A worker's complete error response, sent if no attempt gets a better answer."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class Attempt(msgspec.Struct, kw_only=True):
    """One planned attempt to send a request to a worker.

    Attributes
    ----------
    worker : WorkerRow
        The worker that the request is sent to.
    model : str
        The model to name to the worker; empty for plain requests.
    sent : int
        When the attempt was sent, in ms.
    connection_broke : bool
        Whether the connection ended before the answer was complete.
    """

    worker: WorkerRow
    model: ModelId = ModelId("")
    sent: Millis = Millis(0)
    connection_broke: bool = False


class RequestState(msgspec.Struct, kw_only=True):
    """A request in progress.

    Attributes
    ----------
    request, org, request_class : str
        Request id, the organisation that owns it (empty for none) and the class that
        it is counted under.
    began, limit : int
        When the request arrived, and when it times out, in ms of the monotonic clock.
    repeatable : bool
        Whether the request may run again after a possible run, as long as the caller
        has received nothing.
    resumable : bool
        Whether another worker may resume the answer after a part of it was sent.
    max_attempts : int
        Maximum number of workers that may run the request.
    tried : set
        Workers that an attempt was sent to.
    has_failed_attempt : bool
        Whether an attempt ended without a complete answer.
    sends : int
        Number of attempts sent.
    unreached : int
        Number of those that certainly did not reach a worker.
    stopped_by : str
        Why no further worker was tried, for the log; empty if no retry was denied.
    runs : int
        Number of attempts that may have run.
    ended_runs : int
        Number of those whose worker ended meanwhile. They don't count towards
        `max_attempts`: such a run is not at work any more.
    resume_waits : int
        Number of pauses before an attempt to resume the answer.
    version : str
        The version that answers the request; empty until an answer begins.
    under_way : Attempt or None
        The attempt in progress.
    worker_failure : WorkerFailure or None
        The error response to send if no attempt gets a better answer.
    refused : Refusal or None
        The refusal to send because a worker rejected the request itself.
    last_error : str
        Description of the last failure; empty for none.
    attempts : list of str
        Outcome of each attempt, for the log.
    first_byte_at : int
        When the first bytes of a stream were sent to the caller, in ms; -1 for never.
    events : int
        Number of events of a stream that were sent to the caller.
    timer : asyncio.Timeout or None
        The timeout that ends the request at its limit.
    stop_refusal : Refusal or None
        The refusal to send because the request was stopped early; None if it was not.
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
    has_failed_attempt: bool = False
    sends: int = 0
    unreached: int = 0
    stopped_by: str = ""
    runs: int = 0
    ended_runs: int = 0
    resume_waits: int = 0
    version: VersionId = VersionId("")
    under_way: Attempt | None = None
    worker_failure: WorkerFailure | None = None
    refused: Refusal | None = None
    last_error: str = ""
    attempts: list[str] = []
    first_byte_at: Millis = Millis(-1)
    events: int = 0
    timer: asyncio.Timeout | None = None
    stop_refusal: Refusal | None = None

    @property
    def counted_runs(self) -> int:
        """Number of runs that count towards `max_attempts`."""
        return self.runs - self.ended_runs
