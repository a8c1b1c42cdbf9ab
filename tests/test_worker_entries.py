"""Entries of the workers' list: which worker and which incarnation they describe."""

import json
import typing as t

import pytest

from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import WorkerId
from spanshunt.peers.news_rows import to_listed_worker as listed_worker
from spanshunt.peers.news_rows import workers_news
from spanshunt.platform.wire import decode_worker
from spanshunt.systems.ending import record_worker_end
from spanshunt.systems.ending import record_worker_return
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.following_workers import mark_replaced
from spanshunt.systems.silence import SilenceReport
from spanshunt.systems.silence import is_silent
from spanshunt.systems.silence import record_silence
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_answer
from spanshunt.systems.worker_health import record_load
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.worker_list import ListedWorker
from spanshunt.tables.workers import WorkerRow

ENTRY: dict[str, t.Any] = {
    "Backend": "writer",
    "Address": "10.1.0.9:8080",
    "Zone": "north",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "Sequence": 4,
    "born": 1_769_815_722_207,
}


def decoded(**changes: t.Any) -> WorkerRow | None:
    """Return the row of an entry; a field that is None is left out."""
    entry = {
        name: value for name, value in (ENTRY | changes).items() if value is not None
    }
    found = decode_worker("w-1", json.dumps(entry).encode())
    return found.ok_value.row if found.is_ok() else None


def test_entry_gives_the_incarnation_of_a_worker():
    row = decoded()
    assert row is not None
    assert row.incarnation == "w-1/1769815722207"
    old = decoded(born=None)
    assert old is not None
    assert old.incarnation == "w-1"


@pytest.mark.parametrize(
    "changes",
    [
        {"Address": None},
        {"Address": "nowhere"},
        {"Backend": None},
        {"Backend": 7},
        {"Zone": None},
        {"Version": None},
        {"Slots": "8"},
        {"Slots": 0},
        {"Slots": None},
        {"State": "resting"},
        {"State": None},
        {"born": "yesterday"},
        {"born": 1.5},
    ],
)
def test_invalid_entry_gives_no_worker(changes: dict[str, t.Any]):
    assert decoded(**changes) is None


@pytest.mark.parametrize(
    "raw", [b"", b"\xff\xfe", b"[]", b"7", b'{"Backend":', b"null"]
)
def test_undecodable_bytes_give_no_worker(raw: bytes):
    assert decode_worker("w-1", raw).is_err()


async def test_other_workers_hold_beside_an_entry_that_cannot_be_read():
    async with running_fleet() as fleet:
        await fleet.store.put("keyed.servers", "odd", {"Backend": "writer"})
        await fleet.add_worker("w-3")
        rows = fleet.boxes[0].node.fleet.workers.rows
        await until(lambda: "w-3" in rows, "the next list is taken")
        assert "odd" not in rows
        assert {"w-1", "w-2", "w-3"} <= set(rows)


def _row_born_at(born: int) -> WorkerRow:
    row = make_worker("w-1")
    row.born = Millis(born)
    return row


def test_new_incarnation_has_no_state_of_the_former_one():
    fleet = make_fleet()
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(1_000), False)], Offset(1), ms(1)
    )
    former = fleet.workers.rows[WorkerId("w-1")]
    former.inflight = 3
    record_load(former, WorkerLoad(7, 2, 8), ms(1))
    for _ in range(4):
        record_answer(former, 0.0, good=False, now=ms(2))
    mark_replaced(fleet, former)
    change = apply_worker_list(
        fleet, [ListedWorker(_row_born_at(2_000), False)], Offset(2), ms(3)
    )
    row = fleet.workers.rows[WorkerId("w-1")]
    assert change.came == ("w-1",)
    assert row.inflight == row.reported == row.failures == 0
    assert row.error_rate == 0.0 and row.ejected_until == 0
    assert row.name not in fleet.workers.leaving
    former.inflight -= 1
    assert row.inflight == 0


def test_same_incarnation_listed_again_changes_nothing():
    fleet = make_fleet()
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(1_000), False)], Offset(1), ms(1)
    )
    fleet.workers.rows[WorkerId("w-1")].inflight = 2
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(1_000), False)], Offset(2), ms(2)
    )
    apply_worker_list(fleet, [ListedWorker(_row_born_at(0), False)], Offset(3), ms(3))
    row = fleet.workers.rows[WorkerId("w-1")]
    assert row.inflight == 2 and row.born == 1_000


def test_peers_report_the_incarnation():
    fleet, peer = make_fleet(), make_fleet("box-2")
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(1_000), False)], Offset(1), ms(1)
    )
    rows = [listed_worker(item) for item in workers_news(fleet, ms(1))]
    apply_worker_list(peer, rows, Offset(1), ms(1))
    assert peer.workers.rows[WorkerId("w-1")].incarnation == "w-1/1000"


def test_end_of_a_worker_clears_its_load_and_cache():
    fleet = make_fleet()
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(1_000), False)], Offset(1), ms(1)
    )
    row = fleet.workers.rows[WorkerId("w-1")]
    record_load(row, WorkerLoad(7, 2, 8), ms(1))
    row.kept.parts["large/p1"] = 500
    record_worker_end(fleet, row, ms(2))
    assert row.reported == row.queued == 0
    assert not row.kept.parts


def _ended(fleet: Fleet, *rows: WorkerRow, end: int = 2) -> list[str]:
    listed = [ListedWorker(row, False) for row in rows]
    return [
        row.incarnation
        for row in apply_worker_list(fleet, listed, Offset(end), ms(end)).replaced
    ]


def test_list_shows_that_a_worker_ended():
    """A connect does not show it where a proxy accepts connections for workers."""
    fleet = make_fleet()
    assert _ended(fleet, _row_born_at(1_000), make_worker("w-2"), end=1) == []
    assert _ended(fleet, _row_born_at(1_000), make_worker("w-2"), end=2) == []
    assert _ended(fleet, _row_born_at(2_000), make_worker("w-2"), end=3) == ["w-1/1000"]
    other = make_worker("w-3")
    other.address = "w-2:80"
    assert _ended(fleet, _row_born_at(2_000), make_worker("w-2"), other, end=4) == [
        "w-2"
    ]


def test_worker_that_left_as_planned_did_not_end_under_its_requests():
    fleet = make_fleet()
    _ended(fleet, make_worker("w-2"), end=1)
    leaving = ListedWorker(make_worker("w-2"), draining=True)
    apply_worker_list(fleet, [leaving], Offset(2), ms(2))
    other = make_worker("w-3")
    other.address = "w-2:80"
    assert _ended(fleet, other, end=3) == []


def test_worker_that_ends_twice_before_a_new_entry_has_two_incarnations():
    fleet = make_fleet()
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(1_000), False)], Offset(1), ms(1)
    )
    row = fleet.workers.rows[WorkerId("w-1")]
    first = row.incarnation
    record_worker_end(fleet, row, ms(2))
    assert row.incarnation == first
    record_worker_return(fleet, row, ms(3))
    record_worker_end(fleet, row, ms(3))
    assert row.incarnation != first


def test_silence_of_a_former_incarnation_does_not_count():
    fleet = make_fleet()
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(1_000), False)], Offset(1), ms(1)
    )
    apply_worker_list(
        fleet, [ListedWorker(_row_born_at(2_000), False)], Offset(2), ms(3)
    )
    for box in ("box-2", "box-3"):
        record_silence(
            fleet, SilenceReport(WorkerId("w-1"), BoxId(box), ms(2.5)), ms(3.1)
        )
    assert not is_silent(fleet, WorkerId("w-1"), ms(3.2))
