"""The number of boxes, and how boxes spread work in time without coordination.

This module works on `Fleet`, the tables of a box that runs
``spanshunt.platform.node``.
"""

from ..ids import BoxId
from ..ids import Millis
from ..tables.fleet import Fleet
from ..utils import rendezvous
from ..utils import unit_hash


def box_count(fleet: Fleet) -> int:
    """Return the number of boxes, as far as this box knows."""
    return max(1 + len(fleet.peers), fleet.reported_box_count)


def is_discovery_finished(fleet: Fleet, now: Millis) -> bool:
    """Return whether this box found a peer, or has searched for long enough."""
    return box_count(fleet) > 1 or now >= fleet.discovery_until


def stagger_fraction(fleet: Fleet, key: str) -> float:
    """Return when this box's turn is among all boxes, as a fraction from 0 to 1.

    Boxes that know all peers get evenly spaced turns, in an order that differs by key.
    A box that does not know all peers uses a hash of its own name instead.
    """
    own = fleet.identity.box
    names: list[BoxId] = [own, *fleet.peers]
    if len(names) < box_count(fleet):
        return unit_hash("turn", key, own)
    return rendezvous(key, names, len(names)).index(own) / len(names)
