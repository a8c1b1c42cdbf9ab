"""Free ports for processes that are told where to listen."""

import collections
import random
import socket

LOWEST, HIGHEST = 15_000, 32_000
"""Below the range that systems hand out by themselves: a port found free there would be
given to the next connection that asks for any."""

MAX_HELD = 256
"""Maximum number of ports held at once, the newest ones; each takes a descriptor."""

_draw = random.SystemRandom()
_held: collections.deque[socket.socket] = collections.deque()


def free_ports(count: int) -> list[int]:
    """Return different ports on which nothing listens on the loopback address.

    This process holds them, so that no other process that draws ports gets them before
    the one that is told to listen there. A server that reuses addresses, as servers do
    by default, may listen on a held port.
    """
    found: list[int] = []
    while len(found) < count:
        port = _draw.randrange(LOWEST, HIGHEST)
        if port not in found and _hold(port):
            found.append(port)
    while len(_held) > MAX_HELD:
        _held.popleft().close()
    return found


def _hold(port: int) -> bool:
    """Hold a port and return whether it was free."""
    sock = socket.socket()
    try:
        sock.bind(("127.0.0.1", port))
    except OSError:
        sock.close()
        return False
    # Only now, as the bind must fail where another process holds the port.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _held.append(sock)
    return True
