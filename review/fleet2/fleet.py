"""A small deployment for the scripts of the second review.

Boxes are started as separate processes with the command of the deploy file; the store
and the workers are the project's own stand-ins, in the process of the script. All
addresses are of loopback.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback
import typing as t

import aiohttp
from aiohttp import web

from spanshunt.standins.ports import free_ports
from spanshunt.standins.store import StoreEndpoint
from spanshunt.standins.store import StoreStandin
from spanshunt.standins.worker import WorkerStandin

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "case.example"
KEY, TENANT = "key-of-crew", "crew"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {
    "grace_s": 8,
    "draining_ms": 2000,
    "in_force_ms": 2000,
    "expose_share": 0.15,
    "expose_slack": 30,
    "repeat_ratio": 0.9,
    "repeat_slack": 54,
    "repeat_window_s": 10,
}
"""What the template of the settings fills in for the site hmt-detbuch."""


class CouldNotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to `record.txt` of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, in s."""
        return time.monotonic() - self._began

    def line(self, text: str) -> None:
        """Write a line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Write all."""
        self._file.close()


class Box:
    """One box: its settings, its process, its way to the store."""

    def __init__(self, name: str, zone: str, listen: dict[str, str]) -> None:
        self.name, self.zone, self.listen = name, zone, listen
        self.endpoint: StoreEndpoint | None = None
        self.settings = pathlib.Path()
        self.process: asyncio.subprocess.Process | None = None

    @property
    def callers(self) -> str:
        """Where consumers connect."""
        return self.listen["callers"]

    def signal(self, number: int) -> None:
        """Send a signal to its process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Fleet:
    """Boxes, workers and the store."""

    def __init__(self, record: Record, zones: t.Sequence[str]) -> None:
        self.record = record
        self.zones = list(zones)
        self.store = StoreStandin()
        self.boxes: list[Box] = []
        self.workers: dict[str, WorkerStandin] = {}
        self.entries: dict[str, dict[str, t.Any]] = {}
        self.folder = tempfile.TemporaryDirectory()
        self._runners: list[web.AppRunner] = []
        self._version = 0
        self._tasks: set[asyncio.Task[t.Any]] = set()

    async def configure(self, config: dict[str, t.Any]) -> int:
        """Write a configuration under the next version and return the version."""
        self._version += 1
        await self.store.put("keyed.op", "config", {"Version": self._version, **config})
        self.record.line(f"configuration {self._version} acknowledged")
        return self._version

    async def add_worker(
        self, service: str, zone: str, version: str = "v1", slots: int = 6
    ) -> WorkerStandin:
        """Start a worker and list it."""
        name = f"i-{service}-{len(self.workers)}"
        worker = WorkerStandin(name, version)
        await worker.start()
        self.workers[name] = worker
        self.entries[name] = {
            "Backend": service,
            "Address": worker.address,
            "Zone": zone,
            "Version": version,
            "Slots": slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
        }
        await self.store.put("keyed.servers", name, self.entries[name])
        return worker

    async def drop_entry(self, name: str) -> None:
        """Drop a worker's entry."""
        await self.store.put("keyed.servers", name, None)

    async def start_boxes(self, each: int, **settings: t.Any) -> None:
        """Start boxes in each zone and wait until all are ready."""
        names = [
            (f"front-{zone}-{n}", zone) for zone in self.zones for n in range(each)
        ]
        ports = free_ports(4 * len(names))
        kinds = ("callers", "readiness", "peers", "metrics")
        for i, (name, zone) in enumerate(names):
            mine = ports[4 * i : 4 * i + 4]
            listen = {k: f"127.0.0.1:{p}" for k, p in zip(kinds, mine, strict=True)}
            self.boxes.append(Box(name, zone, listen))
        seeds = [box.listen["peers"] for box in self.boxes[:3]]
        for box in self.boxes:
            box.endpoint = self.store.endpoint()
            runner = web.AppRunner(
                box.endpoint.app(), handler_cancellation=True, shutdown_timeout=0.1
            )
            await runner.setup()
            self._runners.append(runner)
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            body = {
                "box": box.name,
                "domain": box.zone,
                "regions": dict.fromkeys(self.zones, "oberbayern"),
                "listen": box.listen,
                "store": {"address": f"127.0.0.1:{runner.addresses[0][1]}"},
                "seeds": seeds,
                "limits": {
                    "cpu_share": 0.537,
                    "memory_mb": 150,
                    "link_mbps": 1000.0,
                    "max_fds": 4100,
                },
                "bounds": BOUNDS,
                **settings,
            }
            box.settings = pathlib.Path(self.folder.name) / f"{box.name}.json"
            box.settings.write_text(json.dumps(body), encoding="utf-8")
            await self.start_box(box)
        for box in self.boxes:
            await self.await_ready(box)

    async def start_box(self, box: Box) -> None:
        """Start a box's process with the command of the deploy file."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SPANSHUNT_NODE_FILE": str(box.settings),
        }
        with box.settings.with_suffix(".log").open("ab") as log:
            box.process = await asyncio.create_subprocess_exec(
                "python3",
                "src/spanshunt_node.py",
                env=env,
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self.record.line(f"{box.name} started")

    async def await_ready(self, box: Box, wait: float = 20.0) -> None:
        """Wait until a box answers 200 to `/ready`."""
        end = time.monotonic() + wait
        async with aiohttp.ClientSession() as http:
            while time.monotonic() < end:
                if await is_ready(http, box):
                    self.record.line(f"{box.name} ready")
                    return
                await asyncio.sleep(0.1)
        tail = box.settings.with_suffix(".log").read_text()[-1500:]
        raise CouldNotRunError(f"{box.name} was not ready: {tail}")

    def lines(self, event: str) -> list[str]:
        """Return the boxes' log lines that tell of an event."""
        found = []
        for box in self.boxes:
            for row in box.settings.with_suffix(".log").read_text().splitlines():
                if event in row:
                    found.append(f"{box.name}: {row}")
        return found

    def record_runs(self) -> None:
        """Write which worker ran which requests."""
        for name, worker in self.workers.items():
            ran = " ".join(worker.ran)
            self.record.line(f"{name} ({worker.version}) ran: {ran}")

    async def stop(self) -> None:
        """End all that was started."""
        for box in self.boxes:
            box.signal(signal.SIGCONT)
            box.signal(signal.SIGKILL)
            if box.process is not None:
                await box.process.wait()
        for worker in self.workers.values():
            await worker.stop()
        for runner in self._runners:
            await runner.cleanup()
        self.folder.cleanup()


