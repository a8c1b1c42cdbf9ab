"""What an entering version is held against: the leaving one, where that is sound.

Two things make answers of any version fail or come late: trouble that touches every
worker for a while, and single workers that ail. The first excuses an entering version,
at that time; the second does not. So its bound follows the leaving version epoch by
epoch, and only as far as the soundest of that one's workers shows it, too.
"""

import math
import typing as t

from ..tables.rollouts import Finding
from ..tables.rollouts import Tallies
from ..tables.rollouts import Tally
from .tallies import FAULT_FLOORS
from .tallies import trials_by_epoch

CEILING_MARGIN = 0.15
"""How much more than the leaving version's share of answers with a fault is still
sound, up to twice that share."""

MAX_CEILINGS = {Finding.FAILED: 0.25, Finding.SLOW: 0.7}
"""Shares of answers with a fault from which on a version is blamed whatever the leaving
one shows. Failures are held to less: load makes answers late, and no share of failures
over this was seen at all workers of a sound version but in spells of seconds."""

WINDOW_EPOCHS = 2
"""Epochs before and after one whose answers of the leaving version count for it: of
25 answers a second, 125."""

MIN_WINDOW_ANSWERS = 25
"""Where these are fewer, older epochs count as well until they are so many: when all
requests enter, the leaving version's last answers tell what their load does."""

FULL_PHASE_FLOORS = {Finding.FAILED: FAULT_FLOORS[Finding.FAILED], Finding.SLOW: 0.6}
"""Shares that no version is blamed for once all requests enter: its engines then read
what they keep nothing of, and write between that."""

PRIOR_ANSWERS = 10
"""Weight of the order's whole time against these, in answers."""

MIN_WORKER_ANSWERS = 10
"""Answers from which on one worker can show how sound its version is."""


class Reference(t.NamedTuple):
    """What the leaving version shows of one fault on a route.

    Attributes
    ----------
    finding : Finding
        The fault.
    usual : float
        The share of its answers with it, over the order's time.
    common_part : float
        The part of that share which its soundest worker may show, too, in 0 to 1.
    epochs : dict
        Answers and faulty ones by epoch.
    full_epoch : int
        The epoch from which on all requests may enter.
    """

    finding: Finding
    usual: float
    common_part: float
    epochs: dict[int, tuple[int, int]]
    full_epoch: int

    def usual_at(self, epoch: int) -> float:
        """Return the share of answers that such trouble explains in an epoch."""
        answers, faulty = 0, 0
        for near in range(epoch + WINDOW_EPOCHS, -1, -1):
            if near < epoch - WINDOW_EPOCHS and answers >= MIN_WINDOW_ANSWERS:
                break
            trials, faults = self.epochs.get(near, (0, 0))
            answers += trials
            faulty += faults
        share = (faulty + self.usual * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
        return self.common_part * share

    def ceiling_at(self, epoch: int) -> float:
        """Return the share of faulty answers that is still sound in an epoch."""
        floors = FULL_PHASE_FLOORS if epoch >= self.full_epoch else FAULT_FLOORS
        usual = self.usual_at(epoch)
        ceiling = max(floors[self.finding], usual + min(usual, CEILING_MARGIN))
        return min(MAX_CEILINGS[self.finding], ceiling)


def build_reference(
    pooled: Tallies, route: str, finding: Finding, full_epoch: int
) -> Reference:
    """Return what the leaving version shows of a fault on a route ("" for all)."""
    epochs = trials_by_epoch(pooled, route, finding, entering=False)
    answers = sum(trials for trials, _ in epochs.values())
    faulty = sum(faults for _, faults in epochs.values())
    usual = faulty / answers if answers else 0.0
    common_part = _common_part(pooled, finding)
    return Reference(finding, usual, common_part, epochs, full_epoch)


def _common_part(pooled: Tallies, finding: Finding) -> float:
    """Return which part of the leaving version's faults its soundest worker may show.

    That is 1 while all workers are alike or too little is known of any.
    """
    leaving = [tally for key, tally in pooled.workers.items() if not key.entering]
    trials = sum(tally.trials(finding) for tally in leaving)
    faults = sum(tally.faults(finding) for tally in leaving)
    known = [tally for tally in leaving if tally.trials(finding) >= MIN_WORKER_ANSWERS]
    if not faults or not known:
        return 1.0
    soundest = min(_max_share(tally, finding) for tally in known)
    return min(1.0, soundest * trials / faults)


def _max_share(tally: Tally, finding: Finding) -> float:
    """Return how large a worker's share of faults may be: one deviation above."""
    faults = tally.faults(finding) + 1
    return min(1.0, (faults + math.sqrt(faults)) / tally.trials(finding))
