"""All tables of one ``spanshuntd``, the process in ``spanshunt.daemon``.

A box that runs ``spanshunt.platform.node`` holds a
:class:`~spanshunt.tables.fleet.Fleet` instead. No process has both.

All records come from the platform's log, in the streams that
:class:`~spanshunt.records.Stream` names. Folding is to apply the records of a stream to
the tables one after the other, in the order of the log. The function depends on nothing
but the records, so every box that folds the same records has the same tables.
"""

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
"""Number of configuration records kept to send to peers."""


class SuspendedRow(msgspec.Struct):
    """A version that this box does not use, although its withdrawal is not folded yet.

    A box suspends a version as soon as it decides to pull back its roll-out, and tells
    its peers. The record of that step then withdraws the version on every box.

    Attributes
    ----------
    rollout : str
        The roll-out whose guard rails were broken.
    stage : int
        The stage in which they were broken.
    reason : str
        Explanation for operators.
    since : int
        When the version was suspended, in ms of the monotonic clock.
    """

    rollout: RolloutId
    stage: int
    reason: str
    since: Millis


class State(msgspec.Struct):
    """All tables, and the few values that belong to none of them.

    It is the counterpart of :class:`~spanshunt.tables.fleet.Fleet`; see the module's
    text.

    Attributes
    ----------
    identity : Identity
        Identity of this daemon.
    recent_records : deque of LogRecord
        The configuration records that were folded last, for sending to peers.
    started : int
        When this run of the daemon began, in ms of the monotonic clock.
    fresh_at : int
        When the configuration was last known to be current, in ms; -1 for never. A read
        of the log up to its head, a peer that was fresh, or answers of a majority of
        the listed boxes proves it.
    heartbeat : int
        This box's heartbeat counter.
    stopping : bool
        Whether a planned stop is in progress.
    snapshot_offset : int
        ``next_offset`` of the newest snapshot seen on the log.
    evidence_sent : dict
        For each peer incarnation, the number of the first change of evidence that was
        not sent to it.
    """

    identity: Identity
    journal: Journal
    config: Config = msgspec.field(default_factory=Config)
    workers: Workers = msgspec.field(default_factory=Workers)
    evidence: Evidence = msgspec.field(default_factory=Evidence)
    claims: ClaimTable = msgspec.field(default_factory=ClaimTable)
    members: Members = msgspec.field(default_factory=Members)
    usage: Usage = msgspec.field(default_factory=Usage)
    pins: Pins = msgspec.field(default_factory=Pins)
    suspended: dict[VersionId, SuspendedRow] = {}
    recent_records: collections.deque[LogRecord] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=TAIL_RECORDS)
    )
    started: Millis = Millis(0)
    fresh_at: Millis = Millis(-1)
    heartbeat: int = 0
    stopping: bool = False
    snapshot_offset: Offset = Offset(0)
    evidence_sent: dict[Incarnation, int] = {}


def new_state(identity: Identity, now: Millis) -> State:
    """Return empty tables for a daemon that starts at `now`."""
    return State(identity=identity, journal=Journal(identity.incarnation), started=now)
