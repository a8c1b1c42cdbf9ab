"""The age of the proof that the catalog known to this box is the newest.

A read of the operators' records that reached their end proves it as of the time when
the read began. Boxes send each other their proofs. A proof grows old where every long
poll for records is on a dead connection, or where this box hears of no read; then it is
renewed by a short probe of the end of the records on a new connection.

This module works on `Fleet`, the tables of a box that runs
``spanshunt.platform.node``; :mod:`.freshness` serves the same purpose in
``spanshuntd``. Proofs are kept in these tables only, never in the store.
"""

from ..ids import Millis
from ..ids import Offset
from ..tables.fleet import CatalogProof
from ..tables.fleet import Fleet
from .following_workers import PEER_TIMEOUT_MS
from .following_workers import find_list_reader
from .following_workers import is_served_by_store

FLEET_FRACTION, DOMAIN_FRACTION, BOX_FRACTION = 0.35, 0.6, 0.75
"""Ages at which a proof is renewed, as fractions of the time within which a change must
be in force (`in_force_ms`): by the first box by name of all that hear each other, by
the first box by name of each failure domain, and by any box. The long poll for records
of the first box ends earlier, by 0.3 of that time, and renews the proof without a
probe. So one box proves the catalog for the fleet, however large that is. A domain or a
box that is cut off from it probes for itself, early enough that a change which it finds
is in force within `in_force_ms`."""

PROBE_TIMEOUT_FRACTION = 0.2
"""Time limit of a probe, as a fraction of `in_force_ms`: a slow store answers within
it, and a second probe still fits in."""

REFUSAL_PROOF_FRACTION = 0.5
"""A proof older than this fraction of `in_force_ms` is renewed before a request gets a
refusal that a caller does not retry: nearly all proofs are younger while boxes hear
each other."""


def record_catalog_read(fleet: Fleet, at: Millis, end: Offset) -> None:
    """Keep the proof by a read of all records up to `end` that began at `at`."""
    if at > fleet.catalog_proof.at:
        fleet.catalog_proof = CatalogProof(at, end, fleet.identity.box)


def merge_peer_proof(fleet: Fleet, version: int, told: CatalogProof) -> None:
    """Merge a peer's proof for a catalog version, if this box has that version."""
    if told.source < fleet.identity.box:
        fleet.preceding_box_proof_at = max(fleet.preceding_box_proof_at, told.at)
    if version == fleet.catalog_version and told.at > fleet.catalog_proof.at:
        fleet.catalog_proof = told


def proof_age(fleet: Fleet, now: Millis) -> Millis:
    """Return the age of the proof in ms; -1 for none."""
    proof = fleet.catalog_proof
    return Millis(now - proof.at if proof.at >= 0 else -1)


def newest_reported_version(fleet: Fleet) -> int:
    """Return the newest catalog version that any peer reports; -1 for none."""
    return max((peer.catalog_version for peer in fleet.peers.values()), default=-1)


def is_catalog_proved(fleet: Fleet, now: Millis, max_age_ms: float) -> bool:
    """Return whether the catalog is proved to be the newest.

    The proof must be at most `max_age_ms` old. False means that a newer version may
    exist: there is no such proof, or a peer reports a newer version.
    """
    age = proof_age(fleet, now)
    return (
        0 <= age <= max_age_ms
        and newest_reported_version(fleet) <= fleet.catalog_version
    )


def is_fleet_prober(fleet: Fleet, now: Millis, in_force_ms: int) -> bool:
    """Return whether this box proves the catalog for the fleet.

    The first box by name of those that are recently heard and served by the store does.
    In a large fleet a box hears few others, so it also leaves the probes to others
    while a box whose name sorts before its own has made a recent proof.
    """
    proved_at = fleet.preceding_box_proof_at
    if proved_at >= 0 and now - proved_at < DOMAIN_FRACTION * in_force_ms:
        return False
    return is_served_by_store(fleet, now) and all(
        fleet.identity.box < peer.box
        for peer in fleet.peers.values()
        if 0 <= peer.heard > now - PEER_TIMEOUT_MS and peer.served
    )


def must_probe(fleet: Fleet, now: Millis, in_force_ms: int) -> bool:
    """Return whether this box must renew the proof now.

    While the store does not serve this box, only reads of the workers' list find out
    when the store is back.
    """
    age = proof_age(fleet, now)
    if fleet.catalog is None or age < FLEET_FRACTION * in_force_ms:
        return False
    return age >= _renewal_fraction(
        fleet, now, in_force_ms
    ) * in_force_ms and is_served_by_store(fleet, now)


def _renewal_fraction(fleet: Fleet, now: Millis, in_force_ms: int) -> float:
    if is_fleet_prober(fleet, now, in_force_ms):
        return FLEET_FRACTION
    if find_list_reader(fleet, now) == fleet.identity.box:
        return DOMAIN_FRACTION
    return BOX_FRACTION
