"""Boxes that get far more requests than others state their rate by name."""

import pytest

from fleet_builders import make_fleet
from fleet_builders import ms
from spanshunt.ids import BoxId
from spanshunt.ids import ServiceId
from spanshunt.systems.arrivals import apply_called_arrivals
from spanshunt.systems.arrivals import box_share
from spanshunt.systems.arrivals import record_request
from spanshunt.systems.busy_boxes import MAX_BUSY_BOXES
from spanshunt.systems.busy_boxes import busy_to_send
from spanshunt.systems.busy_boxes import busy_total
from spanshunt.systems.busy_boxes import expire_busy_boxes
from spanshunt.systems.busy_boxes import merge_busy_box
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.catalog import ServiceRow
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.rates import BusyBox

WEB = ServiceId("web")
BUSY = BoxId("busy")


def _box(boxes: int = 61, name: str = "box-0") -> Fleet:
    fleet = make_fleet(name)
    fleet.catalog = Catalog(1, (), {WEB: ServiceRow(WEB)}, ())
    names = [BoxId(f"peer-{number}") for number in range(boxes - 1)]
    fleet.peers |= {peer: PeerRow(peer, "h:1") for peer in names}
    return fleet


def _arrive(fleet: Fleet, count: int, since: float, mean: float) -> None:
    """Let requests arrive within a second while peers state a mean."""
    for number in range(count):
        at = ms(since + number / count)
        apply_called_arrivals(fleet, [(WEB, mean)], at)
        record_request(fleet, WEB, at)


def test_busy_box_takes_the_part_that_its_requests_are_of_all():
    """Guards against a total that counts what the busy box gets once for each box."""
    fleet = _box()
    _arrive(fleet, 90, 100.0, 0.2)
    _arrive(fleet, 90, 101.0, 0.2)
    _arrive(fleet, 90, 102.0, 0.2)
    assert box_share(fleet, WEB, ms(103)) >= 0.75


def test_other_boxes_leave_a_busy_box_its_part():
    fleet = _box()
    assert merge_busy_box(fleet, WEB, BUSY, BusyBox(90.0, ms(100)), ms(100))
    assert not merge_busy_box(fleet, WEB, BUSY, BusyBox(90.0, ms(101)), ms(101))
    _arrive(fleet, 1, 101.0, 0.2)
    assert busy_total(fleet, WEB, ms(101.5)) == 90.0
    assert box_share(fleet, WEB, ms(101.5)) <= 0.02


def test_busy_box_is_told_until_its_requests_are_as_many_as_others():
    """Guards against requests that are counted neither by name nor in the mean."""
    fleet = _box()
    _arrive(fleet, 90, 100.0, 1.0)
    [(_, _, told)] = busy_to_send(fleet, {WEB}, ms(101))
    assert told.per_s >= 40
    later = [busy_to_send(fleet, {WEB}, ms(101 + step / 10)) for step in range(10)]
    assert [row.per_s for ((_, _, row),) in later] == sorted(
        (row.per_s for ((_, _, row),) in later), reverse=True
    )
    apply_called_arrivals(fleet, [(WEB, 1.0)], ms(106))
    assert not busy_to_send(fleet, {WEB}, ms(106))


def test_few_requests_make_no_busy_box():
    fleet = _box()
    _arrive(fleet, 3, 100.0, 0.01)
    assert not busy_to_send(fleet, {WEB}, ms(101))


def test_box_without_word_of_others_is_not_busy():
    fleet = _box()
    for number in range(90):
        record_request(fleet, WEB, ms(100 + number / 90))
    assert not busy_to_send(fleet, {WEB}, ms(101))


def test_statements_expire_and_older_ones_are_left_out():
    fleet = _box()
    merge_busy_box(fleet, WEB, BUSY, BusyBox(90.0, ms(100)), ms(100))
    merge_busy_box(fleet, WEB, BUSY, BusyBox(10.0, ms(99)), ms(100))
    assert busy_total(fleet, WEB, ms(100)) == 90.0
    assert busy_total(fleet, WEB, ms(103)) == 0.0
    expire_busy_boxes(fleet, ms(103))
    assert not fleet.busy_boxes


@pytest.mark.parametrize("per_s", [-1.0, float("nan"), float("inf"), 1e12])
def test_rate_that_is_not_credible_is_left_out(per_s: float):
    fleet = _box()
    assert not merge_busy_box(fleet, WEB, BUSY, BusyBox(per_s, ms(1)), ms(1))
    assert busy_total(fleet, WEB, ms(1)) == 0.0


def test_service_that_is_not_configured_is_left_out():
    fleet = _box()
    other = ServiceId("other")
    assert not merge_busy_box(fleet, other, BUSY, BusyBox(1.0, ms(1)), ms(1))
    assert not fleet.busy_boxes


def test_number_of_busy_boxes_is_bounded():
    fleet = _box()
    for number in range(2 * MAX_BUSY_BOXES):
        row = BusyBox(50.0, ms(1))
        merge_busy_box(fleet, WEB, BoxId(f"busy-{number}"), row, ms(1))
    assert len(busy_to_send(fleet, {WEB}, ms(1))) == MAX_BUSY_BOXES
    _arrive(fleet, 90, 1.0, 0.2)
    assert len(fleet.busy_boxes[WEB]) == MAX_BUSY_BOXES
    assert fleet.arrivals[WEB].per_s > 1.0
