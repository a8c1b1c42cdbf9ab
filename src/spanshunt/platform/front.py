"""Callers' requests on the platform's wire, and the way back to them."""

import typing as t

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result

from ..catalog_calls import answer_request
from ..catalog_calls import catalog_steps
from ..catalog_state import Core
from ..exceptions import InvariantError
from ..http_replies import HttpReply
from ..http_sends import drop_headers
from ..ids import ModelId
from ..ids import RequestId
from ..ports import Call
from ..refusals import Problem
from ..refusals import Refusal
from ..systems.cascading import RequestTokens
from ..tables.catalog import CallerLimits
from ..tables.engines import PromptPart
from . import wire

DEADLINE_MS = 60_000
"""How long a request may take whose caller names no deadline, in ms."""

HEADER_BYTES = 65_536
"""Longest header line, in bytes; the catalog's limit is checked against the whole."""

KEEP_ALIVE_S = 75.0
"""How long an idle connection of a caller is kept, in s: well over the longest rest
that catalogs allow, so that the caller closes first."""


class CallerReply(HttpReply):
    """The way back to one caller."""

    def __init__(self, req: web.BaseRequest, core: Core) -> None:
        super().__init__(req)
        self._core = core

    async def refuse(self, refusal: Refusal) -> None:
        """Give a refusal of the system's own."""
        headers = CIMultiDict(
            {wire.REQUEST_ID: self._req.headers.get(wire.REQUEST_ID, "")}
        )
        if refusal.retry_ms is not None:
            headers[wire.RETRY_AFTER] = f"{refusal.retry_ms / 1_000:.3f}"
        await self.send_whole(refusal.problem.status, headers, refusal.detail.encode())

    async def end_incomplete(self, _refusal: Refusal) -> None:
        """End the connection without the mark that completes a stream."""
        self.abort()

    def _prepare_head(self, response: web.StreamResponse) -> None:
        if self._core.fleet.stopping:
            response.force_close()


class Front:
    """Takes callers' requests in and gives them to the request path.

    Parameters
    ----------
    core : Core
        What requests share.
    on_broken : callable
        Called with the error when an invariant broke.
    """

    def __init__(
        self, core: Core, on_broken: t.Callable[[InvariantError], None]
    ) -> None:
        self._core = core
        self._steps = catalog_steps(core)
        self._on_broken = on_broken
        self.server = self._make_server()

    def end_idle_connections(self) -> None:
        """End connections without a request; to be called until none is left.

        The others end with their answers. They are not told to close: the library then
        drops what has not arrived yet of a request's body.
        """
        for connection in list(self.server.connections):
            # A request that has been read counts before its handler begins, so what
            # tells is whether the library still waits for one.
            waiter = connection._waiter
            if waiter is not None and not waiter.done():
                connection.force_close()

    def _make_server(self) -> web.Server:
        return web.Server(
            self._handle,
            request_factory=self._make_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
        )

    def _limits(self) -> CallerLimits:
        catalog = self._core.fleet.catalog
        return catalog.limits if catalog is not None else CallerLimits()

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: t.Any,
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            task.get_loop(),
            client_max_size=self._limits().body_bytes,
        )

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        reply = CallerReply(req, self._core)
        await self._answer(req, reply)
        if reply.response is None:
            # The connection is closing; the library drops what it is given for it.
            return web.Response(status=Problem.BACKEND_FAILED.status)
        if self._core.fleet.stopping:
            # The head may have left before the stop began.
            reply.response.force_close()
        return reply.response

    async def _answer(self, req: web.BaseRequest, reply: CallerReply) -> None:
        began = self._core.clock.now()
        read = await _read_call(req, began)
        if isinstance(read, Err):
            await reply.refuse(read.err_value)
        else:
            await self._answer_call(read.ok_value, reply)

    async def _answer_call(self, call: Call, reply: CallerReply) -> None:
        """Answer; a broken invariant is told to the process, which stops."""
        try:
            await answer_request(self._core, self._steps, call, reply)
        except InvariantError as exc:
            reply.abort()
            self._on_broken(exc)


async def _read_call(req: web.BaseRequest, began: int) -> Result[Call, Refusal]:
    headers = req.headers
    request = headers.get(wire.REQUEST_ID, "")
    if not request:
        return _bad(f"header {wire.REQUEST_ID}: missing")
    told = headers.get(wire.DEADLINE, str(DEADLINE_MS))
    deadline = wire.whole_number(told)
    if deadline is None:
        return _bad(f"header {wire.DEADLINE}: {told!r}; whole ms are allowed")
    try:
        body = await req.read()
    except web.HTTPRequestEntityTooLarge:
        detail = "body: longer than the catalog allows"
        return Err(Refusal(Problem.TOO_LARGE, detail))
    target = req.raw_path
    host = headers.get("Host", "").lower().partition(":")[0]
    model = headers.get(wire.MODEL, "")
    tokens = _parse_tokens(headers.get(wire.TOKENS, ""))
    return Ok(
        Call(
            request=RequestId(request),
            method=req.method,
            target=target,
            host=host,
            path=target.partition("?")[0],
            headers=_end_to_end(headers, keep_model=model not in ("", wire.ANY_MODEL)),
            body=body,
            credential=headers.get(wire.CREDENTIAL, ""),
            began=began,
            deadline=began + deadline,
            session=headers.get(wire.SESSION, ""),
            tokens=tokens,
            shared_parts=_shared(headers.get(wire.PROMPT_PARTS, ""), tokens.read),
            model=ModelId("" if model == wire.ANY_MODEL else model),
            resume_after=wire.whole_number(headers.get(wire.LAST_EVENT, "")),
        )
    )


def _bad(detail: str) -> Err[Refusal]:
    return Err(Refusal(Problem.BAD_REQUEST, detail))


def _end_to_end(headers: t.Mapping[str, str], *, keep_model: bool) -> CIMultiDict[str]:
    """Return the headers that travel on: no connection's, none of the system's."""
    named = headers.get("Connection", "").lower().split(",")
    dropped = wire.CONNECTION_HEADERS | wire.SYSTEM_HEADERS
    dropped |= {name.strip() for name in named}
    kept = drop_headers(headers, dropped)
    if keep_model:
        kept[wire.MODEL] = headers[wire.MODEL]
    return kept


def _parse_tokens(text: str) -> RequestTokens:
    """Decode ``READ,GENERATED``; anything else tells nothing of the size."""
    first, _, second = text.partition(",")
    read, generated = wire.whole_number(first), wire.whole_number(second)
    if read is None or generated is None:
        return RequestTokens(0, 0)
    return RequestTokens(read, generated)


def _shared(text: str, read: int) -> tuple[PromptPart, ...]:
    """Decode ``NAME:TOKENS,...``: all parts but the last, which is the request's own.

    A list that can't be read, or is longer than the prompt, tells of no shared part.
    """
    rows = [part.partition(":") for part in text.split(",")[:-1]]
    sizes = [wire.whole_number(size) for _, _, size in rows]
    parts = tuple(
        PromptPart(name, size)
        for (name, _, _), size in zip(rows, sizes, strict=True)
        if name and size is not None
    )
    if len(parts) < len(rows) or sum(part.tokens for part in parts) > read:
        return ()
    return parts
