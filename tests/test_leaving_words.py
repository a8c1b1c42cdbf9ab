"""Workers whose answers say that they leave, while their entries say nothing."""

import asyncio

import pytest

from fleet_builders import Box
from fleet_builders import TestFleet
from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import WorkerId
from spanshunt.peers.news import LeavingNews
from spanshunt.peers.news import News
from spanshunt.peers.news_rows import leavings_news
from spanshunt.platform.wire import decode_leaving
from spanshunt.standins.worker import WorkerFault
from spanshunt.standins.worker import WorkerStandin
from spanshunt.systems.following_workers import MAX_FORMER_WORKERS
from spanshunt.systems.following_workers import ListedWorker
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.following_workers import list_digest
from spanshunt.systems.following_workers import record_leaving_notice
from spanshunt.systems.resting import extend_rest
from spanshunt.systems.resting import rest_left_ms
from spanshunt.systems.throttling import apply_limit
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.notices import LeavingNotice
from spanshunt.tables.notices import RateLimit
from spanshunt.worker_notices import take_leaving_news

ME = BoxId("box-1")


def leave(worker: WorkerStandin) -> None:
    """Let a worker say that it leaves, in its answers alone."""
    worker.says["Server-Leaving"] = "1"


async def ask_until_told(fleet: TestFleet, box: Box, path: str, name: str) -> None:
    """Ask until a worker that leaves has answered the box."""
    worker = fleet.workers[name]
    for _ in range(60):
        await fleet.ask(box, path)
        if worker.said:
            return
    pytest.fail(f"{name} got no request")


def told_by(teller: Fleet, *leavings: LeavingNews) -> News:
    return News(
        BoxId("box-2"),
        "host:1",
        teller.identity.domain,
        "box-2.1",
        1,
        leavings=leavings,
    )


# Guards against sends to a worker that said in an answer that it leaves.
@pytest.mark.parametrize(("path", "name"), [("/look/", "p-1"), ("/long/", "w-1")])
async def test_worker_that_said_it_leaves_gets_nothing_more_of_that_box(path, name):
    async with running_fleet() as fleet:
        box, worker = fleet.boxes[0], fleet.workers[name]
        leave(worker)
        await ask_until_told(fleet, box, path, name)
        reached = len(worker.seen)
        replies = [await fleet.ask(box, path) for _ in range(30)]
        assert {reply.status for reply in replies} == {200}
        assert len(worker.seen) == reached


# Guards against the larger model's ask of a worker that just said that it leaves.
async def test_larger_model_is_asked_elsewhere_once_a_worker_said_it_leaves():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for worker in fleet.workers.values():
            worker.sureness = {"small": 1, "middle": 1, "large": 90}
        leave(fleet.workers["w-1"])
        await ask_until_told(fleet, box, "/long/", "w-1")
        told = fleet.workers["w-1"].said[0].at
        for _ in range(10):
            assert (await fleet.ask(box, "/long/")).status == 200
        late = [seen for seen in fleet.workers["w-1"].seen if seen.at > told]
        assert late == []


# Guards against a last resort that takes leaving workers where no other is left.
async def test_workers_that_all_said_they_leave_get_nothing_more():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for name in ("p-1", "p-2"):
            fleet.workers[name].fault = WorkerFault.FULL
            leave(fleet.workers[name])
        first = await fleet.ask(box, "/look/")
        assert first.status == 503
        await fleet.ask(box, "/look/")
        assert [len(fleet.workers[name].seen) for name in ("p-1", "p-2")] == [1, 1]


async def test_peers_are_told_at_once():
    async with running_fleet(3) as fleet:
        leave(fleet.workers["p-1"])
        await ask_until_told(fleet, fleet.boxes[0], "/look/", "p-1")
        tables = [box.node.fleet.workers for box in fleet.boxes]
        await until(
            lambda: all("p-1" in table.leaving for table in tables), "all know", 1.5
        )
        reached = len(fleet.workers["p-1"].seen)
        await asyncio.gather(
            *(fleet.ask(box, "/look/") for box in fleet.boxes for _ in range(6))
        )
        assert len(fleet.workers["p-1"].seen) == reached


@pytest.mark.parametrize("text", ["0", "yes", "", "11"])
def test_word_that_is_not_one_is_named(text):
    assert decode_leaving([text]).is_err()
    assert decode_leaving(["1", "1"]).is_err()


def test_word_is_one_or_is_not_there():
    assert decode_leaving([]).ok_value is False
    assert decode_leaving(["1"]).ok_value is True


