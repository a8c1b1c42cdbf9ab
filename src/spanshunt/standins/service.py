"""A stand-in of a plain service that counts how often each call took effect."""

import asyncio
import random

import msgspec
from aiohttp import web

from .engine import EngineLoad

_SLOTS = 64

CUT_BODY_BYTES = 400_000
"""Length of an answer that breaks off: long enough that half of it passes all buffers
on its way."""


class ServiceFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What fails.

    Attributes
    ----------
    down : bool
        Every call answers 503 before it takes effect.
    slow_ms : int
        Each call takes this much longer, in ms.
    lose_answers : float
        The share of calls whose answer is lost after the effect.
    cut_answers : float
        The share of calls whose answer breaks off in the middle of its body.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: float = 0.0
    cut_answers: float = 0.0


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The answer to a call.

    Attributes
    ----------
    call : str
        The request id that came with the call.
    method, path : str
        What was called.
    effects : int
        How often calls with the same key, or else id, took effect, this one included.
    size : int
        Bytes of the body.
    """

    call: str
    method: str
    path: str
    effects: int
    size: int


class ServiceStandin:
    """The stand-in's state and handlers."""

    def __init__(self, seed: int = 0) -> None:
        self.faults = ServiceFaults()
        self.leaving = False
        self.effects: dict[str, int] = {}
        self._random = random.Random(seed)
        self._running = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/load", self._load)
        app.router.add_get("/ran", self._list_effects)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_post("/leave", self._leave)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _call(self, req: web.Request) -> web.StreamResponse:
        body = await req.read()
        if self.faults.down:
            return web.Response(status=503)
        self._running += 1
        try:
            call = req.headers.get("X-Request-Id", "none")
            key = req.headers.get("Idempotency-Key", call)
            self.effects[key] = self.effects.get(key, 0) + 1
            await asyncio.sleep(self.faults.slow_ms / 1000)
        finally:
            self._running -= 1
        if self._random.random() < self.faults.lose_answers:
            if req.transport is not None:
                req.transport.abort()
            return web.Response(status=500)
        if self._random.random() < self.faults.cut_answers:
            return await _cut_answer(req)
        answer = ServiceAnswer(
            call=call,
            method=req.method,
            path=req.path,
            effects=self.effects[key],
            size=len(body),
        )
        return web.Response(
            body=msgspec.json.encode(answer), content_type="application/json"
        )

    async def _load(self, _req: web.Request) -> web.StreamResponse:
        load = EngineLoad(self._running, 0, _SLOTS, leaving=self.leaving)
        return web.Response(body=msgspec.json.encode(load))

    async def _list_effects(self, _req: web.Request) -> web.StreamResponse:
        return web.Response(body=msgspec.json.encode(self.effects))

    async def _set_faults(self, req: web.Request) -> web.StreamResponse:
        self.faults = msgspec.json.decode(await req.read(), type=ServiceFaults)
        return web.Response(status=204)

    async def _leave(self, _req: web.Request) -> web.StreamResponse:
        self.leaving = True
        return web.Response(status=204)


async def _cut_answer(req: web.Request) -> web.StreamResponse:
    """Send the head and half of a body, then break the connection off."""
    response = web.StreamResponse(headers={"Content-Length": str(CUT_BODY_BYTES)})
    await response.prepare(req)
    await response.write(b"x" * (CUT_BODY_BYTES // 2))
    if req.transport is not None:
        req.transport.close()
    return response
