"""Error statuses of the workers' own count against a version by themselves."""

import pytest

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.systems.blaming import strongest_suspicion
from spanshunt.systems.exposing import full_phase_start_ms
from spanshunt.systems.own_errors import errors_by_epoch
from spanshunt.systems.own_errors import has_doubted_errors
from spanshunt.systems.own_errors import sound_routes
from spanshunt.systems.ramping import apply_order
from spanshunt.systems.succeeding import LATE_LOAD_MS
from spanshunt.systems.succeeding import MAX_DOUBT_MS
from spanshunt.systems.succeeding import may_succeed
from spanshunt.systems.tallies import BEGAN
from spanshunt.systems.tallies import FAILED
from spanshunt.systems.tallies import OWN_ERROR
from spanshunt.systems.tallies import record_observation
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.rollouts import Finding
from spanshunt.tables.rollouts import RolloutRow
from spanshunt.tables.rollouts import Tally

SERVICE = ServiceId("web")
OLD, NEW = VersionId("v1"), VersionId("v2")
DURATION = ms(24)
WORKERS = 3


def _fleet() -> tuple[Fleet, RolloutRow]:
    fleet = make_fleet()
    for number in range(WORKERS):
        add_worker(fleet, make_worker(f"old-{number}", version=OLD))
        add_worker(fleet, make_worker(f"new-{number}", version=NEW))
    apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, Millis(0))
    return fleet, fleet.rollouts.rows[SERVICE]


def _answer(
    fleet: Fleet,
    kind: str,
    count: int,
    bad: int,
    begin: float = 4.0,
    route: str = "r",
    observed: Tally = OWN_ERROR,
    workers: int = WORKERS,
) -> None:
    """Count answers within 16 s, evenly spread bad ones among them."""
    for number in range(count):
        is_bad = (number + 1) * bad // count > number * bad // count
        worker = fleet.workers.rows[f"{kind}-{number % workers}"]
        at = ms(begin + 16 * number / count)
        tally = observed if is_bad else BEGAN
        record_observation(fleet, SERVICE, route, worker, at, tally)


def test_few_errors_are_proof_beside_a_leaving_version_without():
    """Guards against one error in ten that passes for what links and crashes cause."""
    fleet, row = _fleet()
    _answer(fleet, "old", 300, 0)
    _answer(fleet, "new", 160, 16)
    found = strongest_suspicion(row.own, None)
    assert found.finding is Finding.OWN_ERROR
    assert found.is_proven


def test_as_many_broken_answers_are_no_proof():
    fleet, row = _fleet()
    _answer(fleet, "old", 300, 0)
    _answer(fleet, "new", 160, 16, observed=FAILED)
    assert not strongest_suspicion(row.own, None).is_strong


def test_route_on_which_the_leaving_version_gives_errors_does_not_count():
    """Guards against errors that are due to the requests of a route."""
    fleet, row = _fleet()
    _answer(fleet, "old", 300, 60, route="odd")
    _answer(fleet, "new", 160, 32, route="odd")
    _answer(fleet, "old", 100, 1, route="sound")
    _answer(fleet, "new", 100, 0, route="sound")
    _answer(fleet, "new", 40, 20, route="new")
    assert sound_routes(row.own) == {"sound"}
    assert sum(answers for answers, _ in errors_by_epoch(row.own).values()) == 100
    assert not has_doubted_errors(row.own)


def test_errors_of_one_worker_are_not_the_versions():
    fleet, row = _fleet()
    _answer(fleet, "old", 300, 0)
    _answer(fleet, "new", 60, 12, workers=1)
    assert has_doubted_errors(row.own)
    for number in (1, 2):
        worker = fleet.workers.rows[f"new-{number}"]
        for step in range(15):
            at = ms(10 + step / 10)
            record_observation(fleet, SERVICE, "r", worker, at, BEGAN)
    assert not has_doubted_errors(row.own)
    assert not strongest_suspicion(row.own, None).is_strong


@pytest.mark.parametrize(
    "answers, errors, doubted", [(40, 1, False), (40, 2, True), (400, 2, False)]
)
def test_doubt_follows_how_many_answers_there_are(answers, errors, doubted):
    fleet, row = _fleet()
    _answer(fleet, "old", 300, 0)
    _answer(fleet, "new", answers, errors)
    assert has_doubted_errors(row.own) is doubted


def test_doubted_version_does_not_succeed_until_the_doubt_ends():
    """Guards against a success, which can't be undone, while one in twenty fails."""
    fleet, row = _fleet()
    _answer(fleet, "old", 300, 0)
    _answer(fleet, "new", 60, 3)
    late = Millis(full_phase_start_ms(fleet, row) + MAX_DOUBT_MS)
    for now, expected in ((DURATION, False), (Millis(late - 1), False), (late, True)):
        suspicion = strongest_suspicion(row.own, None)
        assert may_succeed(fleet, row, row.own, suspicion, now) is expected


def test_version_whose_full_phase_was_shortened_does_not_succeed_at_once():
    """Guards against a success before the load of all requests has built up."""
    fleet, row = _fleet()
    row.usual_load = row.loaded_from = 0.2
    row.full_from_ms = DURATION - 600
    _answer(fleet, "old", 300, 0)
    for number in range(60):
        worker = fleet.workers.rows[f"new-{number % WORKERS}"]
        at = ms(10 + number / 5)
        record_observation(fleet, SERVICE, "r", worker, at, BEGAN, loaded=True)
    suspicion = strongest_suspicion(row.own, None)
    for after_ms, expected in ((0, False), (LATE_LOAD_MS, True)):
        now = Millis(DURATION + after_ms)
        assert may_succeed(fleet, row, row.own, suspicion, now) is expected
