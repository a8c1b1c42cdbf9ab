"""Counts of the answers under an order, and their sums over boxes."""

import msgspec

from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import Finding
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tallies
from ..tables.rollouts import Tally
from ..tables.rollouts import TallyKey
from ..tables.rollouts import Verdict
from ..tables.rollouts import WorkerTallyKey
from ..tables.workers import WorkerRow
from ..utils import unit_hash

MIN_CEILINGS = {
    Finding.FAILED: 0.1,
    Finding.SLOW: 0.25,
    Finding.FAILED_UNDER_LOAD: 0.1,
}
"""Least value of the ceiling, the greatest share of faulty answers that is still good:
whatever the leaving version shows, no version is bad below it. Single answers fail on
healthy workers as well, when a worker or a link breaks. A good version is slow at
first, while its workers have no prompts cached: one in ten answers, even if no worker
fails."""

MIN_FAULTS = 3
"""Number of faulty answers below which there is no evidence against a version, unless a
recorded suspicion gives the statistic to start from."""

SAMPLED_WORKERS = 8
"""Approximate number of workers of each version that are counted separately. Each adds
about 20 bytes to an exchange, and if most workers fail a healthy one should be in the
sample."""

BEGAN = Tally(answers=1)
"""An answer that began."""

FAILED = Tally(answers=1, failed=1)
"""An answer that failed. An answer that breaks off after its first byte is counted
twice, as `BEGAN` and as `FAILED`, each in the epoch in which it happens. It is two
trials with one fault, so if all answers break off, the share of faults is a half."""

IN_TIME, SLOW = Tally(timed=1), Tally(timed=1, slow=1)
"""Observations that an answer was in time, or was slow at its first byte or its events.
"""

OWN_ERROR = Tally(answers=1, failed=1, errors=1)
"""An answer with an error status of the worker's own."""

SILENT = Tally(answers=1, timed=1, slow=1)
"""A worker that gave no answer in time."""


def record_observation(
    fleet: Fleet,
    service: ServiceId,
    route: str,
    worker: WorkerRow,
    now: Millis,
    observed: Tally,
    *,
    loaded: bool = False,
) -> None:
    """Count an observation of an answer, unless the newest order was rolled back.

    It counts for the entering version if the worker serves that version, and else for
    the leaving version, which stands for all other versions of the service. `loaded`
    tells whether the worker was loaded when the request was sent.
    """
    row = fleet.rollouts.rows.get(service)
    if row is None or row.verdict is Verdict.ROLLED_BACK:
        return
    row.changes += 1
    if loaded:
        observed = msgspec.structs.replace(
            observed, loaded=observed.answers, loaded_failed=observed.failed
        )
    entering = row.version in worker.versions
    epoch = max(0, now - row.began) // EPOCH_MS
    row.own.routes.setdefault(TallyKey(route, entering, epoch), Tally()).add(observed)
    if _is_sampled(fleet, row, worker):
        key = WorkerTallyKey(worker.incarnation, entering)
        row.own.workers.setdefault(key, Tally()).add(observed)


def _is_sampled(fleet: Fleet, row: RolloutRow, worker: WorkerRow) -> bool:
    """Return whether a worker is counted separately; all boxes select alike."""
    version = min(worker.versions, default=None)
    candidates = len(fleet.workers.find_capable(row.service, version))
    if candidates <= SAMPLED_WORKERS:
        return True
    return (
        unit_hash("sample", str(row.order), worker.name) < SAMPLED_WORKERS / candidates
    )


def pooled_tallies(row: RolloutRow) -> Tallies:
    """Return the sums over all boxes heard of; callers must not change them.

    The sums are cached between two changes, as one judgement reads them three times.
    """
    if row.total_changes != row.changes:
        row.total = sum_tallies(
            row.own, *row.same_domain.values(), *row.other_domains.values()
        )
        row.total_changes = row.changes
    return row.total


def sum_tallies(*parts: Tallies) -> Tallies:
    """Return the sum of tallies."""
    total = Tallies()
    for part in parts:
        for route_key, tally in part.routes.items():
            total.routes.setdefault(route_key, Tally()).add(tally)
        for worker_key, tally in part.workers.items():
            total.workers.setdefault(worker_key, Tally()).add(tally)
    return total


def count_answers(tallies: Tallies, *, entering: bool) -> int:
    """Return how many answers of the entering or the leaving version are known.

    An answer that broke off after it began counts twice; see `FAILED`.
    """
    return sum(
        tally.answers
        for key, tally in tallies.routes.items()
        if key.entering is entering
    )


def count_loaded_answers(tallies: Tallies) -> tuple[int, int]:
    """Return how many answers of the entering version's loaded workers are known, and
    how many of these failed.
    """
    entering = [tally for key, tally in tallies.routes.items() if key.entering]
    return (
        sum(tally.loaded for tally in entering),
        sum(tally.loaded_failed for tally in entering),
    )


def trials_by_epoch(
    tallies: Tallies, route: str, finding: Finding, *, entering: bool
) -> dict[int, tuple[int, int]]:
    """Return the answers that were checked for a fault, and those with it, by epoch.

    All answers are checked for `Finding.FAILED`, those with a known time for
    `Finding.SLOW`, those of loaded workers for `Finding.FAILED_UNDER_LOAD`. The answers
    are of the entering or the leaving version on a route; "" stands for all routes.
    """
    epochs: dict[int, tuple[int, int]] = {}
    for key, tally in tallies.routes.items():
        if key.entering is entering and route in ("", key.route):
            trials, faults = epochs.get(key.epoch, (0, 0))
            trials += tally.trials(finding)
            faults += tally.faults(finding)
            epochs[key.epoch] = (trials, faults)
    return epochs


def has_excess_faults(row: RolloutRow, route: str) -> bool:
    """Return whether the entering version exceeds the least ceiling on faults.

    Its share of faults, on the route or on all routes, must be above `MIN_CEILINGS`,
    with `MIN_FAULTS` faults in all. This is no test: it needs less evidence than a
    verdict. If the result is wrong, a session whose answer failed moves to the leaving
    version without need, or makes one more attempt on a bad version.
    """
    routes = pooled_tallies(row).routes
    entering = [(key, tally) for key, tally in routes.items() if key.entering]
    for finding, ceiling in MIN_CEILINGS.items():
        everywhere = [tally for _, tally in entering]
        on_route = [tally for key, tally in entering if key.route == route]
        if sum(tally.faults(finding) for tally in everywhere) < MIN_FAULTS:
            continue
        if max(_share(everywhere, finding), _share(on_route, finding)) > ceiling:
            return True
    return False


def _share(tallies: list[Tally], finding: Finding) -> float:
    """Return the share of answers with a fault."""
    trials = sum(tally.trials(finding) for tally in tallies)
    return sum(tally.faults(finding) for tally in tallies) / max(1, trials)
