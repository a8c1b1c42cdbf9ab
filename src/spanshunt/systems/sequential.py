"""Sequential tests of shares that stay valid however often they are evaluated.

Each test is a mixture of likelihood ratios against the bound. For any true share on the
good side of the bound, the mixture is a non-negative supermartingale that starts at 1,
so by Ville's inequality it ever reaches ``1 / alpha`` with a probability of at most
``alpha``. A test needs only counts, so boxes can pool evidence in any order. A hit is
what the tested share counts: a good answer in tests against a floor, the least good
share, and a faulty one in tests against a ceiling, the greatest good share.
"""

import math

DROPS = (0.03, 0.07, 0.12, 0.2, 0.35, 0.6)
"""Alternatives for a share below its floor: the drop, as a part of the floor."""

RISES = (0.02, 0.05, 0.1, 0.2, 0.4, 0.7)
"""Alternatives for a share above its ceiling: the rise, as a part of the room above
it."""

MIN_EXCESS = 2.0
"""If the hits are at most this many too few or too many, whichever epoch they are
counted from, the statistic is not computed: it would be far below any threshold in
use."""

_EPSILON = 1e-6


def log_evidence_below(trials: int, hits: int, floor: float) -> float:
    """Return the log e-value against "the share of hits is at least `floor`"."""
    bound = _clamp_share(floor)
    shares = [_clamp_share(bound * (1 - drop)) for drop in DROPS]
    return _log_mixture([_log_ratio(trials, hits, share, bound) for share in shares])


def log_evidence_above(trials: int, hits: int, ceiling: float) -> float:
    """Return the log e-value against "the share of hits is at most `ceiling`"."""
    bound = _clamp_share(ceiling)
    shares = [_clamp_share(bound + (1 - bound) * rise) for rise in RISES]
    return _log_mixture([_log_ratio(trials, hits, share, bound) for share in shares])


def log_change_below(epochs: list[tuple[int, int]], floor: float) -> float:
    """Return the log of the Shiryaev-Roberts statistic for a drop below `floor`.

    Parameters
    ----------
    epochs : list of (int, int)
        Trials and hits of each epoch, oldest first.
    floor : float
        Least good share.

    Returns
    -------
    float
        Log of the sum, over all epochs, of the evidence since that epoch. While the
        share is good, the sum reaches ``a`` after ``a`` epochs or more on average.
    """
    bound = _clamp_share(floor)
    missing = [trials * bound - hits for trials, hits in epochs]
    if _max_suffix_sum(missing) <= MIN_EXCESS:
        return -math.inf
    return _log_mixture(
        [
            _log_shiryaev(epochs, _clamp_share(bound * (1 - drop)), bound)
            for drop in DROPS
        ]
    )


def log_change_above(epochs: list[tuple[int, int]], ceiling: float) -> float:
    """Return the log of the Shiryaev-Roberts statistic for a rise above `ceiling`."""
    return log_change_above_each(epochs, [ceiling] * len(epochs))


def log_change_above_each(
    epochs: list[tuple[int, int]], ceilings: list[float], start: float = -math.inf
) -> float:
    """Return the log of the Shiryaev-Roberts statistic for a rise above `ceilings`.

    Each epoch has a ceiling of its own, at the same place in the list.

    Parameters
    ----------
    epochs : list of (int, int)
        Trials and hits of each epoch, oldest first.
    ceilings : list of float
        Greatest good share in each epoch, as the usual share changes with time.
    start : float
        Log of the statistic up to these epochs, if earlier epochs are no longer known.

    Returns
    -------
    float
        As for :func:`log_change_below`.
    """
    bounds = [_clamp_share(ceiling) for ceiling in ceilings]
    excess = [
        hits - trials * bound
        for (trials, hits), bound in zip(epochs, bounds, strict=True)
    ]
    if start == -math.inf and _max_suffix_sum(excess) <= MIN_EXCESS:
        return -math.inf
    return _log_mixture(
        [_log_shiryaev_each(epochs, bounds, rise, start) for rise in RISES]
    )


def _max_suffix_sum(values: list[float]) -> float:
    """Return the largest sum of values from any epoch to the last one."""
    most = total = 0.0
    for value in reversed(values):
        total += value
        most = max(most, total)
    return most


def _log_shiryaev(epochs: list[tuple[int, int]], share: float, bound: float) -> float:
    total = -math.inf
    for trials, hits in epochs:
        total = _log_add(0.0, total) + _log_ratio(trials, hits, share, bound)
    return total


def _log_shiryaev_each(
    epochs: list[tuple[int, int]], bounds: list[float], rise: float, start: float
) -> float:
    total = start
    for (trials, hits), bound in zip(epochs, bounds, strict=True):
        share = _clamp_share(bound + (1 - bound) * rise)
        total = _log_add(0.0, total) + _log_ratio(trials, hits, share, bound)
    return total


def _log_ratio(trials: int, hits: int, share: float, bound: float) -> float:
    misses = trials - hits
    hit = math.log(share / bound)
    miss = math.log((1 - share) / (1 - bound))
    return hits * hit + misses * miss


def _log_mixture(logs: list[float]) -> float:
    top = max(logs)
    if top == -math.inf:
        return top
    return top + math.log(sum(math.exp(item - top) for item in logs) / len(logs))


def _log_add(one: float, other: float) -> float:
    top = max(one, other)
    if top == -math.inf:
        return top
    return top + math.log(math.exp(one - top) + math.exp(other - top))


def _clamp_share(share: float) -> float:
    return min(1 - _EPSILON, max(_EPSILON, share))
