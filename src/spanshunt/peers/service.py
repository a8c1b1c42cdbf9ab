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
    """Handlers of the calls of peers; the daemon implements them."""

    async def exchange(self, message: Exchange) -> ExchangeAnswer:
        """Merge a peer's state and return this box's."""

    async def copy_bills(self, copy: CopyBillsRequest) -> CopyBillsReply:
        """Store copies of bills."""

    async def ask_call(self, ask: CallStatusRequest) -> CallStatusReply:
        """Return the status of a claimed call."""

    async def get_pin(self, pin: Pin) -> Pin:
        """Return the version that a session is pinned to."""

    async def put_pin(self, pin: Pin) -> Pin:
        """Store the version that a session is pinned to."""

    async def gather(self, part: AppendPartRequest) -> AppendPartReply:
        """Append a record in a batch."""


class PeerService:
    """The gRPC service, with its method table written by hand, not generated.

    Parameters
    ----------
    handlers : PeerHandlers
        Handlers of the calls.
    """

    def __init__(self, handlers: PeerHandlers) -> None:
        self._handlers = handlers
        self._closed = False

    def close(self) -> None:
        """Refuse all further calls, also on connections that are still open."""
        self._closed = True

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib requires."""
        handlers = self._handlers
        return {
            PREFIX + "Exchange": self._unary(
                handlers.exchange, Exchange, ExchangeAnswer
            ),
            PREFIX + "CopyBills": self._unary(
                handlers.copy_bills, CopyBillsRequest, CopyBillsReply
            ),
            PREFIX + "AskCall": self._unary(
                handlers.ask_call, CallStatusRequest, CallStatusReply
            ),
            PREFIX + "GetPin": self._unary(handlers.get_pin, Pin, Pin),
            PREFIX + "PutPin": self._unary(handlers.put_pin, Pin, Pin),
            PREFIX + "Gather": self._unary(
                handlers.gather, AppendPartRequest, AppendPartReply
            ),
        }

    def _unary(
        self,
        handler: t.Callable[[_Req], t.Awaitable[_Rep]],
        req_type: type[_Req],
        rep_type: type[_Rep],
    ) -> Handler:
        return unary_handler(handler, req_type, rep_type, lambda: self._closed)
