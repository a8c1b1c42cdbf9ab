"""How old a box's proof is that the catalog which it knows is the newest.

A reading of the operators' records that reached their end proves it as of the moment at
which the reading began.
"""

from ..ids import Millis
from ..ids import Offset
from ..tables.fleet import CatalogProof
from ..tables.fleet import Fleet


def prove_catalog(fleet: Fleet, at: Millis, end: Offset) -> None:
    """Take in that this box read all records up to `end`, beginning at `at`."""
    if at > fleet.catalog_proof.at:
        fleet.catalog_proof = CatalogProof(at, end, fleet.me.box)


def proof_age(fleet: Fleet, now: Millis) -> Millis:
    """Return how old the proof is, in ms; -1 for none."""
    proof = fleet.catalog_proof
    return Millis(now - proof.at if proof.at >= 0 else -1)


def newest_told(fleet: Fleet) -> int:
    """Return the newest catalog's version that any peer told of; -1 for none."""
    return max((peer.catalog_version for peer in fleet.peers.values()), default=-1)
