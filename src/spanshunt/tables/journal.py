"""The journal: bills that are not on the log yet, with copies of peers' bills."""

import msgspec

from ..ids import Incarnation
from ..ids import Millis
from ..records import BillEntry


class JournalCopy(msgspec.Struct):
    """Copies of another incarnation's entries, held in case that box fails.

    Attributes
    ----------
    entries : dict
        Entries by sequence number.
    heard : int
        When the owner last sent entries, in ms.
    """

    entries: dict[int, BillEntry] = {}
    heard: Millis = Millis(0)


class Journal(msgspec.Struct):
    """Bills that are not known to be on the log.

    Attributes
    ----------
    incarnation : str
        The incarnation that owns the journal.
    next_seq : int
        Sequence number of the next entry.
    open : dict
        Own entries that are not on the log yet, by sequence number.
    copies : dict
        Copies of entries of other incarnations, by incarnation.
    """

    incarnation: Incarnation
    next_seq: int = 0
    open: dict[int, BillEntry] = {}
    copies: dict[Incarnation, JournalCopy] = {}

    @property
    def size(self) -> int:
        """Number of entries held, own and copied."""
        return len(self.open) + sum(len(row.entries) for row in self.copies.values())
