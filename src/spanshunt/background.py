"""Background work: periodic jobs that outlive a failed turn."""

import asyncio
import traceback
import typing as t

from .exceptions import InvariantError
from .logs import log_event

EARLY_S = 0.001
"""How early a timer may fire, in s: loops keep time in ms."""

Job = t.Callable[[], t.Awaitable[t.Any]]


class Background:
    """Runs jobs until stopped; a broken invariant is reported, not swallowed.

    Jobs begin at multiples of their periods, counted from one moment, so that those
    that are due together share a wake-up of the process: for seven jobs of 100 to 400
    ms it wakes 10 times a second instead of 37.

    Parameters
    ----------
    on_broken : callable
        Called with the error when an invariant broke.
    phase : float
        That moment, in s of the loop's time; it should differ from box to box, so that
        not all of them act at once.

    Attributes
    ----------
    late_s : float
        How late the job that runs now was begun, in s; to be read as it begins.
    """

    def __init__(
        self, on_broken: t.Callable[[InvariantError], None], phase: float = 0.0
    ) -> None:
        self._on_broken = on_broken
        self._phase = phase
        self._tasks: list[asyncio.Task[None]] = []
        self.late_s = 0.0

    def every(self, period_ms: int, job: Job) -> None:
        """Run `job` now, and whenever a multiple of `period_ms` comes after its end."""

        async def run() -> None:
            loop = asyncio.get_running_loop()
            while True:
                await self._turn(job)
                pause = self._until_next(period_ms / 1_000)
                due = loop.time() + pause
                await asyncio.sleep(pause)
                self.late_s = max(0.0, loop.time() - due)

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

    def _until_next(self, period: float) -> float:
        """Return the time to the next multiple of a period, both in s."""
        passed = asyncio.get_running_loop().time() - self._phase
        left = period - passed % period
        # A timer that fires a little early must not run its job twice.
        return left if left > EARLY_S else left + period

    async def _turn(self, job: Job) -> None:
        try:
            await job()
        except InvariantError as exc:
            self._on_broken(exc)
        except Exception as exc:
            where = traceback.format_exc(limit=-3)
            log_event("ERROR", f"job failed: {exc!r}", where=where)
