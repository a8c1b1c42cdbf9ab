"""Contents that are kept back, because workers end under them.

A worker that ends takes a dozen requests with it, of which one may be the cause. Each
of them is suspected; one that a worker answers whole is not any more. What three
workers ended under, with no whole answer in between, is sent to no worker of any box.
While it is suspected it goes to workers that have no other suspect, so that fewer of
them meet at the next end.
"""

import typing as t
import zlib

from ..ids import BoxId
from ..ids import Fingerprint
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..tables.fleet import Fleet
from ..tables.suspects import CLEARED_MS
from ..tables.suspects import SuspectRequest
from ..tables.workers import WorkerRow
from ..utils import rendezvous
from .blaming import live_peers

ENDS_MOST = 3
"""Workers that may end under one content: where workers end by themselves, two would
keep many a sound request back, and a third costs one worker more."""

KEPT_MS = 3_600_000
"""How long after the last end a content is kept back before it is tried once more, in
ms: a worker an hour is what a cause that nobody mended costs."""

FORGOTTEN_MS = 24 * 3_600_000
"""How long after the last end a content is forgotten, in ms."""

SUSPECTED_MS = 600_000
"""The same of one that is not kept back, in ms: callers that repeat come within it."""

SUSPECTS_MOST = 2_048
"""Contents remembered at most, the longest unchanged forgotten first: under 2 MB."""

TOLD_MS = 3_000
"""How long after a change others are told in each exchange, in ms: seven exchanges;
one that missed them all sees that its list of those kept back differs."""

TOLD_MOST, KEPT_TOLD_MOST = 24, 128
"""Contents told in one exchange at most, and of those kept back to a box whose list
differs; each takes some 100 bytes."""

RECORD_AFTER_MS = 150
"""How long after a content was kept back that is recorded, in ms: boxes that found it
at once hear of each other meanwhile, and one of them records it."""

SOUND_MOST = 4_096
"""Contents remembered that were answered whole: two minutes of a box's requests, in
under 1 MB."""

_SAME_MS = 1_000
"""Times of one event as two boxes tell it differ by less, in ms: what a call takes."""


def note_end_under(
    fleet: Fleet,
    fingerprint: Fingerprint,
    service: ServiceId,
    worker: WorkerRow,
    now: Millis,
) -> SuspectRequest:
    """Take in that a worker ended while it had a content; return what is known."""
    row = fleet.suspect_requests.get(fingerprint)
    if row is None:
        row = fleet.suspect_requests[fingerprint] = SuspectRequest(
            fingerprint,
            service,
            cleared_at=fleet.last_completed.get(fingerprint, Millis(-1)),
        )
        _make_room(fleet)
    row.ends.setdefault(worker.incarnation, now)
    row.versions |= worker.versions
    row.shared |= len(row.counted_ends()) > 1
    row.changed_at = now
    return row


def note_sound(fleet: Fleet, fingerprint: Fingerprint, at: Millis) -> None:
    """Take in that a worker outlived a whole answer to a content."""
    fleet.last_completed.pop(fingerprint, None)
    fleet.last_completed[fingerprint] = at
    if len(fleet.last_completed) > SOUND_MOST:
        del fleet.last_completed[next(iter(fleet.last_completed))]
    row = fleet.suspect_requests.get(fingerprint)
    if row is None:
        return
    if not row.shared:
        del fleet.suspect_requests[fingerprint]
        return
    # What is answered often is told now and then, not at each answer.
    if row.counted_ends() or at > row.cleared_at + CLEARED_MS // 2:
        row.cleared_at = row.changed_at = at


def release(fleet: Fleet, fingerprint: Fingerprint, at: Millis, now: Millis) -> None:
    """Let a content go by an operator's word, given at `at`.

    It counts as well for one that is heard of later only. Ends after it count again.
    """
    row = fleet.suspect_requests.setdefault(
        fingerprint, SuspectRequest(fingerprint, ServiceId(""), shared=True)
    )
    row.cleared_at = max(row.cleared_at, Millis(at - CLEARED_MS))
    row.changed_at = now


def share(fleet: Fleet, fingerprint: Fingerprint, now: Millis) -> None:
    """Let others know of a content whose try ended here without a whole answer."""
    row = fleet.suspect_requests.get(fingerprint)
    if row is not None and not row.shared:
        row.shared, row.changed_at = True, now


def is_suspected(fleet: Fleet, fingerprint: Fingerprint) -> bool:
    """Tell whether a worker ended under a content since it was last sound."""
    row = fleet.suspect_requests.get(fingerprint)
    return row is not None and bool(row.counted_ends())


def is_kept_back(row: SuspectRequest) -> bool:
    """Tell whether a content is sent to no worker."""
    return len(row.ends) >= ENDS_MOST and len(row.counted_ends()) >= ENDS_MOST


def kept_contents(fleet: Fleet) -> list[SuspectRequest]:
    """Return the contents that are sent to no worker."""
    return [row for row in fleet.suspect_requests.values() if is_kept_back(row)]


def may_be_sent(
    fleet: Fleet, fingerprint: Fingerprint, now: Millis, *, under_way: bool
) -> bool:
    """Tell whether a content may be sent to a worker now.

    One that is kept back is tried again by one box, one try at a time, when its time is
    over or no worker is left of a version that ended under it.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    fingerprint : str
        The content.
    now : int
        The time, in ms.
    under_way : bool
        Whether another request of this content is under way at this box.
    """
    row = fleet.suspect_requests.get(fingerprint)
    if row is None or not is_kept_back(row):
        return True
    due = now >= row.last_end() + KEPT_MS or _is_renewed(fleet, row)
    return due and not under_way and _tries(fleet, row, now)


