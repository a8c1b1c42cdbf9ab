"""Real boxes whose workers have too little room for two organisations."""

import asyncio
import collections
import random

from fleet_builders import KEY
from fleet_builders import OTHER_KEY
from fleet_builders import Box
from fleet_builders import TestFleet
from fleet_builders import running_fleet
from slotted_workers import SlottedWork

SLOTS, WORK_S = 8, 0.4
ROOM_PER_S = 2 * SLOTS / WORK_S
SPAN_S = 8.0


class Callers:
    """Callers of one organisation that ask evenly and come back as told."""

    def __init__(self, fleet: TestFleet, key: str, per_s: float) -> None:
        self.asked = self.served = self.sends = 0
        self.returned_at: list[float] = []
        self._fleet = fleet
        self._key = key
        self._per_s = per_s
        self._rng = random.Random(key)
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self, span_s: float) -> None:
        """Ask for a while, and wait for the last answer."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for number in range(int(span_s * self._per_s)):
            await asyncio.sleep(max(0.0, begin + number / self._per_s - loop.time()))
            self.asked += 1
            self._tasks.append(loop.create_task(self._ask()))
        await asyncio.gather(*self._tasks)

    async def _ask(self) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + 1.5
        while (left_s := end - loop.time()) > 0.05:
            self.sends += 1
            box: Box = self._rng.choice(self._fleet.boxes)
            reply = await self._fleet.ask(
                box,
                "/look/a",
                key=self._key,
                **{"Deadline-Ms": str(int(left_s * 1_000))},
            )
            print(
                "R",
                reply.status,
                round(end - loop.time(), 2),
                round(left_s, 2),
                dict(reply.headers).get("Retry-After"),
            )
            if reply.status == 200:
                self.served += end > loop.time()
                return
            after_s = float(reply.headers.get("Retry-After", "0.1"))
            await asyncio.sleep(min(after_s, left_s / 3))
            self.returned_at.append(loop.time())


async def test_small_organisation_is_served_beside_one_that_asks_for_eight_times() -> (
    None
):
    """1.8 of the room is asked for at three boxes for some seconds."""
    async with running_fleet(3) as fleet:
        work = [
            SlottedWork(fleet.workers[name], SLOTS, 2 * SLOTS, WORK_S)
            for name in ("p-1", "p-2")
        ]
        await Callers(fleet, KEY, 0.3 * ROOM_PER_S).run(2.0)
        for item in work:
            item.busy_s = 0.0
        small = Callers(fleet, OTHER_KEY, 0.2 * ROOM_PER_S)
        large = Callers(fleet, KEY, 1.6 * ROOM_PER_S)
        await asyncio.gather(small.run(SPAN_S), large.run(SPAN_S))
        busy = sum(item.busy_s for item in work)
        counts = collections.Counter[str]()
        for box in fleet.boxes:
            for name in ("shares.began", "returns_spread", "requests_waited"):
                counts[name] += box.node.counters.value(name)
        print(
            "W",
            [
                (
                    b.node.fleet.work_times,
                    b.node.fleet.service_shares,
                    b.node.fleet.org_demands,
                )
                for b in fleet.boxes
            ],
        )
        print(
            "small",
            small.asked,
            small.served,
            small.sends,
            "large",
            large.asked,
            large.served,
            large.sends,
            "busy",
            busy / (2 * SLOTS * SPAN_S),
            counts,
        )
        assert small.served >= 0.95 * small.asked
        assert busy >= 0.85 * 2 * SLOTS * SPAN_S
