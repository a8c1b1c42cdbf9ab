"""Sessions keep their version in the first half of a roll-out's time.

Six requests of sessions on the leaving version ran on the entering version within four
seconds of a good order, in a fleet without faults; the limit is three in all.

Callers' connections change boxes, so a third of the sessions reach more than one box,
while only the box that answered a session knows its version. Another box selected the
version by the session's hash, which moved one session in twenty, however old, and the
first box moved it back. All boxes must agree on the version, so it must not depend on
what one box remembers. In seven simulated runs, each moved request was at a box that
did not know its session. Under 10,500 other salts of the hash, the same traffic moved
more than three requests in 0.51 % of orders and 0.58 requests an order on average
(`bench/moves.py`), so most runs did not show the fault. Sessions now enter only after
the first half of the order's time, by the same hash at all boxes.
"""

import random
import typing as t

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import note_result
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.ids import WorkerId
from spanshunt.systems.ramping import apply_order
from spanshunt.systems.ramping import version_rule_for
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.rollouts import Finding
from spanshunt.utils import unit_hash

SERVICE = ServiceId("writer")
OLD, NEW = VersionId("v1"), VersionId("v2")
DURATION = ms(24)
SESSION_MS = 5_000
"""Longest pause of a session, in ms."""

ORDER_LAG_MS, WORKERS_LAG_MS = 100, 900
"""Longest delays until boxes see an order and the workers of its version, in ms."""


class Ran(t.NamedTuple):
    """The version of a session's newest request, and when that request ended, in ms."""

    version: VersionId
    ended: int


class Boxes:
    """Boxes that share one order and callers' sessions, and counts of moved requests.

    Parameters
    ----------
    lags : list of tuple
        When each box sees the order and its workers, in ms.
    order : int
        The order's offset in the operators' stream.
    """

    def __init__(self, lags: list[tuple[int, int]], order: int = 1) -> None:
        self.order = order
        self.lags = lags
        self.fleets = [make_fleet(f"box-{n}") for n in range(len(lags))]
        for fleet in self.fleets:
            add_worker(fleet, make_worker("old"))
        self.ran: dict[str, Ran] = {}
        self.moved_early = 0
        self.moved_back = 0

    def learn(self, number: int, now: int) -> None:
        """Apply what a box has learned by `now`.

        Workers of the version start after the order, so no box knows them before the
        order.
        """
        fleet = self.fleets[number]
        order_lag, workers_lag = self.lags[number]
        if now >= order_lag and SERVICE not in fleet.rollouts.rows:
            order, began = Offset(self.order), Millis(order_lag)
            apply_order(fleet, SERVICE, NEW, order, DURATION, began)
        knows_order = SERVICE in fleet.rollouts.rows
        if knows_order and now >= workers_lag and "new" not in fleet.workers.rows:
            add_worker(fleet, make_worker("new", version=NEW))

    def ask(self, number: int, session: str, now: int, took: int) -> None:
        """Answer a request of a session at a box; it ends `took` ms later."""
        self.learn(number, now)
        fleet = self.fleets[number]
        result = version_rule_for(fleet, SERVICE, session, f"r{now}", Millis(now))
        version = NEW if result.only == NEW else OLD
        before = self.ran.get(session)
        if before is not None and before.ended <= now < before.ended + SESSION_MS:
            in_first_half = 0 <= now < DURATION // 2
            changed = version != before.version
            self.moved_early += changed and version == NEW and in_first_half
            self.moved_back += changed and version == OLD
        self.ran[session] = Ran(version, now + took)


def simulate(order: int) -> Boxes:
    """Simulate one order on six boxes, with 40 sessions a second.

    Sessions have 1.6 requests on average. Each request goes to a random box, as
    callers' connections do.
    """
    rng = random.Random(order)
    lags = [
        (rng.randrange(ORDER_LAG_MS), rng.randrange(200, WORKERS_LAG_MS))
        for _ in range(6)
    ]
    boxes = Boxes(lags, order)
    asked: list[tuple[int, str, int]] = []
    for number in range(18 * 40):
        at = -6_000 + number * 25
        while True:
            took = rng.randrange(100, 4_000)
            asked.append((at, f"s{number}", took))
            if rng.random() > 0.38:
                break
            at += took + rng.randrange(50, SESSION_MS)
    for at, session, took in sorted(asked):
        boxes.ask(rng.randrange(6), session, at, took)
    return boxes


