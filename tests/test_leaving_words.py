"""Workers whose answers announce that they leave, while their entries do not."""

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
from spanshunt.peers.news import News
from spanshunt.peers.news_items import LeavingNews
from spanshunt.peers.news_rows import leaving_news
from spanshunt.platform.answer_notices import decode_leaving
from spanshunt.standins.worker import WorkerStandin
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.systems.following_workers import MAX_FORMER_WORKERS
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.following_workers import list_digest
from spanshunt.systems.following_workers import record_leaving_notice
from spanshunt.systems.resting import apply_rest
from spanshunt.systems.resting import rest_left_ms
from spanshunt.systems.throttling import apply_limit
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.notices import LeavingNotice
from spanshunt.tables.notices import RateLimit
from spanshunt.tables.worker_list import ListedWorker
from spanshunt.worker_notices import merge_leaving_news

BOX = BoxId("box-1")


def announce_leaving(worker: WorkerStandin) -> None:
    """Make a worker announce that it leaves, in its answers only."""
    worker.says["Server-Leaving"] = "1"


async def ask_until_announced(fleet: TestFleet, box: Box, path: str, name: str) -> None:
    """Send requests until a leaving worker has answered the box."""
    worker = fleet.workers[name]
    for _ in range(60):
        await fleet.ask(box, path)
        if worker.said:
            return
    pytest.fail(f"{name} got no request")


def news_of(sender: Fleet, *leavings: LeavingNews) -> News:
    return News(
        BoxId("box-2"),
        "host:1",
        sender.identity.domain,
        "box-2.1",
        1,
        leaving_notices=leavings,
    )


# Guards against requests to a worker that announced in an answer that it leaves.
@pytest.mark.parametrize(("path", "name"), [("/look/", "p-1"), ("/long/", "w-1")])
async def test_worker_that_announced_leaving_gets_no_more_requests_of_that_box(
    path, name
):
    async with running_fleet() as fleet:
        box, worker = fleet.boxes[0], fleet.workers[name]
        announce_leaving(worker)
        await ask_until_announced(fleet, box, path, name)
        reached = len(worker.seen)
        replies = [await fleet.ask(box, path) for _ in range(30)]
        assert {reply.status for reply in replies} == {200}
        assert len(worker.seen) == reached


# Guards against an escalation to a worker that just announced that it leaves.
async def test_escalation_avoids_a_worker_that_announced_leaving():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for worker in fleet.workers.values():
            worker.sureness = {"small": 1, "middle": 1, "large": 90}
        announce_leaving(fleet.workers["w-1"])
        await ask_until_announced(fleet, box, "/long/", "w-1")
        announced_at = fleet.workers["w-1"].said[0].at
        for _ in range(10):
            assert (await fleet.ask(box, "/long/")).status == 200
        late = [seen for seen in fleet.workers["w-1"].seen if seen.at > announced_at]
        assert late == []


# Guards against a fallback to leaving workers if no other worker is left.
async def test_workers_that_all_announced_leaving_get_no_more_requests():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for name in ("p-1", "p-2"):
            fleet.workers[name].fault = WorkerFault.FULL
            announce_leaving(fleet.workers[name])
        first = await fleet.ask(box, "/look/")
        assert first.status == 503
        await fleet.ask(box, "/look/")
        assert [len(fleet.workers[name].seen) for name in ("p-1", "p-2")] == [1, 1]


async def test_peers_learn_of_the_notice_at_once():
    async with running_fleet(3) as fleet:
        announce_leaving(fleet.workers["p-1"])
        await ask_until_announced(fleet, fleet.boxes[0], "/look/", "p-1")
        tables = [box.node.fleet.workers for box in fleet.boxes]
        await until(
            lambda: all("p-1" in table.leaving for table in tables), "all know it", 1.5
        )
        reached = len(fleet.workers["p-1"].seen)
        await asyncio.gather(
            *(fleet.ask(box, "/look/") for box in fleet.boxes for _ in range(6))
        )
        assert len(fleet.workers["p-1"].seen) == reached


@pytest.mark.parametrize("text", ["0", "yes", "", "11"])
def test_leaving_notice_other_than_1_is_invalid(text):
    assert decode_leaving([text]).is_err()
    assert decode_leaving(["1", "1"]).is_err()


def test_leaving_notice_is_1_or_absent():
    assert decode_leaving([]).ok_value is False
    assert decode_leaving(["1"]).ok_value is True


async def test_invalid_notice_does_not_hide_the_others():
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


def test_list_without_the_notice_does_not_revoke_it():
    fleet = fleet_with("a")
    assert record_leaving_notice(
        fleet, fleet.workers.rows["a"], LeavingNotice(ms(1), BOX)
    )
    assert not record_leaving_notice(
        fleet, fleet.workers.rows["a"], LeavingNotice(ms(2), BOX)
    )
    apply_worker_list(fleet, [ListedWorker(make_worker("a"), False)], Offset(4), ms(3))
    assert "a" in fleet.workers.leaving


