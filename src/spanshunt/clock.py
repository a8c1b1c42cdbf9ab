"""The one clock of the program, in milliseconds."""

import time

from .ids import Millis

_NS_PER_MS = 1_000_000


class Clock:
    """A source of time.

    ``now`` never goes back and is compared with itself only; ``wall`` is the time of
    day, for records and people. Decisions take times as arguments and never read a
    clock on their own.

    .. versionadded:: 0.1
    """

    def now(self) -> Millis:
        """Return the monotonic time in ms, with the time that the box was suspended."""
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS)

    def suspended(self) -> Millis:
        """Return how long the box was suspended so far, in ms.

        Timers of the event loop don't count that time.
        """
        return Millis(self.now() - time.monotonic_ns() // _NS_PER_MS)

    def wall(self) -> Millis:
        """Return the time since the Unix epoch in ms."""
        return Millis(time.time_ns() // _NS_PER_MS)


class ManualClock(Clock):
    """A clock that moves only when told, for tests and offline runs.

    Parameters
    ----------
    start : int
        The first time that the clock shows, in ms.
    """

    def __init__(self, start: int = 0) -> None:
        self._now = start

    def now(self) -> Millis:
        """Return the time set last, in ms."""
        return Millis(self._now)

    def suspended(self) -> Millis:
        """Return 0: the clock stands still while nobody moves it."""
        return Millis(0)

    def wall(self) -> Millis:
        """Return the same time as :meth:`now`."""
        return Millis(self._now)

    def advance(self, duration: int) -> None:
        """Move the clock forward by `duration` ms."""
        self._now += duration
