"""Requests to backend servers, and their answers, on the platform's wire."""

import typing as t
from functools import partial

import aiohttp
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result
from yarl import URL

from ..forwarded_answers import ForwardedResponse
from ..gateway_sends import WorkerSender
from ..http_connections import CheckedConnection
from ..http_connections import check_heads
from ..http_sends import HttpAnswer
from ..http_sends import HttpSend
from ..http_sends import drop_headers
from ..http_sends import new_client_session
from ..http_sends import send_http
from ..http_sends import worker_url
from ..ids import Millis
from ..ports import Answer
from ..ports import Dispatch
from ..ports import SendFault
from ..ports import WorkerResponse
from ..systems.worker_health import WorkerLoad
from ..tables.notices import InvalidNotice
from ..tables.notices import Notice
from ..tables.notices import NoticeKind
from ..tables.workers import WorkerRow
from ..time_limits import within
from ..utils import whole_number
from . import answer_notices
from . import wire

CONNECT_TIMEOUT_S = 0.4
"""How long a connection may take to come up, in s: a worker's handshake takes about
1 ms and two domains are 1 to 2 ms apart; a lost first packet is sent again after 1
s."""

HEALTH_TIMEOUT_S = 0.4
"""How long a worker's answer about its health may take, in s."""

KEEP_ALIVE_S = 3.0
"""How long an idle connection is kept, in s: workers close theirs after some
seconds."""

ONCE_BYTES = 65_536
"""Requests with longer bodies take a connection of their own: a worker may answer
before it has read all of one, and what follows must not be taken for the rest."""


LOAD_COUNTS = 3
"""Number of figures of a load report that count requests or slots."""

TURNED_AWAY = 503
"""The status of a worker that has no room, and may ask for rest."""


class _Connection(CheckedConnection):
    """A connection that takes no byte for an answer that isn't asked for.

    Bytes that come while no answer is due end it, and a reset while an answer without a
    length is read leaves that answer incomplete.
    """

    def set_response_params(self, **params: t.Any) -> None:
        self._payload = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        if self._payload is not None and self._payload.is_eof() and data:
            self.force_close()
            if self.transport is not None:
                self.transport.close()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class WorkerAnswer(HttpAnswer):
    """A worker's answer, as its headers tell it."""

    def __init__(self, resp: WorkerResponse, request: str) -> None:
        super().__init__(resp, drop_headers(resp.headers, wire.CONNECTION_HEADERS))
        self.not_run = _says_not_run(resp)
        self.replaced = resp.status == 421
        self.confidence = _sureness(resp.headers.get(wire.SURENESS))
        self.load = _load(resp)
        self.defect = _flaw(resp, request)
        self.notice = _notice(resp)


class WorkerClient:
    """Sends to workers, over kept connections where that is safe.

    Parameters
    ----------
    sender : WorkerSender or None
        Sends through a peer while this box reaches no worker; None for never.
    """

    def __init__(self, sender: WorkerSender | None = None) -> None:
        self._sender = sender
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the sessions."""
        self._kept = _session(force_close=False)
        self._fresh = _session(force_close=True)

    async def stop(self) -> None:
        """Close the sessions."""
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()

    async def send(self, dispatch: Dispatch) -> Result[Answer, SendFault]:
        """Send a request and return the head of its answer."""
        call, worker = dispatch.call, dispatch.worker
        alone = dispatch.new_connection or len(call.body) > ONCE_BYTES
        if self._sender is None:
            sent = await self.send_direct(_http_send(dispatch, 0), alone)
        else:
            sent = await self._sender.send(
                worker,
                call.request,
                partial(_http_send, dispatch),
                partial(self.send_direct, alone=alone),
                left_ms=dispatch.left_ms,
                new_connection=alone,
                regions=dispatch.regions,
            )
        if isinstance(sent, Err):
            return sent
        answer = WorkerAnswer(sent.ok_value, call.request)
        answer.indirect = isinstance(sent.ok_value, ForwardedResponse)
        return Ok(answer)

    async def send_direct(
        self, send: HttpSend, alone: bool
    ) -> Result[WorkerResponse, SendFault]:
        """Send a request by this box's own connections, `alone` on a new one."""
        session = self._fresh if alone else self._kept
        assert session is not None
        return await send_http(session, send, reuses_connections=not alone)

    async def ask_health(self, worker: WorkerRow, path: str) -> bool:
        """Ask a worker for its health; return whether it answered at all."""
        assert self._fresh is not None
        url = worker_url(worker.address, path)
        try:
            await within(HEALTH_TIMEOUT_S, _get_head(self._fresh, url))
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        return True


async def _get_head(session: aiohttp.ClientSession, url: URL) -> None:
    """Wait for the head of an answer."""
    async with session.get(url, timeout=aiohttp.ClientTimeout()):
        pass


def _http_send(dispatch: Dispatch, spent_ms: int) -> HttpSend:
    """Build a request that is sent `spent_ms` after it was planned."""
    call = dispatch.call
    url = worker_url(dispatch.worker.address, call.target)
    headers = _request_headers(dispatch, dispatch.left_ms - spent_ms)
    return HttpSend(call.method, url, headers, call.body)


