"""Real boxes whose workers have too little room for two organisations."""

import asyncio
import random

from fleet_builders import KEY
from fleet_builders import OTHER_KEY
from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.standins.slots import WorkerSlots

SLOTS, PLACES, WORK_S = 8, 16, 0.2
ROOM_PER_S = 2 * SLOTS / WORK_S
"""Requests a second that both workers can answer."""

LEAST_RETRY_S, MOST_RETRY_S = 0.03, 0.09
"""Times to return that the route's target latency alone gives, in s."""


class Callers:
    """Callers of one organisation that ask evenly, each once."""

    def __init__(self, fleet: TestFleet, key: str) -> None:
        self.asked = self.served = 0
        self.retry_after_s: list[float] = []
        self._fleet = fleet
        self._key = key
        self._rng = random.Random(key)

    async def run(self, per_s: float, span_s: float) -> None:
        """Ask for a while, and wait for the last answer."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for number in range(int(span_s * per_s)):
                await asyncio.sleep(max(0.0, begin + number / per_s - loop.time()))
                tasks.create_task(self._ask())

    async def _ask(self) -> None:
        box = self._rng.choice(self._fleet.boxes)
        reply = await self._fleet.ask(box, "/look/a", key=self._key)
        self.asked += 1
        self.served += reply.status == 200
        if reply.status == 503:
            self.retry_after_s.append(float(reply.headers["Retry-After"]))


def counted(fleet: TestFleet, name: str) -> int:
    return sum(box.node.counters.value(name) for box in fleet.boxes)


async def test_small_organisation_is_served_beside_one_that_asks_for_eight_times():
    """1.8 of the room is asked for at three boxes for some seconds."""
    async with running_fleet(3) as fleet:
        for name in ("p-1", "p-2"):
            fleet.workers[name].slots = WorkerSlots(SLOTS, PLACES, WORK_S)
        small, large = Callers(fleet, OTHER_KEY), Callers(fleet, KEY)
        await large.run(0.3 * ROOM_PER_S, 1.0)
        assert not counted(fleet, "shares.began"), "shares while there is room"
        assert not any(box.node.fleet.service_shares for box in fleet.boxes)
        await asyncio.gather(
            small.run(0.2 * ROOM_PER_S, 4.0), large.run(1.6 * ROOM_PER_S, 4.0)
        )
        assert small.served >= 0.95 * small.asked
        assert counted(fleet, "shares.began") >= len(fleet.boxes)
        assert counted(fleet, "returns_told")
        assert max(large.retry_after_s) <= 4.0 / 3
        assert max(large.retry_after_s) > MOST_RETRY_S


async def test_refusal_while_nothing_is_short_of_room_is_as_before():
    async with running_fleet(1) as fleet:
        for name in ("p-1", "p-2"):
            await fleet.list_worker(name, service="web", state="draining")
        rows = fleet.boxes[0].node.fleet.workers
        await until(lambda: len(rows.leaving) == 2, "both workers leave")
        callers = Callers(fleet, KEY)
        await callers.run(20.0, 1.0)
        assert len(callers.retry_after_s) == callers.asked
        assert min(callers.retry_after_s) >= LEAST_RETRY_S
        assert max(callers.retry_after_s) <= MOST_RETRY_S
        assert not counted(fleet, "returns_told")
