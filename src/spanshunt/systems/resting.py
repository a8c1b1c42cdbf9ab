"""Workers that turned this box away and asked it for rest: they get nothing meanwhile.

A rest is between one box and one life of a worker; other boxes ask for themselves.
"""

from ..ids import Millis
from ..tables.notices import RestPeriod
from ..tables.workers import WorkerRow


def note_rest(row: WorkerRow, rest_ms: Millis, now: Millis) -> bool:
    """Take in that a worker asks for rest; return whether it gets more than before.

    The longest rest holds: a shorter one that is asked for later takes nothing back.
    """
    until = Millis(now + rest_ms)
    if row.rest is not None and row.rest.until >= until:
        return False
    row.rest = RestPeriod(now, until)
    return True


def rest_left_ms(row: WorkerRow, now: Millis) -> Millis:
    """Return how much longer a worker rests, in ms; 0 if it does not."""
    return Millis(0 if row.rest is None else max(0, row.rest.until - now))
