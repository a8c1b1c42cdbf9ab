"""A box that reaches no worker: its callers are served through its peers."""

import asyncio
import collections
import random
import typing as t

import pytest

from fleet_builders import KEY
from fleet_builders import Box
from fleet_builders import Reply
from fleet_builders import TestFleet
from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import RegionId
from spanshunt.ids import WorkerId
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.systems.partitions import DEFAULT_SENDS_BYTES
from spanshunt.systems.partitions import REACHED_NEEDED
from spanshunt.systems.partitions import SEND_BYTES
from spanshunt.systems.partitions import begin_partition
from spanshunt.systems.partitions import choose_gateway
from spanshunt.systems.partitions import gateway_room
from spanshunt.systems.partitions import is_partitioned
from spanshunt.systems.partitions import may_send_for_peer
from spanshunt.systems.partitions import record_answered
from spanshunt.systems.partitions import record_connected
from spanshunt.systems.partitions import record_probe
from spanshunt.systems.partitions import record_unanswered
from spanshunt.systems.partitions import record_unreached
from spanshunt.systems.partitions import workers_to_probe
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.holdings import BoxLimits
from worker_cuts import AcceptingCut
from worker_cuts import OpenConnections
from worker_cuts import WorkerCut

DOMAINS = ("north", "west", "south")

KINDS = ("/view/", "/look/", "/long/x")
"""One path each: runs once, may run again, streams."""

BACK_S = 1.0
"""Within which a box sends by itself again after a cut, in s."""


def by_sender(box: Box, name: str) -> int:
    """Return a counter of a box."""
    return box.node.counters.value(name)


async def acquainted(fleet: TestFleet) -> None:
    """Wait until each box has heard that the others may send for it."""
    others = len(fleet.boxes) - 1
    await until(
        lambda: all(
            sum(peer.gateway_room > 0 for peer in box.node.fleet.peers.values())
            == others
            for box in fleet.boxes
        ),
        "boxes know each other",
    )


async def ask_each_kind(fleet: TestFleet, box: Box, times: int) -> list[Reply]:
    """Ask a box for each kind of request at once, some times in a row."""
    found: list[Reply] = []
    for _ in range(times):
        found += await asyncio.gather(*(fleet.ask(box, path) for path in KINDS))
    return found


def statuses(replies: t.Iterable[Reply]) -> collections.Counter[int]:
    return collections.Counter(reply.status for reply in replies)


def most_runs_of_single_requests(fleet: TestFleet) -> int:
    """Return how often a request that may run once ran at most."""
    workers = fleet.workers.values()
    single = {
        seen.request
        for worker in workers
        for seen in worker.seen
        if seen.target.startswith("/view/")
    }
    runs = collections.Counter(
        request for worker in workers for request in worker.ran if request in single
    )
    return max(runs.values())


