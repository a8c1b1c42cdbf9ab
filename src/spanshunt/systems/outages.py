"""Failure domains whose workers can't be reached: requests go to others first.

A domain that loses power or its links takes all of its workers at once. A box that
tries them one by one learns of each by itself, while the nearest ones look the
cheapest. Two workers that can't be reached, with no answer from their domain in
between, say more of the third than its own row does. A doubt ends with the first answer
or after some seconds; it only orders the choice: where no other domain is left, nothing
changes.
"""

from ..ids import DomainId
from ..ids import Millis
from ..tables.fleet import DomainDoubt
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow

WORKERS_LEAST = 2
"""Workers of a domain that must be out of reach: one may have ended by itself."""

DOUBT_MS = 1_500
"""How long a worker out of reach speaks against its domain, in ms. A box then tries the
domain again with one request: a refused connect costs it 1 ms, one that hangs 400."""


def note_doubt(fleet: Fleet, worker: WorkerRow, now: Millis) -> None:
    """Take in that a worker could not be reached."""
    doubt = fleet.doubts.setdefault(worker.domain, DomainDoubt())
    doubt.unreached[worker.name] = now
    for name, at in list(doubt.unreached.items()):
        if now - at >= DOUBT_MS:
            del doubt.unreached[name]


def note_reached(fleet: Fleet, worker: WorkerRow) -> None:
    """Take in that a worker answers: its domain is there."""
    fleet.doubts.pop(worker.domain, None)


def is_doubtful(fleet: Fleet, domain: DomainId, now: Millis) -> bool:
    """Tell whether workers of other failure domains are to be tried first."""
    doubt = fleet.doubts.get(domain)
    if doubt is None:
        return False
    fresh = sum(now - at < DOUBT_MS for at in doubt.unreached.values())
    return fresh >= WORKERS_LEAST
