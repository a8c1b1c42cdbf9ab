"""Whether a worker is still there: one connect, just after a connection of it broke."""

import asyncio
import enum
import errno
import typing as t

from .ids import WorkerId
from .tables.workers import WorkerRow
from .time_limits import within

PROBE_S = 0.15
"""How long a connect may take, in s: within a region it is refused or up within 10 ms;
an answer that waits for this is late by it at most."""


class Presence(enum.Enum):
    """What a connect found: something listens, nothing does, or no answer came."""

    THERE = "there"
    GONE = "gone"
    UNKNOWN = "unknown"


Probe = t.Callable[[WorkerRow], t.Awaitable[Presence]]
"""Finds out whether a worker is there."""


class WorkerProbes:
    """Probes workers; requests that lost one worker at once share one probe of it."""

    def __init__(self) -> None:
        self._under_way: dict[WorkerId, asyncio.Future[Presence]] = {}

    async def probe(self, worker: WorkerRow) -> Presence:
        """Return whether anything listens at a worker's address."""
        found = self._under_way.get(worker.name)
        if found is None:
            found = asyncio.ensure_future(_connect(worker.address))
            self._under_way[worker.name] = found
            found.add_done_callback(lambda _: self._under_way.pop(worker.name, None))
        # A caller that leaves must not end the probe that others wait for.
        return await asyncio.shield(found)


async def _connect(address: str) -> Presence:
    host, _, port = address.rpartition(":")
    try:
        await within(PROBE_S, _open_and_close(host, int(port)))
    except (TimeoutError, ValueError):
        return Presence.UNKNOWN
    except OSError as exc:
        refused = exc.errno == errno.ECONNREFUSED
        return Presence.GONE if refused else Presence.UNKNOWN
    return Presence.THERE


async def _open_and_close(host: str, port: int) -> None:
    _, writer = await asyncio.open_connection(host, port)
    writer.close()
