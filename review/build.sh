#!/usr/bin/env bash
# Readies what the scripts start: the project's own stand-ins, which need nothing beyond
# what the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src
python3 - <<'PY'
import aiohttp
import msgspec

import spanshunt.standins.ports
import spanshunt.standins.store
import spanshunt.standins.worker
PY
echo "review: stand-ins ready"
