"""The one client of the platform's store; each of its ways to fail is a value."""

import enum
import typing as t

import aiohttp
import msgspec
from result import Err
from result import Ok
from result import Result

from ..ids import Offset
from ..kept_sessions import CALL_LOST
from ..kept_sessions import KeptSessions
from ..systems.eras import MAX_ERAS
from ..systems.eras import era_of
from ..systems.eras import position_of
from ..systems.eras import store_offset_of
from ..time_limits import within
from ..utils import whole_number
from .wire import ERA
from .wire import Appended
from .wire import NewestPage
from .wire import StoreItem
from .wire import decode

PAGES_MOST = 200
"""Pages of one listing read in a row: 100,000 entries, ten times the fleet of two years
from now."""

_HEADER_BYTES = 16
"""A read's answer begins with the end and the first offset kept, 8 bytes each."""


class StoreProblem(enum.Enum):
    """Why a call failed.

    ``REFUSED``: nothing was done (429, 503). ``LOST``: no answer; it may have been done
    or be done yet. ``CONDITION``: the topic ends elsewhere (409, 412), or the store
    came back older since it was looked where. ``TRIMMED``: the records asked for are
    not there (410): trimmed, or the store came back from a copy that lacks them.
    ``OLD``: an answer from before that, which came late. ``ODD``: an answer that the
    protocol does not have.
    """

    REFUSED = "refused"
    LOST = "lost"
    CONDITION = "condition"
    TRIMMED = "trimmed"
    OLD = "old"
    ODD = "odd"


class StoreFault(msgspec.Struct, frozen=True):
    """A call that failed."""

    problem: StoreProblem
    detail: str


class Listing(msgspec.Struct, frozen=True):
    """The newest record of each key of a topic, and the topic's end before it."""

    items: tuple[StoreItem, ...]
    end: Offset


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes
    offset: Offset


class Tail(msgspec.Struct, frozen=True):
    """Records read from a place on, and the place after them."""

    records: tuple[KeyedRecord, ...]
    next: Offset


_PROBLEMS = {
    409: StoreProblem.CONDITION,
    410: StoreProblem.TRIMMED,
    412: StoreProblem.CONDITION,
    429: StoreProblem.REFUSED,
    503: StoreProblem.REFUSED,
}


class _Answered(t.NamedTuple):
    """The body of an answer, and the era of the store that gave it."""

    raw: bytes
    era: int


class _Request(t.NamedTuple):
    """One call; `query` as names and values."""

    method: str
    url: str
    query: dict[str, str]
    body: bytes | None


class _Whole(t.NamedTuple):
    """A whole answer, and the era that it names."""

    status: int
    era: str | None
    raw: bytes


