"""A long randomised run: schedules of faults over a few boxes, invariants asserted.

Run with ``make soak DURATION_S=20``. Every schedule has a seed of its own, printed when
an invariant breaks; the same seed gives the same run.
"""

import collections
import random
import sys
import time
import typing as t

from spanshunt.exceptions import InvariantError
from spanshunt.systems.invariants import checks

from .world import World
from .world_boxes import change

STEPS = 250

Action = t.Callable[[World, random.Random], None]


def _box(world: World, rng: random.Random) -> str:
    return rng.choice(world.names)


def _fate(rng: random.Random) -> str:
    return rng.choices(["ok", "lost", "late", "refused"], [7, 2, 1, 1])[0]


ACTIONS: dict[str, tuple[float, Action]] = {
    "advance": (12, lambda w, r: _advance(w, r)),
    "follow": (14, lambda w, r: w.follow(_box(w, r))),
    "claims": (8, lambda w, r: w.follow_claims(_box(w, r))),
    "ask": (20, lambda w, r: w.ask(_box(w, r), _box(w, r))),
    "deliver": (20, lambda w, r: w.deliver(r.randrange(100))),
    "lose message": (1, lambda w, r: _lose(w, r)),
    "request": (20, lambda w, r: w.request(_box(w, r))),
    "confirm": (4, lambda w, r: _confirm(w, r)),
    "tell": (6, lambda w, _r: w.tell_operators()),
    "bills": (6, lambda w, r: w.append_bills(_box(w, r), _fate(r))),
    "call": (6, lambda w, r: w.call(_box(w, r), f"k{r.randrange(30)}", _fate(r))),
    "run": (8, lambda w, r: w.run_calls(_box(w, r), r.random() < 0.8)),
    "crash": (0.7, lambda w, r: w.crash(_box(w, r))),
    "pause": (0.7, lambda w, r: w.pause(_box(w, r))),
    "resume": (1.5, lambda w, r: w.resume(_box(w, r))),
    "cut": (1, lambda w, r: w.cut(_box(w, r), _box(w, r))),
    "no log": (0.7, lambda w, r: w.no_log.add(_box(w, r))),
    "log down": (0.4, lambda w, _r: setattr(w.log, "down", True)),
    "log up": (0.8, lambda w, _r: setattr(w.log, "down", False)),
    "late appends": (1, lambda w, _r: w.log.take_late(w.now)),
    "heal": (0.7, lambda w, _r: w.heal()),
    "snapshot": (1, lambda w, r: w.snapshot(_box(w, r))),
    "drop tail": (0.7, lambda w, _r: w.drop_tail()),
}


def _advance(world: World, rng: random.Random) -> None:
    world.now += rng.choice((10, 100, 400, 1_000, 5_000))


def _confirm(world: World, rng: random.Random) -> None:
    world.confirm(_box(world, rng), change(rng.randrange(99)), _fate(rng))


def _lose(world: World, rng: random.Random) -> None:
    if world.wire:
        world.wire.pop(rng.randrange(len(world.wire)))


def run_schedule(seed: int, boxes: int, steps: int = STEPS) -> World:
    """Run one schedule to its end; raises if an invariant breaks."""
    rng = random.Random(seed)
    world = World(boxes, seed)
    names = list(ACTIONS)
    weights = [ACTIONS[name][0] for name in names]
    for name in rng.choices(names, weights, k=steps):
        ACTIONS[name][1](world, rng)
    world.settle_down()
    return world


def main() -> None:
    """Run schedules for a while and print what was done."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    end = time.monotonic() + seconds
    events: collections.Counter[str] = collections.Counter()
    seed = first
    while time.monotonic() < end:
        boxes = 3 + seed % 4
        try:
            world = run_schedule(seed, boxes)
        except InvariantError as exc:
            print(f"seed {seed}, {boxes} boxes: {exc}")
            sys.exit(1)
        events.update(world.events)
        seed += 1
    print(f"{seed - first} schedules of {STEPS} steps, seeds {first} to {seed - 1}")
    for name, count in sorted(events.items()):
        print(f"  {name}: {count}")
    for promise, count in sorted(checks.items()):
        print(f"  checked {promise}: {count}")


if __name__ == "__main__":
    main()
