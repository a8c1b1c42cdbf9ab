"""Sums of evidence that boxes told, and taking a newer word of it in."""

from ..tables.rollouts import EvidenceKey
from ..tables.rollouts import Tally


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
