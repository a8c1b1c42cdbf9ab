"""Exchanges of messages with peers over streams that stay open.

A unary call for each message would spend most of its processor time on HTTP/2 headers.
"""

import asyncio
import typing as t

import msgspec
from grpclib.client import Channel
from grpclib.client import Stream as ClientStream
from grpclib.client import StreamStreamMethod
from grpclib.const import Cardinality
from grpclib.const import Handler
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from result import Err
from result import Ok
from result import Result

from ..addresses import is_address
from ..time_limits import within
from .unary import CALL_FAULTS
from .unary import PeerFault
from .unary import not_an_address
from .unary import open_channel

_Message = t.TypeVar("_Message")


class _PeerStream(msgspec.Struct, t.Generic[_Message]):
    """A stream to a peer, entered on first use; `lock` serialises its exchanges."""

    channel: Channel
    stream: ClientStream[_Message, _Message]
    lock: asyncio.Lock
    entered: bool = False

    async def talk(self, message: _Message) -> _Message | None:
        """Send a message and return the reply; None if the peer ended the stream."""
        async with self.lock:
            if not self.entered:
                # The stream is never exited: its channel is closed instead, as the peer
                # may no longer answer.
                await self.stream.__aenter__()
                self.entered = True
            await self.stream.send_message(message)
            return await self.stream.recv_message()


class PeerStreams(t.Generic[_Message]):
    """Client that exchanges messages of one type, over one stream for each address.

    Parameters
    ----------
    path : str
        Path of the gRPC method.
    message_type : type
        Type of the messages in both directions.
    """

    def __init__(self, path: str, message_type: type[_Message]) -> None:
        self._path = path
        self._message_type = message_type
        self._streams: dict[str, _PeerStream[_Message]] = {}

    async def exchange(
        self, address: str, message: _Message, timeout: float
    ) -> Result[_Message, PeerFault]:
        """Send a message to a peer and return its reply; `timeout` is in seconds.

        A late loop does not use it up; see `time_limits`.
        """
        if address not in self._streams and not is_address(address):
            return Err(not_an_address(address))
        entry = self._get_stream(address)
        try:
            reply = await within(timeout, entry.talk(message))
        except CALL_FAULTS as exc:
            self._drop(address, entry)
            return Err(PeerFault(f"{address} {self._path}: {type(exc).__name__} {exc}"))
        if reply is None:
            self._drop(address, entry)
            return Err(PeerFault(f"{address} {self._path}: ended by the peer"))
        return Ok(reply)

    def close_others(self, addresses: t.Collection[str]) -> None:
        """Close the streams to all other addresses, unless an exchange is running."""
        for address, entry in list(self._streams.items()):
            if address not in addresses and not entry.lock.locked():
                self._drop(address, entry)

    def stop(self) -> None:
        """Close all streams."""
        for address, entry in list(self._streams.items()):
            self._drop(address, entry)

    def _get_stream(self, address: str) -> _PeerStream[_Message]:
        entry = self._streams.get(address)
        if entry is None:
            channel = open_channel(address)
            method = StreamStreamMethod(
                channel, self._path, self._message_type, self._message_type
            )
            entry = _PeerStream(channel, method.open(), asyncio.Lock())
            self._streams[address] = entry
        return entry

    def _drop(self, address: str, entry: _PeerStream[_Message]) -> None:
        if self._streams.get(address) is entry:
            del self._streams[address]
        entry.channel.close()


def stream_handler(
    answer: t.Callable[[_Message], t.Awaitable[_Message]],
    message_type: type[_Message],
    is_closed: t.Callable[[], bool],
) -> Handler:
    """Return the server side of exchanges; it refuses them once `is_closed()`."""

    async def serve(stream: Stream[_Message, _Message]) -> None:
        while True:
            message = await stream.recv_message()
            if is_closed():
                raise GRPCError(Status.UNAVAILABLE, "this box has stopped")
            if message is None:
                return
            await stream.send_message(await answer(message))

    return Handler(serve, Cardinality.STREAM_STREAM, message_type, message_type)
