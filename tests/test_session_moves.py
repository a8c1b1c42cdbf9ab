"""Sessions keep their version while a roll-out is in the first half of its time.

Seen: six requests of sessions that were on the leaving version ran on the entering one
within four seconds of a good order, on a calm fleet; three are allowed in all.

How it came about: callers' connections change boxes, so a third of the sessions are
asked at more than one. What a session ran on was known to the box that had answered
alone. Another box drew the version by the session's hash, and moved one session in
twenty, however old it was; back at the first box, it moved once more.

Cause: a choice on which all boxes must agree was made from what one box remembers.
Proof: in seven plays with sessions in the log, each moved request was drawn at a box
that remembered nothing of its session. The same traffic under 10,500 other hashes gave
more than three moves in 0.51 % of orders, 0.58 in the mean (`bench/moves.py`): on most
days the rule was kept by luck.
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
"""How long a session may pause, in ms."""

ORDER_LAG_MS, WORKERS_LAG_MS = 100, 900
"""Within which boxes see an order and the workers of its version, in ms."""


class Ran(t.NamedTuple):
    """What a session's newest request ran on, and when it ended, in ms."""

    version: VersionId
    ended: int


class Boxes:
    """Boxes that share one order and callers' sessions, and who moved.

    Parameters
    ----------
    lags : list of tuple
        For each box, when it sees the order and when the workers, in ms.
    order : int
        The order's place in the operators' stream.
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
        """Let a box see what it must have seen by now.

        Workers of the version start after the order, so no box knows them before it.
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
        found = version_rule_for(fleet, SERVICE, session, f"r{now}", Millis(now))
        version = NEW if found.only == NEW else OLD
        before = self.ran.get(session)
        if before is not None and before.ended <= now < before.ended + SESSION_MS:
            in_first_half = 0 <= now < DURATION // 2
            changed = version != before.version
            self.moved_early += changed and version == NEW and in_first_half
            self.moved_back += changed and version == OLD
        self.ran[session] = Ran(version, now + took)


def play(order: int) -> Boxes:
    """Play one order over six boxes: sessions of 1.6 requests in the mean, 40 a second.

    Every request comes to a box at random, as callers' connections do.
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


def test_no_session_moves_in_the_first_half_whichever_box_it_comes_to():
    moved = [play(order).moved_early for order in range(1, 101)]
    assert moved == [0] * len(moved)


def test_no_session_moves_back_whichever_box_it_comes_to():
    moved = [play(order).moved_back for order in range(1, 101)]
    assert moved == [0] * len(moved)


ROUTE = "r"


def box_with_evidence(answers: int, failed: int) -> Fleet:
    """Return tables of a box that remembers no session, late in an order's time."""
    fleet = make_fleet()
    add_worker(fleet, make_worker("old"))
    add_worker(fleet, make_worker("new", version=NEW))
    apply_order(fleet, SERVICE, NEW, Offset(1), DURATION, Millis(0))
    for number in range(answers):
        found = Finding.FAILED if number < failed else None
        note_result(fleet, SERVICE, ROUTE, {NEW}, ms(13), found)
    return fleet


def repeated_on(fleet: Fleet, session: str) -> VersionId:
    """Return where a request of a session goes that failed on the entering version."""
    found = version_rule_for(fleet, SERVICE, session, "r1", ms(14), ROUTE, {NEW})
    return NEW if found.only == NEW else OLD


@pytest.mark.parametrize(("answers", "failed"), [(1, 1), (2, 2), (30, 3)])
def test_session_is_repeated_on_a_sound_version_at_a_box_that_never_saw_it(
    answers, failed
):
    """Where an engine fails, its version does not: the request goes to another one."""
    fleet = box_with_evidence(answers, failed)
    moved = [name for name in DRAWN_EARLY if repeated_on(fleet, name) == OLD]
    assert not moved


@pytest.mark.parametrize(("answers", "failed"), [(3, 3), (12, 3), (30, 9)])
def test_session_is_repeated_on_the_leaving_version_where_the_other_fails(
    answers, failed
):
    fleet = box_with_evidence(answers, failed)
    assert all(repeated_on(fleet, name) == OLD for name in DRAWN_EARLY)


def test_session_is_not_repeated_at_the_one_worker_that_failed_it():
    fleet = box_with_evidence(answers=30, failed=1)
    for name in DRAWN_EARLY:
        tried = {WorkerId("new")}
        found = version_rule_for(
            fleet, SERVICE, name, "r1", ms(14), ROUTE, {NEW}, tried=tried
        )
        assert found.never == {NEW}


DRAWN_EARLY = [name for name in map(str, range(400)) if unit_hash("1", name) < 0.18]
"""Sessions that are drawn early: others never come near the rule."""


class SessionsAcrossBoxes(RuleBasedStateMachine):
    """Sessions that come to any box while boxes learn of an order and its workers.

    No request may run on the entering version in the first half of the order's time if
    the one before it ran on the leaving one, or the other way round at any time.
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
        """A box starts afresh and hears of the order from another one."""
        fleet = make_fleet(f"box-{box}")
        add_worker(fleet, make_worker("old"))
        self.boxes.fleets[box] = fleet

    @rule(
        box=st.integers(0, 2),
        session=st.sampled_from(DRAWN_EARLY),
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
