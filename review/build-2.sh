#!/bin/sh
# Prepares the stand-ins of the scripts of the second review: they are Python, of the
# project's own package and of review/fleet2, and need what the deploy file's build put
# into target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=src:target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c \
  "import aiohttp, spanshunt.standins.store, spanshunt.standins.worker"
