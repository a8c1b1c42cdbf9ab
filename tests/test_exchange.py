"""Tests of the gossip between boxes: choice of peers, and streams that stay open."""

import asyncio
import random
import typing as t

import msgspec
import pytest
from grpclib.server import Server

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from share_builders import LARGE
from share_builders import WEB
from share_builders import WORK_MS
from share_builders import make_boxes
from spanshunt.clock import Clock
from spanshunt.clock import ManualClock
from spanshunt.exchange import Exchange
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Millis
from spanshunt.news_building import MAX_PEERS_SENT
from spanshunt.news_building import MAX_PEERS_SENT_TO_NEW
from spanshunt.peers.codec import MsgpackCodec
from spanshunt.peers.mean_rows import apply_demand_answer
from spanshunt.peers.news import News
from spanshunt.peers.news import NewsService
from spanshunt.peers.news import news_streams
from spanshunt.peers.news_rows import workers_news
from spanshunt.peers.partners import MAX_PARTNERS
from spanshunt.peers.partners import Partners
from spanshunt.standins.ports import free_ports
from spanshunt.systems.demand import record_arrival
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow


def make_peers(count: int) -> list[PeerRow]:
    return [PeerRow(BoxId(f"b-{n:02}"), f"h:{n}") for n in range(count)]


def make_news(box: str, domain: str = "north", boxes: int = 0) -> News:
    run = Incarnation(f"{box}.1")
    return News(BoxId(box), "h:1", DomainId(domain), run, 1, boxes=boxes)


def make_exchange(fleet: Fleet) -> Exchange:
    return Exchange(fleet, Clock(), random.Random(1), lambda: None, ())


def test_box_has_few_partners_and_replaces_them_until_it_has_met_all():
    partners = Partners(random.Random(1))
    peers = make_peers(30)
    met: set[BoxId] = set()
    met_early: set[BoxId] = set()
    for at in range(0, 900_000, 400):
        drawn = partners.draw(peers, 1, Millis(at))
        assert len(drawn) == 1
        assert len(partners.boxes) == MAX_PARTNERS
        met.add(drawn[0].box)
        if at < 2_000:
            met_early.add(drawn[0].box)
    assert len(met_early) <= MAX_PARTNERS + 1
    assert len(met) == 30


def test_partners_are_called_in_turn():
    """Guards against partners that are not called for too long.

    With random draws, every few tens of seconds one of three peers is not called for
    longer than a box counts as heard. When that was the second follower of the
    operators' records, a third box of a domain of four followed them as well.
    """
    partners = Partners(random.Random(1))
    peers = make_peers(3)
    for start in range(0, 60_000, 1_200):
        met = set()
        for at in range(start, start + 1_200, 400):
            (peer,) = partners.draw(peers, 1, Millis(at))
            peer.asked = Millis(at)
            met.add(peer.box)
        assert len(met) == 3


def test_partner_that_is_no_candidate_is_replaced_at_once():
    partners = Partners(random.Random(1))
    peers = make_peers(10)
    partners.draw(peers, 1, ms(1))
    failed = min(partners.boxes)
    others = [peer for peer in peers if peer.box != failed]
    assert failed not in {peer.box for peer in partners.draw(others, 6, ms(1.1))}


def test_few_peers_are_all_partners():
    partners = Partners(random.Random(1))
    drawn = partners.draw(make_peers(2), 6, ms(1))
    assert len(drawn) == 2
    assert partners.draw([], 1, ms(2)) == []


def test_box_that_knows_few_boxes_is_sent_many():
    fleet = make_fleet()
    for peer in make_peers(91):
        fleet.peers[peer.box] = peer
    exchange = make_exchange(fleet)
    new = exchange.build_news(make_news("new", boxes=4))
    known = exchange.build_news(make_news("known", boxes=80))
    far = exchange.build_news(make_news("far", boxes=4, domain="south"))
    assert len(new.peers) == MAX_PEERS_SENT_TO_NEW
    assert len(known.peers) == MAX_PEERS_SENT
    assert len(far.peers) == MAX_PEERS_SENT
    assert new.boxes == 92


def test_age_of_the_workers_list_includes_the_delay_of_its_message():
    """Guards against ages that count from the arrival of a message.

    A link that was down for 5 s delivers old news. If their ages counted from the
    arrival and not from the sending, the box would take its list for 0.1 s old and
    leave the next read to others.
    """
    fleet, clock = make_fleet("box-1"), ManualClock(60_000)
    exchange = Exchange(fleet, clock, random.Random(1), lambda: None, ())
    news = msgspec.structs.replace(
        make_news("box-2"),
        workers_end=4,
        workers_age_ms=100,
        workers_digest=7,
        workers=workers_news(make_listed_fleet(), clock.now()),
        list_read_age_ms=100,
        sent_at=9_000,
    )
    exchange.apply_news(news, clock.now())
    assert fleet.workers_read_at == clock.now() - 100
    clock.advance(5_000)
    exchange.apply_news(msgspec.structs.replace(news, workers_end=5, sent_at=9_000))
    assert fleet.workers_end == 5
    assert fleet.workers_read_at == fleet.list_read_streak.last == clock.now() - 5_100


