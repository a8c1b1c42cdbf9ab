"""A version whose workers are listed before its order is known."""

import asyncio

from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.ids import WorkerId
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.ramping import VersionRule
from spanshunt.systems.ramping import apply_order
from spanshunt.systems.ramping import version_rule_for
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.rollouts import Verdict
from spanshunt.tables.worker_list import ListChange
from spanshunt.tables.worker_list import ListedWorker

SERVICE, OLD, NEW = ServiceId("writer"), VersionId("v1"), VersionId("v2")

WAIT_S = 2.0
"""Within which an order that was written is known, in s."""

DURATION = Millis(8_000)


def list_versions(fleet: Fleet, seconds: float, **versions: str) -> ListChange:
    """Apply a list of workers with their versions."""
    listed = [
        ListedWorker(make_worker(name, version=version), False)
        for name, version in versions.items()
    ]
    return apply_worker_list(fleet, listed, Offset(round(seconds * 10)), ms(seconds))


def rule(fleet: Fleet, seconds: float, session: str = "s") -> VersionRule:
    return version_rule_for(fleet, SERVICE, session, "r", ms(seconds))


def test_new_version_waits_until_an_order_would_be_known():
    """Guards against sessions that move to a version before its order, and back."""
    fleet = make_fleet()
    list_versions(fleet, 1.0, a="v1")
    change = list_versions(fleet, 2.0, a="v1", b="v2")
    assert change.withheld == ((SERVICE, NEW),)
    assert rule(fleet, 2.0).admits({OLD})
    assert not rule(fleet, 2.0).admits({NEW})
    list_versions(fleet, 3.0, a="v1", b="v2", c="v2")
    assert not rule(fleet, 2.0 + WAIT_S - 0.1).admits({NEW})
    assert rule(fleet, 2.0 + WAIT_S).admits({NEW})


def test_versions_of_the_first_list_are_not_withheld():
    fleet = make_fleet()
    assert not list_versions(fleet, 1.0, a="v1", b="v2").withheld
    assert rule(fleet, 1.0).admits({NEW})


def test_version_is_not_withheld_once_nobody_else_serves():
    """Guards against refusals while workers of the service are there."""
    fleet = make_fleet()
    list_versions(fleet, 1.0, a="v1")
    list_versions(fleet, 2.0, a="v1", b="v2")
    fleet.workers.leaving.add(next(iter(fleet.workers.rows)))
    assert rule(fleet, 2.5).admits({NEW})


def test_ordered_version_is_not_withheld():
    fleet = make_fleet()
    list_versions(fleet, 1.0, a="v1")
    apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, ms(1.5))
    assert not list_versions(fleet, 2.0, a="v1", b="v2").withheld
    fleet.rollouts.rows[SERVICE].verdict = Verdict.SUCCEEDED
    assert rule(fleet, 2.0).admits({NEW})


def test_order_decides_from_when_it_is_known():
    fleet = make_fleet()
    list_versions(fleet, 1.0, a="v1")
    list_versions(fleet, 2.0, a="v1", b="v2")
    apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, ms(2.2))
    fleet.rollouts.rows[SERVICE].verdict = Verdict.SUCCEEDED
    assert rule(fleet, 2.3).only == NEW


def test_next_version_is_withheld_beside_one_that_was_taken_back():
    fleet = make_fleet()
    list_versions(fleet, 1.0, a="v1")
    apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, ms(1.5))
    fleet.rollouts.rows[SERVICE].verdict = Verdict.ROLLED_BACK
    list_versions(fleet, 2.0, a="v1", b="v3")
    assert not rule(fleet, 2.5).admits({VersionId("v3")})
    assert rule(fleet, 2.5).admits({OLD})


def test_next_version_serves_where_only_one_that_was_taken_back_is_left():
    """Guards against refusals while workers of the service are there."""
    fleet = make_fleet()
    list_versions(fleet, 1.0, a="v1", b="v2")
    apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, ms(1.5))
    fleet.rollouts.rows[SERVICE].verdict = Verdict.ROLLED_BACK
    list_versions(fleet, 2.0, a="v1", b="v2", c="v3")
    fleet.workers.leaving.add(WorkerId("a"))
    assert rule(fleet, 2.5).admits({VersionId("v3")})
    assert not rule(fleet, 2.5).admits({NEW})


async def test_a_box_sends_nothing_to_a_version_that_has_no_order_yet():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        new = await fleet.add_worker("n-1", version="v2")
        known = box.node.fleet.workers.rows
        await until(lambda: "n-1" in known, "the worker is known")
        for number in range(40):
            reply = await fleet.ask(box, "/long/", Session=f"s-{number}")
            assert reply.status == 200
        assert new.seen == []
        await asyncio.sleep(WAIT_S)
        for number in range(40):
            await fleet.ask(box, "/long/", Session=f"s-{number}")
        assert new.seen
