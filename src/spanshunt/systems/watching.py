"""Checks after a success: whether the version turned bad, and whether others are left.

The workers of the leaving version, which means all other versions, usually stop when
the entering version succeeds. Then no fallback is left and the box can only report the
fault. If they are still there, requests go back to them.
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
"""Number of epochs kept after a success, which bounds the cost of each check."""

TURNED_BAD_THRESHOLD = 9.0
"""Natural log of the change statistic at which a version has turned bad. The checks go
on without end. In each series, a version at the ceiling reaches it once in 8,000 epochs
at most, on average."""

CHECK_PERIOD_MS = 1_000
"""Period of the checks, in ms. At 30 answers a second, a version that fails half shows
it within two seconds."""

LISTING_EXPIRY_MS = 5_000
"""Time after a success from which on listed workers of the leaving version are known to
be running, in ms. The entries of stopped workers expire after three missed heartbeats,
about 3.6 s."""


def check_turned_bad(fleet: Fleet, row: RolloutRow, now: Millis) -> None:
    """Check periodically whether a version that succeeded turned bad, and mark it."""
    if row.verdict is not Verdict.SUCCEEDED or row.turned_bad_reason:
        return
    if now < row.turned_bad_checked_at + CHECK_PERIOD_MS:
        return
    row.turned_bad_checked_at = now
    suspicion = turned_bad_suspicion(pooled_tallies(row))
    if suspicion.log_evidence >= TURNED_BAD_THRESHOLD:
        row.turned_bad_reason = suspicion.reason


def turned_bad_suspicion(tallies: Tallies) -> Suspicion:
    """Return the strongest suspicion of failures after a success, on any route.

    There is no leaving version to compare with, so only failures count, and the ceiling
    is the greatest one of any version, `MAX_CEILINGS`.
    """
    routes = sorted({key.route for key in tallies.routes} | {""})
    found = [_route_suspicion(tallies, route) for route in routes]
    return max(found, key=lambda item: item.log_evidence)


def can_fall_back(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Return whether a version turned bad and workers of other versions are left."""
    if not row.turned_bad_reason or now < row.judged_at + LISTING_EXPIRY_MS:
        return False
    excluded = row.barred | {row.version}
    return any(
        excluded.isdisjoint(worker.versions)
        and worker.name not in fleet.workers.leaving
        and worker.name not in fleet.missing_workers
        for worker in fleet.workers.find_capable(row.service, None)
    )


def drop_old_epochs(fleet: Fleet, now: Millis) -> None:
    """Drop epochs of succeeded versions that are no longer checked."""
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
