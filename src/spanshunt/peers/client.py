"""The client of the protocol between daemons."""

from result import Result

from .messages import AppendPartReply
from .messages import AppendPartRequest
from .messages import CallStatusReply
from .messages import CallStatusRequest
from .messages import CopyBillsReply
from .messages import CopyBillsRequest
from .messages import Exchange
from .messages import ExchangeAnswer
from .messages import Pin
from .unary import Channels
from .unary import PeerFault

PREFIX = "/spanshunt.Peers/"


class PeerClient:
    """Client that calls peers, over one channel for each address."""

    def __init__(self) -> None:
        self._channels = Channels()

    async def exchange(
        self, address: str, message: Exchange, timeout: float
    ) -> Result[ExchangeAnswer, PeerFault]:
        """Exchange state with a peer; `timeout` is in seconds, as for all calls."""
        return await self._channels.call(
            address, PREFIX + "Exchange", Exchange, ExchangeAnswer, message, timeout
        )

    async def copy_bills(
        self, address: str, copy: CopyBillsRequest, timeout: float
    ) -> Result[CopyBillsReply, PeerFault]:
        """Ask a peer to store copies of bills."""
        return await self._channels.call(
            address,
            PREFIX + "CopyBills",
            CopyBillsRequest,
            CopyBillsReply,
            copy,
            timeout,
        )

    async def ask_call(
        self, address: str, ask: CallStatusRequest, timeout: float
    ) -> Result[CallStatusReply, PeerFault]:
        """Ask the holder of a claim for the status of its call."""
        return await self._channels.call(
            address,
            PREFIX + "AskCall",
            CallStatusRequest,
            CallStatusReply,
            ask,
            timeout,
        )

    async def get_pin(
        self, address: str, pin: Pin, timeout: float
    ) -> Result[Pin, PeerFault]:
        """Ask a peer for the version that a session is pinned to."""
        return await self._channels.call(
            address, PREFIX + "GetPin", Pin, Pin, pin, timeout
        )

    async def put_pin(
        self, address: str, pin: Pin, timeout: float
    ) -> Result[Pin, PeerFault]:
        """Ask a peer to store the version that a session is pinned to."""
        return await self._channels.call(
            address, PREFIX + "PutPin", Pin, Pin, pin, timeout
        )

    async def gather(
        self, address: str, part: AppendPartRequest, timeout: float
    ) -> Result[AppendPartReply, PeerFault]:
        """Ask the gatherer of the failure domain to append a record in a batch."""
        return await self._channels.call(
            address,
            PREFIX + "Gather",
            AppendPartRequest,
            AppendPartReply,
            part,
            timeout,
        )

    def stop(self) -> None:
        """Close all channels."""
        self._channels.stop()
