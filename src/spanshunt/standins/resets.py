"""Resets of connections: a plain close would look like an orderly end."""

import asyncio
import socket
import struct

_LINGER_NONE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection at once, dropping what was not sent."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
