"""Exposure to bad versions: guarded roll-outs against a static ramp.

Run with ``python -m bench.rollouts``. A version enters with the same stages and times
under three policies: the program's guard rails; a static ramp that an operator pulls
back 30 minutes after it turned bad; a ramp that looks once, at the end of each stage.
Exposure is the number of requests that the version answered after it turned bad.
"""

import concurrent.futures
import heapq
import math
import random
import statistics
import typing as t

import msgspec

from spanshunt.ids import BoxId
from spanshunt.ids import ClassId
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import RolloutId
from spanshunt.ids import VersionId
from spanshunt.records import LogRecord
from spanshunt.records import StepVerdict
from spanshunt.records import encode_record
from spanshunt.systems.fold import fold_record
from spanshunt.systems.guarding import due_step
from spanshunt.systems.learning import record_counts
from spanshunt.tables.config import Config
from spanshunt.tables.config import GuardRails
from spanshunt.tables.config import RolloutRow
from spanshunt.tables.config import RolloutState
from spanshunt.tables.config import VersionRow
from spanshunt.tables.config import VersionState
from spanshunt.tables.evidence import Cell
from spanshunt.tables.evidence import Counts
from spanshunt.tables.evidence import Evidence

VERSION = VersionId("mini@2")
ROLLOUT = RolloutId("mini@2#bench")
STAGE_S = 300
STAGES = (0.01, 0.05, 0.25, 1.0)
RATE = 4.0
HORIZON_S = 4_800
OPERATOR_S = 1_800
JUDGE_S = 5
CLASSES = ("note", "tags", "description")
ORGS = ("museo", "biblioteca", "archivo", "radio")
SOUND = 0.90
FLOOR = 0.80
RUNS = 40
CLEAN_RUNS = 200
LEAST_RATINGS = 10


class Fault(t.NamedTuple):
    """How a version is bad: from when, and what of it."""

    name: str
    since: float
    quality: float = SOUND
    errors: float = 0.0
    slow: float = 0.0
    only_class: str = ""
    only_org: str = ""


class RunResult(msgspec.Struct):
    """What one roll-out came to.

    Attributes
    ----------
    exposed : int
        Requests answered after the version turned bad.
    pulled_back, done : float or None
        When, in seconds.
    ratings : int
        Ratings of the bad version until it was pulled back.
    """

    exposed: int = 0
    pulled_back: float | None = None
    done: float | None = None
    ratings: int = 0


NEVER = math.inf
FAULTS = (
    Fault("bad at once, 0.50", 0, quality=0.5),
    Fault("bad at once, 0.65", 0, quality=0.65),
    Fault("bad after 100 %, 0.50", 1_500, quality=0.5),
    Fault("one class only, 0.30", 0, quality=0.3, only_class="tags"),
    Fault("one organisation, 0.30", 0, quality=0.3, only_org="radio"),
    Fault("errors only, 0.30", 0, errors=0.3),
    Fault("latency only, 0.60", 0, slow=0.6),
)


def simulate(fault: Fault, guarded: bool, seed: int, peek: bool = False) -> RunResult:
    """Run one roll-out; with neither `guarded` nor `peek` it is the static ramp."""
    rng = random.Random(seed)
    world = _Rollout(rng)
    end = HORIZON_S
    if not guarded and not peek:
        end = min(HORIZON_S, fault.since + OPERATOR_S)
    at = 0.0
    next_judge = float(JUDGE_S)
    while True:
        at += rng.expovariate(RATE)
        if at >= end or world.result.pulled_back is not None:
            return world.result
        while at >= next_judge:
            world.judge(next_judge, guarded, peek, fault)
            next_judge += JUDGE_S
        if rng.random() < world.share(at, guarded):
            world.serve(at, fault)


