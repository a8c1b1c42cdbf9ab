"""Boxes that follow the workers' list while the store fails for some or all of them.

The store becomes unreachable and returns, refuses single boxes, and single boxes are
cut off from everything; entries expire while the store is unreachable. The test checks
what callers would notice: in undisturbed times, no box uses a worker that has left, and
none loses a live one.
"""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from fleet_builders import make_fleet
from fleet_builders import make_worker
from spanshunt.clock import ManualClock
from spanshunt.exchange import Exchange
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Millis
from spanshunt.ids import Offset
from spanshunt.systems.following_workers import ENTRY_GRACE_MS
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.following_workers import drop_missing_workers
from spanshunt.systems.following_workers import must_read_list
from spanshunt.systems.following_workers import record_list_read
from spanshunt.systems.following_workers import record_store_answer
from spanshunt.systems.following_workers import record_store_failure
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.worker_list import ListedWorker

DRAINING_MS = 2_000
CALM_MS = 3_000
TICK_MS = 100
ROUND_TICKS = 4
READ_TICKS = 9
DOMAINS = ("north", "north", "north", "south")


class SimulatedBox:
    """The tables and exchanges of a box, and the faults injected into it."""

    def __init__(self, number: int, clock: ManualClock) -> None:
        self.fleet = make_fleet(f"box-{number}", DOMAINS[number])
        self.exchange = Exchange(self.fleet, clock, random.Random(number), _none, ())
        self.cut = self.refused = False
        self.disturbed_at = 0
        self.read_next = 0

    @property
    def name(self) -> BoxId:
        return self.fleet.identity.box

    def usable(self) -> set[str]:
        workers = self.fleet.workers
        return set(workers.rows) - workers.leaving


def _none():
    raise AssertionError("this test exchanges no catalog")


class Following(RuleBasedStateMachine):
    """Boxes in two failure domains, a store, and workers that come and go."""

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.boxes = [
            SimulatedBox(number, self.clock) for number in range(len(DOMAINS))
        ]
        for box in self.boxes:
            for other in self.boxes:
                if other is not box:
                    me = other.fleet.identity
                    row = PeerRow(me.box, me.address, DomainId(me.domain))
                    box.fleet.peers[me.box] = row
        self.entries: dict[str, bool] = {}
        self.listed: dict[str, int] = {}
        self.expired: dict[str, int] = {}
        self.left: dict[str, int] = {}
        self.end = 0
        self.up = True
        self.unstable = 0
        self.born = 0
        for _ in range(4):
            self.worker_comes()
        self.time_passes(20)

    @rule()
    def worker_comes(self):
        self.born += 1
        self._write(f"w-{self.born}", False)

    @precondition(lambda self: self.up and len(self._living()) > 2)
    @rule(draining=st.booleans())
    def worker_leaves(self, draining):
        name = self.rng.choice(self._living())
        self.left[name] = self.clock.now()
        if draining:
            self._write(name, True)
        else:
            del self.entries[name]
            self.end += 1

    @precondition(lambda self: self.up)
    @rule(ticks=st.integers(20, 60), expire=st.booleans())
    def store_goes_away(self, ticks, expire):
        """Make the store unreachable; it loses no records, but entries may expire.

        Most expired entries of live workers are written again after the outage.
        """
        self.up = False
        self._pass(ticks)
        self.up = True
        now = self.clock.now()
        self.unstable = now
        for name in [name for name in self._living() if expire]:
            if self.rng.random() < 0.5:
                del self.entries[name]
                self.end += 1
                if self.rng.random() < 0.8:
                    self.expired[name] = now + self.rng.randrange(200, 1_800)
                else:
                    self.left[name] = now + ENTRY_GRACE_MS

    @rule(number=st.integers(0, 3), ticks=st.integers(5, 60))
    def box_is_cut_off(self, number, ticks):
        box = self.boxes[number]
        box.cut = True
        self._pass(ticks)
        box.cut, box.disturbed_at = False, self.clock.now()

    @rule(number=st.integers(0, 3), ticks=st.integers(5, 60))
    def store_refuses_a_box(self, number, ticks):
        box = self.boxes[number]
        box.refused = True
        self._pass(ticks)
        box.refused = False

    @rule(ticks=st.integers(1, 30))
    def time_passes(self, ticks):
        self._pass(ticks)

    def _living(self) -> list[str]:
        return [name for name in self.entries if name not in self.left]

    def _write(self, name: str, draining: bool) -> None:
        self.entries[name] = draining
        self.listed[name] = self.clock.now()
        self.end += 1

    def _pass(self, ticks: int) -> None:
        for _ in range(ticks):
            self.clock.advance(TICK_MS)
            now = self.clock.now()
            for name in [name for name, at in self.expired.items() if at <= now]:
                if self.up:
                    del self.expired[name]
                    self._write(name, False)
            self.end += 1
            for box in self.boxes:
                self._read(box, now)
            if now // TICK_MS % ROUND_TICKS == 0:
                for box in self.boxes:
                    self._exchange(box)
            self._check(now)

    def _read(self, box: SimulatedBox, now: Millis) -> None:
        fleet = box.fleet
        drop_missing_workers(fleet, now)
        if now < box.read_next or not must_read_list(fleet, now, DRAINING_MS):
            return
        if box.cut or box.refused or not self.up:
            record_store_failure(fleet, now)
            box.read_next = now + 4 * TICK_MS
            return
        record_store_answer(fleet)
        box.read_next = now + READ_TICKS * TICK_MS
        rows = [
            ListedWorker(make_worker(name), draining)
            for name, draining in self.entries.items()
        ]
        record_list_read(fleet, now)
        apply_worker_list(fleet, rows, Offset(self.end), now)
        fleet.workers_read_at = now

    def _exchange(self, box: SimulatedBox) -> None:
        if box.cut:
            return
        others = [other for other in self.boxes if other is not box and not other.cut]
        for other in self.rng.sample(others, min(2, len(others))):
            told = box.exchange.build_news(None)
            box.exchange.apply_news(other.exchange.build_news(told), self.clock.now())
            other.exchange.apply_news(told)

    def _check(self, now: Millis) -> None:
        for box in self.boxes:
            disturbed = box.cut or now < box.disturbed_at + CALM_MS
            if disturbed or not self.up or now < self.unstable + CALM_MS:
                continue
            late = [
                name
                for name in box.usable()
                if name in self.left and now > self.left[name] + DRAINING_MS
            ]
            assert not late, (box.name, late, now, self.left)

    @invariant()
    def living_workers_are_used_in_calm_times(self):
        if not getattr(self, "boxes", None) or not self.up:
            return
        now = self.clock.now()
        for box in self.boxes:
            disturbed = box.cut or now < box.disturbed_at + CALM_MS
            if disturbed or now < self.unstable + CALM_MS + ENTRY_GRACE_MS:
                continue
            known = {
                name for name in self._living() if now > self.listed[name] + CALM_MS
            }
            assert known <= box.usable(), (box.name, known - box.usable())


