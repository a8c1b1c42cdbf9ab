"""A stand-in of the platform's lagging list of boxes."""

import asyncio

import msgspec
from aiohttp import web

from ..backing.boxes import BoxList


class BoxListStandin:
    """Answers the list that was set last, as late as it was told to be.

    Parameters
    ----------
    boxes : BoxList
        The first list.
    lag_ms : int
        How late a change shows, in ms.
    """

    def __init__(self, boxes: BoxList, lag_ms: int = 0) -> None:
        self.boxes = boxes
        self.lag_ms = lag_ms
        self._changes: set[asyncio.Task[None]] = set()

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/boxes", self._list)
        app.router.add_post("/boxes", self._set)
        return app

    async def _list(self, _req: web.Request) -> web.StreamResponse:
        return web.Response(body=msgspec.json.encode(self.boxes))

    async def _set(self, req: web.Request) -> web.StreamResponse:
        boxes = msgspec.json.decode(await req.read(), type=BoxList)
        task = asyncio.create_task(self._change(boxes))
        self._changes.add(task)
        task.add_done_callback(self._changes.discard)
        return web.Response(status=202)

    async def _change(self, boxes: BoxList) -> None:
        await asyncio.sleep(self.lag_ms / 1000)
        self.boxes = boxes
