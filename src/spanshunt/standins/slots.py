"""Slots and queue places of a stand-in worker, and the time that it works."""

import asyncio
import collections
import random
import typing as t

Gone = t.Callable[[float], t.Awaitable[bool]]
"""Waits so many s at most; returns whether the connection was closed meanwhile."""

STEP_S = 0.01
"""How often a request in the queue looks for a slot, in s."""


class WorkerSlots:
    """Requests that a worker runs at once, those that wait there, and its work.

    ``worked_s`` is all time that its slots worked, ``wasted_s`` that for requests whose
    connection was closed before their answer.

    Parameters
    ----------
    slots, places : int
        Requests that run at once, and that may wait beside them.
    work_s : float
        Mean time of one request's work, in s.
    varies : float
        By which part of it the time varies, evenly.
    """

    def __init__(
        self, slots: int, places: int, work_s: float, varies: float = 0.0
    ) -> None:
        self.slots = slots
        self.places = places
        self.work_s = work_s
        self.varies = varies
        self.running = 0
        self.worked_s = 0.0
        self.wasted_s = 0.0
        self._queue: collections.deque[object] = collections.deque()
        self._rng = random.Random(0)

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def is_full(self) -> bool:
        """Whether another request would be turned away."""
        return self.running + self.waiting >= self.slots + self.places

    async def work(self, gone: Gone) -> bool:
        """Wait for a slot and work; return whether the work was done."""
        turn = object()
        self._queue.append(turn)
        try:
            while self._queue[0] is not turn or self.running >= self.slots:
                if await gone(STEP_S):
                    return False
        finally:
            self._queue.remove(turn)
        return await self._work_in_slot(gone)

    async def _work_in_slot(self, gone: Gone) -> bool:
        loop = asyncio.get_running_loop()
        began, done = loop.time(), False
        self.running += 1
        try:
            done = not await gone(self.work_s * self._factor())
        finally:
            self.running -= 1
            took = loop.time() - began
            self.worked_s += took
            self.wasted_s += 0.0 if done else took
        return done

    def _factor(self) -> float:
        return 1.0 + self.varies * self._rng.uniform(-1.0, 1.0)
