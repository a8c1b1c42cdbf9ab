"""The platform's list of workers: read by one box of each failure domain."""

import asyncio
import typing as t

from result import Err

from ..ids import Millis
from ..logs import log_event
from ..systems.following_workers import apply_worker_list
from ..systems.following_workers import drop_missing_workers
from ..systems.following_workers import must_read_list
from ..systems.following_workers import record_list_read
from ..tables.worker_list import ListedWorker
from ..tables.workers import WorkerRow
from . import wire
from .store import Listing
from .store_reader import FIRST_RETRY_MS
from .store_reader import RETRY_MS
from .store_reader import StoreReader

POLL_PART = 0.37
"""Pause between two readings of the workers' list, as a part of the time within which a
leaving worker must get nothing new: a reading that fails once is made up for in time,
and boxes that hear of it a round of exchanges later still find their list new enough
(`following_workers.STALE_LIST_FRACTION`)."""

READ_PART = 0.25
"""Longest that a reading of the workers' list may take, as a part of the same time: one
that hangs on a dead connection must leave time for another. A slow store answers in
about 240 ms."""


class WorkerList:
    """Follows the list of workers and takes it into the tables.

    Parameters
    ----------
    reader : StoreReader
        The store, the tables and the time.
    draining_ms : int
        Within which a worker that leaves must get nothing new, in ms.
    on_ended : callable
        Called with a worker that has ended, as the list shows.
    """

    def __init__(
        self,
        reader: StoreReader,
        draining_ms: int,
        on_ended: t.Callable[[WorkerRow], None] = lambda _row: None,
    ) -> None:
        self._reader = reader
        self._fleet = reader.fleet
        self._draining_ms = draining_ms
        self._on_ended = on_ended
        self._unreadable: dict[str, str] = {}
        self._odd: dict[str, str] = {}
        self._due = asyncio.Event()

    def set_bound(self, draining_ms: int) -> None:
        """Set within which time a worker that leaves must get nothing new, in ms."""
        self._draining_ms = draining_ms

    async def look(self) -> None:
        """Look whether this box is to read the list now; every `LOOK_MS`."""
        now = self._reader.now()
        dropped = drop_missing_workers(self._fleet, now)
        if dropped:
            log_event("INFO", "workers", source="grace over", gone=list(dropped))
        if must_read_list(self._fleet, now, self._draining_ms):
            self._due.set()

    async def follow(self) -> None:
        """Read the workers' list where it is this box's turn, or where nobody did."""
        failures = 0
        while True:
            await self._due.wait()
            read = await self._read()
            failures = 0 if read else failures + 1
            pause = FIRST_RETRY_MS if failures == 1 else RETRY_MS
            if read:
                pause = int(self._draining_ms * POLL_PART)
            await asyncio.sleep(pause / 1_000)
            self._due.clear()
            await self.look()

    async def _read(self) -> bool:
        most_ms = int(self._draining_ms * READ_PART)
        listing = await self._reader.newest(wire.WORKERS_TOPIC, most_ms)
        if listing is None:
            return False
        listed = self._decode(listing)
        now = self._reader.now()
        self._fleet.wake_hold_until = Millis(0)
        record_list_read(self._fleet, now)
        wall = self._reader.clock.wall()
        change = apply_worker_list(self._fleet, listed, listing.end, now, wall)
        if listing.end >= self._fleet.workers_end:
            self._fleet.workers_read_at = now
        for row in change.replaced:
            self._on_ended(row)
        if not change.empty:
            log_event(
                "INFO",
                "workers",
                source="store",
                end=listing.end,
                **change.as_fields(),
            )
        return True

    def _decode(self, listing: Listing) -> list[ListedWorker]:
        """Decode the entries of workers; others' are logged once and left out."""
        listed: list[ListedWorker] = []
        unreadable: dict[str, str] = {}
        odd: dict[str, str] = {}
        for item in listing.items:
            decoded = wire.decode_worker(item.key_file, item.value)
            if isinstance(decoded, Err):
                unreadable[item.key_file] = decoded.err_value
                continue
            listed.append(decoded.ok_value)
            if decoded.ok_value.problem:
                odd[item.key_file] = decoded.ok_value.problem
        _log_new("entry names no worker", unreadable, self._unreadable)
        _log_new("entry is odd, its worker taken for cold", odd, self._odd)
        self._unreadable, self._odd = unreadable, odd
        return listed


def _log_new(event: str, problems: dict[str, str], before: t.Mapping[str, str]) -> None:
    """Log the problems of entries that were not the same before."""
    for key, problem in problems.items():
        if before.get(key) != problem:
            log_event("WARNING", event, detail=f"{key}: {problem}")
