"""Cost at the quality target: the router's choice against baselines.

Run with ``python -m bench.choice``. Each policy sees the same requests and pays the
same prices. Ratings are sampled as the policy asks, come 5 to 60 s late, are wrong for
3 in 100, and for one hour none come at all.
"""

import collections
import heapq
import random
import sys
import typing as t

import msgspec

from spanshunt.ids import ClassId
from spanshunt.ids import Millis
from spanshunt.ids import OrgId
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.systems.choice import choose
from spanshunt.systems.choice_rows import VersionRequest
from spanshunt.systems.learning import expire_epochs
from spanshunt.systems.learning import record_counts
from spanshunt.systems.preferring import Preferences
from spanshunt.tables.config import Config
from spanshunt.tables.evidence import Cell
from spanshunt.tables.evidence import Counts
from spanshunt.tables.evidence import Evidence
from spanshunt.tables.preferences import PreferenceCache

from .workloads import WORKLOADS
from .workloads import Arrival
from .workloads import Workload
from .workloads import arrivals
from .workloads import config_of
from .workloads import cost
from .workloads import true_quality

HOURS = 6
SEEDS = (1, 2, 3)
WINDOW_S = 600
LEAST_IN_WINDOW = 30
WRONG_RATINGS = 0.03
OUTAGE_S = (2 * 3600, 3 * 3600)


class Decision(t.NamedTuple):
    """A version, and the chance that its answer is rated."""

    version: str
    rate: float


class Policy(t.NamedTuple):
    """A way of choosing, and what it learns from."""

    name: str
    decide: t.Callable[[Arrival, str], Decision]
    rated: t.Callable[[Arrival, str, bool, float], None]
    ran: t.Callable[[Arrival, str, float], None]


class Outcome(msgspec.Struct):
    """What a policy cost and gave."""

    cost: float = 0.0
    ratings: int = 0
    windows: int = 0
    met: int = 0
    worst: float = 1.0


def _nothing(*_given: t.Any) -> None:
    return None


def fixed(name: str, pick: t.Callable[[Arrival], str]) -> Policy:
    """Return a policy that learns nothing."""
    return Policy(name, lambda a, _k: Decision(pick(a), 0.0), _nothing, _nothing)


def baselines(work: Workload, seed: int) -> list[Policy]:
    """Return always best, always cheapest, random, and the oracle."""
    rng = random.Random(seed)
    targets = {row.name: row.target for row in work.classes}
    names = [row.name for row in work.versions]

    def oracle(a: Arrival) -> str:
        for name in names:
            if (
                true_quality(work, name, a.request_class, a.org)
                >= targets[a.request_class]
            ):
                return name
        return names[-1]

    return [
        fixed("always best", lambda _a: names[-1]),
        fixed("always cheapest", lambda _a: names[0]),
        fixed("random", lambda _a: rng.choice(names)),
        fixed("oracle", oracle),
    ]


def router(work: Workload) -> Policy:
    """Return the router's own choice."""
    config: Config = config_of(work)
    evidence = Evidence()
    memory: Preferences = PreferenceCache()
    expired = 0.0

    def decide(a: Arrival, key: str) -> Decision:
        asked = VersionRequest(
            ServiceId(work.service), a.request_class, a.org, draw_key=key
        )
        choice = choose(
            config, evidence.pool, asked, lambda _version: True, memory, _wall(a.at)
        ).unwrap()
        return Decision(choice.version, choice.rate)

    def rated(a: Arrival, version: str, good: bool, at: float) -> None:
        seen = Counts(rated=1, good=int(good))
        record_counts(evidence, "box", _wall(at), _cell(a, version), seen)

    def ran(a: Arrival, version: str, at: float) -> None:
        seen = Counts(runs=1, prompt_tokens=a.prompt, output_tokens=a.output)
        record_counts(evidence, "box", _wall(at), _cell(a, version), seen)
        nonlocal expired
        if at - expired >= 60:
            expired = at
            expire_epochs(evidence, _wall(at))

    return Policy("spanshunt", decide, rated, ran)


def run(work: Workload, policy: Policy, seed: int, hours: float) -> Outcome:
    """Run a policy over a workload."""
    rng = random.Random(seed + 1000)
    outcome = Outcome()
    models = {row.name: row for row in work.versions}
    late: list[tuple[float, int, Arrival, str, bool]] = []
    windows: dict[tuple[int, str, str], list[float]] = collections.defaultdict(list)
    for number, a in enumerate(arrivals(work, hours * 3600, seed)):
        while late and late[0][0] <= a.at:
            at, _, rated, version, good = heapq.heappop(late)
            policy.rated(rated, version, good, at)
        decision = policy.decide(a, f"{seed}-{number}")
        outcome.cost += cost(models[decision.version], a.prompt, a.output)
        quality = true_quality(work, decision.version, a.request_class, a.org)
        windows[(int(a.at // WINDOW_S), a.org, a.request_class)].append(quality)
        policy.ran(a, decision.version, a.at)
        good = (rng.random() < quality) ^ (rng.random() < WRONG_RATINGS)
        delay = rng.uniform(5, 60)
        down = OUTAGE_S[0] <= a.at < OUTAGE_S[1]
        if rng.random() < decision.rate and not down:
            outcome.ratings += 1
            heapq.heappush(late, (a.at + delay, number, a, decision.version, good))
    _score(work, windows, outcome)
    return outcome


def _score(
    work: Workload,
    windows: dict[tuple[int, str, str], list[float]],
    outcome: Outcome,
) -> None:
    targets = {row.name: row.target for row in work.classes}
    for (_, _, name), qualities in windows.items():
        if len(qualities) < LEAST_IN_WINDOW:
            continue
        mean = sum(qualities) / len(qualities)
        outcome.windows += 1
        outcome.met += mean >= targets[name]
        outcome.worst = min(outcome.worst, mean - targets[name])


def _wall(at: float) -> Millis:
    return Millis(int(at * 1000))


def _cell(a: Arrival, version: str) -> Cell:
    return Cell(VersionId(version), ClassId(a.request_class), OrgId(a.org))


def main() -> None:
    """Print a table for each workload."""
    hours = float(sys.argv[1]) if len(sys.argv) > 1 else HOURS
    for work in WORKLOADS:
        print(f"{work.name}: {hours:g} h, seeds {SEEDS}")
        head = ("policy", "cost/best", "cost/oracle", "met", "worst", "ratings")
        print(
            f"{head[0]:<18}{head[1]:>10}{head[2]:>12}{head[3]:>9}{head[4]:>8}{head[5]:>9}"
        )
        rows: dict[str, list[Outcome]] = collections.defaultdict(list)
        for seed in SEEDS:
            for policy in [*baselines(work, seed), router(work)]:
                rows[policy.name].append(run(work, policy, seed, hours))
        best = sum(outcome.cost for outcome in rows["always best"])
        oracle = sum(outcome.cost for outcome in rows["oracle"])
        for name, outcomes in rows.items():
            total = sum(outcome.cost for outcome in outcomes)
            met = sum(outcome.met for outcome in outcomes)
            windows = sum(outcome.windows for outcome in outcomes)
            worst = min(outcome.worst for outcome in outcomes)
            ratings = sum(outcome.ratings for outcome in outcomes)
            print(
                f"{name:<18}{total / best:>10.3f}{total / oracle:>12.3f}"
                f"{met / windows:>9.4f}{worst:>8.3f}{ratings:>9}"
            )


if __name__ == "__main__":
    main()
