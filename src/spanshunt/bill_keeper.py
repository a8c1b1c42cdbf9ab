"""Bills from the end of an answer to the log, so that each counts once."""

import asyncio

import msgspec
from result import Err
from result import Ok

from .appender import Appender
from .ids import DomainId
from .ids import Incarnation
from .ids import Micros
from .ids import Millis
from .ids import OrgId
from .ids import RequestId
from .ids import ServiceId
from .logs import log_event
from .parts import Parts
from .peers.messages import CopyBillsRequest
from .records import BillEntry
from .records import Bills
from .records import Stream
from .records import Usage
from .systems.gossip import live_members
from .systems.invariants import check_bill
from .systems.journaling import drop_empty_copies
from .systems.journaling import first_open_seq
from .systems.journaling import next_batch
from .systems.journaling import orphan_batch
from .systems.journaling import record_bill
from .systems.journaling import settle_bills
from .tables.members import MemberRow
from .utils import rendezvous

PROTECT_WAIT_MS = 3_000
"""How long the end of an answer waits for its bill to be held elsewhere too."""

ORPHAN_MS = 10_000
"""How long an owner must be silent before its copies are appended for it."""

UNPROTECTED_MS = 5_000
"""After this long with no way to protect bills, new work is refused."""

_COPY_TIMEOUT = 0.5
_RETRY_DELAY = 0.2


class _Pending(msgspec.Struct):
    entry: BillEntry
    fut: asyncio.Future[None]


