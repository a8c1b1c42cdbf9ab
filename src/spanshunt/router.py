"""The central object: settings, tables and the parts that requests go through."""

import asyncio
import random
import typing as t

import aiohttp
import msgspec

from .appender import Appender
from .backing.log import LogClient
from .backing.workers import WorkerClient
from .bill_keeper import BillKeeper
from .bill_reader import BillReader
from .claimer import Claimer
from .clock import Clock
from .exceptions import InvariantError
from .followers import ConfigFollower
from .gossiper import Gossiper
from .histograms import Histograms
from .ids import OrgId
from .ids import RequestId
from .ids import ServiceId
from .ids import VersionId
from .metrics import Metrics
from .peers.client import PeerClient
from .session_tokens import SessionSigner
from .settings import Settings
from .systems.freshness import is_fresh
from .systems.preferring import Preferences
from .systems.worker_choice import Picker
from .tables.config import OrgRow
from .tables.preferences import PreferenceCache
from .tables.state import State
from .tables.workers import WorkerState


class OperatorKey(msgspec.Struct, frozen=True):
    """An operator as known by the hash of the credential."""

    name: str
    role: str


class Router(msgspec.Struct):
    """What the caller and operator APIs work with; wired in ``daemon``.

    Attributes
    ----------
    settings : Settings
        The daemon's settings.
    clock : Clock
        The only source of time.
    rng : random.Random
        The only source of chance in decisions.
    state : State
        All tables.
    http : aiohttp.ClientSession
        To the platform's services and the workers' reports.
    workers : WorkerClient
        To workers, with callers' requests.
    appender, bills, bill_reader, claimer, follower, gossiper, peers, log
        The parts that keep what must last.
    signer : SessionSigner
        Signs session tokens and plans.
    histograms, metrics
        What is measured.
    picker : callable
        Chooses among workers.
    operators : dict
        Operators by the hash of their credential.
    stop : asyncio.Event
        Set to begin a planned stop.
    on_broken : callable
        Called when an invariant broke; it stops the process.
    preferences : PreferenceCache
        What was learned of versions, worked out in the last second.
    running : set
        Requests under way.
    """

    settings: Settings
    clock: Clock
    rng: random.Random
    state: State
    http: aiohttp.ClientSession
    workers: WorkerClient
    appender: Appender
    bills: BillKeeper
    bill_reader: BillReader
    claimer: Claimer
    follower: ConfigFollower
    gossiper: Gossiper
    peers: PeerClient
    log: LogClient
    signer: SessionSigner
    histograms: Histograms
    metrics: Metrics
    picker: Picker
    operators: dict[str, OperatorKey]
    stop: asyncio.Event
    on_broken: t.Callable[[InvariantError], None]
    preferences: Preferences = msgspec.field(default_factory=PreferenceCache)
    running: set[RequestId] = set()
    credentials: dict[str, OrgId] = {}
    credentials_at: int = -1

    def org_of(self, secret_hash: str) -> OrgRow | None:
        """Return the organisation whose credential has this hash."""
        config = self.state.config
        if self.credentials_at != config.next_offset:
            self.credentials = {
                known: OrgId(row.name)
                for row in config.orgs.values()
                for known in row.credentials
            }
            self.credentials_at = config.next_offset
        name = self.credentials.get(secret_hash)
        return config.orgs[name] if name is not None else None

    def why_not_ready(self) -> str:
        """Return why this box takes no new work, empty if it does."""
        timing = self.settings.timing
        if self.state.stopping:
            return "this box is stopping"
        if not is_fresh(self.state, self.clock.now(), timing.fresh_ms):
            return (
                "this box can't tell whether its configuration is at most "
                f"{timing.fresh_ms} ms old"
            )
        if not self.bills.can_take():
            return "bills can be kept neither by peers nor on the log"
        return ""

    def holds(self, service: ServiceId, version: VersionId) -> bool:
        """Tell whether a worker that takes new work holds a version."""
        if version in self.state.suspended:
            return False
        table = self.state.workers
        return any(
            row.name not in table.leaving and row.state is not WorkerState.LEAVING
            for row in table.find_capable(service, version)
        )

    def boxes(self) -> int:
        """Return how many boxes share the limits: the listed ones, at least 1."""
        known = len(self.state.members.listed) or len(self.state.members.rows) + 1
        return max(1, known)
