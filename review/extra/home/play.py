"""A box that reaches no worker sends bodies through peers of another region.

Starts boxes of two regions with the deploy file's command, behind a stand-in of the store
and in front of stand-ins of workers. All connections to workers lead through a gate,
which sees which box opened each of them. For some seconds it resets those of one box.
With ``TROUBLE=0`` it resets none.
"""

import asyncio
import json
import os
import pathlib
import re
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

from spanshunt.standins.ports import free_ports
from spanshunt.standins.resets import reset
from spanshunt.standins.store import StoreStandin
from spanshunt.standins.worker import WorkerStandin

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

REGIONS = {"home-1": "home", "home-2": "home", "home-3": "home",
           "away-1": "away", "away-2": "away", "away-3": "away"}
"""The region of each zone; a box and a worker stand in each zone."""
HOST = "review.example"
KEY = "key-museo"
CUT_S = (5.0, 13.0)
"""From when until when one box is partitioned from all workers, in s."""
END_S = 18.0
PAUSE_S = 0.15
"""Pause between two requests of a consumer, in s."""
CALLERS_EACH = 3
"""Consumers of each box of the home region."""
WORK_S = 0.05

lines: list[str] = []
began = time.monotonic()


def tell(text: str) -> None:
    lines.append(f"{time.monotonic() - began:8.3f} {text}")


CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Name": "records",
            "Hostname": HOST,
            "PathPrefix": "/records/",
            "RouteType": "unsafe",
            "Backend": "desk",
            "MaxAttempts": 1,
            "TimeoutMs": 3000,
            "TargetLatencyMs": 400,
            "AllowedRegions": ["home"],
        }
    ],
    "Backends": [{"Name": "desk", "HealthPath": "/health"}],
    "Tenants": [{"Name": "museo", "ApiKeys": [KEY]}],
}


class Box:
    """One daemon."""

    def __init__(self, name: str, zone: str, ports: list[int], seeds: list[str]) -> None:
        self.name = name
        self.callers, self.readiness, self.peers, self.metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.zone, self.seeds = zone, seeds
        self.region = REGIONS[zone]
        self.process: asyncio.subprocess.Process | None = None

    def settings(self, store: str) -> dict[str, object]:
        """What the deploy file's template makes of a small deployment's fields."""
        return {
            "box": self.name,
            "domain": self.zone,
            "regions": REGIONS,
            "listen": {
                "callers": self.callers,
                "readiness": self.readiness,
                "peers": self.peers,
                "metrics": self.metrics,
            },
            "store": {"address": store},
            "seeds": self.seeds,
            "limits": {
                "cpu_share": 0.537,
                "memory_mb": 300,
                "link_mbps": 1000.0,
                "max_fds": 4200,
            },
            "bounds": {
                "grace_s": 8,
                "draining_ms": 2000,
                "in_force_ms": 2000,
                "expose_share": 0.15,
                "expose_slack": 30,
                "repeat_ratio": 0.9,
                "repeat_slack": 52,
                "repeat_window_s": 10,
            },
        }

    async def start(self, path: pathlib.Path) -> None:
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SPANSHUNT_NODE_FILE": str(path),
        }
        with path.with_suffix(".log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "src/spanshunt_node.py", cwd=ROOT, env=env,
                stdout=log, stderr=log,
            )

    def owns(self, inode: str) -> bool:
        """Tell whether a socket is this process's."""
        assert self.process is not None
        folder = f"/proc/{self.process.pid}/fd"
        wanted = f"socket:[{inode}]"
        for name in os.listdir(folder):
            try:
                if os.readlink(f"{folder}/{name}") == wanted:
                    return True
            except OSError:
                continue
        return False


def opener(port: int, gate: int, boxes: list[Box]) -> Box | None:
    """Return the box that opened a connection from a local port.

    On a network of machines its address would tell.
    """
    wanted = [f"0100007F:{port:04X}", f"0100007F:{gate:04X}"]
    with open("/proc/net/tcp", encoding="ascii") as table:
        inode = next((row.split()[9] for row in table if row.split()[1:3] == wanted), "")
    return next((box for box in boxes if box.owns(inode)), None) if inode else None


class Gate:
    """The way to one worker: notes whose connection carries which request."""

    def __init__(self, worker: WorkerStandin, zone: str, boxes: list[Box]) -> None:
        self.worker, self.zone, self.boxes = worker, zone, boxes
        self.cut: Box | None = None
        self.carried: list[tuple[str, Box]] = []
        self.port = 0
        self._open: dict[asyncio.StreamWriter, Box | None] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def cut_off(self, box: Box | None) -> None:
        """Reset what a box has open here, and all that it opens; None for no box."""
        self.cut = box
        for writer, owner in list(self._open.items()):
            if box is not None and owner is box:
                reset(writer.transport)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        box = opener(writer.get_extra_info("peername")[1], self.port, self.boxes)
        if box is not None and box is self.cut:
            reset(writer.transport)
            return
        self._open[writer] = box
        far_writer = None
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.worker.port
            )
            way = asyncio.create_task(self._back(far_reader, writer))
            while block := await reader.read(65_536):
                for name in re.findall(rb"attempt-id: *([\w-]+)", block, re.IGNORECASE):
                    if box is not None:
                        self.carried.append((name.decode(), box))
                far_writer.write(block)
                await far_writer.drain()
            way.cancel()
        except (ConnectionError, OSError):
            pass
        finally:
            self._open.pop(writer, None)
            for one in (writer, far_writer):
                if one is not None:
                    one.close()

    async def _back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while block := await reader.read(65_536):
                writer.write(block)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


