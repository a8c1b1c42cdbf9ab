"""A loopback proxy whose connections can be delayed, reset, silenced or cut one way."""

import asyncio
import enum
from dataclasses import dataclass

from spanshunt.standins.resets import reset

BLOCK = 65_536

HELD_UP_S = 3_600.0
"""How long a silenced connection holds what it carries, in s: longer than any run."""


class LinkFault(enum.Enum):
    """What a link does: to new connections and to those that it carries."""

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    NO_WAY_BACK = "no way back"


@dataclass(eq=False)
class Carried:
    """A connection under way; once ``silent`` it carries nothing more, for good."""

    silent: bool = False


class Link:
    """Carries connections to a target.

    Parameters
    ----------
    target : str
        ``host:port``.
    """

    def __init__(self, target: str) -> None:
        self.fault = LinkFault.NONE
        self.delay_s = 0.1
        self.address = ""
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._carried: set[Carried] = set()

    async def start(self) -> None:
        """Begin to listen on a free port."""
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def silence(self) -> None:
        """Let the connections open now go silent for good, unseen; new ones work."""
        for carried in self._carried:
            carried.silent = True

    async def stop(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        host, _, port = self._target.rpartition(":")
        ways: list[asyncio.Task[None]] = []
        carried = Carried()
        self._carried.add(carried)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
            ways = [
                asyncio.create_task(self._way(carried, reader, far_writer, back=False)),
                asyncio.create_task(self._way(carried, far_reader, writer, back=True)),
            ]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            if self.fault is LinkFault.RESET:
                for end in (writer, far_writer):
                    reset(end.transport)  # type: ignore[arg-type]
            far_writer.close()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for way in ways:
                way.cancel()
            self._tasks.discard(task)
            self._carried.discard(carried)
            writer.close()

    async def _way(
        self,
        carried: Carried,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        back: bool,
    ) -> None:
        try:
            while True:
                block = await reader.read(BLOCK)
                if carried.silent:
                    # Nothing arrives any more, an end of the connection neither.
                    await asyncio.sleep(HELD_UP_S)
                if not block:
                    return
                if self.fault is LinkFault.RESET:
                    return
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay_s)
                silent = self.fault is LinkFault.SILENT
                if silent or (self.fault is LinkFault.NO_WAY_BACK and back):
                    # Bytes once held up never arrive: later ones must not either.
                    await asyncio.sleep(HELD_UP_S)
                    return
                writer.write(block)
                await writer.drain()
        except ConnectionError:
            # A reset must arrive as one: an orderly end would complete an answer that
            # has no length.
            reset(writer.transport)  # type: ignore[arg-type]
        except asyncio.CancelledError:
            return
