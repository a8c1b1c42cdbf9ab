"""Workers of a plain service in a play: their slots, their queue and what they report.

They answer the request path directly, as the engines of ``bench.play_engines`` do.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field

import msgspec
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result

from spanshunt.ports import Answer
from spanshunt.ports import Collect
from spanshunt.ports import Dispatch
from spanshunt.ports import SendFault
from spanshunt.ports import do_not_collect
from spanshunt.systems.worker_health import WorkerLoad
from spanshunt.tables.notices import Notice

from .play_engines import Engine
from .play_fleet import ROUTES
from .play_fleet import SERVICE

SLOTS, PLACES = 8, 4
"""Requests that a worker runs at once, and that wait there."""

WORK_MS = (100.0, 300.0)
"""Bounds of a request's work, in ms; their mean is the usual time."""

WAY_MS = 1.5
"""Time from a box to a worker, and back, in ms."""

TIMEOUT_MS = 2_000
"""How long callers of a plain service wait, in ms."""

ROOM_PER_S = 1_000 * SLOTS / (sum(WORK_MS) / 2)
"""Requests a second that a worker can answer."""


@dataclass
class PlainWorker(Engine):
    """A worker of a plain service.

    ``tells_load`` is whether its answers tell its load; the answered request counts as
    running in it, which the wire leaves open.
    """

    tells_load: bool = True
    waiting: int = 0
    places: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))

    async def _answer(self, box: str, dispatch: Dispatch) -> Result[Answer, SendFault]:
        await asyncio.sleep(WAY_MS / 1_000)
        if self.running + self.waiting >= SLOTS + PLACES:
            answer = PlainAnswer(503, self._load(), not_run=True)
        else:
            answer = await self._run()
        await asyncio.sleep(WAY_MS / 1_000)
        return Ok(answer) if not self.gone else Err(SendFault(False, "it ended"))

    async def _run(self) -> "PlainAnswer":
        self.waiting += 1
        try:
            await self.places.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await asyncio.sleep(self.rng.uniform(*WORK_MS) / 1_000)
            return PlainAnswer(200, self._load())
        finally:
            self.running -= 1
            self.places.release()

    def _load(self) -> WorkerLoad | None:
        if not self.tells_load:
            return None
        return WorkerLoad(self.running, self.waiting, SLOTS)


class PlainAnswer:
    """A worker's whole answer."""

    replaced = False
    defect = ""
    indirect = False
    confidence: float | None = None

    def __init__(
        self, status: int, load: WorkerLoad | None, *, not_run: bool = False
    ) -> None:
        self.status = status
        self.not_run = not_run
        self.load = load
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.notice = Notice()
        self._unread = b"whole"

    async def read(self, collect: Collect = do_not_collect) -> bytes:
        """Return its body."""
        return await self.next_block()

    async def next_block(self) -> bytes:
        """Return the body once, then nothing more."""
        block, self._unread = self._unread, b""
        return block

    def close(self) -> None:
        """Let go of it."""


def plain_catalog() -> bytes:
    """Return a catalog of routes to one plain service."""
    routes = [
        {
            "Name": name,
            "Hostname": "play",
            "PathPrefix": f"/{name}/",
            "RouteType": "safe",
            "TimeoutMs": TIMEOUT_MS,
            "TargetLatencyMs": 400,
            "Backend": SERVICE,
            "MaxAttempts": 2,
            "Anonymous": True,
        }
        for name in ROUTES
    ]
    body = {
        "Version": 1,
        "Routes": routes,
        "Backends": [{"Name": SERVICE}],
        "Limits": {},
    }
    return msgspec.json.encode(body)
