"""HTTP requests to workers, and reading of their answers."""

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
from .ports import Collect
from .ports import SendFault
from .ports import TruncatedAnswerError
from .ports import WorkerResponse
from .ports import do_not_collect
from .systems.worker_health import WorkerLoad
from .tables.notices import Notice

MAX_READ_BYTES = 16_777_216
"""Maximum length in bytes of an answer that is read completely before it is forwarded.
A box has about 100 MB of memory in all; longer answers must be streams."""

_NO_DEFAULT_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class HttpSend(msgspec.Struct, frozen=True):
    """One HTTP request to a worker.

    Attributes
    ----------
    method : str
        HTTP method.
    url : URL
        Address of the worker, with path and query as received.
    headers : CIMultiDict
        All headers of the request.
    body : bytes
        The complete body; empty for none.
    """

    method: str
    url: URL
    headers: CIMultiDict[str]
    body: bytes


def new_client_session(
    connector: aiohttp.TCPConnector, connect_s: float, **options: t.Any
) -> aiohttp.ClientSession:
    """Return a session for :func:`send_http`, which changes no body and never retries.

    Parameters
    ----------
    connector : aiohttp.TCPConnector
        Opens the connections and keeps them for reuse.
    connect_s : float
        Timeout for opening a connection, in s.
    **options
        Further options of ``aiohttp.ClientSession``.
    """
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
        auto_decompress=False,
        **options,
    )
    # aiohttp retries by itself when a reused connection breaks, even PUT and DELETE.
    # Only the request path may decide what is repeated.
    session._retry_connection = False
    return session


def worker_url(address: str, target: str) -> URL:
    """Return the URL of a request to a worker, with the target as it was received.

    The target is taken as a path as a whole: a parsed URL forgets an empty query.
    """
    host, _, port = address.rpartition(":")
    return URL.build(
        scheme="http", host=host, port=int(port), path=target, encoded=True
    )


def drop_headers(
    headers: t.Mapping[str, str], dropped: t.Collection[str]
) -> CIMultiDict[str]:
    """Return the headers other than those in `dropped`, which are in lower case."""
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


class HttpAnswer(Answer):
    """Answer of a worker, read from its connection.

    Parameters
    ----------
    resp : WorkerResponse
        Response whose head has been read.
    headers : CIMultiDict
        Headers forwarded to the caller.
    """

    def __init__(self, resp: WorkerResponse, headers: CIMultiDict[str]) -> None:
        self._resp = resp
        self.status = resp.status
        self.headers = headers
        self.not_run = False
        self.replaced = False
        self.defect = ""
        self.indirect = False
        self.confidence: float | None = None
        self.load: WorkerLoad | None = None
        self.notice = Notice()

    async def read(self, collect: Collect = do_not_collect) -> bytes:
        """Return the complete body, or raise ``BrokenAnswerError``."""
        blocks = []
        size = 0
        while block := await self.next_block():
            size += len(block)
            if size > MAX_READ_BYTES:
                raise BrokenAnswerError(f"body: over {MAX_READ_BYTES} bytes")
            blocks.append(block)
            await collect(len(block))
        return b"".join(blocks)

    async def next_block(self) -> bytes:
        """Return the next bytes (empty at the end) or raise ``BrokenAnswerError``."""
        try:
            return await self._resp.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            raise TruncatedAnswerError(f"body: {type(exc).__name__}") from exc

    def close(self) -> None:
        """Release the answer, cancelling it at the worker if it is not fully read."""
        self._resp.close()


async def send_http(
    session: aiohttp.ClientSession, send: HttpSend, *, reuses_connections: bool
) -> Result[aiohttp.ClientResponse, SendFault]:
    """Send a request and return the head of its answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session whose connections are used; it must not retry by itself.
    send : HttpSend
        The request.
    reuses_connections : bool
        Whether the session reuses connections, which workers may have closed.
    """
    try:
        resp = await session.request(
            send.method,
            send.url,
            headers=send.headers,
            data=send.body or None,
            skip_auto_headers=_NO_DEFAULT_HEADERS,
            allow_redirects=False,
        )
    except aiohttp.ClientConnectorError as exc:
        refused = exc.os_error.errno == errno.ECONNREFUSED
        return Err(SendFault(True, f"not reached: {exc.os_error}", refused=refused))
    except aiohttp.InvalidURL as exc:
        return Err(SendFault(True, f"not reached: no address: {exc}"))
    except aiohttp.ConnectionTimeoutError:
        return Err(SendFault(True, "not reached: timeout while connecting"))
    except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as exc:
        return Err(SendFault(False, f"{type(exc).__name__}: {exc}", reuses_connections))
    except (aiohttp.ClientError, OSError, ValueError) as exc:
        return Err(SendFault(False, f"{type(exc).__name__}: {exc}"))
    return Ok(resp)
