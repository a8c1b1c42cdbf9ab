"""What is read and recorded of roll-outs, at the price of few calls to the store.

Seen: of 2,975 calls on a calm day of 91 boxes most were readings of recorded verdicts,
one a second of each box. Cause: a box took itself for cut off unless it heard half of
all others within two seconds; it talks to some twenty. Proof: a play of forty boxes, of
which each heard from 12 to 22, read them 14 times a box in an order of 16 s.
"""

import asyncio
import random

import async_solipsism
from bench.play_cases import play_catalog
from bench.play_engines import Engine
from bench.play_fleet import SERVICE
from bench.play_fleet import Play
from loguru import logger

from fleet_builders import make_fleet
from fleet_builders import ms
from spanshunt.ids import BoxId
from spanshunt.ids import Offset
from spanshunt.ids import VersionId
from spanshunt.platform import wire
from spanshunt.systems.ramping import apply_order
from spanshunt.systems.succeeding import hears_enough_peers
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow

BOXES = 40
ORDER_S = 16.0


def with_peers(heard: int, failing: int, silent: int) -> Fleet:
    """Return a box at 10 s that knows an order: its peers, and how it fares with each.

    `silent` ones it has not talked to of late; the order began before all were heard.
    """
    fleet = make_fleet()
    apply_order(fleet, SERVICE, VersionId("v2"), Offset(5), ms(24), ms(1))
    kinds = [(ms(9.5), 0)] * heard + [(ms(4), 2)] * failing + [(ms(4), 0)] * silent
    for number, (at, failures) in enumerate(kinds):
        name = BoxId(f"peer-{number}")
        fleet.peers[name] = PeerRow(name, "host:1", heard=at, failures=failures)
    return fleet


def hears(heard: int, failing: int, silent: int) -> bool:
    fleet = with_peers(heard, failing, silent)
    return hears_enough_peers(fleet, fleet.rollouts.rows[SERVICE], ms(10))


def test_box_of_a_large_fleet_hears_most_though_it_talks_to_few():
    assert hears(heard=16, failing=0, silent=74)
    assert hears(heard=16, failing=10, silent=64)


def test_box_of_a_large_fleet_that_is_cut_off_does_not():
    assert not hears(heard=0, failing=12, silent=78)
    assert not hears(heard=4, failing=1, silent=85)
    assert not hears(heard=16, failing=30, silent=44)


def test_box_of_a_small_fleet_must_hear_half_of_all():
    assert hears(heard=3, failing=0, silent=3)
    assert not hears(heard=2, failing=0, silent=4)


def test_boxes_of_a_large_fleet_hardly_read_recorded_verdicts():
    loop = async_solipsism.EventLoop()
    logger.remove()
    try:
        asyncio.set_event_loop(loop)
        reads = loop.run_until_complete(_status_reads())
    finally:
        asyncio.set_event_loop(None)
        loop.close()
    # One announces the order, a few more do at once, and each reads at its verdict.
    assert reads <= BOXES


async def _status_reads() -> int:
    """Play a calm order and return how often all boxes read what is recorded."""
    play = Play(random.Random(1), catalog=play_catalog())
    play.ordered_at = play.clock.now() / 1_000 + 3.0
    play.places = {f"box-{n}": "abc"[n % 3] for n in range(BOXES)}
    for number in range(6):
        version = "v1" if number < 3 else "v2"
        rng = random.Random(number)
        name = f"{version}-{number}"
        await play.list_engine(
            Engine(name, version, "abc"[number % 3], rng, play.since)
        )
    for name in play.places:
        play.start_box(name)
    body = {"Backend": SERVICE, "TargetVersion": "v2", "DurationS": ORDER_S}
    await asyncio.sleep(3.0)
    await play.store.put(wire.OPERATORS_TOPIC, wire.ROLLOUT_PREFIX + SERVICE, body)
    play.rate = lambda _at: 20.0
    await play.call_until(ORDER_S - 2.0)
    reads = sum(box.store.read[wire.STATUS_TOPIC] for box in play.boxes.values())
    for name in list(play.boxes):
        await play.stop_box(name)
    return reads
