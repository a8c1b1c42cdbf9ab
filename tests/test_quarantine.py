"""Requests under which workers end.

Seen: nine engines ended within seconds, again and again, 22 of them under one request.
A caller had sent it once; each try went to three engines one after the other, beside a
dozen streams that broke with them, and came again at another box, where nobody knew of
it. Cause: all that a box remembered of a request was the try under way. Proof: of the
boxes' lines, one content is dispatched after each end, at the same box and at others.
"""

import asyncio
import contextlib
import typing as t

from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.standins.worker import WorkerStandin

DEADLY = b"the request that ends its worker"

BACK_S = 0.4
"""When a worker that ended is back, under a new id at its old address, in s."""

KNOWN_S = 1.0
"""How long after the third end all boxes know of it, in s: two rounds of exchanges."""

MOST_AFTER = 3
"""Workers that such a request may reach after that, at all boxes together."""


class Deadly:
    """What became of the deadly request, in the loop's time."""

    def __init__(self, fleet: TestFleet) -> None:
        self.ended_at: list[float] = []
        self._fleet = fleet
        self._back: set[asyncio.Task[None]] = set()
        self._lives = 0

    def watch(self, worker: WorkerStandin) -> None:
        """Let the deadly request end a worker, which is back somewhat later."""
        worker.ends_on = DEADLY
        worker.on_end = lambda: self._end(worker)

    def _end(self, worker: WorkerStandin) -> None:
        self.ended_at.append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._come_back(worker))
        self._back.add(task)

    async def _come_back(self, ended: WorkerStandin) -> None:
        await asyncio.sleep(BACK_S)
        await self._fleet.store.put("keyed.servers", ended.name, None)
        self._lives += 1
        worker = WorkerStandin(f"w-again-{self._lives}")
        await worker.start(ended.port)
        self._fleet.workers[worker.name] = worker
        self.watch(worker)
        await self._fleet.list_worker(worker.name)

    def arrivals(self) -> list[float]:
        """Return when the deadly request ended a worker: each arrival does here."""
        return sorted(self.ended_at)

    async def stop(self) -> None:
        """Wait for those that are to come back."""
        await asyncio.gather(*self._back)


@contextlib.asynccontextmanager
async def deadly_fleet(boxes: int) -> t.AsyncIterator[tuple[TestFleet, Deadly]]:
    """Run a fleet of six engines, each of which the deadly request ends."""
    async with running_fleet(boxes) as fleet:
        for number in range(3, 7):
            await fleet.add_worker(f"w-{number}")
        for box in fleet.boxes:
            rows = box.node.fleet.workers.rows
            await until(lambda rows=rows: len(rows) == 8, "all engines are known")
            peers = box.node.fleet.peers
            await until(
                lambda peers=peers: all(peer.heard >= 0 for peer in peers.values()),
                "all peers are heard",
            )
        deadly = Deadly(fleet)
        for name, worker in fleet.workers.items():
            if name.startswith("w-"):
                deadly.watch(worker)
        yield fleet, deadly
        await deadly.stop()


async def test_request_that_ends_workers_is_not_sent_on_by_any_box():
    async with deadly_fleet(boxes=3) as (fleet, deadly):
        for number in range(12):
            box = fleet.boxes[number % len(fleet.boxes)]
            await fleet.ask(box, "/long/x", body=DEADLY)
            await asyncio.sleep(0.3)
        arrivals = deadly.arrivals()
        assert len(arrivals) >= 3
        after = [at for at in arrivals if at > arrivals[2] + KNOWN_S]
        assert len(after) <= MOST_AFTER
