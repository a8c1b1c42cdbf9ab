"""The platform's names, decoded once into the product's types.

Header names, topics and bodies stand here alone, but for the bodies of the operators'
configuration, which stand in `catalogs`. Where the wire's name misleads, the
comment says what the field holds.
"""

import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from ..addresses import MAX_PORT
from ..addresses import is_address
from ..ids import DomainId
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..quantities import Epoch
from ..quantities import Position
from ..quantities import Revision
from ..quantities import Slots
from ..quantities import WallMs
from ..quantities import Whole
from ..settings import Address
from ..tables.rollouts import Finding
from ..tables.rollouts import RecordedSuspicion
from ..tables.rollouts import Verdict
from ..tables.worker_list import ListedWorker
from ..tables.workers import WorkerRow

OPERATORS_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
BOXES_TOPIC = "keyed.boxes"
"""The system's own: where each box tells its peers' address under its name."""

KEPT_BACK_TOPIC = "keyed.kept-back"
"""The system's own: contents that are kept back, by fingerprint."""

CATALOG_KEY = "config"
ROLLOUT_PREFIX = "rollout/"
EVACUATION_PREFIX = "evacuate/"
"""Before the name of a failure domain whose workers get nothing."""

RELEASE_PREFIX = "release/"
"""Before the fingerprint of a content that an operator lets go."""

REQUEST_ID = "Attempt-Id"
"""Id of one try of a caller; the same on every send of the system for it."""

DEADLINE = "Deadline-Ms"
CREDENTIAL = "Credential"
ORGANISATION = "Tenant"
WORKER_ID = "Expect-Instance"
URGENCY = "Request-Priority"
MODEL = "Model"
TOKENS = "Token-Counts"
PROMPT_PARTS = "Prompt-Prefix"
SESSION = "Session"
LAST_EVENT = "Last-Event-Id"
SEAL = "Response-Seal"
NOT_RUN = "Not-Executed"
"""That the worker did not run the request."""

RUN_STATUSES = frozenset({500, 504})
"""Statuses of a worker's failure that count as run."""

DENIALS = frozenset({"", "0", "no", "false"})
"""Values of that header, in lower case, which deny what its name says."""

LOAD = "Instance-Load"
SURENESS = "Confidence"
RETRY_AFTER = "Retry-After"
RATE_LIMIT = "Server-Limit"
"""Requests a second that a worker takes from all boxes together, in its answers."""

BRITTLE = "Server-Brittle"
"""That a worker falls over if it has to turn away more requests a second than this."""

LEAVING = "Server-Leaving"
"""That a worker leaves, in all its answers from then on."""

ERA = "Store-Era"
"""How often the store came back from a copy, in each of its answers."""

READ_HEADERS = (
    "Host",
    REQUEST_ID,
    DEADLINE,
    CREDENTIAL,
    MODEL,
    TOKENS,
    PROMPT_PARTS,
    SESSION,
    LAST_EVENT,
)
"""Headers of a caller's request that the system reads."""

SYSTEM_HEADERS = frozenset(
    {
        "credential",
        "deadline-ms",
        "tenant",
        "expect-instance",
        "expect-version",
        "request-priority",
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        "kv-fetch",
        "last-event-id",
        "model",
    }
)
"""Request headers that the system sets itself, whatever a caller sent."""

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
"""Headers that concern one connection alone."""

NEEDED_HEADERS = frozenset(
    {"host", "attempt-id", "session", "token-counts", "prompt-prefix"}
)
"""Headers, in lower case, that reach the worker even if `Connection` names them: what a
request is and whom it is for does not depend on one connection."""

CONTENT_HEADERS = "content-"
"""How the names of headers begin that tell what the body is, in lower case; the same
holds for them."""

ANY_MODEL = "*"


_VERDICTS = {verdict.value: verdict for verdict in Verdict}


MOST_S = 31_536_000.0
"""Longest time that an operator's record may tell, in s: a year."""

Seconds = t.Annotated[float, msgspec.Meta(ge=0.0, le=MOST_S)]
"""A time in an operator's record."""


class Wire(msgspec.Struct, frozen=True, rename="pascal"):
    """A body with the wire's spelling of names; unknown members are ignored."""


class _Server(Wire, frozen=True, rename="pascal"):
    # The service that it works for.
    backend: str
    address: Address
    zone: str
    # Of its software or weights: what roll-outs move.
    version: str
    slots: Slots
    state: t.Literal["ready", "draining"]
    # How much longer it is slow from its start, in ms, as it was when it wrote this.
    cold_remaining_ms: t.Any = None
    # When this life of the worker began; the id alone may come again. Not told by all.
    born: WallMs = msgspec.field(default=0, name="born")


class RolloutOrder(Wire, frozen=True, rename="pascal"):
    """An operator's order to move a service to a version."""

    backend: str
    target_version: str
    duration_s: Seconds = 10.0


