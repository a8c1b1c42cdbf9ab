"""Restores of the store from a copy: what the store may have lost, and what follows.

Each restore begins an era. Offsets go back and are assigned again, so a position in a
stream combines the era with the offset: a position of a later era is newer, whatever
its offset. The state of a box does not go back: the box keeps what it knows, waits for
others to write their records again, and rewrites what it may itself have written since
the copy was made.

An `Offset` in this program is such a position. The store's own offset, which repeats
after a restore, is a plain integer here.

This module works on `Fleet`, the tables of a box that runs
``spanshunt.platform.node``. :func:`record_era` changes these tables only and never
writes to the store; "recorded" in a row means that the store holds it.
"""

from ..ids import Millis
from ..ids import Offset
from ..tables.fleet import Fleet
from ..tables.rollouts import Verdict

ERA_STRIDE = 1 << 40
"""Distance between the positions of two eras; a store holds fewer records in its
lifetime."""

MAX_ERAS = 1 << 22
"""Number of eras that can be told apart, as positions are integers of 63 bits. With one
restore an hour, they last for 500 years."""

MAX_COPY_AGE_MS = 60_000
"""Maximum age of a copy when a box learns that the store was restored from it, in ms.
Copies are some seconds old. Records older than this are taken to be in the copy and are
not written again, so one that an older copy lacks stays lost."""

OPERATOR_REWRITE_GRACE_MS = 5_000
"""How long after a restore a missing operators' record is not treated as revoked, in
ms. Workers rewrite their entries within 2 s, operators' tools later."""


def position_of(era: int, offset: int) -> Offset:
    """Return the position of an offset; positions rise across eras."""
    return Offset(era * ERA_STRIDE + offset)


def era_of(position: Offset) -> int:
    """Return the era of a position."""
    return position // ERA_STRIDE


def store_offset_of(position: Offset) -> int:
    """Return the store's own offset of a position."""
    return position % ERA_STRIDE


def has_same_store_offset(one: Offset, other: Offset) -> bool:
    """Return whether two positions have the same offset in the store in their eras."""
    return store_offset_of(one) == store_offset_of(other)


def record_era(fleet: Fleet, era: int, now: Millis) -> bool:
    """Note the store's era and return whether the store was just restored."""
    if era <= fleet.store.era:
        return False
    is_first_report = fleet.store.era < 0
    fleet.store.era = era
    if is_first_report:
        return False
    fleet.store.era_began = now
    # The copy may lack entries of workers, as the list does after an outage. A streak
    # that begins now makes the box wait for the missing ones.
    fleet.list_read_streak.since = fleet.list_read_streak.last = now
    _mark_unrecorded(fleet, Millis(now - MAX_COPY_AGE_MS))
    return True


def awaits_operator_rewrites(fleet: Fleet, now: Millis) -> bool:
    """Return whether operators may still rewrite records that the copy lacks."""
    era_began = fleet.store.era_began
    return era_began >= 0 and now < era_began + OPERATOR_REWRITE_GRACE_MS


def _mark_unrecorded(fleet: Fleet, oldest_copy_at: Millis) -> None:
    """Mark what was written since `oldest_copy_at` as not recorded in the store.

    The box then records the start of a running roll-out, a verdict, a rollback after a
    success and a quarantine again. It also removes the record of a dropped quarantine
    again, which the copy may still hold.
    """
    for row in fleet.rollouts.rows.values():
        row.announced = row.announced and row.began < oldest_copy_at
        if row.verdict is not Verdict.RUNNING and row.judged_at >= oldest_copy_at:
            row.recorded = row.rollback_recorded = False
    for suspect in fleet.suspects.values():
        if suspect.quarantined_at >= oldest_copy_at:
            suspect.recorded = False
        if suspect.dropped_at >= oldest_copy_at:
            suspect.dropped_at = Millis(-1)
