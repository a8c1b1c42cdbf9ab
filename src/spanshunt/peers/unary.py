"""Unary calls between daemons, client and server side."""

import typing as t

import msgspec
from grpclib.client import Channel
from grpclib.client import UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from grpclib.protocol import H2Protocol
from grpclib.server import Stream
from result import Err
from result import Ok
from result import Result

from ..addresses import is_address
from ..time_limits import within
from .codec import MsgpackCodec

_Req = t.TypeVar("_Req")
_Rep = t.TypeVar("_Rep")
_AnyStream = Stream[t.Any, t.Any]


PEER_TIMES = 10
"""After how many times a call's limit its peer gives it up by itself, as where the
caller is frozen."""


class PeerFault(msgspec.Struct, frozen=True):
    """Error of a call to a peer that got no answer; the call may have taken effect."""

    detail: str


CALL_FAULTS = (
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    OSError,
    msgspec.MsgspecError,
)
"""Exceptions of a call whose peer is unreachable or sends an invalid answer."""


def not_an_address(address: str) -> PeerFault:
    """Return the fault of a peer whose address, as told by others, is none."""
    return PeerFault(f"{address!r} is no address: IP:PORT is allowed")


class PeerChannel(Channel):
    """A channel to a peer; it connects on first use.

    The library wakes a call a turn of the loop after its connection is up, and does not
    look whether it was lost in that turn. Such a call gets what a lost one gives.
    """

    async def __connect__(self) -> H2Protocol:
        protocol = await super().__connect__()
        if protocol.processor.connection.is_closing():
            raise StreamTerminatedError("the connection is closed")
        return protocol


def open_channel(address: str, cfg: Configuration | None = None) -> Channel:
    """Return a channel to the peer at an address."""
    host, _, port = address.rpartition(":")
    return PeerChannel(host, int(port), codec=MsgpackCodec(), config=cfg)


class Channels:
    """Calls peers, over one channel for each address."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}

    def stop(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def call(
        self,
        address: str,
        path: str,
        req_type: type[_Req],
        rep_type: type[_Rep],
        req: _Req,
        timeout: float,
    ) -> Result[_Rep, PeerFault]:
        """Call the method `path` of a peer; `timeout` is in seconds.

        A late loop does not use it up, as it would the library's own deadline; see
        `time_limits`. A call that is given up is cancelled at the peer.
        """
        if address not in self._channels and not is_address(address):
            return Err(not_an_address(address))
        channel = self._get_channel(address)
        call = UnaryUnaryMethod(channel, path, req_type, rep_type)
        try:
            return Ok(await within(timeout, call(req, timeout=PEER_TIMES * timeout)))
        except CALL_FAULTS as exc:
            self._drop(address, channel)
            return Err(PeerFault(f"{address} {path}: {type(exc).__name__} {exc}"))

    def _get_channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = open_channel(address)
        return channel

    def _drop(self, address: str, channel: Channel) -> None:
        """Close a channel that failed, so that the next call opens a new one."""
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()


def unary_handler(
    handler: t.Callable[[_Req], t.Awaitable[_Rep]],
    req_type: type[_Req],
    rep_type: type[_Rep],
    is_closed: t.Callable[[], bool],
) -> Handler:
    """Return the server side of a unary call; it refuses calls once `is_closed()`."""

    async def serve(stream: _AnyStream) -> None:
        req = await stream.recv_message()
        if is_closed():
            raise GRPCError(Status.UNAVAILABLE, "this box has stopped")
        if req is not None:
            await stream.send_message(await handler(req))

    return Handler(serve, Cardinality.UNARY_UNARY, req_type, rep_type)
