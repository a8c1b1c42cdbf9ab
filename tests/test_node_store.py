"""Whole boxes on the platform, and a store that refuses, hangs or is away."""

import asyncio

import pytest

from fleet_builders import KEY
from fleet_builders import config
from fleet_builders import running_fleet
from fleet_builders import until
from fleet_builders import without_key
from spanshunt.clock import Clock
from spanshunt.platform.store_reader import RETRY_MS
from spanshunt.standins.store import EndpointFault
from spanshunt.systems.following_workers import MAX_READ_GAP_MS

REFUSING = [
    EndpointFault.BUSY,
    EndpointFault.MANY,
    EndpointFault.SILENT,
    EndpointFault.RESET,
]


class TestStoreRefusesOneBox:
    """A box that the store turns away lives on what its peers tell it."""

    @pytest.mark.parametrize("fault", REFUSING)
    async def test_configuration_comes_by_peers(self, fault):
        async with running_fleet(boxes=2) as fleet:
            served, refused = fleet.boxes
            refused.endpoint.fault = fault
            await fleet.configure(without_key(config(11), KEY))
            await until(
                lambda: refused.node.fleet.catalog.version == 11, "version 11", 5
            )
            assert (await fleet.ask(refused, "/view/")).status == 401
            assert served.node.fleet.catalog.version == 11

    async def test_leaving_workers_come_by_peers(self):
        async with running_fleet(boxes=2) as fleet:
            refused = fleet.boxes[1]
            refused.endpoint.fault = EndpointFault.BUSY
            await fleet.list_worker("p-1", service="web", state="draining")
            await until(
                lambda: "p-1" in refused.node.fleet.workers.leaving, "p-1 leaves", 6
            )
            for _ in range(4):
                assert (await fleet.ask(refused, "/view/")).status == 200
            assert not fleet.workers["p-1"].seen

    async def test_box_starts_while_the_store_is_away(self):
        async with running_fleet() as fleet:
            first = fleet.boxes[0]
            seeds = (first.node.settings.listen.peers,)
            second = await fleet.add_box(seeds=seeds)
            second.endpoint.fault = EndpointFault.SILENT
            await until(lambda: not second.node.why_not_ready(), "ready", 6)
            assert (await fleet.ask(second, "/view/")).status == 200


async def test_call_that_hangs_does_not_hold_the_workers_list_up():
    """Seen: a worker got a request three seconds after it said that it leaves, as
    connections had been reset shortly before."""
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        box.node._store._timeout = 1.5
        box.endpoint.fault = EndpointFault.SILENT
        await asyncio.sleep(1.0)
        box.endpoint.fault = EndpointFault.NONE
        await fleet.list_worker("p-1", service="web", state="draining")
        leaving = box.node.fleet.workers.leaving
        await until(lambda: "p-1" in leaving, "p-1 leaves", 0.9)


async def test_one_box_reads_the_workers_for_its_domain():
    async with running_fleet(boxes=3) as fleet:
        await asyncio.sleep(1.5)
        before = len(fleet.store.calls)
        await asyncio.sleep(3.0)
        calls = fleet.store.calls[before:]
        assert calls.count("/log-newest keyed.servers") <= 5
        await fleet.list_worker("p-1", service="web", state="draining")
        for box in fleet.boxes:
            leaving = box.node.fleet.workers.leaving
            await until(lambda leaving=leaving: "p-1" in leaving, "leaves", 2)


async def test_two_boxes_of_a_domain_follow_the_operators_for_it():
    async with running_fleet(boxes=4) as fleet:
        # Until boxes have heard of each other, each follows.
        await asyncio.sleep(1.5)
        reads = []
        for version in (9, 11, 13, 15):
            before = len(fleet.store.calls)
            await fleet.configure(config(version))
            for box in fleet.boxes:
                known = box.node.fleet
                await until(lambda k=known, v=version: k.catalog.version == v, "it", 2)
            await asyncio.sleep(0.5)
            reads.append(fleet.store.calls[before:].count("/log-read keyed.op waits"))
        # A machine that stands still for over a second lets boxes lose each other once.
        assert min(reads[1:]) <= 2, reads


@pytest.mark.parametrize("fault", REFUSING)
async def test_others_follow_when_the_boxes_that_do_are_refused(fault):
    async with running_fleet(boxes=4) as fleet:
        await asyncio.sleep(1.0)
        for box in fleet.boxes[:2]:
            box.endpoint.fault = fault
        await fleet.configure(config(11))
        for box in fleet.boxes:
            known = box.node.fleet
            await until(lambda known=known: known.catalog.version == 11, "11", 4)


async def test_few_boxes_try_on_while_the_store_is_away():
    async with running_fleet(boxes=4) as fleet:
        await asyncio.sleep(1.0)
        for box in fleet.boxes:
            box.endpoint.fault = EndpointFault.BUSY
        await asyncio.sleep(2.0)
        before = len(fleet.store.calls)
        clock = Clock()
        begin = clock.now()
        await asyncio.sleep(3.0)
        tries = (clock.now() - begin) // RETRY_MS + 1
        assert len(fleet.store.calls) - before <= len(fleet.boxes) * tries


async def test_lapsed_entries_are_waited_for():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        box.endpoint.fault = EndpointFault.BUSY
        lost = "spanshunt_store_status_503"
        await until(lambda: box.node.fleet.store.failing_since >= 0, lost)
        await asyncio.sleep(MAX_READ_GAP_MS / 1_000)
        await fleet.store.put("keyed.servers", "p-1", None)
        box.endpoint.fault = EndpointFault.NONE
        await until(lambda: "p-1" in box.node.fleet.missing_workers, "p-1 is missed")
        assert "p-1" in box.node.fleet.workers.rows
        await fleet.list_worker("p-1", service="web")
        await until(lambda: "p-1" not in box.node.fleet.missing_workers, "p-1 is back")
        assert "p-1" in box.node.fleet.workers.rows
