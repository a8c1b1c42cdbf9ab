"""Pins of sessions whose callers send only an id, kept at two boxes by hash."""

import asyncio

from result import Ok

from .admission import ChatCall
from .ids import VersionId
from .peers.messages import Pin
from .router import Router
from .systems.gossip import live_members
from .tables.members import MemberRow
from .utils import digest
from .utils import rendezvous

KEEPERS = 2
"""Boxes that keep a pin, besides the one that set it."""

_TIMEOUT = 0.25


async def find_pin(router: Router, call: ChatCall) -> VersionId:
    """Return the version that a session is on, empty if nobody knows."""
    key = _key(call)
    state = router.state
    found = state.pins.get(key, router.clock.now())
    if found is not None:
        return found
    asks = (
        router.peers.get_pin(row.address, Pin(key), _TIMEOUT)
        for row in _keepers(router, key)
    )
    for answer in await asyncio.gather(*asks):
        match answer:
            case Ok(pin) if pin.version:
                state.pins.put(key, pin.version, router.clock.now())
                return pin.version
            case _:
                pass
    return VersionId("")


async def keep_pin(router: Router, call: ChatCall, version: VersionId) -> None:
    """Keep a session's version here and at the boxes that its hash names."""
    key = _key(call)
    router.state.pins.put(key, version, router.clock.now())
    puts = (
        router.peers.put_pin(row.address, Pin(key, version), _TIMEOUT)
        for row in _keepers(router, key)
    )
    await asyncio.gather(*puts)


def _key(call: ChatCall) -> str:
    session = call.session.session if call.session is not None else ""
    return digest([call.asked.org, session, call.pin_name])[:24]


def _keepers(router: Router, key: str) -> list[MemberRow]:
    suspect = router.settings.timing.suspect_ms
    rows = {
        row.box: row for row in live_members(router.state, router.clock.now(), suspect)
    }
    names = rendezvous(key, rows, KEEPERS)
    return [row for name, row in rows.items() if name in names]
