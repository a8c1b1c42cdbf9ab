"""Background work: periodic jobs that outlive a failed turn."""

import asyncio
import traceback
import typing as t

from .exceptions import InvariantError
from .logs import log_event

Job = t.Callable[[], t.Awaitable[t.Any]]


class Background:
    """Runs jobs until stopped; a broken invariant is reported, not swallowed.

    Parameters
    ----------
    on_broken : callable
        Called with the error when an invariant broke.
    """

    def __init__(self, on_broken: t.Callable[[InvariantError], None]) -> None:
        self._on_broken = on_broken
        self._tasks: list[asyncio.Task[None]] = []

    def every(self, period_ms: int, job: Job) -> None:
        """Run `job` again and again, `period_ms` after it ended."""

        async def run() -> None:
            while True:
                await self._turn(job)
                await asyncio.sleep(period_ms / 1000)

        self._tasks.append(asyncio.create_task(run()))

    def forever(self, job: Job) -> None:
        """Run `job`, which does not end by itself; start it again if it fails."""
        self.every(1_000, job)

    async def stop(self) -> None:
        """Cancel all jobs and wait for them."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _turn(self, job: Job) -> None:
        try:
            await job()
        except InvariantError as exc:
            self._on_broken(exc)
        except Exception as exc:
            where = traceback.format_exc(limit=-3)
            log_event("ERROR", f"job failed: {exc!r}", where=where)
