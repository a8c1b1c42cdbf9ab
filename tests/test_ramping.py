"""Roll-outs: shares of the entering version, verdicts, and which box records them."""

import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import note_result
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.systems.exposing import entering_share
from spanshunt.systems.exposing import fleet_request_rate
from spanshunt.systems.exposing import raise_extra_share
from spanshunt.systems.judging import RECORD_STAGGER_MS
from spanshunt.systems.judging import judge
from spanshunt.systems.judging import record_delay
from spanshunt.systems.judging import update_verdict
from spanshunt.systems.ramping import apply_order
from spanshunt.systems.ramping import apply_start_time
from spanshunt.systems.ramping import apply_verdict
from spanshunt.systems.ramping import version_rule_for
from spanshunt.systems.repeats import count_request
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.rollouts import ExposureBounds
from spanshunt.tables.rollouts import Finding
from spanshunt.tables.rollouts import Verdict

SERVICE = ServiceId("writer")
OLD, NEW = VersionId("v1"), VersionId("v2")
DURATION = ms(24)


def fleet_in_rollout(box: str = "box-1", order: int = 5) -> Fleet:
    fleet = make_fleet(box)
    add_worker(fleet, make_worker("old"))
    add_worker(fleet, make_worker("new", version="v2"))
    apply_order(fleet, SERVICE, NEW, Offset(order), DURATION, Millis(0))
    return fleet


def row_of(fleet: Fleet):
    return fleet.rollouts.rows[SERVICE]


def enters(fleet: Fleet, session: str, now: int) -> bool:
    return version_rule_for(fleet, SERVICE, session, "r", now).only == NEW


def entering_part(fleet: Fleet, now: int) -> float:
    count = 2_000
    return sum(enters(fleet, f"s{n}", now) for n in range(count)) / count


def add_answers(
    fleet: Fleet,
    seconds: int,
    fault_share: float,
    *,
    version=NEW,
    route="r",
    per_second=5,
    finding=Finding.FAILED,
):
    rng = random.Random(3)
    for number in range(seconds * per_second):
        result = finding if rng.random() < fault_share else None
        note_result(fleet, SERVICE, route, {version}, ms(number / per_second), result)


def test_share_grows_and_all_boxes_agree():
    one, other = fleet_in_rollout("box-1"), fleet_in_rollout("box-2")
    shares = [entering_part(one, ms(at)) for at in (1, 11, 13, 21.8, 22.4)]
    assert shares == sorted(shares)
    assert shares[0] < 0.12 and shares[-1] == 1.0
    for number in range(100):
        name = f"s{number}"
        assert enters(one, name, ms(14)) == enters(other, name, ms(14))


def current_share(fleet: Fleet, now: int, in_session: bool) -> float:
    return entering_share(fleet, row_of(fleet), Millis(now), in_session=in_session)


def exposed_part(fleet: Fleet, in_session: bool) -> float:
    """Return the part of the order's requests that a version without faults gets."""
    step = 20
    shares = [current_share(fleet, at, in_session) for at in range(0, DURATION, step)]
    return sum(shares) * step / DURATION


KINDS = pytest.mark.parametrize("in_session", [True, False])


@KINDS
def test_version_that_never_shows_a_fault_stays_within_its_exposure(in_session):
    """A version that is bad only under load shows no faults until the full phase."""
    assert 0.14 <= exposed_part(fleet_in_rollout(), in_session) <= 0.145


@given(
    in_session=st.booleans(),
    share=st.floats(0.02, 0.6),
    slack=st.floats(0.0, 200.0),
    rate=st.floats(0.5, 5_000.0),
    underestimate=st.floats(0.65, 1.0),
)
def test_steps_keep_any_bounds_with_an_underestimated_rate(
    in_session, share, slack, rate, underestimate
):
    fleet = fleet_in_rollout()
    fleet.rollouts.bounds = ExposureBounds(share, slack)
    row = row_of(fleet)
    raise_extra_share(fleet, row, underestimate * rate, ms(11))
    requests = rate * DURATION / 1_000
    assert exposed_part(fleet, in_session) * requests <= share * requests + slack + 1.0


