"""Probes of workers, beside an event loop that falls behind."""

import asyncio
import socket
import time

import pytest

from fleet_builders import make_worker
from spanshunt.tables.workers import WorkerRow
from spanshunt.time_limits import MAX_TIMES
from spanshunt.worker_probes import PROBE_S
from spanshunt.worker_probes import Presence
from spanshunt.worker_probes import WorkerProbes

STALL_S = 0.6
"""How long the loop stands still: longer than any probe may take."""

SLICE_S = 0.06
"""Turn of a loop with much to do, in s: a connect takes several."""


def worker_at(address: str) -> WorkerRow:
    """Return a worker's row."""
    row = make_worker("w-1")
    row.address = address
    return row


async def listening_worker() -> tuple[asyncio.Server, WorkerRow]:
    """Start what takes connections and return it with its row."""
    server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1")
    host, port = server.sockets[0].getsockname()[:2]
    return server, worker_at(f"{host}:{port}")


def stand_still(seconds: float) -> None:
    """Keep the loop from all else."""
    time.sleep(seconds)


async def stand_still_after(turns: int) -> None:
    """Let the loop stand still after some turns."""
    for _ in range(turns):
        await asyncio.sleep(0)
    stand_still(STALL_S)


async def take_turns(slice_s: float) -> None:
    """Keep the loop busy, for `slice_s` a turn."""
    while True:
        stand_still(slice_s)
        await asyncio.sleep(0)


MOST_TURNS = 12
"""Turns of the loop that a probe may take beside its time: for its begin, its end, and
until each timer is seen and whoever waits for it goes on."""


class SilentAddress:
    """An address whose connections come up no more: its backlog is full."""

    def __init__(self) -> None:
        self._server = socket.socket()
        self._server.bind(("127.0.0.1", 0))
        self._server.listen(0)
        self.address = f"127.0.0.1:{self._server.getsockname()[1]}"
        self._held = [self._connect() for _ in range(4)]

    def _connect(self) -> socket.socket:
        conn = socket.socket()
        conn.setblocking(False)
        conn.connect_ex(self._server.getsockname())
        return conn

    def close(self) -> None:
        """Close all sockets."""
        for conn in [*self._held, self._server]:
            conn.close()


@pytest.mark.parametrize("turns", range(1, 9))
async def test_a_worker_is_found_by_a_loop_that_stood_still(turns):
    """Guards against a box that takes itself for partitioned for want of processor."""
    server, worker = await listening_worker()
    probe = asyncio.create_task(WorkerProbes().probe(worker))
    await stand_still_after(turns)
    found = await probe
    server.close()
    assert found is Presence.THERE


async def test_a_worker_is_found_by_a_loop_with_long_turns():
    server, worker = await listening_worker()
    busy = asyncio.create_task(take_turns(SLICE_S))
    found = await WorkerProbes().probe(worker)
    busy.cancel()
    server.close()
    assert found is Presence.THERE


@pytest.mark.parametrize("slice_s", [0.0, SLICE_S])
async def test_a_silent_address_is_told_in_time(slice_s):
    """Guards against probes that go on for as long as the loop is late."""
    silent = SilentAddress()
    busy = asyncio.create_task(take_turns(slice_s))
    began = time.monotonic()
    found = await WorkerProbes().probe(worker_at(silent.address))
    took = time.monotonic() - began
    busy.cancel()
    silent.close()
    assert found is Presence.UNKNOWN
    assert took < MAX_TIMES * PROBE_S + MOST_TURNS * slice_s
