"""Usual speeds of workers: learned from answers, shared by boxes, and forgotten."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from fleet_builders import add_worker
from fleet_builders import learn_speed
from fleet_builders import make_fleet
from fleet_builders import make_prompt
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import seeded
from spanshunt.clock import ManualClock
from spanshunt.exchange import Exchange
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.ids import ModelId
from spanshunt.ids import WorkerId
from spanshunt.peers.news import News
from spanshunt.peers.news_rows import MAX_LOADS_SENT
from spanshunt.peers.news_rows import MAX_WORKER_SPEEDS_SENT
from spanshunt.speed_news import merge_load_news
from spanshunt.systems.ending import record_worker_end
from spanshunt.systems.estimating import estimate_first_event
from spanshunt.systems.estimating import record_first_event
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.placing import batch_load
from spanshunt.systems.timing import learn_first_byte_time
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_load
from spanshunt.systems.worker_health import record_relayed_load
from spanshunt.systems.worker_speed import MAX_FACTOR
from spanshunt.systems.worker_speed import MIN_FACTOR
from spanshunt.systems.worker_speed import learn_plain_factor
from spanshunt.systems.worker_speed import learn_usual_factor
from spanshunt.systems.worker_speed import merge_usual_factor
from spanshunt.systems.worker_speed import present_slowdown
from spanshunt.systems.worker_speed import time_factor
from spanshunt.systems.worker_speed import update_slow_mark
from spanshunt.tables.catalog import RequestKind
from spanshunt.tables.catalog import RouteRow
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.worker_list import ListedWorker
from spanshunt.tables.workers import WorkerRow

NO_MODEL = ModelId("")


def make_route() -> RouteRow:
    return RouteRow(
        "r-look", "h", "/look/", RequestKind.REPEATABLE, (), Millis(1_500), Millis(300)
    )


def make_box(box: str = "box-1", workers: int = 3) -> Fleet:
    fleet = make_fleet(box)
    learn_speed(fleet, "large", read_ms=0.1)
    for number in range(workers):
        add_worker(fleet, make_worker(f"w-{number}"))
    return fleet


def answer_prompt(
    fleet: Fleet, row: WorkerRow, now: Millis, *, times: float, told: float = 1.0
) -> None:
    """Let an engine answer in a multiple of its service's usual time."""
    prompt = make_prompt(read=1_000, shared=0)
    expected = estimate_first_event(fleet, row, prompt, now, owner=False)
    usual_ms = expected.read_ms / expected.time_factor
    record_load(row, WorkerLoad(1, 0, 8, told), now)
    record_first_event(fleet, row, prompt, expected, usual_ms * times, now)


def exchange_of(fleet: Fleet, seed: int = 1) -> Exchange:
    clock, rng = ManualClock(10_000), random.Random(seed)
    return Exchange(fleet, clock, rng, lambda: None, ())


@pytest.mark.parametrize("times", [0.5, 1.6, 2.5])
def test_engine_of_another_speed_is_known_after_some_answers(times):
    fleet, noise = make_box(), seeded()
    rows = list(fleet.workers.rows.values())
    for number in range(90):
        share = 0.8 + 0.4 * noise.random()
        row = rows[number % 3]
        taken = times if row is rows[0] else 1.0
        answer_prompt(fleet, row, ms(number), times=taken * share)
    others = time_factor(rows[1], ms(99))
    assert 0.8 * times < time_factor(rows[0], ms(99)) / others < 1.25 * times


def test_time_that_the_reported_slowdown_explains_is_not_learned():
    fleet = make_box()
    row = fleet.workers.rows[WorkerId("w-0")]
    for number in range(30):
        answer_prompt(fleet, row, ms(number), times=2.5, told=2.5)
    assert 0.9 < row.speed.usual_factor < 1.1


def test_time_after_a_long_wait_or_a_cold_start_is_not_learned():
    fleet = make_box()
    waited, cold, _ = fleet.workers.rows.values()
    waited.prefill_ms = 500.0
    cold.cold_until = ms(99)
    for number in range(10):
        answer_prompt(fleet, waited, ms(number), times=9.0)
        answer_prompt(fleet, cold, ms(number), times=9.0)
    assert waited.speed.answers == cold.speed.answers == 0


def test_slow_plain_worker_is_known_after_some_answers():
    fleet, route, noise = make_box(), make_route(), seeded()
    rows = list(fleet.workers.rows.values())
    for number in range(90):
        row = rows[number % 3]
        first_ms = (300 if row is rows[0] else 100) * (0.8 + 0.4 * noise.random())
        now = ms(number)
        record_load(row, WorkerLoad(1, 0, 8, 1.0), now)
        learn_plain_factor(fleet, row, route, NO_MODEL, first_ms, 0.2, now)
        learn_first_byte_time(fleet, route, NO_MODEL, 0, first_ms)
    factors = [row.speed.usual_factor for row in rows]
    assert 2.3 < factors[0] / factors[1] < 3.7
    assert 0.8 < factors[1] / factors[2] < 1.25


