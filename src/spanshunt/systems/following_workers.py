"""The list of backend servers: how a new list changes the table of workers.

A worker leaves when its entry says so or is gone. Entries also expire while the store
is unreachable, which shows as a time in which no box read the list. A worker whose
entry has not been seen since that time is retained until a grace period after it,
unless there is other evidence against it.

Such a retained worker is missing: it is in ``Fleet.missing_workers``, stays in the
table and still gets requests. A worker is gone once it is removed from the table. A
worker is replaced if a later run of it, or another worker at its address, is seen while
it was not leaving; it then ended unplanned.

This module works on `Fleet`, the tables of a box that runs
``spanshunt.platform.node``; :mod:`.following` belongs to another process and applies
configuration records. The functions named ``record_...`` change these tables only and
never write to the store.
"""

import zlib

from ..ids import BoxId
from ..ids import Millis
from ..ids import Offset
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.notices import LeavingNotice
from ..tables.worker_list import ListChange
from ..tables.worker_list import ListedWorker
from ..tables.workers import WorkerRow
from ..tables.workers import WorkerState
from .warming import mark_cold
from .withholding import withhold_new_versions

ENTRY_GRACE_MS = 2_000
"""How long after the store is back an expired entry is waited for, in ms: live workers
rewrite theirs within about 2 s."""

MAX_READ_GAP_MS = 1_500
"""Maximum time between two reads of the list, by any box, in which the store counts as
reachable, in ms. A reader reads every 0.9 to 1.4 s, and entries expire after three
missed heartbeats, about 3.6 s."""

PEER_TIMEOUT_MS = 1_500
"""A peer not heard for this long is not relied on to read the list, in ms: three gossip
rounds."""

UNSERVED_TIMEOUT_MS = 3_000
"""How long after its last failed call a box counts as not served by the store, in ms.
After that it counts as served again, although no call succeeded: while the store is
unreachable for all boxes, a box may call it this rarely."""

FOLLOWERS_PER_DOMAIN = 2
"""Number of boxes of a failure domain that follow the operators' records, have an entry
in the list of boxes, and read the quarantined contents. With two, a box that is frozen,
cut off or killed delays no other box. Each further one makes a call for each record and
one every 20 s, as a long poll for records ends after that time."""

RETRY_PAUSE_PER_BOX_MS = 200
"""Pause between the calls of a box whose last call to the store failed and for which
another box should read the list, in ms for each box of its failure domain, the reader
included. Together the boxes of a domain make five calls a second, however many boxes
there are. With two boxes, each pauses for 400 ms, as a reader does between calls that
fail."""

STALE_LIST_FRACTION = 0.6
"""A list older than this fraction of the time within which a leaving worker must get no
new requests is read by any box, whichever box should read it: a call then still fits
in."""


EMPTY_LIST_DIGEST = 1
"""Digest of a list without workers; 0 stands for no list."""

MAX_FORMER_WORKERS = 256
"""Maximum number of workers whose notices are kept after their entries are gone: an
entry may come back with the store, and few workers of a fleet send notices."""


def apply_worker_list(
    fleet: Fleet,
    listed: list[ListedWorker],
    end: Offset,
    now: Millis,
    wall: Millis | None = None,
) -> ListChange:
    """Apply a whole list to the table; one older than the last applied is ignored.

    `wall` is the time of day at `now`, in ms since the Unix epoch; None if unknown.
    With it, a notice that a worker sent after a restart holds for the run that is
    listed later.
    """
    if end < fleet.workers_end:
        return ListChange()
    fleet.workers_end = end
    present = {item.row.name for item in listed}
    replaced = _find_replaced(fleet, listed)
    versions = fleet.workers.known_versions()
    came, leaving = _apply_present(fleet, listed, now, wall)
    gone, kept = _apply_missing(fleet, present, now)
    fleet.workers.invalidate_index()
    withheld = withhold_new_versions(fleet, versions, now)
    return ListChange(came, leaving, gone, kept, replaced, withheld)


