"""Group membership: the other boxes that run the daemon, as this box knows them."""

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
        Name of the box.
    domain : str
        Its failure domain.
    address : str
        Address of its peer protocol, ``host:port``.
    incarnation : str
        Current run of its daemon.
    heartbeat : int
        Heartbeat counter of the box; it rises by one in each gossip period.
    heard : int
        When this box last saw the counter rise, in ms of the monotonic clock.
    offset : int
        Offset of the first configuration record that the peer has not folded.
    witnessed_at : int
        Send time of the latest exchange that the peer answered as a witness, directly
        or through another peer, in ms of the monotonic clock; -1 for none. At that time
        the peer had no configuration record that this box lacks now. If a majority of
        the listed boxes did so, the configuration of this box was current. See
        ``Exchange.witness``.
    answered_at : int
        Send time of the latest exchange with this box that the peer answered, as a
        witness or not, in ms of the monotonic clock; -1 for none.
    stopping : bool
        Whether the peer takes no new requests.
    """

    box: BoxId
    domain: DomainId
    address: str
    incarnation: Incarnation
    heartbeat: int = 0
    heard: Millis = Millis(0)
    offset: Offset = Offset(0)
    witnessed_at: Millis = Millis(-1)
    answered_at: Millis = Millis(-1)
    stopping: bool = False


class Members(msgspec.Struct):
    """All known peers, without this box.

    Attributes
    ----------
    rows : dict
        Peers by box.
    listed : frozenset of str
        Router boxes on the platform's list of boxes and workers, including this box.
    """

    rows: dict[BoxId, MemberRow] = {}
    listed: frozenset[BoxId] = frozenset()
