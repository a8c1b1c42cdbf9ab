"""What organisations use, at this box and, by gossip, at the others."""

import msgspec

from ..ids import Micros
from ..ids import Millis
from ..ids import OrgId


class UsageRow(msgspec.Struct, array_like=True):
    """What one organisation uses at one box, as peers exchange it.

    Attributes
    ----------
    origin : str
        The incarnation that counted.
    org : str
        The organisation.
    demand : float
        Requests a second that it asked for there, a moving mean.
    running : int
        Requests under way there.
    day : int
        The day, counted from the Unix epoch, that ``spent`` is for.
    spent : int
        Money spent there on that day, in millionths of the currency.
    """

    origin: str
    org: OrgId
    demand: float
    running: int
    day: int
    spent: Micros


class Heard(msgspec.Struct):
    """A peer's row and when it came, in ms of the monotonic clock."""

    row: UsageRow
    at: Millis


class OwnUsage(msgspec.Struct):
    """What one organisation uses here.

    Attributes
    ----------
    tokens : float
        Requests that may start at once.
    refilled : int
        When ``tokens`` was brought up to date, in ms.
    allowance : float
        This box's part of the organisation's rate, requests a second.
    asked : int
        Requests asked for since the last tick that took them into ``demand``.
    demand : float
        Requests a second asked for, a moving mean.
    running : int
        Requests under way.
    others_running : int
        Requests under way at the other boxes, when last heard.
    day : int
        The day that ``spent`` is for.
    spent, others_spent : int
        Money spent on that day here and at the others, in millionths of the currency.
    """

    tokens: float
    refilled: Millis
    allowance: float
    asked: int = 0
    demand: float = 0.0
    running: int = 0
    others_running: int = 0
    day: int = 0
    spent: Micros = Micros(0)
    others_spent: Micros = Micros(0)


class Usage(msgspec.Struct):
    """All usage known here: own, and peers' by origin and organisation."""

    own: dict[OrgId, OwnUsage] = {}
    heard: dict[tuple[str, OrgId], Heard] = {}
