"""Workers whose bytes form no answer and come without end, until the box closes.

Guards against a box that reads on: its memory, its callers' time and the connection
would be taken by one worker.
"""

import asyncio

import pytest

from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.platform.workers import HEALTH_TIMEOUT_S
from spanshunt.standins.worker import HEALTH_PATH
from spanshunt.standins.worker_faults import ENDLESS
from spanshunt.standins.worker_faults import WorkerFault

MOST_READ = 32 * 1_048_576
"""Most bytes that may be read of one such answer: what may be collected of a plain
one, and the buffers on the way."""

CLOSED_S = 5.0
"""Within which the connection must be closed, in s."""

LARGE_PARTIAL = 262_144
"""Bytes of an event that are more than any other part of such a request."""

ALL_ENDLESS = sorted(ENDLESS, key=lambda fault: fault.value)


def _strike(fleet: TestFleet, name: str, fault: WorkerFault) -> None:
    fleet.workers[name].fault = fault


async def _closed(fleet: TestFleet, name: str) -> None:
    worker = fleet.workers[name]
    await until(lambda: not worker.endless_open, "connection closed", CLOSED_S)
    assert worker.endless_bytes
    assert max(worker.endless_bytes) <= MOST_READ


@pytest.mark.parametrize("fault", ALL_ENDLESS)
async def test_callers_of_plain_work_are_served_elsewhere(fault: WorkerFault):
    async with running_fleet() as fleet:
        _strike(fleet, "p-1", fault)
        box = fleet.boxes[0]
        asked = [fleet.ask(box, "/look/") for _ in range(8)]
        replies = await asyncio.gather(*asked)
        assert {reply.status for reply in replies} == {200}
        assert all(b"answer to" in reply.body for reply in replies)
        await _closed(fleet, "p-1")


@pytest.mark.parametrize("fault", ALL_ENDLESS)
async def test_no_byte_of_it_reaches_the_caller_of_a_stream(fault: WorkerFault):
    async with running_fleet() as fleet:
        engines = [name for name in fleet.workers if name.startswith("w-")]
        _strike(fleet, engines[0], fault)
        box = fleet.boxes[0]
        asked = [fleet.ask(box, "/long/") for _ in range(8)]
        replies = await asyncio.gather(*asked)
        assert {reply.status for reply in replies} == {200}
        assert not any(b"xxxx" in reply.body for reply in replies)
        await _closed(fleet, engines[0])


@pytest.mark.parametrize("fault", ALL_ENDLESS)
async def test_health_without_end_is_none(fault: WorkerFault):
    async with running_fleet() as fleet:
        worker = fleet.workers["p-1"]
        worker.endless_health = fault
        node = fleet.boxes[0].node
        row = node.fleet.workers.rows["p-1"]
        async with asyncio.timeout(2 * HEALTH_TIMEOUT_S + 1.0):
            await node._workers.ask_health(row, HEALTH_PATH)
        await _closed(fleet, "p-1")


async def test_bytes_of_an_incomplete_event_are_held():
    """Guards against memory that the account of bytes held does not know."""
    async with running_fleet() as fleet:
        for name in ("w-1", "w-2"):
            _strike(fleet, name, WorkerFault.ENDLESS_BODY)
        account = fleet.boxes[0].node.fleet.byte_account
        asking = asyncio.create_task(fleet.ask(fleet.boxes[0], "/long/"))
        most = 0
        while not asking.done():
            most = max(most, account.total)
            await asyncio.sleep(0)
        await asyncio.gather(asking, return_exceptions=True)
        assert most > LARGE_PARTIAL
        await until(lambda: not account.total, "nothing is held")
