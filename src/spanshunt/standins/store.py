"""A stand-in of the platform's store: keyed topics, long reads, and its ways to fail.

Written from the published protocol. Several endpoints lead to one store, so that it can
serve some boxes and refuse others.
"""

import asyncio
import base64
import copy
import enum
import typing as t

import msgspec
from aiohttp import web

from .resets import reset

_PAGE = 500

_PAUSE_STEP_S = 0.02


class EndpointFault(enum.Enum):
    """How an endpoint to the store fails.

    ``BUSY``: 503, nothing done. ``MANY``: 429, nothing done. ``SILENT``: no answer,
    nothing done. ``RESET``: the connection is reset, nothing done. ``PAUSED``: no
    answer until it goes on, then all of them. ``LOST``: writes are done and their
    answers lost. ``SLOW``: each answer takes ``slow_s``.
    """

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    SILENT = "silent"
    RESET = "reset"
    PAUSED = "paused"
    LOST = "lost"
    SLOW = "slow"


class StoredRecord(msgspec.Struct, frozen=True):
    """A keyed record; an empty value drops its key."""

    key: str
    value: bytes


class StoredTopic(msgspec.Struct):
    """One topic: its records from ``first`` on, and the newest offset of each key."""

    records: list[StoredRecord] = []
    first: int = 0
    newest: dict[str, int] = {}
    values: dict[str, bytes] = {}

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)


class StoreStandin:
    """The store's state; :meth:`endpoint` makes HTTP applications that lead to it."""

    def __init__(self) -> None:
        self.topics: dict[str, StoredTopic] = {}
        self.era = 1
        self.calls: list[str] = []
        self._changed = asyncio.Condition()

    def topic(self, name: str) -> StoredTopic:
        """Return a topic, made at its first use."""
        return self.topics.setdefault(name, StoredTopic())

    async def put(self, name: str, key: str, body: t.Any) -> int:
        """Put a record as the platform does; ``None`` drops the key."""
        value = b"" if body is None else msgspec.json.encode(body)
        return await self.append(name, [StoredRecord(key, value)])

    async def put_raw(self, name: str, key: str, value: bytes) -> int:
        """Put a record of any bytes, as another writer does."""
        return await self.append(name, [StoredRecord(key, value)])

    async def append(self, name: str, records: list[StoredRecord]) -> int:
        """Append records and return the offset of the first."""
        topic = self.topic(name)
        offset = topic.end
        for record in records:
            if record.value:
                topic.newest[record.key] = topic.end
                topic.values[record.key] = record.value
            else:
                topic.newest.pop(record.key, None)
                topic.values.pop(record.key, None)
            topic.records.append(record)
        async with self._changed:
            self._changed.notify_all()
        return offset

    def forget(self, name: str) -> None:
        """Drop the records of a topic; the newest of each key stay."""
        topic = self.topic(name)
        topic.first = topic.end
        topic.records.clear()

    def copy(self) -> dict[str, StoredTopic]:
        """Return a copy of all topics, to come back from later."""
        return copy.deepcopy(self.topics)

    async def come_back(self, kept: dict[str, StoredTopic]) -> None:
        """Come back from a copy: what was written since it was made is gone."""
        self.topics = copy.deepcopy(kept)
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    async def wait_beyond(self, name: str, offset: int, wait_s: float) -> None:
        """Wait until a topic holds a record at `offset`, at most `wait_s`."""
        era = self.era
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.topic(name).end > offset or self.era != era
                )
        except TimeoutError:
            return

    def endpoint(self) -> "StoreEndpoint":
        """Return a new way to the store."""
        return StoreEndpoint(self)


