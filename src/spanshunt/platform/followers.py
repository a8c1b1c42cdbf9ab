"""What a box follows on the platform's store: operators' records, workers, boxes."""

import asyncio
import typing as t

from result import Err

from ..catalog_taking import take_catalog
from ..clock import Clock
from ..ids import BoxId
from ..ids import DomainId
from ..ids import Fingerprint
from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId
from ..logs import log_event
from ..platform_lines import log_evacuation
from ..rollout_lines import log_order
from ..rollout_lines import log_verdict
from ..systems.eras import COPY_AGE_MS
from ..systems.eras import awaits_operators
from ..systems.eras import is_same_offset
from ..systems.evacuating import take_absent
from ..systems.evacuating import take_evacuation
from ..systems.following_workers import ListedWorker
from ..systems.following_workers import drop_missing
from ..systems.following_workers import follows_operators
from ..systems.following_workers import must_read
from ..systems.following_workers import note_reading
from ..systems.following_workers import note_store_answer
from ..systems.following_workers import note_store_failure
from ..systems.following_workers import take_list
from ..systems.quarantining import release
from ..systems.ramping import bar_versions
from ..systems.ramping import take_beginning
from ..systems.ramping import take_order
from ..systems.ramping import take_verdict
from ..tables.fleet import EvacuationRow
from ..tables.fleet import Fleet
from ..tables.fleet import PeerRow
from ..tables.rollouts import Verdict
from ..tables.workers import WorkerRow
from . import wire
from .store import Listing
from .store import StoreClient
from .store import StoreFault
from .store import StoreProblem

TAIL_WAIT_MS = 20_000
"""How long a read of the operators' records waits for one, in ms: each read is
priced, a record ends it at once, and peers tell of what a dead connection keeps from
this box."""

AGAIN_MS = 1_000
"""How long such a read waits after the store came back from a copy, in ms, until what
the copy lacks is no longer waited for: five more priced calls of two boxes a domain."""

LOOK_MS = 100
"""How often a box looks whether it must read for itself, in ms."""

POLL_PART = 0.45
"""Pause between two readings of the workers' list, as a part of the time within which a
leaving worker must get nothing new: a reading that fails once is made up for in
time."""

READ_PART = 0.25
"""Longest that a reading of the workers' list may take, as a part of the same time: one
that hangs on a dead connection must leave time for another. A slow store answers in
about 240 ms."""

FIRST_RETRY_MS = 100
"""Pause after the first reading that failed, in ms; after others it is `RETRY_MS`."""

RETRY_MS = 400
"""Pause after a call that failed, in ms: well within what configuration may take to be
in force (2 s), and 2.5 priced calls a second."""

BOXES_FIRST_MS = 1_500
"""When a box first looks for others after it told them of itself, in ms: boxes of one
deployment start within 0.3 s, and peers tell each other of those that come later."""

BOXES_EVERY_MS = 60_000
"""And how often after that, in ms."""

BOXES_LOOK_MS = 1_000
"""How often a box looks whether a copy of the store may lack where it is, in ms."""


