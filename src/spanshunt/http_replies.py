"""Replies to callers over HTTP."""

from aiohttp import web
from multidict import CIMultiDict

from .ports import Reply


class HttpReply(Reply):
    """Reply to one caller; each front end adds its own format of refusals.

    Attributes
    ----------
    begun : bool
        Whether the head of a stream was sent to the caller.
    response : StreamResponse or None
        The response that the handler returns; None before a reply was begun.

    Parameters
    ----------
    req : web.BaseRequest
        The caller's request.
    """

    def __init__(self, req: web.BaseRequest) -> None:
        self.begun = False
        self.response: web.StreamResponse | None = None
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
        await self.response.prepare(self._req)

    async def write(self, block: bytes) -> None:
        """Send the next bytes of a stream."""
        assert self.response is not None
        await self.response.write(block)

    async def end(self) -> None:
        """End a stream as complete."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """Close the connection without any further message to the caller."""
        if self._req.transport is not None:
            self._req.transport.close()

    def _prepare_head(self, response: web.StreamResponse) -> None:
        """Change the response before its head is sent; subclasses may override this."""
