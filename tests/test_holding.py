"""Decisions on the bytes that a box holds, without a network."""

import hypothesis.strategies as st
import msgspec
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from spanshunt.ids import Millis
from spanshunt.ids import RequestId
from spanshunt.systems.holding import BASE_BYTES
from spanshunt.systems.holding import BEARABLE_PAUSE_MS
from spanshunt.systems.holding import FREE_BYTES
from spanshunt.systems.holding import STALLED_MS
from spanshunt.systems.holding import add_body
from spanshunt.systems.holding import add_unread
from spanshunt.systems.holding import byte_marks
from spanshunt.systems.holding import choose_cut
from spanshunt.systems.holding import close_row
from spanshunt.systems.holding import may_read_on
from spanshunt.systems.holding import may_take_body
from spanshunt.systems.holding import may_upload
from spanshunt.systems.holding import open_row
from spanshunt.systems.holding import set_unread
from spanshunt.systems.placing import PlacementRequest
from spanshunt.systems.placing import candidate_workers
from spanshunt.systems.placing import full_uploads
from spanshunt.systems.ramping import VersionRule
from spanshunt.tables.holdings import BoxLimits
from spanshunt.tables.holdings import ByteAccount
from spanshunt.tables.holdings import ByteMarks
from spanshunt.tables.holdings import HeldAnswer

