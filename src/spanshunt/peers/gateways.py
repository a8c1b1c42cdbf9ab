"""Messages and streams by which a box sends requests to workers through a peer.

Each request has a stream of its own. The peer answers an offer before it gets the
request, so that a peer that is out of reach, too old or without room costs no doubt
whether the request ran. What arrives of an answer is passed on block by block. A box
that resets its stream cancels the request at the worker.
"""

import typing as t

import msgspec
from grpclib.client import Stream as ClientStream
from grpclib.client import StreamStreamMethod
from grpclib.config import Configuration
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.server import Stream
from result import Err
from result import Ok
from result import Result

from ..addresses import is_address
from ..ids import BoxId
from ..ids import RequestId
from ..ids import WorkerId
from ..quantities import Whole
from ..time_limits import within
from .unary import CALL_FAULTS
from .unary import PeerFault
from .unary import not_an_address
from .unary import open_channel

PATH = "/spanshunt.Gateway/Send"

OFFER_TIMEOUT_S = 0.3
"""How long a peer may take to answer an offer, in s: a slow box answers within some
tenths, and another peer can still be asked in time."""

STREAM_WINDOW_BYTES = 65_536
"""Bytes of an answer that arrive ahead of the caller's reading."""


class SendOffer(msgspec.Struct, frozen=True, array_like=True, tag="offer"):
    """Offer of a request: which one, of which box, for which worker, and its length."""

    request: RequestId
    box: BoxId
    worker: WorkerId
    body_bytes: Whole


class OfferReply(msgspec.Struct, frozen=True, array_like=True, tag="reply"):
    """Whether the peer sends the offered request.

    If not, `detail` says why, and `of_worker` whether that holds for the worker only.
    """

    accepted: bool
    detail: str = ""
    of_worker: bool = False


