"""More work than room: real boxes before stand-in workers with slots and places.

``python -m bench.overload`` plays two loads with six boxes before six workers of 4
slots and 8 places, 0.4 s of work each: a clump of 1.5 s of work within 0.1 s beside a
load of 0.4 of the room, with deadlines of 4 s, and three times the room with deadlines
of 1 s. It prints what became of the requests, the work done as a share of the room, the
share of it that was in vain, and when callers were refused.
"""

import asyncio
import contextlib
import random
import typing as t
from dataclasses import dataclass
from dataclasses import field

import aiohttp
import cappa
from aiohttp import web
from loguru import logger

from spanshunt.clock import Clock
from spanshunt.platform.node import Node
from spanshunt.platform.settings import NodeBounds
from spanshunt.platform.settings import NodeListen
from spanshunt.platform.settings import NodeSettings
from spanshunt.platform.settings import NodeStore
from spanshunt.standins.ports import free_ports
from spanshunt.standins.slots import WorkerSlots
from spanshunt.standins.store import StoreStandin
from spanshunt.standins.worker import WorkerStandin

BOXES, WORKERS = 6, 6
"""Boxes and workers."""

SLOTS, PLACES, WORK_S = 4, 8, 0.4
"""Requests that a worker runs at once and that wait there, and a request's work, in
s."""

ROOM_PER_S = WORKERS * SLOTS / WORK_S
"""Requests a second that the workers can answer."""

READY_S = 3.0
"""Time in which boxes read the catalog and find each other, in s."""

WARM_S = 2.0
"""How long a light load is played before what is measured, in s."""

HOST, KEY = "overload.example", "key-museo"

CONFIG: dict[str, t.Any] = {
    "Version": 1,
    "Routes": [
        {
            "Name": "safe",
            "Hostname": HOST,
            "PathPrefix": "/safe/",
            "RouteType": "safe",
            "TimeoutMs": 6000,
            "TargetLatencyMs": 800,
            "Backend": "web",
            "MaxAttempts": 2,
        }
    ],
    "Backends": [{"Name": "web"}],
    "Tenants": [{"Name": "museo", "ApiKeys": [KEY]}],
}


@dataclass
class Load:
    """What comes: a rate, a clump, and the deadline of each request.

    ``clump`` requests come within ``CLUMP_S`` in the middle of ``lasts_s``.
    """

    per_s: float
    lasts_s: float
    deadline_ms: int
    clump: int = 0


CLUMP_S = 0.1
"""Time within which a clump comes, in s."""

LOADS = {
    "clump": Load(0.4 * ROOM_PER_S, 6.0, 4_000, clump=round(1.5 * ROOM_PER_S)),
    "thrice": Load(3.0 * ROOM_PER_S, 10.0, 1_000),
}


@dataclass
class Outcome:
    """What became of a load's requests; times in ms."""

    asked: int = 0
    served: int = 0
    late: int = 0
    refused_ms: list[float] = field(default_factory=list)
    other: int = 0
    sends: int = 0
    worked_s: float = 0.0
    wasted_s: float = 0.0
    lasted_s: float = 0.0

    def as_text(self) -> str:
        """Return the figures of an outcome in a line."""
        refused = sorted(self.refused_ms)
        soon = sum(ms <= 100 for ms in refused)
        room = min(self.asked, ROOM_PER_S * self.lasted_s)
        p99 = refused[int(0.99 * (len(refused) - 1))] if refused else 0
        return (
            f"asked {self.asked}, served {self.served} "
            f"({self.served / max(1, self.asked):.3f}; "
            f"{self.served / max(1.0, room):.2f} of the room), late {self.late}, "
            f"refused {len(refused)} ({soon} within 100 ms, p99 {p99:.0f} ms), "
            f"other {self.other}, sends a request "
            f"{self.sends / max(1, self.asked):.2f}, in vain "
            f"{self.wasted_s / max(0.001, self.worked_s):.3f} of the work"
        )


