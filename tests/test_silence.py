"""Reports of silent workers: two boxes must agree, and reports expire at each box."""

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

SILENT_WORKER = WorkerId("p-1")


def make_box(box: str = "box-1") -> Fleet:
    fleet = make_fleet(box)
    for name in ("p-1", "p-2"):
        fleet.workers.rows[WorkerId(name)] = make_worker(name, service="web")
    fleet.workers.invalidate_index()
    return fleet


def report(fleet: Fleet, box: str, at: float, now: float | None = None) -> bool:
    return record_silence(
        fleet, SilenceReport(SILENT_WORKER, BoxId(box), ms(at)), ms(now or at)
    )


def test_reports_of_two_boxes_exclude_a_worker():
    fleet = make_box()
    report(fleet, "box-2", 1.0)
    assert silent_workers(fleet, ms(1.1)) == set()
    report(fleet, "box-3", 1.1)
    assert silent_workers(fleet, ms(1.2)) == {SILENT_WORKER}


def test_two_reports_of_one_box_count_once():
    fleet = make_box()
    report(fleet, "box-2", 1.0)
    report(fleet, "box-2", 1.3)
    assert silent_workers(fleet, ms(1.4)) == set()


def test_worker_that_sent_bytes_since_is_not_excluded():
    fleet = make_box()
    report(fleet, "box-2", 1.0)
    report(fleet, "box-3", 1.1)
    fleet.workers.rows[SILENT_WORKER].last_byte_at = ms(1.15)
    assert silent_workers(fleet, ms(1.2)) == set()


def test_boxes_ignore_reports_after_different_times_within_the_bound():
    excluded = []
    for number in range(40):
        fleet = make_box(f"box-{number}x")
        report(fleet, "a", 1.0)
        report(fleet, "b", 1.0)
        at = 1.0 + REPORT_VALID_MS / 1_000 * (MIN_VALID_SHARE + 0.3)
        excluded.append(silent_workers(fleet, ms(at)) == {SILENT_WORKER})
        end = 1.0 + REPORT_VALID_MS / 1_000
        assert silent_workers(fleet, ms(end)) == set()
    assert any(excluded) and not all(excluded)


def test_old_reports_and_those_of_unknown_workers_are_ignored():
    fleet = make_box()
    assert not report(fleet, "box-2", 1.0, now=1.0 + REPORT_VALID_MS / 1_000)
    assert report(fleet, "box-2", 2.0)
    assert not report(fleet, "box-2", 1.5, now=2.1)
    gone = SilenceReport(WorkerId("nobody"), BoxId("box-2"), ms(2))
    assert not record_silence(fleet, gone, ms(2))


def test_reports_do_not_live_longer_by_being_forwarded():
    fleet = make_box()
    report(fleet, "box-2", 1.0)
    assert newest_silence_reports(fleet, ms(2))
    assert newest_silence_reports(fleet, ms(1.0 + REPORT_VALID_MS / 1_000)) == ()
    assert fleet.silence_reports == {}


@pytest.mark.parametrize(
    ("silent", "left"), [({"p-1"}, {"p-2"}), ({"p-1", "p-2"}, {"p-1", "p-2"})]
)
def test_silent_workers_are_used_only_where_no_other_is_left(silent, left):
    fleet = make_box()
    wanted = PlacementRequest(
        ServiceId("web"), VersionRule(), DomainId("north"), silent=silent
    )
    assert {row.name for row in candidate_workers(fleet, wanted, ms(1))} == left


class FixedClock(Clock):
    """A clock that stands still."""

    def __init__(self, seconds: float) -> None:
        self._now = ms(seconds)

    def now(self):
        return self._now


def make_exchange(fleet: Fleet, at: float) -> Exchange:
    return Exchange(fleet, FixedClock(at), random.Random(1), lambda: None, ())


def test_boxes_exchange_reports():
    """Guards against 66 boxes that each detect the same silent worker alone."""
    fleets = [make_box(f"box-{number}") for number in (1, 2, 3)]
    first, second, third = (make_exchange(fleet, 10.2) for fleet in fleets)
    report(fleets[0], "box-1", 10.0)
    report(fleets[1], "box-2", 10.1)
    second.apply_news(first.build_news(None))
    third.apply_news(second.build_news(None))
    assert silent_workers(fleets[2], ms(10.2)) == {SILENT_WORKER}
    assert fleets[2].silence_reports[SILENT_WORKER] == {
        "box-1": ms(10.0),
        "box-2": ms(10.1),
    }