class TestPartitionedBox:
    """Boxes in one process; one or more of them lose all workers."""

    @pytest.mark.parametrize("open_ones", list(OpenConnections))
    @pytest.mark.parametrize("refused", [False, True])
    async def test_callers_of_a_partitioned_box_are_served(self, refused, open_ones):
        """Guards against first tries that fail at a box that reaches no worker."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            cut = WorkerCut(fleet.boxes[0], refused=refused, open_ones=open_ones)
            await ask_each_kind(fleet, fleet.boxes[0], 3)
            await acquainted(fleet)
            cut.begin()
            await ask_each_kind(fleet, fleet.boxes[0], 3)
            late = await ask_each_kind(fleet, fleet.boxes[0], 8)
            assert statuses(late) == {200: len(late)}
            assert most_runs_of_single_requests(fleet) == 1

    @pytest.mark.parametrize("open_ones", list(OpenConnections))
    @pytest.mark.parametrize("silent", [False, True])
    async def test_callers_are_served_though_a_proxy_takes_the_connections(
        self, silent, open_ones
    ):
        """Guards against connections that come up and are taken for reached workers."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            cut = AcceptingCut(box, silent=silent, open_ones=open_ones)
            await ask_each_kind(fleet, box, 3)
            await acquainted(fleet)
            await cut.start()
            await ask_each_kind(fleet, box, 4)
            late = await ask_each_kind(fleet, box, 8)
            assert statuses(late) == {200: len(late)}
            assert most_runs_of_single_requests(fleet) == 1
            await cut.stop()
            await until(
                lambda: not is_partitioned(box.node.fleet), "sends itself", BACK_S
            )
            again = await ask_each_kind(fleet, box, 3)
            assert statuses(again) == {200: len(again)}

    async def test_one_worker_that_answers_nobody_is_no_partition(self):
        """Guards against a way round because of a worker that resets or is silent."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            await acquainted(fleet)
            fleet.workers["p-1"].fault = WorkerFault.DROP
            await ask_each_kind(fleet, box, 6)
            assert not is_partitioned(box.node.fleet)
            assert not by_sender(box, "partitions")

    async def test_box_whose_processor_is_behind_is_not_partitioned(self):
        """Guards against a busy box that takes its own time-outs for lost workers."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            await acquainted(fleet)
            overload = box.node.fleet.overload
            box.node.fleet.limits = BoxLimits(cpu_share=1.0)
            overload.limit, overload.closed_at = 1_000, box.node.clock.now()
            WorkerCut(box, refused=True, open_ones=OpenConnections.RESET).begin()
            await ask_each_kind(fleet, box, 4)
            assert not is_partitioned(box.node.fleet)

    async def test_cut_speaks_against_no_worker(self):
        """Guards against workers ejected, cold or ended by a box's own partition."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            await ask_each_kind(fleet, box, 2)
            await acquainted(fleet)
            cut = WorkerCut(box, refused=True, open_ones=OpenConnections.RESET)
            cut.begin()
            await ask_each_kind(fleet, box, 4)
            await asyncio.sleep(1.0)
            now = box.node.clock.now()
            for row in box.node.fleet.workers.rows.values():
                assert row.ejected_until <= now
                assert row.cold_until <= now
                assert row.ended_at < 0
            for other in fleet.boxes:
                assert not other.node.fleet.suspects
                assert not other.node.fleet.silence_reports

    @pytest.mark.parametrize("begun", [False, True])
    async def test_end_of_a_worker_that_a_peer_reached_is_attributed(self, begun):
        """Guards against ends of workers that a partitioned box does not see."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            await acquainted(fleet)
            WorkerCut(box, refused=True, open_ones=OpenConnections.RESET).begin()
            await ask_each_kind(fleet, box, 2)
            assert is_partitioned(box.node.fleet)
            workers = [fleet.workers[name] for name in ("w-1", "w-2")]

            def spare_others() -> None:
                for worker in workers:
                    worker.ends_on = b""

            for worker in workers:
                worker.ends_on, worker.ends_begun = b"deadly", begun
                worker.on_end = spare_others
            reply = await fleet.ask(box, "/long/x", body=b"deadly")
            assert reply.status == 200
            assert [worker.listening for worker in workers].count(False) == 1
            broken = box.node.fleet.workers.rows
            assert [broken[name].ended_at >= 0 for name in ("w-1", "w-2")].count(True)

    async def test_box_sends_by_itself_again_after_a_cut(self):
        """Guards against a way round that lasts longer than the cut."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            await acquainted(fleet)
            cut = WorkerCut(box, refused=False, open_ones=OpenConnections.HANG)
            cut.begin()
            await ask_each_kind(fleet, box, 2)
            assert is_partitioned(box.node.fleet)
            cut.end()
            await until(
                lambda: not is_partitioned(box.node.fleet), "sends itself", BACK_S
            )
            sent = by_sender(box, "gateway_sends")
            again = await ask_each_kind(fleet, box, 3)
            assert statuses(again) == {200: len(again)}
            assert by_sender(box, "gateway_sends") == sent
            assert not box.node._sender._gateways._channels

    async def test_all_boxes_partitioned_refuse_soon(self):
        """Guards against callers that wait for a way that no box has."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            await acquainted(fleet)
            for box in fleet.boxes:
                WorkerCut(box, refused=True, open_ones=OpenConnections.RESET).begin()
            await asyncio.gather(*(ask_each_kind(fleet, box, 2) for box in fleet.boxes))
            loop = asyncio.get_running_loop()
            began = loop.time()
            replies = await ask_each_kind(fleet, fleet.boxes[0], 1)
            assert loop.time() - began < 0.5
            assert statuses(replies) == {503: len(replies)}
            assert all(float(reply.headers["Retry-After"]) > 0 for reply in replies)

    async def test_peer_of_an_older_version_is_not_asked(self):
        """Guards against requests for a peer that does not know the service."""
        async with running_fleet(boxes=3, domains=DOMAINS) as fleet:
            box, older, newer = fleet.boxes
            await acquainted(fleet)
            older.node._server._mapping.pop("/spanshunt.Gateway/Send")
            cut = WorkerCut(box, refused=True, open_ones=OpenConnections.RESET)
            cut.begin()
            replies = await ask_each_kind(fleet, box, 3)
            assert statuses(replies) == {200: len(replies)}
            assert by_sender(newer, "gateway_offers.accepted") >= len(replies)

    async def test_stream_arrives_event_by_event(self):
        """Guards against a gateway that holds a stream until it is whole."""
        async with running_fleet(boxes=2, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            for name in ("w-1", "w-2"):
                fleet.workers[name].event_s = 0.1
            await acquainted(fleet)
            cut = WorkerCut(box, refused=True, open_ones=OpenConnections.RESET)
            cut.begin()
            headers = fleet.headers("/long/x", KEY, {})
            loop = asyncio.get_running_loop()
            async with fleet.http.post(box.base + "/long/x", headers=headers) as resp:
                times = []
                async for _ in resp.content.iter_any():
                    times.append(loop.time())
            assert resp.status == 200
            assert times[-1] - times[0] > 0.2

    async def test_caller_that_leaves_cancels_at_the_worker(self):
        """Guards against work behind a gateway for a caller that is gone."""
        async with running_fleet(boxes=2, domains=DOMAINS) as fleet:
            box = fleet.boxes[0]
            web = [fleet.workers["p-1"], fleet.workers["p-2"]]
            for worker in web:
                worker.holds = lambda _request: 3.0
            await acquainted(fleet)
            cut = WorkerCut(box, refused=True, open_ones=OpenConnections.RESET)
            cut.begin()
            task = asyncio.create_task(fleet.ask(box, "/view/"))
            await until(lambda: any(w.ran for w in web), "the worker runs it")
            task.cancel()
            await until(lambda: any(w.cancelled for w in web), "cancelled", 1.0)
            await until(
                lambda: not fleet.boxes[1].node.fleet.gateway_sends, "accounts", 1.0
            )
            peers = box.node.fleet.peers.values()
            assert not any(peer.gateway_sends for peer in peers)

    async def test_gateway_that_ends_midway_leaves_a_request_in_doubt(self):
        """Guards against a "not run" for a request that a lost gateway sent."""
        async with running_fleet(boxes=2, domains=DOMAINS, links=True) as fleet:
            box, gateway = fleet.boxes
            web = [fleet.workers["p-1"], fleet.workers["p-2"]]
            for worker in web:
                worker.holds = lambda _request: 1.0
            await acquainted(fleet)
            cut = WorkerCut(box, refused=True, open_ones=OpenConnections.RESET)
            cut.begin()
            task = asyncio.create_task(fleet.ask(box, "/view/"))
            await until(lambda: any(w.ran for w in web), "the worker runs it")
            assert gateway.peers_link is not None
            await gateway.peers_link.stop()
            reply = await task
            assert reply.status == 502
            assert sum(len(worker.ran) for worker in web) == 1

    async def test_gateway_sends_nothing_to_a_leaving_worker(self):
        """Guards against work for a leaving worker by way of a box that knows."""
        async with running_fleet(boxes=2, domains=DOMAINS) as fleet:
            box, gateway = fleet.boxes
            await acquainted(fleet)
            cut = WorkerCut(box, refused=True, open_ones=OpenConnections.RESET)
            cut.begin()
            gateway.node.fleet.workers.leaving.add(WorkerId("p-1"))
            replies = [await fleet.ask(box, "/look/") for _ in range(6)]
            assert not fleet.workers["p-1"].ran
            assert statuses(replies)[200] >= 5


def fleet_with_workers() -> Fleet:
    """Return a box's tables with three workers in each of three domains."""
    fleet = make_fleet()
    for domain in DOMAINS:
        for number in range(3):
            add_worker(fleet, make_worker(f"{domain}-{number}", domain=domain))
    return fleet


def add_peer(fleet: Fleet, name: str, room: int, domain: str = "north") -> PeerRow:
    """Add a peer that was heard just now."""
    row = PeerRow(BoxId(name), f"{name}:1", DomainId(domain))
    row.heard, row.gateway_room = ms(1), room
    fleet.peers[row.box] = row
    return row


class TestTables:
    """Whether a box is partitioned, and who sends for it, as functions over tables."""

    def test_probed_workers_are_of_other_domains_first(self):
        fleet = fleet_with_workers()
        failed = fleet.workers.rows[WorkerId("north-0")]
        for seed in range(20):
            rows = workers_to_probe(fleet, failed, random.Random(seed))
            domains = [row.domain for row in rows]
            assert set(domains[:2]) == {"west", "south"}
            assert failed.name not in {row.name for row in rows}

    def test_partition_takes_back_what_was_made_of_failed_connections(self):
        fleet = fleet_with_workers()
        row = fleet.workers.rows[WorkerId("west-1")]
        record_unreached(fleet, row, ms(2))
        row.ejected_until, row.cold_until, row.ended_at = ms(7), ms(9), ms(2)
        begin_partition(fleet, ms(2))
        assert (row.ejected_until, row.cold_until, row.ended_at) == (0, 0, -1)
        assert is_partitioned(fleet)
        assert gateway_room(fleet) == 0

    def test_connection_that_came_up_meanwhile_clears_failures(self):
        fleet = fleet_with_workers()
        record_unreached(fleet, fleet.workers.rows[WorkerId("west-1")], ms(2))
        record_connected(fleet, ms(2))
        assert not fleet.partition.unreached

    def test_workers_that_answer_in_between_are_no_partition(self):
        """Guards against checks of health because single workers end now and then."""
        fleet = fleet_with_workers()
        one, other = list(fleet.workers.rows.values())[:2]
        assert not record_unanswered(fleet, one, ms(2), over_new=True)
        assert not record_unanswered(fleet, one, ms(3), over_new=True)
        record_answered(fleet, ms(4), over_new=True)
        assert not record_unanswered(fleet, other, ms(4), over_new=True)
        assert not record_unanswered(fleet, other, ms(5), over_new=True)
        assert record_unanswered(fleet, one, ms(5), over_new=True)

    def test_answers_over_kept_connections_say_nothing_of_new_ones(self):
        fleet = fleet_with_workers()
        one, other = list(fleet.workers.rows.values())[:2]
        assert not record_unanswered(fleet, one, ms(2), over_new=True)
        record_answered(fleet, ms(3), over_new=False)
        assert not record_unanswered(fleet, other, ms(2.5), over_new=False)
        assert record_unanswered(fleet, other, ms(2.5), over_new=True)

    def test_unanswered_workers_that_left_are_forgotten(self):
        fleet = fleet_with_workers()
        rows = fleet.workers.rows
        gone = rows[WorkerId("west-1")]
        record_unanswered(fleet, gone, ms(2), over_new=True)
        del rows[gone.name]
        assert not record_unanswered(
            fleet, rows[WorkerId("west-2")], ms(3), over_new=True
        )
        assert set(fleet.partition.unanswered) == {"west-2"}

    def test_workers_that_left_are_forgotten(self):
        """Guards against a list of failures that grows with each worker that left."""
        fleet = fleet_with_workers()
        rows = fleet.workers.rows
        gone = rows[WorkerId("west-1")]
        record_unreached(fleet, gone, ms(2))
        del rows[gone.name]
        record_unreached(fleet, rows[WorkerId("west-2")], ms(3))
        assert set(fleet.partition.unreached) == {"west-2"}

    def test_partition_ends_once_enough_workers_are_reached_in_a_row(self):
        fleet = fleet_with_workers()
        begin_partition(fleet, ms(2))
        rows = list(fleet.workers.rows.values())[: REACHED_NEEDED + 1]
        assert not record_probe(fleet, rows[0], ms(3), reached=True)
        assert not record_probe(fleet, rows[1], ms(3), reached=False)
        for row in rows[: REACHED_NEEDED - 1]:
            assert not record_probe(fleet, row, ms(4), reached=True)
        assert record_probe(fleet, rows[-1], ms(4), reached=True)
        assert not is_partitioned(fleet)

    def test_gateways_are_drawn_by_their_room(self):
        fleet = fleet_with_workers()
        add_peer(fleet, "small", 10)
        add_peer(fleet, "large", 90)
        rng = random.Random(1)
        drawn = collections.Counter(
            t.cast(PeerRow, choose_gateway(fleet, ms(1.2), rng)).box
            for _ in range(1_000)
        )
        assert 50 < drawn[BoxId("small")] < 160

    def test_full_silent_or_failed_peers_are_no_gateways(self):
        fleet = fleet_with_workers()
        full = add_peer(fleet, "full", 3)
        full.gateway_sends = 3
        failed = add_peer(fleet, "failed", 5)
        failed.gateway_failed_at = ms(1.1)
        add_peer(fleet, "older", 0)
        rng = random.Random(1)
        assert choose_gateway(fleet, ms(1.2), rng) is None
        full.gateway_sends = 2
        assert choose_gateway(fleet, ms(1.2), rng) is full
        assert choose_gateway(fleet, ms(3), rng) is None

    def test_gateways_are_in_the_regions_of_the_request(self):
        """Guards against bodies that cross regions by a peer: the worker's region was
        looked at, that of the box on the way was not."""
        fleet = fleet_with_workers()
        fleet.regions = {
            DomainId("north"): RegionId("here"),
            DomainId("south"): RegionId("abroad"),
        }
        add_peer(fleet, "far", 50, "south")
        add_peer(fleet, "unknown", 50, "elsewhere")
        here, anywhere = frozenset({RegionId("here")}), frozenset[RegionId]()
        rng = random.Random(1)
        assert choose_gateway(fleet, ms(1.2), rng, regions=(anywhere, here)) is None
        near = add_peer(fleet, "near", 1, "north")
        for _ in range(50):
            chosen = choose_gateway(fleet, ms(1.2), rng, regions=(anywhere, here))
            assert chosen is near
        assert choose_gateway(fleet, ms(1.2), rng, regions=(anywhere,)) is not None

    @pytest.mark.parametrize("memory_mb", [0, 64, 150, 300])
    def test_room_is_bounded_by_memory(self, memory_mb):
        fleet = fleet_with_workers()
        fleet.limits = BoxLimits(memory_mb=memory_mb)
        most = memory_mb * 1024 * 1024 / 16 or DEFAULT_SENDS_BYTES
        taken = 0
        while may_send_for_peer(fleet, 50_000):
            taken += 1
            fleet.gateway_bytes += SEND_BYTES + 50_000
        assert fleet.gateway_bytes <= most
        assert taken >= 10

    def test_stopping_box_sends_for_no_peer(self):
        fleet = fleet_with_workers()
        assert gateway_room(fleet) > 0
        fleet.stopping = True
        assert gateway_room(fleet) == 0
        assert not may_send_for_peer(fleet, 10)
