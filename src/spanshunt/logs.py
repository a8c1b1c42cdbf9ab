"""Structured logs by loguru: one JSON object a line, bounded, never blocking.

Lines wait in a bounded queue and are written to standard output between requests, as
far as it takes them. When the queue is full, lines are dropped and counted; the count
is logged as soon as there is room.
"""

import asyncio
import collections
import json
import os
import sys
import typing as t

import msgspec
from loguru import logger

if t.TYPE_CHECKING:
    from loguru import Message

    from .settings import Logging

QUEUE_LINES = 4_096
"""Lines that may wait: some 20 s of a box at 60 requests a second, under 2 MB."""

BATCH_BYTES = 65_536
"""Most bytes given to one write: what a pipe usually holds."""

FLUSH_MS = 200
"""Period of writing log lines, in ms."""

MOST_LATER = 64
"""Lines that may wait for the one under way."""

_TEXT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level: <7} {extra[box]} {message} {extra[fields]}"
)


class LineQueue:
    """A bounded queue of log lines before a file descriptor.

    Parameters
    ----------
    fd : int
        Where lines go.
    limit : int
        Lines that may wait.
    """

    def __init__(self, fd: int, limit: int = QUEUE_LINES) -> None:
        self.dropped = 0
        self.written = 0
        self._fd = fd
        self._limit = limit
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._told = 0

    def put(self, line: bytes) -> None:
        """Queue a line, or count it as dropped."""
        if len(self._lines) >= self._limit:
            self.dropped += 1
            return
        self._lines.append(line)

    def flush(self) -> None:
        """Write what the descriptor takes now; the rest waits."""
        if self.dropped > self._told and len(self._lines) < self._limit:
            lost = self.dropped - self._told
            self._told = self.dropped
            self._lines.append(b'{"event":"log lines dropped","lines":%d}\n' % lost)
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_batch()
            try:
                taken = os.write(self._fd, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; its lines are counted as dropped.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[taken:]

    def _next_batch(self) -> bytes:
        batch: list[bytes] = []
        size = 0
        while self._lines and size < BATCH_BYTES:
            line = self._lines.popleft()
            batch.append(line)
            size += len(line)
        self.written += len(batch)
        return b"".join(batch)


def set_up_logs(settings: "Logging", box: str) -> LineQueue:
    """Send logs to standard output as the settings say; return their queue.

    The caller runs `keep_flushing`, and flushes the queue once more at the end.
    """
    queue = LineQueue(sys.stdout.fileno())
    os.set_blocking(sys.stdout.fileno(), False)
    send_logs(settings, box, queue)
    return queue


async def keep_flushing(queue: LineQueue) -> None:
    """Write the queue's lines now and then, until cancelled."""
    while True:
        await asyncio.sleep(FLUSH_MS / 1_000)
        queue.flush()


def send_logs(settings: "Logging", box: str, queue: LineQueue) -> None:
    """Send logs to a queue as the settings say; what was set up before ends."""
    logger.remove()
    logger.configure(extra={"box": box, "fields": ""})
    if settings.json:
        logger.add(_json_sink(queue, box), level=settings.level, format="{message}")
    else:

        def write_text(message: "Message") -> None:
            queue.put(message.encode(errors="backslashreplace"))

        logger.add(write_text, level=settings.level, format=_TEXT)


class _Later(t.NamedTuple):
    """A line that waits until the one under way is logged."""

    level: str
    message: str
    fields: dict[str, object]


class _LineState:
    """Whether a line is being logged, and those that came up meanwhile."""

    def __init__(self) -> None:
        self.busy = False
        self.later: collections.deque[_Later] = collections.deque(maxlen=MOST_LATER)


_state = _LineState()


def log_event(level: str, message: str, **fields: object) -> None:
    """Log an event with fields; never prompt text, answers or credentials.

    What is logged while a line is, as by a finalizer that runs then, comes after it.
    """
    if _state.busy:
        _state.later.append(_Later(level, message, fields))
        return
    _state.busy = True
    try:
        _log(level, message, fields)
        while _state.later:
            _log(*_state.later.popleft())
    finally:
        _state.busy = False


def _log(level: str, message: str, fields: dict[str, object]) -> None:
    shown = _Shown(fields)
    logger.opt(depth=2).bind(fields=shown, data=fields).log(level, message)


class _Shown:
    """Fields as text, made only if a line of text is written."""

    __slots__ = ("_fields",)

    def __init__(self, fields: dict[str, object]) -> None:
        self._fields = fields

    def __format__(self, spec: str) -> str:
        return " ".join(f"{name}={value}" for name, value in self._fields.items())

    __str__ = __repr__ = lambda self: format(self)


def _json_sink(queue: LineQueue, box: str) -> t.Callable[["Message"], None]:
    encode = msgspec.json.Encoder(enc_hook=str).encode

    def write(message: "Message") -> None:
        record = message.record
        line = {
            "at": round(record["time"].timestamp(), 3),
            "level": record["level"].name,
            "box": box,
            "event": record["message"],
            **record["extra"].get("data", {}),
        }
        try:
            raw = encode(line)
        except UnicodeEncodeError:
            # A text from outside that was not UTF-8; this codec escapes it.
            raw = json.dumps(line, default=str).encode()
        queue.put(raw + b"\n")

    return write
