"""Exchanges between boxes: whom to talk to, over streams that stay open."""

import asyncio
import random
import typing as t

import msgspec
from grpclib.server import Server

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.clock import Clock
from spanshunt.clock import ManualClock
from spanshunt.exchange import NEWCOMER_TOLD
from spanshunt.exchange import PEERS_TOLD
from spanshunt.exchange import Exchange
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Millis
from spanshunt.peers.codec import MsgpackCodec
from spanshunt.peers.news import News
from spanshunt.peers.news import NewsService
from spanshunt.peers.news import news_talks
from spanshunt.peers.news_rows import workers_news
from spanshunt.peers.partners import PARTNERS_MOST
from spanshunt.peers.partners import Partners
from spanshunt.standins.ports import free_ports
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow


def some_peers(count: int) -> list[PeerRow]:
    return [PeerRow(BoxId(f"b-{n:02}"), f"h:{n}") for n in range(count)]


def news_of(box: str, domain: str = "north", boxes: int = 0) -> News:
    run = Incarnation(f"{box}.1")
    return News(BoxId(box), "h:1", DomainId(domain), run, 1, boxes=boxes)


def exchange_of(fleet: Fleet) -> Exchange:
    return Exchange(fleet, Clock(), random.Random(1), lambda: None, ())


def test_box_talks_to_the_same_few_and_meets_all_in_time():
    partners = Partners(random.Random(1))
    peers = some_peers(30)
    met: set[BoxId] = set()
    at_once: set[BoxId] = set()
    for at in range(0, 900_000, 400):
        drawn = partners.draw(peers, 1, Millis(at))
        assert len(drawn) == 1
        assert len(partners.boxes) == PARTNERS_MOST
        met.add(drawn[0].box)
        if at < 2_000:
            at_once.add(drawn[0].box)
    assert len(at_once) <= PARTNERS_MOST + 1
    assert len(met) == 30


def test_partners_are_asked_in_turn():
    """In a domain of four boxes a third one followed the operators' records as well.

    Drawn at random, one of three peers is not asked for longer than a box counts as
    heard, once in some tens of seconds; the records' second follower was one of them.
    """
    partners = Partners(random.Random(1))
    peers = some_peers(3)
    for start in range(0, 60_000, 1_200):
        met = set()
        for at in range(start, start + 1_200, 400):
            (peer,) = partners.draw(peers, 1, Millis(at))
            peer.asked = Millis(at)
            met.add(peer.box)
        assert len(met) == 3


def test_partner_that_fails_gives_way_at_once():
    partners = Partners(random.Random(1))
    peers = some_peers(10)
    partners.draw(peers, 1, ms(1))
    gone = min(partners.boxes)
    left = [peer for peer in peers if peer.box != gone]
    assert gone not in {peer.box for peer in partners.draw(left, 6, ms(1.1))}


def test_few_peers_are_all_partners():
    partners = Partners(random.Random(1))
    drawn = partners.draw(some_peers(2), 6, ms(1))
    assert len(drawn) == 2
    assert partners.draw([], 1, ms(2)) == []


def test_box_that_knows_few_is_told_of_many():
    fleet = make_fleet()
    for peer in some_peers(91):
        fleet.peers[peer.box] = peer
    exchange = exchange_of(fleet)
    new = exchange.news_for(news_of("new", boxes=4))
    known = exchange.news_for(news_of("known", boxes=80))
    far = exchange.news_for(news_of("far", boxes=4, domain="south"))
    assert len(new.peers) == NEWCOMER_TOLD
    assert len(known.peers) == PEERS_TOLD
    assert len(far.peers) == PEERS_TOLD
    assert new.boxes == 92


def test_list_of_workers_is_as_old_as_its_message_was_held_up():
    """A link that came back delivered news of 5 s ago, as fresh as when it was sent.

    The box took its list for 0.1 s old and left the next reading to others. Ages were
    counted from when a message was heard; they count from when it was told.
    """
    fleet, clock = make_fleet("box-1"), ManualClock(60_000)
    exchange = Exchange(fleet, clock, random.Random(1), lambda: None, ())
    news = msgspec.structs.replace(
        news_of("box-2"),
        workers_end=4,
        workers_age_ms=100,
        workers_digest=7,
        workers=workers_news(a_listed_fleet(), clock.now()),
        read_age_ms=100,
        told_at=9_000,
    )
    exchange.take(news, clock.now())
    assert fleet.workers_read_at == clock.now() - 100
    clock.advance(5_000)
    exchange.take(msgspec.structs.replace(news, workers_end=5, told_at=9_000))
    assert fleet.workers_end == 5
    assert fleet.workers_read_at == fleet.list_read_streak.last == clock.now() - 5_100


def a_listed_fleet() -> Fleet:
    """Return tables with a worker whose list was read."""
    fleet = make_fleet("box-2")
    add_worker(fleet, make_worker("w-1"))
    fleet.workers_read_at = Millis(0)
    return fleet


class Peer:
    """A box that answers exchanges, counts them, and may fall silent."""

    def __init__(self) -> None:
        self.heard = 0
        self.silent = False
        self.port = free_ports(1)[0]
        self._server = Server([self._service()], codec=MsgpackCodec())

    def _service(self) -> NewsService:
        async def tell_catalog(_ask: t.Any) -> t.Any:
            raise NotImplementedError

        return NewsService(self._hear, tell_catalog)

    async def _hear(self, _news: News) -> News:
        self.heard += 1
        while self.silent:
            await asyncio.sleep(0.01)
        return news_of("peer")

    async def start(self) -> str:
        await self._server.start("127.0.0.1", self.port)
        return f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()


async def test_exchanges_go_over_one_stream():
    peer = Peer()
    address = await peer.start()
    talks = news_talks()
    for _ in range(5):
        told = await talks.exchange(address, news_of("me"), 1.0)
        assert told.ok_value.box == "peer"
    assert peer.heard == 5
    assert len(talks._talks) == 1
    talks.keep(set())
    assert not talks._talks
    assert (await talks.exchange(address, news_of("me"), 1.0)).is_ok()
    talks.stop()
    await peer.stop()


async def test_stream_that_fell_silent_is_left_for_a_new_one():
    """Open connections may go silent for good, without a reset."""
    peer = Peer()
    address = await peer.start()
    talks = news_talks()
    assert (await talks.exchange(address, news_of("me"), 1.0)).is_ok()
    peer.silent = True
    assert (await talks.exchange(address, news_of("me"), 0.1)).is_err()
    peer.silent = False
    assert (await talks.exchange(address, news_of("me"), 1.0)).is_ok()
    talks.stop()
    await peer.stop()


async def test_peer_that_is_not_there_is_an_error_and_no_exception():
    talks = news_talks()
    told = await talks.exchange(f"127.0.0.1:{free_ports(1)[0]}", news_of("me"), 1.0)
    assert told.is_err()
    assert not talks._talks
