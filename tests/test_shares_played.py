"""Shares of organisations as boxes serve waiters by them for a while."""

import collections
import random
import typing as t

import pytest

from share_builders import LARGE
from share_builders import ORGS
from share_builders import ROOM
from share_builders import SMALL
from share_builders import WEB
from share_builders import WORK_MS
from share_builders import add_waiters
from share_builders import exchange
from share_builders import make_boxes
from share_builders import make_waiter
from share_builders import next_waiter
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import RequestId
from spanshunt.systems.demand import record_arrival
from spanshunt.systems.queueing import remove_waiter
from spanshunt.systems.sharing import charge_start
from spanshunt.systems.sharing import is_over_share
from spanshunt.systems.sharing import update_shares
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.fleet import Fleet

PLACES = 3
"""Requests that wait at all workers together."""


class Kind(t.NamedTuple):
    """A kind of requests of an organisation, by priority."""

    org: OrgId
    priority: int = 0


class Played(t.NamedTuple):
    """What became of the requests of each kind."""

    asked: collections.Counter[Kind]
    served: collections.Counter[Kind]
    busy_ms: int

    def part(self, kind: Kind) -> float:
        return self.served[kind] / self.asked[kind]


def play(boxes: list[Fleet], rooms: dict[Kind, float], span_ms: int) -> Played:
    """Serve waiters in the order of the shares for a while.

    `rooms` is what each kind asks for, as a part of the room. Each box begins requests
    in its turn as slots come free, and gives those up that nobody can start in time.
    Some wait at workers, but none of an organisation over its share.
    """
    rng = random.Random(2)
    played = Played(collections.Counter(), collections.Counter(), 0)
    kinds: dict[RequestId, Kind] = {}
    running: list[int] = []
    busy_ms = 0
    for now in range(0, span_ms, 10):
        at = Millis(now)
        for kind, part in rooms.items():
            if rng.random() < part * ROOM * 10 / WORK_MS:
                fleet = rng.choice(boxes)
                record_arrival(fleet, WEB, kind.org, WORK_MS, at)
                waiter = make_waiter(
                    f"r-{len(kinds)}",
                    kind.org,
                    priority=kind.priority,
                    since=now,
                    start_by=now + 600,
                )
                add_waiters(fleet, waiter)
                kinds[waiter.request] = kind
                played.asked[kind] += 1
        if now % 100 == 0:
            for fleet in boxes:
                update_shares(fleet, at)
        if now % 400 == 0:
            for fleet in boxes:
                others = [other for other in boxes if other is not fleet]
                for called in rng.sample(others, 2):
                    exchange(fleet, called, now)
        running = [end for end in running if end > now]
        for fleet in rng.sample(boxes, len(boxes)):
            for waiter in list(fleet.wait_list.waiters.get(WEB, {}).values()):
                if waiter.start_by < now:
                    remove_waiter(fleet.wait_list, waiter)
            while started := next_waiter(fleet, WEB, at):
                over = is_over_share(fleet, WEB, started.org, at)
                if len(running) >= (ROOM if over else ROOM + PLACES):
                    break
                remove_waiter(fleet.wait_list, started)
                charge_start(fleet, WEB, started.org, WORK_MS, at)
                played.served[kinds[started.request]] += 1
                free_at = sorted(running)[-int(ROOM)] if len(running) >= ROOM else now
                running.append(max(now, free_at) + WORK_MS)
        busy_ms += 10 * min(len(running), int(ROOM))
    return played._replace(busy_ms=busy_ms)


def test_small_organisation_beside_one_that_asks_for_eight_times_as_much() -> None:
    """1.8 of the room is asked for: the small one gets 0.95 of what it asks."""
    small, large = Kind(SMALL), Kind(LARGE)
    played = play(make_boxes(6), {small: 0.2, large: 1.6}, 20_000)
    assert played.part(small) >= 0.95
    assert played.busy_ms >= 0.85 * ROOM * 20_000


def test_organisation_at_seven_and_a_half_times_its_usual_hurts_no_other() -> None:
    usual = 0.8 / 6
    rooms = {Kind(org): usual for org in ORGS} | {Kind(ORGS[0]): 7.5 * usual}
    played = play(make_boxes(6), rooms, 20_000)
    others = [Kind(org) for org in ORGS[1:]]
    served = sum(played.served[kind] for kind in others)
    assert served >= 0.95 * sum(played.asked[kind] for kind in others)
    assert min(played.part(kind) for kind in others) >= 0.9
    assert played.busy_ms >= 0.85 * ROOM * 20_000


@pytest.mark.parametrize("parts", [(0.5, 0.5, 0.5), (1.2, 0.3, 0.1), (0.1, 0.2, 1.5)])
def test_more_urgent_kind_is_never_served_worse(
    parts: tuple[float, float, float],
) -> None:
    """Beside its less urgent kinds, whatever each asks for; none of them is starved."""
    boxes = make_boxes(6)
    for fleet in boxes:
        fleet.catalog = Catalog(1, (), {}, (), highest_priority={WEB: 0})
    kinds = [Kind(LARGE, priority) for priority in range(3)]
    played = play(boxes, dict(zip(kinds, parts, strict=True)), 20_000)
    served = [played.part(kind) for kind in kinds]
    assert served[0] >= served[1] - 0.03
    assert served[1] >= served[2] - 0.03
    assert served[2] > 0.0
