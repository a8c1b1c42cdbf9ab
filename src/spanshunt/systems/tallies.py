"""Counting answers under an order, and pooling what boxes counted."""

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

FAULT_FLOORS = {Finding.FAILED: 0.1, Finding.SLOW: 0.25}
"""Shares of answers with a fault that no version is blamed for. Single answers fail on
sound workers, too, when a worker or a link breaks; and a sound version is slow at
first, while its engines keep no prompts: one in ten answers on a calm day."""

MIN_FAULTS = 3
"""Bad answers without which nothing is held against a version."""

SAMPLED_WORKERS = 8
"""Workers of each version that are counted one by one, about: each takes some 20 bytes
in an exchange, and where most are ailing a sound one should be among them."""

BEGAN = Tally(answers=1)
"""An answer that began."""

FAILED = Tally(answers=1, failed=1)
"""An answer that failed. One that had begun counts anew, so that each count is of its
own epoch."""

IN_TIME, SLOW = Tally(timed=1), Tally(timed=1, slow=1)
"""An answer whose time is known."""

SILENT = Tally(answers=1, timed=1, slow=1)
"""A worker that gave no answer in time."""


def count_answer(
    fleet: Fleet,
    service: ServiceId,
    route: str,
    worker: WorkerRow,
    now: Millis,
    seen: Tally,
) -> None:
    """Count what was seen of an answer, unless the newest order was taken back."""
    row = fleet.rollouts.rows.get(service)
    if row is None or row.verdict is Verdict.ROLLED_BACK:
        return
    row.changes += 1
    entering = row.version in worker.versions
    epoch = max(0, now - row.began) // EPOCH_MS
    row.own.routes.setdefault(TallyKey(route, entering, epoch), Tally()).add(seen)
    if _is_sampled(fleet, row, worker):
        key = WorkerTallyKey(worker.incarnation, entering)
        row.own.workers.setdefault(key, Tally()).add(seen)


def _is_sampled(fleet: Fleet, row: RolloutRow, worker: WorkerRow) -> bool:
    """Tell whether a worker is counted by itself: the same ones on every box."""
    version = min(worker.versions, default=None)
    alike = len(fleet.workers.find_capable(row.service, version))
    if alike <= SAMPLED_WORKERS:
        return True
    return unit_hash("sample", str(row.order), worker.name) < SAMPLED_WORKERS / alike


def pooled_tallies(row: RolloutRow) -> Tallies:
    """Return the tallies of all boxes, as far as this one heard; not to be changed.

    They are added up once for all that looks at them between two changes: a judgement
    looks three times.
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
    """Return how many answers of the entering or the leaving version are known."""
    return sum(
        tally.answers
        for key, tally in tallies.routes.items()
        if key.entering is entering
    )


def trials_by_epoch(
    tallies: Tallies, route: str, finding: Finding, *, entering: bool
) -> dict[int, tuple[int, int]]:
    """Return answers that could show a fault, and those that did, by epoch.

    They are those of the entering or the leaving version on a route; "" takes all.
    """
    epochs: dict[int, tuple[int, int]] = {}
    for key, tally in tallies.routes.items():
        if key.entering is entering and route in ("", key.route):
            trials, faults = epochs.get(key.epoch, (0, 0))
            trials += tally.trials(finding)
            faults += tally.faults(finding)
            epochs[key.epoch] = (trials, faults)
    return epochs


def is_version_suspected(row: RolloutRow, route: str) -> bool:
    """Tell whether answers of the entering version speak against it, on a route or all.

    It needs less than a verdict does: to be wrong moves a session whose answer failed,
    or costs it one more attempt.
    """
    routes = pooled_tallies(row).routes
    entering = [(key, tally) for key, tally in routes.items() if key.entering]
    for finding, floor in FAULT_FLOORS.items():
        everywhere = [tally for _, tally in entering]
        here = [tally for key, tally in entering if key.route == route]
        if sum(tally.faults(finding) for tally in everywhere) < MIN_FAULTS:
            continue
        if max(_share(everywhere, finding), _share(here, finding)) > floor:
            return True
    return False


def _share(tallies: list[Tally], finding: Finding) -> float:
    """Return the share of answers that had a fault."""
    trials = sum(tally.trials(finding) for tally in tallies)
    return sum(tally.faults(finding) for tally in tallies) / max(1, trials)
