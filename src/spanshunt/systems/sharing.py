"""Sharing of a service's room between organisations and priorities while it is short.

The room is shared by max-min fairness over all boxes together: no organisation gets
more than it asks for, and what one leaves is shared among the others. The order applies
only to requests that wait; while there is room, none does.
"""

from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.waiting import Waiter


def next_waiter(fleet: Fleet, service: ServiceId, now: Millis) -> Waiter | None:
    """Return the waiting request that gets the next room at a service, or None."""
    rows = fleet.wait_list.waiters.get(service, {}).values()
    return min(rows, key=lambda row: (row.priority, row.start_by), default=None)
