"""Contents and prompt parts that are kept back, recorded for boxes that start."""

import msgspec
from result import Err

from ..ids import BoxId
from ..ids import Fingerprint
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerIncarnation
from ..logs import log_event
from ..systems.blaming import live_peers
from ..systems.following_workers import is_domain_follower
from ..systems.quarantine_records import quarantines_to_store
from ..systems.quarantine_records import records_to_remove
from ..systems.quarantine_trials import QUARANTINE_MS
from ..systems.quarantining import QUARANTINE_EXPIRY_MS
from ..systems.quarantining import merge_suspect
from ..systems.quarantining import update_quarantine
from ..tables.suspects import SuspectFeature
from . import wire
from .store import Listing
from .store_reader import StoreReader

PAUSE_MS = 1_000
"""Pause after a call that failed, in ms: the store is away for seconds, and each call
is priced."""


SETTLE_MS = 800
"""How long after its start a box leaves the reading to peers that may have done it, in
ms; two rounds of exchanges."""

TOLD_BY_MS = 3_000
"""When a box that was told by no peer reads for itself, in ms from its start."""

RECALL_MS = 300
"""How long a request that lost its worker is held for the store's word, in ms: a slow
store answers in 240."""


class KeptBackRecords:
    """Reads what is kept back once, and records what is found since.

    Some boxes of each failure domain read them when they start: where all boxes ended
    at once, nobody else knows. The others, and of later ones all, hear of them from
    peers; one box records each, once.

    Parameters
    ----------
    reader : StoreReader
        The store, the tables and the time.
    """

    def __init__(self, reader: StoreReader) -> None:
        self._fleet = reader.fleet
        self._clock = reader.clock
        self._store = reader.store
        self._began = reader.now()
        self._pause_until = Millis(0)
        self._expired: list[Fingerprint] = []
        self._recalled_at = Millis(-PAUSE_MS)

    async def tick(self) -> None:
        """Do what is due."""
        now = self._clock.now()
        if now < self._pause_until:
            return
        if not self._fleet.quarantine_known and self._reads(now):
            await self._read_all()
        for row in quarantines_to_store(self._fleet, now):
            await self._record(row)
        for row in records_to_remove(self._fleet, now):
            if await self._drop(row.fingerprint):
                row.dropped_at = now
        while self._expired and await self._drop(self._expired[-1]):
            self._expired.pop()

    def _reads(self, now: Millis) -> bool:
        """Tell whether this box reads them now, that no peer told of."""
        passed = now - self._began
        if passed < SETTLE_MS:
            return False
        return is_domain_follower(self._fleet, now) or passed >= TOLD_BY_MS

    async def recall(self) -> None:
        """Read again where no peer can tell: this box is cut off from all of them."""
        now = self._clock.now()
        alone = self._fleet.peers and not live_peers(self._fleet, now)
        if alone and now >= self._recalled_at + PAUSE_MS:
            self._recalled_at = now
            await self._read_all(RECALL_MS)

    async def _read_all(self, most_ms: int | None = None) -> None:
        listing = await self._store.newest(wire.KEPT_BACK_TOPIC, most_ms)
        if isinstance(listing, Err):
            self._note_failure("not read", listing.err_value.detail)
            return
        self._take(listing.ok_value)
        self._fleet.quarantine_known = True

    def _take(self, listing: Listing) -> None:
        now, wall = self._clock.now(), self._clock.wall()
        for item in listing.items:
            decoded = wire.decode(item.value, wire.KeptBack)
            if isinstance(decoded, Err):
                log_event("ERROR", "record unreadable", detail=decoded.err_value)
                continue
            record = decoded.ok_value
            # Ends that lie ahead by this box's time of day count from now on.
            age = max(0, wall - record.ended)
            if age > QUARANTINE_EXPIRY_MS:
                self._expired.append(Fingerprint(item.key_file))
            if age > QUARANTINE_MS:
                continue
            told = SuspectFeature(
                fingerprint=Fingerprint(item.key_file),
                service=ServiceId(record.backend),
                ends={
                    WorkerIncarnation(life): Millis(now - age) for life in record.ends
                },
                versions=set(map(VersionId, record.versions)),
                quarantined_by=BoxId(record.found_by),
                recorded=True,
                position=record.position,
            )
            row = merge_suspect(self._fleet, told, now)
            if update_quarantine(self._fleet, row, now):
                log_event(
                    "INFO",
                    "content kept back",
                    fingerprint=row.fingerprint,
                    position=row.position,
                    ends=sorted(row.counted_ends()),
                    age_ms=age,
                    source="store",
                )

    async def _record(self, row: SuspectFeature) -> None:
        now = self._clock.now()
        record = wire.KeptBack(
            backend=row.service,
            versions=tuple(sorted(row.versions)),
            ends=tuple(sorted(row.counted_ends())),
            found_by=row.quarantined_by,
            ended=self._clock.wall() - (now - row.last_end()),
            position=row.position,
        )
        value = msgspec.json.encode(record)
        done = await self._store.append(wire.KEPT_BACK_TOPIC, row.fingerprint, value)
        if isinstance(done, Err):
            self._note_failure("not recorded", done.err_value.detail)
            return
        row.recorded, row.changed_at = True, self._clock.now()
        row.dropped_at = Millis(-1)
        log_event("INFO", "content recorded", fingerprint=row.fingerprint)

    async def _drop(self, content: Fingerprint) -> bool:
        """Take a content out of the store; tell whether that was done."""
        done = await self._store.append(wire.KEPT_BACK_TOPIC, content, b"")
        if isinstance(done, Err):
            self._note_failure("not dropped", done.err_value.detail)
            return False
        log_event("INFO", "content dropped from the store", fingerprint=content)
        return True

    def _note_failure(self, what: str, detail: str) -> None:
        self._pause_until = Millis(self._clock.now() + PAUSE_MS)
        log_event("WARNING", f"kept-back contents {what}", detail=detail)
