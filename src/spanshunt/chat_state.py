"""Model requests of the OpenAI front under way."""

import msgspec

from .admission import ChatCall
from .ids import Millis
from .ids import VersionId
from .records import Usage
from .request_state import Attempt
from .request_state import RequestState
from .sse import TokenUsage
from .systems.choice_rows import Choice


class ChatAttempt(Attempt, kw_only=True):
    """One attempt on one worker.

    Attributes
    ----------
    choice : Choice
        The version, and why it was chosen.
    first, ended : int
        When its first byte came and when it ended, in ms.
    usage : TokenUsage or None
        What it used.
    text : list of bytes
        The answer, kept if it is held back or rated.
    """

    choice: Choice
    first: Millis = Millis(0)
    ended: Millis = Millis(0)
    usage: TokenUsage | None = None
    text: list[bytes] = msgspec.field(default_factory=list)


class ChatRequest(RequestState, kw_only=True):
    """A model request.

    Attributes
    ----------
    call : ChatCall
        What is asked for.
    usage : list of Usage
        What finished attempts used.
    forced : str
        The version that an escalation goes to; empty for none.
    """

    call: ChatCall
    usage: list[Usage] = msgspec.field(default_factory=list)
    forced: VersionId = VersionId("")
