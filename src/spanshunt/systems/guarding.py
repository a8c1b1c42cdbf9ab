"""Guard rails of ``spanshuntd``: roll-outs advance, hold or are pulled back.

The roll-outs that operators' orders start on the platform are judged by ``judging.py``
and ``blaming.py``, which have tests and thresholds of their own.

Any box may judge. A step names the stage in which it was judged and is applied only in
that stage, so a step judged by two boxes, or by a box that was paused, takes effect
once.
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
from .learning import counts_by_epoch
from .sequential import log_change_above
from .sequential import log_change_below
from .sequential import log_evidence_above
from .sequential import log_evidence_below

SIGNAL_COUNT = 3
"""Number of signals that are tested: ratings, errors and slow first tokens. The
probability of a false alarm, ``GuardRails.alpha``, is split among them."""

MEAN_EPOCHS_TO_FALSE_ALARM = 144_000
"""Mean number of epochs between two false alarms of one signal, over all its scopes,
after a roll-out is done: 100 days, in epochs of one minute."""

HOLD_PART = 0.5
"""A running roll-out holds its stage while the evidence is at least this part of the
threshold."""


class Scope(t.NamedTuple):
    """What a test covers: all of a version, one request class or one organisation.

    Attributes
    ----------
    name : str
        The scope, as text for operators.
    floor : float
        Least acceptable share of good ratings; the version is bad below it.
    share : float
        Part of the probability of a false alarm that the scope gets: half for all of
        the version, a quarter for all request classes together and a quarter for all
        organisations together. It is no share of requests.
    matches : callable
        Returns whether a cell belongs to the scope.
    """

    name: str
    floor: float
    share: float
    matches: t.Callable[[Cell], bool]


class StrongestEvidence(msgspec.Struct, frozen=True):
    """Result of the test with the strongest evidence against a version.

    Its `log_evidence` is relative to the threshold, unlike that of the tests and of
    :class:`blaming.Suspicion`.

    Attributes
    ----------
    log_evidence : float
        Natural log of the evidence minus the threshold of its test; proof from 0 on.
    part : float
        Evidence as a part of the threshold, from 0 to 1 and beyond.
    reason : str
        The evidence, as text for operators.
    """

    log_evidence: float
    part: float
    reason: str


NO_EVIDENCE = StrongestEvidence(-math.inf, 0.0, "no evidence")


def due_steps(
    config: Config,
    evidence: Evidence,
    suspended: t.Mapping[VersionId, SuspendedRow],
    box: BoxId,
    wall: Millis,
) -> list[RolloutStep]:
    """Return the steps that are due for all roll-outs.

    A version that boxes suspended is pulled back until that step is recorded, whatever
    its latest ratings are: it gets no more requests, so no new evidence can come.
    """
    steps = []
    for row in list(config.rollouts.values()):
        suspended_row = suspended.get(row.version)
        if suspended_row is not None and suspended_row.rollout == row.name:
            step = _pull_back_step(config, row, suspended_row.reason, box, wall)
        else:
            step = due_step(config, row, evidence, box, wall)
        if step is not None:
            steps.append(step)
    return steps


def _pull_back_step(
    config: Config, row: RolloutRow, reason: str, box: BoxId, wall: Millis
) -> RolloutStep | None:
    """Return the pull-back of a suspended version; None once it is recorded."""
    if _is_withdrawn(config, row):
        return None
    return _step(row, StepVerdict.PULL_BACK, reason, box, wall)


def _is_withdrawn(config: Config, row: RolloutRow) -> bool:
    """Return whether the version of a roll-out is withdrawn, so no step can follow.

    A roll-out that is done is not withdrawn: it can still be pulled back.
    """
    version = config.versions.get(row.version)
    withdrawn = version is None or version.state is VersionState.WITHDRAWN
    return withdrawn or row.state is RolloutState.PULLED_BACK


def due_step(
    config: Config, row: RolloutRow, evidence: Evidence, box: BoxId, wall: Millis
) -> RolloutStep | None:
    """Return the step that is due for one roll-out.

    None means that a running roll-out holds its stage, that one that is done stays in
    service, or that the version is already withdrawn.
    """
    if _is_withdrawn(config, row):
        return None
    epochs = counts_by_epoch(evidence, row.version)
    if row.state is RolloutState.DONE:
        strongest = strongest_change_evidence(row.guards, epochs)
        if strongest.log_evidence >= 0:
            return _step(row, StepVerdict.PULL_BACK, strongest.reason, box, wall)
        return None
    totals = _sum_epochs(epochs)
    strongest = strongest_rollout_evidence(row.guards, totals)
    if strongest.log_evidence >= 0:
        return _step(row, StepVerdict.PULL_BACK, strongest.reason, box, wall)
    if strongest.part < HOLD_PART and _is_stage_over(row, totals, wall):
        rated = sum(counts.rated for counts in totals.values())
        reason = f"{rated} ratings and nothing against it"
        return _step(row, StepVerdict.ADVANCE, reason, box, wall)
    return None


def strongest_rollout_evidence(
    guards: GuardRails, totals: dict[Cell, Counts]
) -> StrongestEvidence:
    """Return the strongest evidence against an entering version."""
    found = NO_EVIDENCE
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


def strongest_change_evidence(
    guards: GuardRails, epochs: dict[int, dict[Cell, Counts]]
) -> StrongestEvidence:
    """Return the strongest evidence that a version turned bad in full service."""
    found = NO_EVIDENCE
    totals = _sum_epochs(epochs)
    for scope in _scopes(guards, totals):
        series = [_sum_scope(cells, scope) for cells in epochs.values()]
        counts = _sum_scope(totals, scope)
        threshold = math.log(MEAN_EPOCHS_TO_FALSE_ALARM / scope.share)
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
    """Return the floor of a mix of classes: their floors weighted by ratings.

    A good version is at or above the floor of each class, and so above that of the mix.
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
    found: StrongestEvidence, log_evidence: float, threshold: float, reason: str
) -> StrongestEvidence:
    margin = log_evidence - threshold
    if margin <= found.log_evidence:
        return found
    return StrongestEvidence(margin, max(0.0, log_evidence / threshold), reason)


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
