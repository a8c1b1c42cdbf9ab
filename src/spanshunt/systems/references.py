"""The reference for an entering version: the leaving version, as far as it is healthy.

The leaving version stands for all other versions of the service that answer under the
order. Answers of any version fail or are slow for two reasons: a disturbance of the
whole fleet, which affects every worker for a while, and single failing workers. A
disturbance excuses faults of the entering version while it lasts; failing workers of
the leaving version do not. The ceiling, the greatest share of faults of the entering
version that is still good, therefore follows the leaving version epoch by epoch, but
only as far as the healthiest worker of the leaving version shows the fault, too.
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

MAX_CEILINGS = {
    Finding.FAILED: 0.25,
    Finding.SLOW: 0.7,
    Finding.FAILED_UNDER_LOAD: 0.25,
}
"""Shares of faulty answers above which a version is bad whatever the leaving version
shows. The ceiling is lower for failures: load delays answers, but a good version had
more failures than this on all its workers only for seconds at a time."""

WINDOW_EPOCHS = 2
"""Number of epochs before and after an epoch whose answers of the leaving version count
for it: 125 answers at 25 a second."""

MIN_WINDOW_ANSWERS = 25
"""Answers up to which older epochs are added to a window. When all requests enter, the
leaving version gets hardly any answers; its last ones still show the effect of the
load."""

UNCACHED_MIN_CEILINGS = {
    **MIN_CEILINGS,
    Finding.SLOW: 0.6,
}
"""`MIN_CEILINGS` in the full phase of a service with prompts. The workers of the
entering version then prefill prompts of which they have nothing cached and generate
output in between, so a good version may be slow as well. Workers of plain services have
no such reason."""

PLAIN_MIN_CEILINGS = {
    **MIN_CEILINGS,
    Finding.SLOW: 0.1,
}
"""`MIN_CEILINGS` of a service without prompts: its workers have no caches to fill, so
few answers of a good version are slow, as few fail."""

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
        Share of its answers with the fault, over the order's whole time and from all
        workers. `usual_at` gives the part of it that is excused in an epoch.
    common_part : float
        Part of that share that all its workers have in common, from 0 to 1. It is an
        upper estimate by the healthiest worker.
    epochs : dict
        Answers and faulty answers by epoch.
    uncached_from : int or None
        Epoch from which on the version's workers get prompts of which they have nothing
        cached; None for a service without prompts.
    """

    finding: Finding
    usual: float
    common_part: float
    epochs: dict[int, tuple[int, int]]
    uncached_from: int | None

    def usual_at(self, epoch: int) -> float:
        """Return the share of faults in an epoch that the leaving version excuses.

        It is the share in the window around the epoch, averaged with `usual`, times
        `common_part`. The window is extended to older epochs if it has fewer than
        `MIN_WINDOW_ANSWERS` answers.
        """
        answers, faulty = 0, 0
        known = [near for near in self.epochs if 0 <= near <= epoch + WINDOW_EPOCHS]
        for near in sorted(known, reverse=True):
            if near < epoch - WINDOW_EPOCHS and answers >= MIN_WINDOW_ANSWERS:
                break
            trials, faults = self.epochs[near]
            answers += trials
            faulty += faults
        share = (faulty + self.usual * PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
        return self.common_part * share

    def ceiling_at(self, epoch: int) -> float:
        """Return the greatest share of faults that is still good in an epoch."""
        usual = self.usual_at(epoch)
        least = self._min_ceilings(epoch)[self.finding]
        ceiling = max(least, usual + min(usual, CEILING_MARGIN))
        return min(MAX_CEILINGS[self.finding], ceiling)

    def _min_ceilings(self, epoch: int) -> dict[Finding, float]:
        if self.uncached_from is None:
            return PLAIN_MIN_CEILINGS
        return UNCACHED_MIN_CEILINGS if epoch >= self.uncached_from else MIN_CEILINGS


def build_reference(
    tallies: Tallies, route: str, finding: Finding, uncached_from: int | None
) -> Reference:
    """Return what the leaving version shows of a fault on a route ("" for all)."""
    epochs = trials_by_epoch(tallies, route, finding, entering=False)
    answers = sum(trials for trials, _ in epochs.values())
    faulty = sum(faults for _, faults in epochs.values())
    usual = faulty / answers if answers else 0.0
    common_part = _common_part(tallies, finding)
    return Reference(finding, usual, common_part, epochs, uncached_from)


def _common_part(tallies: Tallies, finding: Finding) -> float:
    """Return the part of the leaving version's faults that is common to its workers.

    It is the upper estimate of the healthiest worker's share of faults relative to the
    share of all, or 1 if all workers are alike or none gave enough answers.
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
    """Return an upper estimate of a worker's share of faults.

    It adds one fault and one standard deviation to the count. A worker with few answers
    may show no fault by chance; an estimate that is too low would lower the ceiling and
    roll good versions back.
    """
    faults = tally.faults(finding) + 1
    return min(1.0, (faults + math.sqrt(faults)) / tally.trials(finding))
