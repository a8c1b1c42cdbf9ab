"""Taking operators' records into the tables: catalogs, orders, emptied domains."""

import typing as t

from result import Err

from ..catalog_taking import take_catalog
from ..ids import DomainId
from ..ids import Fingerprint
from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId
from ..logs import log_event
from ..platform_lines import log_evacuation
from ..rollout_lines import log_order
from ..rollout_lines import log_repeated_order
from ..systems.evacuating import apply_evacuation
from ..systems.evacuating import revoke_unlisted
from ..systems.quarantining import release_suspect
from ..systems.ramping import apply_order
from ..tables.fleet import EvacuationRow
from . import catalogs
from . import wire
from .store import Listing
from .store_reader import StoreReader


class RecordTaker:
    """Takes what operators wrote into the tables.

    Parameters
    ----------
    reader : StoreReader
        The tables and the time.
    tell_now : callable
        Tells peers at once what this box learned.
    """

    def __init__(self, reader: StoreReader, tell_now: t.Callable[[], None]) -> None:
        self._reader = reader
        self._fleet = reader.fleet
        self._tell_now = tell_now

    def take(self, key: str, value: bytes, offset: Offset, *, seen: bool) -> None:
        """Take a record; `seen` tells whether this box saw it come."""
        if key == wire.CATALOG_KEY and value:
            take_catalog(self._fleet, value, catalogs.decode_catalog, source="store")
        elif key.startswith(wire.ROLLOUT_PREFIX) and value:
            self._take_order(value, offset, seen=seen)
        elif key.startswith(wire.EVACUATION_PREFIX):
            domain = DomainId(key[len(wire.EVACUATION_PREFIX) :])
            self._take_evacuation(EvacuationRow(domain, offset, active=bool(value)))
        elif key.startswith(wire.RELEASE_PREFIX) and value:
            self._take_release(Fingerprint(key[len(wire.RELEASE_PREFIX) :]), value)

    def _take_evacuation(self, told: EvacuationRow) -> None:
        if apply_evacuation(self._fleet, told, self._reader.now()):
            log_evacuation(self._fleet, told.domain, "store")
            self._tell_now()

    def take_absent(self, listing: Listing) -> None:
        """Take in which failure domains are not emptied any more by a whole list."""
        prefix = wire.EVACUATION_PREFIX
        listed = {
            DomainId(item.key_file[len(prefix) :])
            for item in listing.items
            if item.key_file.startswith(prefix)
        }
        freed = revoke_unlisted(self._fleet, listed, listing.end, self._reader.now())
        for domain in freed:
            log_evacuation(self._fleet, domain, "store")

    def _take_release(self, content: Fingerprint, value: bytes) -> None:
        decoded = wire.decode(value, wire.Release)
        if isinstance(decoded, Err):
            log_event("ERROR", "release unreadable", detail=decoded.err_value)
            return
        age = max(0, self._reader.clock.wall() - decoded.ok_value.at)
        now = self._reader.now()
        release_suspect(self._fleet, content, Millis(now - age), now)
        log_event("INFO", "content released", fingerprint=content, age_ms=age)

    def _take_order(self, value: bytes, offset: Offset, *, seen: bool) -> None:
        decoded = wire.decode(value, wire.RolloutOrder)
        if isinstance(decoded, Err):
            log_event("ERROR", "order unreadable", detail=decoded.err_value)
            return
        order = decoded.ok_value
        service = ServiceId(order.backend)
        now = self._reader.now()
        known = self._fleet.rollouts.rows.get(service)
        newest = known.newest_order if known is not None else None
        new = apply_order(
            self._fleet,
            service,
            VersionId(order.target_version),
            offset,
            Millis(int(order.duration_s * 1_000)),
            now,
            seen=seen,
        )
        row = self._fleet.rollouts.rows[service]
        if new:
            log_order(row, now, "store")
        elif row.newest_order != newest:
            log_repeated_order(row, offset)
