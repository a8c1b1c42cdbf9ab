"""Where boxes are: each tells it on the platform's store, and looks for others."""

import asyncio

from result import Err

from ..ids import BoxId
from ..ids import DomainId
from ..ids import Millis
from ..logs import log_event
from ..systems.eras import COPY_AGE_MS
from ..tables.fleet import PeerRow
from . import wire
from .store_reader import RETRY_MS
from .store_reader import StoreReader

FIRST_MS = 1_500
"""When a box first looks for others after it told them of itself, in ms: boxes of one
deployment start within 0.3 s, and peers tell each other of those that come later."""

EVERY_MS = 60_000
"""And how often after that, in ms."""

LOOK_MS = 1_000
"""How often a box looks whether a copy of the store may lack where it is, in ms."""


class BoxList:
    """Tells others where this box is, and takes in where they are.

    Parameters
    ----------
    reader : StoreReader
        The store, the tables and the time.
    """

    def __init__(self, reader: StoreReader) -> None:
        self._reader = reader
        self._fleet = reader.fleet

    async def follow(self) -> None:
        """Tell the others where this box is, and look where they are."""
        me = self._fleet.me
        place = f"{me.address} {me.domain}".encode()
        written_at = await self._tell_place(place)
        await asyncio.sleep(FIRST_MS / 1_000)
        while True:
            if not self._knows_all():
                await self._read()
            read_at = self._reader.now()
            while self._reader.now() < read_at + EVERY_MS:
                await asyncio.sleep(LOOK_MS / 1_000)
                if written_at < self._fleet.store.era_began < written_at + COPY_AGE_MS:
                    written_at = await self._tell_place(place)

    def _knows_all(self) -> bool:
        """Tell whether peers told of all boxes already."""
        return 1 < self._fleet.boxes_told <= 1 + len(self._fleet.peers)

    async def _tell_place(self, place: bytes) -> Millis:
        """Write where this box is, for as long as it takes; return when that was."""
        while True:
            done = await self._reader.store.append(
                wire.BOXES_TOPIC, self._fleet.me.box, place
            )
            if not isinstance(done, Err):
                return self._reader.now()
            self._reader.note_failure(done.err_value)
            await asyncio.sleep(RETRY_MS / 1_000)

    async def _read(self) -> None:
        listing = await self._reader.newest(wire.BOXES_TOPIC)
        if listing is None:
            return
        fleet = self._fleet
        for item in listing.items:
            box = BoxId(item.key_file)
            address, _, domain = item.content().decode().partition(" ")
            if box != fleet.me.box and box not in fleet.peers:
                fleet.peers[box] = PeerRow(box, address, DomainId(domain))
                log_event("INFO", "peer listed", peer=box, address=address)
