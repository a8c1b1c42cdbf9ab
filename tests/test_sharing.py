"""Shares of organisations in a service that is short of room, and who starts next."""

import collections
import math
import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from share_builders import LARGE
from share_builders import ORGS
from share_builders import ROOM
from share_builders import SMALL
from share_builders import WEB
from share_builders import WORK_MS
from share_builders import add_waiters
from share_builders import arrive
from share_builders import exchange
from share_builders import make_boxes
from share_builders import make_waiter
from share_builders import next_waiter
from share_builders import overload
from spanshunt.ids import DomainId
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.ids import OrgId
from spanshunt.ids import WorkerId
from spanshunt.systems.averaging import AVERAGING_MS
from spanshunt.systems.demand import MAX_DEMANDS_SENT
from spanshunt.systems.demand import MAX_ORG_ROWS
from spanshunt.systems.demand import OTHER_ORGS
from spanshunt.systems.demand import apply_answered_demands
from spanshunt.systems.demand import apply_called_demands
from spanshunt.systems.demand import demands_to_send
from spanshunt.systems.demand import expire_demands
from spanshunt.systems.demand import record_arrival
from spanshunt.systems.demand import service_demands
from spanshunt.systems.queueing import expected_wait_ms
from spanshunt.systems.queueing import remove_waiter
from spanshunt.systems.sharing import LIMIT_PART
from spanshunt.systems.sharing import MAX_BOX_PART
from spanshunt.systems.sharing import MAX_DEBT_MS
from spanshunt.systems.sharing import SHARE_HELD_MS
from spanshunt.systems.sharing import ShareChange
from spanshunt.systems.sharing import charge_start
from spanshunt.systems.sharing import is_over_share
from spanshunt.systems.sharing import max_min_shares
from spanshunt.systems.sharing import org_share
from spanshunt.systems.sharing import own_waiters_before
from spanshunt.systems.sharing import service_room
from spanshunt.systems.sharing import services_short_of_room
from spanshunt.systems.sharing import update_shares
from spanshunt.systems.sharing import waiters_before
from spanshunt.systems.worker_room import ServiceRoom
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.fleet import EvacuationRow
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.waiting import Waiter


def gossip(boxes: list[Fleet], now: int, rounds: int = 8) -> None:
    rng = random.Random(1)
    for _ in range(rounds):
        for fleet in boxes:
            exchange(fleet, rng.choice([x for x in boxes if x is not fleet]), now)


def starts_in_order(fleet: Fleet, now: int) -> list[Waiter]:
    """Return all waiters in the order in which they get room, and remove them."""
    started = []
    while waiter := next_waiter(fleet, WEB, Millis(now)):
        remove_waiter(fleet.wait_list, waiter)
        started.append(waiter)
    return started


@given(
    st.floats(0.0, 1e4),
    st.dictionaries(st.sampled_from(ORGS), st.floats(0.0, 1e4), max_size=6),
)
def test_max_min_shares_use_the_room_and_exceed_no_demand(
    room: float, demands: dict[OrgId, float]
) -> None:
    shares = max_min_shares(room, demands)
    assert shares.keys() == demands.keys()
    assert all(0.0 <= shares[org] <= demands[org] for org in demands)
    asked = sum(demands.values())
    assert math.isclose(sum(shares.values()), min(room, asked), abs_tol=1e-6)
    level = max(shares.values(), default=0.0)
    for org in demands:
        assert shares[org] >= min(demands[org], level) - 1e-6


def test_organisation_at_seven_and_a_half_times_leaves_the_others_what_they_ask() -> (
    None
):
    usual = 0.8 * ROOM / 6
    demands = dict.fromkeys(ORGS, usual) | {ORGS[0]: 7.5 * usual}
    shares = max_min_shares(ROOM, demands)
    assert all(shares[org] == usual for org in ORGS[1:])
    assert shares[ORGS[0]] == pytest.approx(ROOM - 5 * usual)


