"""Keeping the account of bytes held for the requests of callers."""

import asyncio
import fcntl
import itertools
import struct
import termios
import typing as t

from .clock import Clock
from .ids import Millis
from .ids import RequestId
from .logs import log_event
from .settling import Counter
from .systems import holding
from .systems.holding import add_body
from .systems.holding import add_unread
from .systems.holding import byte_marks
from .systems.holding import choose_cut
from .systems.holding import close_row
from .systems.holding import may_read_on
from .systems.holding import may_take_body
from .systems.holding import open_row
from .systems.holding import set_partial
from .systems.holding import set_unread
from .tables.fleet import Fleet
from .tables.holdings import ByteMarks
from .time_limits import MAX_TIMES

PAUSE_STEP_S = 0.1
"""How often a paused answer looks whether it may be read on, in s."""

LOOK_MS = 25
"""Shortest time between two looks for an answer to cut, in ms. Each look goes over all
answers and cuts one at most."""

LATE_LOOK_MS = 300
"""Pause between two looks after which no answer is cut until as much time has passed
again, in ms. Paused answers look more often, so the box itself was late, or its account
was not full: it had not seen whether callers took anything."""

_INT = struct.Struct("i")
"""The integer that the kernel fills in for the size of a queue."""


class ByteKeeper:
    """Keeps the byte account of a box, and cuts answers when it is full.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    count : callable
        Increments a counter.
    """

    def __init__(self, fleet: Fleet, clock: Clock, count: Counter) -> None:
        self.fleet = fleet
        self.clock = clock
        self.count = count
        self._open: dict[RequestId, HeldRequest] = {}
        self._serial = itertools.count(1)
        self._looked_at = Millis(0)
        self._cut_from = Millis(0)
        self._limits = fleet.limits
        self._marks = byte_marks(fleet.limits)

    @property
    def marks(self) -> ByteMarks | None:
        """The marks in force; None if nothing is to be bounded."""
        if self._limits is not self.fleet.limits:
            self._limits = self.fleet.limits
            self._marks = byte_marks(self._limits)
        return self._marks

    def open(self, request: RequestId) -> "HeldRequest":
        """Open the account of a request; to be closed when it has ended.

        Callers choose the ids, so one may be in use already.
        """
        key = request
        while key in self._open:
            key = RequestId(f"{request}#{next(self._serial)}")
        held = self._open[key] = HeldRequest(self, key, request)
        return held

    def close(self, held: "HeldRequest") -> None:
        """Close the account of a request."""
        close_row(self.fleet.byte_account, held.key)
        del self._open[held.key]

    def make_room(self) -> None:
        """Cut the answer without progress for longest if the account is full."""
        marks = self.marks
        account, now = self.fleet.byte_account, self.clock.now()
        if marks is None or account.total < marks.bound:
            return
        if now < self._looked_at + LOOK_MS:
            return
        if now > self._looked_at + LATE_LOOK_MS:
            self._cut_from = Millis(now + LATE_LOOK_MS)
        self._looked_at = now
        for held in self._open.values():
            held.look()
        chosen = choose_cut(account, marks, now)
        if chosen is not None and self._may_cut(self._open[chosen], now):
            self._cut(self._open[chosen], marks, now)

    def _may_cut(self, held: "HeldRequest", now: Millis) -> bool:
        """Return whether a box that may have been late has looked long enough."""
        longest = MAX_TIMES * holding.STALLED_MS
        return now >= self._cut_from or now - held.row.progress_at >= longest

    def _cut(self, held: "HeldRequest", marks: ByteMarks, now: Millis) -> None:
        held.row.cut = True
        self.count("answers_cut")
        log_event(
            "WARNING",
            "answer cut",
            request=held.request,
            held=held.row.unread_bytes,
            account=self.fleet.byte_account.total,
            bound=marks.bound,
            stalled_ms=now - held.row.progress_at,
        )
        held.cut()


def held_lines(fleet: Fleet) -> str:
    """Return the gauges of the bytes held, one a line."""
    account, marks = fleet.byte_account, byte_marks(fleet.limits)
    bound = marks.bound if marks is not None else 0
    return (
        f"spanshunt_bytes_held {account.total}\n"
        f"spanshunt_bytes_bound {bound}\n"
        f"spanshunt_requests_held {len(account.held)}\n"
    )