def make_listed_fleet() -> Fleet:
    """Return tables with one worker and a workers' list that was read."""
    fleet = make_fleet("box-2")
    add_worker(fleet, make_worker("w-1"))
    fleet.workers_read_at = Millis(0)
    return fleet


class Peer:
    """A peer that answers and counts exchanges, and may stop answering."""

    def __init__(self) -> None:
        self.exchanges = 0
        self.is_silent = False
        self.port = free_ports(1)[0]
        self._server = Server([self._service()], codec=MsgpackCodec())

    def _service(self) -> NewsService:
        async def answer_catalog_request(_req: t.Any) -> t.Any:
            raise NotImplementedError

        return NewsService(self._answer_news, answer_catalog_request)

    async def _answer_news(self, _news: News) -> News:
        self.exchanges += 1
        while self.is_silent:
            await asyncio.sleep(0.01)
        return make_news("peer")

    async def start(self) -> str:
        await self._server.start("127.0.0.1", self.port)
        return f"127.0.0.1:{self.port}"

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()


async def test_exchanges_use_one_stream():
    peer = Peer()
    address = await peer.start()
    streams = news_streams()
    for _ in range(5):
        reply = await streams.exchange(address, make_news("me"), 1.0)
        assert reply.ok_value.box == "peer"
    assert peer.exchanges == 5
    assert len(streams._streams) == 1
    streams.close_others(set())
    assert not streams._streams
    assert (await streams.exchange(address, make_news("me"), 1.0)).is_ok()
    streams.stop()
    await peer.stop()


async def test_silent_stream_is_replaced_by_a_new_one():
    """An open connection may stop delivering anything for good, without a reset."""
    peer = Peer()
    address = await peer.start()
    streams = news_streams()
    assert (await streams.exchange(address, make_news("me"), 1.0)).is_ok()
    peer.is_silent = True
    assert (await streams.exchange(address, make_news("me"), 0.1)).is_err()
    peer.is_silent = False
    assert (await streams.exchange(address, make_news("me"), 1.0)).is_ok()
    streams.stop()
    await peer.stop()


async def test_unreachable_peer_is_an_error_result_and_no_exception():
    streams = news_streams()
    reply = await streams.exchange(
        f"127.0.0.1:{free_ports(1)[0]}", make_news("me"), 1.0
    )
    assert reply.is_err()
    assert not streams._streams


async def test_demands_are_exchanged_while_a_service_is_short_of_room():
    """The called box answers with what its mean became, and both meet in the middle."""
    caller, called = make_boxes(2)
    news = make_exchange(caller).build_news(None)
    assert news.demands == ()
    now = Clock().now()
    for _ in range(200):
        record_arrival(caller, WEB, LARGE, WORK_MS, now)
    news = make_exchange(caller).build_news(None)
    assert [(item.service, item.org) for item in news.demands] == [(WEB, LARGE)]
    answer = await make_exchange(called).answer_news(news)
    assert answer.demands[0].per_s == pytest.approx(news.demands[0].per_s / 4, rel=0.1)
    apply_demand_answer(caller, news, answer, Clock().now())
    means = [fleet.org_demands[WEB, LARGE].per_s for fleet in (caller, called)]
    assert sum(means) == pytest.approx(news.demands[0].per_s, rel=0.1)


async def test_news_of_an_older_version_hold_no_demands():
    old = make_news("box-9")
    assert old.demands == ()
    (fleet,) = make_boxes(1)
    assert (await make_exchange(fleet).answer_news(old)).demands == ()


async def test_seed_that_was_not_up_is_called_until_it_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against boxes that split at their start, in pairs that hear each other.

    Each pair takes itself for the whole fleet, and together they exceed rate limits.
    """
    monkeypatch.setattr("spanshunt.exchange.SEED_RETRY_MS", 20)
    up, late = Peer(), Peer()
    seeds = (await up.start(), f"127.0.0.1:{late.port}")
    fleet = make_fleet()
    exchange = Exchange(fleet, Clock(), random.Random(1), lambda: None, seeds)
    await exchange.run_round()
    assert up.exchanges == 1
    await late.start()
    for _ in range(10):
        await exchange.run_round()
        await asyncio.sleep(0.03)
    # It may have another address than its seed: once it has answered, it is known.
    assert late.exchanges == 1
    exchange.stop()
    await up.stop()
    await late.stop()
