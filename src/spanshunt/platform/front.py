"""Callers' requests on the platform's wire, and the way back to them."""

import asyncio
import contextlib
import typing as t
from functools import partial

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict
from multidict import CIMultiDictProxy
from result import Err
from result import Ok
from result import Result

from ..broken_requests import log_unexpected_failure
from ..broken_requests import run_request
from ..byte_keeper import ByteKeeper
from ..byte_keeper import HeldRequest
from ..catalog_calls import answer_request
from ..catalog_calls import catalog_steps
from ..catalog_state import Core
from ..exceptions import InvariantError
from ..forwarding import stop_request
from ..http_replies import HttpReply
from ..http_sends import drop_headers
from ..ids import Millis
from ..ids import ModelId
from ..ids import RequestId
from ..ports import Call
from ..refusals import Problem
from ..refusals import Refusal
from ..refusals import Run
from ..systems.cascading import RequestTokens
from ..systems.holding import FREE_BYTES
from ..tables.catalog import CallerLimits
from ..tables.engines import PromptPart
from ..utils import is_text
from ..utils import whole_number
from . import wire
from .caller_server import CallerServer

DEADLINE_MS = 60_000
"""How long a request may take whose caller names no deadline, in ms."""

BODY_RETRY_MS = Millis(1_000)
"""Time after which a caller may send a refused body again, in ms: stalled answers are
cut within seconds."""

HEADER_BYTES = 65_536
"""Longest header line, in bytes; the catalog's limit is checked against the whole."""

KEEP_ALIVE_S = 3_600.0
"""How long an idle connection of a caller is kept at most, in s, whatever the catalog
allows."""


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

    def cut(self, call: Call | None) -> None:
        """Cut the answer off, and drop what the caller has not taken of it."""
        state = self._core.running.get(call.request) if call is not None else None
        timer = state.timer if state is not None and state.call is call else None
        if state is None or timer is None or timer.expired():
            self.abort()
            return
        detail = "no progress while the box was full"
        state.stopped_by = "bytes held"
        state.last_error = detail
        stop_request(state, Refusal(Problem.OVERLOADED, detail, Run.UNKNOWN))

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
        self.keeper = ByteKeeper(core.fleet, core.clock, core.count)
        self._on_broken = on_broken
        self.server = self._make_server()

    def end_idle_connections(self) -> None:
        """End connections without a request; to be called until none is left.

        The others end with their answers. They are not told to close: the library then
        drops what has not arrived yet of a request's body.
        """
        for connection in self._idle_connections():
            connection.force_close()

    async def end_timed_out_connections(self) -> None:
        """End connections that were idle for longer than the catalog allows.

        A time of 0 sets no limit: a connection that was just opened is idle, too.
        """
        most_s = self._limits().idle_timeout_ms / 1_000
        if most_s <= 0.0:
            return
        # The library notes when it would end a connection, `KEEP_ALIVE_S` after its
        # last answer.
        ends_by = asyncio.get_running_loop().time() + KEEP_ALIVE_S - most_s
        for connection in self._idle_connections():
            if connection._next_keepalive_close_time <= ends_by:
                connection.force_close()
                self._core.count("connections_timed_out")

    def _idle_connections(self) -> list[RequestHandler]:
        """Return connections that wait for a request.

        One that has been read counts before its handler begins, so what tells is
        whether the library still waits.
        """
        return [
            connection
            for connection in self.server.connections
            if (waiter := connection._waiter) is not None and not waiter.done()
        ]

    def _make_server(self) -> CallerServer:
        core = self._core
        return CallerServer(
            core.fleet,
            core.clock,
            core.count,
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
        self.server.record_read(req.protocol)
        reply = CallerReply(req, self._core)
        request = RequestId(req.headers.get(wire.REQUEST_ID, ""))
        held = self.keeper.open(request)
        reply.held = held
        held.cut = partial(reply.cut, None)
        try:
            return await self._answer_held(req, reply, request)
        finally:
            held.close()

    async def _answer_held(
        self, req: web.BaseRequest, reply: CallerReply, request: RequestId
    ) -> web.StreamResponse:
        """Answer. What breaks ends the request, or the process if it is shared.

        The process is told, and stops.
        """
        answer = self._answer(req, reply)
        try:
            await run_request(answer, reply, request, self._core.count)
        except InvariantError as exc:
            reply.abort()
            self._on_broken(exc)
        if reply.response is None:
            # The connection is closing; the library drops what it is given for it.
            return web.Response(status=Problem.BACKEND_FAILED.status)
        if self._core.fleet.stopping:
            # The head may have left before the stop began.
            reply.response.force_close()
        await self._drain(reply, request)
        return reply.response

    async def _drain(self, reply: CallerReply, request: RequestId) -> None:
        """Send what is left of a reply; one that can't be sent is cut off.

        The library ends the connection of a caller that is gone.
        """
        try:
            with contextlib.suppress(ConnectionError):
                await reply.drain()
        except Exception as exc:
            log_unexpected_failure(exc, request, self._core.count)
            reply.abort()

    async def _answer(self, req: web.BaseRequest, reply: CallerReply) -> None:
        began = self._core.clock.now()
        assert reply.held is not None
        read = await _read_call(req, began, reply.held)
        if isinstance(read, Err):
            await reply.refuse(read.err_value)
        else:
            reply.held.cut = partial(reply.cut, read.ok_value)
            await answer_request(self._core, self._steps, read.ok_value, reply)


async def _read_body(req: web.BaseRequest, held: HeldRequest) -> Result[bytes, Refusal]:
    """Read a body as far as the account of bytes held allows it."""
    declared = req.content_length
    size = declared if declared is not None else 0
    small = declared is not None and declared <= FREE_BYTES
    if not held.may_take_body(size):
        return _full(held, size)
    if held.marks is None:
        body = await req.read()
        held.add_body(len(body))
        return Ok(body)
    blocks = []
    size = 0
    while block := await req.content.readany():
        size += len(block)
        if 0 < req._client_max_size < size:
            raise web.HTTPRequestEntityTooLarge(req._client_max_size, size)
        held.add_body(len(block))
        blocks.append(block)
        if not held.has_room() and not small:
            return _full(held, size)
    return Ok(b"".join(blocks))


def _full(held: HeldRequest, size: int) -> Err[Refusal]:
    held.log_refused_body(size)
    detail = "body: the box holds too many bytes now"
    return Err(Refusal(Problem.OVERLOADED, detail, Run.NO, BODY_RETRY_MS))


async def _read_call(
    req: web.BaseRequest, began: int, held: HeldRequest
) -> Result[Call, Refusal]:
    headers = req.headers
    flaw = _find_bad_text(headers)
    if flaw:
        return _bad(flaw)
    request = headers.get(wire.REQUEST_ID, "")
    if not request:
        return _bad(f"header {wire.REQUEST_ID}: missing")
    if len(headers.getall(wire.REQUEST_ID)) > 1:
        return _bad(f"header {wire.REQUEST_ID}: given more than once")
    told = headers.get(wire.DEADLINE, str(DEADLINE_MS))
    deadline = whole_number(told)
    if deadline is None:
        return _bad(f"header {wire.DEADLINE}: {told!r}; whole ms are allowed")
    try:
        read = await _read_body(req, held)
    except web.HTTPRequestEntityTooLarge:
        detail = "body: longer than the catalog allows"
        return Err(Refusal(Problem.TOO_LARGE, detail))
    except (web.RequestPayloadError, HttpProcessingError) as exc:
        return _bad(f"body: {str(exc)[: wire.FLAW_SHOWN]}")
    if isinstance(read, Err):
        return read
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
            body=read.ok_value,
            credential=headers.get(wire.CREDENTIAL, ""),
            began=began,
            deadline=began + deadline,
            session=headers.get(wire.SESSION, ""),
            tokens=tokens,
            shared_parts=_shared(headers.get(wire.PROMPT_PARTS, ""), tokens.read),
            model=ModelId("" if model == wire.ANY_MODEL else model),
            resume_after=whole_number(headers.get(wire.LAST_EVENT, "")),
        )
    )


