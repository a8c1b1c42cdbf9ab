"""Messages of the gossip between boxes that route by the platform's catalog.

A box that the store does not serve learns the store's records from its peers. A
receiver applies only what is newer than its own state, by version, offset or age.
Structs are encoded as arrays, so the order of their fields is part of the protocol.
Ages are by the sender's clock, at the time of sending.
"""

import typing as t

import msgspec
from grpclib.const import Handler
from result import Result

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Incarnation
from ..quantities import Position
from ..quantities import Whole
from .news_items import ArrivalNews
from .news_items import BusyBoxNews
from .news_items import DemandNews
from .news_items import EvacuationNews
from .news_items import LeavingNews
from .news_items import LimitNews
from .news_items import LoadNews
from .news_items import PeerNews
from .news_items import PendingPrefillNews
from .news_items import RecentPrefillNews
from .news_items import RolloutNews
from .news_items import SilenceNews
from .news_items import SpeedNews
from .news_items import SuspectNews
from .news_items import WorkerNews
from .news_items import WorkerSpeedNews
from .talks import PeerStreams
from .talks import stream_handler
from .unary import Channels
from .unary import PeerFault
from .unary import unary_handler

PATH = "/spanshunt.News/Exchange"
CATALOG_PATH = "/spanshunt.News/Catalog"


class News(msgspec.Struct, frozen=True, array_like=True):
    """Everything that one box sends to another.

    Attributes
    ----------
    box, address, domain, incarnation
        The sender.
    catalog_version : int
        The newest catalog version known to the sender; -1 for none.
    workers_end : int
        End of the workers' stream at the sender's list of workers.
    workers_age_ms : int
        Time since a box read that list from the store, in ms.
    workers_digest : int
        Checksum that is equal for equal lists; 0 without a list.
    workers : tuple of WorkerNews
        The list, if the receiver's list differs and is older.
    rollouts : tuple of RolloutNews
        The orders and their roll-outs.
    peers : tuple of PeerNews
        Some of the boxes known to the sender.
    list_read_age_ms : int
        Time since the newest known read of the list by any box, in ms; -1 if unknown.
    list_unbroken_ms : int
        Time span up to that read without a gap between reads, in ms.
    served : bool
        Whether the store serves the sender.
    silence_reports : tuple of SilenceNews
        Recent reports of silent workers.
    speeds : tuple of SpeedNews
        Estimated speeds of engines.
    pending_prefills : tuple of PendingPrefillNews
        Prompts of the sender that wait at engines.
    recent_prefills : tuple of RecentPrefillNews
        Prompts that the sender recently sent to engines.
    suspect_requests : tuple of SuspectNews
        Contents and prompt parts suspected of crashing workers.
    quarantined_digest : int
        Checksum that is equal at boxes with the same quarantined features.
    quarantine_known : bool
        Whether the sender knows the quarantined features recorded in the store.
    followers : tuple of str
        Boxes of the sender's failure domain that follow the operators' records, if the
        sender is the first by name there; otherwise empty.
    limits : tuple of LimitNews
        The newest rate limits of workers.
    leaving_notices : tuple of LeavingNews
        Notices of workers that leave although their entries do not say so yet.
    evacuations : tuple of EvacuationNews
        The operators' newest evacuation orders.
    boxes : int
        Number of boxes known to the sender, including itself.
    store_era : int
        How often the store was restored from a copy, as the sender knows; -1 if
        unknown.
    sent_at : int
        When this was sent, in ms of the sender's clock; -1 if unknown.
    proof_age_ms, proof_end, proof_by
        Age of the proof that the sender's catalog is the newest, in ms (-1 for none),
        the end of the operators' stream then, and the box that read it.
    settings_digest, settings_age_ms
        Digest of the settings in force at the sender ("" if unknown), and since how
        long they are, in ms.
    settings_refused, settings_waiting : bool
        Whether the sender refused its newest settings file, and whether fields of it
        take effect only at the next start.
    loads : tuple of LoadNews
        Recent load reports of workers.
    worker_speeds : tuple of WorkerSpeedNews
        Usual speeds of workers that differ from their service's.
    demands : tuple of DemandNews
        Demand of organisations for services that are short of room.
    brittle : tuple of LimitNews
        The newest notices of brittle workers; their rates are those of rejections that
        the workers tolerate.
    gateway_room : int
        How many more requests the sender would send to workers for the receiver.
    arrivals : tuple of ArrivalNews
        Requests for services whose workers limit what boxes send.
    busy_boxes : tuple of BusyBoxNews
        Boxes at which far more of these requests arrive than on average.
    """

    box: BoxId
    address: str
    domain: DomainId
    incarnation: Incarnation
    catalog_version: Whole
    workers_end: Position = -1
    workers_age_ms: Whole = 0
    workers_digest: Whole = 0
    workers: tuple[WorkerNews, ...] = ()
    rollouts: tuple[RolloutNews, ...] = ()
    peers: tuple[PeerNews, ...] = ()
    list_read_age_ms: Whole = -1
    list_unbroken_ms: Whole = 0
    served: bool = True
    silence_reports: tuple[SilenceNews, ...] = ()
    speeds: tuple[SpeedNews, ...] = ()
    pending_prefills: tuple[PendingPrefillNews, ...] = ()
    recent_prefills: tuple[RecentPrefillNews, ...] = ()
    suspect_requests: tuple[SuspectNews, ...] = ()
    quarantined_digest: Whole = 0
    evacuations: tuple[EvacuationNews, ...] = ()
    boxes: Whole = 0
    store_era: Whole = -1
    sent_at: Whole = -1
    proof_age_ms: Whole = -1
    proof_end: Position = -1
    proof_by: BoxId = BoxId("")
    settings_digest: str = ""
    settings_age_ms: Whole = 0
    settings_refused: bool = False
    settings_waiting: bool = False
    quarantine_known: bool = False
    followers: tuple[BoxId, ...] = ()
    limits: tuple[LimitNews, ...] = ()
    leaving_notices: tuple[LeavingNews, ...] = ()
    loads: tuple[LoadNews, ...] = ()
    worker_speeds: tuple[WorkerSpeedNews, ...] = ()
    demands: tuple[DemandNews, ...] = ()
    gateway_room: Whole = 0
    brittle: tuple[LimitNews, ...] = ()
    arrivals: tuple[ArrivalNews, ...] = ()
    busy_boxes: tuple[BusyBoxNews, ...] = ()


class FetchCatalogRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a catalog newer than `version`."""

    box: BoxId
    version: Whole


class FetchCatalogReply(msgspec.Struct, frozen=True, array_like=True):
    """The newest catalog version known to the sender, and that catalog, packed.

    `packed` is empty if the version is not newer than the requested one, or if the
    sender is already sending its catalog to enough other boxes.
    """

    version: Whole
    packed: bytes = b""


async def fetch_catalog(
    channels: Channels, address: str, req: FetchCatalogRequest, timeout: float
) -> Result[FetchCatalogReply, PeerFault]:
    """Fetch the catalog from a peer; `timeout` is in seconds."""
    return await channels.call(
        address, CATALOG_PATH, FetchCatalogRequest, FetchCatalogReply, req, timeout
    )


def news_streams() -> PeerStreams[News]:
    """Return a client for exchanges of news."""
    return PeerStreams(PATH, News)


class NewsService:
    """The gRPC service that exchanges news and serves the catalog.

    Parameters
    ----------
    answer_news : callable
        Applies a peer's news and returns this box's news for it.
    answer_catalog_request : callable
        Answers a request for the catalog.
    """

    def __init__(
        self,
        answer_news: t.Callable[[News], t.Awaitable[News]],
        answer_catalog_request: t.Callable[
            [FetchCatalogRequest], t.Awaitable[FetchCatalogReply]
        ],
    ) -> None:
        self._answer_news = answer_news
        self._answer_catalog_request = answer_catalog_request
        self._closed = False

    def close(self) -> None:
        """Refuse all further calls, also on connections that are still open."""
        self._closed = True

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib requires."""
        is_closed = lambda: self._closed  # noqa: E731
        answer_news = stream_handler(self._answer_news, News, is_closed)
        answer_catalog_request = unary_handler(
            self._answer_catalog_request,
            FetchCatalogRequest,
            FetchCatalogReply,
            is_closed,
        )
        return {PATH: answer_news, CATALOG_PATH: answer_catalog_request}
