"""Backend servers, as this box sees them."""

import enum

import msgspec

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..ids import WorkerIncarnation
from .engines import PromptCache
from .notices import LeavingNotice
from .notices import NoticeKind
from .notices import RateLimit
from .notices import RateLimiter
from .notices import RestPeriod
from .speeds import WorkerSpeed


class WorkerState(enum.Enum):
    """Whether a worker gets new requests.

    ``EJECTED`` is set in ``spanshuntd`` only. Boxes with a catalog go by
    ``WorkerRow.ejected_until`` alone.
    """

    LIVE = "live"
    LEAVING = "leaving"
    EJECTED = "ejected"


class WorkerRow(msgspec.Struct):
    """One backend server.

    Attributes
    ----------
    name : str
        ``host:port`` in ``spanshuntd``; else the id under which the worker is listed.
    address : str
        ``host:port``; empty if the name is the address.
    service : str
        The service whose requests the worker answers.
    domain : str
        Its failure domain.
    versions : frozenset of str
        Versions that the worker has loaded.
    state : WorkerState
        Whether the worker gets new requests. A worker that is ``LEAVING`` here or in
        ``Workers.leaving`` gets none.
    inflight : int
        Exact number of requests of this box that the worker is answering.
    reported : int
        Requests of all boxes in progress, by the worker's last report.
    own_inflight_at_report : int
        Requests of this box in progress at the time of that report.
    slots : int
        Number of answers that fit in the worker's batch.
    reported_at : int
        When the last report came, in ms.
    others, others_at : int
        Requests of other boxes in progress by the worker's reports, and when the report
        came, in ms; see :func:`~spanshunt.systems.worker_health.record_others`.
    failures : int
        Consecutive failures since the last success.
    failed_at : int
        When a failure to reach the worker was last counted, in ms; -1 for never.
    ejected_until : int
        Until when the worker is ejected, in ms. An ejected worker gets requests only if
        no other worker is left.
    ttft_ms : float
        Moving mean of the time to the first byte of answers, in ms; in ``spanshuntd``
        to the first token.
    token_ms : float
        Moving mean of the time between tokens, in ms.
    error_rate : float
        Moving mean of the share of answers that failed, in 0 to 1.
    queued : int
        Requests waiting at the worker, by its last report.
    prefill_ms : float
        Prefill time of this box's requests that wait for their first event there, in
        ms.
    peer_prefill_ms : dict
        The same for the requests of other boxes, as they report it: by box, the time in
        ms and when it was reported.
    unreported_prefill_ms : float
        Further prefill time of other boxes that they did not report, in ms; estimated
        from the times of answers.
    unreported_prefill_at : int
        When that was last estimated, in ms.
    kept : PromptCache
        Prompt parts that the engine probably has cached.
    listed_at : int
        When a list last contained the worker, in ms.
    last_byte_at : int
        When the last byte arrived from the worker, on any request, in ms.
    born : int
        When this run of the worker began, in ms since the Unix epoch, as the worker
        reports; 0 if it does not.
    ended_at : int
        When this box found that the worker ended, in ms; -1 while it runs. A worker
        that answers after that counts as a new run.
    return_count : int
        How often the worker answered again after this box had found that it ended. The
        list need not show a restart, so each time counts as a new run here.
    cold_until : int
        Until when the worker is cold after its start, in ms.
    listed_cold : bool
        Whether the newest list says that the worker is cold.
    cold_sent_at : int
        When this box last sent a request to the cold worker, in ms; -1 for never.
    limit : RateLimit or None
        The newest rate limit that the worker announced; None if it never named one.
    rate_limiter : RateLimiter or None
        Limiter of this box's share of that rate; None without a limit.
    brittle : RateLimit or None
        The newest notice that the worker is brittle, with the rate of rejections that
        it tolerates; None if it never said so.
    try_limiter : RateLimiter or None
        Limiter of this box's requests beyond its places at a brittle worker.
    notices_since : int
        Notices that arrived before this time are of an earlier run, in ms.
    leaving : LeavingNotice or None
        The worker's own notice that it leaves, one cause of leaving; None without one.
    rest : RestPeriod or None
        The longest rest that the worker asked this box for; None for none.
    listed_leaving : bool
        Whether its entry in the list says that the worker leaves, another cause.
    invalid_notices : set of NoticeKind
        Kinds of invalid notices that were logged for the worker.
    speed : WorkerSpeed
        How fast this run of the worker is.
    upload_bytes : int
        Bytes of the bodies that this box is sending to the worker: those of requests
        whose answer has not begun.
    """

    name: WorkerId
    service: ServiceId
    domain: DomainId
    address: str = ""
    versions: frozenset[VersionId] = frozenset()
    state: WorkerState = WorkerState.LIVE
    inflight: int = 0
    reported: int = 0
    own_inflight_at_report: int = 0
    slots: int = 16
    reported_at: Millis = Millis(0)
    others: int = 0
    others_at: Millis = Millis(-1)
    failures: int = 0
    failed_at: Millis = Millis(-1)
    ejected_until: Millis = Millis(0)
    ttft_ms: float = 0.0
    token_ms: float = 0.0
    error_rate: float = 0.0
    queued: int = 0
    prefill_ms: float = 0.0
    peer_prefill_ms: dict[BoxId, tuple[float, Millis]] = {}
    unreported_prefill_ms: float = 0.0
    unreported_prefill_at: Millis = Millis(0)
    kept: PromptCache = msgspec.field(default_factory=PromptCache)
    listed_at: Millis = Millis(0)
    last_byte_at: Millis = Millis(0)
    born: Millis = Millis(0)
    ended_at: Millis = Millis(-1)
    return_count: int = 0
    cold_until: Millis = Millis(0)
    listed_cold: bool = False
    cold_sent_at: Millis = Millis(-1)
    limit: RateLimit | None = None
    rate_limiter: RateLimiter | None = None
    brittle: RateLimit | None = None
    try_limiter: RateLimiter | None = None
    notices_since: Millis = Millis(0)
    leaving: LeavingNotice | None = None
    rest: RestPeriod | None = None
    listed_leaving: bool = False
    invalid_notices: set[NoticeKind] = set()
    speed: WorkerSpeed = msgspec.field(default_factory=WorkerSpeed)
    upload_bytes: int = 0

    @property
    def has_notices(self) -> bool:
        """Whether the worker sent any notice that holds for its run."""
        return any((self.limit, self.leaving, self.rest, self.brittle))

    @property
    def incarnation(self) -> WorkerIncarnation:
        """Identifies this run of the worker, as a name may be reused by a later run.

        It is the name, with the start time of the run if the worker reports one and the
        number of returns if there were any.
        """
        start_suffix = f"/{self.born}" if self.born else ""
        return_suffix = f"+{self.return_count}" if self.return_count else ""
        return WorkerIncarnation(f"{self.name}{start_suffix}{return_suffix}")


