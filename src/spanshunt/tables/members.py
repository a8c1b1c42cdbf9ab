"""Peers: the boxes that run the daemon, as this box knows them."""

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Incarnation
from ..ids import Millis
from ..ids import Offset


class MemberRow(msgspec.Struct):
    """One peer.

    Attributes
    ----------
    box : str
        Its name.
    domain : str
        Its failure domain.
    address : str
        Its peer protocol, ``host:port``.
    incarnation : str
        Its present run.
    beat : int
        Its heartbeat counter, rising by one each gossip period.
    heard : int
        When the counter last rose here, in ms of the monotonic clock.
    offset : int
        The first record of the configuration stream that it has not folded.
    witnessed : int
        The latest send time of an exchange that it answered as a witness, directly or
        through a peer, in ms of the monotonic clock; -1 for none.
    answered : int
        The latest send time of an exchange that it answered to this box itself, witness
        or not; -1 for none.
    stopping : bool
        Whether it takes no new work.
    """

    box: BoxId
    domain: DomainId
    address: str
    incarnation: Incarnation
    beat: int = 0
    heard: Millis = Millis(0)
    offset: Offset = Offset(0)
    witnessed: Millis = Millis(-1)
    answered: Millis = Millis(-1)
    stopping: bool = False


class Members(msgspec.Struct):
    """All peers known, by box; this box is not among them.

    Attributes
    ----------
    rows : dict
        The peers.
    listed : frozenset of str
        The router boxes on the platform's list, this one included.
    """

    rows: dict[BoxId, MemberRow] = {}
    listed: frozenset[BoxId] = frozenset()
