"""Following what operators wrote while the store ends its connections.

Seen in a fleet: the store closed all connections for maintenance, every follower's read
among them, and each read all records anew after a pause of 400 ms. An order that came
meanwhile was known 0.7 s late, and its good version was not taken for good in time.
"""

import asyncio
import itertools
import typing as t

from result import Err
from result import Ok
from result import Result

from fleet_builders import make_fleet
from spanshunt.clock import Clock
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.platform.operator_records import OperatorRecords
from spanshunt.platform.store import KeyedRecord
from spanshunt.platform.store import Listing
from spanshunt.platform.store import StoreFault
from spanshunt.platform.store import StoreProblem
from spanshunt.platform.store import Tail
from spanshunt.platform.store_reader import StoreReader
from spanshunt.tables.fleet import Fleet

SERVICE = ServiceId("writer")
ORDER = KeyedRecord(
    "rollout/writer",
    b'{"Backend": "writer", "TargetVersion": "v2", "DurationS": 24}',
    Offset(7),
)
LOST = Err(StoreFault(StoreProblem.LOST, "the connection ended"))


class Store:
    """A store whose reads of the records' end answer as the test says, then wait."""

    def __init__(self, *tails: Result[Tail, StoreFault]) -> None:
        self.listed = 0
        self.tailed: list[Offset] = []
        self._tails: t.Iterator[Result[Tail, StoreFault]] = iter(tails)

    async def newest(
        self, _topic: str, _most_ms: int | None = None
    ) -> Result[Listing, StoreFault]:
        self.listed += 1
        return Ok(Listing((), Offset(7)))

    async def tail(
        self, _topic: str, offset: Offset, _wait_ms: int
    ) -> Result[Tail, StoreFault]:
        self.tailed.append(offset)
        for answer in self._tails:
            return answer
        await asyncio.sleep(60)
        return Ok(Tail((), offset))


async def follow(store: Store, for_ms: int) -> Fleet:
    """Follow the records for a while; return the tables."""
    fleet = make_fleet()
    records = OperatorRecords(StoreReader(fleet, Clock(), t.cast(t.Any, store)))
    follower = asyncio.create_task(records.follow())
    for _ in range(for_ms // 50):
        await records.look()
        await asyncio.sleep(0.05)
    follower.cancel()
    return fleet


async def test_order_that_came_while_the_connection_ended_is_known_at_once():
    store = Store(LOST, Ok(Tail((ORDER,), Offset(8))))
    fleet = await follow(store, for_ms=250)
    assert fleet.rollouts.rows[SERVICE].version == "v2"
    assert store.listed == 1
    assert store.tailed == [7, 7, 8]


async def test_order_that_came_meanwhile_was_not_seen_to_come():
    """A connection may have been dead for long: another box may know better."""
    fleet = await follow(Store(LOST, Ok(Tail((ORDER,), Offset(8)))), for_ms=250)
    assert not fleet.rollouts.rows[SERVICE].seen


async def test_order_after_that_is_seen_to_come():
    empty = Ok(Tail((), Offset(7)))
    store = Store(LOST, empty, Ok(Tail((ORDER,), Offset(8))))
    assert (await follow(store, for_ms=250)).rollouts.rows[SERVICE].seen


async def test_store_that_is_away_is_asked_for_all_records_at_the_usual_pace():
    store = Store(*itertools.repeat(LOST, 40))
    await follow(store, for_ms=1_300)
    assert 2 <= store.listed <= 4
    assert len(store.tailed) <= 2 * store.listed