class HeldRequest:
    """The bytes held for one request.

    Attributes
    ----------
    key : str
        Key of the request in the account.
    request : str
        Request id.
    row : HeldAnswer
        Its row in the account.
    cut : callable
        Ends the answer as incomplete and drops its unread bytes.

    Parameters
    ----------
    keeper : ByteKeeper
        Keeps the account.
    key, request
        See above.
    """

    def __init__(self, keeper: ByteKeeper, key: RequestId, request: RequestId) -> None:
        self.key = key
        self.request = request
        self.row = open_row(keeper.fleet.byte_account, key, keeper.clock.now())
        self.cut: t.Callable[[], None] = lambda: None
        self._keeper = keeper
        self._transport: asyncio.WriteTransport | None = None
        self._written = 0
        self._taken: int | None = None

    @property
    def marks(self) -> ByteMarks | None:
        """The marks in force; None if nothing is to be bounded."""
        return self._keeper.marks

    def may_take_body(self, size: int) -> bool:
        """Return whether a body of a known size may be read."""
        marks = self.marks
        return marks is None or may_take_body(
            self._keeper.fleet.byte_account, marks, size
        )

    def has_room(self) -> bool:
        """Return whether the account is below its bound; if not, look for a cut."""
        marks = self.marks
        if marks is None or self._keeper.fleet.byte_account.total < marks.bound:
            return True
        self._keeper.make_room()
        return False

    def add_body(self, size: int) -> None:
        """Count further bytes of the body."""
        add_body(self._keeper.fleet.byte_account, self.row, size)

    def log_refused_body(self, size: int) -> None:
        """Log and count that the body is refused."""
        keeper, marks = self._keeper, self.marks
        keeper.count("bodies_refused")
        log_event(
            "WARNING",
            "body refused",
            request=self.request,
            size=size,
            account=keeper.fleet.byte_account.total,
            bound=marks.bound if marks is not None else 0,
        )

    def offer(self, transport: asyncio.WriteTransport) -> None:
        """Begin to send the answer to the caller over a connection."""
        self._transport = transport
        self.row.offered = True

    def add_unread(self, size: int) -> None:
        """Count bytes of the answer that are about to be written or are collected."""
        keeper = self._keeper
        self._written += size
        add_unread(keeper.fleet.byte_account, self.row, size, keeper.clock.now())

    def set_partial(self, size: int) -> None:
        """Count the bytes of an event that its worker has not completed yet."""
        if size != self.row.partial_bytes:
            set_partial(self._keeper.fleet.byte_account, self.row, size)

    def drop_collected(self) -> None:
        """Count nothing more of an answer that was collected and not sent."""
        keeper = self._keeper
        set_unread(keeper.fleet.byte_account, self.row, 0, keeper.clock.now())

    def refresh(self) -> None:
        """Look again how much of the answer is unread, once it is being sent."""
        if self._transport is not None and self.row.unread_bytes:
            unread = self._transport.get_write_buffer_size()
            keeper = self._keeper
            set_unread(keeper.fleet.byte_account, self.row, unread, keeper.clock.now())

    def look(self) -> None:
        """Look for progress of the caller, also in the buffers of the kernel.

        These take megabytes at once, so the transport alone shows no progress of a slow
        caller for many seconds. The first look counts as progress, as there is nothing
        to compare it with.
        """
        self.refresh()
        if self._transport is None or not self.row.unread_bytes:
            return
        left = self.row.unread_bytes + _unacknowledged_bytes(self._transport)
        taken = self._written - left
        if self._taken is None or taken > self._taken:
            self.row.progress_at = self._keeper.clock.now()
        self._taken = taken

    async def pace(self) -> None:
        """Return when the next block of the answer may be read from its worker."""
        keeper, marks = self._keeper, self.marks
        if marks is None or may_read_on(keeper.fleet.byte_account, marks, self.row, 0):
            return
        began = keeper.clock.now()
        keeper.count("answers_paused")
        while True:
            keeper.make_room()
            await asyncio.sleep(PAUSE_STEP_S)
            self.refresh()
            paused_ms = keeper.clock.now() - began
            account = keeper.fleet.byte_account
            if may_read_on(account, marks, self.row, paused_ms):
                return

    def close(self) -> None:
        """Close the account of the request."""
        self._keeper.close(self)


def _unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many bytes the kernel holds that the peer has not acknowledged.

    It is 0 where the system does not tell, so only the transport shows progress.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except (OSError, ValueError):
        return 0
    return int(_INT.unpack(raw)[0])
