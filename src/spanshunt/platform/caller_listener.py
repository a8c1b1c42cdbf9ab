"""Accepting callers' connections: all that wait at each turn of the event loop.

The loop's own servers may accept one connection a turn. A box whose turns grow long
then leaves the others in the queue of the kernel, where no deadline is known and
nothing counts them.
"""

import asyncio
import errno
import socket
import struct
import typing as t

from ..logs import log_event

BACKLOG = 1_024
"""Connections that may wait to be accepted."""

MAX_ACCEPTED = 128
"""Maximum number of connections accepted at a turn, so that others get theirs."""

RETRY_S = 0.1
"""Pause after the process had no descriptor or memory for a connection, in s."""

_EXHAUSTED = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def listen(address: str) -> socket.socket:
    """Return a socket that listens at ``host:port``."""
    host, _, port = address.rpartition(":")
    return socket.create_server((host, int(port)), backlog=BACKLOG)


class CallerListener:
    """Accepts connections of one listening socket until it is stopped.

    Parameters
    ----------
    sock : socket.socket
        The socket, which is closed when the listener stops.
    make_protocol : callable
        Returns the protocol of a connection.
    may_take : callable
        Returns whether the next connection is taken. One that is not is closed with
        nothing of it read.
    """

    def __init__(
        self,
        sock: socket.socket,
        make_protocol: t.Callable[[], asyncio.BaseProtocol],
        may_take: t.Callable[[], bool],
    ) -> None:
        self._sock = sock
        self._make_protocol = make_protocol
        self._may_take = may_take
        self._tasks: set[asyncio.Task[None]] = set()
        self._retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begin to accept connections."""
        self._sock.setblocking(False)
        self._sock.listen(BACKLOG)
        self._watch()

    def stop(self) -> None:
        """Accept no more connections; those that were accepted live on."""
        if self._sock.fileno() < 0:
            return
        if self._retry is not None:
            self._retry.cancel()
        asyncio.get_running_loop().remove_reader(self._sock)
        self._sock.close()

    def _watch(self) -> None:
        self._retry = None
        asyncio.get_running_loop().add_reader(self._sock, self._accept_waiting)

    def _accept_waiting(self) -> None:
        for _ in range(MAX_ACCEPTED):
            try:
                sock, _address = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                self._pause(exc)
                return
            self._take(sock)

    def _take(self, sock: socket.socket) -> None:
        if not self._may_take():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            sock.close()
            return
        sock.setblocking(False)
        task = asyncio.create_task(self._connect(sock))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_protocol, sock)
        except OSError as exc:
            sock.close()
            log_event("WARNING", "connection lost while accepted", detail=str(exc))

    def _pause(self, exc: OSError) -> None:
        """Wait a little, as the socket would stay readable meanwhile."""
        log_event(
            "ERROR",
            "connections not accepted",
            detail=str(exc),
            exhausted=exc.errno in _EXHAUSTED,
        )
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        self._retry = loop.call_later(RETRY_S, self._watch)
