"""What boxes tell each other on the platform: the newest of all that they follow.

A box that the store turns away learns from its peers what the store gave them. Each
takes in only what is newer than its own, by version, offset or order.
"""

import typing as t

import msgspec
from grpclib.const import Handler
from result import Result

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Fingerprint
from ..ids import Incarnation
from ..ids import ModelId
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerId
from ..ids import WorkerIncarnation
from .talks import Talks
from .talks import talk_handler
from .unary import Channels
from .unary import PeerFault
from .unary import unary_handler

PATH = "/spanshunt.News/Exchange"
CATALOG_PATH = "/spanshunt.News/Catalog"


class TallyNews(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one version on one route in one epoch, as the teller counted them."""

    route: str
    entering: bool
    epoch: int
    answers: int
    failed: int
    slow: int
    timed: int = 0


class WorkerTallyNews(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one life of a worker since the order, as the teller counted them."""

    worker: WorkerIncarnation
    entering: bool
    answers: int
    failed: int
    slow: int
    timed: int


class TallyGroup(msgspec.Struct, frozen=True, array_like=True):
    """The tallies of one source: a run of a box, or a whole failure domain.

    Attributes
    ----------
    domain : str
        The failure domain.
    box : str
        The run of the box; empty for the sum over the domain.
    tallies : tuple of TallyNews
        The newest epochs, and some older ones in turn.
    workers : tuple of WorkerTallyNews
        The workers that are counted by themselves.
    """

    domain: DomainId
    box: Incarnation
    tallies: tuple[TallyNews, ...]
    workers: tuple[WorkerTallyNews, ...] = ()


class AgainstNews(msgspec.Struct, frozen=True, array_like=True):
    """A recorded suspicion against an entering version."""

    route: str
    finding: str
    log_evidence: float
    epoch: int


class RolloutNews(msgspec.Struct, frozen=True, array_like=True):
    """An order as the teller knows it, and its own evidence.

    Attributes
    ----------
    service, version, order, duration_ms
        The order.
    age_ms : int
        How long ago it began, by the teller's clock.
    verdict, reason : str
        How it ended, or ``running``.
    recorded : bool
        Whether the verdict stands in the platform's store.
    groups : tuple of TallyGroup
        The teller's own evidence and, for other domains, the sums that it knows.
    barred : tuple of str
        Versions that were taken back before this order.
    extra : float
        What the allowed number of requests adds to the share, as the teller knows it.
    seen : bool
        Whether the age is that of a box that saw the order come.
    full_from_ms : int
        From which age of the order on all requests enter, in ms, where that was put
        off; 0 while it was not.
    turned_bad : str
        The evidence that it turned bad after its success; empty for none.
    announced : bool
        Whether it stands in the platform's store that the order runs.
    against : AgainstNews or None
        The suspicion that stands there.
    """

    service: ServiceId
    version: VersionId
    order: int
    duration_ms: int
    age_ms: int
    verdict: str
    reason: str
    recorded: bool
    groups: tuple[TallyGroup, ...] = ()
    barred: tuple[VersionId, ...] = ()
    extra: float = 0.0
    seen: bool = False
    full_from_ms: int = 0
    turned_bad: str = ""
    announced: bool = False
    against: AgainstNews | None = None


class WorkerNews(msgspec.Struct, frozen=True, array_like=True):
    """A backend server's entry as the teller read it."""

    name: WorkerId
    address: str
    service: ServiceId
    domain: DomainId
    versions: tuple[VersionId, ...]
    slots: int
    draining: bool
    born: int = 0
    cold_ms: int = 0


class SilenceNews(msgspec.Struct, frozen=True, array_like=True):
    """A report that a worker was silent to a box, by the teller's clock."""

    worker: WorkerId
    box: BoxId
    age_ms: int


class SpeedNews(msgspec.Struct, frozen=True, array_like=True):
    """How fast the engines of a service run a model, as the teller learned it.

    ``gap_ms`` is the usual time from event to event; 0 while it knows none.
    """

    service: ServiceId
    model: ModelId
    read_ms: float
    base_ms: float
    gap_ms: float = 0.0


class ReadingNews(msgspec.Struct, frozen=True, array_like=True):
    """How long the teller's prompts take that wait at an engine, in ms."""

    worker: WorkerId
    reading_ms: int


class ReadNews(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that the teller sent to an engine, as its shared parts and tokens."""

    worker: WorkerId
    model: ModelId
    shared: tuple[tuple[str, int], ...]


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """A worker's word on the rate that it takes from all boxes, as the teller knows it.

    Attributes
    ----------
    worker, born
        The worker, and when its life began.
    per_s : float
        Requests a second; -1 once it names no limit any more.
    age_ms : int
        How long ago it was heard.
    source : str
        The box that heard it.
    """

    worker: WorkerId
    born: int
    per_s: float
    age_ms: int
    source: BoxId


class LeavingNews(msgspec.Struct, frozen=True, array_like=True):
    """That a life of a worker said it leaves, how long ago, and the box that heard."""

    worker: WorkerId
    born: int
    age_ms: int
    source: BoxId


class SuspectNews(msgspec.Struct, frozen=True, array_like=True):
    """A content under which workers ended, as the teller knows it.

    Attributes
    ----------
    fingerprint, service, versions
        The content, where it went, and what the workers ran that ended.
    ends : tuple
        Lives of workers that ended under it, and how long ago, in ms.
    sound_age_ms : int
        How long ago a worker outlived it, in ms; -1 for never.
    kept_by : str
        The first box by name that found it is to be kept back; empty for none.
    recorded : bool
        Whether that stands in the platform's store.
    """

    fingerprint: Fingerprint
    service: ServiceId
    versions: tuple[VersionId, ...]
    ends: tuple[tuple[WorkerIncarnation, int], ...]
    sound_age_ms: int
    kept_by: BoxId
    recorded: bool


class EvacuationNews(msgspec.Struct, frozen=True, array_like=True):
    """An operator's newest word on a failure domain: whether it is emptied now."""

    domain: DomainId
    order: int
    active: bool


class PeerNews(msgspec.Struct, frozen=True, array_like=True):
    """A box and where its peers reach it."""

    box: BoxId
    address: str
    domain: DomainId


class News(msgspec.Struct, frozen=True, array_like=True):
    """All that one box tells another.

    Attributes
    ----------
    box, address, domain, incarnation
        Who tells.
    catalog_version : int
        The newest catalog that it knows; -1 for none.
    workers_end : int
        How new its list of workers is.
    workers_age_ms : int
        How long ago that list was read from the store, by whoever read it.
    workers_digest : int
        Says whether two lists are alike; 0 for none.
    workers : tuple of WorkerNews
        The list, for a box whose list differs.
    rollouts : tuple of RolloutNews
        The orders.
    peers : tuple of PeerNews
        Some of the boxes it knows.
    read_age_ms : int
        How long ago any box that the teller hears of read the list; -1 for unknown.
    read_unbroken_ms : int
        For how long, up to then, the list was read without a gap.
    served : bool
        Whether the store serves the teller.
    silences : tuple of SilenceNews
        Workers that boxes found silent just now.
    speeds : tuple of SpeedNews
        How fast engines are.
    readings : tuple of ReadingNews
        What the teller has waiting at engines.
    reads : tuple of ReadNews
        The prompts that it sent to engines of late.
    suspects, kept_digest
        Contents under which workers ended, and what says whether two boxes keep back
        the same ones.
    kept_known : bool
        Whether the teller knows those that the store has recorded.
    followers : tuple of str
        Who follows the operators' records in the teller's failure domain, where it is
        the first by name there.
    limits : tuple of LimitNews
        What workers said of the rates that they take, the newest.
    leavings : tuple of LeavingNews
        Workers whose answers say that they leave, and whose entries don't yet.
    evacuations : tuple of EvacuationNews
        Failure domains that operators emptied, or gave back.
    boxes : int
        How many boxes the teller knows, itself among them.
    store_era : int
        How often the store came back from a copy, as the teller knows; -1 for unknown.
    told_at : int
        When this was told, in ms of the teller's clock; -1 for unknown.
    proof_age_ms, proof_end, proof_by
        How old the teller's proof is that its catalog is the newest (-1 for none),
        where the operators' stream ended then, and the box that read it.
    settings_digest, settings_age_ms
        Names the settings that the teller has in force ("" for untold), and for how
        long, in ms.
    settings_refused, settings_waiting : bool
        Whether its newest settings file is refused, and whether fields of it wait for
        the teller's next start.
    """

    box: BoxId
    address: str
    domain: DomainId
    incarnation: Incarnation
    catalog_version: int
    workers_end: int = -1
    workers_age_ms: int = 0
    workers_digest: int = 0
    workers: tuple[WorkerNews, ...] = ()
    rollouts: tuple[RolloutNews, ...] = ()
    peers: tuple[PeerNews, ...] = ()
    read_age_ms: int = -1
    read_unbroken_ms: int = 0
    served: bool = True
    silences: tuple[SilenceNews, ...] = ()
    speeds: tuple[SpeedNews, ...] = ()
    readings: tuple[ReadingNews, ...] = ()
    reads: tuple[ReadNews, ...] = ()
    suspects: tuple[SuspectNews, ...] = ()
    kept_digest: int = 0
    evacuations: tuple[EvacuationNews, ...] = ()
    boxes: int = 0
    store_era: int = -1
    told_at: int = -1
    proof_age_ms: int = -1
    proof_end: int = -1
    proof_by: BoxId = BoxId("")
    settings_digest: str = ""
    settings_age_ms: int = 0
    settings_refused: bool = False
    settings_waiting: bool = False
    kept_known: bool = False
    followers: tuple[BoxId, ...] = ()
    limits: tuple[LimitNews, ...] = ()
    leavings: tuple[LeavingNews, ...] = ()


class CatalogAsk(msgspec.Struct, frozen=True, array_like=True):
    """A question for a catalog newer than `version`."""

    box: BoxId
    version: int


class CatalogTold(msgspec.Struct, frozen=True, array_like=True):
    """The version that the teller knows, and the catalog, packed.

    It is empty where it is not newer, or where the teller serves enough others.
    """

    version: int
    packed: bytes = b""


async def ask_catalog(
    channels: Channels, address: str, ask: CatalogAsk, timeout: float
) -> Result[CatalogTold, PeerFault]:
    """Ask a peer for its catalog; `timeout` in seconds."""
    return await channels.call(
        address, CATALOG_PATH, CatalogAsk, CatalogTold, ask, timeout
    )


def news_talks() -> Talks[News]:
    """Return the client side of exchanges of news."""
    return Talks(PATH, News)


class NewsService:
    """The gRPC service that hears news and answers with its own.

    Parameters
    ----------
    hear : callable
        Takes a peer's news in and returns this box's for it.
    tell_catalog : callable
        Answers a question for the catalog.
    """

    def __init__(
        self,
        hear: t.Callable[[News], t.Awaitable[News]],
        tell_catalog: t.Callable[[CatalogAsk], t.Awaitable[CatalogTold]],
    ) -> None:
        self._hear = hear
        self._tell_catalog = tell_catalog
        self._closed = False

    def close(self) -> None:
        """Answer nothing more, on connections that are still open either."""
        self._closed = True

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib asks for them."""
        is_closed = lambda: self._closed  # noqa: E731
        hear = talk_handler(self._hear, News, is_closed)
        tell_catalog = unary_handler(
            self._tell_catalog, CatalogAsk, CatalogTold, is_closed
        )
        return {PATH: hear, CATALOG_PATH: tell_catalog}
