"""Rates of boxes, and their means over all boxes, known without coordination."""

import msgspec

from ..ids import Millis


class MeanRate(msgspec.Struct):
    """A rate at this box and its mean over all boxes, as moving averages.

    Attributes
    ----------
    per_s : float
        Mean of the rate over all boxes, as far as this box knows.
    at : int
        When the averages were last updated, in ms.
    own_per_s : float
        The rate at this box.
    added_per_s : float
        The part of it that was added to the mean: a busy box's later part is not.
    peers_per_s : float
        Moving average of the means that peers stated.
    peers_at : int
        When a peer last stated one, in ms; -1 for never.
    """

    per_s: float
    at: Millis
    own_per_s: float = 0.0
    added_per_s: float = 0.0
    peers_per_s: float = 0.0
    peers_at: Millis = Millis(-1)


class BusyBox(msgspec.Struct, frozen=True):
    """A box at which far more requests arrive than at the mean box.

    Attributes
    ----------
    per_s : float
        Requests a second that arrive there.
    at : int
        When the box stated this, in ms.
    """

    per_s: float
    at: Millis
