"""Backend servers as this box sees them."""

import enum

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import LifeId
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from .engines import KeptParts
from .notices import Grants
from .notices import Leaving
from .notices import RateLimit
from .notices import Rest
from .notices import Word


class WorkerState(enum.Enum):
    """Whether a worker gets new work."""

    LIVE = "live"
    LEAVING = "leaving"
    EJECTED = "ejected"


class WorkerRow(msgspec.Struct):
    """One backend server.

    Attributes
    ----------
    name : str
        ``host:port``, or the id of this run of the worker where it has one.
    address : str
        ``host:port``; empty where the name says it.
    service : str
        The service that it answers.
    domain : str
        Its failure domain.
    versions : frozenset of str
        Versions that it holds.
    state : WorkerState
        Whether it gets new work.
    inflight : int
        Requests of this box that it is answering: exact.
    reported : int
        Requests of all boxes, by its last report.
    inflight_at_report : int
        This box's own part of ``reported``.
    slots : int
        Answers that fit in its batch.
    reported_at : int
        When the last report came, in ms.
    failures : int
        Failures since the last success.
    back_at : int
        When an ejected worker may be tried again, in ms.
    ttft_ms : float
        Moving mean of the time to the first byte, in ms.
    token_ms : float
        Moving mean of the time between tokens, in ms.
    error_rate : float
        Moving mean of the share of answers that failed, in 0 to 1.
    queued : int
        Requests waiting at the worker, by its last report.
    reading_ms : float
        Time that it takes to read the prompts of this box's requests that wait for
        their first event there, in ms.
    told_ms : dict
        The same of other boxes' requests, by box, as they told it: time in ms, and when
        it was told.
    others_ms : float
        The same beyond what they told, as far as its answers' times tell, in ms.
    others_at : int
        When that was last told, in ms.
    kept : KeptParts
        Prompt parts that it probably keeps.
    listed_at : int
        When a list last held its entry, in ms.
    heard_at : int
        When the last byte came from it on any request, in ms.
    born : int
        When this life of it began, in ms since the Unix epoch by its own word; 0 where
        it says nothing.
    ended_at : int
        When this box found that it has ended, in ms; -1 while it has not.
    returns : int
        Times that it answered again after that, before its entry told of another life.
    cold_until : int
        Until when it is slow from its start, in ms.
    cold_listed : bool
        Whether the list said so when it was last taken in.
    cold_sent_at : int
        When this box last sent it a request while it was cold, in ms; -1 for never.
    limit : RateLimit or None
        Its newest word on the rate that it takes; None while it never named one.
    grants : Grants or None
        This box's part of that rate; None while there is no limit.
    words_from : int
        From when on words are of this life of it, in ms.
    leaving : Leaving or None
        Its word that it leaves; None while it did not say so.
    rest : Rest or None
        The longest rest that it asked this box for; None while it never did.
    drain_listed : bool
        Whether its entry in the list says so.
    odd_words : set of Word
        Words of it that could not be used.
    """

    name: WorkerId
    service: ServiceId
    domain: DomainId
    address: str = ""
    versions: frozenset[VersionId] = frozenset()
    state: WorkerState = WorkerState.LIVE
    inflight: int = 0
    reported: int = 0
    inflight_at_report: int = 0
    slots: int = 16
    reported_at: Millis = Millis(0)
    failures: int = 0
    back_at: Millis = Millis(0)
    ttft_ms: float = 0.0
    token_ms: float = 0.0
    error_rate: float = 0.0
    queued: int = 0
    reading_ms: float = 0.0
    told_ms: dict[BoxId, tuple[float, Millis]] = {}
    others_ms: float = 0.0
    others_at: Millis = Millis(0)
    kept: KeptParts = msgspec.field(default_factory=KeptParts)
    listed_at: Millis = Millis(0)
    heard_at: Millis = Millis(0)
    born: Millis = Millis(0)
    ended_at: Millis = Millis(-1)
    returns: int = 0
    cold_until: Millis = Millis(0)
    cold_listed: bool = False
    cold_sent_at: Millis = Millis(-1)
    limit: RateLimit | None = None
    grants: Grants | None = None
    words_from: Millis = Millis(0)
    leaving: Leaving | None = None
    rest: Rest | None = None
    drain_listed: bool = False
    odd_words: set[Word] = set()

    @property
    def has_words(self) -> bool:
        """Whether it said anything of itself that holds for its life."""
        return any((self.limit, self.leaving, self.rest))

    @property
    def life(self) -> LifeId:
        """Which life of the worker this is; an id may come again with a later start."""
        began = f"/{self.born}" if self.born else ""
        again = f"+{self.returns}" if self.returns else ""
        return LifeId(f"{self.name}{began}{again}")


class Workers(msgspec.Struct):
    """All workers.

    Attributes
    ----------
    rows : dict
        By name.
    leaving : set
        Those that any evidence says leave.
    ejected : set
        Those that failed too often.
    index : dict
        Workers by service, and by service and version; see :meth:`able`.
    former : dict
        Rows that went with their entries and whose workers had said something of
        themselves, the oldest first.
    digest : int
        What the list says, as a number; 0 until it is worked out.
    """

    rows: dict[WorkerId, WorkerRow] = {}
    leaving: set[WorkerId] = set()
    ejected: set[WorkerId] = set()
    former: dict[WorkerId, WorkerRow] = {}
    index: dict[tuple[ServiceId, VersionId | None], list[WorkerRow]] = {}
    digest: int = 0

    def able(self, service: ServiceId, version: VersionId | None) -> list[WorkerRow]:
        """Return the workers of `service` that hold `version`, whatever their state."""
        if not self.index:
            for row in self.rows.values():
                self.index.setdefault((row.service, None), []).append(row)
                for held in row.versions:
                    self.index.setdefault((row.service, held), []).append(row)
        return self.index.get((service, version), [])

    def changed(self) -> None:
        """Note that workers came or went, or that what is known of them changed."""
        self.index.clear()
        self.digest = 0
