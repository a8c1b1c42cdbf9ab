"""What backend servers say of themselves at the heads of their answers."""

import msgspec

from ..ids import BoxId
from ..ids import Millis


class Notice(msgspec.Struct, frozen=True):
    """What one answer says of its worker, beside the load.

    Attributes
    ----------
    per_s : float or None
        Requests a second that it takes from all boxes together; None where it names no
        limit.
    flaw : str
        What it says that can't be used; empty for nothing. It then tells nothing.
    """

    per_s: float | None = None
    flaw: str = ""


class RateLimit(msgspec.Struct, frozen=True):
    """A worker's newest word on the rate that it takes.

    Attributes
    ----------
    per_s : float or None
        Requests a second, of all boxes together; None once it names none any more.
    at : int
        When it was heard, in ms.
    source : str
        The box that heard it.
    """

    per_s: float | None
    at: Millis
    source: BoxId


class Grants(msgspec.Struct):
    """When this box may send to a worker that names a limit.

    Attributes
    ----------
    opens_at : float
        When the oldest grant that was not used opens, or did, in ms.
    period_ms : float
        Time from one grant to the next, in ms.
    """

    opens_at: float
    period_ms: float