async def is_ready(http: aiohttp.ClientSession, box: Box) -> bool:
    """Return whether a box answers 200 to `/ready`."""
    try:
        timeout = aiohttp.ClientTimeout(total=0.5)
        url = f"http://{box.listen['readiness']}/ready"
        async with http.get(url, timeout=timeout) as resp:
            return resp.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


def run(
    folder: pathlib.Path,
    case: t.Callable[[Fleet, Record], t.Awaitable[bool]],
    zones: t.Sequence[str] = ("halle-a", "halle-b", "keller-c"),
) -> t.NoReturn:
    """Run a case; `case` returns whether the rule held."""

    async def main() -> int:
        record = Record(folder)
        fleet = Fleet(record, zones)
        record.line(f"TROUBLE={'1' if TROUBLE else '0'}")
        try:
            async with asyncio.timeout(115):
                held = await case(fleet, record)
            fleet.record_runs()
            record.line("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except Exception as exc:
            record.line(f"the case could not run: {type(exc).__name__} {exc}")
            traceback.print_exc()
            return 2
        finally:
            with contextlib.suppress(Exception):
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for box in fleet.boxes:
                        log = box.settings.with_suffix(".log")
                        (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
            await fleet.stop()
            record.close()

    sys.exit(asyncio.run(main()))
