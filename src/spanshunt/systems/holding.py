"""Account of the bytes that this box holds, and what follows from its marks.

The account counts request bodies and the bytes of answers that callers have not taken
yet. The marks come from the memory that the process may use. A box that does not know
its memory has no marks, so it never refuses a body, pauses or cuts an answer for the
bytes that it holds.
"""

from ..ids import Millis
from ..ids import RequestId
from ..tables.holdings import BoxLimits
from ..tables.holdings import ByteAccount
from ..tables.holdings import ByteMarks
from ..tables.holdings import HeldAnswer
from ..tables.workers import WorkerRow

BASE_BYTES = 64 * 1_048_576
"""Memory allowed for what the process uses without load, in bytes."""

HELD_SHARE = 0.5
"""Part of the other memory that the account may fill. A body is in memory twice while
it is joined from its blocks, and connections have buffers that are not counted."""

HIGH_SHARE, LOW_SHARE = 0.75, 0.5
"""High and low mark as parts of the bound."""

ANSWERS_WITHIN_BOUND = 16
"""Number of answers that may reach their own bound before the account is full."""

WORKER_SHARE = 0.25
"""Part of the bound that bodies on the way to one worker may take: one that reads
slowly leaves most of it to the others."""

FREE_BYTES = 65_536
"""Largest body that is never refused, and most unread bytes of an answer that is not
paused below the bound, in bytes: what a connection buffers by default."""

STALLED_MS = 3_000
"""Time without progress after which an answer may be cut, in ms. A caller that reads at
all empties the buffers of its connection more often."""

BEARABLE_PAUSE_MS = 1_000
"""Longest pause between two reads from a worker while the account is below its bound,
in ms: workers cut answers that stay unread for some seconds."""


def byte_marks(limits: BoxLimits) -> ByteMarks | None:
    """Return the marks of a box, or None if its memory is unknown."""
    if limits.memory_mb <= 0:
        return None
    spare = max(BASE_BYTES // 4, limits.memory_mb * 1_048_576 - BASE_BYTES)
    bound = int(spare * HELD_SHARE)
    return ByteMarks(
        low=int(bound * LOW_SHARE),
        high=int(bound * HIGH_SHARE),
        bound=bound,
        answer=bound // ANSWERS_WITHIN_BOUND,
        worker=int(bound * WORKER_SHARE),
    )


def open_row(account: ByteAccount, request: RequestId, now: Millis) -> HeldAnswer:
    """Add and return the row of a request whose id has none."""
    row = account.held[request] = HeldAnswer(progress_at=now)
    return row


def close_row(account: ByteAccount, request: RequestId) -> None:
    """Remove the row of a request and all its bytes."""
    row = account.held.pop(request)
    account.total -= row.body_bytes + row.unread_bytes + row.partial_bytes


def add_body(account: ByteAccount, row: HeldAnswer, size: int) -> None:
    """Count further bytes of a request's body."""
    row.body_bytes += size
    account.total += size


def set_partial(account: ByteAccount, row: HeldAnswer, partial: int) -> None:
    """Set how many bytes of an event are held that is not complete yet."""
    account.total += partial - row.partial_bytes
    row.partial_bytes = partial


def add_unread(account: ByteAccount, row: HeldAnswer, size: int, now: Millis) -> None:
    """Count further bytes of an answer.

    They are progress if they are the first unread ones, or if the box still collects
    the answer, so that only its worker can make any.
    """
    if not row.unread_bytes or not row.offered:
        row.progress_at = now
    row.unread_bytes += size
    account.total += size


def set_unread(account: ByteAccount, row: HeldAnswer, unread: int, now: Millis) -> None:
    """Set how many bytes are still unread; it is progress if these are fewer."""
    if unread < row.unread_bytes:
        row.progress_at = now
    account.total += unread - row.unread_bytes
    row.unread_bytes = unread


def may_take_body(account: ByteAccount, marks: ByteMarks, size: int) -> bool:
    """Return whether a body of a known size may be read.

    Small ones always are: a caller that reads its answer leaves nothing of them, and
    must get it whatever others hold.
    """
    if size <= FREE_BYTES or account.total < marks.low:
        return True
    return account.total + size <= marks.high


def may_upload(marks: ByteMarks | None, worker: WorkerRow, size: int) -> bool:
    """Return whether a body may be sent to a worker beside those on the way to it."""
    if marks is None or not worker.upload_bytes:
        return True
    return worker.upload_bytes + size <= marks.worker


def may_read_on(
    account: ByteAccount, marks: ByteMarks, row: HeldAnswer, paused_ms: int
) -> bool:
    """Return whether the next block of an answer may be read from its worker.

    An answer of which nothing is unread is never paused, so that a caller who reads
    gets it whatever others hold.
    """
    if not row.unread_bytes:
        return True
    if account.total >= marks.bound:
        return False
    if not row.offered:
        return True
    if row.unread_bytes <= FREE_BYTES or account.total < marks.high:
        return True
    return paused_ms >= BEARABLE_PAUSE_MS


def choose_cut(account: ByteAccount, marks: ByteMarks, now: Millis) -> RequestId | None:
    """Return the answer to cut, or None.

    It is the one without progress for longest: its caller takes nothing of it, or its
    worker sends nothing more of one that is still collected. While another one is being
    cut, its bytes are about to be freed, and none is chosen.
    """
    if account.total < marks.bound:
        return None
    if any(row.cut and row.unread_bytes for row in account.held.values()):
        return None
    stalled = [
        (row.progress_at, request)
        for request, row in account.held.items()
        if row.unread_bytes and not row.cut and now - row.progress_at >= STALLED_MS
    ]
    return min(stalled)[1] if stalled else None
