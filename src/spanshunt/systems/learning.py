"""Learning: count what was seen, pool it, estimate what a version is worth."""

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
"""A rating from here on is good."""

LEAST_STRENGTH = 20.0
MOST_STRENGTH = 2_000.0
"""How many ratings of an organisation itself its class's mean may be worth.

Where between them is learned from how much organisations differ.
"""

LEAST_RATED = 10
"""An organisation with fewer ratings says nothing of how much they differ."""

PRIOR_MEAN = 0.5
PRIOR_RATINGS = 2.0

Z_CONFIDENCE = 1.645
"""Width of an interval downwards, in standard deviations: one-sided 95 %."""

Z_HOPE = 2.576
"""Width upwards: one-sided 99.5 %, since it is looked at after every rating."""

LEAST_TRIAL = 12.0
"""With fewer ratings than this, two of them the prior's, no version is given up."""


class Estimate(msgspec.Struct, frozen=True):
    """The share of good answers that is to be expected.

    Attributes
    ----------
    mean, low, high : float
        From 0 to 1; one-sided bounds of 95 % downwards and 99.5 % upwards.
    ratings : float
        How many ratings the estimate is worth.
    """

    mean: float
    low: float
    high: float
    ratings: float

    def may_meet(self, target: float) -> bool:
        """Tell whether the share may be at `target` or over it, as far as is known."""
        return self.ratings < LEAST_TRIAL or self.high >= target


def epoch_of(wall: Millis) -> int:
    """Return the epoch of a wall clock time."""
    return wall // EPOCH_MS


def observe(
    evidence: Evidence, origin: str, wall: Millis, cell: Cell, seen: Counts
) -> None:
    """Count what this box saw."""
    key = EvidenceKey(origin, epoch_of(wall), cell)
    _row(evidence, key).add(seen)
    _add_to_pool(evidence.pool, cell, seen)
    _touch(evidence, key)


def merge(evidence: Evidence, rows: t.Iterable[EpochCounts], wall: Millis) -> int:
    """Take in peers' counts; return how many rows were news."""
    oldest = epoch_of(wall) - EPOCHS
    news = 0
    for row in rows:
        key = EvidenceKey(row.origin, row.epoch, row.cell)
        held = evidence.rows.get(key)
        if row.epoch <= oldest or (held is not None and held.covers(row.counts)):
            continue
        change = msgspec.structs.replace(row.counts)
        if held is not None:
            change.subtract(held)
        _row(evidence, key).add(change)
        _add_to_pool(evidence.pool, key.cell, change)
        _touch(evidence, key)
        news += 1
    return news


def news_since(
    evidence: Evidence, ticket: int, limit: int
) -> tuple[tuple[EpochCounts, ...], int]:
    """Return up to `limit` rows changed since `ticket`, and the ticket to go on from.

    The oldest changes come first, so that a peer which asks again gets the rest.
    """
    found: list[EpochCounts] = []
    upto = evidence.next_change
    recent = []
    for key, changed in reversed(evidence.changed.items()):
        if changed < ticket:
            break
        recent.append((key, changed))
    for key, changed in reversed(recent):
        if len(found) == limit:
            upto = changed
            break
        cell = key.cell
        counts = msgspec.structs.replace(evidence.rows[key])
        found.append(
            EpochCounts(
                key.origin,
                key.epoch,
                cell.version,
                cell.request_class,
                cell.org,
                counts,
            )
        )
    return tuple(found), upto


def expire(evidence: Evidence, wall: Millis) -> None:
    """Drop the epochs that are over an hour old."""
    oldest = epoch_of(wall) - EPOCHS
    for key in [key for key in evidence.rows if key.epoch <= oldest]:
        gone = evidence.rows.pop(key)
        del evidence.changed[key]
        evidence.by_version[key.cell.version].discard(key)
        _take_from_pool(evidence.pool, key.cell, gone)


def by_epoch(evidence: Evidence, version: VersionId) -> dict[int, dict[Cell, Counts]]:
    """Return what is known of `version`, summed over origins, by epoch and cell."""
    epochs: dict[int, dict[Cell, Counts]] = {}
    for key in evidence.by_version.get(version, ()):
        cells = epochs.setdefault(key.epoch, {})
        cells.setdefault(key.cell, Counts()).add(evidence.rows[key])
    return dict(sorted(epochs.items()))


def estimate(pooled: Pool, cell: Cell, strength: float | None = None) -> Estimate:
    """Estimate a cell; with few ratings of its own it leans on its class's mean.

    Parameters
    ----------
    pooled : Pool
        The evidence.
    cell : Cell
        What to estimate.
    strength : float, optional
        How many ratings the class's mean is worth, if it was worked out before.
    """
    if strength is None:
        strength = prior_strength(pooled, cell.version, cell.request_class)
    whole = pooled.classes.get((cell.version, cell.request_class), Counts())
    own = pooled.cells.get(cell, Counts())
    others_rated = whole.rated - own.rated
    others_good = whole.good - own.good
    prior_mean = (others_good + PRIOR_RATINGS * PRIOR_MEAN) / (
        others_rated + PRIOR_RATINGS
    )
    prior = PRIOR_RATINGS + min(strength, others_rated)
    total = prior + own.rated
    mean = (prior * prior_mean + own.good) / total
    deviation = math.sqrt(mean * (1 - mean) / (total + 1))
    low = max(0.0, mean - Z_CONFIDENCE * deviation)
    high = min(1.0, mean + Z_HOPE * deviation)
    return Estimate(mean, low, high, total)


def prior_strength(pooled: Pool, version: VersionId, name: ClassId) -> float:
    """Return how many own ratings a class's mean is worth to an organisation.

    The variance between organisations is estimated from that of their means, less what
    chance alone gives (the method of moments of DerSimonian and Laird, 1986). If they
    do not differ, a class's mean says as much of each as ratings of its own.
    """
    pair = (version, name)
    whole = pooled.classes.get(pair, Counts())
    mean = whole.good / whole.rated if whole.rated else 0.0
    variance = mean * (1 - mean)
    rows = [
        counts
        for org in pooled.orgs.get(pair, ())
        if (counts := pooled.cells[Cell(version, name, org)]).rated >= LEAST_RATED
    ]
    if len(rows) < 2 or variance <= 0:
        return LEAST_STRENGTH
    total = sum(row.rated for row in rows)
    squares = sum(row.rated**2 for row in rows)
    spread = sum(row.rated * (row.good / row.rated - mean) ** 2 for row in rows)
    excess = spread / variance - (len(rows) - 1)
    between = max(0.0, excess * variance / (total - squares / total))
    if between == 0.0:
        return MOST_STRENGTH
    return min(MOST_STRENGTH, max(LEAST_STRENGTH, variance / between - 1))


def _touch(evidence: Evidence, key: EvidenceKey) -> None:
    evidence.changed.pop(key, None)
    evidence.changed[key] = evidence.next_change
    evidence.next_change += 1


def _row(evidence: Evidence, key: EvidenceKey) -> Counts:
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
