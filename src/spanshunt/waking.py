"""A box that was suspended, and what it does first when it wakes.

Its timers don't count the time that it was away, while deadlines passed and what it
believes grew old. Ages are told by a clock that counts on; timers are set anew.
"""

import typing as t

from .catalog_state import Core
from .clock import Clock
from .forwarding import reschedule_timeout
from .ids import Millis
from .logs import log_event

SUSPENDED_LEAST_MS = 100
"""Shortest suspension that counts, in ms: what timers are late by then is a tenth of
the shortest bound that they keep."""

REFRESH_MS = 200
"""How long requests that come just after waking are held at most until a peer or the
store was heard, in ms: a peer answers in 10, a slow store in 240."""


class Wakes:
    """Notices that the box was suspended.

    Parameters
    ----------
    clock : Clock
        The source of time.
    on_wake : callable
        Called with how long it was, in ms.
    """

    def __init__(self, clock: Clock, on_wake: t.Callable[[Millis], None]) -> None:
        self._clock = clock
        self._on_wake = on_wake
        self._counted = clock.suspended()

    def look(self) -> None:
        """Take in a suspension since the last look."""
        total = self._clock.suspended()
        slept = Millis(total - self._counted)
        if slept >= SUSPENDED_LEAST_MS:
            self._counted = total
            self._on_wake(slept)


def take_wake(core: Core, slept: Millis) -> None:
    """Set the limits of requests under way anew, and ask peers for what is new."""
    now = core.clock.now()
    core.fleet.wake_hold_until = Millis(now + REFRESH_MS)
    for state in core.running.values():
        reschedule_timeout(state, state.limit - now)
    core.count("wakes")
    log_event("WARNING", "woke", slept_ms=slept, running=len(core.running))
    core.gossip_now()