class StoreEndpoint:
    """One way to the store, with faults of its own."""

    def __init__(self, store: StoreStandin) -> None:
        self.fault = EndpointFault.NONE
        self.slow_s = 0.3
        self._store = store

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=4_194_304)
        app.router.add_post("/log-append", self._guarded(self._append))
        app.router.add_get("/log-read", self._guarded(self._read))
        app.router.add_get("/log-newest", self._guarded(self._newest))
        return app

    def _guarded(
        self, handle: t.Callable[[web.Request], t.Awaitable[web.Response]]
    ) -> t.Callable[[web.Request], t.Awaitable[web.Response]]:
        async def serve(req: web.Request) -> web.Response:
            waits = " waits" if req.query.get("WaitMs", "0") != "0" else ""
            self._store.calls.append(f"{req.path} {req.query.get('Topic', '')}{waits}")
            turned_away = await self._turn_away(req)
            if turned_away is not None:
                return turned_away
            fault = self.fault
            if fault is EndpointFault.SLOW:
                await asyncio.sleep(self.slow_s)
            resp = await handle(req)
            resp.headers["Store-Era"] = str(self._store.era)
            if fault is EndpointFault.LOST and req.method == "POST":
                return _reset(req)
            # A read that waited is answered by what holds when its wait ends.
            return await self._turn_away(req) or resp

        return serve

    async def _turn_away(self, req: web.Request) -> web.Response | None:
        """Answer for a store that does not serve now; None if it does."""
        if self.fault is EndpointFault.BUSY:
            return web.Response(status=503)
        if self.fault is EndpointFault.MANY:
            return web.Response(status=429)
        if self.fault is EndpointFault.SILENT:
            await asyncio.sleep(3_600)
        while self.fault is EndpointFault.PAUSED:  # noqa: ASYNC110
            await asyncio.sleep(_PAUSE_STEP_S)
        if self.fault is EndpointFault.RESET:
            return _reset(req)
        return None

    async def _append(self, req: web.Request) -> web.Response:
        name = req.query["Topic"]
        if name == "keyed.servers":
            return web.Response(status=403)
        topic = self._store.topic(name)
        wanted = req.query.get("StoreRevision")
        if wanted is not None and int(wanted) != topic.end:
            return web.json_response({"End": topic.end}, status=412)
        offset = await self._store.append(name, _records(await req.read()))
        return web.json_response({"Offset": offset, "End": topic.end})

    async def _read(self, req: web.Request) -> web.Response:
        name, since = req.query["Topic"], int(req.query["From"])
        wait_s = int(req.query.get("WaitMs", "0")) / 1_000
        topic = self._store.topic(name)
        if not topic.first <= since <= topic.end:
            return web.json_response({"First": topic.first}, status=410)
        await self._store.wait_beyond(name, since, wait_s)
        topic = self._store.topic(name)
        if not topic.first <= since <= topic.end:
            return web.json_response({"First": topic.first}, status=410)
        parts = [topic.end.to_bytes(8, "big"), topic.first.to_bytes(8, "big")]
        parts += [_raw(record) for record in topic.records[since - topic.first :]]
        return web.Response(body=b"".join(parts))

    async def _newest(self, req: web.Request) -> web.Response:
        topic = self._store.topic(req.query["Topic"])
        since = req.query.get("SinceRev", "")
        keys = sorted(key for key in topic.newest if key > since)
        items = [
            {
                "KeyFile": key,
                "Value": base64.b64encode(topic.values[key]).decode(),
                "Offset": topic.newest[key],
            }
            for key in keys[:_PAGE]
        ]
        more = len(keys) > _PAGE
        return web.json_response({"Items": items, "MorePages": more, "End": topic.end})


def _reset(req: web.Request) -> web.Response:
    assert req.transport is not None
    reset(req.transport)
    return web.Response(status=500)


def _records(raw: bytes) -> list[StoredRecord]:
    records = []
    place = 0
    while place < len(raw):
        size = int.from_bytes(raw[place : place + 4], "big")
        body = raw[place + 4 : place + 4 + size]
        split = 1 + body[0]
        records.append(StoredRecord(body[1:split].decode(), body[split:]))
        place += 4 + size
    return records


def _raw(record: StoredRecord) -> bytes:
    name = record.key.encode()
    body = bytes([len(name)]) + name + record.value
    return len(body).to_bytes(4, "big") + body
