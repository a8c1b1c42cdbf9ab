"""Followers of the log: they read a stream and fold it, for ever."""

import asyncio
import contextlib

from result import Err
from result import Ok
from result import Result

from .backing.log import LogClient
from .backing.log import LogRead
from .backing.outcomes import Fault
from .backing.outcomes import PlatformFault
from .claimer import Claimer
from .clock import Clock
from .ids import Offset
from .logs import log_event
from .records import LogRecord
from .records import Release
from .records import Stream
from .systems.claiming import fold_claims
from .systems.claiming import skip_trimmed_records
from .systems.following import apply_records
from .systems.following import apply_snapshot
from .systems.following import newest_snapshot
from .systems.freshness import record_fresh_proof
from .tables.state import State

WAIT_MS = 1_000
"""How long a read waits at the head of a stream for a record."""

_RETRY_DELAY = 0.3


class ConfigFollower:
    """Follows the configuration stream.

    Parameters
    ----------
    state, clock, log
        The parts of the daemon that it works with.
    """

    def __init__(self, state: State, clock: Clock, log: LogClient) -> None:
        self._state = state
        self._clock = clock
        self._log = log
        self._grown = asyncio.Event()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            if not await self.step(WAIT_MS):
                await asyncio.sleep(_RETRY_DELAY)

    async def step(self, wait_ms: int) -> bool:
        """Read once and fold; return whether the log answered."""
        sent = self._clock.now()
        start = self._state.config.next_offset
        match await self._log.read(Stream.CONFIG, start, wait_ms):
            case Ok(read):
                apply_records(self._state, read.records)
                if self._state.config.next_offset >= read.head:
                    record_fresh_proof(self._state, sent)
                self.note_grown()
                return True
            case Err(fault) if fault.fault is Fault.DROPPED:
                return await self._skip_gap(Offset(fault.first))
            case Err(_):
                return False
        return False

    def note_grown(self) -> None:
        """Wake those who wait for an offset."""
        self._grown.set()
        self._grown = asyncio.Event()

    async def wait_grown(self, timeout_ms: int) -> None:
        """Wait until something was read, for at most `timeout_ms`."""
        grown = self._grown
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(grown.wait(), timeout_ms / 1000)

    async def _skip_gap(self, first: Offset) -> bool:
        """Go on from a snapshot on the log, as the records before `first` are gone.

        With no snapshot that reaches back to `first`, only a peer can help: this box
        stays as it is, and not fresh.
        """
        match await read_all(self._log, Stream.CONFIG, first):
            case Ok(read):
                snapshot = newest_snapshot(read.records)
                if snapshot is None or snapshot.config.next_offset < read.first:
                    log_event("WARNING", "configuration lost its tail", first=first)
                    return False
                return apply_snapshot(self._state, snapshot)
            case _:
                return False


class ClaimsFollower:
    """Follows the claims stream.

    Parameters
    ----------
    state, log, claimer
        The parts of the daemon that it works with.
    """

    def __init__(self, state: State, log: LogClient, claimer: Claimer) -> None:
        self._state = state
        self._log = log
        self._claimer = claimer
        self._releases: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            if not await self.step(WAIT_MS):
                await asyncio.sleep(_RETRY_DELAY)

    async def step(self, wait_ms: int) -> bool:
        """Read once and fold; return whether the log answered."""
        table = self._state.claims
        match await self._log.read(Stream.CLAIMS, table.next_offset, wait_ms):
            case Ok(read):
                self._fold(read)
                return True
            case Err(fault) if fault.fault is Fault.DROPPED:
                skip_trimmed_records(table, Offset(fault.first))
                return True
            case Err(_):
                return False
        return False

    def _fold(self, read: LogRead) -> None:
        table = self._state.claims
        owed: list[Release] = []
        for record in read.records:
            owed.extend(fold_claims(table, record))
        if table.next_offset >= read.head:
            table.caught_up = True
        self._claimer.note_folded()
        if owed:
            task = asyncio.create_task(self._claimer.release(tuple(owed)))
            self._releases.add(task)
            task.add_done_callback(self._releases.discard)


async def read_all(
    log: LogClient, stream: Stream, start: Offset
) -> Result[LogRead, PlatformFault]:
    """Read a stream from `start` to its head."""
    records: list[LogRecord] = []
    at = start
    while True:
        outcome = await log.read(stream, at)
        if isinstance(outcome, Err):
            return outcome
        read = outcome.unwrap()
        records.extend(read.records)
        at = Offset(at + len(read.records))
        if at >= read.head or not read.records:
            return Ok(LogRead(tuple(records), read.first, read.head))
