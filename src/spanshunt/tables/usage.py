"""Usage of organisations at this box and, as learned by gossip, at other boxes."""

import msgspec

from ..ids import Micros
from ..ids import Millis
from ..ids import OrgId


class UsageRow(msgspec.Struct, array_like=True):
    """Usage of one organisation at one box, as peers exchange it.

    Attributes
    ----------
    origin : str
        The incarnation that counts.
    org : str
        The organisation.
    demand : float
        Moving mean of the requests a second that arrive there.
    running : int
        Requests in progress there.
    day : int
        The day of ``spent``, in days since the Unix epoch.
    spent : int
        Amount spent there on that day, in millionths of the currency.
    """

    origin: str
    org: OrgId
    demand: float
    running: int
    day: int
    spent: Micros


class PeerUsage(msgspec.Struct):
    """A peer's usage row and when it arrived, in ms of the monotonic clock."""

    row: UsageRow
    at: Millis


class OwnUsage(msgspec.Struct):
    """Usage of one organisation at this box.

    Attributes
    ----------
    tokens : float
        Tokens in the bucket: requests that may start at once.
    refilled_at : int
        When the token bucket was last refilled, in ms.
    allowance : float
        This box's share of the organisation's rate limit, in requests a second.
    asked : int
        Requests that arrived since ``demand`` was last updated.
    demand : float
        Moving mean of the requests a second that arrive.
    running : int
        Requests in progress.
    others_running : int
        Requests in progress at the other boxes, by their newest rows.
    day : int
        The day of ``spent``, in days since the Unix epoch.
    spent, others_spent : int
        Amounts spent on that day at this box and at the other boxes, in millionths of
        the currency.
    """

    tokens: float
    refilled_at: Millis
    allowance: float
    asked: int = 0
    demand: float = 0.0
    running: int = 0
    others_running: int = 0
    day: int = 0
    spent: Micros = Micros(0)
    others_spent: Micros = Micros(0)


class Usage(msgspec.Struct):
    """All usage known to this box: its own, and peers' by origin and organisation.

    The tokens and the cost of one attempt are in :class:`spanshunt.records.Usage`; the
    cost of a request's attempts is added to ``OwnUsage.spent``.
    """

    own: dict[OrgId, OwnUsage] = {}
    heard: dict[tuple[str, OrgId], PeerUsage] = {}
