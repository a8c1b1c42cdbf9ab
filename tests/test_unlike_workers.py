"""Loads on workers of unlike and changing speed, without a network.

Six boxes share plain workers. Work is a fixed time at the usual speed; a worker runs as
many requests at once as it has slots, and the others wait there in order.
"""

import heapq
import itertools
import random
import typing as t

import msgspec
import pytest

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.ids import DomainId
from spanshunt.ids import Millis
from spanshunt.ids import ModelId
from spanshunt.ids import ServiceId
from spanshunt.ids import WorkerId
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import choose_worker
from spanshunt.systems.ramping import VersionRule
from spanshunt.systems.timing import learn_first_byte_time
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.systems.worker_health import record_load
from spanshunt.systems.worker_health import record_relayed_load
from spanshunt.systems.worker_speed import learn_plain_factor
from spanshunt.systems.worker_speed import merge_usual_factor
from spanshunt.tables.catalog import RequestKind
from spanshunt.tables.catalog import RouteRow
from spanshunt.tables.fleet import Fleet

BOXES, SLOTS, PLACES = 6, 4, 16
WORK_MS = 400.0
TOLD_MS = 100
"""Interval at which boxes hear the newest reports, in ms."""

TURN_MS, TURN_OFFSET_MS = 600, 99
"""How long a machine is slow, and an offset by which boxes hear of it 99 ms later."""

ROUTE = RouteRow(
    "r", "h", "/", RequestKind.REPEATABLE, (), Millis(5_000), Millis(1_000)
)
REQUEST = PlacementRequest(ServiceId("writer"), VersionRule(), DomainId("north"))

SlownessOf = t.Callable[[int, int], float]
"""Returns how slow a worker's machine is at a time, as a multiple of its usual time."""


class Server(msgspec.Struct):
    """A worker: its usual factor, requests that run, and those that wait."""

    usual: float
    running: int = 0
    waiting: list["Sent"] = []

    def report(self, slowness: float) -> WorkerLoad:
        """Return the load report of four figures."""
        return WorkerLoad(self.running, len(self.waiting), SLOTS, slowness)


class Sent(msgspec.Struct, frozen=True):
    """A request: its box, worker, time, and the load that it was sent on."""

    fleet: Fleet
    server: int
    at: int
    load: float


class Outcome(msgspec.Struct):
    """Times of answers in ms, sends to machines that were slow, and refusals."""

    times: list[int] = []
    sends: int = 0
    slow_sends: int = 0
    refused: int = 0

    @property
    def p95(self) -> int:
        """The time within which 95 % of the answers came, in ms."""
        return sorted(self.times)[int(0.95 * len(self.times))]


def no_slowness(server: int, now: int) -> float:
    return 1.0


def thirds_in_turn(server: int, now: int) -> float:
    turn = (now + TURN_OFFSET_MS) // TURN_MS
    return 3.0 if server % 3 == turn % 3 else 1.0


def play(
    usual: tuple[float, ...], room: float, slowness_of: SlownessOf, seed: int
) -> Outcome:
    """Play 40 s of requests that take a share of the room at the usual speeds."""
    rng, order = random.Random(seed), itertools.count()
    fleets = [make_box(len(usual), box) for box in range(BOXES)]
    servers = [Server(factor) for factor in usual]
    per_ms = room * sum(SLOTS / (WORK_MS * factor) for factor in usual)
    events: list[tuple[int, int, Sent]] = []
    outcome, next_told, arrival = Outcome(), 0, rng.expovariate(per_ms)

    def start(sent: Sent, now: int) -> None:
        servers[sent.server].running += 1
        left_ms, end = WORK_MS * servers[sent.server].usual, now
        while left_ms > 0.0:
            left_ms -= 1.0 / slowness_of(sent.server, end)
            end += 1
        heapq.heappush(events, (end, next(order), sent))

    def finish(sent: Sent, now: int) -> None:
        server = servers[sent.server]
        server.running -= 1
        if server.waiting:
            start(server.waiting.pop(0), now)
        row = sent.fleet.workers.rows[WorkerId(f"w-{sent.server}")]
        row.inflight -= 1
        load = server.report(slowness_of(sent.server, now))
        record_load(row, load, Millis(now))
        learn(sent, now)
        outcome.times.append(now - sent.at)

    def learn(sent: Sent, now: int) -> None:
        row = sent.fleet.workers.rows[WorkerId(f"w-{sent.server}")]
        first_ms, none = float(now - sent.at), ModelId("")
        learn_plain_factor(
            sent.fleet, row, ROUTE, none, first_ms, sent.load, Millis(now)
        )
        learn_first_byte_time(sent.fleet, ROUTE, none, 0, first_ms)

    def tell(now: int) -> None:
        for number, server in enumerate(servers):
            load = server.report(slowness_of(number, now))
            for fleet in fleets:
                row = fleet.workers.rows[WorkerId(f"w-{number}")]
                record_relayed_load(row, load, Millis(now))
                peer = rng.choice(fleets).workers.rows[row.name].speed
                merge_usual_factor(row, peer.usual_factor, peer.answers)

    def send(now: int) -> None:
        fleet = rng.choice(fleets)
        placed = choose_worker(fleet, REQUEST, Millis(now), rng)
        assert placed is not None
        number = int(placed.worker.name.removeprefix("w-"))
        outcome.sends += 1
        outcome.slow_sends += slowness_of(number, now) > 1.0
        server = servers[number]
        if len(server.waiting) >= PLACES:
            outcome.refused += 1
            return
        placed.worker.inflight += 1
        sent = Sent(fleet, number, now, placed.load)
        if server.running < SLOTS:
            start(sent, now)
        else:
            server.waiting.append(sent)

    for now in range(ms(1), ms(41)):
        while events and events[0][0] <= now:
            finish(heapq.heappop(events)[2], now)
        if now >= next_told:
            tell(now)
            next_told = now + TOLD_MS
        while arrival <= now - ms(1):
            send(now)
            arrival += rng.expovariate(per_ms)
    return outcome


def make_box(workers: int, box: int) -> Fleet:
    fleet = make_fleet(f"box-{box}")
    for number in range(workers):
        add_worker(fleet, make_worker(f"w-{number}"))
    return fleet


# Guards against load reports whose fourth figure is not used.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_machines_that_are_slow_by_turns_get_little(seed):
    room = 2 / 3 + 1 / 9
    outcome = play((1.0,) * 6, 0.7 * room, thirds_in_turn, seed)
    assert outcome.slow_sends < 0.15 * outcome.sends
    assert not outcome.refused


# Guards against one speed for all workers of a service.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_workers_of_three_speeds_answer_in_time(seed):
    outcome = play((0.4, 1.0, 1.6) * 2, 0.8, no_slowness, seed)
    assert outcome.p95 < 2.5 * WORK_MS
    assert not outcome.refused
