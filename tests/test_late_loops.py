"""A loop that stands still for a while: workers' answers wait in the sockets."""

import asyncio
import collections
import time

import pytest

from fleet_builders import Reply
from fleet_builders import TestFleet
from fleet_builders import running_fleet

ASKED = 12
"""Requests under way when the loop stands still."""

HEAD_S = 0.3
"""How long workers take until the head of an answer, in s."""

STREAM_STALL_S, HEAD_STALL_S = 1.4, 0.8
"""How long the loop stands still: longer than a stream, or a plain answer, may be
silent before it is asked of another worker."""


def stand_still(seconds: float) -> None:
    """Keep the loop from all else, as a box does that waits for its processor."""
    time.sleep(seconds)


async def ask_all(
    fleet: TestFleet, path: str, after_s: float, stall_s: float
) -> list[Reply]:
    """Ask, and let the loop stand still while the requests are under way."""
    box = fleet.boxes[0]
    asks = [
        asyncio.create_task(fleet.ask(box, path, Attempt_Id=f"r-{number}"))
        for number in range(ASKED)
    ]
    await asyncio.sleep(after_s)
    stand_still(stall_s)
    return await asyncio.gather(*asks)


def runs(fleet: TestFleet) -> collections.Counter[str]:
    """Return how often each request ran."""
    return collections.Counter(
        request for worker in fleet.workers.values() for request in worker.ran
    )


@pytest.mark.parametrize(
    ("path", "after_s", "stall_s"),
    [
        ("/look/x", 0.1, HEAD_STALL_S),
        ("/long/x", 0.1, STREAM_STALL_S),
        ("/long/x", 0.6, STREAM_STALL_S),
    ],
)
async def test_answers_that_are_there_are_taken_before_their_workers_count_as_silent(
    path, after_s, stall_s
):
    """Guards against runs that a box repeats because it was late itself."""
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.events, worker.event_s = 20, 0.05
            worker.holds = lambda _request: HEAD_S
        replies = await ask_all(fleet, path, after_s, stall_s)
        assert [reply.status for reply in replies] == [200] * ASKED
        assert set(runs(fleet).values()) == {1}
