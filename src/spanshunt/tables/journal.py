"""The journal: bills that are not on the log yet, own ones and copies of peers'."""

import msgspec

from ..ids import Incarnation
from ..ids import Millis
from ..records import BillEntry


class Copies(msgspec.Struct):
    """Entries of another incarnation, held in case it goes.

    Attributes
    ----------
    entries : dict
        By seq.
    heard : int
        When the owner last sent something, in ms.
    """

    entries: dict[int, BillEntry] = {}
    heard: Millis = Millis(0)


class Journal(msgspec.Struct):
    """Bills that are not known to be on the log.

    Attributes
    ----------
    incarnation : str
        The owner.
    next_seq : int
        The number of the next entry.
    open : dict
        Own entries not yet on the log, by seq.
    copies : dict
        Entries of others, by incarnation.
    """

    incarnation: Incarnation
    next_seq: int = 0
    open: dict[int, BillEntry] = {}
    copies: dict[Incarnation, Copies] = {}

    @property
    def size(self) -> int:
        """Entries held, own and copied."""
        return len(self.open) + sum(len(row.entries) for row in self.copies.values())
