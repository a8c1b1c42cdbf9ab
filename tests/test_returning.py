"""Callers that are refused for lack of room, and when they are told to come back."""

import collections
import random

import pytest

from share_builders import LARGE
from share_builders import ROOM
from share_builders import SMALL
from share_builders import WEB
from share_builders import WORK_MS
from share_builders import add_waiters
from share_builders import make_boxes
from share_builders import make_waiter
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.systems.demand import Demand
from spanshunt.systems.demand import apply_answered_demands
from spanshunt.systems.demand import apply_called_demands
from spanshunt.systems.demand import demands_to_send
from spanshunt.systems.demand import record_arrival
from spanshunt.systems.returning import RefusedCall
from spanshunt.systems.returning import return_after_ms
from spanshunt.systems.returning import shorten_ms
from spanshunt.systems.returning import waiting_drain_ms
from spanshunt.tables.fleet import Fleet

WINDOW_MS = 200
ROOM_IN_WINDOW = ROOM * WINDOW_MS / WORK_MS
"""Requests for which room appears in a window, at all workers."""


def refuse(
    fleet: Fleet, org: OrgId, now: int, *, left: int = 16_000, whole: int = 16_000
) -> int | None:
    refused = RefusedCall(WEB, org, left, whole)
    return return_after_ms(fleet, refused, WORK_MS, Millis(now))


def ask(fleet: Fleet, org: OrgId, now: int, *, left: int = 16_000) -> int | None:
    """Let a request arrive and be refused."""
    record_arrival(fleet, WEB, org, WORK_MS, Millis(now))
    return refuse(fleet, org, now, left=left)


def exchange(caller: Fleet, called: Fleet, now: int) -> None:
    rows = demands_to_send(caller, {WEB}, Millis(now))
    answer = apply_called_demands(called, rows, Millis(now))
    apply_answered_demands(caller, rows, answer, Millis(now))


def most_in_window(times: list[int]) -> int:
    """Return the largest number of returns in any window."""
    ordered, most, first = sorted(times), 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("boxes", [1, 6, 30])
@pytest.mark.parametrize("seed", range(5))
def test_callers_refused_at_one_moment_come_back_as_room_appears(
    boxes: int, seed: int
) -> None:
    rng = random.Random(seed)
    fleets = make_boxes(boxes)
    returns = []
    for number in range(300):
        after = ask(rng.choice(fleets), LARGE, number // 10)
        returns.append(after)
    assert None not in returns[-50:]
    told = [after for after in returns if after is not None]
    assert most_in_window(told) <= 2 * ROOM_IN_WINDOW


def test_refused_by_boxes_that_know_all_demand_spreads_alike() -> None:
    """All workers refuse at once after their demand is known: nobody comes first."""
    fleets = make_boxes(6)
    for number in range(300):
        record_arrival(fleets[number % 6], WEB, LARGE, WORK_MS, Millis(0))
    rng = random.Random(1)
    for _ in range(20):
        for fleet in fleets:
            exchange(fleet, rng.choice([x for x in fleets if x is not fleet]), 0)
    returns = [refuse(fleets[n % 6], LARGE, 0) or 0 for n in range(276)]
    assert most_in_window(returns) <= 2 * ROOM_IN_WINDOW


def test_callers_that_come_back_as_told_are_sent_few_times() -> None:
    """Three times the room for 4 s: what is refused comes back as room appears."""
    rng = random.Random(3)
    fleets = make_boxes(6)
    due = collections.defaultdict(list)
    for at in range(0, 4_000, 20):
        due[at] += [at] * (1 if at % 100 else 6)
    sends = served = 0
    busy: list[int] = []
    for now in range(0, 30_000, 20):
        busy = [end for end in busy if end > now]
        for began in due.pop(now, []):
            sends += 1
            fleet = rng.choice(fleets)
            record_arrival(fleet, WEB, LARGE, WORK_MS, Millis(now))
            if len(busy) < ROOM:
                busy.append(now + WORK_MS)
                served += 1
                continue
            left = 12_000 - (now - began)
            after = refuse(fleet, LARGE, now, left=left, whole=12_000) or 60
            at = (now + int(min(after, left / 3)) + 19) // 20 * 20
            if at - began < 11_000:
                due[at].append(began)
    assert served >= 0.97 * 400 and sends <= 2.0 * 400


def test_returns_are_never_later_than_callers_honour() -> None:
    (fleet,) = make_boxes(1)
    for left in (100, 900, 4_000):
        for _ in range(200):
            after = ask(fleet, LARGE, 0, left=left)
            assert after is None or after <= max(20, left / 3)
        assert shorten_ms(60_000.0, RefusedCall(WEB, LARGE, left, 4_000)) <= left / 3
    assert shorten_ms(60_000.0, RefusedCall(WEB, LARGE, -5, 4_000)) == 0.0


def test_caller_that_has_waited_longer_returns_sooner() -> None:
    told = [
        shorten_ms(1_500.0, RefusedCall(WEB, LARGE, left, 12_000))
        for left in (12_000, 6_000, 3_000)
    ]
    assert told == sorted(told, reverse=True)
    assert len(set(told)) == 3


def test_without_demand_beyond_the_room_nothing_changes() -> None:
    (fleet,) = make_boxes(1)
    for at in range(0, 1_000, 50):
        record_arrival(fleet, WEB, SMALL, WORK_MS, Millis(at))
    assert refuse(fleet, SMALL, 1_000) is None
    assert refuse(make_boxes(1)[0], SMALL, 0) is None


def test_small_organisation_does_not_wait_for_the_crowd_of_a_large_one() -> None:
    (fleet,) = make_boxes(1)
    for number in range(300):
        ask(fleet, LARGE, number)
    record_arrival(fleet, WEB, SMALL, WORK_MS, Millis(300))
    assert refuse(fleet, SMALL, 300) is None
    assert (refuse(fleet, LARGE, 300) or 0) > 2_000


def test_callers_that_return_at_once_and_often_wait_longer() -> None:
    """Their arrivals count as demand, and each refusal is a place behind the others."""
    patient, abused = make_boxes(2)
    for at in range(0, 1_000, 10):
        ask(patient, LARGE, at)
        for _ in range(3):
            ask(abused, LARGE, at)
    assert (refuse(abused, LARGE, 1_000) or 0) > 2 * (
        refuse(patient, LARGE, 1_000) or 0
    )


def test_waiters_at_this_and_other_boxes_are_waited_for() -> None:
    fleet = make_boxes(6)[0]
    add_waiters(fleet, *(make_waiter(f"r-{n}") for n in range(30)))
    drain_ms = waiting_drain_ms(fleet, WEB, {}, ROOM, WORK_MS)
    assert drain_ms == pytest.approx(30 * WORK_MS / ROOM)
    others = {SMALL: Demand(total_per_s=12.0, own_per_s=4.0)}
    assert waiting_drain_ms(fleet, WEB, others, ROOM, WORK_MS) == 3 * drain_ms
    others[SMALL] = Demand(total_per_s=12.0, own_per_s=0.01)
    assert waiting_drain_ms(fleet, WEB, others, ROOM, WORK_MS) == 6 * drain_ms
    assert drain_ms / 3 <= (refuse(fleet, SMALL, 0) or 0) <= drain_ms


def test_service_without_workers_tells_nothing_beyond_what_callers_honour() -> None:
    (fleet,) = make_boxes(1)
    fleet.workers.rows.clear()
    fleet.workers.invalidate_index()
    assert refuse(fleet, SMALL, 0) is None
    assert (ask(fleet, SMALL, 0, left=3_000) or 0) <= 1_000