async def test_odd_word_does_not_hide_the_others():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        box.node.fleet.discovery_until = ms(0)
        for worker in fleet.workers.values():
            worker.says |= {"Server-Leaving": "0", "Server-Limit": "700"}
        assert (await fleet.ask(box, "/look/")).status == 200
        rows = box.node.fleet.workers.rows
        assert any(row.limit is not None for row in rows.values())
        assert not box.node.fleet.workers.leaving


def fleet_with(*names: str) -> Fleet:
    fleet = make_fleet()
    for name in names:
        add_worker(fleet, make_worker(name))
    return fleet


def test_list_that_lacks_the_word_does_not_take_it_back():
    fleet = fleet_with("a")
    assert record_leaving_notice(
        fleet, fleet.workers.rows["a"], LeavingNotice(ms(1), ME)
    )
    assert not record_leaving_notice(
        fleet, fleet.workers.rows["a"], LeavingNotice(ms(2), ME)
    )
    apply_worker_list(fleet, [ListedWorker(make_worker("a"), False)], Offset(4), ms(3))
    assert "a" in fleet.workers.leaving


def test_next_life_of_a_worker_is_not_leaving():
    fleet = fleet_with("a")
    fleet.workers.rows["a"].born = Millis(10)
    record_leaving_notice(fleet, fleet.workers.rows["a"], LeavingNotice(ms(1), ME))
    again = make_worker("a")
    again.born = Millis(20)
    apply_worker_list(fleet, [ListedWorker(again, False)], Offset(4), ms(3))
    assert "a" not in fleet.workers.leaving
    told = LeavingNews(WorkerId("a"), 10, 0, BoxId("box-2"))
    take_leaving_news(fleet, told_by(fleet, told), ms(4), ms(4))
    assert "a" not in fleet.workers.leaving


def test_lists_of_boxes_are_alike_whether_or_not_they_heard_the_word():
    fleet, other = fleet_with("a"), fleet_with("a")
    for one in (fleet, other):
        one.workers_read_at = ms(1)
    record_leaving_notice(fleet, fleet.workers.rows["a"], LeavingNotice(ms(1), ME))
    assert list_digest(fleet) == list_digest(other)


def test_word_is_told_to_peers_with_its_age_and_who_heard_it():
    teller, hearer = fleet_with("a"), fleet_with("a")
    record_leaving_notice(teller, teller.workers.rows["a"], LeavingNotice(ms(1), ME))
    (told,) = leavings_news(teller, ms(3))
    assert (told.age_ms, told.source) == (2_000, ME)
    take_leaving_news(hearer, told_by(teller, told), None, ms(9))
    assert "a" in hearer.workers.leaving
    assert hearer.workers.rows["a"].leaving.source == ME


# Guards against a lapsed entry that comes back and takes a worker's words with it.
def test_words_outlast_an_entry_that_goes_and_comes_back_in_the_same_life():
    fleet = fleet_with("a")
    row = fleet.workers.rows["a"]
    row.born = Millis(10)
    record_leaving_notice(fleet, row, LeavingNotice(ms(1), ME))
    apply_limit(fleet, row, RateLimit(1.5, ms(1), ME), ms(1))
    extend_rest(row, Millis(60_000), ms(1))
    apply_worker_list(fleet, [], Offset(4), ms(2))
    assert "a" not in fleet.workers.rows
    back = make_worker("a")
    back.born = Millis(10)
    apply_worker_list(fleet, [ListedWorker(back, False)], Offset(5), ms(3))
    again = fleet.workers.rows["a"]
    assert "a" in fleet.workers.leaving
    assert again.limit is not None and again.rate_limiter is not None
    assert rest_left_ms(again, ms(3)) > 0


def test_words_of_a_former_life_end_with_it():
    fleet = fleet_with("a")
    row = fleet.workers.rows["a"]
    row.born = Millis(10)
    record_leaving_notice(fleet, row, LeavingNotice(ms(1), ME))
    apply_worker_list(fleet, [], Offset(4), ms(2))
    later = make_worker("a")
    later.born = Millis(20)
    apply_worker_list(fleet, [ListedWorker(later, False)], Offset(5), ms(3))
    assert "a" not in fleet.workers.leaving
    assert fleet.workers.rows["a"].leaving is None


def test_words_of_workers_that_are_gone_are_kept_of_some_alone():
    fleet = fleet_with(*(f"w-{number}" for number in range(400)))
    for row in list(fleet.workers.rows.values()):
        record_leaving_notice(fleet, row, LeavingNotice(ms(1), ME))
    apply_worker_list(fleet, [], Offset(4), ms(2))
    assert len(fleet.workers.former) == MAX_FORMER_WORKERS
