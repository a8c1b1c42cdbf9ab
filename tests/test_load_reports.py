"""Load reports of workers: what is read of them, and what can't be used is logged."""

import pytest

from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from spanshunt.ids import WorkerId
from spanshunt.platform.answer_notices import decode_slowdown
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_load
from spanshunt.systems.worker_speed import present_slowdown
from spanshunt.systems.worker_speed import time_factor
from spanshunt.tables.notices import NoticeKind


@pytest.mark.parametrize(
    ("texts", "slowdown"),
    [
        ([], None),
        (["250"], 2.5),
        ([" 100 "], 1.0),
        (["37.5"], 0.375),
        (["10000"], 100.0),
    ],
)
def test_slowdown_is_read_as_a_percentage(texts, slowdown):
    assert decode_slowdown(texts).ok_value == slowdown


@pytest.mark.parametrize(
    "texts",
    [[""], ["x"], ["0"], ["-5"], ["nan"], ["inf"], ["1e2"], ["10001"], ["250", "7"]],
)
def test_slowdown_that_cannot_be_used_is_named(texts):
    assert "Instance-Load" in (decode_slowdown(texts).err() or "")


def test_reported_slowdown_loses_weight_with_age():
    row = make_worker("w")
    assert time_factor(row, ms(1)) == 1.0
    record_load(row, WorkerLoad(3, 0, 8, 2.6), ms(1))
    assert present_slowdown(row, ms(1)) == 2.6
    assert time_factor(row, ms(1)) == 1.8
    assert 1.7 < present_slowdown(row, ms(1.2)) < 1.9
    assert present_slowdown(row, ms(3)) < 1.01


def test_report_that_lies_draws_no_more_than_a_worker_four_times_as_fast():
    row = make_worker("w")
    record_load(row, WorkerLoad(3, 0, 8, 0.01), ms(1))
    assert present_slowdown(row, ms(1)) == 0.25
    assert time_factor(row, ms(1)) > 0.5


# Guards against reports that are dropped whole because of a fourth figure.
async def test_load_report_of_four_figures_is_used():
    async with running_fleet() as fleet:
        (box,) = fleet.boxes
        for worker in fleet.workers.values():
            worker.says["Instance-Load"] = "3,0,8,250"
        assert (await fleet.ask(box, "/look/1")).status == 200
        rows = box.node.fleet.workers.rows.values()
        (row,) = [row for row in rows if row.reported_at]
        assert (row.reported, row.queued, row.slots) == (3, 0, 8)
        assert row.speed.slowdown == 2.5
        assert not row.invalid_notices


@pytest.mark.parametrize("report", ["3,1,8,fast", "3,1,8,0", "3,1,8,250,7", "3,1,8,"])
async def test_figure_that_cannot_be_used_leaves_the_others(report):
    async with running_fleet() as fleet:
        (box,) = fleet.boxes
        for worker in fleet.workers.values():
            worker.says["Instance-Load"] = report
        assert (await fleet.ask(box, "/look/1")).status == 200
        rows = box.node.fleet.workers.rows.values()
        (row,) = [row for row in rows if row.reported_at]
        assert (row.reported, row.queued, row.slots) == (4, 1, 8)
        assert row.speed.slowdown == 1.0
        assert row.invalid_notices == {NoticeKind.LOAD}


async def test_report_without_the_three_counts_tells_nothing():
    async with running_fleet() as fleet:
        (box,) = fleet.boxes
        fleet.workers["p-1"].says["Instance-Load"] = "3,0"
        fleet.workers["p-2"].says["Instance-Load"] = "a,0,8,250"
        for _ in range(4):
            assert (await fleet.ask(box, "/look/1")).status == 200
        for name in ("p-1", "p-2"):
            row = box.node.fleet.workers.rows[WorkerId(name)]
            assert row.reported_at == 0
            assert row.speed.slowdown == 1.0