MB = 1_048_576
MARKS = ByteMarks(low=4 * MB, high=6 * MB, bound=8 * MB, answer=MB // 2, worker=2 * MB)
BLOCK = 131_072


def answer(
    account: ByteAccount, name: str, unread: int, progress_at: int = 0
) -> HeldAnswer:
    """Add an answer that its caller is sent."""
    row = open_row(account, RequestId(name), Millis(progress_at))
    add_unread(account, row, unread, Millis(progress_at))
    row.offered = True
    return row


def test_answer_that_its_worker_still_sends_is_not_cut() -> None:
    """An answer that was collected for 3 s was cut, however fast its blocks came."""
    account = ByteAccount()
    row = open_row(account, RequestId("collected"), Millis(0))
    for now in range(0, 2 * STALLED_MS, 500):
        add_unread(account, row, MB, Millis(now))
    assert account.total >= MARKS.bound
    assert choose_cut(account, MARKS, Millis(2 * STALLED_MS)) is None
    late = Millis(3 * STALLED_MS)
    assert choose_cut(account, MARKS, late) == "collected"


def test_a_box_that_does_not_know_its_memory_has_no_marks() -> None:
    assert byte_marks(BoxLimits()) is None


def test_marks_leave_the_memory_that_the_process_uses_without_load() -> None:
    for memory_mb in (70, 160, 552):
        marks = byte_marks(BoxLimits(memory_mb=memory_mb))
        assert marks is not None
        assert 0 < marks.answer < marks.low < marks.high < marks.bound
        assert marks.bound <= max(BASE_BYTES // 4, memory_mb * MB - BASE_BYTES)


def test_reading_goes_on_for_a_caller_who_is_behind_while_there_is_room() -> None:
    account = ByteAccount()
    row = answer(account, "slow", 400_000)
    assert may_read_on(account, MARKS, row, 0)


def test_reading_pauses_over_the_high_mark_as_long_as_the_worker_bears_it() -> None:
    account = ByteAccount()
    row = answer(account, "slow", 400_000)
    add_body(account, row, MARKS.high)
    assert not may_read_on(account, MARKS, row, BEARABLE_PAUSE_MS - 1)
    assert may_read_on(account, MARKS, row, BEARABLE_PAUSE_MS)


def test_at_the_bound_only_callers_who_read_get_more() -> None:
    account = ByteAccount()
    slow = answer(account, "slow", 1_000)
    reading = answer(account, "reading", 0)
    add_body(account, slow, MARKS.bound)
    assert not may_read_on(account, MARKS, slow, 60_000)
    assert may_read_on(account, MARKS, reading, 0)


def test_the_answer_without_progress_for_longest_is_cut() -> None:
    """All callers of an organisation stop reading at once, another one reads."""
    account = ByteAccount()
    for number in range(20):
        answer(account, f"stalled-{number}", MARKS.answer, 1_000 - number)
    reading = answer(account, "reading", MARKS.answer, 0)
    now = Millis(1_000 + STALLED_MS)
    set_unread(account, reading, MARKS.answer - 1, now)
    assert choose_cut(account, MARKS, now) == "stalled-19"
    account.held[RequestId("stalled-19")].cut = True
    assert choose_cut(account, MARKS, now) is None


def test_nothing_is_cut_below_the_bound_or_while_all_callers_read() -> None:
    account = ByteAccount()
    answer(account, "stalled", MARKS.high)
    now = Millis(60_000)
    assert choose_cut(account, MARKS, now) is None
    set_unread(account, account.held[RequestId("stalled")], MARKS.low, now)
    answer(account, "reading", MARKS.bound, now)
    assert choose_cut(account, MARKS, now) is None


def test_large_bodies_are_refused_and_small_ones_never() -> None:
    account = ByteAccount()
    row = answer(account, "slow", 0)
    add_body(account, row, MARKS.low - 1)
    assert may_take_body(account, MARKS, 3 * MB)
    add_body(account, row, 1)
    assert not may_take_body(account, MARKS, 3 * MB)
    assert may_take_body(account, MARKS, MB)
    add_body(account, row, MARKS.bound)
    assert not may_take_body(account, MARKS, FREE_BYTES + 1)
    assert may_take_body(account, MARKS, FREE_BYTES)


def test_bodies_on_the_way_to_a_slow_worker_are_bounded() -> None:
    """Uploads of 1 MB to a worker that reads slowly."""
    worker = make_worker("slow")
    assert may_upload(MARKS, worker, 3 * MB)
    worker.upload_bytes = MB
    assert may_upload(MARKS, worker, MB)
    assert not may_upload(MARKS, worker, MB + 1)
    assert may_upload(None, worker, 100 * MB)


def test_a_body_goes_to_a_worker_without_bodies_on_the_way_or_is_refused() -> None:
    fleet = make_fleet()
    slow = add_worker(fleet, make_worker("slow"))
    other = add_worker(fleet, make_worker("other"))
    request = PlacementRequest(slow.service, VersionRule(), slow.domain, body_bytes=MB)
    marks = byte_marks(BoxLimits(memory_mb=80))
    assert marks is not None
    slow.upload_bytes = marks.worker
    now = Millis(100_000)
    assert slow in candidate_workers(fleet, request, now)
    fleet.limits = BoxLimits(memory_mb=80)
    assert candidate_workers(fleet, request, now) == [other]
    other.upload_bytes = marks.worker
    assert candidate_workers(fleet, request, now) == []
    assert full_uploads(fleet, request, now)
    without_body = PlacementRequest(slow.service, VersionRule(), slow.domain)
    assert len(candidate_workers(fleet, without_body, now)) == 2
    tried = msgspec.structs.replace(request, tried={slow.name, other.name})
    assert not full_uploads(fleet, tried, now)


class AccountMachine(RuleBasedStateMachine):
    """Requests with bodies and answers, some of whose callers read."""

    def __init__(self) -> None:
        super().__init__()
        self.account = ByteAccount()
        self.now = 0
        self.serial = 0

    def _row(self, choice: int) -> HeldAnswer | None:
        rows = list(self.account.held.values())
        return rows[choice % len(rows)] if rows else None

    @rule(size=st.integers(0, 3 * MB))
    def begin(self, size: int) -> None:
        """Take a body in, block by block, or refuse it."""
        if not may_take_body(self.account, MARKS, size):
            return
        self.serial += 1
        row = open_row(self.account, RequestId(f"r-{self.serial}"), Millis(self.now))
        while size and (size <= FREE_BYTES or self.account.total < MARKS.bound):
            add_body(self.account, row, min(size, FREE_BYTES))
            size -= min(size, FREE_BYTES)

    @rule(choice=st.integers(0, 99), blocks=st.integers(1, 40))
    def read(self, choice: int, blocks: int) -> None:
        """Read blocks of an answer that its caller does not take."""
        row = self._row(choice)
        for _ in range(blocks):
            if row is None or not may_read_on(self.account, MARKS, row, 0):
                return
            row.offered = True
            add_unread(self.account, row, BLOCK, Millis(self.now))

    @rule(choice=st.integers(0, 99), taken=st.integers(0, 2 * MB))
    def take(self, choice: int, taken: int) -> None:
        """Let a caller take bytes."""
        row = self._row(choice)
        if row is not None:
            unread = max(0, row.unread_bytes - taken)
            set_unread(self.account, row, unread, Millis(self.now))

    @rule(passed=st.integers(0, 2 * STALLED_MS))
    def wait(self, passed: int) -> None:
        """Let time pass."""
        self.now += passed

    @rule()
    def cut(self) -> None:
        """Cut an answer if the account is full."""
        chosen = choose_cut(self.account, MARKS, Millis(self.now))
        if chosen is None:
            return
        row = self.account.held[chosen]
        assert self.now - row.progress_at >= STALLED_MS
        assert self.account.total >= MARKS.bound
        close_row(self.account, chosen)

    @rule(choice=st.integers(0, 99))
    def end(self, choice: int) -> None:
        """End a request."""
        if self.account.held:
            names = list(self.account.held)
            close_row(self.account, names[choice % len(names)])

    @invariant()
    def is_exact_and_bounded(self) -> None:
        """The total is the sum, empty when idle, and over its bound by blocks only."""
        rows = self.account.held.values()
        assert all(row.body_bytes >= 0 and row.unread_bytes >= 0 for row in rows)
        total = sum(row.body_bytes + row.unread_bytes for row in rows)
        assert self.account.total == total
        assert total <= MARKS.bound + BLOCK * max(1, len(rows))


TestAccountMachine = AccountMachine.TestCase
TestAccountMachine.settings = settings(max_examples=100, deadline=None)
