"""Requests to backend servers over the product's own protocol."""

import typing as t

import aiohttp
import msgspec
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result
from yarl import URL

from ..http_connections import check_heads
from ..http_sends import HttpAnswer
from ..http_sends import HttpSend
from ..http_sends import drop_headers
from ..http_sends import new_client_session
from ..http_sends import send_http
from ..ids import RequestId
from ..ports import Answer
from ..ports import SendFault
from ..tables.workers import WorkerRow

REQUEST_HEADER = "X-Request-Id"
"""Carries a request's id to workers and back to callers."""

_CONNECT_TIMEOUT_S = 1.0
"""How long a connection may take to come up, in s: boxes and workers are milliseconds
apart."""

_KEEP_ALIVE_S = 30.0
"""How long an idle connection is kept, in s."""

_READ_SIZE = 262_144
"""Bytes that are read ahead of an answer, before its sender is held up."""

_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "authorization",
        "content-length",
        "x-request-id",
    }
)
"""Headers that concern one connection or that the system sets itself."""


class WorkerSend(msgspec.Struct, frozen=True):
    """One send to a worker.

    Attributes
    ----------
    request : str
        The request's id.
    worker : WorkerRow
        Where to.
    method, path : str
        The HTTP method, and path and query at the worker.
    headers : CIMultiDict
        What travels with it.
    body : bytes
        The body; empty for none.
    fresh : bool
        Whether it must not be sent on a connection that was used before.
    """

    request: RequestId
    worker: WorkerRow
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    fresh: bool


class WorkerClient:
    """Sends to workers, over kept connections where that is safe."""

    def __init__(self) -> None:
        kept = aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEEP_ALIVE_S)
        self._kept = _session(kept)
        self._fresh = _session(aiohttp.TCPConnector(limit=0, force_close=True))

    async def stop(self) -> None:
        """Close all connections."""
        await self._kept.close()
        await self._fresh.close()

    async def send(self, send: WorkerSend) -> Result[Answer, SendFault]:
        """Send a request and return the head of its answer."""
        headers = send.headers.copy()
        headers[REQUEST_HEADER] = send.request
        url = URL(f"http://{send.worker.name}{send.path}", encoded=True)
        session = self._fresh if send.fresh else self._kept
        sent = await send_http(
            session,
            HttpSend(send.method, url, headers, send.body),
            reuses_connections=not send.fresh,
        )
        if isinstance(sent, Err):
            return sent
        resp = sent.ok_value
        return Ok(HttpAnswer(resp, end_to_end(resp.headers)))


def end_to_end(headers: t.Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that travel on: no connection's, none of the system's."""
    return drop_headers(headers, _CONNECTION_HEADERS)


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    check_heads(connector)
    return new_client_session(connector, _CONNECT_TIMEOUT_S, read_bufsize=_READ_SIZE)
