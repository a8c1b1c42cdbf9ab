"""Choice of a worker by load, failure domain, prompt cache, health and leaving.

`ms` takes seconds and returns milliseconds, so ``ms(2)`` is 2,000 ms.
"""

import collections

from fleet_builders import add_worker
from fleet_builders import learn_speed
from fleet_builders import make_fleet
from fleet_builders import make_prompt
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import seeded
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.systems.estimating import Prompt
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import batch_load
from spanshunt.systems.placing import cache_owner
from spanshunt.systems.placing import choose_worker
from spanshunt.systems.ramping import VersionRule
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_answer
from spanshunt.systems.worker_health import record_load
from spanshunt.systems.worker_health import record_unreachable
from spanshunt.tables.fleet import Fleet

ANY_VERSION = VersionRule()


def make_request(**changes):
    return PlacementRequest(
        **{
            "service": ServiceId("writer"),
            "rule": ANY_VERSION,
            "domain": DomainId("north"),
            **changes,
        }
    )


def count_choices(fleet: Fleet, now: int = 0, **changes) -> collections.Counter[str]:
    rng = seeded()
    counts = collections.Counter()
    for _ in range(50):
        placement = choose_worker(fleet, make_request(**changes), now, rng)
        counts[placement.worker.name if placement else ""] += 1
    return counts


def make_fleet_of(*names: str, domain: str = "north") -> Fleet:
    fleet = make_fleet()
    for name in names:
        add_worker(fleet, make_worker(name, domain=domain))
    return fleet


def test_least_loaded_is_taken():
    fleet = make_fleet_of("a", "b")
    fleet.workers.rows["a"].inflight = 4
    assert set(count_choices(fleet)) == {"b"}


def test_own_domain_is_preferred_until_it_is_much_busier():
    fleet = make_fleet_of("near")
    far = add_worker(fleet, make_worker("far", domain="south"))
    assert set(count_choices(fleet)) == {"near"}
    fleet.workers.rows["near"].inflight = 5
    assert far.inflight == 0
    assert set(count_choices(fleet)) == {"far"}


def long_prompt(read: int = 4_000, shared: int = 3_000) -> Prompt:
    return make_prompt(read=read, shared=shared)


def test_cached_prompt_goes_to_one_worker_unless_it_is_busy():
    fleet = make_fleet_of("a", "b", "c")
    learn_speed(fleet, "large", read_ms=0.1)
    counts = count_choices(fleet, prompt=long_prompt(), target_latency_ms=ms(2))
    assert len(counts) == 1
    owner = next(iter(counts))
    fleet.workers.rows[owner].prefill_ms = 400.0
    assert owner not in count_choices(
        fleet, prompt=long_prompt(), target_latency_ms=ms(2)
    )


def test_slow_prompts_have_one_owner_in_all_and_others_one_per_domain():
    names = ("n1", "n2", "s1", "s2")
    owners = {}
    for read_ms in (0.001, 0.5):
        fleet = make_fleet_of()
        for name in names:
            domain = "north" if name.startswith("n") else "south"
            add_worker(fleet, make_worker(name, domain=domain))
        learn_speed(fleet, "large", read_ms=read_ms)
        rows = list(fleet.workers.rows.values())
        requests = [
            make_request(prompt=make_prompt(part=str(n)), target_latency_ms=ms(2))
            for n in range(40)
        ]
        owners[read_ms] = {cache_owner(fleet, rows, request) for request in requests}
    assert owners[0.001] == {"n1", "n2"}
    assert owners[0.5] == set(names)


def test_prompt_goes_to_another_engine_if_its_owner_is_busy():
    fleet = make_fleet_of("a", "b")
    learn_speed(fleet, "large", read_ms=0.1)
    owner = next(
        iter(count_choices(fleet, prompt=long_prompt(), target_latency_ms=ms(2)))
    )
    other = ({"a", "b"} - {owner}).pop()
    fleet.workers.rows[owner].peer_prefill_ms[BoxId("box-2")] = (900.0, ms(0))
    assert set(count_choices(fleet, prompt=long_prompt(), target_latency_ms=ms(2))) == {
        other
    }


def test_leaving_workers_get_no_requests_even_if_no_other_is_left():
    fleet = make_fleet_of("a")
    fleet.workers.leaving.add("a")
    assert set(count_choices(fleet)) == {""}


def test_unreached_worker_is_excluded_for_a_limited_time():
    fleet = make_fleet_of("a", "b")
    record_unreachable(fleet.workers.rows["a"], ms(1))
    assert set(count_choices(fleet, ms(1.1))) == {"b"}
    assert "a" in count_choices(fleet, ms(9))


def test_ejected_worker_is_used_if_there_is_no_other():
    fleet = make_fleet_of("a")
    record_unreachable(fleet.workers.rows["a"], ms(1))
    assert set(count_choices(fleet, ms(1.1))) == {"a"}


def test_worker_that_fails_some_answers_gets_fewer_requests():
    fleet = make_fleet_of("a", "b")
    row = fleet.workers.rows["a"]
    for number in range(20):
        record_answer(row, 50.0, good=number % 2 == 0, now=ms(1))
    counts = count_choices(fleet, ms(2))
    assert counts["b"] == 50


def test_good_answer_ends_an_ejection():
    fleet = make_fleet_of("a", "b")
    row = fleet.workers.rows["a"]
    record_unreachable(row, ms(1))
    record_answer(row, 10.0, good=True, now=ms(1.1))
    assert row.ejected_until == 0


def test_report_loses_weight_with_age_and_counts_own_requests_once():
    row = make_worker("a")
    row.inflight = 2
    record_load(row, WorkerLoad(running=6, waiting=0, slots=8), ms(1))
    fresh, old = batch_load(row, ms(1)), batch_load(row, ms(5))
    assert fresh == (2 + 4) / 8
    assert 2 / 8 <= old < 2.1 / 8


def test_version_rule_is_respected():
    fleet = make_fleet_of("old")
    add_worker(fleet, make_worker("new", version="v2"))
    v2 = VersionId("v2")
    assert set(count_choices(fleet, rule=VersionRule(only=v2))) == {"new"}
    assert set(count_choices(fleet, rule=VersionRule(never=frozenset({v2})))) == {"old"}


def test_tried_worker_is_taken_again_only_if_allowed():
    fleet = make_fleet_of("a")
    assert set(count_choices(fleet, tried={"a"})) == {""}
    assert set(count_choices(fleet, tried={"a"}, allow_tried=True)) == {"a"}
