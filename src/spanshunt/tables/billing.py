"""The fold of the bills stream: what was counted, and what is owed."""

import msgspec

from ..ids import Incarnation
from ..ids import Micros
from ..ids import Millis
from ..ids import Offset
from ..ids import OrgId
from ..ids import ServiceId


class Coverage(msgspec.Struct):
    """Which seqs of one incarnation were counted.

    Attributes
    ----------
    upto : int
        All below this one.
    extra : set of int
        And these.
    latest : int
        Wall clock of the newest bill seen, in ms.
    """

    upto: int = 0
    extra: set[int] = set()
    latest: Millis = Millis(0)

    def add(self, seq: int) -> bool:
        """Count `seq`; return False if it was counted before."""
        if seq < self.upto or seq in self.extra:
            return False
        self.extra.add(seq)
        while self.upto in self.extra:
            self.extra.remove(self.upto)
            self.upto += 1
        return True


class OrgTotal(msgspec.Struct):
    """What one organisation owes for one service."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: Micros = Micros(0)


class BillFold(msgspec.Struct):
    """The fold of the bills stream.

    Attributes
    ----------
    covered : dict
        What was counted, by incarnation.
    totals : dict
        By organisation, then service.
    doubled : int
        Entries that came again and were not counted again.
    next_offset : int
        The first record of the bills stream that is not folded.
    """

    covered: dict[Incarnation, Coverage] = {}
    totals: dict[OrgId, dict[ServiceId, OrgTotal]] = {}
    doubled: int = 0
    next_offset: Offset = Offset(0)
