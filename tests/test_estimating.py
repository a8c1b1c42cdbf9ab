"""Estimate of the first event: bounds, learning and reports of other boxes.

`ms` takes seconds and returns milliseconds, so ``ms(2)`` is 2,000 ms. `record_answer`
takes its time `now` in seconds, too; other plain numbers of a time are milliseconds.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleet_builders import add_worker
from fleet_builders import learn_speed
from fleet_builders import make_fleet
from fleet_builders import make_prompt
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import ModelId
from spanshunt.ids import ServiceId
from spanshunt.systems.estimating import LOWEST_URGENCY
from spanshunt.systems.estimating import REPORT_PREFILL_FOR_MS
from spanshunt.systems.estimating import FirstEventEstimate
from spanshunt.systems.estimating import apply_peer_prefill
from spanshunt.systems.estimating import estimate_first_event
from spanshunt.systems.estimating import expire_peer_prefill
from spanshunt.systems.estimating import merge_prefill_speed
from spanshunt.systems.estimating import prefill_speed
from spanshunt.systems.estimating import record_first_event
from spanshunt.systems.estimating import record_sent_prompt
from spanshunt.systems.estimating import reportable_prefills
from spanshunt.systems.estimating import urgency_of
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import choose_worker
from spanshunt.systems.ramping import VersionRule
from spanshunt.tables.engines import PrefillSpeed
from spanshunt.tables.engines import PromptPart

OWN = PromptPart("own", 1_000)


def make_fleet_with_worker(read_ms: float | None = 0.1):
    fleet = make_fleet()
    row = add_worker(fleet, make_worker("a"))
    if read_ms is not None:
        learn_speed(fleet, "large", read_ms=read_ms)
    return fleet, row


def record_answer(fleet, row, prompt, first_ms, now):
    expected = estimate_first_event(fleet, row, prompt, ms(now), owner=False)
    record_first_event(fleet, row, prompt, expected, first_ms, ms(now))


@given(
    read=st.integers(0, 60_000),
    shared=st.integers(0, 60_000),
    queued_ms=st.floats(0, 1e5),
    reported=st.floats(0, 1e5),
    now=st.integers(0, 10_000),
)
def test_estimate_is_never_negative_and_grows_with_the_queue(
    read, shared, queued_ms, reported, now
):
    fleet, row = make_fleet_with_worker()
    prompt = make_prompt(read=read, shared=min(read, shared))
    idle = estimate_first_event(fleet, row, prompt, now, owner=False)
    row.prefill_ms = queued_ms
    row.peer_prefill_ms[BoxId("box-2")] = (reported, ms(0))
    busy = estimate_first_event(fleet, row, prompt, now, owner=False)
    assert 0.0 <= idle.first_ms <= busy.first_ms
    assert busy.own_wait_ms == queued_ms


@given(st.integers(0, 40_000), st.integers(0, 40_000))
def test_estimate_grows_with_the_prompt(one, other):
    fleet, row = make_fleet_with_worker()
    estimates = [
        estimate_first_event(
            fleet, row, make_prompt(read=read, shared=0), ms(0), owner=False
        )
        for read in sorted((one, other))
    ]
    assert estimates[0].read_ms <= estimates[1].read_ms


def test_cached_prompt_needs_no_prefill():
    fleet, row = make_fleet_with_worker()
    prompt = make_prompt(read=4_000, shared=3_000)
    cold = estimate_first_event(fleet, row, prompt, ms(0), owner=False)
    record_sent_prompt(fleet, row, prompt, OWN, ms(0))
    warm = estimate_first_event(fleet, row, prompt, ms(0), owner=False)
    assert (cold.unread, warm.unread) == (4_000, 1_000)


@pytest.mark.parametrize("factor", [0.5, 2.0])
def test_speed_adapts_quickly_when_engines_change(factor):
    """Twenty answers suffice; a small fleet gives them in a second or two."""
    fleet, row = make_fleet_with_worker(read_ms=0.05)
    rng = random.Random(3)
    for number in range(40):
        prompt = make_prompt(read=rng.randint(2_000, 20_000), shared=0)
        first_ms = 10.0 + 0.05 * factor * prompt.read * rng.uniform(0.9, 1.2)
        row.unreported_prefill_ms = 0.0
        record_answer(fleet, row, prompt, first_ms, number)
    speed = prefill_speed(fleet, prompt.service, prompt.model)
    assert speed.read_ms == pytest.approx(0.05 * factor, rel=0.25)


def test_unreported_wait_does_not_count_as_slow_prefill():
    fleet, row = make_fleet_with_worker(read_ms=0.05)
    prompt = make_prompt(read=4_000, shared=0)
    rng = random.Random(5)
    for number in range(200):
        row.unreported_prefill_ms = 0.0
        late = 900.0 if rng.random() < 0.25 else 0.0
        record_answer(fleet, row, prompt, 210.0 + late, number)
    speed = prefill_speed(fleet, prompt.service, prompt.model)
    assert speed.read_ms * 4_000 + speed.base_ms == pytest.approx(210.0, rel=0.3)


def test_late_answer_adds_unreported_wait_that_decays():
    fleet, row = make_fleet_with_worker()
    prompt = make_prompt(read=2_000, shared=0)
    record_answer(fleet, row, prompt, 1_500.0, 1)
    soon = estimate_first_event(fleet, row, prompt, ms(1), owner=False)
    later = estimate_first_event(fleet, row, prompt, ms(9), owner=False)
    assert soon.others_wait_ms > 500.0
    assert later.others_wait_ms < 50.0


def test_wait_reported_by_a_peer_elapses():
    fleet, row = make_fleet_with_worker()
    row.peer_prefill_ms[BoxId("box-2")] = (800.0, ms(1))
    prompt = make_prompt()
    waits = [
        estimate_first_event(fleet, row, prompt, ms(at), owner=False).wait_ms
        for at in (1, 1.5, 2)
    ]
    assert waits == [800.0, 300.0, 0.0]


def test_report_of_a_box_that_is_gone_expires():
    fleet, row = make_fleet_with_worker()
    row.peer_prefill_ms[BoxId("gone")] = (800.0, ms(1))
    expire_peer_prefill(fleet, ms(1.5))
    assert row.peer_prefill_ms
    expire_peer_prefill(fleet, ms(2))
    assert not row.peer_prefill_ms


def test_speed_of_an_unknown_model_is_scaled_by_price():
    fleet, _ = make_fleet_with_worker(read_ms=None)
    prompt = make_prompt("large")
    assert prefill_speed(fleet, prompt.service, prompt.model).read_ms == 0.0
    learn_speed(fleet, "small", read_ms=0.01)
    assert prefill_speed(fleet, prompt.service, prompt.model).read_ms == pytest.approx(
        0.2
    )


def test_boxes_converge_on_a_speed_and_a_new_box_adopts_it():
    fleet, _ = make_fleet_with_worker(read_ms=0.1)
    key = (ServiceId("writer"), ModelId("large"))
    for _ in range(30):
        merge_prefill_speed(fleet, *key, PrefillSpeed(0.2, 30.0))
    assert fleet.prefill_speeds[key].read_ms == pytest.approx(0.2, rel=0.05)
    fresh = make_fleet()
    merge_prefill_speed(fresh, *key, PrefillSpeed(0.2, 30.0))
    assert fresh.prefill_speeds[key].read_ms == 0.2


def test_reported_prefill_is_known_to_the_peer():
    fleet, row = make_fleet_with_worker()
    prompt = make_prompt(read=4_000, shared=3_000)
    record_sent_prompt(fleet, row, prompt, OWN, ms(1))
    (prefill,) = reportable_prefills(fleet, ms(1))
    other, other_row = make_fleet_with_worker()
    apply_peer_prefill(other, prefill)
    estimate = estimate_first_event(other, other_row, prompt, ms(1), owner=False)
    assert estimate.unread == 1_000
    assert reportable_prefills(fleet, ms(1) + REPORT_PREFILL_FOR_MS) == ()


def test_quick_prefills_are_not_reported():
    fleet, row = make_fleet_with_worker(read_ms=0.001)
    record_sent_prompt(fleet, row, make_prompt(), OWN, ms(1))
    assert reportable_prefills(fleet, ms(1)) == ()


def test_unseen_cache_rate_of_the_owner_is_learned():
    fleet, row = make_fleet_with_worker()
    prompt = make_prompt(read=4_000, shared=3_000)
    for number in range(60):
        row.unreported_prefill_ms = 0.0
        row.kept.parts.clear()
        expected = estimate_first_event(fleet, row, prompt, ms(number), owner=True)
        assert expected.unseen
        record_first_event(fleet, row, prompt, expected, 110.0, ms(number))
    estimate = estimate_first_event(fleet, row, prompt, ms(99), owner=True)
    assert estimate.unread < 1_300


def test_shorter_prefill_is_more_urgent():
    steps = [
        urgency_of(FirstEventEstimate(read_ms=read), 4_000)
        for read in (5, 50, 500, 5_000)
    ]
    assert steps == sorted(steps)
    assert len(set(steps)) == 4
    assert steps[-1] == LOWEST_URGENCY


def test_urgent_prompt_goes_first_unless_it_is_much_longer():
    """Guards against long prompts of the highest priority that are served worst."""
    urgent = urgency_of(FirstEventEstimate(read_ms=400), 3_000)
    as_long = urgency_of(FirstEventEstimate(read_ms=400), 3_000, steps_below=1)
    half = urgency_of(FirstEventEstimate(read_ms=200), 3_000, steps_below=2)
    short = urgency_of(FirstEventEstimate(read_ms=10), 3_000, steps_below=2)
    assert urgent < as_long
    assert urgent < half
    assert short < urgent


def test_prompt_of_a_low_priority_has_a_level_that_engines_know():
    longest = urgency_of(FirstEventEstimate(read_ms=9_000), 3_000, steps_below=9)
    assert longest == LOWEST_URGENCY


@pytest.mark.parametrize("boxes", [6, 91])
def test_boxes_with_the_same_view_spread_over_engines(boxes):
    counts: dict[str, int] = {}
    for number in range(boxes):
        fleet = make_fleet(f"box-{number}")
        learn_speed(fleet, "large", read_ms=0.1)
        for name in "abcdef":
            add_worker(fleet, make_worker(name))
        request = PlacementRequest(
            service=ServiceId("writer"),
            rule=VersionRule(),
            domain=DomainId("north"),
            prompt=make_prompt(shared=0),
            target_latency_ms=ms(2),
        )
        placement = choose_worker(fleet, request, ms(1), random.Random(number))
        counts[placement.worker.name] = counts.get(placement.worker.name, 0) + 1
    assert max(counts.values()) <= max(3, 0.35 * boxes)
