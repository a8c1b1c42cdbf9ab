"""The client of the protocol between daemons."""

from result import Result

from .messages import AskCall
from .messages import CallStatus
from .messages import Copied
from .messages import CopyBills
from .messages import Exchange
from .messages import ExchangeAnswer
from .messages import Gather
from .messages import Gathered
from .messages import Pin
from .unary import Channels
from .unary import PeerFault

PREFIX = "/spanshunt.Peers/"


class PeerClient:
    """Calls peers, over one channel for each address."""

    def __init__(self) -> None:
        self._channels = Channels()

    async def exchange(
        self, address: str, told: Exchange, timeout: float
    ) -> Result[ExchangeAnswer, PeerFault]:
        """Exchange news with a peer; `timeout` in seconds, as for all calls."""
        return await self._channels.call(
            address, PREFIX + "Exchange", Exchange, ExchangeAnswer, told, timeout
        )

    async def copy_bills(
        self, address: str, copy: CopyBills, timeout: float
    ) -> Result[Copied, PeerFault]:
        """Ask a peer to hold copies of bills."""
        return await self._channels.call(
            address, PREFIX + "CopyBills", CopyBills, Copied, copy, timeout
        )

    async def ask_call(
        self, address: str, ask: AskCall, timeout: float
    ) -> Result[CallStatus, PeerFault]:
        """Ask the holder of a claim how far its call got."""
        return await self._channels.call(
            address, PREFIX + "AskCall", AskCall, CallStatus, ask, timeout
        )

    async def get_pin(
        self, address: str, pin: Pin, timeout: float
    ) -> Result[Pin, PeerFault]:
        """Ask for a session's version."""
        return await self._channels.call(
            address, PREFIX + "GetPin", Pin, Pin, pin, timeout
        )

    async def put_pin(
        self, address: str, pin: Pin, timeout: float
    ) -> Result[Pin, PeerFault]:
        """Ask a peer to keep a session's version."""
        return await self._channels.call(
            address, PREFIX + "PutPin", Pin, Pin, pin, timeout
        )

    async def gather(
        self, address: str, part: Gather, timeout: float
    ) -> Result[Gathered, PeerFault]:
        """Ask the gatherer of the failure domain to append a part of a batch."""
        return await self._channels.call(
            address, PREFIX + "Gather", Gather, Gathered, part, timeout
        )

    def stop(self) -> None:
        """Close all channels."""
        self._channels.stop()
