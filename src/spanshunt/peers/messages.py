"""Messages between daemons.

An older version ignores fields that a newer one adds. Fields are never removed and
their meaning never changes.
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
    """What one box knows about another box.

    Attributes
    ----------
    box, domain, address, incarnation, heartbeat, offset, stopping
        As in :class:`~spanshunt.tables.members.MemberRow`.
    witness_age : int
        Time since the start of the last exchange that the box answered as a witness, in
        ms; -1 for never.
    """

    box: BoxId
    domain: DomainId
    address: str
    incarnation: Incarnation
    heartbeat: int
    offset: Offset
    stopping: bool
    witness_age: Millis


class Suspension(msgspec.Struct, frozen=True, array_like=True):
    """A version that a box suspended, before the record that withdraws it is folded.

    The receiver keeps it as a :class:`~spanshunt.tables.state.SuspendedRow`.

    Attributes
    ----------
    version, rollout : str
        The version and the roll-out whose guard rails were broken.
    stage : int
        The stage in which they were broken.
    reason : str
        Explanation for operators.
    age : int
        How long ago the version was suspended, in ms.
    """

    version: VersionId
    rollout: RolloutId
    stage: int
    reason: str
    age: Millis


class Exchange(msgspec.Struct, frozen=True):
    """State that a box sends to another one, in the request and in the answer.

    Attributes
    ----------
    sender : MemberDigest
        The sending box.
    members : tuple
        Other boxes that the sender knows.
    leaving : tuple
        Workers that are leaving, by any evidence.
    evidence : tuple
        Counts that the receiver does not have yet.
    usage : tuple
        Usage of organisations at the sender.
    suspended : tuple
        Versions that must not be used.
    fresh_age : int
        Upper bound of the age of the sender's configuration, in ms; -1 for unknown.
    witness : bool
        Whether the sender has every record that any of its runs ever reported to have,
        so that its answer counts towards the majority that proves a configuration
        current. Boxes keep nothing on disk: a restarted one lacks what its earlier run
        had, and is no witness until it is known to be current for a time shortly after
        its start.
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
        State of the answering box.
    records : tuple
        Configuration records from the offset on that the asking box sent in its
        ``sender``.
    snapshot : Snapshot or None
        Sent instead of records that are no longer held.
    """

    told: Exchange
    records: tuple[LogRecord, ...] = ()
    snapshot: Snapshot | None = None


class CopyBillsRequest(msgspec.Struct, frozen=True):
    """Request to hold copies of the sender's bills.

    Attributes
    ----------
    owner : str
        The incarnation that owns the journal.
    entries : tuple
        The bills.
    settled : int
        All entries with sequence numbers below this one are on the log.
    """

    owner: Incarnation
    entries: tuple[BillEntry, ...]
    settled: int


class CopyBillsReply(msgspec.Struct, frozen=True):
    """Answer to :class:`CopyBillsRequest`: whether the copies are held."""

    held: bool


class CallStatusRequest(msgspec.Struct, frozen=True):
    """Request for the state of a keyed call, sent to the holder of its claim."""

    request: RequestId
    holder: Incarnation


class CallStatusReply(msgspec.Struct, frozen=True):
    """Answer to :class:`CallStatusRequest`; no state if the holder restarted."""

    state: CallState | None = None
    answer: CallAnswer | None = None


class Pin(msgspec.Struct, frozen=True):
    """The pinned version of a session, stored at the boxes that its hash selects.

    It is the request and the answer of two calls. To read a pin, a box sends the key
    alone, and the answer has the version, or none if it is unknown. To store a pin, it
    sends both, and the answer repeats them.

    Attributes
    ----------
    key : str
        Digest of the organisation, the session and the requested name.
    version : str
        The version; empty to read it, and in the answer if it is unknown.
    """

    key: str
    version: VersionId = VersionId("")


class AppendPartRequest(msgspec.Struct, frozen=True):
    """Request to append one record of a stream as part of a batch with other boxes'."""

    stream: Stream
    record: bytes


class AppendPartState(enum.Enum):
    """Result of appending a part of a batch."""

    APPENDED = "appended"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class AppendPartReply(msgspec.Struct, frozen=True):
    """Answer to :class:`AppendPartRequest`, with the offset of the appended record."""

    state: AppendPartState
    offset: Offset = Offset(-1)
