"""A box that was suspended: time passed that its timers did not see."""

import asyncio

from fleet_builders import running_fleet
from spanshunt.clock import Clock
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.systems.following_workers import must_read_list
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.waking import Wakes


class SuspendedClock(Clock):
    """A clock that goes on by ``slept_ms`` while the timers of the loop did not."""

    def __init__(self) -> None:
        self.slept_ms = 0

    def now(self) -> Millis:
        return Millis(super().now() + self.slept_ms)


def test_each_suspension_is_told_once():
    clock = SuspendedClock()
    told: list[int] = []
    wakes = Wakes(clock, told.append)
    wakes.look()
    clock.slept_ms = 3_000
    wakes.look()
    wakes.look()
    clock.slept_ms = 4_500
    wakes.look()
    assert [round(slept, -2) for slept in told] == [3_000, 1_500]


async def test_request_whose_time_passed_meanwhile_is_answered_at_once():
    clock = SuspendedClock()
    async with running_fleet(clock=clock) as fleet:
        for name in ("p-1", "p-2"):
            fleet.workers[name].fault = WorkerFault.MUTE
        asked = asyncio.create_task(fleet.ask(fleet.boxes[0], "/view/"))
        await asyncio.sleep(0.2)
        clock.slept_ms = 5_000
        before = asyncio.get_running_loop().time()
        reply = await asked
        assert reply.status == 504
        assert asyncio.get_running_loop().time() - before < 0.5


async def test_list_that_grew_old_meanwhile_is_read_at_once():
    clock = SuspendedClock()
    async with running_fleet(clock=clock) as fleet:
        tables = fleet.boxes[0].node.fleet
        assert not must_read_list(_with_a_reader(tables), clock.now(), 2_000)
        clock.slept_ms = 3_000
        assert must_read_list(tables, clock.now(), 2_000)


async def test_request_just_after_waking_waits_for_news():
    clock = SuspendedClock()
    async with running_fleet(2, clock) as fleet:
        clock.slept_ms = 5_000
        reply = await fleet.ask(fleet.boxes[0], "/view/")
        assert reply.status == 200
        assert fleet.boxes[0].node.counters.value("wakes") == 1


def _with_a_reader(tables: Fleet) -> Fleet:
    """Let another box of the failure domain read the list."""
    heard = PeerRow(
        BoxId("a-box"), "a:1", tables.identity.domain, heard=Millis(1 << 60)
    )
    tables.peers[heard.box] = heard
    return tables
