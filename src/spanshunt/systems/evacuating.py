"""Failure domains that operators evacuate: their workers get no requests.

The newest order for a domain applies, by its offset in the operators' stream, no matter
from where the box received it. Once the evacuation of a domain is revoked, its workers
may have just started.
"""

import typing as t

from ..ids import DomainId
from ..ids import Millis
from ..ids import Offset
from ..tables.fleet import EvacuationRow
from ..tables.fleet import Fleet
from .eras import awaits_operator_rewrites
from .warming import mark_cold


def is_evacuated(fleet: Fleet, domain: DomainId) -> bool:
    """Return whether a failure domain is evacuated."""
    row = fleet.evacuations.get(domain)
    return row is not None and row.active


def evacuated_domains(fleet: Fleet) -> frozenset[DomainId]:
    """Return the failure domains that are evacuated."""
    rows = fleet.evacuations.values()
    return frozenset(row.domain for row in rows if row.active)


def apply_evacuation(fleet: Fleet, received: EvacuationRow, now: Millis) -> bool:
    """Apply an operator's order; return whether this changes where requests may go.

    A revocation may arrive as an order with its own offset. If the box missed that
    order, it sees only that a complete list of records lacks the evacuation. The
    revocation then gets the offset of the list's end, which the next record gets too;
    such a record is newer than the list and therefore wins.
    """
    known = fleet.evacuations.get(received.domain)
    if known is not None and _sort_key(known) >= _sort_key(received):
        return False
    fleet.evacuations[received.domain] = received
    was_active = known is not None and known.active
    if was_active and not received.active:
        _mark_workers_cold(fleet, received.domain, now)
    return was_active != received.active


def revoke_unlisted(
    fleet: Fleet, listed: t.Collection[DomainId], end: Offset, now: Millis
) -> tuple[DomainId, ...]:
    """Revoke evacuations that a complete list of records lacks; return their domains.

    For some seconds after a restore of the store from a copy, nothing is revoked:
    records that the copy lacks may still be written again by the operators' tools.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    listed : collection of str
        The domains that are evacuated according to the list.
    end : int
        End of the operators' stream when the list was read.
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
        if apply_evacuation(fleet, EvacuationRow(domain, end, active=False), now)
    )


def _sort_key(row: EvacuationRow) -> tuple[Offset, bool]:
    """Return a key that rises with newer orders; for ties see `apply_evacuation`."""
    return row.order, row.active


def _mark_workers_cold(fleet: Fleet, domain: DomainId, now: Millis) -> None:
    for row in fleet.workers.rows.values():
        if row.domain == domain:
            mark_cold(fleet, row, now)
