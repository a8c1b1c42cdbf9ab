"""Choice of a model by value, price and how soon larger answers come."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleet_builders import config
from fleet_builders import make_fleet
from spanshunt.ids import ModelId
from spanshunt.ids import ServiceId
from spanshunt.platform.wire import decode_catalog
from spanshunt.systems.cascading import EscalationProspect
from spanshunt.systems.cascading import RequestTokens
from spanshunt.systems.cascading import confidence_for_probability
from spanshunt.systems.cascading import engine_time_price
from spanshunt.systems.cascading import expected_quality
from spanshunt.systems.cascading import plan_models
from spanshunt.systems.cascading import probability_good
from spanshunt.systems.cascading import record_confidence
from spanshunt.systems.cascading import record_engine_gain
from spanshunt.systems.cascading import required_probability
from spanshunt.systems.cascading import update_repeat_price
from spanshunt.systems.estimating import FirstEventEstimate


def parts(rank: int = 1):
    routes = [{**config()["Routes"][0], "Priority": rank}]
    raw = msgspec.json.encode(config(Routes=routes))
    catalog = decode_catalog(raw).ok_value
    return catalog.routes[0], catalog.services[ServiceId("writer")]


IDLE = EscalationProspect(FirstEventEstimate(read_ms=100.0))


def test_smallest_is_asked_first_as_its_sureness_tells_good_answers_from_bad():
    route, service = parts(rank=0)
    tokens = RequestTokens(200, 300)
    model_plan = plan_models(make_fleet(), route, service, tokens, IDLE)
    assert model_plan.first == "small"
    assert model_plan.needed > 0.7


def test_sureness_and_likelihood_are_inverse_and_grow():
    for needed in (0.05, 0.3, 0.5, 0.8, 0.95):
        assert probability_good(confidence_for_probability(needed)) == pytest.approx(
            needed
        )
    assert probability_good(0.2) < 0.05
    assert probability_good(0.75) > 0.95


@given(st.floats(-0.5, 1.5), st.floats(-0.5, 1.5))
def test_surer_answers_are_likelier_good(one, other):
    low, high = sorted((one, other))
    assert 0.0 <= probability_good(low) <= probability_good(high) <= 1.0


def test_models_goodness_is_learned_from_what_their_opinions_mean():
    fleet = make_fleet()
    for _ in range(300):
        record_confidence(fleet, ModelId("large"), 0.8)
        record_confidence(fleet, ModelId("small"), 0.2)
    assert expected_quality(fleet, ModelId("large")) > 0.95
    assert expected_quality(fleet, ModelId("small")) < 0.1


def test_requests_of_low_rank_are_asked_of_the_smallest():
    route, service = parts(rank=2)
    tokens = RequestTokens(2_400, 22)
    model_plan = plan_models(make_fleet(), route, service, tokens, IDLE)
    assert model_plan.first == "small"
    assert model_plan.needed < 0.7


def test_worth_follows_from_prices_alone():
    """A deployment whose prices are ten times as high decides alike."""
    route, service = parts()
    dear = msgspec.structs.replace(
        service, costs={name: 10 * price for name, price in service.costs.items()}
    )
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    needed = required_probability(fleet, route, service, tokens, IDLE)
    assert needed > 0.5
    assert required_probability(fleet, route, dear, tokens, IDLE) == pytest.approx(
        needed
    )


def test_late_answers_of_the_largest_are_worth_less():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    late = EscalationProspect(FirstEventEstimate(read_ms=900.0))
    before = required_probability(fleet, route, service, tokens, IDLE)
    assert required_probability(fleet, route, service, tokens, late) < before - 0.2


def test_time_spent_before_counts_towards_the_aim():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    spent = EscalationProspect(FirstEventEstimate(read_ms=100.0), spent_ms=700)
    before = required_probability(fleet, route, service, tokens, IDLE)
    assert required_probability(fleet, route, service, tokens, spent) < before - 0.2


def test_busy_engine_lets_in_what_gains_most_for_its_time():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    long, short = (
        FirstEventEstimate(read_ms=300.0),
        FirstEventEstimate(read_ms=30.0),
    )
    for _ in range(50):
        record_engine_gain(fleet, route, service, tokens, long)
        record_engine_gain(fleet, route, service, tokens, short)
    prices = [engine_time_price(fleet, route, service, one) for one in (long, short)]
    assert prices[0] > 10 * prices[1]
    waits = [
        engine_time_price(
            fleet, route, service, FirstEventEstimate(own_wait_ms=ms, read_ms=30.0)
        )
        for ms in (0.0, 100.0, 200.0, 400.0)
    ]
    assert waits == sorted(waits)
    assert waits[-1] > 4 * waits[1]


def test_largest_model_that_is_unsure_itself_is_asked_less():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    before = required_probability(fleet, route, service, tokens, IDLE)
    for _ in range(200):
        record_confidence(fleet, ModelId("large"), 0.45)
    assert required_probability(fleet, route, service, tokens, IDLE) < before - 0.2


def test_short_budget_keeps_repeats_for_the_answers_that_gain_most():
    """Trial with BudgetRatio 0.4: repeats went to whoever came first."""
    route, service = parts()
    fleet = make_fleet()
    sizes = RequestTokens(6_000, 380), RequestTokens(600, 40)
    before = [required_probability(fleet, route, service, size, IDLE) for size in sizes]
    for _ in range(6):
        update_repeat_price(fleet, service.name, allowed=False)
    after = [required_probability(fleet, route, service, size, IDLE) for size in sizes]
    assert after[0] > before[0] - 0.2
    assert after[1] < before[1] - 0.3


def test_short_budget_asks_the_largest_at_once_where_that_gains_more():
    route, service = parts(rank=1)
    fleet, tokens = make_fleet(), RequestTokens(600, 300)
    assert plan_models(fleet, route, service, tokens, IDLE).first == "small"
    for _ in range(20):
        update_repeat_price(fleet, service.name, allowed=False)
    assert plan_models(fleet, route, service, tokens, IDLE).first == "large"


def test_repeats_cost_nothing_more_while_the_budget_allows_them():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    before = required_probability(fleet, route, service, tokens, IDLE)
    for _ in range(50):
        update_repeat_price(fleet, service.name, allowed=True)
    assert required_probability(fleet, route, service, tokens, IDLE) == before


def test_route_with_one_model_has_no_choice():
    route, service = parts()
    only = msgspec.structs.replace(route, models=(ModelId("middle"),))
    tokens = RequestTokens(1_000, 100)
    model_plan = plan_models(make_fleet(), only, service, tokens, IDLE)
    assert model_plan.first == model_plan.last == "middle"