class Followers:
    """Reads the store and takes what it says into the tables.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    store : StoreClient
        The store.
    draining_ms : int
        Within which a worker that leaves must get nothing new, in ms.
    on_ended : callable
        Called with a worker that has ended, as the list shows.
    tell_now : callable
        Tells peers at once what this box learned.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        store: StoreClient,
        draining_ms: int,
        on_ended: t.Callable[[WorkerRow], None] = lambda _row: None,
        tell_now: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._store = store
        self._draining_ms = draining_ms
        self._on_ended = on_ended
        self._tell_now = tell_now
        self._unreadable: dict[str, str] = {}
        self._odd: dict[str, str] = {}
        self._operators_due = asyncio.Event()
        self._workers_due = asyncio.Event()

    async def look(self) -> None:
        """Look whether something is to be read by this box now; every `LOOK_MS`."""
        fleet, now = self._fleet, self._clock.now()
        dropped = drop_missing(fleet, now)
        if dropped:
            log_event("INFO", "workers", source="grace over", gone=list(dropped))
        if must_read(fleet, now, self._draining_ms):
            self._workers_due.set()
        if self._follows_operators():
            self._operators_due.set()

    async def follow_operators(self) -> None:
        """Read all that is newest, then wait for records; begin anew on faults.

        While other boxes of the failure domain follow the records, this one does not.
        """
        while True:
            await self._operators_due.wait()
            end = await self._read_operators()
            while end is not None and self._follows_operators():
                end = await self._await_operators(end)
            await asyncio.sleep(RETRY_MS / 1_000)
            self._operators_due.clear()

    def _follows_operators(self) -> bool:
        return follows_operators(self._fleet, self._clock.now())

    async def follow_workers(self) -> None:
        """Read the workers' list where it is this box's turn, or where nobody did."""
        failures = 0
        while True:
            await self._workers_due.wait()
            read = await self._read_workers()
            failures = 0 if read else failures + 1
            pause = FIRST_RETRY_MS if failures == 1 else RETRY_MS
            if read:
                pause = int(self._draining_ms * POLL_PART)
            await asyncio.sleep(pause / 1_000)
            self._workers_due.clear()
            await self.look()

    async def follow_boxes(self) -> None:
        """Tell the others where this box is, and look where they are."""
        me = self._fleet.me
        place = f"{me.address} {me.domain}".encode()
        written_at = await self._tell_place(place)
        await asyncio.sleep(BOXES_FIRST_MS / 1_000)
        while True:
            await self._read_boxes()
            read_at = self._clock.now()
            while self._clock.now() < read_at + BOXES_EVERY_MS:
                await asyncio.sleep(BOXES_LOOK_MS / 1_000)
                if written_at < self._fleet.store.era_began < written_at + COPY_AGE_MS:
                    written_at = await self._tell_place(place)

    async def _tell_place(self, place: bytes) -> Millis:
        """Write where this box is, for as long as it takes; return when that was."""
        while True:
            done = await self._store.append(wire.BOXES_TOPIC, self._fleet.me.box, place)
            if not isinstance(done, Err):
                return self._clock.now()
            self._note(done.err_value)
            await asyncio.sleep(RETRY_MS / 1_000)

    async def _read_operators(self) -> Offset | None:
        listing = await self._newest(wire.OPERATORS_TOPIC)
        if listing is None:
            return None
        self._take_absent(listing)
        orders = False
        for item in listing.items:
            offset = Offset(item.offset)
            self._take_operators(item.key_file, item.content(), offset, seen=False)
            orders = orders or item.key_file.startswith(wire.ROLLOUT_PREFIX)
        if orders and not await self._read_status():
            return None
        return listing.end

    async def _await_operators(self, end: Offset) -> Offset | None:
        held = awaits_operators(self._fleet, self._clock.now())
        # What is missing from a copy is looked for again when it should be back.
        wait_ms = AGAIN_MS if held else TAIL_WAIT_MS
        got = await self._store.tail(wire.OPERATORS_TOPIC, end, wait_ms)
        if isinstance(got, Err):
            if got.err_value.problem is StoreProblem.TRIMMED:
                return await self._read_operators()
            self._note(got.err_value)
            return None
        self._note_answer()
        for record in got.ok_value.records:
            self._take_operators(record.key, record.value, record.offset, seen=True)
        if held and not awaits_operators(self._fleet, self._clock.now()):
            return await self._read_operators()
        return got.ok_value.next

    def _take_operators(
        self, key: str, value: bytes, offset: Offset, *, seen: bool
    ) -> None:
        if key == wire.CATALOG_KEY and value:
            take_catalog(self._fleet, value, wire.decode_catalog, source="store")
        elif key.startswith(wire.ROLLOUT_PREFIX) and value:
            self._take_order(value, offset, seen=seen)
        elif key.startswith(wire.EVACUATION_PREFIX):
            domain = DomainId(key[len(wire.EVACUATION_PREFIX) :])
            self._take_evacuation(EvacuationRow(domain, offset, active=bool(value)))
        elif key.startswith(wire.RELEASE_PREFIX) and value:
            self._take_release(Fingerprint(key[len(wire.RELEASE_PREFIX) :]), value)

    def _take_evacuation(self, told: EvacuationRow) -> None:
        if take_evacuation(self._fleet, told, self._clock.now()):
            log_evacuation(self._fleet, told.domain, "store")
            self._tell_now()

    def _take_absent(self, listing: Listing) -> None:
        """Take in which failure domains are not emptied any more by a whole list."""
        prefix = wire.EVACUATION_PREFIX
        listed = {
            DomainId(item.key_file[len(prefix) :])
            for item in listing.items
            if item.key_file.startswith(prefix)
        }
        freed = take_absent(self._fleet, listed, listing.end, self._clock.now())
        for domain in freed:
            log_evacuation(self._fleet, domain, "store")

    def _take_release(self, content: Fingerprint, value: bytes) -> None:
        decoded = wire.decode(value, wire.Release)
        if isinstance(decoded, Err):
            log_event("ERROR", "release unreadable", detail=decoded.err_value)
            return
        age = max(0, self._clock.wall() - decoded.ok_value.at)
        now = self._clock.now()
        release(self._fleet, content, Millis(now - age), now)
        log_event("INFO", "content released", fingerprint=content, age_ms=age)

    def _take_order(self, value: bytes, offset: Offset, *, seen: bool) -> None:
        decoded = wire.decode(value, wire.RolloutOrder)
        if isinstance(decoded, Err):
            log_event("ERROR", "order unreadable", detail=decoded.err_value)
            return
        order = decoded.ok_value
        service = ServiceId(order.backend)
        now = self._clock.now()
        new = take_order(
            self._fleet,
            service,
            VersionId(order.target_version),
            offset,
            Millis(int(order.duration_s * 1_000)),
            now,
            seen=seen,
        )
        if new:
            log_order(self._fleet.rollouts.rows[service], now, "store")

    async def _read_status(self) -> bool:
        """Take in what is recorded of the orders, for a box that starts midway."""
        listing = await self._newest(wire.STATUS_TOPIC)
        if listing is None:
            return False
        take_status(self._fleet, listing, self._clock)
        return True

    async def _read_workers(self) -> bool:
        most_ms = int(self._draining_ms * READ_PART)
        listing = await self._newest(wire.WORKERS_TOPIC, most_ms)
        if listing is None:
            return False
        listed = self._decode_workers(listing)
        now = self._clock.now()
        self._fleet.stale_until = Millis(0)
        note_reading(self._fleet, now)
        change = take_list(self._fleet, listed, listing.end, now)
        if listing.end >= self._fleet.workers_end:
            self._fleet.workers_read_at = now
        for row in change.ended:
            self._on_ended(row)
        if not change.empty:
            log_event(
                "INFO",
                "workers",
                source="store",
                end=listing.end,
                came=list(change.came),
                leaving=list(change.leaving),
                gone=list(change.gone),
                kept=list(change.kept),
            )
        return True

    def _decode_workers(self, listing: Listing) -> list[ListedWorker]:
        """Decode the entries of workers; others' are logged once and left out."""
        listed: list[ListedWorker] = []
        unreadable: dict[str, str] = {}
        odd: dict[str, str] = {}
        for item in listing.items:
            decoded = wire.decode_worker(item.key_file, item.content())
            if isinstance(decoded, Err):
                unreadable[item.key_file] = decoded.err_value
                continue
            listed.append(decoded.ok_value)
            if decoded.ok_value.flaw:
                odd[item.key_file] = decoded.ok_value.flaw
        _log_new("entry names no worker", unreadable, self._unreadable)
        _log_new("entry is odd, its worker taken for cold", odd, self._odd)
        self._unreadable, self._odd = unreadable, odd
        return listed

    async def _read_boxes(self) -> None:
        listing = await self._newest(wire.BOXES_TOPIC)
        if listing is None:
            return
        fleet = self._fleet
        for item in listing.items:
            box = BoxId(item.key_file)
            address, _, domain = item.content().decode().partition(" ")
            if box != fleet.me.box and box not in fleet.peers:
                fleet.peers[box] = PeerRow(box, address, DomainId(domain))
                log_event("INFO", "peer listed", peer=box, address=address)

    async def _newest(self, topic: str, most_ms: int | None = None) -> Listing | None:
        got = await self._store.newest(topic, most_ms)
        if isinstance(got, Err):
            self._note(got.err_value)
            return None
        self._note_answer()
        return got.ok_value

    def _note(self, fault: StoreFault) -> None:
        if note_store_failure(self._fleet, self._clock.now()):
            log_event(
                "WARNING",
                "store lost",
                problem=fault.problem.value,
                detail=fault.detail,
            )

    def _note_answer(self) -> None:
        if note_store_answer(self._fleet):
            log_event("INFO", "store regained")


