"""The way back to one caller over HTTP."""

from aiohttp import web
from multidict import CIMultiDict

from .ports import Reply


class HttpReply(Reply):
    """What all fronts share; how a refusal looks is each front's own.

    Attributes
    ----------
    begun : bool
        Whether the caller has any byte of it.
    response : StreamResponse or None
        What a handler returns.

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
        """Give a whole answer."""
        self.response = web.Response(status=status, headers=headers, body=body)
        self._before_head(self.response)

    async def begin(self, status: int, headers: CIMultiDict[str]) -> None:
        """Give the head of a stream."""
        self.response = web.StreamResponse(status=status, headers=headers)
        self._before_head(self.response)
        self.begun = True
        await self.response.prepare(self._req)

    async def write(self, block: bytes) -> None:
        """Give more of a stream."""
        assert self.response is not None
        await self.response.write(block)

    async def end(self) -> None:
        """End a stream as complete."""
        assert self.response is not None
        await self.response.write_eof()

    def abort(self) -> None:
        """End the connection."""
        if self._req.transport is not None:
            self._req.transport.close()

    def _before_head(self, response: web.StreamResponse) -> None:
        """Change a response just before its head leaves."""
