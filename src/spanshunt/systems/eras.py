"""A store that came back from a copy: what it may have lost, and what that changes.

Each return from a copy begins an era. Offsets go back then and are given out again, so
the product's offsets carry the era: a place of a later era is the newer one whatever
the store's own number. What a box believes does not go back: it keeps what it knows,
waits for others to write theirs again, and writes again what it may have written since
the copy was made.
"""

from ..ids import Millis
from ..ids import Offset
from ..tables.fleet import Fleet
from ..tables.rollouts import Verdict

ERA_STEP = 1 << 40
"""How far places of two eras are apart: more records than a store gives in its life."""

ERAS_MOST = 1 << 22
"""Eras that are told apart: their places are whole numbers of 63 bits. At a drill an
hour they last for 500 years."""

COPY_AGE_MS = 60_000
"""How old a copy is at most, in ms: copies are some seconds old, and what was written
before that needs no second look."""

OPERATORS_GRACE_MS = 5_000
"""How long a record of the operators that is missing after a return from a copy is not
taken for taken back, in ms: workers write again within 2 s, operators' tools later."""


def place_of(era: int, offset: int) -> Offset:
    """Return a place in a stream that rises across eras, too."""
    return Offset(era * ERA_STEP + offset)


def era_of(place: Offset) -> int:
    """Return the era that a place is of."""
    return place // ERA_STEP


def offset_of(place: Offset) -> int:
    """Return the store's own offset of a place."""
    return place % ERA_STEP


def is_same_offset(one: Offset, other: Offset) -> bool:
    """Tell whether two places are alike but for the era."""
    return offset_of(one) == offset_of(other)


def take_era(fleet: Fleet, era: int, now: Millis) -> bool:
    """Take in which era the store is in; return whether it came back older just now."""
    if era <= fleet.store.era:
        return False
    first = fleet.store.era < 0
    fleet.store.era = era
    if first:
        return False
    fleet.store.era_began = now
    # Entries of workers may be missing from the copy as they are after an outage.
    fleet.list_read_streak.since = fleet.list_read_streak.last = now
    _write_again(fleet, Millis(now - COPY_AGE_MS))
    return True


def awaits_operators(fleet: Fleet, now: Millis) -> bool:
    """Tell whether operators may yet write again what the copy lacks."""
    began = fleet.store.era_began
    return began >= 0 and now < began + OPERATORS_GRACE_MS


def _write_again(fleet: Fleet, since: Millis) -> None:
    """Forget that what was written since some moment stands in the store."""
    for row in fleet.rollouts.rows.values():
        row.announced = row.announced and row.began < since
        if row.verdict is not Verdict.RUNNING and row.judged_at >= since:
            row.recorded = row.rollback_recorded = False
    for suspect in fleet.suspect_requests.values():
        if suspect.quarantined_at >= since:
            suspect.recorded = False
        if suspect.dropped_at >= since:
            suspect.dropped_at = Millis(-1)
