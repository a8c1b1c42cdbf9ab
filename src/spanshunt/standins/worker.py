"""A stand-in of the platform's workers: plain answers, event streams, and their faults.

Written from the published protocol, on bare sockets: several of the faults are answers
that an HTTP library would not write.
"""

import asyncio
import contextlib
import random
import typing as t
from functools import partial

import msgspec

from .endless import chunk
from .endless import write_without_end
from .malformed import Malformed
from .malformed import malformed_answer
from .resets import reset
from .slots import WorkerSlots
from .worker_faults import ENDLESS
from .worker_faults import StreamEnding
from .worker_faults import WorkerFault
from .worker_messages import SURPLUS
from .worker_messages import SeenRequest
from .worker_messages import health_head
from .worker_messages import read_request
from .worker_messages import write_head

HEALTH_PATH = "/health"
"""Where a worker tells whether it is healthy; here it always is while it listens."""

PAUSE_S = 1.6
"""How long a stream is silent that goes on by itself, in s."""

CUT_AFTER = 2
"""Events after which a stream is cut by the faults that cut one."""


class Said(msgspec.Struct, frozen=True):
    """What an answer said of the worker: to which request, and when, by the loop."""

    request: str
    at: float
    headers: dict[str, str]


@contextlib.contextmanager
def _unfinished(writer: asyncio.StreamWriter, event: bytes) -> t.Iterator[None]:
    """Leave an event incomplete if this worker ends meanwhile.

    Between two events its end would look like that of the stream.
    """
    try:
        yield
    except asyncio.CancelledError:
        writer.write(event[:5])
        raise


