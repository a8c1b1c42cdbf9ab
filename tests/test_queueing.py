"""Admission by what can be served in time, and the wait list, without a network."""

import typing as t

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import Bundle
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import consumes
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from fleet_builders import add_worker
from fleet_builders import learn_speed
from fleet_builders import make_fleet
from fleet_builders import make_prompt
from fleet_builders import make_worker
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import RequestId
from spanshunt.ids import ServiceId
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import earliest_first_event_ms
from spanshunt.systems.queueing import ANSWER_MARGIN_MS
from spanshunt.systems.queueing import DEFAULT_WAITING_BYTES
from spanshunt.systems.queueing import MEMORY_FRACTION
from spanshunt.systems.queueing import Admission
from spanshunt.systems.queueing import add_waiter
from spanshunt.systems.queueing import admit
from spanshunt.systems.queueing import expected_wait_ms
from spanshunt.systems.queueing import expired_waiters
from spanshunt.systems.queueing import latest_start
from spanshunt.systems.queueing import max_waiting_bytes
from spanshunt.systems.queueing import may_begin_in_time
from spanshunt.systems.queueing import remove_waiter
from spanshunt.systems.queueing import requests_before
from spanshunt.systems.ramping import VersionRule
from spanshunt.systems.work_times import forget_work_times
from spanshunt.systems.work_times import infer_others
from spanshunt.systems.work_times import learn_work_time
from spanshunt.systems.work_times import usual_work_ms
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_load
from spanshunt.systems.worker_room import FULL_FACTOR
from spanshunt.systems.worker_room import ServiceRoom
from spanshunt.systems.worker_room import find_room
from spanshunt.systems.worker_room import has_free_slots_everywhere
from spanshunt.systems.worker_room import record_full
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.catalog import RequestKind
from spanshunt.tables.catalog import RouteRow
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.holdings import BoxLimits
from spanshunt.tables.waiting import Waiter
from spanshunt.tables.workers import WorkerRow

NOW = Millis(10_000)
WEB = ServiceId("web")
WORK_MS = 400.0
ROUTE = RouteRow(
    name="r-look",
    host="archive.example",
    prefix="/look/",
    kind=RequestKind.REPEATABLE,
    shares=(),
    timeout_ms=Millis(4_000),
    target_latency_ms=Millis(400),
)


def make_workers(number: int, slots: int) -> list[WorkerRow]:
    """Return idle workers."""
    rows = [make_worker(f"p-{i}", service="web") for i in range(number)]
    for row in rows:
        row.slots = slots
    return rows


def make_boxes(number: int) -> Fleet:
    """Return the tables of one of some boxes."""
    fleet = make_fleet()
    for i in range(1, number):
        name = BoxId(f"peer-{i}")
        fleet.peers[name] = PeerRow(name, f"{name}:1")
    return fleet


def room_of(
    fleet: Fleet,
    rows: list[WorkerRow],
    work_ms: float = WORK_MS,
    *,
    turned_away: bool = False,
) -> ServiceRoom:
    """Return the room of some workers now."""
    return find_room(fleet, rows, work_ms, NOW, free_slots_only=turned_away)


def make_waiter(request: str, **changes: t.Any) -> Waiter:
    """Return a waiting request."""
    fields = {
        "service": WEB,
        "org": OrgId("museo"),
        "priority": 1,
        "since": NOW,
        "start_by": Millis(NOW + 1_000),
        "bytes": 100,
    }
    return Waiter(request=RequestId(request), **{**fields, **changes})


def send_all(fleet: Fleet, rows: list[WorkerRow], limit_ms: int, number: int) -> int:
    """Let a clump arrive; return how many are refused. The rest is sent or waits."""
    refused = 0
    for i in range(number):
        room = room_of(fleet, rows)
        start_by = latest_start(room, Millis(NOW + limit_ms))
        waiter = make_waiter(f"r-{i}", start_by=start_by)
        match admit(fleet, room, waiter, NOW):
            case Admission.SEND:
                open_rows = [row for row in rows if row.name not in room.full]
                min(open_rows, key=lambda row: row.inflight).inflight += 1
            case Admission.WAIT:
                add_waiter(fleet.wait_list, waiter)
            case Admission.REFUSE:
                refused += 1
    return refused


def test_clumps_of_three_on_nine_slots_neither_wait_nor_are_refused() -> None:
    fleet, rows = make_boxes(3), make_workers(3, 3)
    for _ in range(3):
        assert send_all(fleet, rows, 600, 3) == 0
    assert fleet.wait_list.count == 0
    assert sum(row.inflight for row in rows) == 9