@KINDS
def test_few_requests_give_more_of_them_to_the_entering_version(in_session):
    """On 14 answers alone, a version passed as good and failed many requests later."""
    small, large = fleet_in_rollout(), fleet_in_rollout()
    for fleet, rate in ((small, 13.0), (large, 5_000.0)):
        fleet.rollouts.bounds = ExposureBounds(0.15, 30.0)
        raise_extra_share(fleet, row_of(fleet), rate, ms(11))
    answers = [
        13.0 * sum(current_share(fleet, ms(at), in_session) for at in range(22))
        for fleet in (small, large)
    ]
    assert answers[0] > 1.6 * answers[1]
    assert answers[0] > 30


@pytest.mark.parametrize(("in_session", "after"), [(False, 12.1), (True, 12.5)])
def test_share_does_not_change_in_the_first_half(in_session, after):
    fleet = fleet_in_rollout()
    fleet.rollouts.bounds = ExposureBounds(0.15, 30.0)
    before = current_share(fleet, ms(11), in_session)
    raise_extra_share(fleet, row_of(fleet), 5.0, ms(11))
    assert current_share(fleet, ms(11.9), in_session) == before
    raised = current_share(fleet, ms(after), in_session)
    assert raised > current_share(fleet_in_rollout(), ms(after), in_session)
    raise_extra_share(fleet, row_of(fleet), 1.0, ms(13))
    assert current_share(fleet, ms(14), in_session) == raised


@pytest.mark.parametrize("at", [9.5, 11.1, 11.9])
def test_rate_is_applied_only_while_boxes_have_time_to_agree(at):
    fleet = fleet_in_rollout()
    fleet.rollouts.bounds = ExposureBounds(0.15, 30.0)
    raise_extra_share(fleet, row_of(fleet), 5.0, ms(at))
    assert row_of(fleet).extra == 0.0


def test_sessions_enter_only_after_a_margin_past_the_first_half():
    fleet = fleet_in_rollout()
    assert [current_share(fleet, ms(at), True) for at in (0, 11.9, 12.1, 12.4)] == [
        0.0
    ] * 4
    assert 0.15 < current_share(fleet, ms(12.5), True) < 0.2
    assert current_share(fleet, ms(1), False) > 0.05


def test_box_that_hears_of_few_answers_extrapolates_its_own_rate():
    fleet = fleet_in_rollout()
    for number in range(9):
        name = BoxId(f"other-{number}")
        fleet.peers[name] = PeerRow(name, "host:1")
    for at in range(6_000, 12_000, 500):
        count_request(fleet, SERVICE, Millis(at))
    assert fleet_request_rate(fleet, row_of(fleet), ms(12)) == pytest.approx(20.0)


def test_success_waits_for_answers_while_time_is_left():
    fleet = fleet_in_rollout()
    add_answers(fleet, 2, 0.0)
    row = row_of(fleet)
    assert judge(fleet, row, ms(22.8)).verdict is Verdict.RUNNING
    assert judge(fleet, row, ms(23.4)).verdict is Verdict.SUCCEEDED


def test_session_stays_on_its_version_in_the_first_half():
    fleet = fleet_in_rollout()
    assert entering_part(fleet, ms(2)) == entering_part(fleet, ms(11.9)) == 0.0


def test_session_on_the_entering_version_stays_there_at_every_box():
    one, other = fleet_in_rollout("box-1"), fleet_in_rollout("box-2")
    sessions = [f"s{number}" for number in range(200)]
    entered = [name for name in sessions if enters(one, name, ms(12.6))]
    assert 20 < len(entered) < 60
    for at in (12.7, 15, 20, 22.2, 22.4, 23.9):
        assert all(enters(other, name, ms(at)) for name in entered)


