"""Workers that reject a request and ask the box for rest."""

import pytest

from fleet_builders import TestFleet
from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import seeded
from spanshunt.ids import DomainId
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.platform.answer_notices import REST_MOST_MS
from spanshunt.platform.answer_notices import decode_rest
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import choose_worker
from spanshunt.systems.ramping import VersionRule
from spanshunt.systems.resting import apply_rest
from spanshunt.systems.resting import rest_left_ms
from spanshunt.tables.notices import RateLimit
from spanshunt.tables.worker_list import ListedWorker

DATE = "Thu, 03 Dec 2026 12:00:00 GMT"


def reject_requests(fleet: TestFleet, *names: str, rest: str = "3") -> None:
    """Make workers reject all requests and ask for rest."""
    for name in names:
        fleet.workers[name].fault = WorkerFault.FULL
        fleet.workers[name].asks["Retry-After"] = rest


# Guards against requests to a worker that asked the box for rest.
@pytest.mark.parametrize(
    ("path", "name"), [("/look/", "p-1"), ("/view/", "p-1"), ("/long/", "w-1")]
)
async def test_worker_that_asked_for_rest_gets_nothing_of_that_box_meanwhile(
    path, name
):
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        reject_requests(fleet, name)
        replies = [await fleet.ask(box, path) for _ in range(40)]
        assert {reply.status for reply in replies} == {200}
        assert len(fleet.workers[name].seen) == 1


# Guards against a fallback to resting workers if no other worker is left.
async def test_callers_get_retry_after_at_once_while_all_workers_rest():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        reject_requests(fleet, "p-1", "p-2", rest="1.5")
        replies = [await fleet.ask(box, "/look/") for _ in range(8)]
        assert {reply.status for reply in replies} == {503}
        waits = [float(reply.headers["Retry-After"]) for reply in replies]
        assert all(1.0 < wait < 2.5 for wait in waits[1:])
        assert len(set(waits[1:])) > 1, "retry times are spread"
        reached = sum(len(fleet.workers[name].seen) for name in ("p-1", "p-2"))
        assert reached == 2


async def test_worker_gets_requests_again_after_its_rest():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        reject_requests(fleet, "p-1", "p-2", rest="0.2")
        assert (await fleet.ask(box, "/look/")).status == 503
        for name in ("p-1", "p-2"):
            fleet.workers[name].fault = WorkerFault.NONE
        row = box.node.fleet.workers.rows["p-1"]
        while rest_left_ms(row, box.node.clock.now()):
            assert (await fleet.ask(box, "/look/")).status in (200, 503)
        assert (await fleet.ask(box, "/look/")).status == 200


@pytest.mark.parametrize(
    ("texts", "dates", "rest_ms"),
    [
        ([], [], None),
        (["3"], [], 3_000),
        (["0.25"], [], 250),
        (["31536000"], [], REST_MOST_MS),
        (["Thu, 03 Dec 2026 12:00:04 GMT"], [DATE], 4_000),
        (["Thu, 03 Dec 2026 11:00:00 GMT"], [DATE], 0),
        (["Fri, 03 Dec 2027 12:00:00 GMT"], [DATE], REST_MOST_MS),
    ],
)
def test_rest_is_read_in_seconds_or_as_a_time_of_day(texts, dates, rest_ms):
    assert decode_rest(texts, dates).ok_value == rest_ms


@pytest.mark.parametrize(
    "texts", [["-3"], ["nan"], ["1e9"], ["soon"], [""], ["3", "4"], [DATE, DATE]]
)
def test_invalid_rest_is_rejected(texts):
    assert "seconds or a time of day" in decode_rest(texts, [DATE]).err_value


def test_time_of_day_is_rejected_without_the_date_of_the_answer():
    assert decode_rest([DATE], []).is_err()


def test_longest_rest_holds():
    row = make_worker("w-1")
    assert apply_rest(row, Millis(3_000), ms(1))
    assert not apply_rest(row, Millis(500), ms(2))
    assert rest_left_ms(row, ms(2)) == 2_000
    assert apply_rest(row, Millis(3_000), ms(2))
    assert rest_left_ms(row, ms(6)) == 0


def test_new_incarnation_of_a_worker_does_not_rest():
    fleet = make_fleet()
    row = add_worker(fleet, make_worker("w-1"))
    row.born = Millis(10)
    apply_rest(row, Millis(60_000), ms(1))
    again = make_worker("w-1")
    again.born = Millis(20)
    apply_worker_list(fleet, [ListedWorker(again, False)], Offset(1), ms(2))
    assert rest_left_ms(fleet.workers.rows["w-1"], ms(2)) == 0


def test_worker_keeps_both_its_limit_and_its_rest():
    fleet = make_fleet()
    row = add_worker(fleet, make_worker("w-1"))
    row.limit = RateLimit(1_000.0, ms(1), fleet.identity.box)
    apply_rest(row, Millis(3_000), ms(1))
    wanted = PlacementRequest(
        ServiceId("writer"), VersionRule(), DomainId("north"), allow_tried=True
    )
    assert choose_worker(fleet, wanted, ms(3.9), seeded()) is None
    assert choose_worker(fleet, wanted, ms(4.1), seeded()) is not None
