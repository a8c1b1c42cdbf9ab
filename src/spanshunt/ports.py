"""Interfaces of the request path: answers of workers and replies to callers.

The request path depends only on these types; each front end and each kind of worker
adapts to them.
"""

import typing as t

import msgspec
from multidict import CIMultiDict
from multidict import MultiMapping
from result import Result

from .ids import ModelId
from .ids import OrgId
from .ids import RegionId
from .ids import RequestId
from .refusals import Refusal
from .systems.cascading import RequestTokens
from .systems.worker_health import WorkerLoad
from .tables.engines import PromptPart
from .tables.notices import Notice
from .tables.workers import WorkerRow


class BrokenAnswerError(Exception):
    """A worker's answer is incomplete or invalid.

    Raised while an answer is read; the request path turns it into an outcome.
    """


class TruncatedAnswerError(BrokenAnswerError):
    """The connection ended before the answer was complete."""


class SilentWorkerError(BrokenAnswerError):
    """The worker sent nothing for too long in the middle of an answer."""


class ErrorStatusError(BrokenAnswerError):
    """The worker answered with an error status of its own."""


class GatewayLostError(BrokenAnswerError):
    """The peer that passes on the answer was lost; it says nothing of the worker."""


class Call(msgspec.Struct):
    """One request of a caller, independent of its protocol.

    Attributes
    ----------
    request : str
        Request id, shared by all attempts.
    method, target, host, path : str
        HTTP method, request target with the query as received, requested host, and path
        without the query.
    headers : CIMultiDict
        Headers forwarded to the worker, without those that the system sets itself.
    body : bytes
        The complete body.
    credential : str
        The caller's credential; empty for none.
    began, deadline : int
        When the request arrived and when the caller stops waiting, in ms of the
        monotonic clock.
    session : str
        The caller's session; empty for none.
    tokens : RequestTokens
        Size of the request in tokens; 0 for plain requests.
    shared_parts : tuple of PromptPart
        Parts of the prompt that other requests share, in order.
    model : str
        The model that the caller names; empty to let the system choose.
    resume_after : int or None
        Id of the last event that the caller received of this stream before it asked
        again; None if it starts anew.
    """

    request: RequestId
    method: str
    target: str
    host: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    credential: str
    began: int
    deadline: int
    session: str = ""
    tokens: RequestTokens = RequestTokens(0, 0)
    shared_parts: tuple[PromptPart, ...] = ()
    model: ModelId = ModelId("")
    resume_after: int | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """One attempt to send a call to a worker.

    Attributes
    ----------
    call : Call
        The request.
    worker : WorkerRow
        The worker that the call is sent to.
    model : str
        The model to name to the worker; empty to keep the one that the caller named.
    org : str
        The organisation that owns the request; empty for none.
    urgency : int
        Priority at the worker; 0 is the most urgent. For a plain request it is the
        priority of its organisation or route. For a model request the number rises with
        the time that the engine needs for the prompt; a resumed one has 0.
    left_ms : int
        Time left for the worker to answer, in ms.
    resume_after : int or None
        Id of the last event that the caller received, from an earlier attempt or before
        it sent this request; None for no event.
    new_connection : bool
        Whether a new connection must be used for the call.
    regions : tuple of frozenset of str
        Sets of allowed regions. A box that the call goes through must be in each of
        them, as the worker is. An empty set allows any region.
    """

    call: Call
    worker: WorkerRow
    model: ModelId
    org: OrgId
    urgency: int
    left_ms: int
    resume_after: int | None
    new_connection: bool
    regions: tuple[frozenset[RegionId], ...] = ()


class SendFault(msgspec.Struct, frozen=True):
    """Failure of an attempt that got no answer.

    Attributes
    ----------
    unreached : bool
        Whether it is certain that no byte of the request was sent.
    detail : str
        Description of the failure for operators.
    stale : bool
        Whether a reused connection broke before any byte of the answer. Workers close
        idle connections, so this is no sign of a fault of the worker.
    silent : bool
        Whether the worker accepted the request and then sent nothing for too long.
    refused : bool
        Whether the connection to the worker's address was refused.
    blameless : bool
        Whether the fault lies on this box's side of the worker, so that it says nothing
        of the worker and its version.
    cut_off : bool
        Whether neither this box nor a peer of it has a way to workers.
    """

    unreached: bool
    detail: str
    stale: bool = False
    silent: bool = False
    refused: bool = False
    blameless: bool = False
    cut_off: bool = False


class BodyReader(t.Protocol):
    """Reads the body of a worker's answer."""

    async def readany(self) -> bytes:
        """Return the next bytes; empty at the end."""


class WorkerResponse(t.Protocol):
    """Head of an HTTP answer, however it reached this box.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : mapping
        All headers, as a multidict.
    content : BodyReader
        The body.
    """

    @property
    def status(self) -> int:
        """HTTP status."""

    @property
    def headers(self) -> MultiMapping[str]:
        """All headers."""

    @property
    def content(self) -> BodyReader:
        """The body."""

    def close(self) -> None:
        """Close the connection, cancelling what is not read."""


Collect = t.Callable[[int], t.Awaitable[None]]
"""Takes the size of a block of an answer that is collected, and returns when the next
one may be read."""


async def do_not_collect(_size: int) -> None:
    """Keep no account of an answer that is collected."""


class Answer(t.Protocol):
    """The head of a worker's answer, and access to its body.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : CIMultiDict
        Headers forwarded to the caller.
    not_run : bool
        Whether the worker states that it did not run the request.
    replaced : bool
        Whether another worker uses this address now.
    defect : str
        Why this is not a valid answer to the request; empty if it is valid.
    indirect : bool
        Whether a peer passed it on, which takes longer than the way from the worker.
    confidence : float or None
        Confidence of the model in its answer, in 0 to 1.
    load : WorkerLoad or None
        Load that the worker reports.
    notice : Notice
        Notices of the worker about itself, other than its load.
    """

    status: int
    headers: CIMultiDict[str]
    not_run: bool
    replaced: bool
    defect: str
    indirect: bool
    confidence: float | None
    load: WorkerLoad | None
    notice: Notice

    async def read(self, collect: Collect = do_not_collect) -> bytes:
        """Return the complete body, or raise ``BrokenAnswerError``.

        `collect` is called with the size of each block before the next one is read.
        """

    async def next_block(self) -> bytes:
        """Return the next bytes (empty at the end) or raise ``BrokenAnswerError``."""

    def close(self) -> None:
        """Release the answer, cancelling it at the worker if it is not fully read."""


class Reply(t.Protocol):
    """The reply to the caller.

    Attributes
    ----------
    begun : bool
        Whether any byte of the reply was sent to the caller.
    """

    begun: bool

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal by the system itself."""

    async def send_whole(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """Send a worker's complete answer."""

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the head of a stream."""

    async def write(self, block: bytes) -> None:
        """Send the next bytes of a stream."""

    def hold_partial(self, size: int) -> None:
        """Count the bytes of an event that is not complete yet; it is not sent."""

    def collector(self) -> Collect:
        """Return a function that counts the blocks of a new whole answer."""

    async def end(self) -> None:
        """End a stream as complete."""

    async def end_incomplete(self, refusal: Refusal) -> None:
        """End an unfinished stream in a way that the caller sees it is incomplete."""

    def abort(self) -> None:
        """Close the connection without any further message to the caller."""


Send = t.Callable[[Dispatch], t.Awaitable[Result[Answer, SendFault]]]
"""Sends a request and returns the head of its answer."""
