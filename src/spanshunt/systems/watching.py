"""After success: whether a version turned bad, and whether there is a way back.

The workers of the version before usually stop at its success; then there is none, and
all that helps is that somebody is told. Where they are still there, requests go back.
"""

import math

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import Finding
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tallies
from ..tables.rollouts import Verdict
from .blaming import Suspicion
from .references import MAX_CEILINGS
from .sequential import log_change_above_each
from .tallies import MIN_FAULTS
from .tallies import pooled_tallies
from .tallies import trials_by_epoch

KEPT_EPOCHS = 60
"""Epochs kept after success: what a box adds up each time it looks stays small."""

LATE_EVIDENCE_THRESHOLD = 9.0
"""Natural log of the change statistic at which a version has turned bad: there is no
end to the looks, and a sound one reaches it about once in 8,000 epochs of a series."""

CHECK_PERIOD_MS = 1_000
"""How often a box looks, in ms: of 30 answers a second, a version that fails half shows
it within two seconds."""

LISTING_EXPIRY_MS = 5_000
"""How long after success entries of the version before tell that its workers are there,
in ms: those of workers that stopped lapse after three heartbeats, about 3.6 s."""


def check_turned_bad(fleet: Fleet, row: RolloutRow, now: Millis) -> None:
    """Look now and then whether a version that succeeded turned bad, and note it."""
    if row.verdict is not Verdict.SUCCEEDED or row.turned_bad_reason:
        return
    if now < row.turned_bad_checked_at + CHECK_PERIOD_MS:
        return
    row.turned_bad_checked_at = now
    suspicion = late_suspicion(pooled_tallies(row))
    if suspicion.log_evidence >= LATE_EVIDENCE_THRESHOLD:
        row.turned_bad_reason = suspicion.reason


def late_suspicion(tallies: Tallies) -> Suspicion:
    """Return what speaks most for failures beyond any share that trouble explains.

    Nothing is left to hold the version against, and nothing is compared but failures.
    """
    routes = sorted({key.route for key in tallies.routes} | {""})
    found = [_route_suspicion(tallies, route) for route in routes]
    return max(found, key=lambda item: item.log_evidence)


def can_fall_back(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Tell whether a version that turned bad can be left: others are there."""
    if not row.turned_bad_reason or now < row.judged_at + LISTING_EXPIRY_MS:
        return False
    out = row.barred | {row.version}
    return any(
        out.isdisjoint(worker.versions)
        and worker.name not in fleet.workers.leaving
        and worker.name not in fleet.missing_workers
        for worker in fleet.workers.find_capable(row.service, None)
    )


def drop_old_epochs(fleet: Fleet, now: Millis) -> None:
    """Drop epochs of succeeded versions that are no longer looked at."""
    for row in fleet.rollouts.rows.values():
        if row.verdict is not Verdict.SUCCEEDED:
            continue
        row.changes += 1
        oldest = (now - row.began) // EPOCH_MS - KEPT_EPOCHS
        for tallies in (
            row.own,
            *row.same_domain.values(),
            *row.other_domains.values(),
        ):
            for key in [key for key in tallies.routes if key.epoch < oldest]:
                del tallies.routes[key]


def _route_suspicion(tallies: Tallies, route: str) -> Suspicion:
    ceiling = MAX_CEILINGS[Finding.FAILED]
    epochs = trials_by_epoch(tallies, route, Finding.FAILED, entering=True)
    series = [epochs[number] for number in sorted(epochs)]
    faulty = sum(faults for _, faults in series)
    log_evidence = -math.inf
    if faulty >= MIN_FAULTS:
        log_evidence = log_change_above_each(series, [ceiling] * len(series))
    answers = sum(trials for trials, _ in series)
    return Suspicion(route, Finding.FAILED, answers, faulty, 0.0, ceiling, log_evidence)
