"""Callers who leave: the worker is told within half a second, wherever the request is.

A caller closes its connection while its request waits, runs, is sent again, goes on
elsewhere or is asked of a larger model; or before the box has read or answered it. What
a worker then still does for it nobody gets, and another request waits for its place.
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
from spanshunt.standins.worker import WorkerFault

CANCEL_S = 0.5
"""Within which no worker works for a caller that has left, in s."""

NAME = "left"


def raw_request(fleet: TestFleet, path: str, body: int = 0) -> bytes:
    """Return the head of a request as a caller writes it."""
    headers = fleet.headers(path, KEY, {"Attempt-Id": NAME})
    headers["Content-Length"] = str(body)
    method = "GET" if path.startswith("/look") else "POST"
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


@contextlib.asynccontextmanager
async def asking(
    fleet: TestFleet, box: Box, path: str
) -> t.AsyncIterator[asyncio.StreamReader]:
    """Ask on a connection of one's own and leave at the end."""
    host, _, port = box.base.removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(raw_request(fleet, path))
    yield reader
    writer.close()


def arrivals(fleet: TestFleet) -> int:
    """Return how often the request reached a worker."""
    workers = fleet.workers.values()
    return sum(seen.request == NAME for worker in workers for seen in worker.seen)


def still_running(fleet: TestFleet) -> int:
    """Return at how many workers the request runs that were not told to stop."""
    workers = list(fleet.workers.values())
    ran = sum(worker.ran.count(NAME) for worker in workers)
    ended = sum(worker.cancelled.count(NAME) for worker in workers)
    return ran - ended


async def expect_cancelled(fleet: TestFleet) -> None:
    """Wait until no worker works for the request, and see that none begins again."""
    await until(lambda: still_running(fleet) == 0, "cancelled", CANCEL_S)
    reached = arrivals(fleet)
    await asyncio.sleep(CANCEL_S)
    assert arrivals(fleet) == reached
    assert still_running(fleet) == 0


@pytest.mark.parametrize("path", ["/long/", "/look/", "/view/"])
async def test_while_a_worker_says_nothing(path: str):
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.fault = WorkerFault.MUTE
        async with asking(fleet, fleet.boxes[0], path):
            await until(lambda: arrivals(fleet) > 0, "sent")
        await expect_cancelled(fleet)


async def test_while_a_request_that_failed_is_repeated():
    async with running_fleet() as fleet:
        failing, sound = fleet.workers["w-1"], fleet.workers["w-2"]
        failing.fault = WorkerFault.ERROR
        sound.event_s, sound.events = 0.05, 400
        fleet.boxes[0].node.fleet.workers.rows[WorkerId("w-2")].inflight = 30
        async with asking(fleet, fleet.boxes[0], "/long/"):
            await until(lambda: NAME in sound.ran, "repeated")
        assert NAME in failing.ran
        # That run ended by itself.
        failing.ran.clear()
        await expect_cancelled(fleet)


async def test_while_a_stream_goes_on_elsewhere():
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.fault, worker.faults_left = WorkerFault.STALL, 1
            worker.events, worker.event_s = 400, 0.05
        async with asking(fleet, fleet.boxes[0], "/long/"):
            await until(lambda: arrivals(fleet) >= 2, "goes on")
        await expect_cancelled(fleet)


async def test_while_a_larger_model_is_asked():
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.sureness = {"small": 2, "large": 90}
            worker.event_s, worker.events = 0.1, 400
        box = fleet.boxes[0]
        async with asking(fleet, box, "/long/"):
            await until(lambda: arrivals(fleet) >= 2, "asked again")
        await expect_cancelled(fleet)


async def test_while_its_body_is_under_way():
    """The request is not whole: no worker may get it."""
    async with running_fleet() as fleet:
        host, _, port = fleet.boxes[0].base.removeprefix("http://").rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw_request(fleet, "/view/", body=4_000) + b"x" * 1_000)
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(2 * CANCEL_S)
        assert arrivals(fleet) == 0


async def test_before_the_box_knows_a_catalog():
    """The request waits at the box; once its caller has left nobody needs it."""
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        known, box.node.fleet.catalog = box.node.fleet.catalog, None
        async with asking(fleet, box, "/look/"):
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.05)
        box.node.fleet.catalog = known
        await asyncio.sleep(CANCEL_S)
        assert arrivals(fleet) == 0


async def test_before_the_box_has_read_the_request():
    """It came and went while the box stood still: the close waits behind it."""
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.fault = WorkerFault.MUTE
        async with asking(fleet, fleet.boxes[0], "/look/"):
            pass
        await asyncio.sleep(CANCEL_S)
        await expect_cancelled(fleet)
