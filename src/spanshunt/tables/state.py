"""All tables of one daemon together."""

import collections

import msgspec

from ..ids import Incarnation
from ..ids import Millis
from ..ids import Offset
from ..ids import RolloutId
from ..ids import VersionId
from ..records import LogRecord
from .claims import ClaimTable
from .config import Config
from .evidence import Evidence
from .identity import Identity
from .journal import Journal
from .members import Members
from .sessions import Pins
from .usage import Usage
from .workers import Workers

TAIL_RECORDS = 2_000
"""Configuration records kept to give to peers."""


class SuspendedRow(msgspec.Struct):
    """A version that is not used although the log does not say so yet.

    Attributes
    ----------
    rollout : str
        The roll-out whose guard rails were broken.
    stage : int
        The stage that it was judged in.
    reason : str
        For people.
    since : int
        When it was judged, in ms of the monotonic clock.
    """

    rollout: RolloutId
    stage: int
    reason: str
    since: Millis


class State(msgspec.Struct):
    """All tables, and the few counters that belong to none of them.

    Attributes
    ----------
    me : Identity
        Who this daemon is.
    tail : deque of LogRecord
        The last configuration records folded.
    started : int
        When this run of the daemon began, in ms of the monotonic clock.
    fresh_at : int
        When the configuration was last proved fresh, in ms; -1 never.
    beat : int
        Own heartbeat counter.
    stopping : bool
        Whether a planned stop is under way.
    snapshot_at : int
        ``next_offset`` of the newest snapshot seen on the log.
    sent_to : dict
        For each peer incarnation, the ticket up to which evidence was sent to it.
    """

    me: Identity
    journal: Journal
    config: Config = msgspec.field(default_factory=Config)
    workers: Workers = msgspec.field(default_factory=Workers)
    evidence: Evidence = msgspec.field(default_factory=Evidence)
    claims: ClaimTable = msgspec.field(default_factory=ClaimTable)
    members: Members = msgspec.field(default_factory=Members)
    usage: Usage = msgspec.field(default_factory=Usage)
    pins: Pins = msgspec.field(default_factory=Pins)
    suspended: dict[VersionId, SuspendedRow] = {}
    tail: collections.deque[LogRecord] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=TAIL_RECORDS)
    )
    started: Millis = Millis(0)
    fresh_at: Millis = Millis(-1)
    beat: int = 0
    stopping: bool = False
    snapshot_at: Offset = Offset(0)
    sent_to: dict[Incarnation, int] = {}


def new_state(me: Identity, now: Millis) -> State:
    """Return the empty tables of a daemon that starts at `now`."""
    return State(me=me, journal=Journal(me.incarnation), started=now)
