"""Cuts between one box and all workers, inside one process."""

import asyncio
import enum
import errno
import typing as t

import aiohttp

from fleet_builders import Box
from spanshunt.platform.workers import CONNECT_TIMEOUT_S
from spanshunt.worker_probes import PROBE_S
from spanshunt.worker_probes import Presence


class OpenConnections(enum.Enum):
    """What becomes of the connections that are open when a cut begins."""

    HANG = "hang"
    RESET = "reset"
    LIVE_ON = "live on"


def silence_open_connections(box: Box) -> None:
    """Let a box's open connections to workers go silent; new ones work."""
    workers = box.node._workers
    for session in (workers._kept, workers._fresh):
        assert session is not None
        connector: t.Any = session.connector
        idle = [proto for rows in connector._conns.values() for proto, _ in rows]
        for proto in [*idle, *connector._acquired]:
            proto.data_received = lambda _data: None


class WorkerCut:
    """Keeps a box from all workers: new connections hang or are refused.

    Parameters
    ----------
    box : Box
        The box.
    refused : bool
        Whether new connections are refused; else they hang until they time out.
    open_ones : OpenConnections
        What becomes of the open ones.
    """

    def __init__(self, box: Box, *, refused: bool, open_ones: OpenConnections) -> None:
        self._box = box
        self._refused = refused
        self._open_ones = open_ones
        self._undo: list[t.Callable[[], None]] = []

    def begin(self) -> None:
        """Begin the cut."""
        workers = self._box.node._workers
        for session in (workers._kept, workers._fresh):
            assert session is not None
            connector: t.Any = session.connector
            self._strike_open(connector)
            self._replace(connector, "_create_connection", self._fail_to_connect)
        core = self._box.node.core
        sender: t.Any = getattr(self._box.node, "_sender", None)
        if sender is None:
            self._replace(core, "probe", self._probe)
        else:
            self._replace(sender, "_probe", self._probe)

    def end(self) -> None:
        """End the cut; connections that were struck stay as they are."""
        for undo in self._undo:
            undo()
        self._undo.clear()

    def _replace(self, owner: t.Any, name: str, value: t.Any) -> None:
        before = getattr(owner, name)
        setattr(owner, name, value)
        self._undo.append(lambda: setattr(owner, name, before))

    def _strike_open(self, connector: t.Any) -> None:
        idle = [proto for rows in connector._conns.values() for proto, _ in rows]
        for proto in [*idle, *connector._acquired]:
            if self._open_ones is OpenConnections.RESET:
                proto.transport.abort()
            elif self._open_ones is OpenConnections.HANG:
                proto.data_received = lambda _data: None

    async def _fail_to_connect(self, req: t.Any, *_args: t.Any) -> t.NoReturn:
        if self._refused:
            exc = OSError(errno.ECONNREFUSED, "refused")
            raise aiohttp.ClientConnectorError(req.connection_key, exc)
        await asyncio.sleep(CONNECT_TIMEOUT_S)
        raise aiohttp.ConnectionTimeoutError

    async def _probe(self, _worker: t.Any) -> Presence:
        if self._refused:
            return Presence.GONE
        await asyncio.sleep(PROBE_S)
        return Presence.UNKNOWN


class AcceptingCut(WorkerCut):
    """Keeps a box from all workers by a proxy that takes connections in their place.

    Parameters
    ----------
    box : Box
        The box.
    silent : bool
        Whether the proxy then says nothing; else it resets a connection once it got
        something.
    open_ones : OpenConnections
        What becomes of the open ones.
    """

    def __init__(self, box: Box, *, silent: bool, open_ones: OpenConnections) -> None:
        super().__init__(box, refused=False, open_ones=open_ones)
        self._silent = silent
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin the cut."""
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        workers = self._box.node._workers
        for session in (workers._kept, workers._fresh):
            assert session is not None
            connector: t.Any = session.connector
            self._strike_open(connector)
            create = connector._create_connection

            async def redirect(
                req: t.Any, *args: t.Any, create: t.Any = create
            ) -> t.Any:
                req.url = req.url.with_port(port)
                return await create(req, *args)

            self._replace(connector, "_create_connection", redirect)

    async def stop(self) -> None:
        """End the cut and the proxy."""
        self.end()
        assert self._server is not None
        self._server.close()

    async def _take(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(65_536):
            if not self._silent:
                writer.transport.abort()
                return
        writer.close()
