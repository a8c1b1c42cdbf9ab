"""Periodic removal of rows that are too old to count.

This module works on `Fleet`, the tables of a box that runs
``spanshunt.platform.node``.
"""

from ..ids import Millis
from ..tables.fleet import Fleet
from .arrivals import expire_arrivals
from .busy_boxes import expire_busy_boxes
from .demand import expire_demands
from .ending import expire_broken_connections
from .estimating import expire_peer_prefill
from .quarantining import expire_suspects
from .watching import drop_old_epochs
from .work_times import forget_work_times


def forget_old(fleet: Fleet, now: Millis) -> None:
    """Drop expired reports and breaks, old suspect contents and old epochs."""
    expire_arrivals(fleet, now)
    expire_busy_boxes(fleet, now)
    expire_demands(fleet, now)
    expire_peer_prefill(fleet, now)
    expire_broken_connections(fleet, now)
    expire_suspects(fleet, now)
    drop_old_epochs(fleet, now)
    forget_work_times(fleet)
