"""A stand-in of the service that rates answers."""

import asyncio
import random

import msgspec
from aiohttp import web

from ..backing.rater import Rating
from ..backing.rater import RatingRequest

_GOOD = 0.9
_BAD = 0.2


class RaterFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What fails.

    Attributes
    ----------
    down : bool
        Every call answers 503.
    late_ms : int
        Each rating takes this long, in ms.
    """

    down: bool = False
    late_ms: int = 20


class RaterStandin:
    """Rates an answer good with the chance set for its version, or version and class.

    Parameters
    ----------
    quality : dict
        The chance that an answer is good, by ``model@version`` or
        ``model@version/class``; 0.9 where neither is named.
    seed : int
        For the draws.
    """

    def __init__(self, quality: dict[str, float], seed: int = 0) -> None:
        self.quality = quality
        self.faults = RaterFaults()
        self.rated = 0
        self._random = random.Random(seed)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/rate", self._rate)
        app.router.add_post("/quality", self._set_quality)
        app.router.add_post("/faults", self._set_faults)
        return app

    async def _rate(self, req: web.Request) -> web.StreamResponse:
        asked = msgspec.json.decode(await req.read(), type=RatingRequest)
        if self.faults.down:
            return web.Response(status=503)
        await asyncio.sleep(self.faults.late_ms / 1000)
        fine = f"{asked.version}/{asked.request_class}"
        chance = self.quality.get(fine, self.quality.get(asked.version, 0.9))
        self.rated += 1
        score = _GOOD if self._random.random() < chance else _BAD
        return web.Response(body=msgspec.json.encode(Rating(score)))

    async def _set_quality(self, req: web.Request) -> web.StreamResponse:
        given = msgspec.json.decode(await req.read(), type=dict[str, float])
        self.quality = {**self.quality, **given}
        return web.Response(status=204)

    async def _set_faults(self, req: web.Request) -> web.StreamResponse:
        self.faults = msgspec.json.decode(await req.read(), type=RaterFaults)
        return web.Response(status=204)
