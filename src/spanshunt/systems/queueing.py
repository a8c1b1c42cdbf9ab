"""Admission by what can be served in time: send now, wait at the box, or refuse.

A worker has room while it can start a request soon. A request that no worker has room
for waits at this box if one is likely to have room in time; otherwise it is refused at
once. Only a request that was sent to no worker waits.
"""

import enum

from ..ids import Millis
from ..ids import RequestId
from ..tables.waiting import Waiter
from ..tables.waiting import WaitList


class Admission(enum.Enum):
    """What becomes of a request that is ready to be sent."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


def add_waiter(waiting: WaitList, waiter: Waiter) -> None:
    """Add a request to the wait list."""
    waiting.waiters.setdefault(waiter.service, {})[waiter.request] = waiter
    waiting.count += 1
    waiting.bytes += waiter.bytes


def remove_waiter(waiting: WaitList, waiter: Waiter) -> None:
    """Remove a request from the wait list, if it is there."""
    rows = waiting.waiters.get(waiter.service, {})
    if rows.pop(waiter.request, None) is None:
        return
    waiting.count -= 1
    waiting.bytes -= waiter.bytes
    if not rows:
        del waiting.waiters[waiter.service]


def expired_waiters(waiting: WaitList, now: Millis) -> list[RequestId]:
    """Return the requests that no worker can start in time any more."""
    return [
        waiter.request
        for rows in waiting.waiters.values()
        for waiter in rows.values()
        if now >= waiter.start_by
    ]
