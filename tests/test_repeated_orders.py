"""An order that operators write again, as the answer to its first write was lost."""

import pytest

from fleet_builders import make_fleet
from fleet_builders import ms
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.systems.ramping import apply_order
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.rollouts import RolloutRow
from spanshunt.tables.rollouts import Verdict

SERVICE, NEW, OTHER = ServiceId("writer"), VersionId("v2"), VersionId("v3")
DURATION = Millis(8_000)


def _ordered() -> tuple[Fleet, RolloutRow]:
    fleet = make_fleet("box-1")
    apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, ms(1))
    return fleet, fleet.rollouts.rows[SERVICE]


@pytest.mark.parametrize("verdict", [Verdict.RUNNING, Verdict.SUCCEEDED])
def test_order_written_again_is_the_known_one(verdict: Verdict):
    """Guards against an order that begins anew: sessions that had moved to the new
    version went back, and what was known of it was forgotten."""
    fleet, row = _ordered()
    row.verdict = verdict
    assert not apply_order(fleet, SERVICE, NEW, Offset(9), DURATION, ms(6))
    assert fleet.rollouts.rows[SERVICE] is row
    assert (row.order, row.newest_order) == (Offset(5), Offset(9))
    assert (row.began, row.verdict) == (ms(1), verdict)


def test_writes_that_arrive_in_another_order_are_the_same():
    fleet = make_fleet("box-1")
    apply_order(fleet, SERVICE, NEW, Offset(9), DURATION, ms(6))
    row = fleet.rollouts.rows[SERVICE]
    assert not apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, ms(7))
    assert (row.order, row.newest_order) == (Offset(5), Offset(9))


def test_order_after_a_roll_back_is_a_new_one():
    fleet, row = _ordered()
    row.verdict = Verdict.ROLLED_BACK
    assert apply_order(fleet, SERVICE, NEW, Offset(9), DURATION, ms(20))
    assert fleet.rollouts.rows[SERVICE].order == Offset(9)


def test_order_after_one_of_another_version_is_a_new_one():
    fleet, _row = _ordered()
    assert apply_order(fleet, SERVICE, OTHER, Offset(7), DURATION, ms(20))
    assert apply_order(fleet, SERVICE, NEW, Offset(9), DURATION, ms(40))
    assert fleet.rollouts.rows[SERVICE].began == ms(40)


def test_order_with_another_time_to_take_is_a_new_one():
    fleet, _row = _ordered()
    assert apply_order(fleet, SERVICE, NEW, Offset(9), Millis(9_000), ms(2))