def _find_replaced(fleet: Fleet, listed: list[ListedWorker]) -> tuple[WorkerRow, ...]:
    """Return the rows whose worker ended unplanned, as its successor shows.

    The list has a later incarnation of the worker, or a new worker at its address, and
    the worker was not leaving.
    """
    rows = fleet.workers.rows
    new_rows = [item.row for item in listed if item.row.name not in rows]
    addresses = {row.address for row in new_rows}
    born_by_name = {item.row.name: item.row.born for item in listed}
    return tuple(
        row
        for row in rows.values()
        if row.name not in fleet.workers.leaving
        and (row.address in addresses or born_by_name.get(row.name, 0) > row.born > 0)
    )


def _apply_present(
    fleet: Fleet, listed: list[ListedWorker], now: Millis, wall: Millis | None
) -> tuple[tuple[WorkerId, ...], tuple[WorkerId, ...]]:
    workers = fleet.workers
    came, leaving = [], []
    for item in listed:
        listed_row = item.row
        fleet.missing_workers.discard(listed_row.name)
        known = workers.rows.get(listed_row.name)
        if known is None or listed_row.born > known.born > 0:
            _add_incarnation(fleet, listed_row, now, wall)
            came.append(listed_row.name)
        else:
            known.address, known.domain = listed_row.address, listed_row.domain
            known.versions, known.service = listed_row.versions, listed_row.service
            known.born = listed_row.born or known.born
        row = workers.rows[listed_row.name]
        row.listed_at = now
        row.listed_cold = bool(item.cold_ms)
        if item.cold_ms is not None:
            row.cold_until = max(row.cold_until, Millis(now + item.cold_ms))
        elif row is listed_row:
            mark_cold(fleet, row, now)
        row.listed_leaving = item.draining
        if item.draining and listed_row.name not in workers.leaving:
            _mark_leaving(fleet, listed_row.name)
            leaving.append(listed_row.name)
    return tuple(came), tuple(leaving)


def _add_incarnation(
    fleet: Fleet, row: WorkerRow, now: Millis, wall: Millis | None
) -> None:
    """Add a worker that is new, or a new incarnation of a known one.

    A new incarnation gets a new row, because load, cache contents, failures and leaving
    state belonged to the former one and must not carry over. Attempts at the former
    incarnation still decrement the old row's counter.
    """
    known = fleet.workers.rows.get(row.name)
    if known is not None:
        # Peers' reports of the former incarnation's silence are older than this.
        row.last_byte_at = now
        # A worker that fell over and is back has not answered yet.
        row.brittle = known.brittle
    fleet.workers.rows[row.name] = row
    fleet.workers.leaving.discard(row.name)
    fleet.silence_reports.pop(row.name, None)
    former = fleet.workers.former.pop(row.name, None)
    if former is not None and former.born == row.born:
        _restore_notices(fleet, row, former)
    if known is not None and _has_leaving_notice_of(known, row, now, wall):
        assert known.leaving is not None
        record_leaving_notice(fleet, row, known.leaving)


def _has_leaving_notice_of(
    known: WorkerRow, row: WorkerRow, now: Millis, wall: Millis | None
) -> bool:
    """Return whether a known run's leaving notice came from a later run, `row`.

    It did if it arrived after that run began: the run answered before it was listed.
    """
    if known.leaving is None or wall is None or not row.born:
        return False
    return known.leaving.at >= now - (wall - row.born)


def _restore_notices(fleet: Fleet, row: WorkerRow, former: WorkerRow) -> None:
    """Restore the notices of a worker whose entry came back."""
    row.limit, row.rate_limiter = former.limit, former.rate_limiter
    row.rest, row.notices_since = former.rest, former.notices_since
    row.brittle = former.brittle
    if former.leaving is not None:
        record_leaving_notice(fleet, row, former.leaving)


def _apply_missing(
    fleet: Fleet, present: set[WorkerId], now: Millis
) -> tuple[tuple[WorkerId, ...], tuple[WorkerId, ...]]:
    may_return = awaits_missing_entries(fleet, now)
    gone, kept = [], []
    for name in set(fleet.workers.rows) - present:
        has_expired = fleet.workers.rows[name].listed_at < fleet.list_read_streak.since
        if may_return and has_expired and name not in fleet.workers.leaving:
            if name not in fleet.missing_workers:
                kept.append(name)
            fleet.missing_workers.add(name)
            continue
        _remove_worker(fleet, name)
        gone.append(name)
    return tuple(gone), tuple(kept)