def _log_new(event: str, problems: dict[str, str], before: t.Mapping[str, str]) -> None:
    """Log the problems of entries that were not the same before."""
    for key, problem in problems.items():
        if before.get(key) != problem:
            log_event("WARNING", event, detail=f"{key}: {problem}")


def take_status(fleet: Fleet, listing: Listing, clock: t.Any) -> None:
    """Take recorded verdicts and beginnings into the roll-outs' rows."""
    now = clock.now()
    for item in listing.items:
        decoded = wire.decode(item.content(), wire.RolloutStatus)
        if isinstance(decoded, Err):
            continue
        status = decoded.ok_value
        row = fleet.rollouts.rows.get(ServiceId(status.backend))
        if row is None:
            continue
        verdict = wire.decode_verdict(status.state)
        version = VersionId(status.target_version)
        order = Offset(status.order)
        other = order >= 0 and not is_same_offset(order, row.order)
        if version != row.version or other:
            if verdict is Verdict.ROLLED_BACK and status.order < row.order:
                bar_versions(row, {version, *map(VersionId, status.barred)})
            continue
        if order >= 0:
            row.order = min(row.order, order)
        bar_versions(row, [VersionId(name) for name in status.barred])
        row.announced = True
        row.against = wire.decode_against(status.against)
        if verdict is Verdict.RUNNING and status.began:
            age = max(0, clock.wall() - status.began)
            take_beginning(row, Millis(now - age), seen=False)
        if row.turned_bad and verdict is Verdict.ROLLED_BACK:
            row.way_back_recorded = True
        elif take_verdict(row, verdict, "recorded", now, recorded=True):
            log_verdict(row, "store")
