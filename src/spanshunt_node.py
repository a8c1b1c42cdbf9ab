"""Starts a box on the platform: ``python3 src/spanshunt_node.py``."""

from spanshunt.platform.node import main

main()