class BillKeeper:
    """Seals bills, has them copied to peers, and appends them.

    Parameters
    ----------
    parts : Parts
        What the parts of the daemon share.
    appender
        The other parts that it works with.
    """

    def __init__(
        self,
        parts: Parts,
        appender: Appender,
    ) -> None:
        self._parts = parts
        self._state, self._clock = parts.state, parts.clock
        self._appender = appender
        self._pending: list[_Pending] = []
        self._wake = asyncio.Event()
        self._appending = asyncio.Lock()
        self._billed: set[RequestId] = set()
        self._costs: dict[RequestId, Micros] = {}
        self._failing_since: Millis | None = None
        self._holders: dict[Incarnation, str] = {}

    def can_take(self) -> bool:
        """Tell whether a new request's bill could be kept."""
        if self._state.journal.size >= self._parts.settings.journal.max_entries:
            return False
        since = self._failing_since
        return since is None or self._clock.now() - since < UNPROTECTED_MS

    async def keep(
        self,
        request: RequestId,
        org: OrgId,
        service: ServiceId,
        usage: tuple[Usage, ...],
    ) -> BillEntry:
        """Bill a request; return once the bill is held elsewhere, or after a while.

        If nobody can hold it, it stays in this box's journal and the wait ends after
        :data:`PROTECT_WAIT_MS`; only this box's loss before the log is back would lose
        it, and new work is refused meanwhile.
        """
        journal = self._state.journal
        wall = self._clock.wall()
        entry = record_bill(journal, request, org, service, wall, usage)
        check_bill(self._billed, entry, journal.incarnation, wall)
        self._billed.add(request)
        self._costs[request] = entry.cost
        if self._parts.settings.journal.copies > 0:
            await self._protect(entry)
        return entry

    def take_cost(self, request: RequestId) -> Micros:
        """Return what a request that is over was billed, once; 0 if it was not."""
        return self._costs.pop(request, Micros(0))

    async def run_copies(self) -> None:
        """Copy pending bills to peers, all that wait at once, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            pending, self._pending = self._pending, []
            if pending and not await self._copy_or_append(pending):
                self._pending = pending + self._pending
                self._wake.set()
                await asyncio.sleep(_RETRY_DELAY)

    async def append_own(self) -> bool:
        """Append what is open; return whether nothing is left."""
        async with self._appending:
            await self._append_open()
        return not self._state.journal.open

    async def _append_open(self) -> None:
        batch = next_batch(self._state.journal)
        if batch is None:
            return
        match await self._appender.append_merged(Stream.BILLS, batch):
            case Ok(_):
                self._settle(batch)
                await self._tell_holders()
            case Err(fault):
                self._parts.metrics.count("bills.append_failed")
                log_event("WARNING", "bills not appended", fault=fault.detail)

    async def append_orphans(self) -> None:
        """Append copies whose owners are gone."""
        batch = orphan_batch(self._state.journal, self._is_gone)
        if batch is None:
            drop_empty_copies(self._state.journal, self._is_gone)
            return
        owners = ",".join(part.incarnation for part in batch.parts)
        match await self._appender.append_merged(Stream.BILLS, batch):
            case Ok(_):
                self._settle(batch)
                self._parts.metrics.count("bills.taken_over")
                log_event("INFO", "bills of gone boxes appended", owners=owners)
            case Err(fault):
                log_event("WARNING", "bills not appended", fault=fault.detail)

    async def hand_over(self, timeout_ms: int) -> bool:
        """Append all bills before a planned stop; return whether all are safe.

        With the log down, bills that peers hold copies of are safe too.
        """
        end = self._clock.now() + timeout_ms
        while self._clock.now() < end:
            if await self.append_own():
                return True
            if not self._pending and self._live_targets():
                return True
            await asyncio.sleep(_RETRY_DELAY)
        return not self._state.journal.open

    def _settle(self, batch: Bills) -> None:
        settle_bills(self._state.journal, batch)
        for part in batch.parts:
            for entry in part.entries:
                self._billed.discard(entry.request)

    async def _protect(self, entry: BillEntry) -> None:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(entry, fut))
        self._wake.set()
        try:
            await asyncio.wait_for(fut, PROTECT_WAIT_MS / 1000)
        except TimeoutError:
            self._parts.metrics.count("bills.unprotected")

    async def _copy_or_append(self, pending: list[_Pending]) -> bool:
        entries = tuple(item.entry for item in pending)
        held = await self._copy(entries) or await self._append(entries)
        if not held:
            self._failing_since = self._failing_since or self._clock.now()
            return False
        self._failing_since = None
        for item in pending:
            if not item.fut.done():
                item.fut.set_result(None)
        return True

    async def _copy(self, entries: tuple[BillEntry, ...]) -> bool:
        targets = self._live_targets()
        if not targets:
            return False
        journal = self._state.journal
        message = CopyBillsRequest(
            journal.incarnation, entries, first_open_seq(journal)
        )
        answers = await asyncio.gather(
            *(
                self._parts.peers.copy_bills(row.address, message, _COPY_TIMEOUT)
                for row in targets
            )
        )
        acks = 0
        for row, answer in zip(targets, answers, strict=True):
            if answer.is_ok() and answer.unwrap().held:
                acks += 1
                self._holders[row.incarnation] = row.address
        return acks == len(targets)

    async def _append(self, entries: tuple[BillEntry, ...]) -> bool:
        """Append entries, and whatever else is open; return whether they are there."""
        async with self._appending:
            open_seqs = self._state.journal.open.keys()
            if any(entry.seq in open_seqs for entry in entries):
                await self._append_open()
        return not any(entry.seq in open_seqs for entry in entries)

    async def _tell_holders(self) -> None:
        """Tell those who hold copies which bills are on the log by now."""
        journal = self._state.journal
        live = {row.incarnation for row in self._live()}
        self._holders = {
            incarnation: address
            for incarnation, address in self._holders.items()
            if incarnation in live
        }
        message = CopyBillsRequest(journal.incarnation, (), first_open_seq(journal))
        await asyncio.gather(
            *(
                self._parts.peers.copy_bills(address, message, _COPY_TIMEOUT)
                for address in self._holders.values()
            )
        )

    def _live(self) -> list[MemberRow]:
        suspect = self._parts.settings.timing.suspect_ms
        live = live_members(self._state, self._clock.now(), suspect)
        return [row for row in live if not row.stopping]

    def _live_targets(self) -> list[MemberRow]:
        """Return the peers that hold copies: in other failure domains where possible.

        Each in a domain of its own, as long as there are enough.
        """
        rows = {row.box: row for row in self._live()}
        order = rendezvous(self._state.identity.incarnation, rows, len(rows))
        taken: list[MemberRow] = []
        domains: set[DomainId] = {self._state.identity.domain}
        spare = []
        for name in order:
            row = rows[type(self._state.identity.box)(name)]
            if row.domain in domains:
                spare.append(row)
            else:
                taken.append(row)
                domains.add(row.domain)
        return (taken + spare)[: self._parts.settings.journal.copies]

    def _is_gone(self, incarnation: Incarnation, heard: Millis) -> bool:
        now = self._clock.now()
        if now - heard < ORPHAN_MS:
            return False
        rows = self._state.members.rows.values()
        return not any(
            row.incarnation == incarnation and now - row.heard < ORPHAN_MS
            for row in rows
        )
