"""Claims of keys of calls that may run once."""

import enum

import msgspec

from ..ids import Millis
from ..ids import Offset
from ..ids import RequestId
from ..records import Claim


class CallState(enum.Enum):
    """How far this box got with a keyed call that it claimed."""

    CLAIMED = "claimed"
    SENT = "sent"
    DONE = "done"
    GIVEN_UP = "given_up"


class WonClaim(msgspec.Struct, frozen=True):
    """A claim that won its key, and the log's wall clock at that, in ms."""

    claim: Claim
    at: Millis


class CallAnswer(msgspec.Struct, frozen=True):
    """An answer of a plain service, kept for repeats of a keyed call."""

    status: int
    content_type: str
    body: bytes


class OwnCall(msgspec.Struct):
    """A keyed call that this box claimed."""

    key: str
    state: CallState = CallState.CLAIMED
    answer: CallAnswer | None = None


class ClaimTable(msgspec.Struct):
    """The fold of the claims stream, and this box's own calls.

    Attributes
    ----------
    next_offset : int
        The first record not folded.
    started : bool
        Whether the fold began; it begins at the first record that the log holds.
    won : dict
        The claim that won, by key, in the order of the log.
    own : dict
        This box's calls, by request.
    """

    next_offset: Offset = Offset(0)
    started: bool = False
    won: dict[str, WonClaim] = {}
    own: dict[RequestId, OwnCall] = {}