class WorkerStandin:
    """One worker.

    ``fault`` strikes ``fault_share`` of its requests; ``failed_at`` tells when it gave
    failures of its own, in the loop's time. A request whose body is ``ends_on``, or
    whose prompt shares the part ``ends_on_part``, ends it when it has run for
    ``ends_after_s`` (after its first event if ``ends_begun``), and ``on_end`` is called
    then. A worker that is ``unframed`` gives answers with neither a length nor chunks,
    and ``broken_streams_left`` of its streams a ``stream_ending`` (-1: all). ``says``
    are headers that it puts into all its answers, ``asks`` those beside its word
    that it has no room, ``said`` which answers had any. ``slots`` bounds what it runs
    at once and how many requests wait; without them it has room for all. Its answers
    tell its load if it ``tells_load``, the answered request included if it
    ``counts_answered``. With
    ``brittle_per_s`` it says so, and ends once it turned more requests away in a
    second for want of room; ``falls`` counts that.
    ``endless_health`` is the fault of its health answers, if they have one;
    ``endless_bytes`` tells how much of each answer without end was written,
    ``endless_open`` how many are under way.
    ``malformed`` is what is wrong with ``malformed_share`` of its answers, if anything;
    ``malformed_given`` counts these.
    ``event_bytes`` is the least length of an event's data, ``whole_bytes`` that of a
    plain answer.

    Parameters
    ----------
    name : str
        Its id.
    version : str
        Its software's version.
    """

    def __init__(self, name: str, version: str = "v1") -> None:
        self.name = name
        self.version = version
        self.fault = WorkerFault.NONE
        self.faults_left = -1
        self.fault_share = 1.0
        self.failed_at: list[float] = []
        self.born = 0
        self.ends_on = b""
        self.ends_on_part = ""
        self.ends_begun = False
        self.ends_after_s = 0.02
        self.holds: t.Callable[[str], float] = lambda _request: 0.0
        self.on_end: t.Callable[[], None] = lambda: None
        self.slots: WorkerSlots | None = None
        self.tells_load = True
        self.counts_answered = False
        self.brittle_per_s = 0.0
        self.falls = 0
        self.turned_away: list[float] = []
        self.endless_health: WorkerFault | None = None
        self.endless_bytes: list[int] = []
        self.endless_open = 0
        self.malformed: Malformed | None = None
        self.malformed_share = 1.0
        self.malformed_given = 0
        self.unframed = False
        self.stream_ending = StreamEnding.WHOLE
        self.broken_streams_left = -1
        self.events = 4
        self.event_s = 0.0
        self.event_bytes = 0
        self.whole_bytes = 0
        self.sureness: dict[str, int] = {}
        self.says: dict[str, str] = {}
        self.said: list[Said] = []
        self.asks: dict[str, str] = {}
        self.seen: list[SeenRequest] = []
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.port = 0
        self._rng = random.Random(name)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    @property
    def listening(self) -> bool:
        """Whether it takes connections."""
        return self._server is not None and self._server.is_serving()

    async def start(self, port: int = 0) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop at once, cutting what is under way."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def end(self) -> None:
        """End at once: nothing listens any more, and all connections break."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    def break_off(self) -> None:
        """Cut all answers under way, and go on serving."""
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            owes = used = False
            while (seen := await read_request(reader)) is not None:
                if seen.target == HEALTH_PATH:
                    if self.endless_health is not None:
                        fault = self.endless_health
                        await self._write_without_end("", writer, fault)
                        break
                    writer.write(health_head(self.name))
                    continue
                self.seen.append(seen)
                if used and self.fault is WorkerFault.FORGET:
                    reset(t.cast(asyncio.Transport, writer.transport))
                    break
                used = True
                if owes:
                    writer.write(SURPLUS)
                owes = self.fault is WorkerFault.OWED
                if not await self._answer(seen, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._tasks.discard(task)
            writer.close()

    def _take_fault(self) -> WorkerFault:
        if self.fault is WorkerFault.NONE or self.faults_left == 0:
            return WorkerFault.NONE
        if self._rng.random() >= self.fault_share:
            return WorkerFault.NONE
        if self.faults_left > 0:
            self.faults_left -= 1
        return self.fault

    async def _answer(
        self,
        seen: SeenRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; tell whether the connection goes on."""
        fault = self._take_fault()
        expected = seen.headers.get("expect-instance", self.name)
        if fault is WorkerFault.DROP:
            return False
        if fault in ENDLESS:
            self.ran.append(seen.request)
            await self._write_without_end(seen.request, writer, fault)
            return False
        if expected != self.name or fault is WorkerFault.REPLACED:
            writer.write(self._head(421, seen.request, length=0, sealed=False))
            await writer.drain()
            return True
        if fault is WorkerFault.FULL or (self.slots and self.slots.is_full):
            extra = {"Not-Executed": "1", **self.asks}
            head = self._head(503, seen.request, length=0, sealed=False, extra=extra)
            writer.write(head)
            await writer.drain()
            return not self._falls_over()
        if self.slots and not await self._work(self.slots, seen, reader):
            return False
        self.ran.append(seen.request)
        if self._is_deadly(seen):
            if self.ends_begun:
                self._begin_stream(seen, writer)
            if await self._closed_within(reader, self.ends_after_s):
                self.cancelled.append(seen.request)
                return False
            self.end()
            self.on_end()
            return False
        held_s = self.holds(seen.request)
        if held_s and await self._closed_within(reader, held_s):
            self.cancelled.append(seen.request)
            return False
        if self.malformed is not None and self._rng.random() < self.malformed_share:
            self.malformed_given += 1
            writer.write(malformed_answer(self.malformed, seen, self.events))
            await writer.drain()
            return False
        if fault is WorkerFault.ERROR:
            self.failed_at.append(asyncio.get_running_loop().time())
        if fault is WorkerFault.MUTE:
            await self._until_closed(seen, reader)
            return False
        if "model" in seen.headers:
            if self.unframed and fault is WorkerFault.NONE:
                return await self._unframed_stream(seen, reader, writer)
            return await self._stream(seen, reader, writer, fault)
        return await self._whole(seen, writer, fault)

    def _is_deadly(self, seen: SeenRequest) -> bool:
        """Tell whether a request ends this worker: by its body, or a shared part."""
        if self.ends_on and seen.body == self.ends_on:
            return True
        parts = seen.headers.get("prompt-prefix", "").split(",")[:-1]
        names = [part.partition(":")[0] for part in parts]
        return bool(self.ends_on_part) and self.ends_on_part in names

    def _begin_stream(self, seen: SeenRequest, writer: asyncio.StreamWriter) -> None:
        """Write the head and the first event of a stream."""
        extra = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(self._head(200, seen.request, None, sealed=True, extra=extra))
        number = int(seen.headers.get("last-event-id", "0")) + 1
        writer.write(chunk(f"id: {number}\ndata: {seen.request}\n\n".encode()))

    def _falls_over(self) -> bool:
        """Count a request turned away; end and return True if that is too many."""
        now = asyncio.get_running_loop().time()
        self.turned_away.append(now)
        recent = sum(at > now - 1.0 for at in self.turned_away)
        if not self.brittle_per_s or recent <= self.brittle_per_s:
            return False
        self.falls += 1
        self.end()
        self.on_end()
        return True

    async def _work(
        self, slots: WorkerSlots, seen: SeenRequest, reader: asyncio.StreamReader
    ) -> bool:
        """Work in a slot; tell whether the answer is still awaited."""
        done = await slots.work(partial(self._closed_within, reader))
        if not done:
            self.cancelled.append(seen.request)
        return done

    async def _whole(
        self, seen: SeenRequest, writer: asyncio.StreamWriter, fault: WorkerFault
    ) -> bool:
        text = f"answer to {seen.request} by {self.name}"
        body = text.ljust(self.whole_bytes, ".").encode()
        status = 500 if fault is WorkerFault.ERROR else 200
        request = "someone-else" if fault is WorkerFault.OTHER else seen.request
        sealed = fault is not WorkerFault.UNSEALED
        if fault is WorkerFault.RESET:
            writer.write(self._head(status, request, length=None, sealed=sealed))
            writer.write(body[:5])
            await writer.drain()
            # What was written must be on its way before the reset drops the rest.
            await asyncio.sleep(0.02)
            reset(t.cast(asyncio.Transport, writer.transport))
            return False
        length = None if self.unframed else len(body)
        answer = self._head(status, request, length, sealed=sealed) + body
        writer.write(answer)
        if self.unframed:
            await writer.drain()
            return False
        if fault is WorkerFault.EXTRA:
            writer.write(SURPLUS)
        await writer.drain()
        if fault is WorkerFault.LATE_EXTRA:
            await asyncio.sleep(0.05)
            writer.write(SURPLUS)
        return True

    async def _stream(
        self,
        seen: SeenRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fault: WorkerFault,
    ) -> bool:
        status = 500 if fault is WorkerFault.ERROR else 200
        sealed = fault is not WorkerFault.UNSEALED
        extra = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        sure = self.sureness.get(seen.headers["model"])
        if sure is not None:
            extra["Confidence"] = str(sure)
        writer.write(self._head(status, seen.request, None, sealed=sealed, extra=extra))
        begin = int(seen.headers.get("last-event-id", "0")) + 1
        for sent, number in enumerate(range(begin, self.events + 1)):
            text = f"{seen.request}/{number}".ljust(self.event_bytes, ".")
            event = f"id: {number}\ndata: {text}\n\n".encode()
            if sent == CUT_AFTER and fault is WorkerFault.CUT:
                await asyncio.sleep(0.03)
                writer.write(chunk(event[:9]))
                await writer.drain()
                return False
            pauses = sent == CUT_AFTER and fault is WorkerFault.PAUSE
            if pauses and await self._closed_within(reader, PAUSE_S):
                self.cancelled.append(seen.request)
                return False
            if sent == CUT_AFTER and fault is WorkerFault.STALL:
                await self._until_closed(seen, reader)
                return False
            writer.write(chunk(event))
            await writer.drain()
            if self.event_s and await self._closed_within(reader, self.event_s):
                self.cancelled.append(seen.request)
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _unframed_stream(
        self,
        seen: SeenRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Write a stream with neither a length nor chunks; its connection ends it."""
        ending = self._take_ending()
        extra = {"Content-Type": "text/event-stream"}
        writer.write(self._head(200, seen.request, None, sealed=True, extra=extra))
        begin = int(seen.headers.get("last-event-id", "0")) + 1
        for sent, number in enumerate(range(begin, self.events + 1)):
            event = f"id: {number}\ndata: {seen.request}/{number} \u00e9\n\n".encode()
            if sent == CUT_AFTER and ending is not StreamEnding.WHOLE:
                await self._break_stream(event, ending, writer)
                return False
            writer.write(event)
            await writer.drain()
            with _unfinished(writer, event):
                left = self.event_s and await self._closed_within(reader, self.event_s)
            if left:
                self.cancelled.append(seen.request)
                return False
        return False

    async def _write_without_end(
        self, request: str, writer: asyncio.StreamWriter, fault: WorkerFault
    ) -> None:
        """Write bytes that are no answer until the box closes, or to a bound."""
        extra = {"Content-Type": "text/event-stream"}
        if fault is WorkerFault.ENDLESS_CHUNKS:
            extra["Transfer-Encoding"] = "chunked"
        head = self._head(200, request, None, sealed=True, extra=extra)
        self.endless_open += 1
        try:
            await write_without_end(writer, head, fault, self.endless_bytes)
        finally:
            self.endless_open -= 1

    def _take_ending(self) -> StreamEnding:
        if self.stream_ending is StreamEnding.WHOLE or not self.broken_streams_left:
            return StreamEnding.WHOLE
        self.broken_streams_left -= 1
        return self.stream_ending

    async def _break_stream(
        self, event: bytes, ending: StreamEnding, writer: asyncio.StreamWriter
    ) -> None:
        """End a stream early, before or inside its next event."""
        if ending is StreamEnding.INSIDE_EVENT:
            writer.write(event[:9])
        elif ending is StreamEnding.INSIDE_CHARACTER:
            writer.write(event[: event.index("\u00e9".encode()) + 1])
        await writer.drain()
        # What was written must be on its way before the connection ends.
        with _unfinished(writer, event):
            await asyncio.sleep(0.02)
        if ending is StreamEnding.RESET:
            reset(t.cast(asyncio.Transport, writer.transport))

    def _head(
        self,
        status: int,
        request: str,
        length: int | None,
        *,
        sealed: bool,
        extra: dict[str, str] | None = None,
    ) -> bytes:
        """Return an answer's head, with what this worker says of itself."""
        headers = {**(extra or {}), **self.says}
        if self.brittle_per_s:
            headers["Server-Brittle"] = f"{self.brittle_per_s:g}"
        if self.slots is not None and self.tells_load:
            row = self.slots
            running = row.running + int(self.counts_answered)
            headers["Instance-Load"] = f"{running},{row.waiting},{row.slots}"
        if self.says or self.asks:
            at = asyncio.get_running_loop().time()
            self.said.append(Said(request, at, headers))
        return write_head(
            status,
            request,
            length,
            sealed=sealed,
            tells_load=self.tells_load,
            extra=headers,
        )

    async def _until_closed(
        self, seen: SeenRequest, reader: asyncio.StreamReader
    ) -> None:
        await reader.read(1)
        self.cancelled.append(seen.request)

    async def _closed_within(self, reader: asyncio.StreamReader, wait: float) -> bool:
        try:
            async with asyncio.timeout(wait):
                return not await reader.read(1)
        except TimeoutError:
            return False
