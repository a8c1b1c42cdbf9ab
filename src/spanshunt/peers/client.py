"""The client of the protocol between daemons."""

import typing as t

import msgspec
from grpclib.client import Channel
from grpclib.client import UnaryUnaryMethod
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError
from result import Err
from result import Ok
from result import Result

from .codec import MsgpackCodec
from .messages import AskCall
from .messages import CallStatus
from .messages import Copied
from .messages import CopyBills
from .messages import Exchange
from .messages import ExchangeAnswer
from .messages import Gather
from .messages import Gathered
from .messages import Pin

PREFIX = "/spanshunt.Peers/"
_Req = t.TypeVar("_Req")
_Rep = t.TypeVar("_Rep")


class PeerFault(msgspec.Struct, frozen=True):
    """A call to a peer that gave no answer; it may have taken effect."""

    detail: str


class PeerClient:
    """Calls peers, over one channel for each address."""

    def __init__(self) -> None:
        self._channels: dict[str, Channel] = {}

    async def exchange(
        self, address: str, told: Exchange, timeout: float
    ) -> Result[ExchangeAnswer, PeerFault]:
        """Exchange news with a peer; `timeout` in seconds, as for all calls."""
        return await self._call(
            address, "Exchange", Exchange, ExchangeAnswer, told, timeout
        )

    async def copy_bills(
        self, address: str, copy: CopyBills, timeout: float
    ) -> Result[Copied, PeerFault]:
        """Ask a peer to hold copies of bills."""
        return await self._call(address, "CopyBills", CopyBills, Copied, copy, timeout)

    async def ask_call(
        self, address: str, ask: AskCall, timeout: float
    ) -> Result[CallStatus, PeerFault]:
        """Ask the holder of a claim how far its call got."""
        return await self._call(address, "AskCall", AskCall, CallStatus, ask, timeout)

    async def get_pin(
        self, address: str, pin: Pin, timeout: float
    ) -> Result[Pin, PeerFault]:
        """Ask for a session's version."""
        return await self._call(address, "GetPin", Pin, Pin, pin, timeout)

    async def put_pin(
        self, address: str, pin: Pin, timeout: float
    ) -> Result[Pin, PeerFault]:
        """Ask a peer to keep a session's version."""
        return await self._call(address, "PutPin", Pin, Pin, pin, timeout)

    async def gather(
        self, address: str, part: Gather, timeout: float
    ) -> Result[Gathered, PeerFault]:
        """Ask the gatherer of the failure domain to append a part of a batch."""
        return await self._call(address, "Gather", Gather, Gathered, part, timeout)

    def stop(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def _call(
        self,
        address: str,
        method: str,
        req_type: type[_Req],
        rep_type: type[_Rep],
        req: _Req,
        timeout: float,
    ) -> Result[_Rep, PeerFault]:
        channel = self._channel(address)
        call = UnaryUnaryMethod(channel, PREFIX + method, req_type, rep_type)
        try:
            return Ok(await call(req, timeout=timeout))
        except (
            TimeoutError,
            GRPCError,
            StreamTerminatedError,
            OSError,
            msgspec.MsgspecError,
        ) as exc:
            self._drop(address, channel)
            return Err(PeerFault(f"{address} {method}: {type(exc).__name__} {exc}"))

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), codec=MsgpackCodec())
            self._channels[address] = channel
        return channel

    def _drop(self, address: str, channel: Channel) -> None:
        """Forget a channel that failed, so that the next call connects anew."""
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.close()
