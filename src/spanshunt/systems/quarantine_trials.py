"""Trials of quarantined features: when a box may send a request with one again."""

from ..ids import Fingerprint
from ..ids import Millis
from ..ids import VersionId
from ..tables.fleet import Fleet
from ..tables.suspects import SuspectFeature
from ..utils import rendezvous
from .attributing import QUARANTINE_ENDS
from .blaming import live_peers
from .moments import independent_ends
from .quarantining import is_quarantined

QUARANTINE_MS = 3_600_000
"""How long after the last worker end a feature stays quarantined before it is tried
once more, in ms. A cause that nobody fixes thus costs one worker an hour."""

TRIAL_MS = 15_000
"""The same for a quarantine in doubt, in ms. A trial that ends a worker confirms it."""

UNLIKE_RUNS_MS = 1_000
"""Least difference of the times that requests had run when their workers ended for a
quarantine in doubt, in ms. A feature ends its workers after about the same time."""

TRIAL_TURN_MS = 10_000
"""How long it is one box's turn to try a quarantined feature, in ms: an attempt and the
news of its end take less. Requests with the feature may arrive at one box alone."""


def may_send_feature(
    fleet: Fleet, fingerprint: Fingerprint, now: Millis, *, under_way: bool
) -> bool:
    """Return whether a request with a feature may be sent to a worker now.

    A quarantined feature is tried again by one box, one attempt at a time: once its
    time is over, which is short if it is in doubt, or once all workers run other
    versions than the workers that ended while they processed it.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    fingerprint : str
        Fingerprint of the feature.
    now : int
        The time, in ms.
    under_way : bool
        Whether another request with this feature is in progress at this box.
    """
    row = fleet.suspects.get(fingerprint)
    if row is None or not is_quarantined(fleet, row, now):
        return True
    pause_ms = TRIAL_MS if _is_in_doubt(row) else QUARANTINE_MS
    due = now >= row.last_end() + pause_ms or _has_new_versions_only(fleet, row)
    return due and not under_way and _is_retrying_box(fleet, row, now)


def _is_in_doubt(row: SuspectFeature) -> bool:
    """Return whether just enough ends count, of requests that ran for unlike times."""
    ends = row.counted_ends()
    if len(independent_ends(row, ends)) > QUARANTINE_ENDS:
        return False
    runs = [at - row.sent[run] for run, at in ends.items() if run in row.sent]
    return len(runs) == len(ends) and max(runs) - min(runs) >= UNLIKE_RUNS_MS


def _has_new_versions_only(fleet: Fleet, row: SuspectFeature) -> bool:
    """Return whether the service has workers, and all run new versions.

    A version is new if no worker that ended with the feature ran it.
    """
    workers = fleet.workers
    versions: set[VersionId] = set()
    for worker in workers.find_capable(row.service, None):
        if worker.name not in workers.leaving:
            versions |= worker.versions
    return bool(versions) and not versions & row.versions


def _is_retrying_box(fleet: Fleet, row: SuspectFeature, now: Millis) -> bool:
    boxes = [fleet.identity.box, *live_peers(fleet, now)]
    turn = (now - row.last_end()) // TRIAL_TURN_MS % len(boxes)
    return rendezvous(row.fingerprint, boxes, len(boxes))[turn] == fleet.identity.box
