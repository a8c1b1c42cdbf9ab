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


def was_late(due_s: float, limit_s: float) -> bool:
    """Return whether a timer that just ended a limit was late itself.

    Parameters
    ----------
    due_s : float
        When it was due, by the loop's time, in s.
    limit_s : float
        The limit, in s.
    """
    return asyncio.get_running_loop().time() > due_s + LATE_PART * limit_s


async def wait_within(limit_s: float, task: asyncio.Future[T]) -> bool:
    """Wait for a task; return whether it is done.

    Where the loop is late the limit, in s, is given up to `MAX_TIMES` times.
    """
    loop = asyncio.get_running_loop()
    for _ in range(MAX_TIMES):
        due = loop.time() + limit_s
        await asyncio.wait({task}, timeout=limit_s)
        if task.done() or not was_late(due, limit_s):
            break
    return task.done()


async def within(limit_s: float, work: t.Coroutine[t.Any, t.Any, T]) -> T:
    """Return what `work` returns; cancel it if that takes too long.

    Where the loop is late the limit, in s, is given up to `MAX_TIMES` times.

    Raises
    ------
    TimeoutError
        If it takes too long.
    """
    task = asyncio.ensure_future(work)
    try:
        if not await wait_within(limit_s, task):
            raise TimeoutError
        return task.result()
    finally:
        task.cancel()
        task.add_done_callback(_take_outcome)


def _take_outcome(task: asyncio.Future[T]) -> None:
    """Take what a task ended with that was given up; it is nobody's any more."""
    if not task.cancelled():
        task.exception()
