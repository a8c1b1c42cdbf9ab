"""Most new connections at one box, and then at another one.

Guards against room that is cut into fixed parts by box: with workers that name limits,
0.3 of the callers of a favoured box were served at the first try, 1.0 before.
"""

import pytest
from bench.favours import FEW_TAKEN
from bench.favours import LIMITS
from bench.favours import MANY_BOXES
from bench.favours import NO_LIMIT
from bench.favours import FavourCase
from bench.favours import play_favours
from bench.play_fleet import FAVOURED_SHARE

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import ServiceId
from spanshunt.systems.arrivals import apply_answered_arrivals
from spanshunt.systems.arrivals import apply_called_arrivals
from spanshunt.systems.arrivals import arrivals_to_send
from spanshunt.systems.arrivals import box_share
from spanshunt.systems.arrivals import expire_arrivals
from spanshunt.systems.arrivals import record_request
from spanshunt.systems.busy_boxes import busy_to_send
from spanshunt.systems.busy_boxes import merge_busy_box
from spanshunt.systems.demand import Demand
from spanshunt.systems.demand import apply_answered_demands
from spanshunt.systems.demand import apply_called_demands
from spanshunt.systems.demand import demands_to_send
from spanshunt.systems.demand import record_arrival
from spanshunt.systems.demand import service_demands
from spanshunt.systems.sharing import _paces
from spanshunt.systems.worker_room import find_room
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.catalog import ServiceRow
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow

SERVED_PART = 0.75
"""Part of the callers served before that must be served under a favour, at the first
try, from 3 s after it began."""

WEB = ServiceId("web")
MUSEO = OrgId("museo")

BOXES = 6

SLOTS, WORK_MS = 8, 200.0


@pytest.mark.parametrize(
    "case",
    [NO_LIMIT, LIMITS, FEW_TAKEN, MANY_BOXES],
    ids=lambda case: case.name.replace(" ", "_"),
)
@pytest.mark.parametrize("seed", [1, 2])
def test_callers_of_a_favoured_box_are_served_as_before(case: FavourCase, seed: int):
    out = play_favours(case, seed)
    assert out.worst >= SERVED_PART, out
    assert out.over <= 0, out
    assert not out.broken


def _boxes() -> list[Fleet]:
    names = [BoxId(f"box-{number}") for number in range(BOXES)]
    fleets = []
    for name in names:
        fleet = make_fleet(name)
        add_worker(fleet, make_worker("w-1"))
        fleet.catalog = Catalog(1, (), {WEB: ServiceRow(WEB)}, ())
        fleet.peers |= {peer: PeerRow(peer, "h:1") for peer in names if peer != name}
        fleets.append(fleet)
    return fleets


def _gossip(fleets: list[Fleet], at: float, *, answered: bool = True) -> None:
    """Let each box call the next but one, and take the answer if there is one."""
    now = ms(at)
    for number, fleet in enumerate(fleets):
        for step in (1, 2):
            peer = fleets[(number + step) % len(fleets)]
            called = arrivals_to_send(fleet, {WEB}, now)
            _tell_busy(fleet, peer, now)
            reply = apply_called_arrivals(peer, called, now)
            if answered:
                apply_answered_arrivals(fleet, called, reply, now)
                _tell_busy(peer, fleet, now)


def _tell_busy(fleet: Fleet, peer: Fleet, now: Millis) -> None:
    for service, box, row in busy_to_send(fleet, {WEB}, now):
        merge_busy_box(peer, service, box, row, now)


def _favour(fleets: list[Fleet], favoured: int, since: float, until: float) -> None:
    """Let 40 requests a second arrive, nine of ten at one box."""
    steps = round((until - since) * 40)
    for step in range(steps):
        at = since + step / 40
        where = favoured if step % 10 else step // 10 % len(fleets)
        record_request(fleets[where], WEB, ms(at))
        if step % 16 == 0:
            _gossip(fleets, at)


def _shares(fleets: list[Fleet], at: float) -> list[float]:
    return [box_share(fleet, WEB, ms(at)) for fleet in fleets]


def test_share_follows_the_requests_to_the_favoured_box_and_on_to_the_next():
    fleets = _boxes()
    _favour(fleets, 0, 100, 103)
    assert _shares(fleets, 103)[0] >= 0.75
    _favour(fleets, 3, 103, 106)
    shares = _shares(fleets, 106)
    assert shares[3] >= 0.75
    assert shares[0] <= 0.15


def test_shares_of_all_boxes_add_up_to_no_more_than_a_worker_tolerates():
    """Boxes disagree while the favour moves; the reserve of a limit covers a fifth."""
    fleets = _boxes()
    for turn in range(8):
        _favour(fleets, turn % BOXES, 100 + turn, 101 + turn)
        assert sum(_shares(fleets, 101 + turn)) <= 1.2


