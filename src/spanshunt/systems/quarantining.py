"""Quarantine of features of requests that are suspected of crashing workers.

A feature is what some requests have in common: the content of equal requests, or a
shared part of their prompts. A fingerprint identifies it.

A worker that ends takes a dozen requests with it, of which one may be the cause. Each
of their features becomes a suspect, and a complete answer from a worker clears it. A
feature that three workers were processing when they ended, with no such answer in
between, is quarantined unless another one explains these ends (`attributing`): no box
sends requests with it to any worker. A request with a suspect goes to workers that
process no other one, so that fewer suspects are at the same worker when it ends.

``Fleet.suspects`` has one row for each feature that a worker was processing when it
ended, or that an operator released. The feature is a suspect while ends count, i.e. are
later than a minute after its last complete answer. Once it is cleared, no end counts,
but the row is kept for some time if it was shared with peers.

Functions named ``record_`` note something in the memory of this box. The record of a
quarantine is in the platform's store, from which boxes that start read it;
``SuspectFeature.dropped_at`` is when that record was removed.
"""

import typing as t

from ..ids import BoxId
from ..ids import Fingerprint
from ..ids import Millis
from ..ids import ServiceId
from ..ids import WorkerIncarnation
from ..tables.fleet import Fleet
from ..tables.suspects import CLEARED_MS
from ..tables.suspects import CONTENT_POSITION
from ..tables.suspects import NEVER_CLEARED
from ..tables.suspects import SuspectFeature
from ..tables.workers import WorkerRow
from .attributing import QUARANTINE_ENDS
from .attributing import attribute_ends
from .attributing import is_candidate
from .moments import independent_ends

PART_DELAY_MS = 600
"""How long after its third end a prompt part is quarantined, in ms. Other requests with
a harmless part are answered meanwhile, at this box or at peers, which tell of it in one
round of gossip."""


OUTLIVED_MS = 1_000
"""How much longer a stream must have run than any that an end broke to clear its
content of past ends, in ms."""

QUARANTINE_EXPIRY_MS = 24 * 3_600_000
"""How long after the last change a quarantined feature is forgotten, in ms."""

SUSPECT_EXPIRY_MS = 600_000
"""The same for a suspect that is not quarantined, in ms. Callers that send a request
again do so within this time."""

MAX_SUSPECTS = 2_048
"""Maximum number of suspects kept. Those with too few ends are evicted first, and among
equals the one unchanged for longest. They take under 2 MB."""

MAX_ENDS = 32
"""Maximum number of ends kept for a suspect, newest last. Harmless parts that most
prompts share are present at many."""


MAX_COMPLETED = 8_192
"""Maximum number of completely answered features kept: two minutes of a box's requests
with a part of its own each, in under 2 MB."""

_SAME_EVENT_MS = 1_000
"""Times of one event reported by two boxes differ by less than this, in ms: the
duration of a call."""


def record_end_during(
    fleet: Fleet,
    fingerprint: Fingerprint,
    service: ServiceId,
    worker: WorkerRow,
    now: Millis,
    position: int = CONTENT_POSITION,
    requests: int = 1,
    sent: Millis | None = None,
) -> SuspectFeature:
    """Record that a worker ended while it processed a feature.

    `position` is that of the feature in its prompt, `requests` how many requests with
    it the end broke at this box, `sent` when the oldest of them was sent, in ms; None
    if unknown. Returns the row of the feature.
    """
    row = fleet.suspects.get(fingerprint)
    if row is None:
        row = fleet.suspects[fingerprint] = SuspectFeature(
            fingerprint,
            service,
            cleared_at=fleet.last_completed.get(fingerprint, NEVER_CLEARED),
        )
        _evict_suspects(fleet)
    row.position = max(row.position, position)
    row.ends.setdefault(worker.incarnation, now)
    if sent is not None:
        _note_sent(row, worker.incarnation, sent)
    row.own_requests += requests
    row.requests = max(row.requests, row.own_requests)
    _limit_ends(row)
    row.versions |= worker.versions
    row.shared |= len(row.counted_ends()) > 1
    row.changed_at = now
    return row


def was_cleared_recently(fleet: Fleet, fingerprint: Fingerprint, now: Millis) -> bool:
    """Return whether an answer of this box clears a feature of ends at this time."""
    cleared_at = fleet.last_completed.get(fingerprint)
    return cleared_at is not None and now <= cleared_at + CLEARED_MS


def _limit_ends(row: SuspectFeature) -> None:
    if len(row.ends) > MAX_ENDS:
        newest = sorted(row.ends.items(), key=lambda end: end[1])[-MAX_ENDS:]
        row.ends = dict(newest)
        row.sent = {run: at for run, at in row.sent.items() if run in row.ends}


def _note_sent(row: SuspectFeature, run: WorkerIncarnation, sent: Millis) -> None:
    row.sent[run] = min(sent, row.sent.get(run, sent))


def record_complete_answer(fleet: Fleet, fingerprint: Fingerprint, at: Millis) -> None:
    """Record that a worker answered a request with a feature and went on running."""
    fleet.last_completed.pop(fingerprint, None)
    fleet.last_completed[fingerprint] = at
    if len(fleet.last_completed) > MAX_COMPLETED:
        del fleet.last_completed[next(iter(fleet.last_completed))]
    row = fleet.suspects.get(fingerprint)
    if row is None:
        return
    if not row.shared:
        del fleet.suspects[fingerprint]
        return
    # A feature that is answered often is sent to peers now and then, not each time.
    if row.counted_ends() or at > row.cleared_at + CLEARED_MS // 2:
        row.cleared_at = row.changed_at = at
        row.requests = row.own_requests = 0


