"""The client of the platform's append-only log, over HTTP."""

import base64

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from ..ids import Millis
from ..ids import Offset
from ..kept_sessions import KeptSessions
from ..records import LogRecord
from ..records import Stream
from .outcomes import Fault
from .outcomes import PlatformFault

READ_LIMIT = 500
"""Records asked for in one read."""


class WireRecord(msgspec.Struct, frozen=True):
    """A record as the log's HTTP API gives it; ``data`` is base64."""

    offset: int
    at: int
    data: str


class WireRead(msgspec.Struct, frozen=True):
    """An answer of the log's HTTP API to a read.

    Attributes
    ----------
    first : int
        The first offset still held.
    next : int
        The offset that the next append will get: the head.
    """

    first: int
    next: int
    records: tuple[WireRecord, ...] = ()


class WireAppended(msgspec.Struct, frozen=True):
    """An answer of the log's HTTP API to an append."""

    offset: int


class LogRead(msgspec.Struct, frozen=True):
    """What a read gave: records, and the head of the stream at that time."""

    records: tuple[LogRecord, ...]
    first: Offset
    head: Offset


class LogClient:
    """Reads and appends on the platform's log.

    Parameters
    ----------
    url : str
        The log's base URL.
    timeout_ms : int
        How long a call may take, in ms.
    """

    def __init__(self, url: str, timeout_ms: int) -> None:
        self._url = url.rstrip("/")
        self._timeout_ms = timeout_ms
        self._sessions = KeptSessions()

    async def start(self) -> None:
        """Open the connection pool."""
        self._sessions.start()

    async def stop(self) -> None:
        """Close the connection pool."""
        await self._sessions.stop()

    async def append(
        self, stream: Stream, data: bytes
    ) -> Result[Offset, PlatformFault]:
        """Append one record; the answer's offset proves that it is on the log."""
        url = f"{self._url}/streams/{stream.value}/append"
        try:
            async with (
                self._sessions.lend() as http,
                http.post(url, data=data, timeout=self._timeout(0)) as answer,
            ):
                raw = await answer.read()
                if answer.status == 503:
                    return Err(PlatformFault(Fault.NOT_DONE, "log answers 503"))
                if answer.status != 200:
                    return Err(_unknown(f"log answers {answer.status}"))
                appended = msgspec.json.decode(raw, type=WireAppended)
                return Ok(Offset(appended.offset))
        except aiohttp.ClientConnectorError as exc:
            return Err(PlatformFault(Fault.NOT_DONE, f"log not reached: {exc}"))
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError) as exc:
            return Err(_unknown(f"log append: {type(exc).__name__} {exc}"))

    async def read(
        self, stream: Stream, start: Offset, wait_ms: int = 0
    ) -> Result[LogRead, PlatformFault]:
        """Read records from `start` on, waiting up to `wait_ms` for a first one."""
        url = f"{self._url}/streams/{stream.value}"
        query = {"from": str(start), "limit": str(READ_LIMIT), "wait_ms": str(wait_ms)}
        timeout = self._timeout(wait_ms)
        try:
            async with (
                self._sessions.lend() as http,
                http.get(url, params=query, timeout=timeout) as answer,
            ):
                raw = await answer.read()
                if answer.status not in (200, 410):
                    detail = f"log answers {answer.status}"
                    return Err(PlatformFault(Fault.NOT_DONE, detail))
                read = msgspec.json.decode(raw, type=WireRead)
                if answer.status == 410:
                    return Err(PlatformFault(Fault.DROPPED, "dropped", read.first))
                return Ok(_log_read(read))
        except (TimeoutError, aiohttp.ClientError, ValueError) as exc:
            detail = f"log read: {type(exc).__name__} {exc}"
            return Err(PlatformFault(Fault.NOT_DONE, detail))

    def _timeout(self, wait_ms: int) -> aiohttp.ClientTimeout:
        """Return the timeout of a call that the log may hold for `wait_ms`."""
        return aiohttp.ClientTimeout(total=(self._timeout_ms + wait_ms) / 1000)


def _log_read(read: WireRead) -> LogRead:
    records = tuple(
        LogRecord(Offset(row.offset), Millis(row.at), base64.b64decode(row.data))
        for row in read.records
    )
    return LogRead(records, Offset(read.first), Offset(read.next))


def _unknown(detail: str) -> PlatformFault:
    return PlatformFault(Fault.UNKNOWN, detail)
