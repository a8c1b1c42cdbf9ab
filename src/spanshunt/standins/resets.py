"""Resets of connections: a plain close would look like an orderly end."""

import asyncio
import socket
import struct

_LINGER_NONE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection at once, dropping what was not sent.

    One that its peer has ended meanwhile is left as it is.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
