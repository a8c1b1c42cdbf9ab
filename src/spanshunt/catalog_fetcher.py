"""Fetching a newer catalog from a peer, one at a time, however slow the link is.

Boxes tell each other only which version they know. A box that hears of a newer one
fetches it, packed, from a peer of its own failure domain where one has it. A peer that
serves enough others already says so, and the box asks another: so a catalog spreads
over boxes and not over the link of the first that knew it.
"""

import asyncio
import collections
import random

from result import Err

from .catalog_taking import Decode
from .catalog_taking import known_version
from .catalog_taking import take_catalog
from .clock import Clock
from .ids import BoxId
from .ids import Millis
from .logs import log_event
from .peers.news import CatalogAsk
from .peers.news import CatalogTold
from .peers.news import ask_catalog
from .peers.packing import unpack
from .peers.unary import Channels
from .tables.fleet import Fleet
from .tables.fleet import PeerRow

FIRST_TIMEOUT_S, LAST_TIMEOUT_S = 1.0, 8.0
"""How long a fetch may take, in s, the first time and after failures that doubled it: a
catalog of 1,400 routes is 40 KB packed, 0.1 s on a link of 5 Mbit/s that is shared."""

SERVED_MOST, SERVED_WITHIN_MS = 3, 200
"""Boxes that one box gives its catalog to within so many ms: with 40 KB each that fills
a link of 5 Mbit/s, and every box that has it goes on giving it."""

HEARD_MS = 1_000
"""A peer that was not heard for this long is asked only where no other is left, in ms:
two rounds of exchanges; it may have ended since."""

PAUSE_S = 0.05
"""Pause after a fetch that brought nothing, in s."""


class CatalogFetcher:
    """Fetches catalogs from peers, and gives this box's to them.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws the peer to ask.
    decode : callable
        Decodes a catalog as it came from the store.
    """

    def __init__(
        self, fleet: Fleet, clock: Clock, rng: random.Random, decode: Decode
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._decode = decode
        self._channels = Channels()
        self._due = asyncio.Event()
        self._tried: set[BoxId] = set()
        self._timeout_s = FIRST_TIMEOUT_S
        self._served: collections.deque[Millis] = collections.deque(maxlen=SERVED_MOST)

    def stop(self) -> None:
        """Close all channels."""
        self._channels.stop()

    def look(self) -> None:
        """Look for a newer catalog: a peer told of one."""
        self._due.set()

    async def follow(self) -> None:
        """Fetch whenever a peer is known to have a newer catalog."""
        while True:
            await self._due.wait()
            peer = self._whom_to_ask()
            if peer is None:
                self._due.clear()
            elif not await self._fetch(peer):
                await asyncio.sleep(PAUSE_S)

    async def tell(self, ask: CatalogAsk) -> CatalogTold:
        """Give this box's catalog to a peer, unless enough others get it already."""
        fleet = self._fleet
        known = known_version(fleet)
        if known <= ask.version or self._serves_enough():
            return CatalogTold(known)
        self._served.append(self._clock.now())
        return CatalogTold(known, fleet.catalog_packed)

    def _serves_enough(self) -> bool:
        if len(self._served) < SERVED_MOST:
            return False
        return self._clock.now() - self._served[0] < SERVED_WITHIN_MS

    def _whom_to_ask(self) -> PeerRow | None:
        """Return a peer with a newer catalog: heard just now, near, not tried yet."""
        fleet = self._fleet
        mine = known_version(fleet)
        ahead = [row for row in fleet.peers.values() if row.catalog_version > mine]
        untried = [row for row in ahead if row.box not in self._tried]
        if ahead and not untried:
            self._tried.clear()
            untried = ahead
        recent = self._clock.now() - HEARD_MS
        heard = [row for row in untried if row.heard >= recent] or untried
        near = [row for row in heard if row.domain == fleet.me.domain]
        drawn = near or heard
        return self._rng.choice(drawn) if drawn else None

    async def _fetch(self, peer: PeerRow) -> bool:
        """Fetch from one peer; return whether that brought a newer catalog."""
        fleet = self._fleet
        mine = known_version(fleet)
        began = self._clock.now()
        ask = CatalogAsk(fleet.me.box, mine)
        told = await ask_catalog(self._channels, peer.address, ask, self._timeout_s)
        if isinstance(told, Err):
            self._timeout_s = min(LAST_TIMEOUT_S, 2 * self._timeout_s)
            self._note_failed(peer, told.err_value.detail)
            return False
        if not told.ok_value.packed:
            self._tried.add(peer.box)
            return False
        raw = unpack(told.ok_value.packed)
        if isinstance(raw, Err):
            self._note_failed(peer, raw.err_value)
            return False
        log_event(
            "INFO",
            "catalog fetched",
            peer=peer.box,
            version=told.ok_value.version,
            bytes=len(told.ok_value.packed),
            took_ms=self._clock.now() - began,
        )
        self._tried.clear()
        self._timeout_s = FIRST_TIMEOUT_S
        packed = told.ok_value.packed
        return take_catalog(
            fleet, raw.ok_value, self._decode, source=peer.box, packed=packed
        )

    def _note_failed(self, peer: PeerRow, detail: str) -> None:
        self._tried.add(peer.box)
        log_event(
            "WARNING",
            "catalog not fetched",
            peer=peer.box,
            version=peer.catalog_version,
            detail=detail,
            next_timeout_s=self._timeout_s,
        )
