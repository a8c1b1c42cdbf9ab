"""Bills on their way to the log: sealed, copied, appended, taken over."""

import typing as t

import msgspec
from result import Ok

from ..ids import Incarnation
from ..ids import Micros
from ..ids import Millis
from ..ids import Offset
from ..ids import OrgId
from ..ids import RequestId
from ..ids import ServiceId
from ..records import BillEntry
from ..records import Bills
from ..records import BillsSnapshot
from ..records import JournalPart
from ..records import LogRecord
from ..records import Usage
from ..records import decode_record
from ..tables.billing import BillFold
from ..tables.billing import Coverage
from ..tables.billing import OrgTotal
from ..tables.config import ServiceRow
from ..tables.config import VersionRow
from ..tables.journal import Journal
from ..tables.journal import JournalCopy
from ..utils import digest

BATCH_ENTRIES = 2_000
"""Entries in one record of the log; at some 250 bytes each this is 0.5 MB."""

COVERAGE_MS = 7 * 86_400_000
"""How long after its last bill an incarnation's entries may still come again."""

TOKENS_PER_PRICE = 1_000
"""Prices are for this many tokens."""


class OwnerGone(t.Protocol):
    """Tells whether an incarnation is known to be gone for good, or silent too long."""

    def __call__(self, incarnation: Incarnation, heard: Millis) -> bool:
        """Return True if its copies must be appended by whoever holds them."""


def price(version: VersionRow, prompt_tokens: int, output_tokens: int) -> Usage:
    """Return what an attempt on `version` used, with its price rounded up."""
    whole = prompt_tokens * version.prompt_price + output_tokens * version.output_price
    cost = -(-whole // TOKENS_PER_PRICE)
    return Usage(
        version=t.cast("t.Any", version.name),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        cost=Micros(cost),
    )


def call_usage(service: ServiceRow) -> Usage:
    """Return what one call of a plain service used."""
    return Usage(t.cast("t.Any", ""), 0, 0, service.call_price)


def seal(
    journal: Journal,
    request: RequestId,
    org: OrgId,
    service: ServiceId,
    at: Millis,
    usage: tuple[Usage, ...],
) -> BillEntry:
    """Give the bill of a request its number and keep it."""
    entry = BillEntry(journal.next_seq, request, org, service, at, usage)
    journal.next_seq += 1
    journal.open[entry.seq] = entry
    return entry


def next_batch(journal: Journal) -> Bills | None:
    """Return the oldest own entries that are not on the log, None if there are none."""
    if not journal.open:
        return None
    first = sorted(journal.open)[:BATCH_ENTRIES]
    entries = tuple(journal.open[seq] for seq in first)
    return Bills((JournalPart(journal.incarnation, entries),))


def orphan_batch(journal: Journal, gone: OwnerGone) -> Bills | None:
    """Return the copies whose owners are gone, None if there are none."""
    parts = []
    room = BATCH_ENTRIES
    for incarnation, copies in sorted(journal.copies.items()):
        if room == 0 or not copies.entries or not gone(incarnation, copies.heard):
            continue
        first = sorted(copies.entries)[:room]
        parts.append(
            JournalPart(incarnation, tuple(copies.entries[seq] for seq in first))
        )
        room -= len(first)
    return Bills(tuple(parts)) if parts else None


def settle(journal: Journal, bills: Bills) -> None:
    """Drop the entries of `bills`, which are on the log."""
    for part in bills.parts:
        if part.incarnation == journal.incarnation:
            held = journal.open
        else:
            held = journal.copies.get(part.incarnation, JournalCopy()).entries
        for entry in part.entries:
            held.pop(entry.seq, None)


def first_open(journal: Journal) -> int:
    """Return the first own seq that is not on the log; all before it are."""
    return min(journal.open, default=journal.next_seq)


def take_copies(
    journal: Journal,
    owner: Incarnation,
    entries: tuple[BillEntry, ...],
    settled: int,
    now: Millis,
) -> None:
    """Hold copies for `owner`; drop those before `settled`, which are on the log."""
    copies = journal.copies.setdefault(owner, JournalCopy())
    copies.heard = now
    for entry in entries:
        copies.entries[entry.seq] = entry
    for seq in [seq for seq in copies.entries if seq < settled]:
        del copies.entries[seq]


def forget_empty(journal: Journal, gone: OwnerGone) -> None:
    """Drop the rows of owners that are gone and have nothing left here."""
    for incarnation, copies in list(journal.copies.items()):
        if not copies.entries and gone(incarnation, copies.heard):
            del journal.copies[incarnation]


def fold_bills(fold: BillFold, bills: Bills) -> tuple[BillEntry, ...]:
    """Count the entries of one record; return those that were new."""
    fresh = []
    for part in bills.parts:
        coverage = fold.covered.setdefault(part.incarnation, Coverage())
        for entry in part.entries:
            coverage.latest = max(coverage.latest, entry.at)
            if not coverage.add(entry.seq):
                fold.doubled += 1
                continue
            _count(fold, entry)
            fresh.append(entry)
    return tuple(fresh)


def fold_bill_record(fold: BillFold, record: LogRecord) -> None:
    """Fold one record of the bills stream; snapshots say nothing new to the fold.

    A record before ``fold.next_offset`` was folded already and is passed over.
    """
    if record.offset < fold.next_offset:
        return
    match decode_record(record.data):
        case Ok(Bills() as bills):
            fold_bills(fold, bills)
        case _:
            pass
    fold.next_offset = Offset(record.offset + 1)


def newest_bill_fold(records: t.Iterable[LogRecord]) -> BillFold | None:
    """Return the fold of the newest sound snapshot among `records`."""
    found: BillFold | None = None
    for record in records:
        match decode_record(record.data):
            case Ok(BillsSnapshot(fold=fold, hash=hash_)) if digest(fold) == hash_:
                found = fold
            case _:
                pass
    return found


def bill_snapshot(fold: BillFold) -> BillsSnapshot:
    """Return a snapshot of the fold, less what can't come again."""
    newest = max((row.latest for row in fold.covered.values()), default=Millis(0))
    covered = {
        incarnation: row
        for incarnation, row in fold.covered.items()
        if newest - row.latest < COVERAGE_MS
    }
    kept = msgspec.structs.replace(fold, covered=covered)
    return BillsSnapshot(fold=kept, hash=digest(kept))


def _count(fold: BillFold, entry: BillEntry) -> None:
    services = fold.totals.setdefault(entry.org, {})
    total = services.setdefault(entry.service, OrgTotal())
    total.requests += 1
    total.prompt_tokens += sum(item.prompt_tokens for item in entry.usage)
    total.output_tokens += sum(item.output_tokens for item in entry.usage)
    total.cost = Micros(total.cost + entry.cost)