class _Rollout:
    def __init__(self, rng: random.Random) -> None:
        guards = GuardRails(
            stages=STAGES,
            stage_ms=STAGE_S * 1000,
            stage_ratings=LEAST_RATINGS,
            good_floor=FLOOR,
        )
        self.rng = rng
        self.result = RunResult()
        self.evidence = Evidence()
        self.config = Config()
        self.config.versions[VERSION] = VersionRow(
            VERSION, "s", 1, 1, VersionState.ENTERING
        )
        self.config.rollouts[ROLLOUT] = RolloutRow(
            ROLLOUT, VERSION, guards, 0, Millis(0)
        )
        self.late: list[tuple[float, Cell, bool]] = []
        self.peeked = 0
        self.counts = [0, 0]

    def share(self, at: float, guarded: bool) -> float:
        """Return the share of requests that the version gets."""
        if guarded:
            return self.config.rollouts[ROLLOUT].share
        return STAGES[min(len(STAGES) - 1, int(at // STAGE_S))]

    def serve(self, at: float, fault: Fault) -> None:
        """Let the version answer one request."""
        name = self.rng.choice(CLASSES)
        org = self.rng.choice(ORGS)
        bad = at >= fault.since
        bad = bad and fault.only_class in ("", name) and fault.only_org in ("", org)
        if at >= fault.since and fault.since != NEVER:
            self.result.exposed += bad
        error = bad and self.rng.random() < fault.errors
        slow = not error and self.rng.random() < (fault.slow if bad else 0.02)
        cell = Cell(VERSION, ClassId(name), OrgId(org))
        seen = Counts(runs=1, errors=int(error), slow=int(slow))
        record_counts(self.evidence, "box", _wall(at), cell, seen)
        good = self.rng.random() < (fault.quality if bad else SOUND)
        if not error:
            delay = self.rng.uniform(2, 40)
            heapq.heappush(self.late, (at + delay, cell, good))
            self.result.ratings += bad

    def judge(self, at: float, guarded: bool, peek: bool, fault: Fault) -> None:
        """Take in the ratings that have come, and let the policy act."""
        while self.late and self.late[0][0] <= at:
            when, cell, good = heapq.heappop(self.late)
            seen = Counts(rated=1, good=int(good))
            record_counts(self.evidence, "box", _wall(when), cell, seen)
            self.counts[0] += 1
            self.counts[1] += good
        if guarded:
            self._judge_guarded(at)
        elif peek:
            self._judge_peeking(at)
        elif at >= STAGE_S * len(STAGES) and self.result.done is None:
            self.result.done = at

    def _judge_guarded(self, at: float) -> None:
        row = self.config.rollouts[ROLLOUT]
        step = due_step(self.config, row, self.evidence, BoxId("b"), _wall(at))
        if step is None:
            return
        if step.verdict is StepVerdict.PULL_BACK:
            self.result.pulled_back = at
        record = LogRecord(self.config.next_offset, _wall(at), encode_record(step))
        fold_record(self.config, record)
        state = self.config.rollouts[ROLLOUT].state
        if state is RolloutState.DONE and self.result.done is None:
            self.result.done = at

    def _judge_peeking(self, at: float) -> None:
        stage = int(at // STAGE_S)
        if stage > self.peeked:
            self.peeked = stage
            rated, good = self.counts
            if rated >= LEAST_RATINGS and good / rated < FLOOR:
                self.result.pulled_back = at
            self.counts = [0, 0]


def _wall(at: float) -> Millis:
    return Millis(int(at * 1000))


def _many(job: tuple[Fault, bool, bool, int]) -> RunResult:
    fault, guarded, peek, seed = job
    return simulate(fault, guarded, seed, peek)


def _kl(one: float, other: float) -> float:
    return one * math.log(one / other) + (1 - one) * math.log((1 - one) / (1 - other))


def main() -> None:
    """Print the tables."""
    with concurrent.futures.ProcessPoolExecutor(6) as pool:
        print(
            f"{'fault':<26}{'guarded':>8}{'peeking':>8}{'static':>8}{'ratio':>7}"
            f"{'found':>7}{'after s':>9}{'ratings':>9}"
        )
        for fault in FAULTS:
            jobs = [
                (fault, guarded, peek, seed)
                for guarded, peek in ((True, False), (False, True), (False, False))
                for seed in range(RUNS)
            ]
            results = list(pool.map(_many, jobs, chunksize=4))
            guarded = results[:RUNS]
            means = [
                statistics.mean(row.exposed for row in results[start : start + RUNS])
                for start in (0, RUNS, 2 * RUNS)
            ]
            found = [row for row in guarded if row.pulled_back is not None]
            after = (
                statistics.median((row.pulled_back or 0) - fault.since for row in found)
                if found
                else math.nan
            )
            ratings = statistics.median(row.ratings for row in found) if found else 0
            print(
                f"{fault.name:<26}{means[0]:>8.1f}{means[1]:>8.1f}{means[2]:>8.1f}"
                f"{means[0] / means[2]:>7.3f}{len(found):>4}/{RUNS}{after:>8.0f}"
                f"{ratings:>9.0f}"
            )
        for quality in (0.5, 0.65):
            limit = math.log(1 / 0.005) / _kl(quality, FLOOR)
            print(f"information limit, {quality} against {FLOOR}: {limit:.0f} ratings")
        clean = Fault("clean", NEVER)
        jobs = [(clean, True, False, seed) for seed in range(CLEAN_RUNS)]
        results = list(pool.map(_many, jobs, chunksize=4))
        false = sum(row.pulled_back is not None for row in results)
        times = [row.done for row in results if row.done is not None]
        print(
            f"clean: {false} of {CLEAN_RUNS} pulled back; done after "
            f"{statistics.median(times):.0f} s (median), {max(times):.0f} s (most); "
            f"static ramp {STAGE_S * len(STAGES)} s"
        )


if __name__ == "__main__":
    main()
