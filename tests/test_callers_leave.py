"""Cancellation: workers stop within half a second after a caller disconnects.

A caller may disconnect while its request waits, runs, is repeated, is resumed at
another worker or is escalated to a larger model, or before the box has read or answered
it. Work that continues for such a request is wasted and delays other requests.
"""

import asyncio
import contextlib
import typing as t

import pytest

from fleet_builders import KEY
from fleet_builders import Box
from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import WorkerId
from spanshunt.standins.worker_faults import WorkerFault

CANCEL_S = 0.5
"""Time after a disconnect within which all workers must stop, in s."""

NAME = "left"


def request_head(fleet: TestFleet, path: str, body: int = 0) -> bytes:
    """Return the head of a request as sent by a caller."""
    headers = fleet.headers(path, KEY, {"Attempt-Id": NAME})
    headers["Content-Length"] = str(body)
    method = "GET" if path.startswith("/look") else "POST"
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


@contextlib.asynccontextmanager
async def open_request(
    fleet: TestFleet, box: Box, path: str
) -> t.AsyncIterator[asyncio.StreamReader]:
    """Send the request on a separate connection and disconnect at the end."""
    host, _, port = box.base.removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request_head(fleet, path))
    yield reader
    writer.close()


def arrivals(fleet: TestFleet) -> int:
    """Return how many times the request arrived at a worker."""
    workers = fleet.workers.values()
    return sum(seen.request == NAME for worker in workers for seen in worker.seen)


def uncancelled_runs(fleet: TestFleet) -> int:
    """Return the number of runs of the request that were not cancelled."""
    workers = list(fleet.workers.values())
    ran = sum(worker.ran.count(NAME) for worker in workers)
    ended = sum(worker.cancelled.count(NAME) for worker in workers)
    return ran - ended


async def expect_cancelled(fleet: TestFleet) -> None:
    """Wait until all runs of the request are cancelled, and check that none starts."""
    await until(lambda: uncancelled_runs(fleet) == 0, "runs are cancelled", CANCEL_S)
    reached = arrivals(fleet)
    await asyncio.sleep(CANCEL_S)
    assert arrivals(fleet) == reached
    assert uncancelled_runs(fleet) == 0


@pytest.mark.parametrize("path", ["/long/", "/look/", "/view/"])
async def test_cancel_while_worker_is_silent(path: str):
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.fault = WorkerFault.MUTE
        async with open_request(fleet, fleet.boxes[0], path):
            await until(lambda: arrivals(fleet) > 0, "sent")
        await expect_cancelled(fleet)


async def test_cancel_while_request_is_repeated():
    async with running_fleet() as fleet:
        failing, healthy = fleet.workers["w-1"], fleet.workers["w-2"]
        failing.fault = WorkerFault.ERROR
        healthy.event_s, healthy.events = 0.05, 400
        fleet.boxes[0].node.fleet.workers.rows[WorkerId("w-2")].inflight = 30
        async with open_request(fleet, fleet.boxes[0], "/long/"):
            await until(lambda: NAME in healthy.ran, "repeated")
        assert NAME in failing.ran
        # The failed run ended without a cancellation.
        failing.ran.clear()
        await expect_cancelled(fleet)


async def test_cancel_while_stream_is_resumed():
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.fault, worker.faults_left = WorkerFault.STALL, 1
            worker.events, worker.event_s = 400, 0.05
        async with open_request(fleet, fleet.boxes[0], "/long/"):
            await until(lambda: arrivals(fleet) >= 2, "goes on")
        await expect_cancelled(fleet)


async def test_cancel_while_request_is_escalated():
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.sureness = {"small": 2, "large": 90}
            worker.event_s, worker.events = 0.1, 400
        box = fleet.boxes[0]
        async with open_request(fleet, box, "/long/"):
            await until(lambda: arrivals(fleet) >= 2, "asked again")
        await expect_cancelled(fleet)


async def test_disconnect_before_body_is_complete():
    """An incomplete request must not be sent to any worker."""
    async with running_fleet() as fleet:
        host, _, port = fleet.boxes[0].base.removeprefix("http://").rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(request_head(fleet, "/view/", body=4_000) + b"x" * 1_000)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(2 * CANCEL_S)
        assert arrivals(fleet) == 0


async def test_disconnect_before_box_has_catalog():
    """A request that waits for a catalog is dropped when its caller disconnects."""
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        known, box.node.fleet.catalog = box.node.fleet.catalog, None
        async with open_request(fleet, box, "/look/"):
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.05)
        box.node.fleet.catalog = known
        await asyncio.sleep(CANCEL_S)
        assert arrivals(fleet) == 0


async def test_disconnect_before_box_reads_request():
    """Covers a request whose connection is closed before the box reads it."""
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.fault = WorkerFault.MUTE
        async with open_request(fleet, fleet.boxes[0], "/look/"):
            pass
        await asyncio.sleep(CANCEL_S)
        await expect_cancelled(fleet)
