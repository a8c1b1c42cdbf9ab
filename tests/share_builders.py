"""Builders for services that are short of room."""

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import RequestId
from spanshunt.ids import ServiceId
from spanshunt.systems.demand import apply_answered_demands
from spanshunt.systems.demand import apply_called_demands
from spanshunt.systems.demand import demands_to_send
from spanshunt.systems.demand import record_arrival
from spanshunt.systems.queueing import add_waiter
from spanshunt.systems.sharing import services_short_of_room
from spanshunt.systems.sharing import update_shares
from spanshunt.systems.sharing import waiters_in_order
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.waiting import Waiter

WEB = ServiceId("web")

ORGS = tuple(OrgId(f"org-{number}") for number in range(6))
"""Six organisations."""

LARGE = OrgId("large")
SMALL = OrgId("small")

WORK_MS = 400
"""Usual time of a request's work, in ms."""

WORKERS, SLOTS = 6, 4
ROOM = float(WORKERS * SLOTS)
"""Room of all workers, in s of a worker's slot a second."""


def make_boxes(count: int) -> list[Fleet]:
    """Return the tables of boxes that know each other and the same workers."""
    names = [BoxId(f"box-{number}") for number in range(count)]
    boxes = [make_fleet(name) for name in names]
    for fleet in boxes:
        for number in range(WORKERS):
            row = make_worker(f"w-{number}", service=WEB)
            row.slots = SLOTS
            add_worker(fleet, row)
        for name in names:
            if name != fleet.identity.box:
                fleet.peers[name] = PeerRow(name, f"{name}:1")
    return boxes


def make_waiter(
    name: str,
    org: OrgId = SMALL,
    *,
    priority: int = 0,
    since: int = 0,
    start_by: int = 4_000,
) -> Waiter:
    """Return a request that waits."""
    return Waiter(
        RequestId(name), WEB, org, priority, Millis(since), Millis(start_by), 1_000
    )


def next_waiter(fleet: Fleet, service: ServiceId, now: Millis) -> Waiter | None:
    """Return the waiting request that gets the next room at a service, or None."""
    return next(iter(waiters_in_order(fleet, service, now)), None)


def add_waiters(fleet: Fleet, *waiters: Waiter) -> None:
    """Let requests wait at a box."""
    for waiter in waiters:
        add_waiter(fleet.wait_list, waiter)


def exchange(caller: Fleet, called: Fleet, now: int, *, answered: bool = True) -> None:
    """Let a box call another one with its demands."""
    services = services_short_of_room(caller, Millis(now))
    rows = demands_to_send(caller, services, Millis(now))
    answer = apply_called_demands(called, rows, Millis(now))
    if answered:
        apply_answered_demands(caller, rows, answer, Millis(now))


def arrive(fleet: Fleet, org: OrgId, per_s: float, now: int, span_ms: int) -> None:
    """Let requests of an organisation arrive evenly up to a moment."""
    step = 1_000 / per_s
    for number in range(int(span_ms / step)):
        at = now - span_ms + int(number * step)
        record_arrival(fleet, WEB, org, WORK_MS, Millis(at))


def overload(fleet: Fleet, now: int = 5_000) -> None:
    """Let one organisation ask for twice the room of all workers."""
    arrive(fleet, LARGE, 2 * ROOM * 1_000 / WORK_MS, now, 5_000)
    update_shares(fleet, Millis(now))
