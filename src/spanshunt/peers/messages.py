"""Messages between daemons.

Fields that a newer version adds are passed over by an older one; fields are never
removed or given a new meaning.
"""

import enum

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Incarnation
from ..ids import Millis
from ..ids import Offset
from ..ids import RequestId
from ..ids import RolloutId
from ..ids import VersionId
from ..ids import WorkerId
from ..records import BillEntry
from ..records import LogRecord
from ..records import Snapshot
from ..records import Stream
from ..tables.claims import CallAnswer
from ..tables.claims import CallState
from ..tables.evidence import EpochCounts
from ..tables.usage import UsageRow


class MemberDigest(msgspec.Struct, frozen=True, array_like=True):
    """What a box knows of one box.

    Attributes
    ----------
    box, domain, address, incarnation, beat, offset, stopping
        As in :class:`~spanshunt.tables.members.MemberRow`.
    witness_age : int
        How long ago an exchange was begun that this box answered, in ms; -1 never.
    """

    box: BoxId
    domain: DomainId
    address: str
    incarnation: Incarnation
    beat: int
    offset: Offset
    stopping: bool
    witness_age: Millis


class Suspension(msgspec.Struct, frozen=True, array_like=True):
    """A version that a box stopped using before the log could say so.

    Attributes
    ----------
    version, rollout : str
        The version and the roll-out whose guard rails were broken.
    stage : int
        The stage that it was judged in.
    reason : str
        For people.
    age : int
        How long ago it was judged, in ms.
    """

    version: VersionId
    rollout: RolloutId
    stage: int
    reason: str
    age: Millis


class Exchange(msgspec.Struct, frozen=True):
    """What a box tells another, in the request and in the answer.

    Attributes
    ----------
    sender : MemberDigest
        The box itself.
    members : tuple
        Others that it knows.
    leaving : tuple
        Workers that evidence says leave.
    evidence : tuple
        Counts that are news to the other.
    usage : tuple
        What organisations use here.
    suspended : tuple
        Versions not to be used.
    fresh_age : int
        How old the sender's configuration may be, in ms; -1 unknown.
    witness : bool
        Whether the sender holds all that any run of it ever said it holds.
    """

    sender: MemberDigest
    members: tuple[MemberDigest, ...] = ()
    leaving: tuple[WorkerId, ...] = ()
    evidence: tuple[EpochCounts, ...] = ()
    usage: tuple[UsageRow, ...] = ()
    suspended: tuple[Suspension, ...] = ()
    fresh_age: Millis = Millis(-1)
    witness: bool = False


class ExchangeAnswer(msgspec.Struct, frozen=True):
    """The answer to an exchange.

    Attributes
    ----------
    told : Exchange
        What the other box tells.
    records : tuple
        Configuration records from the asker's offset on.
    snapshot : Snapshot or None
        Instead, when the records are no longer held.
    """

    told: Exchange
    records: tuple[LogRecord, ...] = ()
    snapshot: Snapshot | None = None


class CopyBills(msgspec.Struct, frozen=True):
    """Hold copies of the sender's bills.

    Attributes
    ----------
    owner : str
        The incarnation whose journal it is.
    entries : tuple
        The bills.
    settled : int
        All seqs below this one are on the log.
    """

    owner: Incarnation
    entries: tuple[BillEntry, ...]
    settled: int


class Copied(msgspec.Struct, frozen=True):
    """Answer to :class:`CopyBills`: whether the copies are held."""

    held: bool


class AskCall(msgspec.Struct, frozen=True):
    """Ask the holder of a claim how far its call got."""

    request: RequestId
    holder: Incarnation


class CallStatus(msgspec.Struct, frozen=True):
    """Answer to :class:`AskCall`; no state if the holder is another run by now."""

    state: CallState | None = None
    answer: CallAnswer | None = None


class Pin(msgspec.Struct, frozen=True):
    """A session's version, kept at the boxes that the session's hash names.

    Attributes
    ----------
    key : str
        Digest of organisation, session and what was asked for.
    version : str
        The version; empty to ask for it.
    """

    key: str
    version: VersionId = VersionId("")


class Gather(msgspec.Struct, frozen=True):
    """Append a part of a batch: one record of a stream, to be merged with others'."""

    stream: Stream
    record: bytes


class GatherState(enum.Enum):
    """What became of a part."""

    APPENDED = "appended"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class Gathered(msgspec.Struct, frozen=True):
    """Answer to :class:`Gather`; the offset is that of the record with the part."""

    state: GatherState
    offset: Offset = Offset(-1)