def test_box_without_word_of_others_keeps_an_even_share():
    fleets = _boxes()
    for number in range(40):
        record_request(fleets[0], WEB, ms(100 + number / 40))
    assert _shares(fleets, 101) == pytest.approx([1 / BOXES] * BOXES)


def test_lost_answers_are_forgotten():
    fleets = _boxes()
    _favour(fleets, 0, 100, 102)
    _gossip(fleets, 102, answered=False)
    for fleet in fleets:
        expire_arrivals(fleet, ms(130))
        assert not fleet.arrivals


@pytest.mark.parametrize("per_s", [-1.0, float("nan"), float("inf"), 1e12])
def test_mean_that_is_not_credible_is_left_out(per_s: float):
    fleet = _boxes()[0]
    assert not apply_called_arrivals(fleet, [(WEB, per_s)], ms(1))
    assert not fleet.arrivals


def test_mean_of_an_unknown_service_is_left_out():
    fleet = _boxes()[0]
    called = [(ServiceId("other"), 1.0)]
    assert not apply_called_arrivals(fleet, called, ms(1))
    assert not fleet.arrivals


def _report(fleet: Fleet, worker: str, own: int, others: int, at: float) -> None:
    row = make_worker(worker, service=WEB)
    row.slots, row.inflight = SLOTS, own
    row.others, row.others_at = others, ms(at)
    add_worker(fleet, row)


def test_favoured_box_sends_to_a_worker_that_others_had_filled_before_the_favour():
    """Guards against room that lies idle: a box with most of the work held a worker for
    full by a report from before, which no answer renewed."""
    fleets = _boxes()
    _favour(fleets, 0, 100, 103)
    fleet = fleets[0]
    _report(fleet, "w-1", SLOTS, 0, 103)
    _report(fleet, "w-2", 0, SLOTS + 4, 101)
    rows = list(fleet.workers.rows.values())
    room = find_room(fleet, rows, WORK_MS, ms(103), free_slots_only=True)
    assert room.full == {"w-1"}


def test_box_with_its_share_of_the_room_leaves_what_others_hold_to_them():
    fleets = _boxes()
    _favour(fleets, 0, 100, 103)
    fleet = fleets[3]
    _report(fleet, "w-1", 2, 7, 101)
    rows = list(fleet.workers.rows.values())
    assert not find_room(fleet, rows, WORK_MS, ms(103), free_slots_only=True).has_room


def test_demand_of_all_is_not_taken_for_more_than_comes_at_the_favoured_box():
    """Guards against shares in force without need: the favoured box took the demand for
    up to twice what came, so its requests found free slots only."""
    fleets = _boxes()
    for step in range(240):
        at = ms(100 + step / 40)
        where = fleets[0 if step % 10 else step // 10 % BOXES]
        record_request(where, WEB, at)
        record_arrival(where, WEB, MUSEO, 100.0, at)
        if step % 16 == 0:
            _gossip(fleets, 100 + step / 40)
        for number, fleet in enumerate(fleets if step % 16 == 0 else ()):
            peer = fleets[(number + 1 + step // 16 % (BOXES - 1)) % BOXES]
            called = demands_to_send(fleet, {WEB}, at)
            apply_answered_demands(
                fleet, called, apply_called_demands(peer, called, at), at
            )
    found = service_demands(fleets[0], WEB, ms(106))[MUSEO]
    assert found.own_per_s <= found.total_per_s <= 1.3 * 4.0
    assert found.own_per_s >= 0.7 * found.total_per_s


def test_share_of_the_favoured_box_has_risen_when_the_favour_must_be_met():
    """Guards against requests counted twice: a box that began to state its rate took
    those that it had added to the mean before for requests of others."""
    fleets = _boxes()
    for step in range(400):
        at = 90 + step / 40
        record_request(fleets[step % BOXES], WEB, ms(at))
        if step % 16 == 0:
            _gossip(fleets, at)
    _favour(fleets, 0, 100, 103)
    assert _shares(fleets, 103)[0] >= SERVED_PART * FAVOURED_SHARE


def test_paces_of_the_favoured_box_reach_its_part_of_the_room():
    """Guards against a bound on paces by the number of boxes alone: of many boxes, the
    one that got most requests gave out little of the room."""
    demands = {MUSEO: Demand(20.0, 18.0)}
    paces = _paces(10.0, 0.9, 61, demands, {MUSEO: 10.0})
    assert paces[MUSEO] == pytest.approx(9.0)
    assert _paces(10.0, 1 / 61, 61, demands, {MUSEO: 10.0})[MUSEO] < 1.0
