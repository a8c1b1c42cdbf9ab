"""Boxes under a failing log and wire; the program's own asserts judge."""

import pytest
from bench.soak import run_schedule
from bench.world import World
from bench.world_boxes import change
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

BOXES = 4
boxes = st.sampled_from([f"box{index}" for index in range(BOXES)])
fates = st.sampled_from(["ok", "ok", "ok", "lost", "late", "refused"])
keys = st.sampled_from([f"k{index}" for index in range(6)])


class BoxesUnderFaults(RuleBasedStateMachine):
    """Each rule is one thing that a box, an operator, a caller or a fault does."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(BOXES)

    @rule(ms=st.sampled_from([10, 400, 3_000, 12_000]))
    def time_passes(self, ms: int) -> None:
        self.world.now += ms

    @rule(box=boxes)
    def follow(self, box: str) -> None:
        self.world.follow(box)
        self.world.follow_claims(box)

    @rule(one=boxes, other=boxes)
    def ask(self, one: str, other: str) -> None:
        self.world.ask(one, other)

    @rule(index=st.integers(0, 20))
    def deliver(self, index: int) -> None:
        self.world.deliver(index)

    @rule(index=st.integers(0, 20))
    def lose(self, index: int) -> None:
        if self.world.wire:
            self.world.wire.pop(index % len(self.world.wire))

    @rule(box=boxes, number=st.integers(0, 50), fate=fates)
    def confirm(self, box: str, number: int, fate: str) -> None:
        self.world.confirm(box, change(number), fate)

    @rule(box=boxes, other=boxes, number=st.integers(0, 50))
    def race(self, box: str, other: str, number: int) -> None:
        self.world.confirm(box, change(number))
        self.world.confirm(other, change(number + 1))

    @rule()
    def tell_operators(self) -> None:
        self.world.tell_operators()

    @rule(box=boxes)
    def request(self, box: str) -> None:
        self.world.request(box)

    @rule(box=boxes, fate=fates)
    def append_bills(self, box: str, fate: str) -> None:
        self.world.append_bills(box, fate)

    @rule(box=boxes, key=keys, fate=fates)
    def call(self, box: str, key: str, fate: str) -> None:
        self.world.call(box, key, fate)

    @rule(box=boxes, patient=st.booleans())
    def run_calls(self, box: str, patient: bool) -> None:
        self.world.run_calls(box, patient)

    @rule(box=boxes)
    def crash(self, box: str) -> None:
        self.world.crash(box)

    @rule(box=boxes)
    def pause(self, box: str) -> None:
        self.world.pause(box)

    @rule(box=boxes)
    def resume(self, box: str) -> None:
        self.world.resume(box)

    @rule(one=boxes, other=boxes)
    def cut(self, one: str, other: str) -> None:
        self.world.cut(one, other)

    @rule(down=st.booleans())
    def log_state(self, down: bool) -> None:
        self.world.log.down = down

    @rule()
    def late_appends(self) -> None:
        self.world.log.take_late(self.world.now)

    @rule(box=boxes)
    def snapshot(self, box: str) -> None:
        self.world.snapshot(box)

    @rule()
    def drop_tail(self) -> None:
        self.world.drop_tail()

    @invariant()
    def keyed_calls_ran_at_most_once(self) -> None:
        assert all(count == 1 for count in self.world.sends.values())

    def teardown(self) -> None:
        self.world.settle_down()


TestBoxesUnderFaults = BoxesUnderFaults.TestCase
TestBoxesUnderFaults.settings = settings(max_examples=40, stateful_step_count=40)


class TestSchedules:
    @pytest.mark.parametrize("seed", range(1, 9))
    def test_schedule_holds(self, seed: int):
        world = run_schedule(seed, 3 + seed % 4)
        assert world.events["answers"] > 0
