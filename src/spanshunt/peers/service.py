"""The server side of the protocol between daemons."""

import typing as t

from grpclib.const import Handler

from .client import PREFIX
from .messages import AppendPartReply
from .messages import AppendPartRequest
from .messages import CallStatusReply
from .messages import CallStatusRequest
from .messages import CopyBillsReply
from .messages import CopyBillsRequest
from .messages import Exchange
from .messages import ExchangeAnswer
from .messages import Pin
from .unary import unary_handler

_Req = t.TypeVar("_Req")
_Rep = t.TypeVar("_Rep")


class PeerHandlers(t.Protocol):
    """What the daemon does with each call of a peer."""

    async def exchange(self, told: Exchange) -> ExchangeAnswer:
        """Exchange news."""

    async def copy_bills(self, copy: CopyBillsRequest) -> CopyBillsReply:
        """Hold copies of bills."""

    async def ask_call(self, ask: CallStatusRequest) -> CallStatusReply:
        """Say how far a claimed call got."""

    async def get_pin(self, pin: Pin) -> Pin:
        """Return a session's version."""

    async def put_pin(self, pin: Pin) -> Pin:
        """Keep a session's version."""

    async def gather(self, part: AppendPartRequest) -> AppendPartReply:
        """Append a part of a batch."""


class PeerService:
    """The gRPC service; its mapping is written out, as there is no generator.

    Parameters
    ----------
    handlers : PeerHandlers
        What to do with each call.
    """

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers
        self._closed = False

    def close(self) -> None:
        """Answer nothing more, on connections that are still open either."""
        self._closed = True

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib asks for them."""
        does = self._handlers
        return {
            PREFIX + "Exchange": self._unary(does.exchange, Exchange, ExchangeAnswer),
            PREFIX + "CopyBills": self._unary(
                does.copy_bills, CopyBillsRequest, CopyBillsReply
            ),
            PREFIX + "AskCall": self._unary(
                does.ask_call, CallStatusRequest, CallStatusReply
            ),
            PREFIX + "GetPin": self._unary(does.get_pin, Pin, Pin),
            PREFIX + "PutPin": self._unary(does.put_pin, Pin, Pin),
            PREFIX + "Gather": self._unary(
                does.gather, AppendPartRequest, AppendPartReply
            ),
        }

    def _unary(
        self,
        handle: t.Callable[[_Req], t.Awaitable[_Rep]],
        req_type: type[_Req],
        rep_type: type[_Rep],
    ) -> Handler:
        return unary_handler(handle, req_type, rep_type, lambda: self._closed)
