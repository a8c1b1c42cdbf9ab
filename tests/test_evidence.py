"""Evidence on versions: its counts, their exchange and the reference."""

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
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Millis
from spanshunt.ids import ModelId
from spanshunt.ids import Offset
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.peers.news_rows import OLDER_EPOCHS_TURN_MS
from spanshunt.peers.news_rows import merge_tally_group
from spanshunt.peers.news_rows import rollout_news
from spanshunt.systems.blaming import EVIDENCE_THRESHOLD
from spanshunt.systems.blaming import Suspicion
from spanshunt.systems.blaming import current_suspicion
from spanshunt.systems.blaming import strongest_suspicion
from spanshunt.systems.exposing import full_phase_start_ms
from spanshunt.systems.ramping import apply_order
from spanshunt.systems.references import MAX_CEILINGS
from spanshunt.systems.references import build_reference
from spanshunt.systems.tallies import BEGAN
from spanshunt.systems.tallies import FAILED
from spanshunt.systems.tallies import IN_TIME
from spanshunt.systems.tallies import SAMPLED_WORKERS
from spanshunt.systems.tallies import SLOW
from spanshunt.systems.tallies import pooled_tallies
from spanshunt.systems.tallies import record_observation
from spanshunt.systems.timing import is_slow_first_byte
from spanshunt.systems.timing import is_slow_plain_work
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.catalog import RequestKind
from spanshunt.tables.catalog import RouteRow
from spanshunt.tables.catalog import ServiceRow
from spanshunt.tables.fleet import FirstByteTimes
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.rollouts import Finding
from spanshunt.tables.rollouts import RolloutRow
from spanshunt.tables.rollouts import Tally

SERVICE = ServiceId("writer")
NO_MODEL = ModelId("")
OLD, NEW = VersionId("v1"), VersionId("v2")
DURATION = ms(24)
FULL_MS = 22_340


def fleet_in_rollout(
    box: str = "box-1", domain: str = "north", workers: int = 5
) -> Fleet:
    fleet = make_fleet(box, domain)
    for number in range(workers):
        add_worker(fleet, make_worker(f"old-{number}"))
        add_worker(fleet, make_worker(f"new-{number}", version=NEW))
    apply_order(fleet, SERVICE, NEW, Offset(5), DURATION, Millis(0))
    return fleet


def row_of(fleet: Fleet) -> RolloutRow:
    return fleet.rollouts.rows[SERVICE]


def observe(
    fleet: Fleet, worker: str, at: float, observed: Tally, route: str = "r"
) -> None:
    row = fleet.workers.rows[worker]
    record_observation(fleet, SERVICE, route, row, ms(at), observed)


def add_answers(
    fleet: Fleet, kind: str, shares: list[float], begin=0.0, end=20.0, per_second=5
):
    """Count answers of which each worker of a kind fails its share."""
    rng = random.Random(7)
    for number, share in enumerate(shares):
        for step in range(int((end - begin) * per_second)):
            failed = rng.random() < share
            at = begin + step / per_second
            observe(fleet, f"{kind}-{number}", at, FAILED if failed else BEGAN)


def ceiling(fleet: Fleet, epoch: int) -> float:
    reference = build_reference(pooled_tallies(row_of(fleet)), "", Finding.FAILED, 22)
    return reference.ceiling_at(epoch)


def log_evidence(fleet: Fleet) -> float:
    return strongest_suspicion(pooled_tallies(row_of(fleet)), FULL_MS).log_evidence


