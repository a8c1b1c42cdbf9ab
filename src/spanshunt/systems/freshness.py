"""Freshness: the maximum age of this box's configuration.

A box is fresh at time T if it had, at T, every configuration that was accepted by T.
Three things prove it: a read of the log that reached the end; an exchange with a peer
that was fresh; or exchanges with a majority of the listed boxes. The last one holds
because a configuration counts as accepted only once a majority of the boxes holds it,
so that any two majorities share a box that has it. ``docs/decisions/0003`` weighs this.

Each answer to an exchange acknowledges the records that the answering box holds. A
witness is a box whose answers count towards such a majority: it has every configuration
that became accepted through acknowledgements of any of its runs.

Boxes have no disks, so a box that was replaced has lost what its previous run held. It
is a witness only once it was fresh at a time :data:`ACK_VALIDITY_MS` after the start of
this run. By then, no configuration could become accepted any more through
acknowledgements of the previous run, and all that were accepted before are held.

This module works on `State`, the tables of the daemon ``spanshuntd``;
:mod:`.proving` serves the same purpose on the boxes that route by a catalog.
"""

from ..ids import Millis
from ..ids import Offset
from ..tables.members import Members
from ..tables.state import State

NEVER = Millis(-1)

ACK_VALIDITY_MS = 5_000
"""How long a box's acknowledgement of a record counts for acceptance, in ms."""


def record_fresh_proof(state: State, at: Millis) -> None:
    """Note that the configuration was fresh at `at`; an older proof changes nothing.

    Parameters
    ----------
    state : State
        The tables.
    at : int
        Time in ms of this box's monotonic clock; -1 proves nothing.
    """
    state.fresh_at = max(state.fresh_at, at)


def fresh_age(state: State, now: Millis) -> Millis:
    """Return the maximum age of the configuration in ms, or -1 if it is unknown."""
    if state.fresh_at == NEVER:
        return NEVER
    return Millis(max(0, now - state.fresh_at))


def is_fresh(state: State, now: Millis, bound: int) -> bool:
    """Return whether the configuration is at most `bound` ms old."""
    age = fresh_age(state, now)
    return age != NEVER and age <= bound


def majority_size(members: Members) -> int:
    """Return the number of boxes that form a majority of the listed ones."""
    return len(members.listed) // 2 + 1


def is_witness(state: State) -> bool:
    """Return whether this box is a witness; see the module's text.

    A witness has every configuration that became accepted through acknowledgements of
    any of its runs.
    """
    return state.fresh_at != NEVER and state.fresh_at >= state.started + ACK_VALIDITY_MS


def quorum_time(state: State, now: Millis) -> Millis:
    """Return the latest time since which a majority answered this box, -1 for none.

    This box counts as having answered now. Only witnesses count.
    """
    members = state.members
    if state.identity.box not in members.listed or not is_witness(state):
        return NEVER
    times = [
        row.witnessed_at
        for name, row in members.rows.items()
        if name in members.listed and row.witnessed_at != NEVER
    ]
    times.append(now)
    times.sort(reverse=True)
    size = majority_size(members)
    if len(times) < size:
        return NEVER
    return times[size - 1]


def count_holders(state: State, offset: Offset, now: Millis) -> int:
    """Return how many listed boxes are known to hold the record at `offset`.

    Another box counts if its last known offset is past the record and it answered this
    box within :data:`ACK_VALIDITY_MS`. The offset may come from a summary that a peer
    forwarded. This box counts by its own table.
    """
    members = state.members
    others = sum(
        1
        for name, row in members.rows.items()
        if name in members.listed
        and row.offset > offset
        and row.answered_at != NEVER
        and now - row.answered_at <= ACK_VALIDITY_MS
    )
    own = state.identity.box in members.listed and state.config.next_offset > offset
    return others + int(own)


def is_accepted(state: State, offset: Offset, now: Millis) -> bool:
    """Return whether a majority of the listed boxes holds the record at `offset`.

    Without a list of boxes, this box alone must hold it.
    """
    if not state.members.listed:
        return state.config.next_offset > offset
    return count_holders(state, offset, now) >= majority_size(state.members)