def test_plain_worker_that_is_full_is_not_taken_for_slow():
    fleet, route = make_box(), make_route()
    row, other, _ = fleet.workers.rows.values()
    for number in range(30):
        now = ms(number)
        record_load(row, WorkerLoad(9, 1, 8, 1.0), now)
        learn_plain_factor(fleet, other, route, NO_MODEL, 100.0, 0.0, now)
        learn_first_byte_time(fleet, route, NO_MODEL, 0, 100.0)
        learn_plain_factor(fleet, row, route, NO_MODEL, 400.0, 1.2, now)
    assert row.speed.usual_factor == 1.0


def test_speed_of_a_worker_that_reports_no_slowdown_is_not_learned():
    """Deployments whose workers report three figures are served as before."""
    fleet, route = make_box(), make_route()
    row, engine, _ = fleet.workers.rows.values()
    for number in range(30):
        now = ms(number)
        record_load(row, WorkerLoad(1, 0, 8), now)
        learn_plain_factor(fleet, row, route, NO_MODEL, 300.0, 0.2, now)
        learn_first_byte_time(fleet, route, NO_MODEL, 0, 100.0)
        learn_usual_factor(engine, 300.0, 100.0, now)
    assert time_factor(row, ms(99)) == time_factor(engine, ms(99)) == 1.0


def test_new_run_of_a_worker_has_no_speed_yet():
    fleet = make_box(workers=1)
    row = fleet.workers.rows[WorkerId("w-0")]
    row.born, row.speed.usual_factor, row.speed.answers = ms(1), 3.0, 20
    successor = make_worker("w-0")
    successor.born = ms(50)
    apply_worker_list(fleet, [ListedWorker(successor, False)], 1, ms(51))
    assert fleet.workers.rows[WorkerId("w-0")].speed.usual_factor == 1.0
    record_worker_end(fleet, row, ms(60))
    assert row.speed.usual_factor == 1.0


def test_box_that_starts_knows_the_speeds_within_a_few_exchanges():
    known, new = make_box("box-1", 40), make_box("box-2", 40)
    for number, row in enumerate(known.workers.rows.values()):
        row.speed.usual_factor, row.speed.answers = (0.6, 1.0, 1.6)[number % 3], 30
    sender, receiver = exchange_of(known), exchange_of(new)
    for _ in range(12):
        news = sender.build_news(None)
        assert len(news.worker_speeds) == MAX_WORKER_SPEEDS_SENT
        receiver.apply_news(news)
    for name, row in known.workers.rows.items():
        learned = new.workers.rows[name].speed.usual_factor
        assert abs(learned - row.speed.usual_factor) < 0.2


def test_boxes_agree_though_gossip_goes_one_way():
    first, second = make_box("box-1", 1), make_box("box-2", 1)
    row, other = (box.workers.rows[WorkerId("w-0")] for box in (first, second))
    for number in range(20):
        record_load(row, WorkerLoad(1, 0, 8, 1.0), ms(number))
        learn_usual_factor(row, 160.0, 100.0, ms(number))
        exchange_of(second).apply_news(exchange_of(first).build_news(None))
    assert abs(other.speed.usual_factor - row.speed.usual_factor) < 0.1
    assert first.workers.rows[WorkerId("w-0")].speed.answers == 20


@pytest.mark.parametrize("factor", [0.0, -1.0, float("nan"), float("inf"), 1e9])
def test_speed_of_a_peer_that_is_wrong_has_bounded_effect(factor):
    row = make_worker("w")
    row.speed.answers = 20
    merge_usual_factor(row, factor, 1_000_000)
    assert 1.0 <= row.speed.usual_factor <= MAX_FACTOR**0.5 + 0.01
    assert row.speed.answers <= 50


def news_of_loads(fleet: Fleet, count: int = 1) -> News:
    for number in range(count):
        row = make_worker(f"w-{number:02}")
        add_worker(fleet, row)
        record_load(row, WorkerLoad(3, 1, 8, 2.5), Millis(9_000 + 10 * number))
    return exchange_of(fleet).build_news(None)


def test_newest_reports_with_a_slowdown_are_passed_on():
    fleet = make_fleet()
    plain = add_worker(fleet, make_worker("plain"))
    record_load(plain, WorkerLoad(3, 1, 8), ms(9.9))
    news = news_of_loads(fleet, 40)
    assert len(news.loads) == MAX_LOADS_SENT
    assert [item.worker for item in news.loads][:2] == ["w-39", "w-38"]
    assert "plain" not in {item.worker for item in news.loads}


def test_report_that_is_passed_on_is_taken_if_it_is_newer_and_of_the_same_run():
    news = news_of_loads(make_fleet("box-2"), 3)
    fleet = make_box(workers=0)
    newer, former, known = (
        add_worker(fleet, make_worker(f"w-{number:02}")) for number in range(3)
    )
    record_load(newer, WorkerLoad(1, 0, 8, 1.0), ms(9.5))
    former.born = ms(1)
    merge_load_news(fleet, news, ms(10))
    assert newer.speed.slowdown == 1.0
    assert former.reported_at == 0
    assert (known.reported, known.queued, known.reported_at) == (4, 1, 9_020)
    assert known.speed.slowdown == 2.5


