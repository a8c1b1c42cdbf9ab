"""Freshness: how old this box's configuration may be, at most.

A box is fresh at time T if it had, at T, every configuration that was accepted by T.
Three things prove it: a read of the log that reached the head; an exchange with a peer
that was fresh; or exchanges with a majority of the listed boxes. The last one holds
since a configuration is called accepted only once a majority of the boxes holds it, so
that any two majorities share a box that has it. ``docs/decisions/0003`` weighs this.
"""

from ..ids import Millis
from ..ids import Offset
from ..tables.members import Members
from ..tables.state import State

NEVER = Millis(-1)


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


def quorum_time(state: State, now: Millis) -> Millis:
    """Return the latest time by which a majority answered this box, -1 for none.

    This box counts as having answered now.
    """
    members = state.members
    if state.me.box not in members.listed:
        return NEVER
    times = [
        row.witnessed
        for name, row in members.rows.items()
        if name in members.listed and row.witnessed != NEVER
    ]
    times.append(now)
    times.sort(reverse=True)
    need = majority(members)
    if len(times) < need:
        return NEVER
    return times[need - 1]


def holders(state: State, offset: Offset) -> int:
    """Return how many listed boxes are known to hold the record at `offset`."""
    members = state.members
    others = sum(
        1
        for name, row in members.rows.items()
        if name in members.listed and row.offset > offset
    )
    own = state.me.box in members.listed and state.config.next_offset > offset
    return others + int(own)


def is_accepted(state: State, offset: Offset) -> bool:
    """Tell whether a majority of the listed boxes holds the record at `offset`.

    With no list yet, this box alone must hold it.
    """
    if not state.members.listed:
        return state.config.next_offset > offset
    return holders(state, offset) >= majority(state.members)
