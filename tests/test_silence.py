"""Reports of silent workers: two boxes must agree, and each forgets by itself."""

import random

import pytest

from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.clock import Clock
from spanshunt.exchange import Exchange
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import ServiceId
from spanshunt.ids import WorkerId
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import candidate_workers
from spanshunt.systems.ramping import VersionRule
from spanshunt.systems.silence import MIN_VALID_SHARE
from spanshunt.systems.silence import REPORT_VALID_MS
from spanshunt.systems.silence import SilenceReport
from spanshunt.systems.silence import newest_silence_reports
from spanshunt.systems.silence import record_silence
from spanshunt.systems.silence import silent_workers
from spanshunt.tables.fleet import Fleet

MUTE = WorkerId("p-1")


def a_fleet(box: str = "box-1") -> Fleet:
    fleet = make_fleet(box)
    for name in ("p-1", "p-2"):
        fleet.workers.rows[WorkerId(name)] = make_worker(name, service="web")
    fleet.workers.invalidate_index()
    return fleet


def report(fleet: Fleet, box: str, at: float, now: float | None = None) -> bool:
    return record_silence(fleet, SilenceReport(MUTE, BoxId(box), ms(at)), ms(now or at))


def test_two_boxes_leave_a_worker_out():
    fleet = a_fleet()
    report(fleet, "box-2", 1.0)
    assert silent_workers(fleet, ms(1.1)) == set()
    report(fleet, "box-3", 1.1)
    assert silent_workers(fleet, ms(1.2)) == {MUTE}


def test_one_box_that_reports_twice_is_one_witness():
    fleet = a_fleet()
    report(fleet, "box-2", 1.0)
    report(fleet, "box-2", 1.3)
    assert silent_workers(fleet, ms(1.4)) == set()


def test_worker_that_was_heard_since_is_not_left_out():
    fleet = a_fleet()
    report(fleet, "box-2", 1.0)
    report(fleet, "box-3", 1.1)
    fleet.workers.rows[MUTE].last_byte_at = ms(1.15)
    assert silent_workers(fleet, ms(1.2)) == set()


def test_boxes_forget_at_times_of_their_own_within_the_bound():
    left_out = []
    for number in range(40):
        fleet = a_fleet(f"box-{number}x")
        report(fleet, "a", 1.0)
        report(fleet, "b", 1.0)
        at = 1.0 + REPORT_VALID_MS / 1_000 * (MIN_VALID_SHARE + 0.3)
        left_out.append(silent_workers(fleet, ms(at)) == {MUTE})
        end = 1.0 + REPORT_VALID_MS / 1_000
        assert silent_workers(fleet, ms(end)) == set()
    assert any(left_out) and not all(left_out)


def test_old_and_unknown_reports_are_no_news():
    fleet = a_fleet()
    assert not report(fleet, "box-2", 1.0, now=1.0 + REPORT_VALID_MS / 1_000)
    assert report(fleet, "box-2", 2.0)
    assert not report(fleet, "box-2", 1.5, now=2.1)
    gone = SilenceReport(WorkerId("nobody"), BoxId("box-2"), ms(2))
    assert not record_silence(fleet, gone, ms(2))


def test_reports_do_not_live_longer_by_being_told_on():
    fleet = a_fleet()
    report(fleet, "box-2", 1.0)
    assert newest_silence_reports(fleet, ms(2))
    assert newest_silence_reports(fleet, ms(1.0 + REPORT_VALID_MS / 1_000)) == ()
    assert fleet.silence_reports == {}


@pytest.mark.parametrize(
    ("silent", "left"), [({"p-1"}, {"p-2"}), ({"p-1", "p-2"}, {"p-1", "p-2"})]
)
def test_silent_workers_are_used_only_where_no_other_is_left(silent, left):
    fleet = a_fleet()
    wanted = PlacementRequest(
        ServiceId("web"), VersionRule(), DomainId("north"), silent=silent
    )
    assert {row.name for row in candidate_workers(fleet, wanted, ms(1))} == left


class At(Clock):
    """A clock that stands still."""

    def __init__(self, seconds: float) -> None:
        self._now = ms(seconds)

    def now(self):
        return self._now


def an_exchange(fleet: Fleet, at: float) -> Exchange:
    return Exchange(fleet, At(at), random.Random(1), lambda: None, ())


def test_boxes_tell_each_other():
    """Seen: 66 boxes found one silent worker, each by itself."""
    fleets = [a_fleet(f"box-{number}") for number in (1, 2, 3)]
    first, second, third = (an_exchange(fleet, 10.2) for fleet in fleets)
    report(fleets[0], "box-1", 10.0)
    report(fleets[1], "box-2", 10.1)
    second.take(first.news_for(None))
    third.take(second.news_for(None))
    assert silent_workers(fleets[2], ms(10.2)) == {MUTE}
    assert fleets[2].silence_reports[MUTE] == {"box-1": ms(10.0), "box-2": ms(10.1)}
