"""Workers that fall silent for a second and go on, and sockets without a time-out."""

import asyncio
import collections
import socket
import typing as t

import pytest

from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from spanshunt.ids import WorkerId
from spanshunt.systems.worker_health import EJECTION_MS
from spanshunt.systems.worker_health import MAX_EJECTION_MS
from spanshunt.systems.worker_health import record_answer
from spanshunt.systems.worker_health import record_unreachable

SILENT_S = 1.0


class TestEjection:
    """Failures of one silence count once."""

    def test_requests_that_fail_together_eject_a_worker_for_the_shortest_time(self):
        """Guards against a second of silence that puts a worker out for five."""
        row = make_worker("w-1")
        for step in range(8):
            record_unreachable(row, ms(1 + step / 100))
        assert row.ejected_until - ms(1) == EJECTION_MS

    def test_worker_that_stays_silent_is_ejected_for_longer_each_time(self):
        row, now, lengths = make_worker("w-1"), ms(1), []
        for _ in range(6):
            record_unreachable(row, now)
            lengths.append(row.ejected_until - now)
            now = row.ejected_until
        assert lengths[:3] == [EJECTION_MS, 2 * EJECTION_MS, 4 * EJECTION_MS]
        assert lengths[-1] == MAX_EJECTION_MS

    def test_answer_ends_the_ejection(self):
        row = make_worker("w-1")
        record_unreachable(row, ms(1))
        record_answer(row, 20.0, good=True, now=ms(1.2))
        assert row.ejected_until == 0
        assert row.failures == 0


async def test_worker_that_was_silent_for_a_second_is_used_again_soon():
    """Guards against a sound worker that a short silence keeps out for seconds."""
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for _ in range(20):
            await fleet.ask(box, "/look/")
        loop = asyncio.get_running_loop()
        end = loop.time() + SILENT_S
        fleet.workers["p-1"].holds = lambda _request: max(0.0, end - loop.time())
        asks = []
        while loop.time() < end:
            asks.append(asyncio.create_task(fleet.ask(box, "/look/")))
            await asyncio.sleep(0.04)
        replies = await asyncio.gather(*asks)
        assert collections.Counter(reply.status for reply in replies)[200] == len(asks)
        row = box.node.fleet.workers.rows[WorkerId("p-1")]
        assert row.ejected_until < box.node.clock.now() + 2 * EJECTION_MS
        assert not box.node.fleet.suspects


def worker_sockets(node: t.Any) -> list[t.Any]:
    """Return the sockets of a box's kept connections to workers."""
    connector = node._workers._kept.connector
    return [
        proto.transport.get_extra_info("socket")
        for rows in connector._conns.values()
        for proto, _ in rows
    ]


def peer_sockets(node: t.Any) -> list[t.Any]:
    """Return the sockets of a box's streams to peers."""
    streams = node._exchange._streams._streams.values()
    return [
        entry.channel._protocol.connection._transport.get_extra_info("socket")
        for entry in streams
        if entry.channel._protocol is not None
    ]


@pytest.mark.skipif(
    not hasattr(socket, "TCP_USER_TIMEOUT"), reason="the system has no such option"
)
async def test_no_library_sets_a_time_out_on_sockets():
    """Guards against an option that decides unseen when a connection is given up."""
    async with running_fleet(boxes=2) as fleet:
        await fleet.ask(fleet.boxes[0], "/look/")
        await asyncio.sleep(1.0)
        node = fleet.boxes[0].node
        sockets = worker_sockets(node) + peer_sockets(node)
        assert len(sockets) >= 2
        for sock in sockets:
            value = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert value == 0
