"""A fleet with a request, or a prompt part, that crashes its workers."""

import asyncio
import contextlib
import typing as t

from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.standins.worker import WorkerStandin

CRASHING_BODY = b"the request that ends its worker"

RETURN_S = 0.4
"""Delay until a worker that ended is back, under a new id at its old address, in s."""


class CrashingRequest:
    """Records what the crashing request did; times are those of the event loop."""

    def __init__(self, fleet: TestFleet, part: str = "") -> None:
        self.ended_at: list[float] = []
        self.watched: list[WorkerStandin] = []
        self.ended: list[WorkerStandin] = []
        self._fleet = fleet
        self._part = part
        self._return_tasks: set[asyncio.Task[None]] = set()
        self._returns = 0

    def watch(self, worker: WorkerStandin) -> None:
        """Let the crashing request end a worker, which then returns after a delay."""
        self.watched.append(worker)
        if self._part:
            worker.ends_on_part = self._part
        else:
            worker.ends_on = CRASHING_BODY
        worker.on_end = lambda: self._end(worker)

    def _end(self, worker: WorkerStandin) -> None:
        self.ended.append(worker)
        self.ended_at.append(asyncio.get_running_loop().time())
        task = asyncio.create_task(self._return_later(worker))
        self._return_tasks.add(task)

    async def _return_later(self, ended: WorkerStandin) -> None:
        await asyncio.sleep(RETURN_S)
        await self._fleet.store.put("keyed.servers", ended.name, None)
        self._returns += 1
        worker = WorkerStandin(f"w-again-{self._returns}")
        await worker.start(ended.port)
        self._fleet.workers[worker.name] = worker
        self.watch(worker)
        await self._fleet.list_worker(worker.name)

    def arrivals(self) -> list[float]:
        """Return when the crashing request ended workers; each of its arrivals does."""
        return sorted(self.ended_at)

    async def stop(self) -> None:
        """Wait until all workers that ended are back."""
        await asyncio.gather(*self._return_tasks)


@contextlib.asynccontextmanager
async def crashing_fleet(
    boxes: int, part: str = ""
) -> t.AsyncIterator[tuple[TestFleet, CrashingRequest]]:
    """Run a fleet with six engines that the crashing request ends.

    With a `part`, each request with that part of its prompt does.
    """
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
        crashing = CrashingRequest(fleet, part)
        for name, worker in fleet.workers.items():
            if name.startswith("w-"):
                crashing.watch(worker)
        yield fleet, crashing
        await crashing.stop()
