"""The process of a box: its settings, its logs, and the signals that it takes."""

import asyncio
import os
import signal
import socket
import sys

import uvloop

from ..clock import Clock
from ..exceptions import SettingsError
from ..library_logs import route_library_logs
from ..logs import LineQueue
from ..logs import keep_flushing
from ..logs import log_event
from ..logs import set_up_logs
from .node import Node
from .settings import PATH_VARIABLE
from .settings import NodeSettings
from .settings import load_node_settings

EXIT_SETTINGS = 2
"""Exit status when the settings can't be used."""


def main(callers: socket.socket | None = None) -> None:
    """Run a box; the settings file's path is in the environment.

    `callers` listens where callers connect already, if anything does.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    try:
        settings = load_node_settings(path)
    except SettingsError as exc:
        print(f"spanshunt-node: {exc}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    lines = set_up_logs(settings.logging, settings.box)
    sys.exit(uvloop.run(_run(settings, path, lines, callers)))


async def _run(
    settings: NodeSettings,
    path: str,
    lines: LineQueue,
    callers: socket.socket | None,
) -> int:
    node = Node(settings, Clock(), callers, path, lines)
    route_library_logs(node.counters.add)
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, node.stop_asked.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    flusher = asyncio.create_task(keep_flushing(lines))
    try:
        await node.start()
    except OSError as exc:
        log_event("ERROR", "not started", detail=f"can't listen: {exc}")
        lines.flush()
        return EXIT_SETTINGS
    await node.stop_asked.wait()
    await node.stop()
    flusher.cancel()
    lines.flush()
    return 1 if node.broken else 0
