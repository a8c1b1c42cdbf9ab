"""Choice of a model by value, price and how soon larger answers come."""

import msgspec

from fleet_builders import config
from fleet_builders import make_fleet
from spanshunt.ids import ModelId
from spanshunt.ids import ServiceId
from spanshunt.platform.wire import decode_catalog
from spanshunt.systems.cascading import RequestTokens
from spanshunt.systems.cascading import note_confidence
from spanshunt.systems.cascading import note_repeat_wanted
from spanshunt.systems.cascading import plan_models
from spanshunt.systems.cascading import sureness_needed
from spanshunt.systems.timing import note_first_time


def parts(rank: int = 1):
    routes = [{**config()["Routes"][0], "Priority": rank}]
    raw = msgspec.json.encode(config(Routes=routes))
    catalog = decode_catalog(raw).ok_value
    return catalog.routes[0], catalog.services[ServiceId("writer")]


def test_short_prompts_with_long_answers_go_to_the_largest_at_once():
    route, service = parts(rank=0)
    model_plan = plan_models(make_fleet(), route, service, RequestTokens(200, 300))
    assert model_plan.first == "large"


def test_long_prompts_with_short_answers_are_asked_of_the_smallest():
    route, service = parts(rank=2)
    model_plan = plan_models(make_fleet(), route, service, RequestTokens(2_400, 22))
    assert model_plan.first == "small"
    assert model_plan.needed < 0.5


def test_late_answers_of_the_largest_are_worth_less():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    before = sureness_needed(fleet, route, service, tokens)
    for _ in range(40):
        note_first_time(fleet, route, ModelId("large"), 6_000, 900.0)
    assert sureness_needed(fleet, route, service, tokens) < before - 0.2


def test_largest_model_that_is_unsure_itself_is_asked_less():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    before = sureness_needed(fleet, route, service, tokens)
    for _ in range(200):
        note_confidence(fleet, ModelId("large"), 0.5)
    assert sureness_needed(fleet, route, service, tokens) < before - 0.2


def test_short_budget_keeps_repeats_for_the_answers_that_gain_most():
    """Trial with BudgetRatio 0.4: repeats went to whoever came first."""
    route, service = parts()
    fleet = make_fleet()
    large, small = RequestTokens(6_000, 380), RequestTokens(600, 40)
    before = [sureness_needed(fleet, route, service, size) for size in (large, small)]
    for _ in range(6):
        note_repeat_wanted(fleet, service.name, allowed=False)
    after = [sureness_needed(fleet, route, service, size) for size in (large, small)]
    assert after[0] > before[0] - 0.2
    assert after[1] < before[1] - 0.3


def test_short_budget_asks_the_largest_at_once_where_that_gains_more():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(600, 300)
    assert plan_models(fleet, route, service, tokens).first == "small"
    for _ in range(20):
        note_repeat_wanted(fleet, service.name, allowed=False)
    assert plan_models(fleet, route, service, tokens).first == "large"


def test_repeats_cost_nothing_more_while_the_budget_allows_them():
    route, service = parts()
    fleet, tokens = make_fleet(), RequestTokens(6_000, 300)
    before = sureness_needed(fleet, route, service, tokens)
    for _ in range(50):
        note_repeat_wanted(fleet, service.name, allowed=True)
    assert sureness_needed(fleet, route, service, tokens) == before


def test_route_with_one_model_has_no_choice():
    route, service = parts()
    only = msgspec.structs.replace(route, models=(ModelId("middle"),))
    model_plan = plan_models(make_fleet(), only, service, RequestTokens(1_000, 100))
    assert model_plan.first == model_plan.last == "middle"