def _find_bad_text(headers: CIMultiDictProxy[str]) -> str:
    """Return which header that the system reads is no text; empty if all are."""
    for name in wire.READ_HEADERS:
        value = headers.get(name, "")
        if not is_text(value):
            return f"header {name}: {value[: wire.FLAW_SHOWN]!a}; UTF-8 is allowed"
    return ""


def _bad(detail: str) -> Err[Refusal]:
    return Err(Refusal(Problem.BAD_REQUEST, detail))


def _end_to_end(
    headers: CIMultiDictProxy[str], *, keep_model: bool
) -> CIMultiDict[str]:
    """Return the headers that travel on: no connection's, none of the system's."""
    dropped = wire.CONNECTION_HEADERS | wire.SYSTEM_HEADERS | _named_headers(headers)
    kept = drop_headers(headers, dropped)
    if keep_model:
        kept[wire.MODEL] = headers[wire.MODEL]
    return kept


def _named_headers(headers: CIMultiDictProxy[str]) -> set[str]:
    """Return what `Connection` names, in lower case, but for what workers need."""
    named = ",".join(headers.getall("Connection", [])).lower().split(",")
    return {
        name.strip()
        for name in named
        if not name.strip().startswith(wire.CONTENT_HEADERS)
    } - wire.NEEDED_HEADERS


def _parse_tokens(text: str) -> RequestTokens:
    """Decode ``READ,GENERATED``; anything else tells nothing of the size."""
    first, _, second = text.partition(",")
    read, generated = whole_number(first), whole_number(second)
    if read is None or generated is None:
        return RequestTokens(0, 0)
    return RequestTokens(read, generated)


def _shared(text: str, read: int) -> tuple[PromptPart, ...]:
    """Decode ``NAME:TOKENS,...``: all parts but the last, which is the request's own.

    A list that can't be read, or is longer than the prompt, tells of no shared part.
    """
    rows = [part.partition(":") for part in text.split(",")[:-1]]
    sizes = [whole_number(size) for _, _, size in rows]
    parts = tuple(
        PromptPart(name, size)
        for (name, _, _), size in zip(rows, sizes, strict=True)
        if name and size is not None
    )
    if len(parts) < len(rows) or sum(part.tokens for part in parts) > read:
        return ()
    return parts
