"""Records of the platform's log, one tagged type for each kind.

Each box folds a stream: it applies the records to its tables in the order of the log
and comes to the same tables as any other box. A record of an unknown kind is skipped
and counted. It neither stops the fold nor makes boxes diverge, since every box of this
version skips the same records.
"""

import enum

import msgspec
from result import Err
from result import Ok
from result import Result

from .changes import Change
from .ids import BoxId
from .ids import Incarnation
from .ids import Micros
from .ids import Millis
from .ids import ObjectKey
from .ids import Offset
from .ids import OrgId
from .ids import PlanId
from .ids import RequestId
from .ids import RolloutId
from .ids import ServiceId
from .ids import VersionId
from .tables.billing import BillFold
from .tables.config import Config


class Stream(enum.Enum):
    """The program's streams on the log."""

    CONFIG = "config"
    BILLS = "bills"
    CLAIMS = "claims"


class StepVerdict(enum.Enum):
    """The decision of a roll-out step: go to the next stage, or pull it back."""

    ADVANCE = "advance"
    PULL_BACK = "pull_back"


class Confirm(msgspec.Struct, frozen=True, tag="confirm"):
    """An operator confirms a plan, that is a set of changes to the configuration.

    Attributes
    ----------
    plan : str
        Digest of the changes and of ``base``.
    changes : tuple of Change
        The changes.
    base : dict
        Revision of each object that the plan reads or changes, when the plan was made;
        -1 if there was none. The plan is rejected if any of them has changed since.
    operator : str
        Name of the operator, for the audit trail.
    at : int
        Wall-clock time of the confirmation, in ms.
    """

    plan: PlanId
    changes: tuple[Change, ...]
    base: dict[ObjectKey, int]
    operator: str
    at: Millis


class RolloutStep(msgspec.Struct, frozen=True, tag="rollout_step"):
    """A roll-out advances or is pulled back within its guard rails.

    The step takes effect only while the roll-out is in ``from_stage``, so duplicates of
    a step from any boxes have no further effect.
    """

    rollout: RolloutId
    from_stage: int
    verdict: StepVerdict
    reason: str
    box: BoxId
    at: Millis


class Lease(msgspec.Struct, frozen=True, tag="lease"):
    """A box requests or renews the lease of a duty; no duty needs one at present."""

    duty: str
    holder: Incarnation
    duration: Millis
    at: Millis


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The configuration folded up to, but not including, ``config.next_offset``."""

    config: Config
    hash: str


class Usage(msgspec.Struct, frozen=True):
    """Resources used by one attempt of a request.

    The rates and the spending of organisations are in
    :class:`spanshunt.tables.usage.Usage`.

    Attributes
    ----------
    version : str
        The version that ran; empty for a plain service.
    prompt_tokens, output_tokens : int
        Tokens of the prompt and of the generated output.
    cost : int
        The price, in millionths of the currency.
    """

    version: VersionId
    prompt_tokens: int
    output_tokens: int
    cost: Micros


class BillEntry(msgspec.Struct, frozen=True):
    """The bill of one request.

    Attributes
    ----------
    seq : int
        Sequence number in the journal of the box's incarnation, from 0 without gaps.
    request, org, service : str
        The billed request, the organisation that pays, and the service.
    at : int
        Wall-clock time of the end of the answer, in ms.
    usage : tuple of Usage
        One item for each attempt that ran.
    """

    seq: int
    request: RequestId
    org: OrgId
    service: ServiceId
    at: Millis
    usage: tuple[Usage, ...]

    @property
    def cost(self) -> Micros:
        """Total cost of the attempts, in millionths of the currency."""
        return Micros(sum(item.cost for item in self.usage))


class JournalPart(msgspec.Struct, frozen=True):
    """Entries of one incarnation's journal."""

    incarnation: Incarnation
    entries: tuple[BillEntry, ...]


class Bills(msgspec.Struct, frozen=True, tag="bills"):
    """Journal entries; each (incarnation, seq) counts once, whichever box adds it."""

    parts: tuple[JournalPart, ...]


class BillsSnapshot(msgspec.Struct, frozen=True, tag="bills_snapshot"):
    """The bills folded up to, but not including, ``fold.next_offset``."""

    fold: BillFold
    hash: str


class Claim(msgspec.Struct, frozen=True):
    """A box claims the right to run one keyed call, a request with a caller's key.

    Attributes
    ----------
    key : str
        Digest of the organisation, the service and the caller's key.
    holder : str
        The incarnation that claims the key.
    request : str
        The request that is to run.
    at : int
        Wall-clock time of the claim, in ms.
    """

    key: str
    holder: Incarnation
    request: RequestId
    at: Millis


class Release(msgspec.Struct, frozen=True):
    """A holder releases a claim whose call it did not run and never will."""

    key: str
    request: RequestId


class Claims(msgspec.Struct, frozen=True, tag="claims"):
    """A batch of claims; the first claim of a key in log order wins.

    Releases are folded before the claims of the same record.
    """

    claims: tuple[Claim, ...]
    releases: tuple[Release, ...] = ()


Record = Confirm | RolloutStep | Lease | Snapshot | Bills | BillsSnapshot | Claims

_encoder = msgspec.json.Encoder(order="sorted")
_decoder = msgspec.json.Decoder(Record)


class UnknownRecord(msgspec.Struct, frozen=True):
    """A record that this version cannot decode, and the reason."""

    problem: str


class LogRecord(msgspec.Struct, frozen=True):
    """A record as stored on the log.

    Attributes
    ----------
    offset : int
        Offset of the record in its stream.
    at : int
        The log's own wall-clock time at the append, in ms; it never decreases in a
        stream.
    data : bytes
        The record, encoded as JSON.
    """

    offset: Offset
    at: Millis
    data: bytes


def encode_record(record: Record) -> bytes:
    """Encode `record` as canonical JSON."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Result[Record, UnknownRecord]:
    """Decode a record, or return why this version cannot decode it."""
    try:
        return Ok(_decoder.decode(data))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Err(UnknownRecord(str(exc)))
