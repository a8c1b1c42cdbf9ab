"""Choice of a worker: load, distance, prompt memory, health, leaving."""

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
from spanshunt.systems.worker_health import Load
from spanshunt.systems.worker_health import note_answer
from spanshunt.systems.worker_health import note_load
from spanshunt.systems.worker_health import note_unreached
from spanshunt.tables.fleet import Fleet

ANY = VersionRule()


def wanted(**changes):
    return PlacementRequest(
        **{
            "service": ServiceId("writer"),
            "rule": ANY,
            "domain": DomainId("north"),
            **changes,
        }
    )


def chosen(fleet: Fleet, now: int = 0, **changes) -> collections.Counter[str]:
    rng = seeded()
    found = collections.Counter()
    for _ in range(50):
        placed = choose_worker(fleet, wanted(**changes), now, rng)
        found[placed.worker.name if placed else ""] += 1
    return found


def fleet_of(*names: str, domain: str = "north") -> Fleet:
    fleet = make_fleet()
    for name in names:
        add_worker(fleet, make_worker(name, domain=domain))
    return fleet


def test_least_loaded_is_taken():
    fleet = fleet_of("a", "b")
    fleet.workers.rows["a"].inflight = 4
    assert set(chosen(fleet)) == {"b"}


def test_near_is_taken_until_it_is_much_busier():
    fleet = fleet_of("near")
    far = add_worker(fleet, make_worker("far", domain="south"))
    assert set(chosen(fleet)) == {"near"}
    fleet.workers.rows["near"].inflight = 5
    assert far.inflight == 0
    assert set(chosen(fleet)) == {"far"}


def long_prompt(read: int = 4_000, shared: int = 3_000) -> Prompt:
    return make_prompt(read=read, shared=shared)


def test_prompt_memory_draws_to_one_worker_unless_it_is_busy():
    fleet = fleet_of("a", "b", "c")
    learn_speed(fleet, "large", read_ms=0.1)
    found = chosen(fleet, prompt=long_prompt(), target_latency_ms=ms(2))
    assert len(found) == 1
    owner = next(iter(found))
    fleet.workers.rows[owner].prefill_ms = 400.0
    assert owner not in chosen(fleet, prompt=long_prompt(), target_latency_ms=ms(2))


def test_prompts_dear_to_read_have_one_owner_in_all_and_others_one_a_domain():
    names = ("n1", "n2", "s1", "s2")
    owners = {}
    for read_ms in (0.001, 0.5):
        fleet = fleet_of()
        for name in names:
            domain = "north" if name.startswith("n") else "south"
            add_worker(fleet, make_worker(name, domain=domain))
        learn_speed(fleet, "large", read_ms=read_ms)
        rows = list(fleet.workers.rows.values())
        asked = [
            wanted(prompt=make_prompt(part=str(n)), target_latency_ms=ms(2))
            for n in range(40)
        ]
        owners[read_ms] = {cache_owner(fleet, rows, one) for one in asked}
    assert owners[0.001] == {"n1", "n2"}
    assert owners[0.5] == set(names)


def test_prompt_goes_where_less_waits_though_boxes_agree_on_another():
    fleet = fleet_of("a", "b")
    learn_speed(fleet, "large", read_ms=0.1)
    owner = next(iter(chosen(fleet, prompt=long_prompt(), target_latency_ms=ms(2))))
    other = ({"a", "b"} - {owner}).pop()
    fleet.workers.rows[owner].peer_prefill_ms[BoxId("box-2")] = (900.0, ms(0))
    assert set(chosen(fleet, prompt=long_prompt(), target_latency_ms=ms(2))) == {other}


def test_leaving_workers_get_nothing_even_when_no_other_is_left():
    fleet = fleet_of("a")
    fleet.workers.leaving.add("a")
    assert set(chosen(fleet)) == {""}


def test_unreached_worker_is_left_out_for_a_while_only():
    fleet = fleet_of("a", "b")
    note_unreached(fleet.workers.rows["a"], ms(1))
    assert set(chosen(fleet, ms(1.1))) == {"b"}
    assert "a" in chosen(fleet, ms(9))


def test_suspect_worker_is_better_than_none():
    fleet = fleet_of("a")
    note_unreached(fleet.workers.rows["a"], ms(1))
    assert set(chosen(fleet, ms(1.1))) == {"a"}


def test_worker_that_fails_part_of_its_answers_gets_less():
    fleet = fleet_of("a", "b")
    row = fleet.workers.rows["a"]
    for number in range(20):
        note_answer(row, 50.0, good=number % 2 == 0, now=ms(1))
    found = chosen(fleet, ms(2))
    assert found["b"] == 50


def test_good_answer_ends_a_suspicion():
    fleet = fleet_of("a", "b")
    row = fleet.workers.rows["a"]
    note_unreached(row, ms(1))
    note_answer(row, 10.0, good=True, now=ms(1.1))
    assert row.ejected_until == 0


def test_report_loses_weight_with_age_and_does_not_count_own_twice():
    row = make_worker("a")
    row.inflight = 2
    note_load(row, Load(running=6, waiting=0, slots=8), ms(1))
    fresh, old = batch_load(row, ms(1)), batch_load(row, ms(5))
    assert fresh == (2 + 4) / 8
    assert 2 / 8 <= old < 2.1 / 8


def test_version_rule_is_kept():
    fleet = fleet_of("old")
    add_worker(fleet, make_worker("new", version="v2"))
    v2 = VersionId("v2")
    assert set(chosen(fleet, rule=VersionRule(only=v2))) == {"new"}
    assert set(chosen(fleet, rule=VersionRule(never=frozenset({v2})))) == {"old"}


def test_worker_tried_already_is_taken_again_only_where_that_is_allowed():
    fleet = fleet_of("a")
    assert set(chosen(fleet, tried={"a"})) == {""}
    assert set(chosen(fleet, tried={"a"}, allow_tried=True)) == {"a"}
