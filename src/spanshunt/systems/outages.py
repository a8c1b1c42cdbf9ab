"""Outages of failure domains: workers in other domains are tried first.

A domain that loses power or its network loses all of its workers at once. A box that
tries them one by one detects each separately, while the nearest ones look cheapest. Two
unreachable workers, with no answer from their domain in between, tell more about a
third one than the data that this box has on that one itself. An outage ends with the
first answer or after some seconds. It only changes the order of preference: if no other
domain is left, it has no effect.
"""

from ..ids import DomainId
from ..ids import Millis
from ..tables.fleet import DomainOutage
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow

MIN_UNREACHABLE_WORKERS = 2
"""Workers of a domain that must be unreachable; a single one may have ended on its
own."""

UNREACHABLE_VALID_MS = 1_500
"""How long an unreachable worker counts towards an outage of its domain, in ms. Once
fewer than two count, requests may go to the domain again, until two of its workers are
found unreachable again. A refused connection costs a request 1 ms, and one that hangs
400 ms."""


def add_to_outage(fleet: Fleet, worker: WorkerRow, now: Millis) -> None:
    """Count an unreachable worker towards an outage of its domain.

    `Fleet.outages` also holds domains with a single unreachable worker; only
    `has_outage` tells whether there is an outage.
    """
    outage = fleet.outages.setdefault(worker.domain, DomainOutage())
    outage.unreached[worker.name] = now
    for name, at in list(outage.unreached.items()):
        if now - at >= UNREACHABLE_VALID_MS:
            del outage.unreached[name]


def clear_outage(fleet: Fleet, worker: WorkerRow) -> None:
    """Clear the outage of a domain, as one of its workers answered."""
    fleet.outages.pop(worker.domain, None)


def has_outage(fleet: Fleet, domain: DomainId, now: Millis) -> bool:
    """Return whether a domain has an outage.

    Its workers are then chosen only if no others are left, apart from ejected workers
    and those reported as silent, which come even later.
    """
    outage = fleet.outages.get(domain)
    if outage is None:
        return False
    recent_count = sum(
        now - at < UNREACHABLE_VALID_MS for at in outage.unreached.values()
    )
    return recent_count >= MIN_UNREACHABLE_WORKERS
