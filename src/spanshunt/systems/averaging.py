"""Moving averages of rates, at this box and over all boxes.

What is counted at a box adds to both averages there, which decay by the same factor at
every box. In an exchange of news both boxes move towards each other by the same amount.
The mean over all boxes therefore stays what it is, and every box soon holds it. What a
lost answer distorts is forgotten as the averages decay.
"""

import math

from ..ids import Millis
from ..tables.rates import MeanRate

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
    row.at = now


def add_to_rate(row: MeanRate, amount: float, now: Millis) -> None:
    """Add an amount that is counted at this box, such as 1 for a request."""
    decay_rate(row, now)
    added = amount * 1_000 / AVERAGING_MS
    row.per_s += added
    row.own_per_s += added


def take_called_mean(row: MeanRate, per_s: float, now: Millis) -> None:
    """Move towards the mean that a peer's call states."""
    decay_rate(row, now)
    _observe_peer(row, per_s, now)
    row.per_s += EXCHANGE_STEP * (per_s - row.per_s)


def take_answered_mean(
    row: MeanRate, called_per_s: float, answered_per_s: float, now: Millis
) -> None:
    """Move towards a peer by as much as it moved, which its answer to a call shows."""
    decay_rate(row, now)
    moved = EXCHANGE_STEP * called_per_s
    before = max(0.0, answered_per_s - moved) / (1.0 - EXCHANGE_STEP)
    _observe_peer(row, before, now)
    step = EXCHANGE_STEP / (1.0 - EXCHANGE_STEP)
    row.per_s = max(0.0, row.per_s + step * (answered_per_s - called_per_s))


def total_rate(row: MeanRate, boxes: int, now: Millis) -> float:
    """Return the rate at all boxes together, at least this box's own.

    It is too high at a box that counts more than others, whose mean is above theirs.
    """
    decay_rate(row, now)
    return max(row.own_per_s, boxes * row.per_s)


def stated_total(row: MeanRate, boxes: int, now: Millis) -> float:
    """Return the same from what peers state, if any did lately.

    It is right also while much is counted at this box, and too low for a moment once
    much begins to be counted everywhere.
    """
    if not _has_recent_statement(row, now):
        return total_rate(row, boxes, now)
    decay_rate(row, now)
    return max(row.own_per_s, row.per_s + (boxes - 1) * row.peers_per_s)


def _has_recent_statement(row: MeanRate, now: Millis) -> bool:
    return row.peers_at >= 0 and now - row.peers_at <= STATED_MS


def _observe_peer(row: MeanRate, per_s: float, now: Millis) -> None:
    """Take in the mean that a peer states."""
    if _has_recent_statement(row, now):
        row.peers_per_s += PEER_WEIGHT * (per_s - row.peers_per_s)
    else:
        row.peers_per_s = per_s
    row.peers_at = now
