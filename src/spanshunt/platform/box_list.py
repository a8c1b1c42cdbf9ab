"""Where boxes are: each tells it on the platform's store, and looks for others."""

import asyncio

from result import Err

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Millis
from ..logs import log_event
from ..systems.eras import MAX_COPY_AGE_MS
from ..systems.following_workers import is_domain_follower
from ..systems.following_workers import is_served_by_store
from ..tables.fleet import PeerRow
from . import wire
from .store_reader import StoreReader

FIRST_MS = 1_500
"""When a box that starts first looks for others, in ms: by then peers that its settings
name have told it of some."""

ALONE_MS = 2_000
"""How often a box that heard no other one looks for some, in ms."""

EVERY_MS = 60_000
"""How often one looks that does not know all of which peers told, in ms."""

LOOK_MS = 1_000
"""How often a box looks whether it is to tell where it is, in ms."""

NEVER = Millis(-1)


class BoxList:
    """Tells others where this box is, and takes in where they are.

    A few boxes of each failure domain stand in the list. Others take their place there
    once these are not heard any more.

    Parameters
    ----------
    reader : StoreReader
        The store, the tables and the time.
    """

    def __init__(self, reader: StoreReader) -> None:
        self._reader = reader
        self._fleet = reader.fleet
        self._written_at = NEVER
        self._read_at = reader.now()
        self._look_alone_at = reader.now()

    async def follow(self) -> None:
        """Tell where this box is while that is its turn, and look where others are."""
        await asyncio.sleep(FIRST_MS / 1_000)
        while True:
            now = self._reader.now()
            if self._must_tell(now):
                await self._tell_place()
            if self._must_read(now):
                self._read_at = now
                self._look_alone_at = Millis(now + ALONE_MS)
                await self._read()
            await asyncio.sleep(LOOK_MS / 1_000)

    def _must_tell(self, now: Millis) -> bool:
        """Tell whether the list should hold where this box is, and may lack it."""
        if not is_domain_follower(self._fleet, now) or not is_served_by_store(
            self._fleet, now
        ):
            return False
        written_at = self._written_at
        era_began = self._fleet.store.era_began
        return written_at < 0 or written_at < era_began < written_at + MAX_COPY_AGE_MS

    def _must_read(self, now: Millis) -> bool:
        if not any(peer.heard >= 0 for peer in self._fleet.peers.values()):
            return now >= self._look_alone_at
        return now >= self._read_at + EVERY_MS and not self._knows_all()

    def _knows_all(self) -> bool:
        """Tell whether peers told of all boxes already."""
        return 1 < self._fleet.reported_box_count <= 1 + len(self._fleet.peers)

    async def _tell_place(self) -> None:
        """Write where this box is; a failure is tried again at the next look."""
        me = self._fleet.identity
        place = f"{me.address} {me.domain}".encode()
        done = await self._reader.store.append(wire.BOXES_TOPIC, me.box, place)
        if isinstance(done, Err):
            self._reader.note_failure(done.err_value)
        else:
            self._written_at = self._reader.now()

    async def _read(self) -> None:
        listing = await self._reader.newest(wire.BOXES_TOPIC)
        if listing is None:
            return
        fleet = self._fleet
        for item in listing.items:
            box = BoxId(item.key_file)
            place = item.value.decode(errors="replace")
            address, _, domain = place.partition(" ")
            if box != fleet.identity.box and box not in fleet.peers:
                fleet.peers[box] = PeerRow(box, address, DomainId(domain))
                log_event("INFO", "peer listed", peer=box, address=address)
