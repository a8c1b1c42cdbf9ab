"""Bills: counted once, whichever box appends them and in any order."""

from hypothesis import given
from hypothesis import strategies as st

from builders import a_state
from spanshunt.records import Bills
from spanshunt.records import JournalPart
from spanshunt.records import LogRecord
from spanshunt.records import Usage
from spanshunt.records import encode_record
from spanshunt.systems.journaling import MAX_BATCH_ENTRIES
from spanshunt.systems.journaling import first_open_seq
from spanshunt.systems.journaling import fold_bill_record
from spanshunt.systems.journaling import fold_bills
from spanshunt.systems.journaling import next_batch
from spanshunt.systems.journaling import orphan_batch
from spanshunt.systems.journaling import priced_usage
from spanshunt.systems.journaling import record_bill
from spanshunt.systems.journaling import settle_bills
from spanshunt.systems.journaling import store_copies
from spanshunt.tables.billing import BillFold
from spanshunt.tables.config import VersionRow


def journal_with_bills(count: int):
    journal = a_state().journal
    usage = (Usage("chico@1", 1, 1, 7),)
    entries = tuple(
        record_bill(journal, f"r{number}", "museo", "redactor-ia", 0, usage)
        for number in range(count)
    )
    return journal, entries


class TestFold:
    @given(st.lists(st.lists(st.integers(0, 19), max_size=20), max_size=12))
    def test_each_entry_counts_once(self, batches: list[list[int]]):
        journal, entries = journal_with_bills(20)
        fold = BillFold()
        for batch in batches:
            rows = tuple(entries[seq] for seq in batch)
            fold_bills(fold, Bills((JournalPart(journal.incarnation, rows),)))
        seen = {seq for batch in batches for seq in batch}
        total = fold.totals.get("museo", {}).get("redactor-ia")
        assert (total.requests if total else 0) == len(seen)
        assert (total.cost if total else 0) == 7 * len(seen)

    def test_record_read_twice_is_folded_once(self):
        """Two concurrent readers must not count one entry as a duplicate."""
        journal, entries = journal_with_bills(1)
        bills = Bills((JournalPart(journal.incarnation, entries),))
        record = LogRecord(0, 0, encode_record(bills))
        fold = BillFold()
        fold_bill_record(fold, record)
        fold_bill_record(fold, record)
        assert (fold.doubled, fold.next_offset) == (0, 1)


class TestJournal:
    def test_batches_are_bounded_and_settle(self):
        journal, _ = journal_with_bills(MAX_BATCH_ENTRIES + 5)
        batch = next_batch(journal)
        assert len(batch.parts[0].entries) == MAX_BATCH_ENTRIES
        settle_bills(journal, batch)
        assert first_open_seq(journal) == MAX_BATCH_ENTRIES
        assert len(next_batch(journal).parts[0].entries) == 5

    def test_copies_go_when_the_owner_says_they_are_on_the_log(self):
        owner, entries = journal_with_bills(4)
        holder = a_state("box-2").journal
        store_copies(holder, owner.incarnation, entries, 0, 0)
        assert holder.size == 4
        store_copies(holder, owner.incarnation, (), 3, 0)
        assert holder.size == 1

    def test_only_copies_of_owners_that_are_gone_are_taken_over(self):
        owner, entries = journal_with_bills(2)
        holder = a_state("box-2").journal
        store_copies(holder, owner.incarnation, entries, 0, 0)
        assert orphan_batch(holder, lambda _i, _h: False) is None
        batch = orphan_batch(holder, lambda _i, _h: True)
        assert batch.parts[0].entries == entries


def test_prices_are_rounded_up():
    row = VersionRow("chico@1", "s", 100, 400)
    assert priced_usage(row, 1, 1).cost == 1
    assert priced_usage(row, 1_000, 1_000).cost == 500
