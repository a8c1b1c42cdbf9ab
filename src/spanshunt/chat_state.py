"""State of model requests to the OpenAI-compatible API."""

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
    """One attempt of a model request on one worker.

    Attributes
    ----------
    choice : Choice
        The version, and the rule by which it was chosen.
    first_at, ended_at : int
        When the first event of the answer arrived and when the answer was complete, in
        ms of the monotonic clock; 0 until then.
    usage : TokenUsage or None
        Tokens that the engine counted; None until it reports them.
    kept_events : list of bytes
        Checked events of a streamed answer that is held back or rated.
    """

    choice: Choice
    first_at: Millis = Millis(0)
    ended_at: Millis = Millis(0)
    usage: TokenUsage | None = None
    kept_events: list[bytes] = msgspec.field(default_factory=list)


class ChatRequest(RequestState, kw_only=True):
    """State of a model request.

    Attributes
    ----------
    call : ChatCall
        The request.
    usage : list of Usage
        Usage of the complete answers so far, including discarded ones.
    escalated_to : str
        The version to use after an escalation; empty for none.
    """

    call: ChatCall
    usage: list[Usage] = msgspec.field(default_factory=list)
    escalated_to: VersionId = VersionId("")
