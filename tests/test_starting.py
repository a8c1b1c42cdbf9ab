"""A box that starts: what callers meet who come before it is up.

Seen: after all boxes had ended, 200 of 19,000 callers of a day found nothing listening.
Both of their tries were refused within a second, while the boxes that they would have
been served by were still importing. Proof: the boxes' lines tell that they started 1.2
to 1.6 s after the power was back; every one of those tries came before.
"""

import asyncio
import json
import os
import pathlib
import signal
import sys
import typing as t

import msgspec
import pytest
from loguru import logger

from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.standins.ports import free_ports

START = pathlib.Path(__file__).parent.parent / "src" / "spanshunt_node.py"

GATE = """
import importlib.abc, pathlib, sys, time

class Gate(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        while name == "aiohttp" and not pathlib.Path({go!r}).exists():
            time.sleep(0.01)
        return None

sys.meta_path.insert(0, Gate())
"""
"""Holds the process up where it imports most, until a file is there."""


IMPORT = """
import pathlib, sys, time

pathlib.Path({began!r}).touch()
while not pathlib.Path({go!r}).exists():
    time.sleep(0.01)
sys.exit(7)
"""
"""Stands in for what a box imports: waits until a file is there, and ends."""


def write_settings(fleet: TestFleet, folder: pathlib.Path) -> tuple[pathlib.Path, int]:
    """Write settings of one more box of a fleet; return their path, and its port."""
    ports = free_ports(4)
    names = ("callers", "readiness", "peers", "metrics")
    near = fleet.boxes[0].node.settings
    settings = {
        "box": "box-9",
        "domain": "north",
        "listen": {
            name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
        },
        "store": msgspec.to_builtins(near.store),
        "seeds": [near.listen.peers],
    }
    path = folder / "box.json"
    path.write_text(json.dumps(settings))
    return path, ports[0]


async def is_up(port: int) -> bool:
    """Tell whether anything listens."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


async def test_caller_that_comes_while_a_box_starts_waits_for_it(
    tmp_path: pathlib.Path,
):
    async with running_fleet() as fleet:
        path, port = write_settings(fleet, tmp_path)
        go = tmp_path / "go"
        (tmp_path / "sitecustomize.py").write_text(GATE.format(go=str(go)))
        env = {
            **os.environ,
            "PYTHONPATH": str(tmp_path),
            "SPANSHUNT_NODE_FILE": str(path),
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(START), env=env, stdout=asyncio.subprocess.DEVNULL
        )
        try:
            for _ in range(500):
                if await is_up(port):
                    break
                await asyncio.sleep(0.02)
            asking = asyncio.create_task(ask(fleet, port))
            await asyncio.sleep(0.1)
            assert not asking.done()
            go.touch()
            assert await asking == 200
        finally:
            process.send_signal(signal.SIGKILL)
            await process.wait()


async def ask(fleet: TestFleet, port: int) -> int:
    """Ask as a caller does; return the status."""
    headers = fleet.headers("/look/a", "key-of-museo", {"Deadline-Ms": "9000"})
    url = f"http://127.0.0.1:{port}/look/a"
    async with fleet.http.get(url, headers=headers) as resp:
        return resp.status


async def test_settings_that_can_not_be_read_are_told_as_before(
    tmp_path: pathlib.Path,
):
    for text in ("", "[]", '{"listen": 7}', '{"listen": {"callers": "nowhere"}}'):
        path = tmp_path / "box.json"
        path.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(START),
            env={**os.environ, "SPANSHUNT_NODE_FILE": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, err = await process.communicate()
        assert process.returncode == 2
        assert b"spanshunt-node:" in err


async def test_signal_to_a_box_that_starts_does_not_end_it(
    tmp_path: pathlib.Path,
):
    """Settings files of a whole fleet change at once, also of boxes that just start.

    The process knew no such signal before it was up, so it ended, and with it the
    connections of callers that waited for it. Proof: it ended with the signal.
    """
    began, go = tmp_path / "began", tmp_path / "go"
    gate = tmp_path / "gate" / "spanshunt"
    gate.mkdir(parents=True)
    gate.joinpath("__init__.py").write_text(IMPORT.format(began=str(began), go=str(go)))
    script = tmp_path / "gate" / "spanshunt_node.py"
    script.write_text(START.read_text())
    env = {**os.environ, "SPANSHUNT_NODE_FILE": str(tmp_path / "none.json")}
    process = await asyncio.create_subprocess_exec(sys.executable, str(script), env=env)
    await until(began.exists, "the process runs")
    process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.1)
    go.touch()
    assert await process.wait() == 7


async def test_box_that_is_not_ready_logs_what_it_waits_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("spanshunt.platform.node.UNREADY_LINE_MS", 50)
    reasons: list[str] = []

    def append_reason(message: t.Any) -> None:
        record = message.record
        if record["message"] == "not ready":
            reasons.append(record["extra"]["data"]["reason"])

    sink = logger.add(append_reason, level="INFO")
    fleet = TestFleet()
    try:
        await fleet.add_box()
        await until(lambda: bool(reasons), "the line")
    finally:
        logger.remove(sink)
        await fleet.stop()
    assert set(reasons) == {"no catalog is known"}
