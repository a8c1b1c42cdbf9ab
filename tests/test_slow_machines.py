"""Slow machines: awaited longer, and no evidence against the version they run."""

from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.ids import Millis
from spanshunt.ids import ModelId
from spanshunt.systems.timing import MAX_PATIENCE
from spanshunt.systems.timing import first_byte_timeout_ms
from spanshunt.systems.timing import is_slow_first_byte
from spanshunt.systems.timing import learn_first_byte_time
from spanshunt.systems.timing import stall_timeout_ms
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_load
from spanshunt.systems.worker_speed import excused_factor
from spanshunt.tables.catalog import RequestKind
from spanshunt.tables.catalog import RouteRow
from spanshunt.tables.fleet import Fleet

MODEL = ModelId("large")
ROUTE = RouteRow(
    "r-long", "h", "/long/", RequestKind.STREAM, (), Millis(5_000), Millis(800)
)


def fleet_with_usual_time(first_ms: float = 200.0) -> Fleet:
    fleet = make_fleet()
    learn_first_byte_time(fleet, ROUTE, MODEL, 1_000, first_ms)
    return fleet


def timeout_ms(fleet: Fleet, factor: float) -> float:
    return first_byte_timeout_ms(fleet, ROUTE, MODEL, 1_000, factor)


def test_slow_worker_is_awaited_longer_by_its_factor():
    fleet = fleet_with_usual_time()
    assert timeout_ms(fleet, 2.0) == 2 * timeout_ms(fleet, 1.0)
    assert stall_timeout_ms(ROUTE, 2.0) == 2 * stall_timeout_ms(ROUTE)


def test_fast_worker_is_awaited_as_long_as_ever():
    fleet = fleet_with_usual_time()
    assert timeout_ms(fleet, 0.5) == timeout_ms(fleet, 1.0)
    assert stall_timeout_ms(ROUTE, 0.5) == stall_timeout_ms(ROUTE)


# Guards against a worker that keeps requests by what it reports of itself.
def test_patience_with_a_report_that_lies_is_bounded():
    fleet = fleet_with_usual_time()
    assert timeout_ms(fleet, 100.0) == MAX_PATIENCE * timeout_ms(fleet, 1.0)


def test_slow_machine_is_no_slow_version_but_a_slow_version_stays_one():
    fleet = fleet_with_usual_time()
    row = make_worker("w")
    row.speed.usual_factor = 4.0
    record_load(row, WorkerLoad(1, 0, 8, 2.5), ms(1))
    excused = excused_factor(row, ms(1))
    assert not is_slow_first_byte(fleet, ROUTE, MODEL, 1_000, 800.0 / excused)
    record_load(row, WorkerLoad(1, 0, 8, 1.0), ms(2))
    excused = excused_factor(row, ms(2))
    assert is_slow_first_byte(fleet, ROUTE, MODEL, 1_000, 800.0 / excused)


def test_fast_moment_does_not_make_an_answer_slow():
    row = make_worker("w")
    record_load(row, WorkerLoad(1, 0, 8, 0.5), ms(1))
    assert excused_factor(row, ms(1)) == 1.0
