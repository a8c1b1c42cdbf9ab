"""A stand-in of the platform's append-only log.

``POST /streams/S/append`` appends the body and answers its offset. ``GET /streams/S``
reads from an offset and may wait for a record. ``POST /faults`` sets what fails.
"""

import asyncio
import base64
import contextlib
import random
import typing as t

import msgspec
from aiohttp import web

from ..backing.log import WireAppended
from ..backing.log import WireRead
from ..backing.log import WireRecord
from ..clock import Clock
from ..ids import Millis

MAX_RECORD_BYTES = 1_048_576


class LogFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What fails.

    Attributes
    ----------
    down : bool
        Every call answers 503.
    slow_ms : int
        Each call takes this much longer.
    lose_answers : float
        The share of appends whose answer is lost after the effect.
    appends_per_s : float
        Appends above this rate answer 503.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: float = 0.0
    appends_per_s: float = 100.0


class StoredRecord(msgspec.Struct, frozen=True):
    """A record, its offset and the log's wall clock in ms."""

    offset: int
    at: int
    data: bytes


class StreamStore:
    """One stream: records from ``first`` up to ``next``."""

    def __init__(self) -> None:
        self.records: list[StoredRecord] = []
        self.first = 0
        self.next = 0
        self.grown = asyncio.Event()

    def append(self, data: bytes, at: Millis) -> int:
        """Keep `data` and return its offset."""
        offset = self.next
        last = self.records[-1].at if self.records else 0
        self.records.append(StoredRecord(offset, max(int(at), last), data))
        self.next += 1
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def drop_before(self, offset: int) -> None:
        """Forget the records before `offset`."""
        self.first = max(self.first, min(offset, self.next))
        self.records = [row for row in self.records if row.offset >= self.first]

    def read(self, start: int, limit: int) -> WireRead:
        """Return up to `limit` records from `start` on."""
        skip = max(0, start - self.first)
        rows = self.records[skip : skip + limit]
        records = tuple(
            WireRecord(row.offset, row.at, base64.b64encode(row.data).decode())
            for row in rows
        )
        return WireRead(self.first, self.next, records)


class LogStandin:
    """The stand-in's state and handlers.

    Parameters
    ----------
    clock : Clock
        Its wall clock.
    seed : int
        For the choice of lost answers.
    """

    def __init__(self, clock: Clock, seed: int = 0) -> None:
        self.faults = LogFaults()
        self.streams: dict[str, StreamStore] = {}
        self.appends = 0
        self._clock = clock
        self._random = random.Random(seed)
        self._allowance = 100.0
        self._refilled = clock.now()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_RECORD_BYTES)
        app.router.add_post("/streams/{stream}/append", self._append)
        app.router.add_post("/streams/{stream}/drop", self._drop)
        app.router.add_get("/streams/{stream}", self._read)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/stats", self._stats)
        return app

    def stream(self, name: str) -> StreamStore:
        """Return the stream called `name`, a new one the first time."""
        return self.streams.setdefault(name, StreamStore())

    async def _append(self, req: web.Request) -> web.StreamResponse:
        data = await req.read()
        await self._delay()
        if self.faults.down or not self._take_allowance():
            return web.Response(status=503)
        offset = self.stream(req.match_info["stream"]).append(data, self._clock.wall())
        self.appends += 1
        if self._random.random() < self.faults.lose_answers:
            if req.transport is not None:
                req.transport.abort()
            return web.Response(status=500)
        return _json(WireAppended(offset))

    async def _read(self, req: web.Request) -> web.StreamResponse:
        await self._delay()
        if self.faults.down:
            return web.Response(status=503)
        stream = self.stream(req.match_info["stream"])
        start = int(req.query.get("from", "0"))
        limit = int(req.query.get("limit", "100"))
        wait_ms = int(req.query.get("wait_ms", "0"))
        if start < stream.first:
            return _json(WireRead(stream.first, stream.next), status=410)
        if start >= stream.next and wait_ms:
            grown = stream.grown
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(grown.wait(), wait_ms / 1000)
            if self.faults.down:
                return web.Response(status=503)
        return _json(stream.read(start, limit))

    async def _drop(self, req: web.Request) -> web.StreamResponse:
        before = int(req.query["before"])
        self.stream(req.match_info["stream"]).drop_before(before)
        return web.Response(status=204)

    async def _set_faults(self, req: web.Request) -> web.StreamResponse:
        self.faults = msgspec.json.decode(await req.read(), type=LogFaults)
        return web.Response(status=204)

    async def _stats(self, _req: web.Request) -> web.StreamResponse:
        return _json({"appends": self.appends})

    async def _delay(self) -> None:
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)

    def _take_allowance(self) -> bool:
        now = self._clock.now()
        rate = self.faults.appends_per_s
        grown = self._allowance + rate * (now - self._refilled) / 1000
        self._allowance = min(rate, grown)
        self._refilled = now
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True


def _json(value: t.Any, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
