"""Replies to callers over HTTP."""

import asyncio
import typing as t

from aiohttp import web
from multidict import CIMultiDict

from .byte_keeper import HeldRequest
from .ports import Collect
from .ports import Reply
from .ports import do_not_collect
from .systems.holding import FREE_BYTES


class HttpReply(Reply):
    """Reply to one caller; each front end adds its own format of refusals.

    Attributes
    ----------
    begun : bool
        Whether the head of a stream was sent to the caller.
    response : StreamResponse or None
        The response that the handler returns; None before a reply was begun.
    held : HeldRequest or None
        Account of the bytes held for the request; None if none is kept.

    Parameters
    ----------
    req : web.BaseRequest
        The caller's request.
    """

    def __init__(self, req: web.BaseRequest) -> None:
        self.begun = False
        self.response: web.StreamResponse | None = None
        self.held: HeldRequest | None = None
        self._req = req

    async def send_whole(
        self, status: int, headers: CIMultiDict[str], body: bytes
    ) -> None:
        """Send a complete answer."""
        self.response = web.Response(status=status, headers=headers, body=body)
        self._prepare_head(self.response)

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Send the head of a stream."""
        self.response = web.StreamResponse(status=status, headers=headers)
        self._prepare_head(self.response)
        self.begun = True
        self._offer()
        await self.response.prepare(self._req)

    async def write(self, block: bytes) -> None:
        """Send the next bytes of a stream."""
        assert self.response is not None
        held = self.held
        if held is None:
            await self.response.write(block)
            return
        # The write may wait for the caller, and its bytes are held meanwhile.
        held.add_unread(len(block))
        await self.response.write(block)
        held.refresh()
        if held.row.unread_bytes:
            await held.pace()

    def hold_partial(self, size: int) -> None:
        """Count the bytes of an event that is not complete yet."""
        if self.held is not None:
            self.held.set_partial(size)

    def collector(self) -> Collect:
        """Return a function that counts the blocks of a new whole answer.

        What was collected of the answer of an earlier attempt is dropped.
        """
        if self.held is None:
            return do_not_collect
        self.held.drop_collected()
        return self._collect

    async def _collect(self, size: int) -> None:
        assert self.held is not None
        self.held.add_unread(size)
        await self.held.pace()

    async def end(self) -> None:
        """End a stream as complete."""
        assert self.response is not None
        await self.response.write_eof()

    async def drain(self) -> None:
        """Send what is left of the reply, and wait until the caller has taken it.

        Does nothing if nothing is bounded; the library then sends the reply.
        """
        held, response, transport = self.held, self.response, self._transport()
        if held is None or held.marks is None or response is None:
            return
        if transport is None or transport.is_closing():
            return
        self._offer()
        await response.prepare(self._req)
        await response.write_eof()
        held.refresh()
        if held.row.unread_bytes and not transport.is_closing():
            transport.set_write_buffer_limits(0)
            await self._req.writer.drain()
        if not transport.is_closing():
            transport.set_write_buffer_limits()

    def abort(self) -> None:
        """Close the connection without any further message to the caller.

        If bytes held are bounded, a larger unread rest is dropped: a connection that is
        closed would keep it until the caller takes it.
        """
        transport = self._transport()
        if transport is None:
            return
        held = self.held
        if held is not None and held.marks is not None:
            held.refresh()
            if held.row.cut or held.row.unread_bytes > FREE_BYTES:
                transport.abort()
        transport.close()

    def _offer(self) -> None:
        """Let the connection buffer as much of the answer as its bound allows."""
        held, transport = self.held, self._transport()
        if held is None or transport is None or held.row.offered:
            return
        if transport.is_closing():
            return
        held.offer(transport)
        marks = held.marks
        if marks is not None:
            high = max(marks.answer, FREE_BYTES)
            transport.set_write_buffer_limits(high, high - FREE_BYTES // 2)

    def _transport(self) -> asyncio.WriteTransport | None:
        return t.cast("asyncio.WriteTransport | None", self._req.transport)

    def _prepare_head(self, response: web.StreamResponse) -> None:
        """Change the response before its head is sent; subclasses may override this."""
