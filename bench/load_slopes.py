"""Slopes of what a box does while workers are short of room, for docs/CAPACITY.md.

Run with ``python -m bench.load_slopes``. Each figure is measured at four sizes or more;
the slope and the largest residual of a straight line are printed beside it.
"""

import random
import typing as t

import msgspec

from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import RequestId
from spanshunt.ids import ServiceId
from spanshunt.ids import WorkerId
from spanshunt.peers.news_rows import loads_news
from spanshunt.peers.news_rows import worker_speeds_news
from spanshunt.systems.demand import demands_to_send
from spanshunt.systems.demand import record_arrival
from spanshunt.systems.holding import add_unread
from spanshunt.systems.holding import choose_cut
from spanshunt.systems.holding import close_row
from spanshunt.systems.holding import open_row
from spanshunt.systems.holding import set_unread
from spanshunt.systems.queueing import add_waiter
from spanshunt.systems.sharing import update_shares
from spanshunt.systems.sharing import waiters_in_order
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_load
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.holdings import ByteAccount
from spanshunt.tables.holdings import ByteMarks
from spanshunt.tables.identity import Identity
from spanshunt.tables.waiting import Waiter
from spanshunt.tables.workers import WorkerRow

from .slopes import Point
from .slopes import memory_of
from .slopes import show
from .slopes import timed

SERVICE = ServiceId("web")
NOW = Millis(10_000)
SIZES = (10, 40, 160, 640)
WORK_MS = 30.0


def main() -> None:
    """Measure and print."""
    show("the order of all waiters", "us", [_waiters_in_order(size) for size in SIZES])
    show("memory of waiters", "bytes", [_waiters_memory(size) for size in SIZES])
    show("shares by organisations", "us", [_shares(size) for size in SIZES])
    show("message, demands by organisations", "bytes", [_demands(n) for n in SIZES])
    show("message, loads and speeds by workers", "bytes", [_speeds(n) for n in SIZES])
    show("a block of an answer, by answers", "us", [_block(size) for size in SIZES])
    show("the answer to cut, by answers", "us", [_cut(size) for size in SIZES])


def _fleet() -> Fleet:
    me = Identity(BoxId("box-1"), DomainId("north"), "box-1:1", Incarnation("box-1.1"))
    return Fleet(identity=me)


def _worker(number: int) -> WorkerRow:
    row = WorkerRow(WorkerId(f"w-{number}"), SERVICE, DomainId("north"), slots=6)
    record_load(row, WorkerLoad(6, 2, 6, 2.5), NOW)
    row.speed.answers = 10
    return row


def _add_workers(fleet: Fleet, number: int) -> None:
    for one in range(number):
        row = _worker(one)
        fleet.workers.rows[row.name] = row
    fleet.workers.invalidate_index()


def _add_waiters(fleet: Fleet, number: int) -> None:
    for one in range(number):
        request, org = RequestId(f"r-{one}"), OrgId(f"org-{one % 24}")
        until = Millis(NOW + one)
        waiter = Waiter(request, SERVICE, org, one % 3, NOW, until, 16_384)
        add_waiter(fleet.wait_list, waiter)


def _waiters_in_order(size: int) -> Point:
    fleet = _fleet()
    _add_waiters(fleet, size)
    return Point(size, timed(lambda: waiters_in_order(fleet, SERVICE, NOW), 50))


def _waiters_memory(size: int) -> Point:
    def make() -> Fleet:
        fleet = _fleet()
        _add_waiters(fleet, size)
        return fleet

    return Point(size, memory_of(make))


def _in_demand(size: int) -> Fleet:
    fleet = _fleet()
    _add_workers(fleet, 4)
    for one in range(size):
        for _ in range(1 + one % 5):
            record_arrival(fleet, SERVICE, OrgId(f"org-{one}"), 2_000.0, NOW)
    return fleet


def _shares(size: int) -> Point:
    fleet = _in_demand(size)
    return Point(size, timed(lambda: update_shares(fleet, NOW), 50))


def _demands(size: int) -> Point:
    rows = demands_to_send(_in_demand(size), [SERVICE], NOW)
    return Point(size, _encoded(rows))


def _speeds(size: int) -> Point:
    fleet = _fleet()
    _add_workers(fleet, size)
    speeds = worker_speeds_news(fleet, random.Random(1))
    return Point(size, _encoded((loads_news(fleet, NOW), speeds)))


def _encoded(rows: t.Any) -> float:
    return float(len(msgspec.msgpack.encode(rows)))


def _account(size: int) -> ByteAccount:
    account = ByteAccount()
    for one in range(size):
        row = open_row(account, RequestId(f"r-{one}"), NOW)
        add_unread(account, row, 1_000, NOW)
    return account


def _block(size: int) -> Point:
    account = _account(size)

    def relay() -> None:
        row = open_row(account, RequestId("one"), NOW)
        add_unread(account, row, 1_000, NOW)
        set_unread(account, row, 0, NOW)
        close_row(account, RequestId("one"))

    return Point(size, timed(relay, 500))


def _cut(size: int) -> Point:
    account = _account(size)
    marks = ByteMarks(low=1, high=2, bound=3, answer=1, worker=1)
    later = Millis(NOW + 60_000)
    return Point(size, timed(lambda: choose_cut(account, marks, later), 50))


if __name__ == "__main__":
    main()
