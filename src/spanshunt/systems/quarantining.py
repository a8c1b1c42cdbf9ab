"""Quarantine of request contents that are suspected of crashing workers.

A worker that ends takes a dozen requests with it, of which one may be the cause. Each
of them becomes a suspect, and a complete answer from a worker clears it. A content that
three workers were processing when they ended, with no complete answer in between, is
quarantined: no box sends it to any worker. While a content is a suspect it goes to
workers that process no other suspect, so that fewer suspects are at the same worker
when it ends.

A content is what equal requests have in common, and its fingerprint identifies it.
``Fleet.suspect_requests`` has one row for each content that a worker was processing
when it ended, or that an operator released. The content is a suspect while ends count,
i.e. are later than a minute after its last complete answer, and quarantined once three
count. Once the content is cleared, no end counts, but the row is kept for some time if
it was shared with peers.

Functions named ``record_`` note something in the memory of this box. The record of a
quarantine is in the platform's store, from which boxes that start read it;
``SuspectRequest.dropped_at`` is when that record was removed.
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

QUARANTINE_ENDS = 3
"""Worker ends that quarantine a content. Where workers also end for other reasons, 2
would quarantine many harmless requests; the third costs one more worker."""

QUARANTINE_MS = 3_600_000
"""How long after the last worker end a content stays quarantined before it is tried
once more, in ms. A cause that nobody fixes thus costs one worker an hour."""

QUARANTINE_EXPIRY_MS = 24 * 3_600_000
"""How long after the last change a quarantined content is forgotten, in ms."""

SUSPECT_EXPIRY_MS = 600_000
"""The same for a suspect that is not quarantined, in ms. Callers that send a request
again do so within this time."""

MAX_SUSPECTS = 2_048
"""Maximum number of suspects kept. Contents that are not quarantined are evicted first,
and among equals the one unchanged for longest. They take under 2 MB."""

CHANGE_SENT_MS = 3_000
"""How long after a change a suspect is sent to peers in each round of gossip, in ms:
for seven rounds. A box that missed all of them detects that its digest differs."""

MAX_SUSPECTS_SENT, MAX_QUARANTINED_SENT = 24, 128
"""Maximum number of suspects in one message, and of quarantined contents sent to a box
whose digest differs. Each takes some 100 bytes."""

STORE_DELAY_MS = 150
"""Delay before the record of a quarantine is written to the store, in ms. Boxes that
quarantine a content at the same time learn of each other meanwhile, and one of them
writes it."""

MAX_COMPLETED = 4_096
"""Maximum number of completely answered contents kept: two minutes of a box's requests,
in under 1 MB."""

_SAME_EVENT_MS = 1_000
"""Times of one event reported by two boxes differ by less than this, in ms: the
duration of a call."""


def record_end_during(
    fleet: Fleet,
    fingerprint: Fingerprint,
    service: ServiceId,
    worker: WorkerRow,
    now: Millis,
) -> SuspectRequest:
    """Record that a worker ended while it processed a content.

    Returns the row of the content.
    """
    row = fleet.suspect_requests.get(fingerprint)
    if row is None:
        row = fleet.suspect_requests[fingerprint] = SuspectRequest(
            fingerprint,
            service,
            cleared_at=fleet.last_completed.get(fingerprint, Millis(-1)),
        )
        _evict_suspects(fleet)
    row.ends.setdefault(worker.incarnation, now)
    row.versions |= worker.versions
    row.shared |= len(row.counted_ends()) > 1
    row.changed_at = now
    return row


def record_complete_answer(fleet: Fleet, fingerprint: Fingerprint, at: Millis) -> None:
    """Record that a worker completed an answer to a content and went on running."""
    fleet.last_completed.pop(fingerprint, None)
    fleet.last_completed[fingerprint] = at
    if len(fleet.last_completed) > MAX_COMPLETED:
        del fleet.last_completed[next(iter(fleet.last_completed))]
    row = fleet.suspect_requests.get(fingerprint)
    if row is None:
        return
    if not row.shared:
        del fleet.suspect_requests[fingerprint]
        return
    # A content that is answered often is sent to peers now and then, not each time.
    if row.counted_ends() or at > row.cleared_at + CLEARED_MS // 2:
        row.cleared_at = row.changed_at = at


def release_suspect(
    fleet: Fleet, fingerprint: Fingerprint, at: Millis, now: Millis
) -> None:
    """Release a content by an operator's order, given at `at`.

    Worker ends before the release no longer count, even if this box learns of them
    later. Those after it count at once, unless a complete answer in the `CLEARED_MS`
    before them still clears the content. As an answer clears the content for that long,
    the release is stored as an answer `CLEARED_MS` before it.
    """
    row = fleet.suspect_requests.setdefault(
        fingerprint, SuspectRequest(fingerprint, ServiceId(""), shared=True)
    )
    row.cleared_at = max(row.cleared_at, Millis(at - CLEARED_MS))
    row.changed_at = now


def share_suspect(fleet: Fleet, fingerprint: Fingerprint, now: Millis) -> None:
    """Share a suspect with peers, as its request here got no complete answer."""
    row = fleet.suspect_requests.get(fingerprint)
    if row is not None and not row.shared:
        row.shared, row.changed_at = True, now


def is_suspect(fleet: Fleet, fingerprint: Fingerprint) -> bool:
    """Return whether a content is a suspect, i.e. whether any worker end counts."""
    row = fleet.suspect_requests.get(fingerprint)
    return row is not None and bool(row.counted_ends())


def is_quarantined(row: SuspectRequest) -> bool:
    """Return whether a content is quarantined: it is sent to no worker."""
    return (
        len(row.ends) >= QUARANTINE_ENDS and len(row.counted_ends()) >= QUARANTINE_ENDS
    )


def quarantined_contents(fleet: Fleet) -> list[SuspectRequest]:
    """Return the rows of the quarantined contents."""
    return [row for row in fleet.suspect_requests.values() if is_quarantined(row)]


def may_send_content(
    fleet: Fleet, fingerprint: Fingerprint, now: Millis, *, under_way: bool
) -> bool:
    """Return whether a content may be sent to a worker now.

    A quarantined content is tried again by one box, one attempt at a time, once its
    time is over, or once all workers run other versions than the workers that ended
    while they processed it.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    fingerprint : str
        Fingerprint of the content.
    now : int
        The time, in ms.
    under_way : bool
        Whether another request with this content is in progress at this box.
    """
    row = fleet.suspect_requests.get(fingerprint)
    if row is None or not is_quarantined(row):
        return True
    due = now >= row.last_end() + QUARANTINE_MS or _has_new_versions_only(fleet, row)
    return due and not under_way and _is_retrying_box(fleet, row, now)


def _has_new_versions_only(fleet: Fleet, row: SuspectRequest) -> bool:
    """Return whether the service has workers, and all run new versions.

    A version is new if no worker that ended with the content ran it.
    """
    workers = fleet.workers
    versions: set[VersionId] = set()
    for worker in workers.find_capable(row.service, None):
        if worker.name not in workers.leaving:
            versions |= worker.versions
    return bool(versions) and not versions & row.versions


def _is_retrying_box(fleet: Fleet, row: SuspectRequest, now: Millis) -> bool:
    boxes = [fleet.identity.box, *live_peers(fleet, now)]
    return rendezvous(row.fingerprint, boxes, 1)[0] == fleet.identity.box


def update_quarantine(fleet: Fleet, row: SuspectRequest, now: Millis) -> bool:
    """Update a content's quarantine; return whether it is newly quarantined."""
    if not is_quarantined(row):
        return False
    row.quarantined_by = row.quarantined_by or fleet.identity.box
    new = row.quarantined_at < 0 or row.quarantined_at <= row.cleared_at
    if new:
        row.quarantined_at = now
        row.shared, row.changed_at = True, now
    return new


