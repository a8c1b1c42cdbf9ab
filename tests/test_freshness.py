"""Freshness: a box whose configuration may be stale takes no requests."""

import pytest
from bench.world import World
from bench.world_checks import FRESH_MS

from spanshunt.intents import LeaveVersion

WITHDRAW = LeaveVersion("cheap@1")


def exchange(world: World, one: str, other: str) -> None:
    """Let two boxes exchange state in both directions."""
    for asker, asked in ((one, other), (other, one)):
        world.ask(asker, asked)
        while world.wire:
            world.deliver()


def world_with_plan_on_two_of_three() -> World:
    """Return a world in which two boxes hold an accepted plan and the log is down."""
    world = World(boxes=3)
    world.now += 60_000
    for name in world.names:
        world.follow(name)
    for one, other in (("box0", "box1"), ("box1", "box2"), ("box2", "box0")):
        exchange(world, one, other)
    world.confirm("box0", WITHDRAW)
    world.follow("box0")
    before = len(world.accepted)
    for _ in range(2):
        exchange(world, "box0", "box1")
    world.tell_operators()
    assert len(world.accepted) > before
    world.log.down = True
    return world


class TestMajority:
    def test_box_cut_from_those_that_hold_a_plan_stops(self):
        world = world_with_plan_on_two_of_three()
        world.cut("box2", "box0")
        world.cut("box2", "box1")
        world.now += FRESH_MS + 1
        world.request("box2")
        assert world.events["refused not ready"] == 1

    def test_box_that_hears_one_of_them_has_the_plan(self):
        world = world_with_plan_on_two_of_three()
        world.cut("box2", "box0")
        world.now += FRESH_MS + 1
        exchange(world, "box2", "box1")
        world.request("box2")
        assert "refused not ready" not in world.events
        held = world.boxes["box2"].state.config.next_offset
        assert held == world.boxes["box1"].state.config.next_offset

    @pytest.mark.parametrize("wait", [100, 3_000, 60_000])
    def test_box_that_forgot_a_plan_is_no_witness(self, wait: int):
        """A box that was replaced must not vouch for the freshness of another.

        Boxes have no disks: box0 held the plan, was replaced, and with box2, which
        never had it, made a majority that did not know it.
        """
        world = world_with_plan_on_two_of_three()
        world.cut("box1", "box0")
        world.cut("box1", "box2")
        world.crash("box0")
        exchange(world, "box2", "box0")
        world.now += wait
        for _ in range(12):
            world.now += 1_000
            exchange(world, "box2", "box0")
            world.request("box2")
            world.request("box0")