class TestReference:
    """The leaving version excuses as many faults as its healthiest worker shows."""

    def test_good_leaving_version_keeps_the_floor(self):
        fleet = fleet_in_rollout()
        add_answers(fleet, "old", [0.01] * 5)
        assert ceiling(fleet, 15) == 0.1

    @pytest.mark.parametrize("failing", [1, 3, 4])
    def test_failing_workers_do_not_raise_the_ceiling(self, failing):
        fleet = fleet_in_rollout()
        add_answers(fleet, "old", [0.5] * failing + [0.0] * (5 - failing))
        assert ceiling(fleet, 15) < 0.13

    def test_faults_of_all_workers_raise_the_ceiling(self):
        fleet = fleet_in_rollout()
        add_answers(fleet, "old", [0.08] * 5)
        assert 0.11 < ceiling(fleet, 15) < 0.2

    def test_ceiling_is_at_most_a_quarter(self):
        fleet = fleet_in_rollout()
        add_answers(fleet, "old", [0.9] * 5)
        assert ceiling(fleet, 15) == MAX_CEILINGS[Finding.FAILED]

    def test_temporary_faults_raise_the_ceiling_while_they_last(self):
        fleet = fleet_in_rollout()
        add_answers(fleet, "old", [0.0] * 5, 0.0, 8.0)
        add_answers(fleet, "old", [0.3] * 5, 8.0, 13.0)
        add_answers(fleet, "old", [0.0] * 5, 13.0, 20.0)
        assert ceiling(fleet, 4) == 0.1
        assert ceiling(fleet, 10) == 0.25
        assert ceiling(fleet, 18) == 0.1

    def test_last_answers_count_when_no_newer_ones_come(self):
        fleet = fleet_in_rollout()
        add_answers(fleet, "old", [0.0] * 5, 0.0, 10.0)
        add_answers(fleet, "old", [0.3] * 5, 10.0, 15.0)
        assert ceiling(fleet, 20) == 0.25

    def test_one_failing_worker_is_no_fault_of_the_entering_version(self):
        fleet = fleet_in_rollout()
        add_answers(fleet, "old", [0.0] * 5)
        add_answers(fleet, "new", [0.9, 0.0, 0.0], 12.0, 20.0)
        assert log_evidence(fleet) < 0
        add_answers(fleet, "new", [0.9, 0.9, 0.0], 12.0, 20.0)
        assert log_evidence(fleet) > 5.0

    def test_answers_without_a_time_do_not_hide_slow_answers(self):
        fleet = fleet_in_rollout()
        for at in range(12, 20):
            for number in range(5):
                observe(fleet, f"new-{number}", at, BEGAN)
                observe(fleet, f"new-{number}", at, SLOW if number % 2 else IN_TIME)
                observe(fleet, f"new-{number}", at, BEGAN)
        found = strongest_suspicion(pooled_tallies(row_of(fleet)), FULL_MS)
        assert (found.finding, found.answers, found.faulty) == (Finding.SLOW, 40, 16)


class TestSlownessInTheFullPhase:
    """Workers without cached prompts may be slow; plain services have no prompts."""

    @staticmethod
    def suspicion(costs: dict[ModelId, float]) -> Suspicion:
        """Return the suspicion against a version slow in six of ten answers."""
        fleet = fleet_in_rollout(workers=3)
        fleet.catalog = Catalog(1, (), {SERVICE: ServiceRow(SERVICE, costs)}, ())
        for step in range(100):
            observe(fleet, f"old-{step % 3}", 2 + step / 10, BEGAN)
            observe(fleet, f"old-{step % 3}", 2 + step / 10, IN_TIME)
        full_s = full_phase_start_ms(fleet, row_of(fleet)) / 1_000
        for step in range(30):
            slow = SLOW if step % 10 < 6 else IN_TIME
            observe(fleet, f"new-{step % 3}", full_s + step / 20, BEGAN)
            observe(fleet, f"new-{step % 3}", full_s + step / 20, slow)
        return current_suspicion(fleet, row_of(fleet))

    def test_slow_version_of_a_plain_service_is_found_in_the_full_phase(self):
        """Guards against a slow version of a plain service that passes as good."""
        assert self.suspicion({}).is_proven

    def test_engines_without_cached_prompts_are_not_suspected(self):
        assert not self.suspicion({ModelId("large"): 0.2}).is_strong