async def ready(box: Box, http: aiohttp.ClientSession) -> bool:
    try:
        async with http.get(f"http://{box.readiness}/ready") as resp:
            return resp.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def caller(number: int, box: Box, results: dict[str, tuple[Box, str]]) -> None:
    """A consumer in the home region."""
    count = 0
    async with aiohttp.ClientSession() as http:
        while time.monotonic() - began < END_S:
            name = f"record-{number}-{count}"
            count += 1
            headers = {
                "Host": HOST,
                "Attempt-Id": name,
                "Deadline-Ms": "3000",
                "Credential": KEY,
            }
            try:
                async with http.post(
                    f"http://{box.callers}/records/x",
                    headers=headers,
                    data=f"personal data of {name}".encode(),
                    timeout=aiohttp.ClientTimeout(total=4.0),
                ) as resp:
                    await resp.read()
                    found = str(resp.status)
            except (aiohttp.ClientError, TimeoutError) as exc:
                found = type(exc).__name__
            results[name] = (box, found)
            tell(f"{name} by {box.name} ({box.region}): {found}")
            await asyncio.sleep(PAUSE_S)


async def play(folder: pathlib.Path) -> int:
    global began
    store = StoreStandin()
    runner = web.AppRunner(store.endpoint().app(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    ports = free_ports(4 * len(REGIONS))
    boxes: list[Box] = []
    for number, zone in enumerate(REGIONS):
        seeds = [box.peers for box in boxes[:3]]
        own = ports[4 * number : 4 * number + 4]
        boxes.append(Box(f"box-{zone}", zone, own, seeds))
    gates: list[Gate] = []
    for number, zone in enumerate(REGIONS):
        worker = WorkerStandin(f"desk-{number}")
        worker.holds = lambda _request: WORK_S
        worker.born = round(time.time() * 1_000)
        await worker.start()
        gate = Gate(worker, zone, boxes)
        await gate.start()
        gates.append(gate)
        await store.put("keyed.servers", worker.name, {
            "Backend": "desk", "Address": f"127.0.0.1:{gate.port}", "Zone": zone,
            "Version": "v1", "Slots": 32, "State": "ready", "born": worker.born,
        })
    await store.put("keyed.op", "config", CONFIG)
    results: dict[str, tuple[Box, str]] = {}
    try:
        for box in boxes:
            path = folder / f"{box.name}.json"
            path.write_text(json.dumps(box.settings(address)))
            await box.start(path)
        async with aiohttp.ClientSession() as http:
            for _ in range(150):
                if all([await ready(box, http) for box in boxes]):
                    break
                await asyncio.sleep(0.2)
            else:
                print("the boxes did not come up")
                return 2
        await asyncio.sleep(2.0)
        began = time.monotonic()
        near = [box for box in boxes if box.region == "home"]
        asking = [
            asyncio.create_task(caller(number, near[number % len(near)], results))
            for number in range(CALLERS_EACH * len(near))
        ]
        await asyncio.sleep(CUT_S[0])
        if TROUBLE:
            tell(f"{near[0].name} is partitioned from all workers")
            for gate in gates:
                gate.cut_off(near[0])
        await asyncio.sleep(CUT_S[1] - CUT_S[0])
        for gate in gates:
            gate.cut_off(None)
        tell("no box is partitioned")
        await asyncio.gather(*asking)
    finally:
        for box in boxes:
            if box.process is not None and box.process.returncode is None:
                box.process.kill()
                await box.process.wait()
        for gate in gates:
            gate.stop()
            await gate.worker.stop()
        await runner.cleanup()
    return judge(gates, results)


def judge(gates: list[Gate], results: dict[str, tuple[Box, str]]) -> int:
    """Count bodies that a box of the other region had, and workers there that ran any."""
    away, wrong = [], []
    for gate in gates:
        for name, box in gate.carried:
            if name not in results:
                continue
            if box.region != "home":
                away.append(name)
                tell(f"HOME: {name}, sent to {results[name][0].name}, came to "
                     f"{gate.worker.name} from {box.name} in region {box.region}")
            if REGIONS[gate.zone] != "home":
                wrong.append(name)
    carried = {name for gate in gates for name, box in gate.carried
               if name in results and box is not results[name][0]}
    served = sum(found == "200" for _, found in results.values())
    broken = bool(away or wrong)
    tell(f"{len(results)} requests, {served} served; {len(carried)} went through a peer, "
         f"{len(away)} of them through one in another region; {len(wrong)} reached a worker "
         f"there; broken: {broken}")
    print("\n".join(line for line in lines if "record-" not in line or "HOME" in line)[-1500:])
    return int(broken) if served else 2


def main() -> int:
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(pathlib.Path(folder)), 100.0))
        except Exception as exc:
            tell(f"could not run: {exc!r}")
            print(lines[-1])
            return 2
        finally:
            (HERE / "record.txt").write_text("\n".join(lines) + "\n")
            if "KEEP" in os.environ:
                os.system(f"cp {folder}/*.log {os.environ['KEEP']}")


sys.exit(main())