ServiceVersion = tuple[ServiceId, VersionId]
"""A version of a service."""


class Workers(msgspec.Struct):
    """All known workers.

    Attributes
    ----------
    rows : dict
        Workers by name.
    leaving : set
        Workers that are leaving by any evidence, such as a notice, a list entry or the
        report of a peer; they get no new requests.
    ejected : set
        Workers that may be in the state ``EJECTED``, to find those whose ejection is
        over; used in ``spanshuntd`` only.
    index : dict
        Workers by service and version, and by service with version None; see
        :meth:`find_capable`.
    former : dict
        Rows of workers that left the list after they had sent notices, oldest first.
    digest : int
        Hash of the contents of the list; 0 if it is not computed yet.
    """

    rows: dict[WorkerId, WorkerRow] = {}
    leaving: set[WorkerId] = set()
    ejected: set[WorkerId] = set()
    former: dict[WorkerId, WorkerRow] = {}
    index: dict[tuple[ServiceId, VersionId | None], list[WorkerRow]] = {}
    digest: int = 0

    def find_capable(
        self, service: ServiceId, version: VersionId | None
    ) -> list[WorkerRow]:
        """Return the workers of `service` with `version` loaded, in any state."""
        self._build_index()
        return self.index.get((service, version), [])

    def known_versions(self) -> frozenset[ServiceVersion]:
        """Return the versions that any worker has loaded, with their services."""
        self._build_index()
        return frozenset(
            (service, version) for service, version in self.index if version is not None
        )

    def _build_index(self) -> None:
        if self.index:
            return
        for row in self.rows.values():
            self.index.setdefault((row.service, None), []).append(row)
            for held in row.versions:
                self.index.setdefault((row.service, held), []).append(row)

    def invalidate_index(self) -> None:
        """Invalidate the index and the digest after a change to the workers."""
        self.index.clear()
        self.digest = 0
