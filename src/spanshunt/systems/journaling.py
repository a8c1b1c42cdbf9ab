"""Bills on their way to the log: recorded, copied to peers, appended and taken over.

This module works on tables of the daemon ``spanshuntd``. A bill is recorded in the
journal in memory first and appended to the log in a batch later.
"""

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

MAX_BATCH_ENTRIES = 2_000
"""Maximum number of entries in one record of the log; at some 250 bytes each, this is
0.5 MB."""

COVERAGE_RETENTION_MS = 7 * 86_400_000
"""How long after the last bill of an incarnation its entries may arrive again, in
ms."""

TOKENS_PER_PRICE = 1_000
"""Number of tokens that a price is for."""


class IsOwnerGone(t.Protocol):
    """Tells whether an incarnation is known to be gone, or was silent for too long."""

    def __call__(self, incarnation: Incarnation, heard: Millis) -> bool:
        """Return True if the holders of its copies must append them."""


def priced_usage(version: VersionRow, prompt_tokens: int, output_tokens: int) -> Usage:
    """Return the usage of an attempt on `version`, with its price rounded up."""
    scaled_cost = (
        prompt_tokens * version.prompt_price + output_tokens * version.output_price
    )
    cost = -(-scaled_cost // TOKENS_PER_PRICE)
    return Usage(
        version=t.cast("t.Any", version.name),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        cost=Micros(cost),
    )


def call_usage(service: ServiceRow) -> Usage:
    """Return the usage of one call of a plain service."""
    return Usage(t.cast("t.Any", ""), 0, 0, service.call_price)


def record_bill(
    journal: Journal,
    request: RequestId,
    org: OrgId,
    service: ServiceId,
    at: Millis,
    usage: tuple[Usage, ...],
) -> BillEntry:
    """Assign a sequence number to the bill of a request and add it to the journal."""
    entry = BillEntry(journal.next_seq, request, org, service, at, usage)
    journal.next_seq += 1
    journal.open[entry.seq] = entry
    return entry


def next_batch(journal: Journal) -> Bills | None:
    """Return the oldest own entries that are not on the log, or None."""
    if not journal.open:
        return None
    seqs = sorted(journal.open)[:MAX_BATCH_ENTRIES]
    entries = tuple(journal.open[seq] for seq in seqs)
    return Bills((JournalPart(journal.incarnation, entries),))


def orphan_batch(journal: Journal, gone: IsOwnerGone) -> Bills | None:
    """Return the copies whose owners are gone, or None if there are none."""
    parts = []
    remaining = MAX_BATCH_ENTRIES
    for incarnation, copies in sorted(journal.copies.items()):
        if remaining == 0 or not copies.entries or not gone(incarnation, copies.heard):
            continue
        seqs = sorted(copies.entries)[:remaining]
        parts.append(
            JournalPart(incarnation, tuple(copies.entries[seq] for seq in seqs))
        )
        remaining -= len(seqs)
    return Bills(tuple(parts)) if parts else None


def settle_bills(journal: Journal, bills: Bills) -> None:
    """Drop the entries of `bills`, which are on the log."""
    for part in bills.parts:
        if part.incarnation == journal.incarnation:
            held = journal.open
        else:
            held = journal.copies.get(part.incarnation, JournalCopy()).entries
        for entry in part.entries:
            held.pop(entry.seq, None)


def first_open_seq(journal: Journal) -> int:
    """Return the first own sequence number that is not on the log.

    All numbers before it are on the log.
    """
    return min(journal.open, default=journal.next_seq)


def store_copies(
    journal: Journal,
    owner: Incarnation,
    entries: tuple[BillEntry, ...],
    settled: int,
    now: Millis,
) -> None:
    """Store copies for `owner` and drop those before `settled`, which are logged."""
    copies = journal.copies.setdefault(owner, JournalCopy())
    copies.heard = now
    for entry in entries:
        copies.entries[entry.seq] = entry
    for seq in [seq for seq in copies.entries if seq < settled]:
        del copies.entries[seq]


def drop_empty_copies(journal: Journal, gone: IsOwnerGone) -> None:
    """Drop the rows of owners that are gone, if they hold no more entries.

    It is not checked whether all entries of such an owner are on the log.
    """
    for incarnation, copies in list(journal.copies.items()):
        if not copies.entries and gone(incarnation, copies.heard):
            del journal.copies[incarnation]


def fold_bills(fold: BillFold, bills: Bills) -> tuple[BillEntry, ...]:
    """Count the entries of one record and return those that were new."""
    fresh = []
    for part in bills.parts:
        coverage = fold.covered.setdefault(part.incarnation, Coverage())
        for entry in part.entries:
            coverage.latest = max(coverage.latest, entry.at)
            if not coverage.add(entry.seq):
                fold.doubled += 1
                continue
            _add_to_totals(fold, entry)
            fresh.append(entry)
    return tuple(fresh)


def fold_bill_record(fold: BillFold, record: LogRecord) -> None:
    """Fold one record of the bills stream; snapshots add nothing to the fold.

    A record before ``fold.next_offset`` was folded before and is skipped.
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
    """Return the fold of the newest snapshot with a matching hash among `records`."""
    newest: BillFold | None = None
    for record in records:
        match decode_record(record.data):
            case Ok(BillsSnapshot(fold=fold, hash=hash_)) if digest(fold) == hash_:
                newest = fold
            case _:
                pass
    return newest


def bill_snapshot(fold: BillFold) -> BillsSnapshot:
    """Return a snapshot of the fold, without incarnations whose bills are all old.

    Their entries can't arrive again.
    """
    newest = max((row.latest for row in fold.covered.values()), default=Millis(0))
    covered = {
        incarnation: row
        for incarnation, row in fold.covered.items()
        if newest - row.latest < COVERAGE_RETENTION_MS
    }
    trimmed = msgspec.structs.replace(fold, covered=covered)
    return BillsSnapshot(fold=trimmed, hash=digest(trimmed))


def _add_to_totals(fold: BillFold, entry: BillEntry) -> None:
    services = fold.totals.setdefault(entry.org, {})
    total = services.setdefault(entry.service, OrgTotal())
    total.requests += 1
    total.prompt_tokens += sum(item.prompt_tokens for item in entry.usage)
    total.output_tokens += sum(item.output_tokens for item in entry.usage)
    total.cost = Micros(total.cost + entry.cost)
