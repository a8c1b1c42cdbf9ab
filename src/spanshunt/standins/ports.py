"""Free ports for processes that are told where to listen."""

import random
import socket

LOWEST, HIGHEST = 15_000, 32_000
"""Below the range that systems hand out by themselves: a port found free there would be
given to the next connection that asks for any."""

_draw = random.SystemRandom()


def free_ports(count: int) -> list[int]:
    """Return different ports on which nothing listens on the loopback address."""
    found: list[int] = []
    while len(found) < count:
        port = _draw.randrange(LOWEST, HIGHEST)
        if port not in found and _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
