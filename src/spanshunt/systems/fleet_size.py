"""How many boxes there are: what boxes share out by counting, without a word."""

from ..ids import BoxId
from ..ids import Millis
from ..tables.fleet import Fleet
from ..utils import rendezvous
from ..utils import unit_hash


def box_count(fleet: Fleet) -> int:
    """Return how many boxes there are, as far as this one heard."""
    return max(1 + len(fleet.peers), fleet.reported_box_count)


def may_be_alone(fleet: Fleet, now: Millis) -> bool:
    """Tell whether a box that heard of no other one may take it that there is none."""
    return box_count(fleet) > 1 or now >= fleet.discovery_until


def turn_of(fleet: Fleet, key: str) -> float:
    """Return this box's turn among all boxes at something, in 0 to 1.

    Boxes that know all of the others take turns that are equally far apart, in an order
    that differs from key to key. One that does not know them all draws its own.
    """
    me = fleet.identity.box
    names: list[BoxId] = [me, *fleet.peers]
    if len(names) < box_count(fleet):
        return unit_hash("turn", key, me)
    return rendezvous(key, names, len(names)).index(me) / len(names)
