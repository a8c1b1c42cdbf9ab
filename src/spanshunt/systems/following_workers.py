"""The list of backend servers: what a new list means for the workers' table.

A worker leaves when its entry says so or is gone. Entries also lapse while the store is
away, which shows as a time in which no box read the list. A worker whose entry has not
been seen since is kept until a grace after it, as long as nothing else speaks against
it.
"""

import zlib

import msgspec

from ..ids import BoxId
from ..ids import Millis
from ..ids import Offset
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.notices import LeavingNotice
from ..tables.workers import WorkerRow
from ..tables.workers import WorkerState
from .warming import note_started

RETURN_GRACE_MS = 2_000
"""How long after the store's return a lapsed entry is waited for, in ms: workers that
live write theirs again within about two seconds."""

READ_GAP_MS = 1_500
"""Longest time between two readings of the list, by any box, in which the store is not
taken to have been away, in ms: a reader reads every 0.9 to 1.4 s, and entries lapse
after three heartbeats of silence, about 3.6 s."""

HEARD_MS = 1_500
"""A peer not heard for this long is not relied on to read the list, in ms: three rounds
of exchanges."""

REFUSED_MS = 3_000
"""How long after a failed call a box that calls no more is taken to be refused, in ms:
while the store is away from all, each box tries that seldom."""

OPERATOR_FOLLOWERS = 2
"""Boxes of a failure domain that follow the operators' records, stand in the list of
boxes, and read what is kept back: two, so that one which is frozen, cut or killed holds
nobody up; each further one makes a call for each record and one every 20 s."""

TRY_MS = 200
"""Pause of a box whose last call to the store failed and that another box should read
for, in ms for each box of its failure domain: together they make five tries a second,
however many they are. Two boxes try as often as the reader does."""

OLD_PART = 0.6
"""A list older than this part of the time within which a leaving worker must get
nothing new is read anew by any box, whoever should have: a call then still fits in."""


FORMER_KEPT = 256
"""Workers at most whose words are kept after their entries went: an entry may come back
with the store, and few of a fleet say anything."""


class ListedWorker(msgspec.Struct, frozen=True):
    """One entry of the list.

    Attributes
    ----------
    row : WorkerRow
        The worker.
    draining : bool
        Whether its entry says that it leaves.
    cold_ms : int or None
        How much longer it is slow from its start, in ms; None where that is not told.
    flaw : str
        What its entry says that can't be; empty for nothing.
    """

    row: WorkerRow
    draining: bool
    cold_ms: Millis | None = None
    flaw: str = ""


