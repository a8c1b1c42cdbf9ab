"""Sums of evidence that boxes told, and taking a newer word of it in."""

from ..tables.rollouts import EvidenceKey
from ..tables.rollouts import Finding
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tally

FAULT_FLOORS = {Finding.FAILED: 0.1, Finding.SLOW: 0.25}
"""Shares of answers with a fault that no version is blamed for. Single answers fail on
sound workers, too, when a worker or a link breaks; and a sound version is slow at
first, while its engines keep no prompts: one in ten answers on a calm day."""

LEAST_BAD = 3
"""Bad answers without which nothing is held against a version."""


def add_up(*parts: dict[EvidenceKey, Tally]) -> dict[EvidenceKey, Tally]:
    """Return the sum of tallies."""
    pooled: dict[EvidenceKey, Tally] = {}
    for tallies in parts:
        for key, tally in tallies.items():
            into = pooled.setdefault(key, Tally())
            into.answers += tally.answers
            into.failed += tally.failed
            into.slow += tally.slow
    return pooled


def take_tally(into: dict[EvidenceKey, Tally], key: EvidenceKey, told: Tally) -> None:
    """Take a told tally; counts only rise, so the greatest told is the newest."""
    tally = into.setdefault(key, Tally())
    tally.answers = max(tally.answers, told.answers)
    tally.failed = max(tally.failed, told.failed)
    tally.slow = max(tally.slow, told.slow)


def is_suspect(row: RolloutRow, route: str) -> bool:
    """Tell whether answers of the entering version speak against it, on a route or all.

    It needs less than a verdict does: to be wrong moves a session whose answer failed,
    or costs it one more attempt.
    """
    pooled = add_up(row.own, *row.near.values(), *row.far.values())
    entering = [(key, tally) for key, tally in pooled.items() if key.entering]
    for finding, floor in FAULT_FLOORS.items():
        everywhere = [tally for _, tally in entering]
        here = [tally for key, tally in entering if key.route == route]
        if sum(tally.count_of(finding) for tally in everywhere) < LEAST_BAD:
            continue
        if max(_share(everywhere, finding), _share(here, finding)) > floor:
            return True
    return False


def _share(tallies: list[Tally], finding: Finding) -> float:
    """Return the share of answers that had a fault."""
    answers = sum(tally.answers for tally in tallies)
    return sum(tally.count_of(finding) for tally in tallies) / max(1, answers)
