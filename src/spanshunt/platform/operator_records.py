"""What operators wrote on the platform's store: catalogs, orders, emptied domains."""

import asyncio
import contextlib
import typing as t

from result import Err
from result import Result

from ..ids import Millis
from ..ids import Offset
from ..logs import log_event
from ..platform_lines import catalog_fields
from ..systems.eras import awaits_operator_rewrites
from ..systems.following_workers import follows_operator_records
from ..systems.following_workers import is_served_by_store
from ..systems.proving import PROBE_TIMEOUT_FRACTION
from ..systems.proving import is_catalog_proved
from ..systems.proving import is_fleet_prober
from ..systems.proving import must_probe
from ..systems.proving import record_catalog_read
from . import wire
from .record_taking import RecordTaker
from .recorded_status import take_status
from .store import StoreFault
from .store import StoreProblem
from .store import Tail
from .store_reader import FIRST_RETRY_MS
from .store_reader import RETRY_MS
from .store_reader import StoreReader
from .waits import Wait

TAIL_WAIT_MS = 20_000
"""How long a read of the operators' records waits for one, in ms: a record
ends it at once."""

WAIT_PART = 0.3
"""How long it waits at the first box of the fleet, as a part of the time within which a
change must be in force: its end renews the proof, and shows that the connection is not
dead."""

WAIT_GRACE_S = 0.1
"""How much later than a probe a read that waits may bring the same record, in s."""

AGAIN_MS = 1_000
"""How long such a read waits after the store came back from a copy, in ms, until what
the copy lacks is no longer waited for."""


