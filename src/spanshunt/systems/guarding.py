"""Guarding: roll-outs step, hold and are pulled back inside their guard rails.

Any box may judge. A step names the stage it was judged in and the fold takes it only in
that stage, so that a step judged by two boxes, or by one that was paused, is made once.
"""

import math
import typing as t

import msgspec

from ..ids import BoxId
from ..ids import Millis
from ..ids import VersionId
from ..records import RolloutStep
from ..records import StepVerdict
from ..tables.config import Config
from ..tables.config import GuardRails
from ..tables.config import RolloutRow
from ..tables.config import RolloutState
from ..tables.config import VersionState
from ..tables.evidence import Cell
from ..tables.evidence import Counts
from ..tables.evidence import Evidence
from ..tables.state import SuspendedRow
from .learning import by_epoch
from .sequential import log_change_above
from .sequential import log_change_below
from .sequential import log_evidence_above
from .sequential import log_evidence_below

SIGNAL_COUNT = 3
"""Ratings, errors, late first tokens: the error rate is split among them."""

LATE_RUN_LENGTH = 144_000
"""Epochs between two false alarms of one test after a roll-out: 100 days."""

HOLD_PART = 0.5
"""A roll-out does not advance while evidence is past this part of the threshold."""


class Scope(t.NamedTuple):
    """What a test looks at: all of a version's work, or one class or organisation."""

    name: str
    floor: float
    share: float
    matches: t.Callable[[Cell], bool]


class Suspicion(msgspec.Struct, frozen=True):
    """The strongest evidence against a version.

    Attributes
    ----------
    log_evidence : float
        In nats, relative to the threshold of its test: from 0 on it is proof.
    part : float
        How far it is on the way to the threshold, from 0 to 1 and beyond.
    reason : str
        For people.
    """

    log_evidence: float
    part: float
    reason: str


NO_SUSPICION = Suspicion(-math.inf, 0.0, "no evidence")


def judge_all(
    config: Config,
    evidence: Evidence,
    suspended: t.Mapping[VersionId, SuspendedRow],
    box: BoxId,
    wall: Millis,
) -> list[RolloutStep]:
    """Return the steps that roll-outs should make now.

    A version that boxes shut out is pulled back until that is recorded, whatever its
    last ratings say: it gets no work any more that could show anything else.
    """
    steps = []
    for row in list(config.rollouts.values()):
        suspended_row = suspended.get(row.version)
        if suspended_row is not None and suspended_row.rollout == row.name:
            step = _pull_back_step(config, row, suspended_row.reason, box, wall)
        else:
            step = judge(config, row, evidence, box, wall)
        if step is not None:
            steps.append(step)
    return steps


def _pull_back_step(
    config: Config, row: RolloutRow, reason: str, box: BoxId, wall: Millis
) -> RolloutStep | None:
    """Return the pull-back of a version that is shut out, None once it is recorded."""
    if _is_over(config, row):
        return None
    return _step(row, StepVerdict.PULL_BACK, reason, box, wall)


def _is_over(config: Config, row: RolloutRow) -> bool:
    """Tell whether a roll-out makes no further step: its version is out of service."""
    version = config.versions.get(row.version)
    withdrawn = version is None or version.state is VersionState.WITHDRAWN
    return withdrawn or row.state is RolloutState.PULLED_BACK


def judge(
    config: Config, row: RolloutRow, evidence: Evidence, box: BoxId, wall: Millis
) -> RolloutStep | None:
    """Return the step that one roll-out should make now, None to hold."""
    if _is_over(config, row):
        return None
    epochs = by_epoch(evidence, row.version)
    if row.state is RolloutState.DONE:
        suspicion = late_suspicion(row.guards, epochs)
        if suspicion.log_evidence >= 0:
            return _step(row, StepVerdict.PULL_BACK, suspicion.reason, box, wall)
        return None
    totals = _sum_epochs(epochs)
    suspicion = rollout_suspicion(row.guards, totals)
    if suspicion.log_evidence >= 0:
        return _step(row, StepVerdict.PULL_BACK, suspicion.reason, box, wall)
    if suspicion.part < HOLD_PART and _is_stage_over(row, totals, wall):
        rated = sum(counts.rated for counts in totals.values())
        reason = f"{rated} ratings and nothing against it"
        return _step(row, StepVerdict.ADVANCE, reason, box, wall)
    return None