class TestExchange:
    """Evidence reaches every box, late or after a restart, and is counted once."""

    def tell(self, teller: Fleet, hearer: Fleet, now: float) -> None:
        news = rollout_news(teller, row_of(teller), ms(now), hearer.identity.domain)
        for group in news.groups:
            merge_tally_group(hearer, row_of(hearer), group)
        teller_row = PeerRow(teller.identity.box, "host:1", teller.identity.domain)
        teller_row.incarnation = teller.identity.incarnation
        hearer.peers[teller.identity.box] = teller_row

    def test_box_without_news_for_long_knows_all_tallies_within_seconds(self):
        """If boxes sent only the newest three seconds, older evidence would be lost."""
        one, other = fleet_in_rollout("box-1"), fleet_in_rollout("box-2")
        add_answers(one, "new", [0.5] * 5, 0.0, 18.0)
        for turn in range(8):
            self.tell(one, other, 18.0 + turn * OLDER_EPOCHS_TURN_MS / 1_000)
        assert pooled_tallies(row_of(other)) == pooled_tallies(row_of(one))

    def test_tallies_sent_twice_count_once(self):
        one, other = fleet_in_rollout("box-1"), fleet_in_rollout("box-2", "south")
        add_answers(one, "new", [0.5] * 5, 0.0, 3.0)
        for _ in range(3):
            self.tell(one, other, 3.0)
        assert pooled_tallies(row_of(other)) == pooled_tallies(row_of(one))

    def test_restarted_box_gets_the_tallies_of_its_former_run(self):
        one, other = fleet_in_rollout("box-1"), fleet_in_rollout("box-2")
        add_answers(one, "new", [0.5] * 5, 0.0, 3.0)
        self.tell(one, other, 3.0)
        again = fleet_in_rollout("box-1")
        again.identity = again.identity.__class__(
            again.identity.box,
            again.identity.domain,
            again.identity.address,
            Incarnation("box-1.2"),
        )
        self.tell(again, other, 4.0)
        self.tell(other, again, 4.0)
        assert pooled_tallies(row_of(again)) == pooled_tallies(row_of(one))

    def test_box_of_another_domain_gets_a_sum_without_its_own_tallies(self):
        one, far = fleet_in_rollout("box-1"), fleet_in_rollout("box-9", "south")
        add_answers(one, "new", [0.5] * 5, 0.0, 2.0)
        add_answers(far, "new", [0.5] * 5, 0.0, 2.0)
        self.tell(far, one, 2.0)
        news = rollout_news(one, row_of(one), ms(2.0), DomainId("south"))
        assert [(group.domain, group.box) for group in news.groups] == [("north", "")]

    def test_boxes_sample_the_same_few_of_many_workers(self):
        one, other = (
            fleet_in_rollout("box-1", workers=60),
            fleet_in_rollout("box-2", workers=60),
        )
        for fleet in (one, other):
            for number in range(60):
                observe(fleet, f"old-{number}", 1.0, BEGAN)
        counted = set(row_of(one).own.workers)
        assert counted == set(row_of(other).own.workers)
        assert SAMPLED_WORKERS / 2 <= len(counted) <= 2 * SAMPLED_WORKERS


@given(
    share=st.floats(0.0, 0.09),
    seed=st.integers(0, 10_000),
)
@settings(max_examples=60, deadline=None)
def test_good_version_is_not_judged_bad(share, seed):
    """No version is judged bad for any of 60 random shares below the floor."""
    fleet = fleet_in_rollout()
    rng = random.Random(seed)
    for step in range(600):
        at = step / 30
        kind = "new" if at > 12 and rng.random() < 0.2 else "old"
        failed = rng.random() < share
        name = f"{kind}-{rng.randrange(5)}"
        observe(fleet, name, at, FAILED if failed else BEGAN)
    assert log_evidence(fleet) < EVIDENCE_THRESHOLD