def awaits_missing_entries(fleet: Fleet, now: Millis) -> bool:
    """Return whether entries that are absent from the list may still come back.

    They may for a grace period after a time in which no box read the list. If only this
    box was cut off, no entry expired: once a peer reports reads without a gap,
    `record_list_read` moves the start of the streak back, which ends the wait.
    """
    return now < fleet.list_read_streak.since + ENTRY_GRACE_MS


def drop_missing_workers(fleet: Fleet, now: Millis) -> tuple[WorkerId, ...]:
    """Remove missing workers that are no longer waited for and return their names."""
    if not fleet.missing_workers or awaits_missing_entries(fleet, now):
        return ()
    dropped = tuple(
        name for name in fleet.missing_workers if name in fleet.workers.rows
    )
    fleet.missing_workers.clear()
    for name in dropped:
        _remove_worker(fleet, name)
    fleet.workers.invalidate_index()
    return dropped


def _remove_worker(fleet: Fleet, name: WorkerId) -> None:
    """Remove a worker from the table.

    Its row stays marked as leaving for requests that still hold the row. The name is
    not marked any more, as a worker may be added under it again.
    """
    fleet.missing_workers.discard(name)
    _mark_leaving(fleet, name)
    fleet.workers.leaving.discard(name)
    row = fleet.workers.rows.pop(name)
    former = fleet.workers.former
    if row.has_notices:
        former[name] = row
    while len(former) > MAX_FORMER_WORKERS:
        del former[next(iter(former))]


def record_list_read(
    fleet: Fleet, read_at: Millis, unbroken_since: Millis | None = None
) -> None:
    """Record that the list was read from the store.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    read_at : int
        Time of the read, by this box or by the peer that reports it, in ms.
    unbroken_since : int or None
        Start of the time span up to that read in which the peer knows of reads without
        a gap, in ms.
    """
    streak = fleet.list_read_streak
    is_connected = read_at >= streak.last - MAX_READ_GAP_MS
    if streak.last < 0 or read_at - streak.last > MAX_READ_GAP_MS:
        streak.since = read_at
    if unbroken_since is not None and is_connected:
        streak.since = min(streak.since, unbroken_since)
    streak.last = max(streak.last, read_at)


def _mark_leaving(fleet: Fleet, name: WorkerId) -> None:
    """Mark a worker as leaving, so that it gets no new requests.

    Either of the two marks set here is enough to keep requests away. The mark on the
    row lasts as long as the row, and that on the name until the worker is removed or a
    new incarnation is added.
    """
    fleet.workers.leaving.add(name)
    row = fleet.workers.rows.get(name)
    if row is not None:
        row.state = WorkerState.LEAVING


def record_leaving_notice(fleet: Fleet, row: WorkerRow, notice: LeavingNotice) -> bool:
    """Record a worker's notice that it leaves and return whether it is new.

    The notice holds for this incarnation of the worker: an entry that does not say that
    the worker leaves does not revoke it.
    """
    if row.leaving is not None:
        return False
    row.leaving = notice
    _mark_leaving(fleet, row.name)
    return True


def is_leaving_without_notice(fleet: Fleet, row: WorkerRow) -> bool:
    """Return whether a worker leaves by other evidence than its own notice.

    Such evidence is its entry in the list or, for a worker that sent no notice, any
    other mark in ``Workers.leaving``. Either kind of evidence sets that mark, which
    keeps requests away.
    """
    leaves = row.name in fleet.workers.leaving
    return row.listed_leaving or (leaves and row.leaving is None)


def mark_replaced(fleet: Fleet, row: WorkerRow) -> None:
    """Mark a worker as leaving, as another one answered at its address."""
    _mark_leaving(fleet, row.name)
    fleet.workers.invalidate_index()


def record_store_answer(fleet: Fleet) -> bool:
    """Record an answer of the store and return whether calls had failed before."""
    store = fleet.store
    if store.failing_since < 0:
        return False
    store.failing_since = Millis(-1)
    return True


