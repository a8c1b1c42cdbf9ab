"""Freshness: how old this box's configuration may be, at most.

A box is fresh at time T if it had, at T, every configuration that was accepted by T.
Three things prove it: a read of the log that reached the head; an exchange with a peer
that was fresh; or exchanges with a majority of the listed boxes. The last one holds
since a configuration is called accepted only once a majority of the boxes holds it, so
that any two majorities share a box that has it. ``docs/decisions/0003`` weighs this.

Boxes have no disks, so one that was replaced has forgotten what its run before held. It
is no witness, for itself or others, until it was proved fresh for a time
:data:`ACK_MS` after its start: by then no configuration can still become accepted by
what its run before said.
"""

from ..ids import Millis
from ..ids import Offset
from ..tables.members import Members
from ..tables.state import State

NEVER = Millis(-1)

ACK_MS = 5_000
"""How long a box's word that it holds a record counts towards acceptance, in ms."""


def prove_fresh(state: State, at: Millis) -> None:
    """Take a proof that the configuration was fresh at `at`; an older one is nothing.

    Parameters
    ----------
    state : State
        The tables.
    at : int
        In ms of this box's monotonic clock; -1 proves nothing.
    """
    state.fresh_at = max(state.fresh_at, at)


def fresh_age(state: State, now: Millis) -> Millis:
    """Return how old the configuration may be in ms, -1 if nothing is known."""
    if state.fresh_at == NEVER:
        return NEVER
    return Millis(max(0, now - state.fresh_at))


def is_fresh(state: State, now: Millis, bound: int) -> bool:
    """Tell whether the configuration is at most `bound` ms old."""
    age = fresh_age(state, now)
    return age != NEVER and age <= bound


def majority(members: Members) -> int:
    """Return how many boxes are a majority of the listed ones."""
    return len(members.listed) // 2 + 1


def may_witness(state: State) -> bool:
    """Tell whether this box holds all that any run of it ever said it holds."""
    return state.fresh_at != NEVER and state.fresh_at >= state.started + ACK_MS


def quorum_time(state: State, now: Millis) -> Millis:
    """Return the latest time by which a majority answered this box, -1 for none.

    This box counts as having answered now. Only witnesses count.
    """
    members = state.members
    if state.identity.box not in members.listed or not may_witness(state):
        return NEVER
    times = [
        row.witnessed_at
        for name, row in members.rows.items()
        if name in members.listed and row.witnessed_at != NEVER
    ]
    times.append(now)
    times.sort(reverse=True)
    need = majority(members)
    if len(times) < need:
        return NEVER
    return times[need - 1]


def holders(state: State, offset: Offset, now: Millis) -> int:
    """Return how many listed boxes hold the record at `offset`, by their own word.

    A word older than :data:`ACK_MS` does not count.
    """
    members = state.members
    others = sum(
        1
        for name, row in members.rows.items()
        if name in members.listed
        and row.offset > offset
        and row.answered_at != NEVER
        and now - row.answered_at <= ACK_MS
    )
    own = state.identity.box in members.listed and state.config.next_offset > offset
    return others + int(own)


def is_accepted(state: State, offset: Offset, now: Millis) -> bool:
    """Tell whether a majority of the listed boxes holds the record at `offset`.

    With no list yet, this box alone must hold it.
    """
    if not state.members.listed:
        return state.config.next_offset > offset
    return holders(state, offset, now) >= majority(state.members)