def test_boxes_soon_hold_the_mean_of_all_boxes() -> None:
    """One box sees all requests of an organisation, the others none."""
    boxes = make_boxes(12)
    overload(boxes[3])
    for fleet in boxes:
        add_waiters(fleet, make_waiter("r-1"))
    gossip(boxes, 5_000, 20)
    own = service_demands(boxes[3], WEB, Millis(5_000))[LARGE].own_per_s
    for fleet in boxes:
        total = service_demands(fleet, WEB, Millis(5_000))[LARGE].total_per_s
        assert total == pytest.approx(own, rel=0.15)


def test_lost_answers_are_forgotten_within_a_few_seconds() -> None:
    boxes = make_boxes(4)
    overload(boxes[0])
    for _ in range(20):
        exchange(boxes[0], boxes[1], 5_000, answered=False)
    for fleet in boxes:
        for (service, org), row in fleet.org_demands.items():
            assert 0.0 <= row.per_s <= 1.5 * ROOM * 2, (service, org)
    later = 5_000 + 12 * AVERAGING_MS
    for fleet in boxes:
        expire_demands(fleet, Millis(later))
        assert not fleet.org_demands


def test_answer_to_a_call_in_which_the_peer_named_nothing_changes_nothing() -> None:
    """A box of an older version answers without demands."""
    (fleet,) = make_boxes(1)
    overload(fleet)
    before = service_demands(fleet, WEB, Millis(5_000))
    rows = demands_to_send(fleet, {WEB}, Millis(5_000))
    apply_answered_demands(fleet, rows, [], Millis(5_000))
    apply_answered_demands(fleet, [], rows, Millis(5_000))
    assert service_demands(fleet, WEB, Millis(5_000)) == before


@pytest.mark.parametrize("per_s", [-1.0, math.nan, math.inf, 1e12])
def test_demand_that_is_not_credible_is_left_out(per_s: float) -> None:
    (fleet,) = make_boxes(1)
    assert not apply_called_demands(fleet, [((WEB, SMALL), per_s)], Millis(0))
    assert not fleet.org_demands


def test_rows_and_messages_are_bounded() -> None:
    (fleet,) = make_boxes(1)
    for number in range(200):
        org = OrgId(f"org-{number}")
        for _ in range(number + 1):
            record_arrival(fleet, WEB, org, WORK_MS, Millis(0))
    assert len(fleet.org_demands) == MAX_ORG_ROWS + 1
    sent = demands_to_send(fleet, {WEB}, Millis(0))
    assert len(sent) == MAX_DEMANDS_SENT
    assert sent[0][0] == (WEB, OTHER_ORGS)
    strangers = [((WEB, OrgId(f"new-{n}")), 1.0) for n in range(100)]
    assert not apply_called_demands(fleet, strangers, Millis(0))
    assert len(fleet.org_demands) == MAX_ORG_ROWS + 1


def test_organisations_without_a_row_have_the_common_share() -> None:
    (fleet,) = make_boxes(1)
    for number in range(MAX_ORG_ROWS):
        record_arrival(fleet, WEB, OrgId(f"org-{number}"), 1, Millis(5_000))
    arrive(fleet, SMALL, 200.0, 5_000, 5_000)
    update_shares(fleet, Millis(5_000))
    assert org_share(fleet, WEB, SMALL) is fleet.service_shares[WEB].orgs[OTHER_ORGS]
    assert org_share(fleet, WEB, OrgId("org-1")) is None


def test_nothing_acts_while_there_is_room() -> None:
    """A clump of waiters at little demand is ordered by priority and time alone."""
    boxes = make_boxes(3)
    for fleet in boxes:
        arrive(fleet, LARGE, 0.5 * ROOM * 1_000 / WORK_MS / 3, 5_000, 5_000)
        assert not update_shares(fleet, Millis(5_000))
        assert not services_short_of_room(fleet, Millis(5_000))
        assert not fleet.service_shares
        charge_start(fleet, WEB, LARGE, WORK_MS, Millis(5_000))
        assert not is_over_share(fleet, WEB, LARGE, Millis(5_000))
    add_waiters(
        boxes[0],
        make_waiter("later", LARGE, start_by=3_000),
        make_waiter("sooner", LARGE, start_by=2_000),
        make_waiter("other", SMALL, start_by=2_500),
    )
    order = [row.request for row in starts_in_order(boxes[0], 0)]
    assert order == ["sooner", "other", "later"]


