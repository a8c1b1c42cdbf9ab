"""Failure domains whose workers can't be reached: requests go to others first.

A domain that loses power or its links takes all of its workers at once. A box that
tries them one by one learns of each by itself, while the nearest ones look the
cheapest. Two workers that can't be reached, with no answer from their domain in
between, say more of the third than its own row does. An outage ends with the first
answer or after some seconds; it only orders the choice: where no other domain is left,
nothing changes.
"""

from ..ids import DomainId
from ..ids import Millis
from ..tables.fleet import DomainOutage
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow

WORKERS_LEAST = 2
"""Workers of a domain that must be out of reach: one may have ended by itself."""

OUTAGE_MS = 1_500
"""How long a worker out of reach speaks against its domain, in ms. A box then tries the
domain again with one request: a refused connect costs it 1 ms, one that hangs 400."""


def note_domain_unreached(fleet: Fleet, worker: WorkerRow, now: Millis) -> None:
    """Take in that a worker could not be reached."""
    outage = fleet.outages.setdefault(worker.domain, DomainOutage())
    outage.unreached[worker.name] = now
    for name, at in list(outage.unreached.items()):
        if now - at >= OUTAGE_MS:
            del outage.unreached[name]


def note_domain_reached(fleet: Fleet, worker: WorkerRow) -> None:
    """Take in that a worker answers: its domain is there."""
    fleet.outages.pop(worker.domain, None)


def is_out_of_reach(fleet: Fleet, domain: DomainId, now: Millis) -> bool:
    """Tell whether workers of other failure domains are to be tried first."""
    outage = fleet.outages.get(domain)
    if outage is None:
        return False
    fresh = sum(now - at < OUTAGE_MS for at in outage.unreached.values())
    return fresh >= WORKERS_LEAST
