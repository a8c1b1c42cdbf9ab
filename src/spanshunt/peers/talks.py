"""Exchanges with peers over streams that stay open.

A call of its own for each message takes most of its processor time for the heads of
HTTP/2.
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

from .unary import CALL_FAULTS
from .unary import PeerFault
from .unary import open_channel

_Told = t.TypeVar("_Told")


class _Talk(msgspec.Struct, t.Generic[_Told]):
    """A stream to a peer, entered at its first use; exchanges on it take turns."""

    channel: Channel
    stream: ClientStream[_Told, _Told]
    turn: asyncio.Lock
    entered: bool = False


class Talks(t.Generic[_Told]):
    """Exchanges one kind of message, over one stream for each address.

    Parameters
    ----------
    path : str
        The method's path.
    kind : type
        What is told and heard.
    """

    def __init__(self, path: str, kind: type[_Told]) -> None:
        self._path = path
        self._kind = kind
        self._talks: dict[str, _Talk[_Told]] = {}

    async def exchange(
        self, address: str, told: _Told, timeout: float
    ) -> Result[_Told, PeerFault]:
        """Tell a peer and hear from it; `timeout` in seconds."""
        talk = self._talk(address)
        try:
            async with asyncio.timeout(timeout), talk.turn:
                if not talk.entered:
                    # It is left by closing its channel: a peer may not answer any more.
                    await talk.stream.__aenter__()
                    talk.entered = True
                await talk.stream.send_message(told)
                heard = await talk.stream.recv_message()
        except CALL_FAULTS as exc:
            self._drop(address, talk)
            return Err(PeerFault(f"{address} {self._path}: {type(exc).__name__} {exc}"))
        if heard is None:
            self._drop(address, talk)
            return Err(PeerFault(f"{address} {self._path}: ended by the peer"))
        return Ok(heard)

    def keep(self, addresses: t.Collection[str]) -> None:
        """Close the streams to all other addresses, but for exchanges under way."""
        for address, talk in list(self._talks.items()):
            if address not in addresses and not talk.turn.locked():
                self._drop(address, talk)

    def stop(self) -> None:
        """Close all streams."""
        for address, talk in list(self._talks.items()):
            self._drop(address, talk)

    def _talk(self, address: str) -> _Talk[_Told]:
        talk = self._talks.get(address)
        if talk is None:
            channel = open_channel(address)
            method = StreamStreamMethod(channel, self._path, self._kind, self._kind)
            talk = _Talk(channel, method.open(), asyncio.Lock())
            self._talks[address] = talk
        return talk

    def _drop(self, address: str, talk: _Talk[_Told]) -> None:
        if self._talks.get(address) is talk:
            del self._talks[address]
        talk.channel.close()


def talk_handler(
    hear: t.Callable[[_Told], t.Awaitable[_Told]],
    kind: type[_Told],
    is_closed: t.Callable[[], bool],
) -> Handler:
    """Return the server side of exchanges; once closed it answers nothing more."""

    async def serve(stream: Stream[_Told, _Told]) -> None:
        while True:
            told = await stream.recv_message()
            if is_closed():
                raise GRPCError(Status.UNAVAILABLE, "this box has stopped")
            if told is None:
                return
            await stream.send_message(await hear(told))

    return Handler(serve, Cardinality.STREAM_STREAM, kind, kind)
