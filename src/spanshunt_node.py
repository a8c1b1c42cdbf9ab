"""Starts a box on the platform: ``python3 src/spanshunt_node.py``."""

import os

# No connection of a box uses TLS. Without this, what the HTTP library does when it is
# imported reads all certificates of the machine: 70 ms of a core at each start, a sixth
# of what the imports take, before a box that was restarted takes its first request.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ.pop("SSL_CERT_DIR", None)

from spanshunt.platform.node import main

main()
