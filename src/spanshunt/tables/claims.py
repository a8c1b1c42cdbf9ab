"""Claims of idempotency keys for calls that may run at most once.

A keyed call is a request to a plain service with an idempotency key of its caller.
"""

import enum

import msgspec

from ..ids import Millis
from ..ids import Offset
from ..ids import RequestId
from ..records import Claim


class CallState(enum.Enum):
    """Progress of a keyed call that this box has claimed.

    A box gives a call up if the request ended and no worker was reached that may have
    run it, or if the claim could not be read back from the log in time. A send of which
    certainly no byte left is set back to `CLAIMED`. A call that is given up is never
    sent again, and its claim is released.
    """

    CLAIMED = "claimed"
    SENT = "sent"
    DONE = "done"
    GIVEN_UP = "given_up"


class WonClaim(msgspec.Struct, frozen=True):
    """The claim that won a key, and the log's wall-clock time of it, in ms."""

    claim: Claim
    at: Millis


class CallAnswer(msgspec.Struct, frozen=True):
    """The answer of a plain service, stored for repeats of a keyed call."""

    status: int
    content_type: str
    body: bytes


class OwnCall(msgspec.Struct):
    """A keyed call that this box has claimed."""

    key: str
    state: CallState = CallState.CLAIMED
    answer: CallAnswer | None = None


class ClaimTable(msgspec.Struct):
    """State folded from the claims stream, and this box's own calls.

    Attributes
    ----------
    next_offset : int
        Offset of the first record that is not folded yet.
    caught_up : bool
        Whether this box has read the stream up to its head since its start. Before
        that it does not know all claims and claims no key itself.
    won : dict
        The winning claim by key, in log order.
    own : dict
        This box's keyed calls by request.
    """

    next_offset: Offset = Offset(0)
    caught_up: bool = False
    won: dict[str, WonClaim] = {}
    own: dict[RequestId, OwnCall] = {}
