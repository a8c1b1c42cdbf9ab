"""Workers in need: the requests a second that each takes from all boxes together."""

from ..ids import Millis
from ..tables.notices import RateLimit
from ..tables.workers import WorkerRow


def take_limit(row: WorkerRow, limit: RateLimit) -> bool:
    """Take a worker's word in unless a newer one is known; return whether it changes.

    That a worker names no limit tells something only where it did name one.
    """
    known = row.limit
    if known is None and limit.per_s is None:
        return False
    if known is not None and known.at > limit.at:
        return False
    row.limit = limit
    return known is None or known.per_s != limit.per_s


def is_over(row: WorkerRow, sent: Millis) -> bool:
    """Tell whether an answer without a limit ends the one known.

    An answer to a request that was sent before that limit was heard may be older.
    """
    known = row.limit
    return known is not None and known.per_s is not None and sent > known.at