def test_session_on_the_entering_version_is_repeated_there():
    """Sessions would change their version if repeats went to the leaving one."""
    fleet = fleet_in_rollout()
    entered = [f"s{n}" for n in range(200) if enters(fleet, f"s{n}", ms(13))]
    for name in entered:
        result = version_rule_for(fleet, SERVICE, name, "r", ms(13), failed={NEW})
        assert result.only == NEW


def test_request_of_no_session_is_repeated_on_the_leaving_version():
    fleet = fleet_in_rollout()
    result = version_rule_for(fleet, SERVICE, "", "r", ms(20), failed={NEW})
    assert result.never == {NEW}


def test_answer_begun_on_the_leaving_version_stays_there_while_the_order_runs():
    """Guards against a bad version that fails all resumptions of a stream."""
    fleet = fleet_in_rollout()
    for at in (13, 20, 23.9):
        names = [f"s{n}" for n in range(200) if enters(fleet, f"s{n}", ms(at))]
        assert names
        for name in names:
            result = version_rule_for(fleet, SERVICE, name, "r", ms(at), begun_on=OLD)
            assert result.never == {NEW}


def test_answer_begun_on_the_leaving_version_moves_if_no_worker_of_it_is_reached():
    fleet = fleet_in_rollout()
    for row in fleet.workers.rows.values():
        if row.versions == {OLD}:
            row.ejected_until = ms(30)
    result = version_rule_for(fleet, SERVICE, "s", "r", ms(23.9), begun_on=OLD)
    assert result.only == NEW


def test_answer_begun_on_the_leaving_version_moves_after_the_success():
    fleet = fleet_in_rollout()
    apply_verdict(row_of(fleet), Verdict.SUCCEEDED, "", ms(24), recorded=True)
    result = version_rule_for(fleet, SERVICE, "s", "r", ms(24), begun_on=OLD)
    assert result.only == NEW


def test_last_attempt_to_resume_an_answer_avoids_the_version_that_failed_it():
    fleet = fleet_in_rollout()
    name = next(f"s{n}" for n in range(200) if enters(fleet, f"s{n}", ms(13)))
    rules = [
        version_rule_for(
            fleet, SERVICE, name, "r", ms(13), "", {NEW}, (), begun_on, last=last
        )
        for begun_on, last in ((NEW, True), (NEW, False), (None, True))
    ]
    assert [rule.only for rule in rules] == [None, NEW, NEW]
    assert rules[0].never == {NEW}


def test_good_version_that_is_slow_under_full_load_is_not_rolled_back():
    """Without any trouble, 23 of 243 answers were slow on engines with empty caches."""
    fleet = fleet_in_rollout()
    add_answers(fleet, 14, 0.02, version=OLD, per_second=50)
    for number in range(243):
        at = ms(12 + number / 30)
        note_result(
            fleet, SERVICE, "r", {NEW}, at, Finding.SLOW if number % 10 == 0 else None
        )
    assert judge(fleet, row_of(fleet), ms(20)).verdict is Verdict.RUNNING


def test_version_several_times_slower_is_rolled_back():
    fleet = fleet_in_rollout()
    add_answers(fleet, 8, 0.03, version=OLD, per_second=50, finding=Finding.SLOW)
    add_answers(fleet, 8, 0.8, finding=Finding.SLOW)
    judgement = judge(fleet, row_of(fleet), ms(8))
    assert judgement.verdict is Verdict.ROLLED_BACK
    assert "slow" in judgement.reason


def test_entering_version_without_workers_gets_no_requests():
    fleet = fleet_in_rollout()
    fleet.workers.leaving.add("new")
    assert entering_part(fleet, ms(23)) == 0.0


