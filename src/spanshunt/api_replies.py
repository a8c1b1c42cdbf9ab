"""Replies to callers of the OpenAI-compatible API and of plain services."""

from aiohttp import web

from .backing.workers import REQUEST_HEADER
from .http_replies import HttpReply
from .ids import RequestId
from .logs import log_event
from .refusal_responses import error_event
from .refusal_responses import refusal_response
from .refusals import Refusal


class ApiReply(HttpReply):
    """Reply to one caller, with problem documents as refusals.

    Parameters
    ----------
    req : web.Request
        The caller's request.
    request : str
        Request id.
    """

    def __init__(self, req: web.Request, request: RequestId) -> None:
        super().__init__(req)
        self._request = request

    async def refuse(self, refusal: Refusal) -> None:
        """Send a refusal by the system itself."""
        self.response = refusal_response(refusal, self._request)

    async def end_incomplete(self, refusal: Refusal) -> None:
        """End an unfinished stream with an error event that describes the refusal."""
        assert self.response is not None
        try:
            await self.response.write_eof(error_event(refusal, self._request))
        except ConnectionError as exc:
            log_event("INFO", "caller lost", request=self._request, detail=str(exc))

    def _prepare_head(self, response: web.StreamResponse) -> None:
        response.headers[REQUEST_HEADER] = self._request