class OperatorRecords:
    """Follows the operators' records and takes them into the tables.

    Parameters
    ----------
    reader : StoreReader
        The store, the tables and the time.
    in_force_ms : int
        Within which a change must be in force, in ms.
    tell_now : callable
        Tells peers at once what this box learned.
    """

    def __init__(
        self,
        reader: StoreReader,
        in_force_ms: int = 2_000,
        tell_now: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._reader = reader
        self._fleet = reader.fleet
        self.set_bound(in_force_ms)
        self._tell_now = tell_now
        self._taker = RecordTaker(reader, tell_now)
        self._due = asyncio.Event()
        self._wait: Wait | None = None
        self._probe_due = asyncio.Event()
        self._probed = asyncio.Event()
        self._proved: bool | None = None

    def set_bound(self, in_force_ms: int) -> None:
        """Set within which time a change must be in force, in ms."""
        self._in_force_ms = in_force_ms
        self._probe_ms = int(PROBE_TIMEOUT_FRACTION * in_force_ms)

    async def look(self) -> None:
        """Look whether this box follows the records or renews its proof; `LOOK_MS`."""
        now = self._reader.now()
        follows = self._follows()
        if follows:
            self._due.set()
        self._note_age(now)
        if self._wait is None and follows:
            return
        first = is_fleet_prober(self._fleet, now, self._in_force_ms)
        if self._wait is not None and first and not self._wait.first:
            self._wait.give_up(self._wait.since)
        overtaken = self._is_overtaken() and is_served_by_store(self._fleet, now)
        if overtaken or must_probe(self._fleet, now, self._in_force_ms):
            self._probe_due.set()

    async def prove(self) -> None:
        """Renew the proof that the catalog is the newest; all that ask share a probe.

        While the store does not serve this box, no question makes it ask.
        """
        if not is_served_by_store(self._fleet, self._reader.now()):
            return
        self._probe_due.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._probe_ms / 1_000):
                await self._probed.wait()

    async def renew(self) -> None:
        """Look at the records' end whenever that is due."""
        while True:
            await self._probe_due.wait()
            try:
                await self._probe_end()
            finally:
                self._probe_due.clear()
                self._probed.set()
                self._probed = asyncio.Event()

    async def follow(self) -> None:
        """Read all that is newest, then wait for records; begin anew on faults.

        While other boxes of the failure domain follow the records, this one does not.
        """
        while True:
            await self._due.wait()
            end = await self._read()
            while end is not None and self._follows():
                end = await self._await(end)
            await asyncio.sleep(RETRY_MS / 1_000)
            self._due.clear()

    def _follows(self) -> bool:
        return follows_operator_records(self._fleet, self._reader.now())

    async def _read(self) -> Offset | None:
        sent = self._reader.now()
        listing = await self._reader.newest(wire.OPERATORS_TOPIC)
        if listing is None:
            return None
        self._taker.take_absent(listing)
        orders = False
        for item in listing.items:
            offset = Offset(item.offset)
            self._taker.take(item.key_file, item.value, offset, seen=False)
            orders = orders or item.key_file.startswith(wire.ROLLOUT_PREFIX)
        record_catalog_read(self._fleet, sent, listing.end)
        if orders and not await self._read_status():
            return None
        return listing.end

    async def _await(self, end: Offset) -> Offset | None:
        held = awaits_operator_rewrites(self._fleet, self._reader.now())
        first = is_fleet_prober(self._fleet, self._reader.now(), self._in_force_ms)
        # What is missing from a copy is looked for again when it should be back.
        wait_ms = AGAIN_MS if held else TAIL_WAIT_MS
        if first:
            wait_ms = min(wait_ms, int(WAIT_PART * self._in_force_ms))
        sent = self._fleet.long_poll_since = self._reader.now()
        read = self._reader.store.tail(
            wire.OPERATORS_TOPIC, end, wait_ms, self._probe_ms if first else None
        )
        self._wait = Wait(end, self._fleet.catalog_version, first, read)
        wait = self._wait
        got = await wait.ended()
        self._wait, self._fleet.long_poll_since = None, Millis(-1)
        if got is None:
            return wait.known_end if wait.known_end is not None else await self._read()
        cut = isinstance(got, Err) and got.err_value.problem is StoreProblem.LOST
        if cut:
            log_event(
                "INFO",
                "records read again",
                topic=wire.OPERATORS_TOPIC,
                waited_ms=self._reader.now() - sent,
            )
            sent = self._reader.now()
            got = await self._read_after_cut(end)
        if isinstance(got, Err):
            if got.err_value.problem is StoreProblem.TRIMMED:
                return await self._read()
            self._reader.note_failure(got.err_value)
            return None
        self._reader.note_answer()
        for record in got.ok_value.records:
            # The connection may have been dead for long before it was known to be.
            self._taker.take(record.key, record.value, record.offset, seen=not cut)
        if first and got.ok_value.records:
            # The others' waits may be dead: theirs are seldom put to the test.
            self._tell_now()
        # A wait that was over before a record came shows that none came meanwhile.
        over = not got.ok_value.records and self._reader.now() >= sent + wait_ms
        proved_at = Millis(sent + wait_ms) if over and not cut else sent
        record_catalog_read(self._fleet, proved_at, got.ok_value.next)
        if held and not awaits_operator_rewrites(self._fleet, self._reader.now()):
            return await self._read()
        return got.ok_value.next

    async def _probe_end(self) -> None:
        """Read what came since, on a connection of its own and without a wait."""
        wait, sent = self._wait, self._reader.now()
        since = wait.since if wait is not None else self._fleet.catalog_proof.end
        if since < 0:
            await self._read()
            return
        got = await self._reader.store.tail(
            wire.OPERATORS_TOPIC, since, 0, self._probe_ms, fresh=True
        )
        if isinstance(got, Err):
            await self._note_probe_failed(got.err_value, wait)
            return
        self._reader.note_answer()
        tail = got.ok_value
        if tail.records and wait is not None:
            if await wait.brings(WAIT_GRACE_S):
                return
            self._give_up(wait, tail)
        elif tail.records:
            self._take_found(tail)
        elif wait is not None:
            # What others brought is not in the store, which came back from a copy.
            wait.version = self._fleet.catalog_version
        record_catalog_read(self._fleet, sent, tail.next)

    async def _note_probe_failed(self, fault: StoreFault, wait: Wait | None) -> None:
        """Take in why a probe failed; where the place is gone, all is read anew."""
        if fault.problem is not StoreProblem.TRIMMED:
            self._reader.note_failure(fault)
        elif wait is not None:
            wait.give_up(None)
        else:
            await self._read()

    def _give_up(self, wait: Wait, tail: Tail) -> None:
        """Take what a read that waits did not bring; its connection is dead."""
        log_event(
            "WARNING",
            "wait given up",
            topic=wire.OPERATORS_TOPIC,
            waited_ms=self._reader.now() - self._fleet.long_poll_since,
            records=len(tail.records),
        )
        self._take_found(tail)
        wait.give_up(tail.next)

    def _take_found(self, tail: Tail) -> None:
        """Take records that a probe found: this box did not see them come."""
        for record in tail.records:
            self._taker.take(record.key, record.value, record.offset, seen=False)
        self._tell_now()

    def _is_overtaken(self) -> bool:
        """Tell whether others brought a catalog that the read under way did not."""
        wait = self._wait
        return wait is not None and self._fleet.catalog_version > wait.version

    def _note_age(self, now: Millis) -> None:
        """Log when the proof grows older than changes may take, and its renewal."""
        before = self._proved
        self._proved = is_catalog_proved(self._fleet, now, self._in_force_ms)
        if before is None and not self._proved:
            self._proved = None
        elif before not in (None, self._proved):
            log_event(
                "INFO" if self._proved else "WARNING",
                "catalog proved again" if self._proved else "catalog unproved",
                **catalog_fields(self._fleet, now),
            )

    async def _read_after_cut(self, end: Offset) -> Result[Tail, StoreFault]:
        """Read what came while a connection ended, at the same place and without wait.

        A store that closes its connections serves new ones at once.
        """
        await asyncio.sleep(FIRST_RETRY_MS / 1_000)
        return await self._reader.store.tail(wire.OPERATORS_TOPIC, end, 0)

    async def _read_status(self) -> bool:
        """Take in what is recorded of the orders, for a box that starts midway."""
        listing = await self._reader.newest(wire.STATUS_TOPIC)
        if listing is None:
            return False
        take_status(self._fleet, listing, self._reader.clock)
        return True