def test_clump_of_work_for_1500_ms_waits_and_none_is_refused() -> None:
    # 24 slots, 0.4 s of work: 90 requests are 1.5 s of work, with 4 s left for each.
    fleet, rows = make_boxes(1), make_workers(6, 4)
    assert send_all(fleet, rows, 4_000, 90) == 0
    assert sum(row.inflight for row in rows) == 30
    assert fleet.wait_list.count == 60


def test_three_times_the_room_is_refused_as_it_comes() -> None:
    # With 1 s left 0.38 s remain for a wait at the box, in which 23 of 60 a second
    # start, and surely 15.
    fleet, rows = make_boxes(1), make_workers(6, 4)
    refused = send_all(fleet, rows, 1_000, 180)
    assert 13 <= fleet.wait_list.count <= 16
    assert refused == 180 - 30 - fleet.wait_list.count


def test_request_that_no_worker_can_start_in_time_is_refused_at_once() -> None:
    fleet, rows = make_boxes(1), make_workers(1, 4)
    rows[0].inflight = 6
    room = room_of(fleet, rows)
    waiter = make_waiter("r", start_by=latest_start(room, Millis(NOW + 450)))
    assert admit(fleet, room, waiter, NOW) is Admission.REFUSE


def test_room_is_not_looked_for_while_all_workers_have_free_slots() -> None:
    fleet, rows = make_boxes(6), make_workers(2, 4)
    for row in rows:
        add_worker(fleet, row)
    assert has_free_slots_everywhere(fleet, WEB)
    rows[1].inflight = 4
    assert not has_free_slots_everywhere(fleet, WEB)


def test_no_request_is_refused_or_waits_while_a_worker_has_room() -> None:
    fleet, rows = make_boxes(6), make_workers(2, 4)
    rows[0].inflight = 20
    late = make_waiter("r", start_by=Millis(NOW - 5_000))
    assert admit(fleet, room_of(fleet, rows), late, NOW) is Admission.SEND


def test_unknown_work_time_refuses_nothing_that_has_time_left() -> None:
    fleet, rows = make_boxes(1), make_workers(1, 4)
    rows[0].inflight = 6
    room = room_of(fleet, rows, work_ms=0.0)
    start_by = latest_start(room, Millis(NOW + 100))
    assert start_by == NOW + 100 - ANSWER_MARGIN_MS
    waiter = make_waiter("r", start_by=start_by)
    assert expected_wait_ms(fleet, room, waiter, Millis(0)) == 0.0
    assert admit(fleet, room, waiter, NOW) is Admission.WAIT


def test_report_of_other_boxes_counts_for_less_with_its_age() -> None:
    fleet, rows = make_boxes(6), make_workers(1, 4)
    record_load(rows[0], WorkerLoad(4, 2, 4), Millis(NOW - 400))
    assert room_of(fleet, rows).has_room
    record_load(rows[0], WorkerLoad(4, 2, 4), NOW)
    assert not room_of(fleet, rows).has_room


def test_reports_that_come_together_may_come_in_any_order() -> None:
    # Four requests end together; the report before the first end is read last.
    fleet, rows = make_boxes(1), make_workers(1, 4)
    for running, own in ((0, 4), (1, 3), (3, 1)):
        rows[0].inflight = own
        record_load(rows[0], WorkerLoad(running, 0, 4), NOW)
    rows[0].inflight = 0
    assert rows[0].others == 0
    assert send_all(fleet, rows, 1_000, 4) == fleet.wait_list.count == 0


def test_box_that_holds_its_share_trusts_old_reports_for_longer() -> None:
    fleet, rows = make_boxes(6), make_workers(1, 4)
    record_load(rows[0], WorkerLoad(4, 1, 4), Millis(NOW - 200))
    rows[0].inflight = 1
    assert not room_of(fleet, rows).has_room
    rows[0].inflight = 0
    assert room_of(fleet, rows).has_room


def test_worker_that_turned_a_request_away_is_full_whatever_it_reports() -> None:
    fleet, rows = make_boxes(1), make_workers(2, 4)
    record_load(rows[0], WorkerLoad(1, 0, 4), NOW)
    record_full(rows[0], NOW)
    assert rows[0].others == FULL_FACTOR * 4
    room = room_of(fleet, rows)
    assert room.full == {rows[0].name}
    assert room.has_room


def test_request_that_was_turned_away_needs_a_free_slot() -> None:
    # Each further arrival that is turned away uses up the retry budget of all boxes.
    fleet, rows = make_boxes(1), make_workers(1, 4)
    rows[0].inflight = 4
    assert room_of(fleet, rows).has_room
    assert not room_of(fleet, rows, turned_away=True).has_room