@pytest.mark.parametrize("fault_share", [0.35, 0.5, 0.9])
def test_bad_version_is_rolled_back_within_seconds(fault_share):
    fleet = fleet_in_rollout()
    add_answers(fleet, 8, 0.01, version=OLD, per_second=50)
    add_answers(fleet, 8, fault_share)
    judgement = judge(fleet, row_of(fleet), ms(8))
    assert judgement.verdict is Verdict.ROLLED_BACK
    assert "answers failed" in judgement.reason


def test_version_bad_on_one_route_only_is_rolled_back():
    fleet = fleet_in_rollout()
    add_answers(fleet, 10, 0.0, route="well", per_second=10)
    add_answers(fleet, 10, 0.5, route="ill", per_second=2)
    assert judge(fleet, row_of(fleet), ms(10)).verdict is Verdict.ROLLED_BACK


def test_good_versions_are_not_rolled_back():
    rolled_back = 0
    for seed in range(200):
        fleet = fleet_in_rollout()
        rng = random.Random(seed)
        for number in range(24 * 5):
            result = Finding.FAILED if rng.random() < 0.02 else None
            note_result(fleet, SERVICE, "r", {NEW}, ms(number / 5), result)
        rolled_back += (
            judge(fleet, row_of(fleet), ms(20)).verdict is Verdict.ROLLED_BACK
        )
    assert rolled_back <= 4


def test_equal_failures_of_both_versions_do_not_roll_back():
    fleet = fleet_in_rollout()
    add_answers(fleet, 10, 0.3, version=OLD, per_second=40)
    add_answers(fleet, 10, 0.3, version=NEW)
    assert judge(fleet, row_of(fleet), ms(10)).verdict is Verdict.RUNNING


def test_good_version_succeeds_before_the_deadline():
    fleet = fleet_in_rollout()
    add_answers(fleet, 20, 0.0)
    due = update_verdict(fleet, row_of(fleet), ms(22.8))
    assert due is not None and due.verdict is Verdict.SUCCEEDED
    assert current_share(fleet, ms(22.5), True) == 1.0


def test_bad_version_gets_no_requests_before_its_verdict_is_recorded():
    fleet = fleet_in_rollout()
    add_answers(fleet, 8, 0.9)
    update_verdict(fleet, row_of(fleet), ms(8))
    assert not row_of(fleet).recorded
    assert entering_part(fleet, ms(8)) == entering_part(fleet, ms(23)) == 0.0
    assert not version_rule_for(fleet, SERVICE, "", "r", ms(23)).admits({NEW})


def test_recorded_verdict_wins_over_own():
    fleet = fleet_in_rollout()
    row = row_of(fleet)
    apply_verdict(row, Verdict.ROLLED_BACK, "own", ms(1), recorded=False)
    apply_verdict(row, Verdict.SUCCEEDED, "recorded", ms(2), recorded=True)
    assert row.verdict is Verdict.SUCCEEDED
    apply_verdict(row, Verdict.ROLLED_BACK, "late", ms(3), recorded=False)
    assert row.verdict is Verdict.SUCCEEDED


def test_boxes_record_in_turn():
    fleet = fleet_in_rollout("box-3")
    for name in ("box-1", "box-2", "box-4"):
        fleet.peers[name] = PeerRow(BoxId(name), "a", heard=ms(9))
    assert record_delay(fleet, ms(10)) == 2 * RECORD_STAGGER_MS
    assert record_delay(fleet, ms(60)) == 0


def test_newer_order_replaces_an_ended_one():
    fleet = fleet_in_rollout()
    apply_verdict(row_of(fleet), Verdict.ROLLED_BACK, "", ms(1), recorded=True)
    assert apply_order(fleet, SERVICE, VersionId("v3"), Offset(9), DURATION, ms(30))
    assert row_of(fleet).verdict is Verdict.RUNNING
    assert not apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, ms(31))


