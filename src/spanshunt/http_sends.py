"""Sends to workers over HTTP, and their answers as they are read."""

import errno
import typing as t

import aiohttp
import msgspec
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result
from yarl import URL

from .ports import Answer
from .ports import BrokenAnswerError
from .ports import SendFault
from .ports import TruncatedAnswerError
from .systems.worker_health import WorkerLoad
from .tables.notices import Notice

READ_BYTES_MOST = 16_777_216
"""Longest answer that is read whole before it is given, in bytes: a box has some 100 MB
in all. Longer ones must be streams."""


_SKIPPED = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class HttpSend(msgspec.Struct, frozen=True):
    """One send: what and where to.

    Attributes
    ----------
    method : str
        The HTTP method.
    url : URL
        Where to, with path and query as they came.
    headers : CIMultiDict
        All headers.
    body : bytes
        The body; empty for none.
    """

    method: str
    url: URL
    headers: CIMultiDict[str]
    body: bytes


def worker_session(
    connector: aiohttp.TCPConnector, connect_s: float, **options: t.Any
) -> aiohttp.ClientSession:
    """Return a session for :func:`send_http`: it changes no body and never sends again.

    Parameters
    ----------
    connector : aiohttp.TCPConnector
        Opens and keeps the connections.
    connect_s : float
        How long one may take to come up, in s.
    **options
        Further ones of the session.
    """
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
        auto_decompress=False,
        **options,
    )
    # The library sends again by itself when a kept connection breaks, PUT and DELETE,
    # too; what may be repeated is decided by the request path alone.
    session._retry_connection = False
    return session


def without(
    headers: t.Mapping[str, str], dropped: t.Collection[str]
) -> CIMultiDict[str]:
    """Return the headers that travel on; `dropped` are named in lower case."""
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


class HttpAnswer(Answer):
    """An answer that is being read from a connection.

    Parameters
    ----------
    resp : aiohttp.ClientResponse
        Its head, read.
    headers : CIMultiDict
        What travels back to the caller.
    """

    def __init__(self, resp: aiohttp.ClientResponse, headers: CIMultiDict[str]) -> None:
        self._resp = resp
        self.status = resp.status
        self.headers = headers
        self.not_run = False
        self.replaced = False
        self.defect = ""
        self.confidence: float | None = None
        self.load: WorkerLoad | None = None
        self.notice = Notice()

    async def read(self) -> bytes:
        """Return the whole body, or raise ``BrokenAnswerError``."""
        blocks = []
        size = 0
        while block := await self.next_block():
            size += len(block)
            if size > READ_BYTES_MOST:
                raise BrokenAnswerError(f"body: over {READ_BYTES_MOST} bytes")
            blocks.append(block)
        return b"".join(blocks)

    async def next_block(self) -> bytes:
        """Return the next bytes, empty at the end, or raise ``BrokenAnswerError``."""
        try:
            return await self._resp.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            raise TruncatedAnswerError(f"body: {type(exc).__name__}") from exc

    def close(self) -> None:
        """Let go of it; one that is not read to its end is cut off at the worker."""
        self._resp.close()


async def send_http(
    session: aiohttp.ClientSession, send: HttpSend, *, kept: bool
) -> Result[aiohttp.ClientResponse, SendFault]:
    """Send a request and return the head of its answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Whose connections to use; it must not send again by itself.
    send : HttpSend
        What to send.
    kept : bool
        Whether the session uses connections again, which workers may have forgotten.
    """
    try:
        resp = await session.request(
            send.method,
            send.url,
            headers=send.headers,
            data=send.body or None,
            skip_auto_headers=_SKIPPED,
            allow_redirects=False,
        )
    except aiohttp.ClientConnectorError as exc:
        refused = exc.os_error.errno == errno.ECONNREFUSED
        return Err(SendFault(True, f"not reached: {exc.os_error}", refused=refused))
    except aiohttp.ConnectionTimeoutError:
        return Err(SendFault(True, "not reached: the connection did not come up"))
    except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as exc:
        return Err(SendFault(False, f"{type(exc).__name__}: {exc}", kept))
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        return Err(SendFault(False, f"{type(exc).__name__}: {exc}"))
    return Ok(resp)