def test_service_without_learned_times_shares_nothing() -> None:
    (fleet,) = make_boxes(1)
    for _ in range(1_000):
        record_arrival(fleet, WEB, LARGE, 0.0, Millis(0))
    assert not update_shares(fleet, Millis(0))


def test_waiter_within_its_share_goes_before_one_over_it() -> None:
    (fleet,) = make_boxes(1)
    overload(fleet)
    record_arrival(fleet, WEB, SMALL, WORK_MS, Millis(5_000))
    for _ in range(40):
        charge_start(fleet, WEB, LARGE, WORK_MS, Millis(5_000))
    large = make_waiter("large", LARGE, start_by=6_000)
    add_waiters(fleet, large)
    assert next_waiter(fleet, WEB, Millis(5_000)) is large, "idle room is used"
    small = make_waiter("small", SMALL, start_by=9_000)
    add_waiters(fleet, small)
    assert next_waiter(fleet, WEB, Millis(5_000)) is small
    assert is_over_share(fleet, WEB, LARGE, Millis(5_000))
    assert not is_over_share(fleet, WEB, LARGE, Millis(5_000 + MAX_DEBT_MS))


def test_use_of_room_that_others_leave_is_soon_forgiven() -> None:
    (fleet,) = make_boxes(1)
    overload(fleet)
    for _ in range(1_000):
        charge_start(fleet, WEB, LARGE, WORK_MS, Millis(5_000))
    share = org_share(fleet, WEB, LARGE)
    assert share is not None
    assert share.next_start_at <= 5_000 + MAX_DEBT_MS


def test_pace_follows_the_part_of_the_demand_that_this_box_sees() -> None:
    """Two boxes see demand as 3 to 1; together they give the share."""
    boxes = make_boxes(2)
    arrive(boxes[0], LARGE, 90.0, 5_000, 5_000)
    arrive(boxes[1], LARGE, 30.0, 5_000, 5_000)
    gossip(boxes, 5_000, 20)
    for fleet in boxes:
        update_shares(fleet, Millis(5_000))
    paces = [fleet.service_shares[WEB].orgs[LARGE].pace_per_s for fleet in boxes]
    assert sum(paces) == pytest.approx(ROOM, rel=0.05)
    assert paces[0] == pytest.approx(3 * paces[1], rel=0.1)


@pytest.mark.parametrize("cut", ["both ways", "answers", "never"])
def test_paces_stay_bounded_when_gossip_is_cut(cut: str) -> None:
    boxes = make_boxes(6)
    for now in range(400, 8_000, 400):
        for fleet in boxes:
            arrive(fleet, LARGE, 30.0, now, 400)
        for index, fleet in enumerate(boxes):
            other = boxes[(index + 1) % 6]
            if cut == "never" or now < 2_000:
                exchange(fleet, other, now)
            elif cut == "answers":
                exchange(fleet, other, now, answered=False)
    for fleet in boxes:
        update_shares(fleet, Millis(7_600))
    total = sum(
        fleet.service_shares[WEB].orgs[LARGE].pace_per_s
        for fleet in boxes
        if WEB in fleet.service_shares
    )
    assert 0.5 * ROOM <= total <= 1.2 * ROOM


def test_box_that_ends_is_replaced_by_the_others_demand() -> None:
    """The demand of a box that ended decays, and its callers arrive at the others."""
    boxes = make_boxes(3)
    for fleet in boxes:
        arrive(fleet, LARGE, 60.0, 5_000, 5_000)
    gossip(boxes, 5_000)
    live = boxes[:2]
    for now in range(5_400, 10_000, 400):
        for fleet in live:
            arrive(fleet, LARGE, 90.0, now, 400)
            fleet.peers.pop(boxes[2].identity.box, None)
        gossip(live, now, 1)
    for fleet in live:
        update_shares(fleet, Millis(9_800))
    total = sum(fleet.service_shares[WEB].orgs[LARGE].pace_per_s for fleet in live)
    assert total == pytest.approx(ROOM, rel=0.1)