def _is_renewed(fleet: Fleet, row: SuspectRequest) -> bool:
    """Tell whether the service has workers, and none of the versions that ended."""
    workers = fleet.workers
    versions: set[VersionId] = set()
    for worker in workers.find_capable(row.service, None):
        if worker.name not in workers.leaving:
            versions |= worker.versions
    return bool(versions) and not versions & row.versions


def _tries(fleet: Fleet, row: SuspectRequest, now: Millis) -> bool:
    boxes = [fleet.identity.box, *live_peers(fleet, now)]
    return rendezvous(row.fingerprint, boxes, 1)[0] == fleet.identity.box


def newly_kept(fleet: Fleet, row: SuspectRequest, now: Millis) -> bool:
    """Judge a content; tell whether it is to be kept back and was not before."""
    if not is_kept_back(row):
        return False
    row.quarantined_by = row.quarantined_by or fleet.identity.box
    new = row.quarantined_at < 0 or row.quarantined_at <= row.cleared_at
    if new:
        row.quarantined_at = now
        row.shared, row.changed_at = True, now
    return new


def take_suspect(fleet: Fleet, told: SuspectRequest, now: Millis) -> SuspectRequest:
    """Take in what a peer or the store tells of a content; return what is known."""
    row = fleet.suspect_requests.get(told.fingerprint)
    if row is None:
        row = fleet.suspect_requests[told.fingerprint] = SuspectRequest(
            told.fingerprint,
            told.service,
            cleared_at=fleet.last_completed.get(told.fingerprint, Millis(-1)),
            changed_at=now,
        )
        _make_room(fleet)
    before = (set(row.ends), row.recorded, row.quarantined_by)
    # Times come with the age that the teller gave them: what is known stands.
    row.ends = told.ends | row.ends
    row.service = row.service or told.service
    row.versions |= told.versions
    row.recorded |= told.recorded
    row.quarantined_by = _first(row.quarantined_by, told.quarantined_by)
    newer = told.cleared_at > row.cleared_at + _SAME_MS
    if newer:
        row.cleared_at = told.cleared_at
    row.shared = True
    if newer or before != (set(row.ends), row.recorded, row.quarantined_by):
        row.changed_at = now
    return row


def _first(one: BoxId, other: BoxId) -> BoxId:
    return min(one, other) if one and other else one or other


def told_suspects(
    fleet: Fleet, now: Millis, hearer_digest: int | None
) -> list[SuspectRequest]:
    """Return the contents to tell a peer.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    now : int
        The time, in ms.
    hearer_digest : int or None
        The hearer's :func:`kept_digest`; None where that is not known.
    """
    shared = [row for row in fleet.suspect_requests.values() if row.shared]
    fresh = [row for row in shared if now - row.changed_at <= TOLD_MS]
    fresh.sort(key=lambda row: (-len(row.counted_ends()), -row.changed_at))
    told = fresh[:TOLD_MOST]
    if hearer_digest is not None and hearer_digest != kept_digest(fleet):
        named = {row.fingerprint for row in told}
        kept = [row for row in kept_contents(fleet) if row.fingerprint not in named]
        told += kept[:KEPT_TOLD_MOST]
    return told


def kept_digest(fleet: Fleet) -> int:
    """Return a number that is alike where the same contents are kept back."""
    kept = sorted(row.fingerprint for row in kept_contents(fleet))
    return zlib.crc32("\n".join(kept).encode()) if kept else 0


def due_records(fleet: Fleet, now: Millis) -> list[SuspectRequest]:
    """Return the contents whose keeping back this box is to record now.

    The box that found it does; where that one is not heard, the first by name that is.
    """
    heard = live_peers(fleet, now)
    return [
        row
        for row in kept_contents(fleet)
        if row.quarantined_at >= 0
        and (not row.recorded or row.dropped_at >= 0)
        and now >= row.quarantined_at + RECORD_AFTER_MS
        and _records(fleet, row, heard)
    ]


def due_drops(fleet: Fleet, now: Millis) -> list[SuspectRequest]:
    """Return the recorded contents that were found sound or let go since.

    A box that starts would keep them back by their record.
    """
    heard = live_peers(fleet, now)
    return [
        row
        for row in fleet.suspect_requests.values()
        if row.recorded
        and row.dropped_at < 0 <= row.cleared_at
        and len(row.counted_ends()) < ENDS_MOST
        and _records(fleet, row, heard)
    ]


def _records(fleet: Fleet, row: SuspectRequest, heard: list[BoxId]) -> bool:
    if row.quarantined_by in heard:
        return False
    return fleet.identity.box in (row.quarantined_by, min([fleet.identity.box, *heard]))


def forget_suspects(fleet: Fleet, now: Millis) -> None:
    """Drop the contents that nothing was learned of for long."""
    kept = {row.fingerprint for row in kept_contents(fleet)}
    for name, row in list(fleet.suspect_requests.items()):
        if now - row.changed_at > (FORGOTTEN_MS if name in kept else SUSPECTED_MS):
            del fleet.suspect_requests[name]


def _make_room(fleet: Fleet) -> None:
    while len(fleet.suspect_requests) > SUSPECTS_MOST:
        rows: t.Iterable[SuspectRequest] = fleet.suspect_requests.values()
        least = min(
            rows, key=lambda row: (len(row.counted_ends()) >= ENDS_MOST, row.changed_at)
        )
        del fleet.suspect_requests[least.fingerprint]
