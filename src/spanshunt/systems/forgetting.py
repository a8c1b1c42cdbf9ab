"""Dropping what is too old to count, every few seconds."""

from ..ids import Millis
from ..tables.fleet import Fleet
from .estimating import forget_told
from .ramping import forget_sessions


def forget_old(fleet: Fleet, now: Millis) -> None:
    """Drop sessions that ended, and what boxes told of waits that are over."""
    forget_sessions(fleet, now)
    forget_told(fleet, now)