def test_workers_that_leave_under_load_shrink_the_shares() -> None:
    (fleet,) = make_boxes(1)
    overload(fleet)
    share = fleet.service_shares[WEB].orgs[LARGE]
    assert share.share_per_s == pytest.approx(ROOM)
    fleet.workers.leaving.add(WorkerId("w-0"))
    update_shares(fleet, Millis(5_010))
    assert share.share_per_s == pytest.approx(ROOM * 5 / 6)
    north = DomainId("north")
    fleet.evacuations[north] = EvacuationRow(north, Offset(1), active=True)
    assert service_room(fleet, WEB, Millis(5_020)) == 0.0
    update_shares(fleet, Millis(5_020))
    assert share.share_per_s == 0.0
    add_waiters(fleet, make_waiter("r-1", LARGE))
    charge_start(fleet, WEB, LARGE, WORK_MS, Millis(5_020))
    assert next_waiter(fleet, WEB, Millis(5_020)) is not None


def test_slots_of_slow_workers_count_less() -> None:
    (fleet,) = make_boxes(1)
    row = fleet.workers.rows[WorkerId("w-0")]
    row.speed.usual_factor = 2.0
    assert service_room(fleet, WEB, Millis(0)) == ROOM - row.slots / 2


def test_shares_come_into_force_and_end_once() -> None:
    (fleet,) = make_boxes(1)
    arrive(fleet, LARGE, 2 * ROOM * 1_000 / WORK_MS, 5_000, 5_000)
    began = update_shares(fleet, Millis(5_000))
    assert [(event.change, event.org) for event in began] == [
        (ShareChange.BEGAN, LARGE)
    ]
    assert not update_shares(fleet, Millis(5_100))
    calm = 5_000 + AVERAGING_MS
    assert not update_shares(fleet, Millis(calm))
    assert not is_over_share(fleet, WEB, LARGE, Millis(calm)), "lifted at once"
    ended = update_shares(fleet, Millis(calm + SHARE_HELD_MS))
    assert [event.change for event in ended] == [ShareChange.ENDED]
    assert not fleet.service_shares


def test_priorities_go_in_order_and_none_is_starved() -> None:
    """A less urgent kind of which a part goes first, but never more than of others."""
    (fleet,) = make_boxes(1)
    fleet.catalog = Catalog(1, (), {}, (), highest_priority={WEB: 0})
    rng = random.Random(4)
    for number in range(200):
        start_by = rng.randrange(1_000, 2_000)
        urgent = make_waiter(f"urgent-{number}", priority=0, start_by=start_by)
        normal = make_waiter(f"normal-{number}", priority=1, start_by=start_by)
        late = make_waiter(f"late-{number}", priority=2, start_by=start_by)
        add_waiters(fleet, urgent, normal, late)
    order = starts_in_order(fleet, 0)
    served = collections.Counter(row.priority for row in order[:300])
    assert served[0] >= served[1] >= served[2] > 0
    assert served[1] >= 200 / 8


def test_of_one_priority_the_one_with_the_least_time_left_goes_first() -> None:
    """One that came back has waited longer than a newcomer, and has less time left."""
    (fleet,) = make_boxes(1)
    returned = make_waiter("returned", since=3_000, start_by=4_000)
    newcomer = make_waiter("newcomer", since=2_900, start_by=6_900)
    add_waiters(fleet, newcomer, returned)
    assert next_waiter(fleet, WEB, Millis(3_000)) is returned


def test_wait_of_an_organisation_with_a_share_is_that_for_its_own_requests() -> None:
    (fleet,) = make_boxes(1)
    overload(fleet)
    add_waiters(fleet, *(make_waiter(f"r-{n}", LARGE) for n in range(30)))
    newcomer = make_waiter("new", LARGE, start_by=5_000)
    small = make_waiter("small", SMALL, start_by=5_000)
    at = Millis(5_000)
    room = ServiceRoom(frozenset(), False, WORK_MS, 0.0, ROOM / WORK_MS)
    assert own_waiters_before(fleet, newcomer) == 30
    assert expected_wait_ms(fleet, room, newcomer, at) >= 30 * WORK_MS / ROOM
    assert expected_wait_ms(fleet, room, small, at) < 10 * WORK_MS / ROOM
    assert waiters_before(fleet, newcomer, at) == 30
    assert waiters_before(fleet, small, at) == 0


