"""Learning from results: counting, pooling and estimating the quality of versions.

The quality of a cell, that is of a version for one request class and organisation, is
estimated from the organisation's own ratings and two nested priors. The class prior is
the mean over the ratings of all other organisations. Its strength says how many of the
organisation's own ratings it counts as. That mean itself starts from a base prior,
which counts as a fixed number of ratings.
"""

import math
import typing as t

import msgspec

from ..ids import ClassId
from ..ids import Millis
from ..ids import VersionId
from ..tables.evidence import EPOCH_MS
from ..tables.evidence import EPOCHS
from ..tables.evidence import Cell
from ..tables.evidence import Counts
from ..tables.evidence import EpochCounts
from ..tables.evidence import Evidence
from ..tables.evidence import EvidenceKey
from ..tables.evidence import Pool

GOOD_SCORE = 0.5
"""Minimum score of a good rating."""

MIN_PRIOR_STRENGTH = 20.0
MAX_PRIOR_STRENGTH = 2_000.0
"""Bounds of the strength of the class prior, in ratings. The value between them is
learned from the variance between organisations. The class prior never counts as more
ratings than the other organisations gave."""

MIN_ORG_RATINGS = 10
"""Minimum number of ratings for an organisation to count in the variance between
organisations."""

BASE_PRIOR_MEAN = 0.5
BASE_PRIOR_RATINGS = 2.0
"""Mean of the base prior, and the number of ratings that it counts as."""

Z_LOWER = 1.645
"""Width of the interval below the mean, in standard deviations: one-sided 95 %."""

Z_UPPER = 2.576
"""Width of the interval above the mean, in standard deviations: one-sided 99.5 %,
because it is tested after every rating."""

MIN_TRIAL_RATINGS = 12.0
"""Number of ratings, as counted by :attr:`QualityEstimate.ratings`, below which a
version may always meet a target. With fewer, its upper bound is not tested, so that a
few bad ratings do not end a trial, nor keep requests from a new model that enters. The
number includes both priors, and so ratings of other organisations; the organisation
itself may have none."""


class QualityEstimate(msgspec.Struct, frozen=True):
    """Estimate of the share of good answers.

    Attributes
    ----------
    mean, low, high : float
        Mean and bounds, in 0 to 1. The bounds are one-sided: 95 % below and 99.5 %
        above.
    ratings : float
        Number of ratings that the estimate counts as: the organisation's own, plus the
        weights of the class prior and of the base prior.
    """

    mean: float
    low: float
    high: float
    ratings: float

    def may_meet(self, target: float) -> bool:
        """Return whether the share may reach `target`, according to the evidence so
        far.

        With fewer than `MIN_TRIAL_RATINGS` it always may.
        """
        return self.ratings < MIN_TRIAL_RATINGS or self.high >= target


def epoch_of(wall: Millis) -> int:
    """Return the epoch of a wall-clock time."""
    return wall // EPOCH_MS


def record_counts(
    evidence: Evidence, origin: str, wall: Millis, cell: Cell, counts: Counts
) -> None:
    """Add results that this box observed."""
    key = EvidenceKey(origin, epoch_of(wall), cell)
    _get_row(evidence, key).add(counts)
    _add_to_pool(evidence.pool, cell, counts)
    _mark_changed(evidence, key)


def merge_counts(
    evidence: Evidence, rows: t.Iterable[EpochCounts], wall: Millis
) -> int:
    """Merge peers' counts and return how many rows changed."""
    oldest = epoch_of(wall) - EPOCHS
    changed_rows = 0
    for row in rows:
        key = EvidenceKey(row.origin, row.epoch, row.cell)
        held = evidence.rows.get(key)
        if row.epoch <= oldest or (held is not None and held.covers(row.counts)):
            continue
        change = msgspec.structs.replace(row.counts)
        if held is not None:
            change.subtract(held)
        _get_row(evidence, key).add(change)
        _add_to_pool(evidence.pool, key.cell, change)
        _mark_changed(evidence, key)
        changed_rows += 1
    return changed_rows


def changes_since(
    evidence: Evidence, first_change: int, limit: int
) -> tuple[tuple[EpochCounts, ...], int]:
    """Return up to `limit` changed rows, and the number of the first change left out.

    Changes with a number below `first_change` are not returned. The oldest changes come
    first, so that a peer gets the rest if the returned number is passed next time.
    """
    rows: list[EpochCounts] = []
    next_change = evidence.next_change
    recent = []
    for key, changed in reversed(evidence.changed.items()):
        if changed < first_change:
            break
        recent.append((key, changed))
    for key, changed in reversed(recent):
        if len(rows) == limit:
            next_change = changed
            break
        cell = key.cell
        counts = msgspec.structs.replace(evidence.rows[key])
        rows.append(
            EpochCounts(
                key.origin,
                key.epoch,
                cell.version,
                cell.request_class,
                cell.org,
                counts,
            )
        )
    return tuple(rows), next_change