class Pool(RuleBasedStateMachine):
    """Boxes that count, exchange tallies in any order, and restart.

    The answers that a box knows never exceed those counted. After all boxes exchanged
    everything, each knows the counts of all running boxes.
    """

    @initialize()
    def begin(self):
        self.now = 0.0
        self.runs = 0
        self.boxes = [self.start(number) for number in range(3)]
        self.counted = 0
        self.own = [0, 0, 0]

    def start(self, number):
        self.runs += 1
        fleet = fleet_in_rollout(f"box-{number}", "north" if number < 2 else "south")
        me = fleet.identity
        run = Incarnation(f"{me.box}.{self.runs}")
        fleet.identity = me.__class__(me.box, me.domain, me.address, run)
        return fleet

    @rule(box=st.integers(0, 2), worker=st.integers(0, 4), number=st.integers(1, 5))
    def answer(self, box, worker, number):
        for _ in range(number):
            observe(self.boxes[box], f"new-{worker}", self.now, BEGAN)
        self.counted += number
        self.own[box] += number

    @rule(seconds=st.floats(0.1, 3.0))
    def wait(self, seconds):
        self.now = min(20.0, self.now + seconds)

    @rule(teller=st.integers(0, 2), hearer=st.integers(0, 2))
    def tell(self, teller, hearer):
        if teller != hearer:
            TestExchange().tell(self.boxes[teller], self.boxes[hearer], self.now)

    @rule(box=st.integers(0, 2))
    def restart(self, box):
        self.boxes[box] = self.start(box)
        self.own[box] = 0

    def known(self, fleet):
        return sum(
            tally.answers for tally in pooled_tallies(row_of(fleet)).routes.values()
        )

    @invariant()
    def nothing_is_counted_twice(self):
        for number, fleet in enumerate(getattr(self, "boxes", [])):
            assert self.own[number] <= self.known(fleet) <= self.counted

    def teardown(self):
        if not hasattr(self, "boxes"):
            return
        for turn in range(20):
            for teller in self.boxes:
                for hearer in self.boxes:
                    if teller is not hearer:
                        at = self.now + turn * OLDER_EPOCHS_TURN_MS / 1_000
                        TestExchange().tell(teller, hearer, at)
        for fleet in self.boxes:
            assert self.known(fleet) >= sum(self.own)


Pool.TestCase.settings = settings(max_examples=60, deadline=None)
TestPool = Pool.TestCase


class TestSlowPlainWork:
    """Short work that takes several times as long as usual counts as slow, too."""

    ROUTE = RouteRow(
        name="r",
        host="h",
        prefix="/",
        kind=RequestKind.ONCE,
        shares=(),
        timeout_ms=Millis(1_500),
        target_latency_ms=Millis(400),
    )

    def fleet(self, answers: int = 50) -> Fleet:
        fleet = make_fleet()
        usual = FirstByteTimes(first_ms=80.0, answers=answers, median_ms=50.0)
        fleet.first_byte_times[("r", NO_MODEL)] = usual
        return fleet

    def test_short_work_several_times_slower_is_slow(self):
        """Guards against a slow version whose answers are mostly short."""
        fleet = self.fleet()
        assert is_slow_plain_work(fleet, self.ROUTE, NO_MODEL, 250.0)
        assert not is_slow_first_byte(fleet, self.ROUTE, NO_MODEL, 0, 250.0)

    def test_work_within_half_of_the_target_is_not_slow(self):
        assert not is_slow_plain_work(self.fleet(), self.ROUTE, NO_MODEL, 190.0)

    def test_nothing_is_slow_while_the_usual_time_is_unknown(self):
        fleet = self.fleet(answers=7)
        assert not is_slow_plain_work(fleet, self.ROUTE, NO_MODEL, 2_000.0)
        assert not is_slow_plain_work(make_fleet(), self.ROUTE, NO_MODEL, 2_000.0)