def record_store_failure(fleet: Fleet, now: Millis) -> bool:
    """Record a failed call to the store and return whether it is the first in a row."""
    fleet.store.failed_at = now
    if fleet.store.failing_since >= 0:
        return False
    fleet.store.failing_since = now
    return True


def find_list_reader(fleet: Fleet, now: Millis) -> BoxId:
    """Return the box of this failure domain that reads the list for the others.

    It is the first by name of those recently heard; where boxes disagree, two of them
    read.
    """
    return _live_boxes_in_domain(fleet, now)[0]


def follows_operator_records(fleet: Fleet, now: Millis) -> bool:
    """Return whether this box follows the operators' records itself.

    The first boxes by name of each failure domain do, and any box that knows no catalog
    yet; the others get the records from them.
    """
    return fleet.catalog is None or is_domain_follower(fleet, now)


def is_domain_follower(fleet: Fleet, now: Millis) -> bool:
    """Return whether this box is one of the first by name of its failure domain.

    All boxes of a domain exchange state with its first box in each round, so the first
    box hears all of them and names the followers. Each other box hears only a few and
    might take itself for one of the first.
    """
    near = _live_boxes_in_domain(fleet, now)
    first = fleet.peers.get(near[0])
    if first is not None and first.followers:
        return fleet.identity.box in first.followers
    return fleet.identity.box in near[:FOLLOWERS_PER_DOMAIN]


def followers_to_announce(fleet: Fleet, now: Millis) -> tuple[BoxId, ...]:
    """Return the first boxes of this failure domain, if this box is to name them.

    It names them while it is the first by name itself; otherwise the result is empty.
    """
    near = _live_boxes_in_domain(fleet, now)
    if near[0] != fleet.identity.box:
        return ()
    return tuple(near[:FOLLOWERS_PER_DOMAIN])


def _live_boxes_in_domain(fleet: Fleet, now: Millis) -> list[BoxId]:
    """Return this box and the recently heard boxes of its failure domain, by name.

    Boxes that the store does not serve are left out, unless it does not serve this box
    either: then only few of them should keep calling the store.
    """
    served = is_served_by_store(fleet, now)
    near = [
        peer.box
        for peer in fleet.peers.values()
        if peer.domain == fleet.identity.domain
        and 0 <= peer.heard > now - PEER_TIMEOUT_MS
        and (peer.served or not served)
    ]
    return sorted([*near, fleet.identity.box])


def is_served_by_store(fleet: Fleet, now: Millis) -> bool:
    """Return whether the store counts as serving this box.

    It does if the last call succeeded, or if the last failure is `UNSERVED_TIMEOUT_MS`
    old.
    """
    store = fleet.store
    return store.failing_since < 0 or now >= store.failed_at + UNSERVED_TIMEOUT_MS


def must_read_list(fleet: Fleet, now: Millis, draining_ms: int) -> bool:
    """Return whether this box must read the list itself now."""
    if fleet.workers_read_at < 0 or find_list_reader(fleet, now) == fleet.identity.box:
        return True
    if now - fleet.workers_read_at <= STALE_LIST_FRACTION * draining_ms:
        return False
    store = fleet.store
    pause_ms = RETRY_PAUSE_PER_BOX_MS * len(_live_boxes_in_domain(fleet, now))
    return store.failing_since < 0 or now >= store.failed_at + pause_ms


def list_digest(fleet: Fleet) -> int:
    """Return a number that is equal for lists with the same contents; 0 without a list.

    Missing workers are left out, as each box waits for their entries by itself.
    """
    if fleet.workers_read_at < 0:
        return 0
    if not fleet.workers.digest:
        fleet.workers.digest = _compute_digest(fleet)
    return fleet.workers.digest


def _compute_digest(fleet: Fleet) -> int:
    contents = sorted(
        f"{row.incarnation} {row.address} {row.service} {sorted(row.versions)} "
        f"{is_leaving_without_notice(fleet, row)} {row.listed_cold}"
        for row in fleet.workers.rows.values()
        if row.name not in fleet.missing_workers
    )
    return zlib.crc32("\n".join(contents).encode()) or EMPTY_LIST_DIGEST
