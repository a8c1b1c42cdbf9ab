"""What boxes tell each other, and the store, of suspects and quarantines."""

import zlib

from ..ids import BoxId
from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.suspects import NEVER_CLEARED
from ..tables.suspects import SuspectFeature
from .attributing import QUARANTINE_ENDS
from .attributing import attribute_ends
from .blaming import live_peers
from .quarantining import quarantined_features

CHANGE_SENT_MS = 3_000
"""How long after a change a suspect is sent to peers in each round of gossip, in ms:
for seven rounds. A box that missed all of them detects that its digest differs."""

MAX_SUSPECTS_SENT, MAX_QUARANTINED_SENT = 24, 128
"""Maximum number of suspects in one message, and of quarantined ones sent to a box
whose digest differs. Each takes some 100 bytes."""

STORE_DELAY_MS = 150
"""Delay before the record of a quarantine is written to the store, in ms. Boxes that
quarantine a feature at the same time learn of each other meanwhile, and one of them
writes it."""


def suspects_to_send(
    fleet: Fleet, now: Millis, peer_digest: int | None
) -> list[SuspectFeature]:
    """Return the suspects to send to a peer.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    now : int
        The time, in ms.
    peer_digest : int or None
        The receiving peer's :func:`quarantine_digest`; None if it is unknown.
    """
    shared = [row for row in fleet.suspects.values() if row.shared]
    recent = [row for row in shared if now - row.changed_at <= CHANGE_SENT_MS]
    recent.sort(key=lambda row: (-len(row.counted_ends()), -row.changed_at))
    selected = recent[:MAX_SUSPECTS_SENT]
    if peer_digest is not None and peer_digest != quarantine_digest(fleet):
        selected_names = {row.fingerprint for row in selected}
        others = [
            row
            for row in quarantined_features(fleet)
            if row.fingerprint not in selected_names
        ]
        selected += others[:MAX_QUARANTINED_SENT]
    return selected


def quarantine_digest(fleet: Fleet) -> int:
    """Return a checksum that is equal at boxes with the same quarantined features."""
    fingerprints = sorted(row.fingerprint for row in quarantined_features(fleet))
    return zlib.crc32("\n".join(fingerprints).encode()) if fingerprints else 0


def quarantines_to_store(fleet: Fleet, now: Millis) -> list[SuspectFeature]:
    """Return the quarantined features that this box must record in the store now.

    The box that quarantined a feature writes the record. If that box is not heard, the
    first by name of those that are does. A feature whose record was removed needs a new
    one if it is quarantined again.
    """
    heard = live_peers(fleet, now)
    return [
        row
        for row in quarantined_features(fleet)
        if row.quarantined_at >= 0
        and (not row.recorded or row.dropped_at >= 0)
        and now >= row.quarantined_at + STORE_DELAY_MS
        and _is_storing_box(fleet, row, heard)
    ]


def records_to_remove(fleet: Fleet, now: Millis) -> list[SuspectFeature]:
    """Return the features whose record this box must remove from the store now.

    They were cleared by a complete answer or released by an operator since, or another
    feature, or a cause in common, turned out to explain their ends. With the record, a
    box that starts would quarantine them again.
    """
    heard = live_peers(fleet, now)
    recorded = [
        row for row in fleet.suspects.values() if row.recorded and row.dropped_at < 0
    ]
    quarantined = attribute_ends(fleet) if recorded else {}
    return [
        row
        for row in recorded
        if row.fingerprint not in quarantined
        and (row.cleared_at > NEVER_CLEARED or len(row.ends) >= QUARANTINE_ENDS)
        and _is_storing_box(fleet, row, heard)
    ]


def _is_storing_box(fleet: Fleet, row: SuspectFeature, heard: list[BoxId]) -> bool:
    if row.quarantined_by in heard:
        return False
    return fleet.identity.box in (row.quarantined_by, min([fleet.identity.box, *heard]))
