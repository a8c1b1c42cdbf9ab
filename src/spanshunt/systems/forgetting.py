"""Dropping what is too old to count, every few seconds."""

from ..ids import Millis
from ..tables.fleet import Fleet
from .ending import forget_breaks
from .estimating import expire_peer_prefill
from .quarantining import forget_suspects
from .watching import drop_old_epochs


def forget_old(fleet: Fleet, now: Millis) -> None:
    """Drop waits that are over and answers of versions that succeeded long ago."""
    expire_peer_prefill(fleet, now)
    forget_breaks(fleet, now)
    forget_suspects(fleet, now)
    drop_old_epochs(fleet, now)
