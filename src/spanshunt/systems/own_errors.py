"""Answers with an error status that a worker gives itself.

A link, a crash or a full worker is no cause of such an answer, so a version may be held
to far fewer of them than of failures of all kinds. Only routes on which the leaving
version gives hardly any count: on another one the requests may be the cause.
"""

import math

from ..tables.rollouts import Finding
from ..tables.rollouts import Tallies

ERROR_CEILING = 0.03
"""Greatest share of errors on sound routes that is still good."""

MIN_OWN_ERRORS = 6
"""Number of errors below which they are no evidence by themselves: a version that
mostly fails is proven bad by fewer failures of all kinds."""

MIN_SOUND_ANSWERS, SOUND_ERROR_SHARE = 10, 0.02
"""Answers of the leaving version from which on it can show that a route is sound, and
the greatest share of errors that it may give there besides one."""

DOUBTED_SHARE, USUAL_SHARE = 0.05, 0.005
"""Shares of errors of a version that is bad in part and of a good one. A version is
doubted while the first explains its answers better."""

MIN_DOUBTED_ERRORS = 2
"""Least number of errors for a doubt: a single one may be the request's."""

OTHERS_WITHOUT_ERROR = 20
"""Answers without an error of all workers but the worst one that show that the errors
are that worker's."""


def sound_routes(tallies: Tallies) -> set[str]:
    """Return the routes on which the leaving version gives hardly any errors."""
    counts: dict[str, tuple[int, int]] = {}
    for key, tally in tallies.routes.items():
        if not key.entering:
            answers, errors = counts.get(key.route, (0, 0))
            counts[key.route] = (answers + tally.answers, errors + tally.errors)
    return {
        route
        for route, (answers, errors) in counts.items()
        if answers >= MIN_SOUND_ANSWERS and errors <= 1 + SOUND_ERROR_SHARE * answers
    }


def errors_by_epoch(tallies: Tallies) -> dict[int, tuple[int, int]]:
    """Return the entering version's answers and errors on sound routes, by epoch."""
    routes = sound_routes(tallies)
    epochs: dict[int, tuple[int, int]] = {}
    for key, tally in tallies.routes.items():
        if key.entering and key.route in routes:
            answers, errors = epochs.get(key.epoch, (0, 0))
            answers += tally.trials(Finding.OWN_ERROR)
            epochs[key.epoch] = (answers, errors + tally.faults(Finding.OWN_ERROR))
    return epochs


def has_doubted_errors(tallies: Tallies) -> bool:
    """Return whether a version that is bad in part explains the errors better."""
    epochs = errors_by_epoch(tallies).values()
    answers = sum(trials for trials, _ in epochs)
    errors = sum(faults for _, faults in epochs)
    if errors < MIN_DOUBTED_ERRORS or _are_of_one_worker(tallies):
        return False
    log_ratio = errors * math.log(DOUBTED_SHARE / USUAL_SHARE)
    log_ratio += (answers - errors) * math.log((1 - DOUBTED_SHARE) / (1 - USUAL_SHARE))
    return log_ratio > 0.0


def _are_of_one_worker(tallies: Tallies) -> bool:
    entering = [tally for key, tally in tallies.workers.items() if key.entering]
    if not entering:
        return False
    worst = max(entering, key=lambda tally: tally.errors)
    answers = sum(tally.answers for tally in entering) - worst.answers
    errors = sum(tally.errors for tally in entering) - worst.errors
    return errors == 0 and answers >= OTHERS_WITHOUT_ERROR