class Suspected(Wire, frozen=True, rename="pascal"):
    """How far answers speak against a version, for boxes that start midway."""

    route: str
    finding: str
    log_evidence: t.Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
    # Seconds of the order's age up to which answers were counted.
    epoch: Epoch


class RolloutStatus(Wire, frozen=True, rename="pascal"):
    """How far a roll-out is, as the system tells the operator.

    ``order``, ``began`` (ms of the time of day), ``barred`` (versions that were taken
    back before) and ``against`` are the system's own additions: with them a box that
    starts midway goes on where the others are.
    """

    backend: str
    target_version: str
    state: str
    order: Position = -1
    began: WallMs = 0
    barred: tuple[str, ...] = ()
    against: Suspected | None = None


class Release(Wire, frozen=True, rename="pascal"):
    """An operator's word that a content may be sent again.

    ``at`` is when that was said, in ms of the time of day: what ends workers later
    counts again.
    """

    at: WallMs


class KeptBack(Wire, frozen=True, rename="pascal"):
    """A content or prompt part that is kept back, as the system records it.

    ``ends`` are the lives of workers that ended under it, ``ended`` when the last one
    did, in ms of the time of day, ``found_by`` the box that found it, ``position`` the
    index of a part in its prompt (-1: a content).
    """

    backend: str
    versions: tuple[str, ...]
    ends: tuple[str, ...]
    found_by: str
    ended: WallMs
    position: Whole = -1


class StoreItem(Wire, frozen=True, rename="pascal"):
    """The newest record of one key, as the store tells it."""

    # The key; no file is meant.
    key_file: str
    # Base64 on the wire.
    value: bytes = b""
    offset: Revision = 0


class NewestPage(Wire, frozen=True, rename="pascal"):
    """A page of the newest records of a topic."""

    items: tuple[StoreItem, ...] = ()
    more_pages: bool = False
    end: Revision = 0


class Appended(Wire, frozen=True, rename="pascal"):
    """Where appended records stand."""

    offset: Revision
    end: Revision


COLD_MOST_MS = 600_000
"""Longest time that a worker may say it is slow for, in ms: ten minutes are longer than
any model takes to load."""

FLAW_SHOWN = 60
"""Characters of what can't be used that a log line or a refusal shows at most."""

T = t.TypeVar("T")


def decode(raw: bytes, kind: type[T]) -> Result[T, str]:
    """Decode a body; the error names the field and what is allowed."""
    try:
        return Ok(msgspec.json.decode(raw, type=kind))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Err(str(exc))


def decode_worker(key: str, raw: bytes) -> Result[ListedWorker, str]:
    """Decode a backend server's entry; its key is its id.

    What lacks a field, or has one of another type or an unknown state, is another
    writer's and names no worker.
    """
    decoded = decode(raw, _Server)
    if isinstance(decoded, Err):
        return decoded
    server = decoded.ok_value
    if not is_address(server.address):
        return Err(f"Address is {server.address!r}; IP:PORT up to {MAX_PORT} is due")
    row = WorkerRow(
        name=WorkerId(key),
        address=server.address,
        service=ServiceId(server.backend),
        domain=DomainId(server.zone),
        versions=frozenset({VersionId(server.version)}),
        slots=server.slots,
        born=Millis(server.born),
    )
    flaw = _cold_flaw(server.cold_remaining_ms)
    return Ok(
        ListedWorker(
            row,
            draining=server.state == "draining",
            cold_ms=None if flaw else server.cold_remaining_ms,
            problem=flaw,
        )
    )


def _cold_flaw(found: t.Any) -> str:
    """Return why a time for which a worker is slow can't be used; empty if it can."""
    if found is None:
        return ""
    whole = isinstance(found, int) and not isinstance(found, bool)
    if whole and 0 <= found <= COLD_MOST_MS:
        return ""
    return f"ColdRemainingMs is {found!r}; a whole number up to {COLD_MOST_MS} is due"


_FINDINGS = {finding.value: finding for finding in Finding}


def decode_against(found: Suspected | None) -> RecordedSuspicion | None:
    """Return a recorded suspicion; one of a kind not known here is none."""
    finding = _FINDINGS.get(found.finding) if found is not None else None
    if found is None or finding is None:
        return None
    return RecordedSuspicion(found.route, finding, found.log_evidence, found.epoch)


def encode_against(known: RecordedSuspicion | None) -> Suspected | None:
    """Return a suspicion as it is recorded."""
    if known is None:
        return None
    finding = known.finding.value
    return Suspected(known.route, finding, known.log_evidence, known.epoch)


def decode_verdict(word: str) -> Verdict:
    """Return what a status says; a word not known counts as running."""
    return _VERDICTS.get(word, Verdict.RUNNING)