def merge_suspect(
    fleet: Fleet, received: SuspectRequest, now: Millis
) -> SuspectRequest:
    """Merge a suspect from a peer or the store; return the resulting row."""
    row = fleet.suspect_requests.get(received.fingerprint)
    if row is None:
        row = fleet.suspect_requests[received.fingerprint] = SuspectRequest(
            received.fingerprint,
            received.service,
            cleared_at=fleet.last_completed.get(received.fingerprint, Millis(-1)),
            changed_at=now,
        )
        _evict_suspects(fleet)
    before = (set(row.ends), row.recorded, row.quarantined_by)
    # Reported times are derived from ages and inexact, so known times are kept.
    row.ends = received.ends | row.ends
    row.service = row.service or received.service
    row.versions |= received.versions
    row.recorded |= received.recorded
    row.quarantined_by = _first_box(row.quarantined_by, received.quarantined_by)
    cleared_later = received.cleared_at > row.cleared_at + _SAME_EVENT_MS
    if cleared_later:
        row.cleared_at = received.cleared_at
    row.shared = True
    if cleared_later or before != (set(row.ends), row.recorded, row.quarantined_by):
        row.changed_at = now
    return row


def _first_box(first: BoxId, second: BoxId) -> BoxId:
    return min(first, second) if first and second else first or second


