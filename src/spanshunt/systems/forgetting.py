"""Dropping what is too old to count, every few seconds."""

from ..ids import Millis
from ..tables.fleet import Fleet
from .estimating import forget_told


def forget_old(fleet: Fleet, now: Millis) -> None:
    """Drop what boxes told of waits that are over."""
    forget_told(fleet, now)
