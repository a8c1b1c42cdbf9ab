"""Moving averages of rates, at this box and over all boxes.

What is counted at a box adds to both averages there, which decay by the same factor at
every box. In an exchange of news both boxes move towards each other by the same amount.
The mean over all boxes therefore stays what it is, and every box soon holds it. What a
lost answer distorts is forgotten as the averages decay.
"""

import math
import typing as t

from ..ids import Millis
from ..tables.rates import MeanRate

K = t.TypeVar("K", bound=t.Hashable)

MIN_PER_S = 1e-3
"""Smaller means are neither sent nor kept, a second."""

MAX_PER_S = 1e6
"""Greater means in a message are not believed, a second."""

AVERAGING_MS = 1_000
"""Time constant of the moving averages, in ms."""

EXCHANGE_STEP = 0.25
"""Part of the difference by which each side of an exchange moves. A box may have four
calls under way, which together take no more than all of its rate."""

STATED_MS = 1_500
"""How long what peers stated counts without another statement, in ms: three rounds of
gossip."""

PEER_WEIGHT = 0.1
"""Weight of a mean that a peer states, against those stated before; a box has some ten
exchanges a second."""


def decay_rate(row: MeanRate, now: Millis) -> None:
    """Let the averages decay up to now."""
    if now <= row.at:
        return
    factor = math.exp((row.at - now) / AVERAGING_MS)
    row.per_s *= factor
    row.own_per_s *= factor
    row.added_per_s *= factor
    row.at = now


def add_to_rate(row: MeanRate, amount: float, now: Millis) -> None:
    """Add an amount that is counted at this box, such as 1 for a request."""
    add_to_own_rate(row, amount, now)
    row.per_s += amount * 1_000 / AVERAGING_MS
    row.added_per_s += amount * 1_000 / AVERAGING_MS


def add_to_own_rate(row: MeanRate, amount: float, now: Millis) -> None:
    """Add an amount that is left out of the mean over all boxes."""
    decay_rate(row, now)
    row.own_per_s += amount * 1_000 / AVERAGING_MS


def means_to_send(
    rows: t.Mapping[K, MeanRate], now: Millis, max_rows: int
) -> list[tuple[K, float]]:
    """Return the greatest means, to call a peer with."""
    for row in rows.values():
        decay_rate(row, now)
    means = [(key, row.per_s) for key, row in rows.items() if row.per_s >= MIN_PER_S]
    return sorted(means, key=lambda mean: -mean[1])[:max_rows]


def apply_called_means(
    find_row: t.Callable[[K], MeanRate | None],
    called: t.Iterable[tuple[K, float]],
    now: Millis,
) -> list[tuple[K, float]]:
    """Move towards the means in a peer's call; return this box's own for the answer.

    A mean that is not credible, or for which `find_row` has no row, is left out.
    """
    answered = []
    for key, per_s in called:
        row = find_row(key) if is_credible(per_s) else None
        if row is None:
            continue
        decay_rate(row, now)
        _observe_peer(row, per_s, now)
        row.per_s += EXCHANGE_STEP * (per_s - row.per_s)
        answered.append((key, row.per_s))
    return answered


def apply_answered_means(
    find_row: t.Callable[[K], MeanRate | None],
    called: t.Iterable[tuple[K, float]],
    answered: t.Iterable[tuple[K, float]],
    now: Millis,
) -> None:
    """Move towards a peer by as much as it moved, which its answer to a call shows."""
    sent = dict(called)
    step = EXCHANGE_STEP / (1.0 - EXCHANGE_STEP)
    for key, per_s in answered:
        before = sent.pop(key, None)
        if before is None or not is_credible(per_s):
            continue
        row = find_row(key)
        if row is None:
            continue
        decay_rate(row, now)
        moved = max(0.0, per_s - EXCHANGE_STEP * before)
        _observe_peer(row, moved / (1.0 - EXCHANGE_STEP), now)
        row.per_s = max(0.0, row.per_s + step * (per_s - before))


def expire_means(rows: dict[K, t.Any], now: Millis) -> None:
    """Drop the rows whose averages have decayed."""
    for key, row in list(rows.items()):
        decay_rate(row, now)
        if max(row.per_s, row.own_per_s) < MIN_PER_S:
            del rows[key]


def is_credible(per_s: float) -> bool:
    """Return whether a rate in a message is believed."""
    return 0.0 <= per_s <= MAX_PER_S


def total_rate(row: MeanRate, boxes: int, now: Millis) -> float:
    """Return the rate at all boxes together, at least this box's own.

    It is too high at a box that counts more than others, whose mean is above theirs.
    """
    decay_rate(row, now)
    return max(row.own_per_s, boxes * row.per_s)


def sum_of_means(row: MeanRate, boxes: int, now: Millis) -> float:
    """Return what the means of all boxes add up to, by what peers stated.

    Boxes of which nothing was stated count as this one.
    """
    decay_rate(row, now)
    mean = stated_mean(row, now)
    return row.per_s + (boxes - 1) * (row.per_s if mean is None else mean)


def stated_mean(row: MeanRate, now: Millis) -> float | None:
    """Return the mean that peers state; None if none did lately."""
    return row.peers_per_s if _has_recent_statement(row, now) else None


def _has_recent_statement(row: MeanRate, now: Millis) -> bool:
    return row.peers_at >= 0 and now - row.peers_at <= STATED_MS


def _observe_peer(row: MeanRate, per_s: float, now: Millis) -> None:
    """Take in the mean that a peer states."""
    if _has_recent_statement(row, now):
        row.peers_per_s += PEER_WEIGHT * (per_s - row.peers_per_s)
    else:
        row.peers_per_s = per_s
    row.peers_at = now
