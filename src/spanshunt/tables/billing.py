"""State folded from the bills stream: entries counted and amounts owed."""

import msgspec

from ..ids import Incarnation
from ..ids import Micros
from ..ids import Millis
from ..ids import Offset
from ..ids import OrgId
from ..ids import ServiceId


class Coverage(msgspec.Struct):
    """Sequence numbers of one incarnation that have been counted.

    Attributes
    ----------
    upto : int
        All sequence numbers below this one have been counted.
    extra : set of int
        Sequence numbers at or above ``upto`` that have been counted as well.
    latest : int
        Wall-clock time of the newest bill seen, in ms.
    """

    upto: int = 0
    extra: set[int] = set()
    latest: Millis = Millis(0)

    def add(self, seq: int) -> bool:
        """Mark `seq` as counted; return False if it was counted before."""
        if seq < self.upto or seq in self.extra:
            return False
        self.extra.add(seq)
        while self.upto in self.extra:
            self.extra.remove(self.upto)
            self.upto += 1
        return True


class OrgTotal(msgspec.Struct):
    """Totals that one organisation owes for one service."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: Micros = Micros(0)


class BillFold(msgspec.Struct):
    """State folded from the bills stream, in the order of the log.

    Attributes
    ----------
    covered : dict
        Counted sequence numbers by incarnation.
    totals : dict
        Totals by organisation, then by service.
    doubled : int
        Duplicate entries, which were not counted again.
    next_offset : int
        Offset of the first record of the bills stream that is not folded yet.
    """

    covered: dict[Incarnation, Coverage] = {}
    totals: dict[OrgId, dict[ServiceId, OrgTotal]] = {}
    doubled: int = 0
    next_offset: Offset = Offset(0)
