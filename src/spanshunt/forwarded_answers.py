"""Answers of workers that a gateway passes on, as this box reads them."""

import typing as t

import aiohttp
from multidict import CIMultiDict
from result import Err
from result import Result

from .http_heads import field_flaw
from .http_heads import status_flaw
from .peers.gateways import ForwardedBlock
from .peers.gateways import ForwardedEnd
from .peers.gateways import ForwardedHead
from .peers.gateways import ForwardFault
from .peers.gateways import GatewaySend
from .peers.unary import PeerFault
from .ports import GatewayLostError
from .ports import SendFault
from .tables.fleet import PeerRow


class ForwardedResponse:
    """A worker's answer that a gateway passes on.

    Parameters
    ----------
    head : ForwardedHead
        Its head.
    send : GatewaySend
        The stream of the rest.
    on_end : callable
        Called once when the gateway is done with the request.
    on_worker_end : callable
        Called if the worker ended during the answer.
    """

    def __init__(
        self,
        head: ForwardedHead,
        send: GatewaySend,
        on_end: t.Callable[[], None],
        on_worker_end: t.Callable[[], None],
    ) -> None:
        self.status = head.status
        self.headers = CIMultiDict(head.headers)
        self.content = self
        self._send = send
        self._on_end = on_end
        self._on_worker_end = on_worker_end
        self._ended = False

    async def readany(self) -> bytes:
        """Return the next bytes; empty at the end."""
        if self._ended:
            return b""
        got = await self._send.get()
        if isinstance(got, Err):
            self.close()
            raise GatewayLostError(f"body: {got.err_value.detail}")
        message = got.ok_value
        if isinstance(message, ForwardedBlock):
            return message.data
        self.close()
        if isinstance(message, ForwardedEnd) and not message.broken:
            return b""
        if isinstance(message, ForwardedEnd) and message.worker_ended:
            self._on_worker_end()
        detail = message.broken if isinstance(message, ForwardedEnd) else "no end"
        raise aiohttp.ClientPayloadError(detail)

    def close(self) -> None:
        """End the request, cancelling it at the worker if it is not fully read."""
        if not self._ended:
            self._ended = True
            self._send.close()
            self._on_end()


def is_sound_head(message: t.Any) -> bool:
    """Return whether a gateway's message is a head that HTTP allows."""
    return isinstance(message, ForwardedHead) and not _head_flaw(message)


def _head_flaw(head: ForwardedHead) -> str:
    """Return what is wrong with a head, empty for nothing.

    A gateway checks the heads that it reads, unless it runs an earlier version.
    """
    flaws = (
        field_flaw(*(text.encode("utf-8", "surrogateescape") for text in row))
        for row in head.headers
    )
    return status_flaw(head.status) or next(filter(None, flaws), "")


def to_send_fault(peer: PeerRow, message: t.Any) -> SendFault:
    """Return the fault that a gateway tells in place of the head of an answer."""
    if isinstance(message, ForwardedHead):
        return SendFault(False, f"through {peer.box}: {_head_flaw(message)}")
    if not isinstance(message, ForwardFault):
        detail = f"gateway {peer.box} sent {type(message).__name__} for a head"
        return SendFault(False, detail, blameless=True)
    return SendFault(
        message.unreached,
        f"through {peer.box}: {message.detail}",
        stale=message.stale,
        refused=message.refused,
    )


def describe_head(got: Result[t.Any, PeerFault]) -> str:
    """Return for the log what a gateway told first."""
    if isinstance(got, Err):
        return got.err_value.detail
    message = got.ok_value
    if isinstance(message, ForwardedHead):
        return f"status {message.status}"
    return message.detail if isinstance(message, ForwardFault) else "no head"
