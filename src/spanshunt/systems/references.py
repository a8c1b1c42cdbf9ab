"""The reference for an entering version: the leaving version, as far as it is healthy.

Answers of any version fail or are late for two reasons: trouble that affects every
worker for a while, and single failing workers. Trouble excuses an entering version
while it lasts; failing workers of the leaving version do not. The bound of the entering
version therefore follows the leaving version epoch by epoch, but only as far as the
healthiest worker of the leaving version shows the fault, too.
"""

import math
import typing as t

from ..tables.rollouts import Finding
from ..tables.rollouts import Tallies
from ..tables.rollouts import Tally
from .tallies import MIN_CEILINGS
from .tallies import trials_by_epoch

CEILING_MARGIN = 0.15
"""How much the share of faulty answers may exceed that of the leaving version and still
be good, up to twice that share."""

MAX_CEILINGS = {Finding.FAILED: 0.25, Finding.SLOW: 0.7}
"""Shares of faulty answers above which a version is bad whatever the leaving version
shows. The ceiling is lower for failures: load delays answers, but a good version had
more failures than this on all its workers only for seconds at a time."""

WINDOW_EPOCHS = 2
"""Number of epochs before and after an epoch whose answers of the leaving version count
for it: 125 answers at 25 a second."""

MIN_WINDOW_ANSWERS = 25
"""Answers up to which older epochs are added to a window. When all requests enter, the
last answers of the leaving version show the effect of their load."""

FULL_PHASE_MIN_CEILINGS = {
    Finding.FAILED: MIN_CEILINGS[Finding.FAILED],
    Finding.SLOW: 0.6,
}
"""Shares of faulty answers below which no version is bad in the full phase. Its engines
then read prompts that they have nothing cached of, and write in between."""

PRIOR_ANSWERS = 10
"""Weight of the share over the order's whole time, in answers, when it is averaged with
the share of a window."""

MIN_WORKER_ANSWERS = 10
"""Answers from which on a worker can show how healthy its version is."""


class Reference(t.NamedTuple):
    """What the leaving version shows of one fault on a route.

    Attributes
    ----------
    finding : Finding
        Kind of fault.
    usual : float
        Share of its answers with the fault, over the order's time.
    common_part : float
        Part of that share that its healthiest worker may show as well, from 0 to 1.
    epochs : dict
        Answers and faulty answers by epoch.
    full_epoch : int
        Epoch from which on all requests may enter.
    """

    finding: Finding
    usual: float
    common_part: float
    epochs: dict[int, tuple[int, int]]
    full_epoch: int

    def usual_at(self, epoch: int) -> float:
        """Return the share of faults in an epoch that all workers have in common."""
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
        """Return the greatest share of faults that is still good in an epoch."""
        min_ceilings = (
            FULL_PHASE_MIN_CEILINGS if epoch >= self.full_epoch else MIN_CEILINGS
        )
        usual = self.usual_at(epoch)
        ceiling = max(min_ceilings[self.finding], usual + min(usual, CEILING_MARGIN))
        return min(MAX_CEILINGS[self.finding], ceiling)


def build_reference(
    tallies: Tallies, route: str, finding: Finding, full_epoch: int
) -> Reference:
    """Return what the leaving version shows of a fault on a route ("" for all)."""
    epochs = trials_by_epoch(tallies, route, finding, entering=False)
    answers = sum(trials for trials, _ in epochs.values())
    faulty = sum(faults for _, faults in epochs.values())
    usual = faulty / answers if answers else 0.0
    common_part = _common_part(tallies, finding)
    return Reference(finding, usual, common_part, epochs, full_epoch)


def _common_part(tallies: Tallies, finding: Finding) -> float:
    """Return the part of the leaving version's faults that is common to its workers.

    It is the share of faults of the healthiest worker relative to that of all, or 1 if
    all workers are alike or none gave enough answers.
    """
    leaving = [tally for key, tally in tallies.workers.items() if not key.entering]
    trials = sum(tally.trials(finding) for tally in leaving)
    faults = sum(tally.faults(finding) for tally in leaving)
    known = [tally for tally in leaving if tally.trials(finding) >= MIN_WORKER_ANSWERS]
    if not faults or not known:
        return 1.0
    healthiest = min(_share_upper_bound(tally, finding) for tally in known)
    return min(1.0, healthiest * trials / faults)


def _share_upper_bound(tally: Tally, finding: Finding) -> float:
    """Return a worker's greatest plausible share of faults: one deviation above."""
    faults = tally.faults(finding) + 1
    return min(1.0, (faults + math.sqrt(faults)) / tally.trials(finding))
