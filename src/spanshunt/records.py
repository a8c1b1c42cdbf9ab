"""Records of the platform's log, one tagged type each.

A record of a kind that this version does not know is skipped and counted; it neither
stops nor forks the fold, since every box of this version skips the same ones.
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
    """The streams that the program keeps on the log."""

    CONFIG = "config"
    BILLS = "bills"
    CLAIMS = "claims"


class Verdict(enum.Enum):
    """What a roll-out step does."""

    ADVANCE = "advance"
    PULL_BACK = "pull_back"


class Confirm(msgspec.Struct, frozen=True, tag="confirm"):
    """An operator confirms a plan."""

    plan: PlanId
    changes: tuple[Change, ...]
    base: dict[ObjectKey, int]
    operator: str
    at: Millis


class RolloutStep(msgspec.Struct, frozen=True, tag="rollout_step"):
    """A roll-out moves on, or back, inside its guard rails.

    It takes effect only when the roll-out is still in ``from_stage``, so that a step
    made twice, by whichever boxes, is made once.
    """

    rollout: RolloutId
    from_stage: int
    verdict: Verdict
    reason: str
    box: BoxId
    at: Millis


class Lease(msgspec.Struct, frozen=True, tag="lease"):
    """A box asks for a duty, or for more time with it."""

    duty: str
    holder: Incarnation
    duration: Millis
    at: Millis


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The configuration as folded up to, not including, ``config.next_offset``."""

    config: Config
    hash: str


class Usage(msgspec.Struct, frozen=True):
    """What one attempt of a request used.

    Attributes
    ----------
    version : str
        The version that ran, empty for a plain service.
    prompt_tokens, output_tokens : int
        Tokens read and generated.
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
        Its number in the journal of the box's incarnation, from 0 without gaps.
    request, org, service : str
        What is billed, and to whom.
    at : int
        Wall clock of the end of the answer, in ms.
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
        """The sum over the attempts, in millionths of the currency."""
        return Micros(sum(item.cost for item in self.usage))


class JournalPart(msgspec.Struct, frozen=True):
    """Entries of one incarnation's journal."""

    incarnation: Incarnation
    entries: tuple[BillEntry, ...]


class Bills(msgspec.Struct, frozen=True, tag="bills"):
    """Journal entries; each (incarnation, seq) counts once whoever appends it."""

    parts: tuple[JournalPart, ...]


class BillsSnapshot(msgspec.Struct, frozen=True, tag="bills_snapshot"):
    """The bills as folded up to, not including, ``fold.next_offset``."""

    fold: BillFold
    hash: str


class Claim(msgspec.Struct, frozen=True):
    """A box claims the right to run one keyed call.

    Attributes
    ----------
    key : str
        Digest of organisation, service and the caller's key.
    holder : str
        The incarnation that claims.
    request : str
        The request that would run.
    at : int
        Wall clock of the claim, in ms.
    """

    key: str
    holder: Incarnation
    request: RequestId
    at: Millis


class Release(msgspec.Struct, frozen=True):
    """A holder gives up a claim that it has not run and never will."""

    key: str
    request: RequestId


class Claims(msgspec.Struct, frozen=True, tag="claims"):
    """A batch of claims; for each key the first in log order wins.

    Releases are folded before the claims of the same record.
    """

    claims: tuple[Claim, ...]
    releases: tuple[Release, ...] = ()


Record = Confirm | RolloutStep | Lease | Snapshot | Bills | BillsSnapshot | Claims

_encoder = msgspec.json.Encoder(order="sorted")
_decoder = msgspec.json.Decoder(Record)


class UnknownRecord(msgspec.Struct, frozen=True):
    """A record that this version can't read, and why."""

    problem: str


class LogRecord(msgspec.Struct, frozen=True):
    """A record as it stands on the log.

    Attributes
    ----------
    offset : int
        Its place in the stream.
    at : int
        The log's own wall clock at the append, in ms; it never goes back in a stream.
    data : bytes
        The record's JSON.
    """

    offset: Offset
    at: Millis
    data: bytes


def encode_record(record: Record) -> bytes:
    """Encode `record` as canonical JSON."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Result[Record, UnknownRecord]:
    """Decode a record, or say why this version can't."""
    try:
        return Ok(_decoder.decode(data))
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as exc:
        return Err(UnknownRecord(str(exc)))
