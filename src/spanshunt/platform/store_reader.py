"""Readings of the platform's store, and what they tell of the store itself."""

from result import Err

from ..clock import Clock
from ..ids import Millis
from ..logs import log_event
from ..systems.following_workers import record_store_answer
from ..systems.following_workers import record_store_failure
from ..tables.fleet import Fleet
from .store import Listing
from .store import StoreClient
from .store import StoreFault

LOOK_MS = 100
"""How often a box looks whether it must read for itself, in ms."""

FIRST_RETRY_MS = 100
"""Pause after the first call in a row that failed, in ms; after others, `RETRY_MS`."""

RETRY_MS = 400
"""Pause after a call that failed, in ms: well within what a change may take to be in
force."""


class StoreReader:
    """Reads the store and notes whether it serves this box.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    store : StoreClient
        The store.
    """

    def __init__(self, fleet: Fleet, clock: Clock, store: StoreClient) -> None:
        self.fleet = fleet
        self.clock = clock
        self.store = store

    def now(self) -> Millis:
        """Return the time, in ms."""
        return self.clock.now()

    async def newest(self, topic: str, most_ms: int | None = None) -> Listing | None:
        """Return the newest record of each key, or none where the store fails."""
        got = await self.store.newest(topic, most_ms)
        if isinstance(got, Err):
            self.note_failure(got.err_value)
            return None
        self.note_answer()
        return got.ok_value

    def note_failure(self, fault: StoreFault) -> None:
        """Take in that a call failed."""
        if record_store_failure(self.fleet, self.now()):
            log_event(
                "WARNING",
                "store lost",
                problem=fault.problem.value,
                detail=fault.detail,
            )

    def note_answer(self) -> None:
        """Take in that the store answered."""
        if record_store_answer(self.fleet):
            log_event("INFO", "store regained")
