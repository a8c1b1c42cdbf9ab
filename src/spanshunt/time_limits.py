"""Time limits on what other machines do, which a late event loop does not use up.

When the loop of a box stands still, or its turns are long, a timer is due before the
loop has seen an answer that is there already. What is not done by a timer that was late
itself gets its time once more.
"""

import asyncio
import typing as t

T = t.TypeVar("T")

LATE_PART = 0.1
"""Part of the limit by which its timer must be late for the time to be given again."""

MAX_TIMES = 2
"""How often the time is given, so that there is an end to it on a busy machine."""


async def within(limit_s: float, work: t.Coroutine[t.Any, t.Any, T]) -> T:
    """Return what `work` returns; cancel it if that takes too long.

    Parameters
    ----------
    limit_s : float
        How long it may take, in s, where the loop is on time; else up to `MAX_TIMES`
        times as long, and what the loop is late.
    work : coroutine
        What waits for another machine.

    Raises
    ------
    TimeoutError
        If it takes too long.
    """
    task = asyncio.ensure_future(work)
    try:
        for _ in range(MAX_TIMES):
            if not await _ends_late(task, limit_s):
                break
        if not task.done():
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()


async def _ends_late(task: asyncio.Future[T], limit_s: float) -> bool:
    """Wait for a task; return whether it is not done by a timer that was late."""
    loop = asyncio.get_running_loop()
    due = loop.time() + limit_s
    await asyncio.wait({task}, timeout=limit_s)
    return not task.done() and loop.time() > due + LATE_PART * limit_s