class SharesOfBoxes(RuleBasedStateMachine):
    """Boxes that exchange demands or do not, while the room changes."""

    def __init__(self) -> None:
        super().__init__()
        self.boxes = make_boxes(4)
        self.now = 0

    @rule(
        box=st.integers(0, 3),
        org=st.sampled_from(ORGS),
        count=st.integers(1, 200),
        work_ms=st.sampled_from((0, 20, WORK_MS, 4_000)),
    )
    def requests_arrive(self, box: int, org: OrgId, count: int, work_ms: int) -> None:
        for _ in range(count):
            record_arrival(self.boxes[box], WEB, org, work_ms, Millis(self.now))

    @rule(caller=st.integers(0, 3), called=st.integers(0, 3), answered=st.booleans())
    def box_calls(self, caller: int, called: int, answered: bool) -> None:
        if caller != called:
            exchange(
                self.boxes[caller], self.boxes[called], self.now, answered=answered
            )

    @rule(caller=st.integers(0, 3))
    def box_has_three_calls_under_way(self, caller: int) -> None:
        fleet, at = self.boxes[caller], Millis(self.now)
        rows = demands_to_send(fleet, {WEB}, at)
        others = [other for other in self.boxes if other is not fleet]
        answers = [apply_called_demands(other, rows, at) for other in others]
        for answer in answers:
            apply_answered_demands(fleet, rows, answer, at)

    @rule(wait_ms=st.sampled_from((1, 100, 400, 3_000)))
    def time_passes(self, wait_ms: int) -> None:
        self.now += wait_ms
        for fleet in self.boxes:
            expire_demands(fleet, Millis(self.now))

    @rule(box=st.integers(0, 3), worker=st.integers(0, 5))
    def worker_leaves_or_returns(self, box: int, worker: int) -> None:
        self.boxes[box].workers.leaving ^= {WorkerId(f"w-{worker}")}

    @rule(box=st.integers(0, 3))
    def box_ends_and_starts_again(self, box: int) -> None:
        self.boxes[box] = make_boxes(4)[box]

    @rule(box=st.integers(0, 3))
    def box_hears_of_more_boxes(self, box: int) -> None:
        self.boxes[box].reported_box_count = 8

    @rule(box=st.integers(0, 3), org=st.sampled_from(ORGS))
    def request_starts(self, box: int, org: OrgId) -> None:
        charge_start(self.boxes[box], WEB, org, WORK_MS, Millis(self.now))

    @invariant()
    def shares_add_up_to_the_room(self) -> None:
        at, paces = Millis(self.now), 0.0
        for fleet in self.boxes:
            update_shares(fleet, at)
            room = service_room(fleet, WEB, at)
            demands = service_demands(fleet, WEB, at)
            asked = sum(demand.total_per_s for demand in demands.values())
            rows = fleet.service_shares[WEB].orgs if fleet.service_shares else {}
            held = {org: row for org, row in rows.items() if row.limited}
            given = sum(
                held[org].share_per_s if org in held else demand.total_per_s
                for org, demand in demands.items()
            )
            if held:
                assert math.isclose(given, room, abs_tol=1e-6)
            else:
                assert asked <= LIMIT_PART * room + 1e-6
            for org, row in held.items():
                assert 0.0 <= row.pace_per_s <= row.share_per_s <= row.demand_per_s
                assert row.demand_per_s == demands[org].total_per_s
                assert row.next_start_at <= self.now + MAX_DEBT_MS
            box_paces = sum(row.pace_per_s for row in held.values())
            assert box_paces <= MAX_BOX_PART / 4 * room + 1e-6
            paces += box_paces
        assert paces <= MAX_BOX_PART * ROOM + 1e-6

    @invariant()
    def demand_is_never_negative(self) -> None:
        for fleet in self.boxes:
            for row in fleet.org_demands.values():
                assert row.per_s >= 0.0
                assert row.own_per_s >= 0.0


TestSharesOfBoxes = SharesOfBoxes.TestCase
TestSharesOfBoxes.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