def test_work_time_is_learned_from_answers_without_a_queue() -> None:
    fleet, rows = make_boxes(1), make_workers(1, 4)
    for took_ms in (900.0, 700.0, 800.0):
        learn_work_time(fleet, ROUTE, rows[0], took_ms, NOW, was_free=False)
    assert usual_work_ms(fleet, ROUTE) == 700.0
    learn_work_time(fleet, ROUTE, rows[0], 400.0, NOW, was_free=True)
    assert usual_work_ms(fleet, ROUTE) == 400.0
    for _ in range(20):
        learn_work_time(fleet, ROUTE, rows[0], 900.0, NOW, was_free=False)
    assert usual_work_ms(fleet, ROUTE) == 400.0
    for _ in range(80):
        learn_work_time(fleet, ROUTE, rows[0], 200.0, NOW, was_free=True)
    assert usual_work_ms(fleet, ROUTE) == pytest.approx(200.0, rel=0.1)


def test_work_time_of_a_slow_worker_is_that_of_a_usual_one() -> None:
    fleet, rows = make_boxes(1), make_workers(1, 4)
    rows[0].speed.usual_factor = 2.0
    learn_work_time(fleet, ROUTE, rows[0], 800.0, NOW, was_free=True)
    assert usual_work_ms(fleet, ROUTE) == 400.0


def test_queue_of_a_worker_that_reports_no_load_is_inferred_from_its_answers() -> None:
    # Some services report no load; the time of an answer beyond the usual tells of it.
    fleet, rows = make_boxes(6), make_workers(1, 4)
    infer_others(fleet, ROUTE, rows[0], 800.0, NOW)
    assert rows[0].others == 0
    learn_work_time(fleet, ROUTE, rows[0], 400.0, NOW, was_free=True)
    rows[0].inflight = 2
    infer_others(fleet, ROUTE, rows[0], 800.0, NOW)
    assert rows[0].others == 6
    assert not room_of(fleet, rows).has_room
    infer_others(fleet, ROUTE, rows[0], 450.0, NOW)
    assert rows[0].others == 0


def test_worker_that_reports_its_load_is_believed_more_than_its_answers_time() -> None:
    fleet, rows = make_boxes(6), make_workers(1, 4)
    learn_work_time(fleet, ROUTE, rows[0], 400.0, NOW, was_free=True)
    record_load(rows[0], WorkerLoad(1, 0, 4), NOW)
    infer_others(fleet, ROUTE, rows[0], 1_600.0, NOW)
    assert rows[0].others == 1


def test_work_times_of_removed_routes_are_forgotten() -> None:
    fleet, rows = make_boxes(1), make_workers(1, 4)
    learn_work_time(fleet, ROUTE, rows[0], 400.0, NOW, was_free=True)
    forget_work_times(fleet)
    assert fleet.work_times
    fleet.catalog = Catalog(1, (), {}, ())
    forget_work_times(fleet)
    assert not fleet.work_times


def test_slow_worker_takes_fewer_requests_ahead_and_counts_for_less() -> None:
    fleet, rows = make_boxes(1), make_workers(2, 4)
    rows[1].speed.usual_factor = 4.0
    for row in rows:
        row.inflight = 6
    both = room_of(fleet, rows)
    fast = room_of(fleet, rows[:1])
    assert fast.starts_per_ms < both.starts_per_ms < 2 * fast.starts_per_ms


def test_only_as_many_requests_of_another_organisation_go_first() -> None:
    fleet = make_boxes(1)
    for i in range(10):
        add_waiter(fleet.wait_list, make_waiter(f"m-{i}"))
    small = make_waiter("r-0", org=OrgId("radio"))
    assert requests_before(fleet.wait_list, small) == 1
    assert requests_before(fleet.wait_list, make_waiter("m-10")) == 10
    urgent = make_waiter("r-1", org=OrgId("radio"), priority=0)
    assert requests_before(fleet.wait_list, urgent) == 0


@pytest.mark.parametrize("memory_mb", [0, 64])
def test_wait_list_is_bounded_by_memory(memory_mb: int) -> None:
    fleet, rows = make_boxes(1), make_workers(1, 4)
    fleet.limits = BoxLimits(memory_mb=memory_mb)
    bound = int(MEMORY_FRACTION * 64 * 2**20) if memory_mb else DEFAULT_WAITING_BYTES
    assert max_waiting_bytes(fleet) == bound
    rows[0].inflight = 6
    room = room_of(fleet, rows, work_ms=0.0)
    add_waiter(fleet.wait_list, make_waiter("r-0", bytes=bound - 100))
    assert admit(fleet, room, make_waiter("r-1"), NOW) is Admission.WAIT
    large = make_waiter("r-2", bytes=101)
    assert admit(fleet, room, large, NOW) is Admission.REFUSE


