"""Failure domains that operators emptied: nothing is sent to their workers.

The newest word on a domain counts, by its place in the operators' stream, wherever a
box has it from. When a domain is given back, its workers may just have started.
"""

import typing as t

from ..ids import DomainId
from ..ids import Millis
from ..ids import Offset
from ..tables.fleet import EvacuationRow
from ..tables.fleet import Fleet
from .eras import awaits_operator_rewrites
from .warming import note_started


def is_emptied(fleet: Fleet, domain: DomainId) -> bool:
    """Tell whether nothing may be sent to the workers of a failure domain."""
    row = fleet.evacuations.get(domain)
    return row is not None and row.active


def emptied_domains(fleet: Fleet) -> frozenset[DomainId]:
    """Return the failure domains whose workers get nothing."""
    rows = fleet.evacuations.values()
    return frozenset(row.domain for row in rows if row.active)


def take_evacuation(fleet: Fleet, told: EvacuationRow, now: Millis) -> bool:
    """Take an operator's word in; return whether it changes what is sent where.

    That a domain was given back may be known by the record's absence alone, from the
    place on where the list of records ended: a record at that place is newer.
    """
    known = fleet.evacuations.get(told.domain)
    if known is not None and _age(known) >= _age(told):
        return False
    fleet.evacuations[told.domain] = told
    was_active = known is not None and known.active
    if was_active and not told.active:
        _warm_up(fleet, told.domain, now)
    return was_active != told.active


def take_absent(
    fleet: Fleet, listed: t.Collection[DomainId], end: Offset, now: Millis
) -> tuple[DomainId, ...]:
    """Take in that a whole list of records names no other domain; return those freed.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    listed : collection of str
        The domains that are emptied by the list.
    end : int
        Where the operators' stream ended when it was read.
    now : int
        The time, in ms.
    """
    if awaits_operator_rewrites(fleet, now):
        return ()
    absent = [
        row.domain
        for row in fleet.evacuations.values()
        if row.active and row.domain not in listed and row.order < end
    ]
    return tuple(
        domain
        for domain in absent
        if take_evacuation(fleet, EvacuationRow(domain, end, active=False), now)
    )


def _age(row: EvacuationRow) -> tuple[Offset, bool]:
    return row.order, row.active


def _warm_up(fleet: Fleet, domain: DomainId, now: Millis) -> None:
    for row in fleet.workers.rows.values():
        if row.domain == domain:
            note_started(fleet, row, now)