def record_outlived_ends(row: SuspectFeature, ran_ms: int, now: Millis) -> bool:
    """Record that a request with a feature goes on; return whether ends stop to count.

    They do once the request has run for longer than any that they broke; `ran_ms` is
    the time since its first event, in ms. Later ends count again: unlike a complete
    answer, this tells nothing of the rest of the run.
    """
    if not row.counted_ends():
        return False
    longest = row.longest_run()
    if longest is None or ran_ms < longest + OUTLIVED_MS:
        return False
    row.cleared_at = max(row.cleared_at, Millis(now - CLEARED_MS))
    row.changed_at = now
    row.requests = row.own_requests = 0
    return True


def release_suspect(
    fleet: Fleet, fingerprint: Fingerprint, at: Millis, now: Millis
) -> None:
    """Release a feature by an operator's order, given at `at`.

    Worker ends before the release no longer count, even if this box learns of them
    later. Those after it count at once, unless a complete answer in the `CLEARED_MS`
    before them still clears the feature. As an answer clears a feature for that long,
    the release is stored as an answer `CLEARED_MS` before it. Features to which the
    same ends would be attributed next are released with it.
    """
    row = fleet.suspects.setdefault(
        fingerprint, SuspectFeature(fingerprint, ServiceId(""), shared=True)
    )
    ends = row.counted_ends().keys()
    released = [row]
    if is_quarantined(fleet, row, now):
        released += [
            other
            for other in fleet.suspects.values()
            if other is not row and set() < set(other.counted_ends()) <= ends
        ]
    for one in released:
        one.cleared_at = max(one.cleared_at, Millis(at - CLEARED_MS))
        one.changed_at = now


def share_suspect(fleet: Fleet, fingerprint: Fingerprint, now: Millis) -> None:
    """Share a suspect with peers, as its request here got no complete answer."""
    row = fleet.suspects.get(fingerprint)
    if row is not None and not row.shared:
        row.shared, row.changed_at = True, now


def is_quarantined(fleet: Fleet, row: SuspectFeature, now: Millis) -> bool:
    """Return whether a feature is quarantined: no worker gets requests with it."""
    return (
        is_candidate(row)
        and now >= _decided_at(row)
        and row.fingerprint in attribute_ends(fleet)
    )


def _decided_at(row: SuspectFeature) -> Millis:
    """Return from when enough ends are attributed to a candidate, in ms."""
    at = independent_ends(row, row.counted_ends())[QUARANTINE_ENDS - 1]
    return Millis(at + PART_DELAY_MS) if row.position != CONTENT_POSITION else at


def quarantined_features(fleet: Fleet) -> list[SuspectFeature]:
    """Return the rows of the quarantined features."""
    return list(attribute_ends(fleet).values())


def update_quarantine(fleet: Fleet, row: SuspectFeature, now: Millis) -> bool:
    """Update a feature's quarantine; return whether it is newly quarantined."""
    if not is_quarantined(fleet, row, now):
        return False
    row.quarantined_by = row.quarantined_by or fleet.identity.box
    new = row.quarantined_at < min(row.counted_ends().values())
    if new:
        row.quarantined_at = now
        row.shared, row.changed_at = True, now
    return new


def merge_suspect(
    fleet: Fleet, received: SuspectFeature, now: Millis
) -> SuspectFeature:
    """Merge a suspect from a peer or the store; return the resulting row."""
    row = fleet.suspects.get(received.fingerprint)
    if row is None:
        row = fleet.suspects[received.fingerprint] = SuspectFeature(
            received.fingerprint,
            received.service,
            cleared_at=fleet.last_completed.get(received.fingerprint, NEVER_CLEARED),
            changed_at=now,
        )
        _evict_suspects(fleet)
    before = (set(row.ends), row.recorded, row.quarantined_by)
    row.position = max(row.position, received.position)
    row.requests = max(row.requests, received.requests)
    for run, at in received.ends.items():
        # Boxes notice an end at different times, and reported times are too late.
        row.ends[run] = min(at, row.ends.get(run, at))
    for run, sent in received.sent.items():
        if run in row.ends:
            _note_sent(row, run, sent)
    _limit_ends(row)
    row.service = row.service or received.service
    row.versions |= received.versions
    row.recorded |= received.recorded
    row.quarantined_by = _first_box(row.quarantined_by, received.quarantined_by)
    cleared_later = received.cleared_at > row.cleared_at + _SAME_EVENT_MS
    if cleared_later:
        row.cleared_at = received.cleared_at
        row.requests = row.own_requests = 0
    row.shared = True
    if cleared_later or before != (set(row.ends), row.recorded, row.quarantined_by):
        row.changed_at = now
    return row


def _first_box(first: BoxId, second: BoxId) -> BoxId:
    return min(first, second) if first and second else first or second


def expire_suspects(fleet: Fleet, now: Millis) -> None:
    """Remove the suspects that did not change for long."""
    quarantined = {row.fingerprint for row in quarantined_features(fleet)}
    for fingerprint, row in list(fleet.suspects.items()):
        if now - row.changed_at > (
            QUARANTINE_EXPIRY_MS if fingerprint in quarantined else SUSPECT_EXPIRY_MS
        ):
            del fleet.suspects[fingerprint]


def _evict_suspects(fleet: Fleet) -> None:
    while len(fleet.suspects) > MAX_SUSPECTS:
        rows: t.Iterable[SuspectFeature] = fleet.suspects.values()
        oldest = min(
            rows,
            key=lambda row: (
                is_candidate(row),
                row.changed_at,
            ),
        )
        del fleet.suspects[oldest.fingerprint]
