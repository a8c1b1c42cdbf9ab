"""What backend servers say of themselves at the heads of their answers."""

import enum

import msgspec

from ..ids import BoxId
from ..ids import Millis


class Word(enum.Enum):
    """What a worker may say of itself."""

    LIMIT = "limit"
    LEAVING = "leaving"
    REST = "rest"


class Flaw(msgspec.Struct, frozen=True):
    """A word that can't be used: which one, what was found and what is allowed."""

    word: Word
    detail: str


class Notice(msgspec.Struct, frozen=True):
    """What one answer says of its worker, beside the load.

    Attributes
    ----------
    per_s : float or None
        Requests a second that it takes from all boxes together; None where it names no
        limit that can be read.
    leaving : bool
        Whether it says that it leaves.
    rest_ms : int or None
        For how long it wants nothing from the box that it turned away, in ms; None
        where it does not say so.
    flaws : tuple of Flaw
        What it says that can't be used.
    """

    per_s: float | None = None
    leaving: bool = False
    rest_ms: Millis | None = None
    flaws: tuple[Flaw, ...] = ()

    def is_odd(self, word: Word) -> bool:
        """Tell whether one of its words is there and can't be used."""
        return any(flaw.word is word for flaw in self.flaws)


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


class Leaving(msgspec.Struct, frozen=True):
    """That a worker said it leaves: when that was heard first, in ms, by which box."""

    at: Millis
    source: BoxId


class Rest(msgspec.Struct, frozen=True):
    """That a worker asked this box for rest: when it did, and until when, in ms."""

    at: Millis
    until: Millis


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