def test_rolled_back_version_gets_no_requests_under_the_next_order():
    """Its workers may still be listed, and sessions moved to them."""
    fleet = fleet_in_rollout()
    add_worker(fleet, make_worker("newer", version="v3"))
    apply_verdict(row_of(fleet), Verdict.ROLLED_BACK, "", ms(8), recorded=False)
    apply_order(fleet, SERVICE, VersionId("v3"), Offset(9), DURATION, ms(9))
    for at in (9.5, 22, 28):
        for number in range(200):
            result = version_rule_for(fleet, SERVICE, f"s{number}", "r", ms(at))
            assert not result.admits({NEW})
    apply_verdict(row_of(fleet), Verdict.ROLLED_BACK, "", ms(29), recorded=False)
    result = version_rule_for(fleet, SERVICE, "s", "r", ms(30))
    assert result.admits({OLD}) and not result.admits({NEW})


def test_version_ordered_again_is_no_longer_barred():
    fleet = fleet_in_rollout()
    apply_verdict(row_of(fleet), Verdict.ROLLED_BACK, "", ms(8), recorded=True)
    apply_order(fleet, SERVICE, VersionId("v3"), Offset(9), DURATION, ms(9))
    apply_order(fleet, SERVICE, NEW, Offset(11), DURATION, ms(20))
    assert NEW not in row_of(fleet).barred


def test_start_time_of_a_box_that_saw_the_order_wins():
    fleet = fleet_in_rollout()
    row = row_of(fleet)
    row.began, row.seen = ms(3), False
    apply_start_time(row, ms(2), seen=False)
    assert (row.began, row.seen) == (ms(2), False)
    apply_start_time(row, ms(4), seen=True)
    assert (row.began, row.seen) == (ms(4), True)
    apply_start_time(row, ms(1), seen=False)
    apply_start_time(row, ms(5), seen=True)
    assert row.began == ms(4)
    apply_start_time(row, ms(3.9), seen=True)
    assert row.began == ms(3.9)


class VerdictExchange(RuleBasedStateMachine):
    """Boxes that judge, record and exchange verdicts in any order.

    The store keeps the first verdict. Every box that learns of it must adopt it, and a
    box never changes a recorded verdict.
    """

    @initialize()
    def begin(self):
        self.boxes = [fleet_in_rollout(f"box-{n}") for n in range(3)]
        self.stored: Verdict | None = None
        self.now = 0
        self.seen: dict[int, Verdict] = {}

    @rule(step=st.integers(100, 6_000))
    def wait(self, step):
        self.now += step

    @rule(box=st.integers(0, 2), share=st.sampled_from([0.0, 0.8]))
    def answers(self, box, share):
        rng = random.Random(self.now)
        for _ in range(10):
            result = Finding.FAILED if rng.random() < share else None
            note_result(self.boxes[box], SERVICE, "r", {NEW}, self.now, result)

    @rule(box=st.integers(0, 2))
    def record(self, box):
        fleet = self.boxes[box]
        due = update_verdict(fleet, row_of(fleet), self.now)
        if due is None:
            return
        if self.stored is None:
            self.stored = due.verdict
        apply_verdict(row_of(fleet), self.stored, "", self.now, recorded=True)

    @rule(teller=st.integers(0, 2), hearer=st.integers(0, 2))
    def tell(self, teller, hearer):
        told = row_of(self.boxes[teller])
        heard = row_of(self.boxes[hearer])
        apply_verdict(
            heard, told.verdict, told.reason, self.now, recorded=told.recorded
        )

    @invariant()
    def recorded_verdicts_are_the_stores(self):
        for number, fleet in enumerate(getattr(self, "boxes", [])):
            row = row_of(fleet)
            if row.recorded:
                assert row.verdict is self.stored
                assert self.seen.setdefault(number, row.verdict) is row.verdict


VerdictExchange.TestCase.settings = settings(max_examples=60, deadline=None)
TestVerdictExchange = VerdictExchange.TestCase