class Site:
    """Boxes, workers and a store inside one process."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.workers: list[WorkerStandin] = []
        self.nodes: list[Node] = []
        self.bases: list[str] = []
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Start everything, and wait until all boxes are ready."""
        await self.store.put("keyed.op", "config", CONFIG)
        for i in range(WORKERS):
            await self._add_worker(f"web-{i}")
        seeds: tuple[str, ...] = ()
        for i in range(BOXES):
            seeds = await self._add_box(f"box-{i}", seeds)
        await asyncio.sleep(READY_S)
        reasons = [node.why_not_ready() for node in self.nodes]
        assert not any(reasons), reasons

    async def _add_worker(self, name: str) -> None:
        worker = WorkerStandin(name)
        worker.slots = WorkerSlots(SLOTS, PLACES, WORK_S)
        await worker.start()
        self.workers.append(worker)
        body = {
            "Backend": "web",
            "Address": worker.address,
            "Zone": "north",
            "Version": "v1",
            "Slots": SLOTS,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": len(self.workers),
        }
        await self.store.put("keyed.servers", name, body)

    async def _add_box(self, name: str, seeds: tuple[str, ...]) -> tuple[str, ...]:
        """Start a box; return where others reach it."""
        runner = web.AppRunner(self.store.endpoint().app(), handler_cancellation=True)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        callers, readiness, peers, metrics = (
            f"127.0.0.1:{port}" for port in free_ports(4)
        )
        settings = NodeSettings(
            box=name,
            domain="north",
            listen=NodeListen(
                callers=callers, readiness=readiness, peers=peers, metrics=metrics
            ),
            store=NodeStore(address=f"127.0.0.1:{runner.addresses[0][1]}"),
            seeds=seeds,
            bounds=NodeBounds(repeat_ratio=0.2, repeat_slack=10.0),
        )
        node = Node(settings, Clock())
        await node.start()
        self.nodes.append(node)
        self.bases.append(f"http://{callers}")
        return (*seeds, node.fleet.identity.address)

    async def stop(self) -> None:
        """Stop everything at once."""
        for node in self.nodes:
            await node.close()
        for worker in self.workers:
            await worker.stop()
        for runner in self._runners:
            await runner.cleanup()

    def reset_sums(self) -> None:
        """Begin to measure the workers."""
        for worker in self.workers:
            assert worker.slots is not None
            worker.slots.worked_s = worker.slots.wasted_s = 0.0
            worker.seen.clear()

    def add_sums(self, outcome: Outcome) -> None:
        """Add what the workers did."""
        for worker in self.workers:
            assert worker.slots is not None
            outcome.worked_s += worker.slots.worked_s
            outcome.wasted_s += worker.slots.wasted_s
            outcome.sends += len(worker.seen)


async def _ask(
    http: aiohttp.ClientSession, base: str, number: int, load: Load, outcome: Outcome
) -> None:
    """Ask as a caller does, and leave when the deadline is over."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    headers = {
        "Host": HOST,
        "Attempt-Id": f"try-{number}",
        "Deadline-Ms": str(load.deadline_ms),
        "Credential": KEY,
    }
    outcome.asked += 1
    try:
        async with (
            asyncio.timeout(load.deadline_ms / 1_000),
            http.get(f"{base}/safe/x", headers=headers) as resp,
        ):
            await resp.read()
            status = resp.status
    except TimeoutError:
        outcome.late += 1
        return
    except aiohttp.ClientError:
        outcome.other += 1
        return
    if status == 200:
        outcome.served += 1
    elif status == 503:
        outcome.refused_ms.append(1_000 * (loop.time() - began))
    else:
        outcome.other += 1


def _arrivals(load: Load, rng: random.Random) -> list[float]:
    """Return when requests come, in s from the begin."""
    times: list[float] = []
    at = rng.expovariate(load.per_s)
    while at < load.lasts_s:
        times.append(at)
        at += rng.expovariate(load.per_s)
    middle = load.lasts_s / 2
    times += [middle + rng.random() * CLUMP_S for _ in range(load.clump)]
    return sorted(times)


async def _play_load(
    site: Site, http: aiohttp.ClientSession, load: Load, rng: random.Random
) -> Outcome:
    outcome = Outcome(lasted_s=load.lasts_s)
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.TaskGroup() as tasks:
        for at in _arrivals(load, rng):
            await asyncio.sleep(began + at - loop.time())
            base = rng.choice(site.bases)
            number = rng.randrange(2**40)
            tasks.create_task(_ask(http, base, number, load, outcome))
    return outcome


async def play(load: Load, seed: int) -> Outcome:
    """Play a load on a fleet of its own, after a light one."""
    site, rng = Site(), random.Random(seed)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        try:
            await site.start()
            await _play_load(site, http, Load(0.2 * ROOM_PER_S, WARM_S, 4_000), rng)
            site.reset_sums()
            outcome = await _play_load(site, http, load, rng)
            # What callers left behind ends within a request's work.
            await asyncio.sleep(WORK_S)
            site.add_sums(outcome)
            return outcome
        finally:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(site.stop(), 5.0)


@cappa.command(name="overload", help="More work than room.")
@dataclass
class OverloadCommand:
    """Arguments of the plays."""

    seeds: t.Annotated[int, cappa.Arg(long=True, help="How many seeds.")] = 1
    load: t.Annotated[str, cappa.Arg(long=True, help="The only load.")] = ""


def main() -> None:
    """Play each load with some seeds and print a line for each."""
    command = cappa.parse(OverloadCommand)
    logger.remove()
    for name, load in LOADS.items():
        if command.load not in ("", name):
            continue
        for seed in range(1, command.seeds + 1):
            outcome = asyncio.run(play(load, seed))
            print(f"{name} seed {seed}: {outcome.as_text()}", flush=True)


if __name__ == "__main__":
    main()