def test_box_that_stops_lets_requests_wait_until_it_is_about_to_end() -> None:
    fleet, rows = make_boxes(1), make_workers(1, 4)
    fleet.stopping, fleet.waits_end = True, Millis(NOW + 100)
    waiter = make_waiter("r")
    assert admit(fleet, room_of(fleet, rows), waiter, NOW) is Admission.SEND
    rows[0].inflight = 6
    assert admit(fleet, room_of(fleet, rows), waiter, NOW) is Admission.WAIT
    fleet.waits_end = NOW
    assert admit(fleet, room_of(fleet, rows), waiter, NOW) is Admission.REFUSE


def test_prompt_is_hopeless_only_if_half_of_its_time_is_too_long() -> None:
    assert may_begin_in_time(0.0, 1.0)
    assert may_begin_in_time(1_999.0, 1_000.0)
    assert not may_begin_in_time(2_001.0, 1_000.0)


def test_earliest_first_event_leaves_out_waits_that_no_box_reported() -> None:
    fleet = make_boxes(1)
    rows = [add_worker(fleet, make_worker(name)) for name in ("w-1", "w-2")]
    prompt = make_prompt(read=1_000, shared=0)
    learn_speed(fleet, "large", read_ms=0.5)
    request = PlacementRequest(
        service=rows[0].service,
        rule=VersionRule(),
        domain=rows[0].domain,
        prompt=prompt,
    )
    idle_ms = earliest_first_event_ms(fleet, request, prompt, NOW)
    assert idle_ms > 0.0
    for row in rows:
        row.unreported_prefill_ms, row.unreported_prefill_at = 5_000.0, NOW
    assert earliest_first_event_ms(fleet, request, prompt, NOW) == idle_ms
    for row in rows:
        row.prefill_ms = 3_000.0
    assert earliest_first_event_ms(fleet, request, prompt, NOW) == idle_ms + 3_000.0
    rows[1].prefill_ms = 0.0
    assert earliest_first_event_ms(fleet, request, prompt, NOW) == idle_ms


class WaitListMachine(RuleBasedStateMachine):
    """Any order of arrivals, ends and expiries leaves exact sums within the bound."""

    waiting = Bundle("waiting")

    def __init__(self) -> None:
        super().__init__()
        self.fleet = make_boxes(1)
        self.fleet.limits = BoxLimits(memory_mb=1)
        self.rows = make_workers(1, 4)
        self.rows[0].inflight = 99
        self.now = NOW
        self.number = 0
        self.ended: dict[RequestId, int] = {}
        self.known: dict[RequestId, Waiter] = {}

    @rule(
        target=waiting,
        size=st.integers(1, 90_000),
        left=st.integers(1, 3_000),
        org=st.sampled_from(["museo", "radio"]),
        priority=st.integers(0, 2),
    )
    def arrive(self, size: int, left: int, org: str, priority: int) -> RequestId:
        self.number += 1
        waiter = make_waiter(
            f"r-{self.number}",
            org=OrgId(org),
            priority=priority,
            bytes=size,
            start_by=Millis(self.now + left),
        )
        room = room_of(self.fleet, self.rows)
        self.ended[waiter.request] = 0
        if admit(self.fleet, room, waiter, self.now) is Admission.WAIT:
            add_waiter(self.fleet.wait_list, waiter)
            self.known[waiter.request] = waiter
        else:
            self.ended[waiter.request] = 1
        return waiter.request

    @rule(request=consumes(waiting), times=st.integers(1, 2))
    def end(self, request: RequestId, times: int) -> None:
        waiter = self.known.pop(request, None)
        if waiter is None:
            return
        self.ended[request] += 1
        for _ in range(times):
            remove_waiter(self.fleet.wait_list, waiter)

    @rule(step=st.integers(1, 1_000))
    def time_passes(self, step: int) -> None:
        self.now = Millis(self.now + step)
        for request in expired_waiters(self.fleet.wait_list, self.now):
            waiter = self.known.pop(request)
            self.ended[request] += 1
            remove_waiter(self.fleet.wait_list, waiter)

    @invariant()
    def sums_are_exact_and_bounded(self) -> None:
        waiting = self.fleet.wait_list
        rows = [row for group in waiting.waiters.values() for row in group.values()]
        assert waiting.count == len(rows) == len(self.known)
        assert waiting.bytes == sum(row.bytes for row in rows)
        assert 0 <= waiting.bytes <= max_waiting_bytes(self.fleet)
        assert all(waiting.waiters.values())

    @invariant()
    def each_waiter_gets_one_end(self) -> None:
        for request, ends in self.ended.items():
            assert ends == (0 if request in self.known else 1)


TestWaitList = WaitListMachine.TestCase