def _session(*, force_close: bool) -> aiohttp.ClientSession:
    if force_close:
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
    else:
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
    check_heads(connector, _Connection)
    jar = aiohttp.DummyCookieJar()
    return new_client_session(connector, CONNECT_TIMEOUT_S, cookie_jar=jar)


def _request_headers(dispatch: Dispatch, left_ms: int) -> CIMultiDict[str]:
    call = dispatch.call
    headers = call.headers.copy()
    headers[wire.DEADLINE] = str(max(1, left_ms))
    headers[wire.WORKER_ID] = dispatch.worker.name
    if dispatch.org:
        headers[wire.ORGANISATION] = dispatch.org
    model = dispatch.model or call.model
    if model:
        headers[wire.MODEL] = model
        headers[wire.URGENCY] = str(min(9, dispatch.urgency))
    if dispatch.resume_after is not None:
        headers[wire.LAST_EVENT] = str(dispatch.resume_after)
    return headers


def _flaw(resp: WorkerResponse, request: str) -> str:
    """Return what makes an answer none to this request, empty if it is one."""
    headers = resp.headers
    found = headers.get(wire.REQUEST_ID)
    if found is not None and found != request:
        return "answers another request"
    if resp.status >= 300:
        return ""
    if found is None:
        return "names no request"
    if wire.SEAL not in headers:
        return "has no seal"
    if headers.get("Content-Encoding", "identity").lower() != "identity":
        return "is encoded"
    return ""


def _says_not_run(resp: WorkerResponse) -> bool:
    """Return whether an answer says that its worker did not run the request.

    One that denies it as well, by its status or by the word itself, proves nothing.
    """
    told = resp.headers.getall(wire.NOT_RUN, [])
    return bool(told) and not _not_run_flaw(resp, told)


def _not_run_flaw(resp: WorkerResponse, told: list[str]) -> str:
    """Return what in an answer contradicts its word that nothing ran, if anything."""
    if told and (resp.status < 400 or resp.status in wire.RUN_STATUSES):
        return f"{wire.NOT_RUN} stands beside status {resp.status}"
    if any(text.strip().lower() in wire.DENIALS for text in told):
        found = ", ".join(told)[: wire.FLAW_SHOWN]
        return f"{wire.NOT_RUN} is {found!r}; 1 or no such header is allowed"
    return ""


def _notice(resp: WorkerResponse) -> Notice:
    """Decode what a worker says of itself; what can't be read is named."""
    headers = resp.headers
    per_s = answer_notices.decode_rate(headers.getall(wire.RATE_LIMIT, []))
    leaving = answer_notices.decode_leaving(headers.getall(wire.LEAVING, []))
    brittle = answer_notices.decode_brittle(headers.getall(wire.BRITTLE, []))
    slowdown = answer_notices.decode_slowdown(_load_figures(resp)[LOAD_COUNTS:])
    rest_ms: Result[Millis | None, str] = Ok(None)
    if resp.status == TURNED_AWAY:
        asked = headers.getall(wire.RETRY_AFTER, [])
        rest_ms = answer_notices.decode_rest(asked, headers.getall("Date", []))
    not_run_flaw = _not_run_flaw(resp, headers.getall(wire.NOT_RUN, []))
    found = (
        (NoticeKind.NOT_RUN, not_run_flaw),
        (NoticeKind.LIMIT, per_s.err()),
        (NoticeKind.LEAVING, leaving.err()),
        (NoticeKind.REST, rest_ms.err()),
        (NoticeKind.LOAD, slowdown.err()),
        (NoticeKind.BRITTLE, brittle.err()),
    )
    return Notice(
        per_s=per_s.unwrap_or(None),
        leaving=leaving.unwrap_or(False),
        rest_ms=rest_ms.unwrap_or(None),
        brittle_per_s=brittle.unwrap_or(None),
        invalid=tuple(InvalidNotice(word, detail) for word, detail in found if detail),
    )


def _sureness(text: str | None) -> float | None:
    try:
        return min(1.0, max(0.0, float(text) / 100)) if text else None
    except ValueError:
        return None


def _load(resp: WorkerResponse) -> WorkerLoad | None:
    """Decode ``running,waiting,slots``, with or without the slowdown.

    Fewer figures, or others than whole numbers, tell nothing. A slowdown that can't be
    used is left out.
    """
    figures = _load_figures(resp)
    numbers = [whole_number(figure) for figure in figures[:LOAD_COUNTS]]
    counts = [number for number in numbers if number is not None]
    if len(counts) != LOAD_COUNTS:
        return None
    running, waiting, slots = counts
    slowdown = answer_notices.decode_slowdown(figures[LOAD_COUNTS:]).unwrap_or(None)
    return WorkerLoad(running, waiting, slots, slowdown)


def _load_figures(resp: WorkerResponse) -> list[str]:
    return resp.headers.get(wire.LOAD, "").split(",")