def rollout_suspicion(guards: GuardRails, totals: dict[Cell, Counts]) -> Suspicion:
    """Return the strongest evidence against a version that is entering."""
    found = NO_SUSPICION
    for scope in _scopes(guards, totals):
        counts = _sum_scope(totals, scope)
        threshold = math.log(SIGNAL_COUNT / (guards.alpha * scope.share))
        below = log_evidence_below(counts.rated, counts.good, scope.floor)
        errors = log_evidence_above(counts.runs, counts.errors, guards.error_ceiling)
        slow = log_evidence_above(counts.runs, counts.slow, guards.slow_ceiling)
        found = _stronger(found, below, threshold, _quality_reason(scope, counts))
        found = _stronger(
            found, errors, threshold, f"{scope.name}: {counts.errors} errors"
        )
        found = _stronger(
            found, slow, threshold, f"{scope.name}: {counts.slow} late first tokens"
        )
    return found


def late_suspicion(
    guards: GuardRails, epochs: dict[int, dict[Cell, Counts]]
) -> Suspicion:
    """Return the strongest evidence that a version in full service turned bad."""
    found = NO_SUSPICION
    totals = _sum_epochs(epochs)
    for scope in _scopes(guards, totals):
        series = [_sum_scope(cells, scope) for cells in epochs.values()]
        counts = _sum_scope(totals, scope)
        threshold = math.log(LATE_RUN_LENGTH / scope.share)
        rated = [(item.rated, item.good) for item in series]
        errors = [(item.runs, item.errors) for item in series]
        slow = [(item.runs, item.slow) for item in series]
        found = _stronger(
            found,
            log_change_below(rated, scope.floor),
            threshold,
            f"turned bad, {_quality_reason(scope, counts)}",
        )
        found = _stronger(
            found,
            log_change_above(errors, guards.error_ceiling),
            threshold,
            f"turned bad, {scope.name}: errors",
        )
        found = _stronger(
            found,
            log_change_above(slow, guards.slow_ceiling),
            threshold,
            f"turned bad, {scope.name}: late first tokens",
        )
    return found


def _is_stage_over(row: RolloutRow, totals: dict[Cell, Counts], wall: Millis) -> bool:
    rated = sum(counts.rated for counts in totals.values())
    long_enough = wall - row.stage_since >= row.guards.stage_ms
    return long_enough and rated >= row.guards.stage_ratings * (row.stage + 1)


def _scopes(guards: GuardRails, totals: dict[Cell, Counts]) -> list[Scope]:
    classes = sorted({cell.request_class for cell in totals})
    orgs = sorted({cell.org for cell in totals})
    mixed = _mixed_floor(guards, totals)
    scopes = [Scope("all", mixed, 0.5, lambda _cell: True)]
    for name in classes:
        floor = guards.class_floors.get(name, guards.good_floor)
        scopes.append(
            Scope(
                f"class {name}",
                floor,
                0.25 / len(classes),
                lambda cell, name=name: cell.request_class == name,  # type: ignore[misc]
            )
        )
    for org in orgs:
        own = {cell: counts for cell, counts in totals.items() if cell.org == org}
        scopes.append(
            Scope(
                f"organisation {org}",
                _mixed_floor(guards, own),
                0.25 / len(orgs),
                lambda cell, org=org: cell.org == org,  # type: ignore[misc]
            )
        )
    return scopes


def _mixed_floor(guards: GuardRails, totals: dict[Cell, Counts]) -> float:
    """Return the floor of a mix of classes: their floors, by how often each was rated.

    A sound version is at or over each class's floor, so its mix is over this one.
    """
    rated = sum(counts.rated for counts in totals.values())
    if rated == 0:
        return guards.good_floor
    weighted = sum(
        counts.rated * guards.class_floors.get(cell.request_class, guards.good_floor)
        for cell, counts in totals.items()
    )
    return weighted / rated


def _sum_epochs(epochs: dict[int, dict[Cell, Counts]]) -> dict[Cell, Counts]:
    totals: dict[Cell, Counts] = {}
    for cells in epochs.values():
        for cell, counts in cells.items():
            totals.setdefault(cell, Counts()).add(counts)
    return totals


def _sum_scope(cells: dict[Cell, Counts], scope: Scope) -> Counts:
    total = Counts()
    for cell, counts in cells.items():
        if scope.matches(cell):
            total.add(counts)
    return total


def _stronger(
    found: Suspicion, log_evidence: float, threshold: float, reason: str
) -> Suspicion:
    margin = log_evidence - threshold
    if margin <= found.log_evidence:
        return found
    return Suspicion(margin, max(0.0, log_evidence / threshold), reason)


def _quality_reason(scope: Scope, counts: Counts) -> str:
    return (
        f"{scope.name}: {counts.good} of {counts.rated} answers good, "
        f"the floor is {scope.floor:.0%}"
    )


def _step(
    row: RolloutRow, verdict: StepVerdict, reason: str, box: BoxId, wall: Millis
) -> RolloutStep:
    return RolloutStep(
        rollout=row.name,
        from_stage=row.stage,
        verdict=verdict,
        reason=reason,
        box=box,
        at=wall,
    )