def test_new_incarnation_of_a_worker_is_not_leaving():
    fleet = fleet_with("a")
    fleet.workers.rows["a"].born = Millis(10)
    record_leaving_notice(fleet, fleet.workers.rows["a"], LeavingNotice(ms(1), BOX))
    again = make_worker("a")
    again.born = Millis(20)
    apply_worker_list(fleet, [ListedWorker(again, False)], Offset(4), ms(3))
    assert "a" not in fleet.workers.leaving
    item = LeavingNews(WorkerId("a"), 10, 0, BoxId("box-2"))
    merge_leaving_news(fleet, news_of(fleet, item), ms(4), ms(4))
    assert "a" not in fleet.workers.leaving


def test_list_digest_does_not_depend_on_leaving_notices():
    fleet, other = fleet_with("a"), fleet_with("a")
    for one in (fleet, other):
        one.workers_read_at = ms(1)
    record_leaving_notice(fleet, fleet.workers.rows["a"], LeavingNotice(ms(1), BOX))
    assert list_digest(fleet) == list_digest(other)


def test_notice_is_sent_to_peers_with_its_age_and_source():
    sender, receiver = fleet_with("a"), fleet_with("a")
    record_leaving_notice(sender, sender.workers.rows["a"], LeavingNotice(ms(1), BOX))
    (item,) = leaving_news(sender, ms(3))
    assert (item.age_ms, item.source) == (2_000, BOX)
    merge_leaving_news(receiver, news_of(sender, item), None, ms(9))
    assert "a" in receiver.workers.leaving
    assert receiver.workers.rows["a"].leaving.source == BOX


# Guards against the loss of a worker's notices when its entry expires and returns.
def test_notices_survive_an_entry_that_returns_with_the_same_incarnation():
    fleet = fleet_with("a")
    row = fleet.workers.rows["a"]
    row.born = Millis(10)
    record_leaving_notice(fleet, row, LeavingNotice(ms(1), BOX))
    apply_limit(fleet, row, RateLimit(1.5, ms(1), BOX), ms(1))
    apply_rest(row, Millis(60_000), ms(1))
    apply_worker_list(fleet, [], Offset(4), ms(2))
    assert "a" not in fleet.workers.rows
    back = make_worker("a")
    back.born = Millis(10)
    apply_worker_list(fleet, [ListedWorker(back, False)], Offset(5), ms(3))
    again = fleet.workers.rows["a"]
    assert "a" in fleet.workers.leaving
    assert again.limit is not None and again.rate_limiter is not None
    assert rest_left_ms(again, ms(3)) > 0


def test_notices_end_with_their_incarnation():
    fleet = fleet_with("a")
    row = fleet.workers.rows["a"]
    row.born = Millis(10)
    record_leaving_notice(fleet, row, LeavingNotice(ms(1), BOX))
    apply_worker_list(fleet, [], Offset(4), ms(2))
    later = make_worker("a")
    later.born = Millis(20)
    apply_worker_list(fleet, [ListedWorker(later, False)], Offset(5), ms(3))
    assert "a" not in fleet.workers.leaving
    assert fleet.workers.rows["a"].leaving is None


def test_notices_of_former_workers_are_kept_up_to_a_bound():
    fleet = fleet_with(*(f"w-{number}" for number in range(400)))
    for row in list(fleet.workers.rows.values()):
        record_leaving_notice(fleet, row, LeavingNotice(ms(1), BOX))
    apply_worker_list(fleet, [], Offset(4), ms(2))
    assert len(fleet.workers.former) == MAX_FORMER_WORKERS


async def test_notice_of_a_life_that_is_not_listed_yet_outlasts_its_entry():
    """Guards against a word that is dropped with the row of the life before."""
    async with running_fleet() as fleet:
        box, worker = fleet.boxes[0], fleet.workers["p-1"]
        rows = box.node.fleet.workers.rows
        wall = box.node.clock.wall()
        await list_life(fleet, "p-1", wall - 60_000)
        await until(lambda: rows[WorkerId("p-1")].born == wall - 60_000, "first life")
        began = box.node.clock.wall()
        announce_leaving(worker)
        await ask_until_announced(fleet, box, "/look/", "p-1")
        await list_life(fleet, "p-1", began)
        await until(lambda: rows[WorkerId("p-1")].born == began, "next life")
        reached = len(worker.seen)
        for _ in range(20):
            await fleet.ask(box, "/look/")
        assert len(worker.seen) == reached


async def list_life(fleet: TestFleet, name: str, born: int) -> None:
    """List a worker's life that began at a time of day, in ms."""
    body = {
        "Backend": "web",
        "Address": fleet.workers[name].address,
        "Zone": "north",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": born,
        "born": born,
    }
    await fleet.store.put("keyed.servers", name, body)
