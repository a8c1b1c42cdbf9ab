"""Attempts: what a model request went through so far."""

import enum

import msgspec
from aiohttp import web

from .ids import Millis
from .ids import VersionId
from .ids import WorkerId
from .records import Usage
from .refusals import Refusal
from .sse import TokenUsage
from .systems.choice import Choice
from .tables.workers import WorkerRow


class Ending(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    RETRY = "retry"
    REFUSED = "refused"
    BROKEN = "broken"


class Attempt(msgspec.Struct):
    """One attempt on one worker.

    Attributes
    ----------
    choice : Choice
        The version.
    worker : WorkerRow
        The worker.
    sent, first, ended : int
        When it was sent, its first byte came and it ended, in ms.
    usage : TokenUsage or None
        What it used.
    text : list of bytes
        The answer, kept if it is held back or rated.
    """

    choice: Choice
    worker: WorkerRow
    sent: Millis
    first: Millis = Millis(0)
    ended: Millis = Millis(0)
    usage: TokenUsage | None = None
    text: list[bytes] = []


class Progress(msgspec.Struct):
    """What has happened to a request so far.

    Attributes
    ----------
    tried : set
        Workers tried.
    started : int
        Attempts that may have run.
    usage : list of Usage
        What finished attempts used.
    forced : str
        The version that an escalation goes to; empty for none.
    response : StreamResponse or None
        The stream to the caller, once its first byte left.
    """

    tried: set[WorkerId] = set()
    started: int = 0
    usage: list[Usage] = []
    forced: VersionId = VersionId("")
    response: web.StreamResponse | None = None


class Outcome(msgspec.Struct, frozen=True):
    """How an attempt ended, and the refusal or response that follows."""

    ending: Ending
    refusal: Refusal | None = None
    response: web.StreamResponse | None = None