def test_report_of_unknown_age_or_two_seconds_old_slows_nothing():
    news = news_of_loads(make_fleet("box-2"))
    fleet = make_box(workers=0)
    row = add_worker(fleet, make_worker("w-00"))
    merge_load_news(fleet, news, None)
    assert row.reported_at == 0
    merge_load_news(fleet, news, ms(10))
    assert present_slowdown(row, ms(11)) < 1.01


# Guards against own requests that are counted twice, or not at all.
@pytest.mark.parametrize(("inflight", "load"), [(0, 4), (3, 4), (4, 4), (6, 6)])
def test_own_requests_in_a_report_that_is_passed_on_count_once(inflight, load):
    row = make_worker("w")
    row.inflight = inflight
    assert record_relayed_load(row, WorkerLoad(4, 0, 8, 1.0), ms(1))
    assert batch_load(row, ms(1)) == load / 8
    row.inflight += 2
    assert batch_load(row, ms(1)) == (load + 2) / 8


def test_worker_is_logged_once_as_slow_and_once_as_usual_again():
    row = make_worker("w")
    record_load(row, WorkerLoad(1, 0, 8, 1.0), ms(1))
    changes = []
    for times in [2.5] * 30 + [1.0] * 60:
        learn_usual_factor(row, 100.0 * times, 100.0, ms(1))
        if update_slow_mark(row):
            changes.append(row.speed.slow)
    assert changes == [True, False]


class LearnedSpeeds(RuleBasedStateMachine):
    """Boxes that learn and exchange speeds; messages may come late, twice or never."""

    @initialize()
    def begin(self) -> None:
        self.now = ms(1)
        self.born = ms(1)
        self.boxes = [make_box(f"box-{number}", 0) for number in range(3)]
        self.sent: list[tuple[Millis, News]] = []
        self.answers = 0
        for fleet in self.boxes:
            self._add(fleet)

    def _add(self, fleet: Fleet) -> None:
        row = make_worker("w")
        row.born = self.born
        listed = [ListedWorker(row, False)]
        apply_worker_list(fleet, listed, fleet.workers_end, self.now)
        fleet.workers.rows[row.name].cold_until = Millis(0)

    def _row(self, box: int) -> WorkerRow:
        return self.boxes[box].workers.rows[WorkerId("w")]

    @rule(box=st.integers(0, 2), times=st.floats(0.01, 100.0))
    def answer(self, box: int, times: float) -> None:
        row = self._row(box)
        self.answers += row.born == self.born and row.speed.slowdown_at >= 0
        learn_usual_factor(row, 100.0 * times, 100.0, self.now)

    @rule(box=st.integers(0, 2), slowdown=st.floats(0.01, 100.0))
    def report(self, box: int, slowdown: float) -> None:
        record_load(self._row(box), WorkerLoad(1, 0, 8, slowdown), self.now)

    @rule(box=st.integers(0, 2))
    def send(self, box: int) -> None:
        clock = ManualClock(self.now)
        rng = random.Random(1)
        sender = Exchange(self.boxes[box], clock, rng, lambda: None, ())
        self.sent.append((self.now, sender.build_news(None)))

    @rule(box=st.integers(0, 2), pick=st.integers(0, 99))
    def receive(self, box: int, pick: int) -> None:
        if not self.sent:
            return
        at, news = self.sent[pick % len(self.sent)]
        if news.box == BoxId(f"box-{box}"):
            return
        clock = ManualClock(self.now)
        receiver = Exchange(self.boxes[box], clock, random.Random(1), lambda: None, ())
        receiver.apply_news(news, called_at=at)

    @rule()
    def restart(self) -> None:
        self.now = Millis(self.now + 1_000)
        self.born = self.now
        self.answers = 0

    @rule(box=st.integers(0, 2))
    def hear_of_restart(self, box: int) -> None:
        if self._row(box).born != self.born:
            self._add(self.boxes[box])

    @rule(age=st.integers(1, 5_000))
    def wait(self, age: int) -> None:
        self.now = Millis(self.now + age)

    @invariant()
    def speeds_are_bounded(self) -> None:
        for box in range(len(getattr(self, "boxes", ()))):
            row = self._row(box)
            assert MIN_FACTOR <= row.speed.usual_factor <= MAX_FACTOR
            assert row.speed.slowdown_at <= self.now
            assert 0.05 <= time_factor(row, self.now) <= 500.0
            assert row.speed.answers >= 0

    @invariant()
    def new_run_has_only_speeds_of_its_own(self) -> None:
        if getattr(self, "answers", 1):
            return
        for box in range(len(self.boxes)):
            row = self._row(box)
            if row.born == self.born:
                assert row.speed.usual_factor == 1.0
                assert row.speed.answers == 0


TestLearnedSpeeds = LearnedSpeeds.TestCase
TestLearnedSpeeds.settings = settings(max_examples=60, deadline=None)