class ForwardedRequest(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """The request as the worker must get it.

    Attributes
    ----------
    method, target : str
        HTTP method, and path with the query.
    headers : tuple of pairs of str
        All headers.
    body : bytes
        The complete body.
    left_ms : int
        Time left for the answer, in ms.
    new_connection : bool
        Whether it needs a connection of its own.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    left_ms: Whole
    new_connection: bool


class ForwardFault(msgspec.Struct, frozen=True, array_like=True, tag="fault"):
    """The worker gave no answer; the fields are those of `SendFault`.

    `refused` also says that the worker refused connections after one broke.
    """

    unreached: bool
    detail: str
    stale: bool = False
    refused: bool = False


class ForwardedHead(msgspec.Struct, frozen=True, array_like=True, tag="head"):
    """Status and headers of the worker's answer."""

    status: Whole
    headers: tuple[tuple[str, str], ...]


class ForwardedBlock(msgspec.Struct, frozen=True, array_like=True, tag="block"):
    """The next bytes of its body."""

    data: bytes


class ForwardedEnd(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """The end of the answer.

    `broken` says how it ended early, empty if complete; `worker_ended` that the worker
    refused connections just after that. Earlier versions do not send the latter.
    """

    broken: str = ""
    worker_ended: bool = False


GatewayMessage = (
    SendOffer
    | OfferReply
    | ForwardedRequest
    | ForwardFault
    | ForwardedHead
    | ForwardedBlock
    | ForwardedEnd
)
GatewayStream = Stream[t.Any, t.Any]


def header_rows(headers: t.Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return headers in their order, with names that the codec can encode."""
    return tuple((str(name), value) for name, value in headers.items())


class OfferFault(msgspec.Struct, frozen=True):
    """An offer that the peer did not accept; `of_worker` as in `OfferReply`."""

    detail: str
    of_worker: bool = False


class _GatewayChannel:
    """A channel to a peer; once given up it is closed with its last stream."""

    def __init__(self, address: str) -> None:
        cfg = Configuration(http2_stream_window_size=STREAM_WINDOW_BYTES)
        self.channel = open_channel(address, cfg)
        self._streams = 0
        self._given_up = False

    def open(self) -> ClientStream[t.Any, t.Any]:
        """Return a new stream; `release` must follow."""
        self._streams += 1
        message: t.Any = GatewayMessage
        method: StreamStreamMethod[t.Any, t.Any]
        method = StreamStreamMethod(self.channel, PATH, message, message)
        return method.open()

    def release(self) -> None:
        """Record that a stream is over."""
        self._streams -= 1
        self._close_unused()

    def give_up(self) -> None:
        """Open no more streams."""
        self._given_up = True
        self._close_unused()

    def _close_unused(self) -> None:
        if self._given_up and not self._streams:
            self.channel.close()


class GatewaySend:
    """A request that a peer accepted to send: its stream."""

    def __init__(
        self, stream: ClientStream[t.Any, t.Any], channel: _GatewayChannel
    ) -> None:
        self._stream = stream
        self._channel = channel
        self._closed = False

    async def put(self, message: ForwardedRequest) -> PeerFault | None:
        """Give the peer the request; return the fault if its stream broke."""
        try:
            await self._stream.send_message(message)
        except CALL_FAULTS as exc:
            return _fault(exc)
        return None

    async def get(self) -> Result[t.Any, PeerFault]:
        """Return the peer's next message."""
        try:
            message = await self._stream.recv_message()
        except CALL_FAULTS as exc:
            return Err(_fault(exc))
        if message is None:
            return Err(PeerFault("ended by the gateway"))
        return Ok(message)

    def close(self) -> None:
        """End the stream; what is under way at the worker is cancelled."""
        if self._closed:
            return
        self._closed = True
        if self._stream._send_request_done:
            raw = self._stream._stream
            if raw.closable:
                raw.reset_nowait()
            self._stream._release_stream()
        self._channel.release()


class GatewayClient:
    """Opens streams to gateways, over one channel for each address."""

    def __init__(self) -> None:
        self._channels: dict[str, _GatewayChannel] = {}

    def stop(self) -> None:
        """Close all channels at once."""
        for entry in self._channels.values():
            entry.channel.close()
        self._channels.clear()

    def give_up_all(self) -> None:
        """Close the channels once the requests under way on them are over."""
        for entry in self._channels.values():
            entry.give_up()
        self._channels.clear()

    async def offer(
        self, address: str, offer: SendOffer
    ) -> Result[GatewaySend, OfferFault]:
        """Offer a request to a peer; nothing has run if that fails."""
        entry = self._channels.get(address)
        if entry is None:
            if not is_address(address):
                return Err(OfferFault(not_an_address(address).detail))
            entry = self._channels[address] = _GatewayChannel(address)
        stream = entry.open()
        send, reply = GatewaySend(stream, entry), None
        try:
            reply = await within(OFFER_TIMEOUT_S, _reply_to(stream, offer))
        except CALL_FAULTS as exc:
            self._give_up(address, entry)
            return Err(OfferFault(_fault(exc).detail))
        finally:
            if not (isinstance(reply, OfferReply) and reply.accepted):
                send.close()
        if not isinstance(reply, OfferReply):
            return Err(OfferFault("no reply"))
        if not reply.accepted:
            return Err(OfferFault(reply.detail, reply.of_worker))
        return Ok(send)

    def _give_up(self, address: str, entry: _GatewayChannel) -> None:
        """Let the next offer open a new connection: this one may be dead.

        Requests that the peer accepted before keep theirs.
        """
        if self._channels.get(address) is entry:
            del self._channels[address]
        entry.give_up()


async def _reply_to(stream: ClientStream[t.Any, t.Any], offer: SendOffer) -> t.Any:
    await stream.__aenter__()
    await stream.send_message(offer)
    return await stream.recv_message()


def _fault(exc: BaseException) -> PeerFault:
    return PeerFault(f"{PATH}: {type(exc).__name__} {exc}")


class GatewayService:
    """The gRPC service by which peers send through this box.

    Parameters
    ----------
    serve : callable
        Handles one stream.
    """

    def __init__(self, serve: t.Callable[[GatewayStream], t.Awaitable[None]]) -> None:
        self._serve = serve

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handler by path, as grpclib requires."""
        message: t.Any = GatewayMessage
        handler = Handler(self._serve, Cardinality.STREAM_STREAM, message, message)
        return {PATH: handler}
