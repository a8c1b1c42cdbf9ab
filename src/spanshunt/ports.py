"""What the request path needs of the outside: a worker's answer and a caller's reply.

The request path knows these types alone; each front and each kind of worker translates.
"""

import typing as t

import msgspec
from multidict import CIMultiDict
from result import Result

from .ids import ModelId
from .ids import OrgId
from .ids import RequestId
from .refusals import Refusal
from .systems.cascading import RequestTokens
from .systems.worker_health import Load
from .tables.engines import PromptPart
from .tables.notices import Notice
from .tables.workers import WorkerRow


class BrokenAnswerError(Exception):
    """A worker's answer that ended before it was whole, or that is not one.

    Raised while an answer is read; the request path turns it into an outcome.
    """


class CutAnswerError(BrokenAnswerError):
    """An answer whose connection ended before it was whole."""


class SilentWorkerError(BrokenAnswerError):
    """A worker that is silent for too long in the middle of an answer."""


class Call(msgspec.Struct):
    """One request of a caller, in the product's own terms.

    Attributes
    ----------
    request : str
        Its id, unique over all tries.
    method, target, host, path : str
        The HTTP method, path with query as it came, the host asked for, and the path.
    headers : CIMultiDict
        What travels to the worker with it; nothing that the system sets itself.
    body : bytes
        The body, whole.
    credential : str
        The caller's credential; empty for none.
    began, deadline : int
        When it came and when the caller stops waiting, in ms of the monotonic clock.
    session : str
        The caller's session; empty for none.
    tokens : RequestTokens
        Its size in tokens; 0 for plain requests.
    shared : tuple of PromptPart
        The parts of its prompt that other requests share, in order.
    model : str
        The model that the caller names; empty where the choice is the system's.
    resume_after : int or None
        The last event that the caller has of an earlier run.
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
    shared: tuple[PromptPart, ...] = ()
    model: ModelId = ModelId("")
    resume_after: int | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """One send of a call to a worker.

    Attributes
    ----------
    call : Call
        The request.
    worker : WorkerRow
        Where to.
    model : str
        The model to name; empty to leave the caller's word.
    org : str
        Whose request it is; empty for nobody's.
    urgency : int
        0 first.
    left_ms : int
        How long the worker may take, in ms.
    resume_after : int or None
        The last event that the caller has.
    fresh : bool
        Whether it must not be sent on a connection that was used before.
    """

    call: Call
    worker: WorkerRow
    model: ModelId
    org: OrgId
    urgency: int
    left_ms: int
    resume_after: int | None
    fresh: bool


class SendFault(msgspec.Struct, frozen=True):
    """A send without an answer.

    Attributes
    ----------
    unreached : bool
        Whether it is certain that no byte of the request left.
    detail : str
        For people.
    stale : bool
        Whether a kept connection broke before any byte of the answer: workers forget
        idle ones, so this tells nothing of the worker.
    silent : bool
        Whether the worker took the request and said nothing for too long.
    refused : bool
        Whether nothing listens at the worker's address.
    """

    unreached: bool
    detail: str
    stale: bool = False
    silent: bool = False
    refused: bool = False


class Answer(t.Protocol):
    """The head of a worker's answer, and its body to be read.

    Attributes
    ----------
    status : int
        Its HTTP status.
    headers : CIMultiDict
        What travels back to the caller.
    not_run : bool
        Whether the worker says that it has not run the request.
    replaced : bool
        Whether another worker has this address now.
    flaw : str
        What makes it no answer to this request; empty if it is one.
    confidence : float or None
        How sure the model is, in 0 to 1.
    load : Load or None
        What the worker says of its load.
    notice : Notice
        What else it says of itself.
    """

    status: int
    headers: CIMultiDict[str]
    not_run: bool
    replaced: bool
    flaw: str
    confidence: float | None
    load: Load | None
    notice: Notice

    async def read(self) -> bytes:
        """Return the whole body, or raise ``BrokenAnswerError``."""

    async def next_block(self) -> bytes:
        """Return the next bytes, empty at the end, or raise ``BrokenAnswerError``."""

    def close(self) -> None:
        """Let go of it; one that is not read to its end is cut off at the worker."""


class Reply(t.Protocol):
    """The way back to the caller.

    Attributes
    ----------
    begun : bool
        Whether the caller has any byte of it.
    """

    begun: bool

    async def refuse(self, refusal: Refusal) -> None:
        """Give a refusal of the system's own."""

    async def whole(self, status: int, headers: CIMultiDict[str], body: bytes) -> None:
        """Give a worker's whole answer."""

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Give the head of a stream."""

    async def write(self, block: bytes) -> None:
        """Give more of a stream."""

    async def end(self) -> None:
        """End a stream as complete."""

    async def break_off(self, refusal: Refusal) -> None:
        """End a stream that can't be finished so that it can't look complete."""

    def abort(self) -> None:
        """End the connection, as nothing can be told to the caller any more."""


Send = t.Callable[[Dispatch], t.Awaitable[Result[Answer, SendFault]]]
"""Sends a request and returns the head of its answer."""