Following.TestCase.settings = settings(
    max_examples=60, stateful_step_count=20, deadline=None
)
TestFollowing = Following.TestCase


def test_boxes_date_the_reads_that_their_peers_report():
    """Guards against exchanges without call times, which no real box makes.

    The answer to a call tells how far the peer's clock is ahead; without it, no read
    that a peer reports counts, and a box that the store refused takes its own first
    read for the end of an outage.
    """
    following = Following()
    following.begin(1)
    following.time_passes(10)
    for box in following.boxes:
        assert all(row.clock_ahead is not None for row in box.fleet.peers.values())


def test_box_that_the_store_refused_waits_for_no_entry_of_a_worker_that_left():
    """Guards against a worker used 2.1 s after it left, by the box that was refused."""
    for seed in range(20):
        following = Following()
        following.begin(seed)
        following.store_refuses_a_box(1, 8)
        following.worker_leaves(False)
        following.time_passes(16)
        following.box_is_cut_off(0, 5)


def test_worker_that_left_is_not_used_after_outages_in_series():
    """Guards against a worker used 6.4 s after it left, by a box that was refused."""
    following = Following()
    following.begin(158)
    following.living_workers_are_used_in_calm_times()
    outages = (
        (following.store_goes_away, {"expire": True, "ticks": 46}),
        (following.worker_leaves, {"draining": False}),
        (following.store_refuses_a_box, {"number": 1, "ticks": 34}),
        (following.store_refuses_a_box, {"number": 3, "ticks": 41}),
        (following.store_goes_away, {"expire": True, "ticks": 52}),
        (following.store_goes_away, {"expire": False, "ticks": 40}),
        (following.store_refuses_a_box, {"number": 3, "ticks": 48}),
        (following.store_refuses_a_box, {"number": 0, "ticks": 8}),
        (following.store_goes_away, {"expire": False, "ticks": 24}),
        (following.store_goes_away, {"expire": False, "ticks": 44}),
        (following.store_refuses_a_box, {"number": 1, "ticks": 7}),
        (following.store_goes_away, {"expire": True, "ticks": 23}),
        (following.store_goes_away, {"expire": False, "ticks": 27}),
        (following.store_goes_away, {"expire": True, "ticks": 27}),
        (following.store_refuses_a_box, {"number": 1, "ticks": 41}),
    )
    for outage, arguments in outages:
        outage(**arguments)
        following.living_workers_are_used_in_calm_times()
