"""Rest periods: a worker that rejects a request may ask for a pause with Retry-After.

A rest period holds only for the box whose request was rejected, and only for the
incarnation of the worker that rejected it. Boxes do not tell each other of rest
periods: each box gets its own, of whatever length the worker asks it for.
"""

from ..ids import Millis
from ..tables.notices import RestPeriod
from ..tables.workers import WorkerRow


def apply_rest(row: WorkerRow, rest_ms: Millis, now: Millis) -> bool:
    """Begin or extend a worker's rest as it asks for; return whether its end changes.

    The longest rest holds: a shorter one that is asked for later does not shorten it.
    """
    until = Millis(now + rest_ms)
    if row.rest is not None and row.rest.until >= until:
        return False
    row.rest = RestPeriod(now, until)
    return True


def rest_left_ms(row: WorkerRow, now: Millis) -> Millis:
    """Return the remaining rest of a worker, in ms; 0 if it does not rest."""
    return Millis(0 if row.rest is None else max(0, row.rest.until - now))