def suspects_to_send(
    fleet: Fleet, now: Millis, peer_digest: int | None
) -> list[SuspectRequest]:
    """Return the suspects to send to a peer.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    now : int
        The time, in ms.
    peer_digest : int or None
        The receiving peer's :func:`quarantine_digest`; None if it is unknown.
    """
    shared = [row for row in fleet.suspect_requests.values() if row.shared]
    recent = [row for row in shared if now - row.changed_at <= CHANGE_SENT_MS]
    recent.sort(key=lambda row: (-len(row.counted_ends()), -row.changed_at))
    selected = recent[:MAX_SUSPECTS_SENT]
    if peer_digest is not None and peer_digest != quarantine_digest(fleet):
        selected_names = {row.fingerprint for row in selected}
        others = [
            row
            for row in quarantined_contents(fleet)
            if row.fingerprint not in selected_names
        ]
        selected += others[:MAX_QUARANTINED_SENT]
    return selected


def quarantine_digest(fleet: Fleet) -> int:
    """Return a checksum that is equal at boxes with the same quarantined contents."""
    fingerprints = sorted(row.fingerprint for row in quarantined_contents(fleet))
    return zlib.crc32("\n".join(fingerprints).encode()) if fingerprints else 0


def quarantines_to_store(fleet: Fleet, now: Millis) -> list[SuspectRequest]:
    """Return the quarantined contents that this box must record in the store now.

    The box that quarantined a content writes the record. If that box is not heard, the
    first by name of those that are does. A content whose record was removed needs a new
    one if it is quarantined again.
    """
    heard = live_peers(fleet, now)
    return [
        row
        for row in quarantined_contents(fleet)
        if row.quarantined_at >= 0
        and (not row.recorded or row.dropped_at >= 0)
        and now >= row.quarantined_at + STORE_DELAY_MS
        and _is_storing_box(fleet, row, heard)
    ]


def records_to_remove(fleet: Fleet, now: Millis) -> list[SuspectRequest]:
    """Return the contents whose record this box must remove from the store now.

    They were cleared by a complete answer or released by an operator since. With the
    record, a box that starts would quarantine them again.
    """
    heard = live_peers(fleet, now)
    return [
        row
        for row in fleet.suspect_requests.values()
        if row.recorded
        and row.dropped_at < 0 <= row.cleared_at
        and len(row.counted_ends()) < QUARANTINE_ENDS
        and _is_storing_box(fleet, row, heard)
    ]


def _is_storing_box(fleet: Fleet, row: SuspectRequest, heard: list[BoxId]) -> bool:
    if row.quarantined_by in heard:
        return False
    return fleet.identity.box in (row.quarantined_by, min([fleet.identity.box, *heard]))


def expire_suspects(fleet: Fleet, now: Millis) -> None:
    """Remove the suspects that did not change for long."""
    quarantined = {row.fingerprint for row in quarantined_contents(fleet)}
    for fingerprint, row in list(fleet.suspect_requests.items()):
        if now - row.changed_at > (
            QUARANTINE_EXPIRY_MS if fingerprint in quarantined else SUSPECT_EXPIRY_MS
        ):
            del fleet.suspect_requests[fingerprint]


def _evict_suspects(fleet: Fleet) -> None:
    while len(fleet.suspect_requests) > MAX_SUSPECTS:
        rows: t.Iterable[SuspectRequest] = fleet.suspect_requests.values()
        oldest = min(
            rows,
            key=lambda row: (
                len(row.counted_ends()) >= QUARANTINE_ENDS,
                row.changed_at,
            ),
        )
        del fleet.suspect_requests[oldest.fingerprint]
