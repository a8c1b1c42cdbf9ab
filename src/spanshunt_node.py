"""Starts a box on the platform: ``python3 src/spanshunt_node.py``."""

import json
import os
import signal
import socket

# Until the box is up nobody takes the signal, and it would end the process; the file is
# read later than this anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

BACKLOG = 1_024
"""Callers that may wait for the box to take their connections."""


def listen_for_callers() -> socket.socket | None:
    """Return a socket that listens where callers connect; None if that can't be done.

    What a box imports takes 0.4 to 0.6 s of a core, a second or more on a box of half a
    core. After all boxes ended callers come to boxes that are not up: with nothing
    listening they are refused and use up their retries within that second, so they wait
    in the queue instead. What is wrong with the settings is told by the whole check.
    """
    try:
        with open(os.environ["SPANSHUNT_NODE_FILE"], encoding="utf-8") as file:
            host, _, port = json.load(file)["listen"]["callers"].rpartition(":")
        found = socket.socket()
        found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        found.bind((host, int(port)))
        found.listen(BACKLOG)
        found.setblocking(False)
    except (KeyError, TypeError, AttributeError, ValueError, OSError):
        return None
    return found


callers = listen_for_callers()

# No connection of a box uses TLS. Without this, what the HTTP library does when it is
# imported reads all certificates of the machine: 70 ms of a core at each start, a sixth
# of what the imports take, before a box that was restarted takes its first request.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ.pop("SSL_CERT_DIR", None)

from spanshunt.platform.main import main  # noqa: E402

main(callers)