def expire_epochs(evidence: Evidence, wall: Millis) -> None:
    """Remove the epochs that are more than an hour old."""
    oldest = epoch_of(wall) - EPOCHS
    for key in [key for key in evidence.rows if key.epoch <= oldest]:
        gone = evidence.rows.pop(key)
        del evidence.changed[key]
        evidence.by_version[key.cell.version].discard(key)
        _take_from_pool(evidence.pool, key.cell, gone)


def counts_by_epoch(
    evidence: Evidence, version: VersionId
) -> dict[int, dict[Cell, Counts]]:
    """Return the counts of `version`, summed over origins, by epoch and cell."""
    epochs: dict[int, dict[Cell, Counts]] = {}
    for key in evidence.by_version.get(version, ()):
        cells = epochs.setdefault(key.epoch, {})
        cells.setdefault(key.cell, Counts()).add(evidence.rows[key])
    return dict(sorted(epochs.items()))


def estimate_quality(
    pool: Pool, cell: Cell, strength: float | None = None
) -> QualityEstimate:
    """Estimate the quality of a cell from its own ratings and the two priors.

    Parameters
    ----------
    pool : Pool
        The pooled evidence.
    cell : Cell
        The cell to estimate.
    strength : float, optional
        Strength of the class prior, in ratings, if it is already known.
    """
    if strength is None:
        strength = prior_strength(pool, cell.version, cell.request_class)
    class_counts = pool.classes.get((cell.version, cell.request_class), Counts())
    own = pool.cells.get(cell, Counts())
    others_rated = class_counts.rated - own.rated
    others_good = class_counts.good - own.good
    prior_mean = (others_good + BASE_PRIOR_RATINGS * BASE_PRIOR_MEAN) / (
        others_rated + BASE_PRIOR_RATINGS
    )
    prior = BASE_PRIOR_RATINGS + min(strength, others_rated)
    total = prior + own.rated
    mean = (prior * prior_mean + own.good) / total
    deviation = math.sqrt(mean * (1 - mean) / (total + 1))
    low = max(0.0, mean - Z_LOWER * deviation)
    high = min(1.0, mean + Z_UPPER * deviation)
    return QualityEstimate(mean, low, high, total)


def prior_strength(pool: Pool, version: VersionId, name: ClassId) -> float:
    """Return the strength of the class prior, in ratings of the organisation itself.

    The variance between organisations is estimated from that of their means, less the
    part that chance explains (method of moments of DerSimonian and Laird, 1986). If the
    organisations do not differ, the mean of the class predicts each as well as its own
    ratings do, and the strength is `MAX_PRIOR_STRENGTH`. If they cannot be compared, it
    is `MIN_PRIOR_STRENGTH`.
    """
    pair = (version, name)
    class_counts = pool.classes.get(pair, Counts())
    mean = class_counts.good / class_counts.rated if class_counts.rated else 0.0
    variance = mean * (1 - mean)
    rows = [
        counts
        for org in pool.orgs.get(pair, ())
        if (counts := pool.cells[Cell(version, name, org)]).rated >= MIN_ORG_RATINGS
    ]
    if len(rows) < 2 or variance <= 0:
        return MIN_PRIOR_STRENGTH
    total = sum(row.rated for row in rows)
    squares = sum(row.rated**2 for row in rows)
    weighted_variance = sum(
        row.rated * (row.good / row.rated - mean) ** 2 for row in rows
    )
    excess = weighted_variance / variance - (len(rows) - 1)
    between_variance = max(0.0, excess * variance / (total - squares / total))
    if between_variance == 0.0:
        return MAX_PRIOR_STRENGTH
    return min(
        MAX_PRIOR_STRENGTH, max(MIN_PRIOR_STRENGTH, variance / between_variance - 1)
    )


def _mark_changed(evidence: Evidence, key: EvidenceKey) -> None:
    evidence.changed.pop(key, None)
    evidence.changed[key] = evidence.next_change
    evidence.next_change += 1


def _get_row(evidence: Evidence, key: EvidenceKey) -> Counts:
    row = evidence.rows.get(key)
    if row is None:
        row = evidence.rows[key] = Counts()
        evidence.by_version.setdefault(key.cell.version, set()).add(key)
    return row


def _add_to_pool(pool: Pool, cell: Cell, change: Counts) -> None:
    pool.cells.setdefault(cell, Counts()).add(change)
    pair = (cell.version, cell.request_class)
    pool.classes.setdefault(pair, Counts()).add(change)
    pool.orgs.setdefault(pair, set()).add(cell.org)


def _take_from_pool(pool: Pool, cell: Cell, change: Counts) -> None:
    own = pool.cells[cell]
    own.subtract(change)
    pair = (cell.version, cell.request_class)
    pool.classes[pair].subtract(change)
    if own == Counts():
        del pool.cells[cell]
        pool.orgs[pair].discard(cell.org)