class ListChange(msgspec.Struct, frozen=True):
    """What a list changed, for logs; ``ended`` are rows of lives that are over."""

    came: tuple[WorkerId, ...] = ()
    leaving: tuple[WorkerId, ...] = ()
    gone: tuple[WorkerId, ...] = ()
    kept: tuple[WorkerId, ...] = ()
    ended: tuple[WorkerRow, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether nothing changed."""
        return not (self.came or self.leaving or self.gone or self.kept)


def take_list(
    fleet: Fleet, listed: list[ListedWorker], end: Offset, now: Millis
) -> ListChange:
    """Take a whole list into the table; one older than the last taken is ignored."""
    if end < fleet.workers_end:
        return ListChange()
    fleet.workers_end = end
    present = {item.row.name for item in listed}
    ended = _ended(fleet, listed)
    came, leaving = _take_present(fleet, listed, now)
    gone, kept = _take_missing(fleet, present, now)
    fleet.workers.invalidate_index()
    return ListChange(came, leaving, gone, kept, ended)


def _ended(fleet: Fleet, listed: list[ListedWorker]) -> tuple[WorkerRow, ...]:
    """Return the rows whose worker has ended unplanned, as the list shows.

    Another life of it is there, or a worker that was not known has its address.
    """
    rows = fleet.workers.rows
    fresh = [item.row for item in listed if item.row.name not in rows]
    taken = {row.address for row in fresh}
    lives = {item.row.name: item.row.born for item in listed}
    return tuple(
        row
        for row in rows.values()
        if row.name not in fleet.workers.leaving
        and (row.address in taken or lives.get(row.name, 0) > row.born > 0)
    )


def _take_present(
    fleet: Fleet, listed: list[ListedWorker], now: Millis
) -> tuple[tuple[WorkerId, ...], tuple[WorkerId, ...]]:
    workers = fleet.workers
    came, leaving = [], []
    for item in listed:
        fresh = item.row
        fleet.missing_workers.discard(fresh.name)
        known = workers.rows.get(fresh.name)
        if known is None or fresh.born > known.born > 0:
            _take_life(fleet, fresh, now)
            came.append(fresh.name)
        else:
            known.address, known.domain = fresh.address, fresh.domain
            known.versions, known.service = fresh.versions, fresh.service
            known.born = fresh.born or known.born
        row = workers.rows[fresh.name]
        row.listed_at = now
        row.listed_cold = bool(item.cold_ms)
        if item.cold_ms is not None:
            row.cold_until = max(row.cold_until, Millis(now + item.cold_ms))
        elif row is fresh:
            note_started(fleet, row, now)
        row.listed_leaving = item.draining
        if item.draining and fresh.name not in workers.leaving:
            _mark_leaving(fleet, fresh.name)
            leaving.append(fresh.name)
    return tuple(came), tuple(leaving)


def _take_life(fleet: Fleet, fresh: WorkerRow, now: Millis) -> None:
    """Take a worker in that is new, or back under its id.

    One that is back gets a row of its own: its load, what it keeps, its failures and
    that it was leaving were its former life's, and attempts there still count down the
    old row.
    """
    if fresh.name in fleet.workers.rows:
        # What peers still tell of its former life's silence is older than this.
        fresh.last_byte_at = now
    fleet.workers.rows[fresh.name] = fresh
    fleet.workers.leaving.discard(fresh.name)
    fleet.silence_reports.pop(fresh.name, None)
    former = fleet.workers.former.pop(fresh.name, None)
    if former is not None and former.born == fresh.born:
        _take_words(fleet, fresh, former)


def _take_words(fleet: Fleet, fresh: WorkerRow, former: WorkerRow) -> None:
    """Let a worker's words hold on whose entry went and came back in the same life."""
    fresh.limit, fresh.rate_limiter = former.limit, former.rate_limiter
    fresh.rest, fresh.notices_since = former.rest, former.notices_since
    if former.leaving is not None:
        note_leaving(fleet, fresh, former.leaving)


def _take_missing(
    fleet: Fleet, present: set[WorkerId], now: Millis
) -> tuple[tuple[WorkerId, ...], tuple[WorkerId, ...]]:
    waits = awaits_entries(fleet, now)
    gone, kept = [], []
    for name in set(fleet.workers.rows) - present:
        lapsed = fleet.workers.rows[name].listed_at < fleet.list_read_streak.since
        if waits and lapsed and name not in fleet.workers.leaving:
            if name not in fleet.missing_workers:
                kept.append(name)
            fleet.missing_workers.add(name)
            continue
        _remove(fleet, name)
        gone.append(name)
    return tuple(gone), tuple(kept)


def awaits_entries(fleet: Fleet, now: Millis) -> bool:
    """Tell whether entries that the list lacks may yet come back.

    They may just after a time in which no box read the list. A box that was cut off
    waits only until it hears of one that read on: then no entry lapsed.
    """
    return now < fleet.list_read_streak.since + RETURN_GRACE_MS


def drop_missing(fleet: Fleet, now: Millis) -> tuple[WorkerId, ...]:
    """Remove the workers whose entries are no longer waited for; return them."""
    if not fleet.missing_workers or awaits_entries(fleet, now):
        return ()
    dropped = tuple(
        name for name in fleet.missing_workers if name in fleet.workers.rows
    )
    fleet.missing_workers.clear()
    for name in dropped:
        _remove(fleet, name)
    fleet.workers.invalidate_index()
    return dropped


def _remove(fleet: Fleet, name: WorkerId) -> None:
    fleet.missing_workers.discard(name)
    _mark_leaving(fleet, name)
    fleet.workers.leaving.discard(name)
    row = fleet.workers.rows.pop(name)
    former = fleet.workers.former
    if row.has_notices:
        former[name] = row
    while len(former) > FORMER_KEPT:
        del former[next(iter(former))]


def note_reading(
    fleet: Fleet, read_at: Millis, unbroken_since: Millis | None = None
) -> None:
    """Take in that the list was read from the store.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    read_at : int
        When, in ms, by this box or by the one that told it.
    unbroken_since : int or None
        Since when the teller knows of readings without a gap up to that one, in ms.
    """
    readings = fleet.list_read_streak
    reaches = read_at >= readings.last - READ_GAP_MS
    if readings.last < 0 or read_at - readings.last > READ_GAP_MS:
        readings.since = read_at
    if unbroken_since is not None and reaches:
        readings.since = min(readings.since, unbroken_since)
    readings.last = max(readings.last, read_at)


def _mark_leaving(fleet: Fleet, name: WorkerId) -> None:
    """Stop giving new work to a worker, for as long as its entry stands."""
    fleet.workers.leaving.add(name)
    row = fleet.workers.rows.get(name)
    if row is not None:
        row.state = WorkerState.LEAVING


def note_leaving(fleet: Fleet, row: WorkerRow, word: LeavingNotice) -> bool:
    """Take in that a worker said it leaves; return whether that is news.

    It holds for this life of the worker, whatever its entry says and for how long.
    """
    if row.leaving is not None:
        return False
    row.leaving = word
    _mark_leaving(fleet, row.name)
    return True


def is_listed_leaving(fleet: Fleet, row: WorkerRow) -> bool:
    """Tell whether a worker leaves by more than its own answers."""
    leaves = row.name in fleet.workers.leaving
    return row.listed_leaving or (leaves and row.leaving is None)


def note_replaced(fleet: Fleet, row: WorkerRow) -> None:
    """Take in that another worker answered at this worker's address: it has ended."""
    _mark_leaving(fleet, row.name)
    fleet.workers.invalidate_index()


def note_store_answer(fleet: Fleet) -> bool:
    """Take in that the store answered; return whether it had been away."""
    store = fleet.store
    if store.failing_since < 0:
        return False
    store.failing_since = Millis(-1)
    return True


def note_store_failure(fleet: Fleet, now: Millis) -> bool:
    """Take in that a call to the store failed; return whether this is new."""
    fleet.store.failed_at = now
    if fleet.store.failing_since >= 0:
        return False
    fleet.store.failing_since = now
    return True


def reader_of(fleet: Fleet, now: Millis) -> BoxId:
    """Return which box of this failure domain reads the list for the others.

    It is the first by name of those heard of late; where boxes disagree, two read.
    """
    return _near_heard(fleet, now)[0]


def follows_operators(fleet: Fleet, now: Millis) -> bool:
    """Tell whether this box follows the operators' records itself.

    The first boxes by name of each failure domain do, and any that knows no catalog
    yet; the others hear of records from them.
    """
    return fleet.catalog is None or is_first_near(fleet, now)


def is_first_near(fleet: Fleet, now: Millis) -> bool:
    """Tell whether this box is one of the first by name of its failure domain.

    All boxes of a domain ask its first one in each round, so that one hears all and
    names them; of the others each hears a few, and would take itself for one.
    """
    near = _near_heard(fleet, now)
    first = fleet.peers.get(near[0])
    if first is not None and first.followers:
        return fleet.identity.box in first.followers
    return fleet.identity.box in near[:OPERATOR_FOLLOWERS]


def named_followers(fleet: Fleet, now: Millis) -> tuple[BoxId, ...]:
    """Return the first boxes of this failure domain, if this one is to name them.

    It is while it is the first by name itself; else nobody is named.
    """
    near = _near_heard(fleet, now)
    if near[0] != fleet.identity.box:
        return ()
    return tuple(near[:OPERATOR_FOLLOWERS])


def _near_heard(fleet: Fleet, now: Millis) -> list[BoxId]:
    """Return this box and those of its failure domain heard of late, by name.

    Boxes that the store does not serve are left out, unless it does not serve this one
    either: then few of them should go on trying.
    """
    served = is_served(fleet, now)
    near = [
        peer.box
        for peer in fleet.peers.values()
        if peer.domain == fleet.identity.domain
        and 0 <= peer.heard > now - HEARD_MS
        and (peer.served or not served)
    ]
    return sorted([*near, fleet.identity.box])


def is_served(fleet: Fleet, now: Millis) -> bool:
    """Tell whether the store serves this box, as far as its newest calls tell."""
    store = fleet.store
    return store.failing_since < 0 or now >= store.failed_at + REFUSED_MS


def must_read(fleet: Fleet, now: Millis, draining_ms: int) -> bool:
    """Tell whether this box reads the list itself now."""
    if fleet.workers_read_at < 0 or reader_of(fleet, now) == fleet.identity.box:
        return True
    if now - fleet.workers_read_at <= OLD_PART * draining_ms:
        return False
    store = fleet.store
    pause_ms = TRY_MS * len(_near_heard(fleet, now))
    return store.failing_since < 0 or now >= store.failed_at + pause_ms


def list_digest(fleet: Fleet) -> int:
    """Return a number that is alike for lists that say the same; 0 for none.

    Workers whose entries lapsed are left out: each box waits for them by itself.
    """
    if fleet.workers_read_at < 0:
        return 0
    if not fleet.workers.digest:
        fleet.workers.digest = _digest(fleet)
    return fleet.workers.digest


def _digest(fleet: Fleet) -> int:
    said = sorted(
        f"{row.incarnation} {row.address} {row.service} {sorted(row.versions)} "
        f"{is_listed_leaving(fleet, row)} {row.listed_cold}"
        for row in fleet.workers.rows.values()
        if row.name not in fleet.missing_workers
    )
    return zlib.crc32("\n".join(said).encode()) or 1