def test_no_session_moves_in_the_first_half_at_any_box():
    moved = [simulate(order).moved_early for order in range(1, 101)]
    assert moved == [0] * len(moved)


def test_no_session_moves_back_at_any_box():
    moved = [simulate(order).moved_back for order in range(1, 101)]
    assert moved == [0] * len(moved)


ROUTE = "r"


def box_with_evidence(answers: int, failed: int) -> Fleet:
    """Return tables of a box that knows no session, late in an order's time."""
    fleet = make_fleet()
    add_worker(fleet, make_worker("old"))
    add_worker(fleet, make_worker("new", version=NEW))
    apply_order(fleet, SERVICE, NEW, Offset(1), DURATION, Millis(0))
    for number in range(answers):
        result = Finding.FAILED if number < failed else None
        note_result(fleet, SERVICE, ROUTE, {NEW}, ms(13), result)
    return fleet


def version_of_repeat(fleet: Fleet, session: str) -> VersionId:
    """Return the version for the repeat of a request that failed on the new one."""
    result = version_rule_for(fleet, SERVICE, session, "r1", ms(14), ROUTE, {NEW})
    return NEW if result.only == NEW else OLD


@pytest.mark.parametrize(("answers", "failed"), [(1, 1), (2, 2), (30, 3)])
def test_session_is_repeated_on_a_good_version_at_a_box_that_does_not_know_it(
    answers, failed
):
    """A failing engine is no fault of the version: another engine gets the repeat."""
    fleet = box_with_evidence(answers, failed)
    moved = [name for name in FIRST_SESSIONS if version_of_repeat(fleet, name) == OLD]
    assert not moved


@pytest.mark.parametrize(("answers", "failed"), [(3, 3), (12, 3), (30, 9)])
def test_session_is_repeated_on_the_leaving_version_if_the_other_fails(answers, failed):
    fleet = box_with_evidence(answers, failed)
    assert all(version_of_repeat(fleet, name) == OLD for name in FIRST_SESSIONS)


def test_session_is_not_repeated_on_the_only_worker_that_failed_it():
    fleet = box_with_evidence(answers=30, failed=1)
    for name in FIRST_SESSIONS:
        tried = {WorkerId("new")}
        result = version_rule_for(
            fleet, SERVICE, name, "r1", ms(14), ROUTE, {NEW}, tried=tried
        )
        assert result.never == {NEW}


FIRST_SESSIONS = [name for name in map(str, range(400)) if unit_hash("1", name) < 0.18]
"""Sessions with the lowest hashes, which enter first; others never enter in these
tests."""


class SessionsAcrossBoxes(RuleBasedStateMachine):
    """Sessions that reach any box while boxes learn of an order and its workers.

    No session may move to the entering version in the first half of the order's time,
    or back to the leaving version at any time.
    """

    @initialize(
        lags=st.lists(
            st.tuples(st.integers(0, ORDER_LAG_MS), st.integers(0, WORKERS_LAG_MS)),
            min_size=3,
            max_size=3,
        )
    )
    def begin(self, lags):
        self.boxes = Boxes(lags)
        self.now = -SESSION_MS

    @rule(step=st.integers(1, 2_500))
    def wait(self, step):
        self.now += step

    @precondition(lambda self: self.now > 0)
    @rule(box=st.integers(0, 2))
    def restart(self, box):
        """Restart a box, which then learns of the order from another box."""
        fleet = make_fleet(f"box-{box}")
        add_worker(fleet, make_worker("old"))
        self.boxes.fleets[box] = fleet

    @rule(
        box=st.integers(0, 2),
        session=st.sampled_from(FIRST_SESSIONS),
        took=st.integers(0, 4_000),
    )
    def ask(self, box, session, took):
        before = self.boxes.ran.get(session)
        if self.now >= DURATION or (before is not None and before.ended > self.now):
            return
        self.boxes.ask(box, session, self.now, took)
        assert not self.boxes.moved_early, "moved in the first half"
        assert not self.boxes.moved_back, "moved back"


SessionsAcrossBoxes.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestSessionsAcrossBoxes = SessionsAcrossBoxes.TestCase