class StoreClient:
    """Calls the store. Its offsets are places that rise across eras of the store, too.

    Parameters
    ----------
    address : str
        Where it listens.
    timeout_ms : int
        Longest that a call may take beyond the time it asks to wait, in ms. A late loop
        does not use it up; see `time_limits`.
    count : callable
        Counts calls by name.
    on_era : callable
        Called with the store's era at each answer that names a later one.
    """

    def __init__(
        self,
        address: str,
        timeout_ms: int,
        count: t.Callable[[str], None],
        on_era: t.Callable[[int], None] = lambda _era: None,
    ) -> None:
        self._base = f"http://{address}"
        self._timeout = timeout_ms / 1_000
        self._count = count
        self._on_era = on_era
        self._era = 0
        self._told = False
        self._kept = KeptSessions()
        self._fresh = KeptSessions(keep=False)

    def set_timeout(self, timeout_ms: int) -> None:
        """Let calls that begin from now on take this long, in ms."""
        self._timeout = timeout_ms / 1_000

    async def start(self) -> None:
        """Open the sessions."""
        self._kept.start()
        self._fresh.start()

    async def stop(self) -> None:
        """Close the sessions."""
        await self._kept.stop()
        await self._fresh.stop()

    async def newest(
        self, topic: str, most_ms: int | None = None
    ) -> Result[Listing, StoreFault]:
        """Return the newest record of each key; each page in `most_ms` at most."""
        items: list[StoreItem] = []
        end: Offset | None = None
        since = ""
        for _ in range(PAGES_MOST):
            query = {"Topic": topic, "part": "0"}
            if since:
                query["SinceRev"] = since
            got = await self._call("GET", "/log-newest", query, most_ms=most_ms)
            if isinstance(got, Err):
                return got
            raw, era = got.ok_value
            page = decode(raw, NewestPage)
            if isinstance(page, Err):
                return Err(StoreFault(StoreProblem.ODD, page.err_value))
            if end is not None and era_of(end) != era:
                detail = "/log-newest: came back older between two pages"
                return Err(StoreFault(StoreProblem.OLD, detail))
            items.extend(
                msgspec.structs.replace(item, offset=position_of(era, item.offset))
                for item in page.ok_value.items
            )
            # Pages are no snapshot: the first page's end is what all of them hold.
            end = position_of(era, page.ok_value.end) if end is None else end
            if not page.ok_value.more_pages:
                break
            since = items[-1].key_file
        return Ok(Listing(tuple(items), Offset(end or 0)))

    async def tail(
        self,
        topic: str,
        since: Offset,
        wait_ms: int,
        most_ms: int | None = None,
        *,
        fresh: bool = False,
    ) -> Result[Tail, StoreFault]:
        """Return records from an offset on, waiting for the first one.

        The answer must come within `most_ms` beyond the wait. A `fresh` read takes a
        connection of its own, which can't be dead already.
        """
        query = {
            "Topic": topic,
            "part": "0",
            "From": str(store_offset_of(since)),
            "WaitMs": str(wait_ms),
        }
        if era_of(since) != self._era:
            return Err(_trimmed("/log-read: a place from before the store's copy"))
        got = await self._call(
            "GET",
            "/log-read",
            query,
            wait_ms=wait_ms,
            most_ms=most_ms,
            sessions=self._fresh if fresh else self._kept,
        )
        if isinstance(got, Err):
            return got
        raw, era = got.ok_value
        if era_of(since) != era:
            return Err(_trimmed("/log-read: the store came back older"))
        return _decode_tail(raw, since)

    async def append(
        self, topic: str, key: str, value: bytes, expected_end: Offset | None = None
    ) -> Result[Offset, StoreFault]:
        """Append a keyed record, if asked only where the topic ends as expected."""
        name = key.encode()
        body = bytes([len(name)]) + name + value
        query = {"Topic": topic, "part": "0"}
        if expected_end is not None:
            if era_of(expected_end) != self._era:
                detail = "/log-append: an end from before the store's copy"
                return Err(StoreFault(StoreProblem.CONDITION, detail))
            query["StoreRevision"] = str(store_offset_of(expected_end))
        raw = len(body).to_bytes(4, "big") + body
        got = await self._call("POST", "/log-append", query, raw)
        if isinstance(got, Err):
            return got
        answer, era = got.ok_value
        appended = decode(answer, Appended)
        if isinstance(appended, Err):
            return Err(StoreFault(StoreProblem.ODD, appended.err_value))
        if expected_end is not None and era_of(expected_end) != era:
            # Its offsets are given out again: the condition held by chance, and who
            # wrote what this may hide is to be looked at.
            detail = "/log-append: done after the store came back older"
            return Err(StoreFault(StoreProblem.CONDITION, detail))
        return Ok(position_of(era, appended.ok_value.offset))

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None = None,
        wait_ms: int = 0,
        most_ms: int | None = None,
        sessions: KeptSessions | None = None,
    ) -> Result[_Answered, StoreFault]:
        self._count("store_calls")
        answer_s = self._timeout if most_ms is None else most_ms / 1_000
        request = _Request(method, self._base + path, query, body)
        try:
            async with (sessions or self._kept).lend() as http:
                got = await within(
                    answer_s + wait_ms / 1_000, _read(http, request, answer_s)
                )
        except CALL_LOST as exc:
            self._count("store_calls_lost")
            return Err(StoreFault(StoreProblem.LOST, f"{path}: {type(exc).__name__}"))
        era = self._take_era(got.era)
        if era < self._era:
            detail = f"{path}: of era {era}, after {self._era}"
            return Err(StoreFault(StoreProblem.OLD, detail))
        if got.status == 200:
            return Ok(_Answered(got.raw, era))
        self._count(f"store_status_{got.status}")
        problem = _PROBLEMS.get(got.status, StoreProblem.ODD)
        return Err(StoreFault(problem, f"{path}: status {got.status}"))

    def _take_era(self, text: str | None) -> int:
        """Return the era of an answer; one that names none is of the last one known."""
        found = whole_number(text) if text is not None else None
        if found is None or found >= MAX_ERAS:
            if text is not None:
                self._count("store_eras_unreadable")
            return self._era
        if found > self._era or not self._told:
            self._told = True
            self._era = max(self._era, found)
            self._on_era(found)
        return found


async def _read(
    http: aiohttp.ClientSession, request: _Request, connect_s: float
) -> _Whole:
    """Return the whole answer to a request, whose own time `within` limits."""
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=connect_s)
    asked = http.request(
        request.method,
        request.url,
        params=request.query,
        data=request.body,
        timeout=timeout,
    )
    async with asked as resp:
        raw = await resp.read()
        return _Whole(resp.status, resp.headers.get(ERA), raw)


def _trimmed(detail: str) -> StoreFault:
    return StoreFault(StoreProblem.TRIMMED, detail)


def _decode_tail(raw: bytes, since: Offset) -> Result[Tail, StoreFault]:
    """Cut an answer into records: length (4 bytes), the key's (1), key, value."""
    if len(raw) < _HEADER_BYTES:
        return Err(StoreFault(StoreProblem.ODD, f"/log-read: {len(raw)} bytes"))
    records: list[KeyedRecord] = []
    place, offset = _HEADER_BYTES, int(since)
    while place + 4 <= len(raw):
        size = int.from_bytes(raw[place : place + 4], "big")
        record = raw[place + 4 : place + 4 + size]
        place += 4 + size
        if len(record) != size or not record:
            return Err(StoreFault(StoreProblem.ODD, "/log-read: a record is cut short"))
        split = 1 + record[0]
        key = record[1:split].decode("utf-8", "replace")
        records.append(KeyedRecord(key, record[split:], Offset(offset)))
        offset += 1
    return Ok(Tail(tuple(records), Offset(offset)))
