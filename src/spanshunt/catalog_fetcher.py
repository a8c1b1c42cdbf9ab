"""Fetching a newer catalog from a peer, however slow its link is.

Boxes tell each other only which version they know. A box that hears of a newer one
fetches it, packed, from a peer of its own failure domain where one has it. A peer that
serves enough others already says so, and the box asks another: so a catalog spreads
over boxes and not over the link of the first that knew it. A peer that has not answered
for a while may be out of reach, or slow: it goes on, and another is asked beside it.
"""

import asyncio
import collections
import random

from result import Err
from result import Result

from .catalog_taking import Decode
from .catalog_taking import take_catalog
from .clock import Clock
from .ids import BoxId
from .ids import Millis
from .logs import log_event
from .peers.news import FetchCatalogReply
from .peers.news import FetchCatalogRequest
from .peers.news import fetch_catalog
from .peers.packing import unpack
from .peers.unary import Channels
from .peers.unary import PeerFault
from .tables.fleet import Fleet
from .tables.fleet import PeerRow

FETCH_S = 8.0
"""How long a fetch may take, in s: a catalog of 1,400 routes is 40 KB packed, 0.1 s on
a link of 5 Mbit/s, which many boxes may share."""

NEXT_S = 0.3
"""How long a fetch goes on until another peer is asked beside it, in s: several fit
into the time within which a change must be in force."""

AT_ONCE_MOST = 3
"""Peers asked at once: each may send the whole catalog over this box's link."""

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
        self._due = asyncio.Event()
        self._tried: set[BoxId] = set()
        self._served: collections.deque[Millis] = collections.deque(maxlen=SERVED_MOST)

    def look(self) -> None:
        """Look for a newer catalog: a peer told of one."""
        self._due.set()

    async def follow(self) -> None:
        """Fetch whenever a peer is known to have a newer catalog."""
        while True:
            await self._due.wait()
            await self._catch_up()
            self._due.clear()

    async def _catch_up(self) -> None:
        """Ask peers, some at once, until none is known to have a newer catalog."""
        under_way: set[asyncio.Task[bool]] = set()
        try:
            while peer := self._whom_to_ask():
                if len(under_way) < AT_ONCE_MOST:
                    under_way.add(asyncio.create_task(self._fetch(peer)))
                done, under_way = await asyncio.wait(
                    under_way, timeout=NEXT_S, return_when=asyncio.FIRST_COMPLETED
                )
                if done and not any(fetch.result() for fetch in done):
                    await asyncio.sleep(PAUSE_S)
        finally:
            for fetch in under_way:
                fetch.cancel()

    async def tell(self, ask: FetchCatalogRequest) -> FetchCatalogReply:
        """Give this box's catalog to a peer, unless enough others get it already."""
        fleet = self._fleet
        known = fleet.catalog_version
        if known <= ask.version or self._serves_enough():
            return FetchCatalogReply(known)
        self._served.append(self._clock.now())
        return FetchCatalogReply(known, fleet.catalog_packed)

    def _serves_enough(self) -> bool:
        if len(self._served) < SERVED_MOST:
            return False
        return self._clock.now() - self._served[0] < SERVED_WITHIN_MS

    def _whom_to_ask(self) -> PeerRow | None:
        """Return a peer with a newer catalog: heard just now, near, not tried yet."""
        fleet = self._fleet
        mine = fleet.catalog_version
        ahead = [row for row in fleet.peers.values() if row.catalog_version > mine]
        untried = [row for row in ahead if row.box not in self._tried]
        if ahead and not untried:
            self._tried.clear()
            untried = ahead
        recent = self._clock.now() - HEARD_MS
        heard = [row for row in untried if row.heard >= recent] or untried
        near = [row for row in heard if row.domain == fleet.identity.domain]
        drawn = near or heard
        return self._rng.choice(drawn) if drawn else None

    async def _fetch(self, peer: PeerRow) -> bool:
        """Fetch from one peer; return whether that brought a newer catalog."""
        fleet = self._fleet
        mine = fleet.catalog_version
        began = self._clock.now()
        self._tried.add(peer.box)
        told = await self._ask(peer, FetchCatalogRequest(fleet.identity.box, mine))
        if isinstance(told, Err):
            self._note_failed(peer, told.err_value.detail)
            return False
        if not told.ok_value.packed:
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
        packed = told.ok_value.packed
        return take_catalog(
            fleet, raw.ok_value, self._decode, source=peer.box, packed=packed
        )

    async def _ask(
        self, peer: PeerRow, ask: FetchCatalogRequest
    ) -> Result[FetchCatalogReply, PeerFault]:
        """Ask on a connection of its own: one that was kept may be dead by now."""
        channels = Channels()
        try:
            return await fetch_catalog(channels, peer.address, ask, FETCH_S)
        finally:
            channels.stop()

    def _note_failed(self, peer: PeerRow, detail: str) -> None:
        log_event(
            "WARNING",
            "catalog not fetched",
            peer=peer.box,
            version=peer.catalog_version,
            detail=detail,
        )
