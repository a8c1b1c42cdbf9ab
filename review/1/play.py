"""A route whose streams may not be resumed is added; boxes end by themselves.

Starts boxes with the deploy file's command, behind a stand-in of the store and in front
of stand-ins of workers, and sends requests over kept connections. With ``TROUBLE=0``
the configuration is not changed; everything else is the same.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile
import time

import aiohttp
from aiohttp import web

from spanshunt.standins.ports import free_ports
from spanshunt.standins.store import StoreStandin
from spanshunt.standins.worker import WorkerStandin

HERE = pathlib.Path(__file__).parent
ROOT = HERE.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ZONES = ("north", "middle", "south")
BOXES = 6
ENGINES = 6
HOST = "review.example"
KEY = "key-museo"
CHANGE_S = 6.0
"""When the configuration changes, in s from the start of traffic."""
ASK_S = 9.0
"""When consumers begin to ask for the new route: over `ConfigApplyMs` later."""
END_S = 24.0
"""When the last request is sent."""
WRITERS, BOOKERS = 12, 60
"""Consumers of the streams, and of plain work that may run once, with one kept
connection each."""
BOOKING_S = 2.0
"""How long a worker takes for plain work, in s."""
PLAIN = 6
"""Workers of the plain service."""
AUDITORS = 2
"""Consumers that ask for the new route, one request after the other."""
AUDIT_EVERY_S = 0.5
"""Pause between two requests for the new route."""
RESTART_S = 0.5
"""After which the platform starts a process again that ended."""
LOST_MOST = 3
"""Rule LOST: a machine may close so many kept connections in this way."""
ENDS_MOST = 2
"""Rule Fault: processes may end by themselves so often in a day."""

lines: list[str] = []
began = time.monotonic()


def tell(text: str) -> None:
    lines.append(f"{time.monotonic() - began:8.3f} {text}")


def route(name: str, **more: object) -> dict[str, object]:
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": "streaming",
        "Backend": "writer",
        "Sizes": ["small", "large"],
        "MaxAttempts": 3,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 1500,
        "GapAimMs": 1200,
        "Priority": 1,
        **more,
    }


def config(version: int) -> dict[str, object]:
    routes = [
        route("draft", StreamResume=True),
        {
            "Name": "booking",
            "Hostname": HOST,
            "PathPrefix": "/booking/",
            "RouteType": "unsafe",
            "Backend": "desk",
            "MaxAttempts": 1,
            "TimeoutMs": 6000,
            "TargetLatencyMs": 3000,
        },
    ]
    if version > 1:
        # No `StreamResume`: such a stream is to be treated as `unsafe`.
        routes.append(route("audit"))
    models = [{"Name": "small", "Cost": 0.015}, {"Name": "large", "Cost": 0.22}]
    return {
        "Version": version,
        "Routes": routes,
        "Backends": [
            {"Name": "writer", "Engine": {"Models": models}},
            {"Name": "desk"},
        ],
        "Tenants": [{"Name": "museo", "ApiKeys": [KEY]}],
    }


class Sureness(dict[str, int]):
    """How sure models are: the small one of 6 answers in 10, the large one of all."""

    def __init__(self, number: int) -> None:
        super().__init__()
        self._rng = random.Random(number)

    def get(self, model: str, _default: object = None) -> int:
        if model == "small" and self._rng.random() < 0.4:
            return 20
        return 80


class Box:
    """One daemon, started again by the platform when it ended."""

    def __init__(self, name: str, zone: str, ports: list[int], seeds: list[str]) -> None:
        self.name = name
        self.callers, self.readiness, self.peers, self.metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.zone, self.seeds = zone, seeds
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[int] = []
        self.lost: list[str] = []
        self.stopped = False

    def settings(self, store: str) -> dict[str, object]:
        """What the deploy file's template makes of a small deployment's fields."""
        return {
            "box": self.name,
            "domain": self.zone,
            "regions": {zone: "here" for zone in ZONES},
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

    async def keep_running(self, path: pathlib.Path) -> None:
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SPANSHUNT_NODE_FILE": str(path),
        }
        while not self.stopped:
            with path.with_suffix(".log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    "python3", "src/spanshunt_node.py", cwd=ROOT, env=env,
                    stdout=log, stderr=log,
                )
            status = await self.process.wait()
            if self.stopped:
                return
            self.ends.append(status)
            tell(f"process {self.name} ended by itself with status {status}")
            await asyncio.sleep(RESTART_S)


async def ready(box: Box, http: aiohttp.ClientSession) -> bool:
    try:
        async with http.get(f"http://{box.readiness}/ready") as resp:
            return resp.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def ask(
    http: aiohttp.ClientSession, box: Box, name: str, path: str, kept: bool
) -> tuple[str, bool]:
    """Send one request; return what came of it and whether the connection is kept."""
    headers = {
        "Host": HOST,
        "Attempt-Id": name,
        "Deadline-Ms": "8000",
        "Credential": KEY,
    }
    if path != "booking":
        headers |= {
            "Model": "*",
            "Token-Counts": "900,60",
            "Prompt-Prefix": f"all:300,{name}:600",
        }
    tell(f"sent {name} to {box.name} /{path}/ {'kept' if kept else 'new'}")
    try:
        async with http.post(
            f"http://{box.callers}/{path}/x", headers=headers, data=b"a prompt",
            timeout=aiohttp.ClientTimeout(total=10.0),
        ) as resp:
            body = await resp.read()
            found = f"{resp.status}, {body.count(b'id: ')} events"
    except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as exc:
        found = f"closed without an answer ({type(exc).__name__})"
    except (aiohttp.ClientError, TimeoutError) as exc:
        found = f"cut ({type(exc).__name__})"
    tell(f"answer {name} from {box.name}: {found}")
    return found, found[0].isdigit()


async def caller(
    number: int, path: str, boxes: list[Box], results: dict[str, tuple[Box, bool, str]]
) -> None:
    """A consumer with one connection that it keeps for many requests."""
    box = boxes[number % len(boxes)]
    count, kept = 0, False
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1)) as http:
        http._retry_connection = False
        while time.monotonic() - began < END_S:
            name = f"{path}-{number}-{count}"
            found, goes_on = await ask(http, box, name, path, kept)
            results[name] = (box, kept, found)
            kept, count = goes_on, count + 1
            if not goes_on:
                # The balancer passes a new connection to a box that is ready.
                await asyncio.sleep(0.5)
                ready_boxes = [one for one in boxes if await ready(one, http)]
                box = ready_boxes[number % len(ready_boxes)] if ready_boxes else box


async def auditor(
    first: int, boxes: list[Box], results: dict[str, tuple[Box, bool, str]]
) -> None:
    """Consumers of the new route, each on a new connection."""
    await asyncio.sleep(ASK_S)
    count = first
    while time.monotonic() - began < END_S:
        box = boxes[count // AUDITORS % len(boxes)]
        name = f"audit-{count}"
        async with aiohttp.ClientSession() as http:
            found, _ = await ask(http, box, name, "audit", False)
        results[name] = (box, False, found)
        count += AUDITORS
        await asyncio.sleep(AUDIT_EVERY_S)


async def play(folder: pathlib.Path) -> int:
    global began
    store = StoreStandin()
    runner = web.AppRunner(store.endpoint().app(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    workers = []
    for number in range(ENGINES + PLAIN):
        engine = number < ENGINES
        worker = WorkerStandin(f"{'engine' if engine else 'desk'}-{number}")
        if not engine:
            worker.holds = lambda _request: BOOKING_S
        worker.events, worker.event_s = 20, 0.05
        worker.sureness = Sureness(number)
        worker.born = round(time.time() * 1_000)
        await worker.start()
        workers.append(worker)
        await store.put("keyed.servers", worker.name, {
            "Backend": "writer" if engine else "desk", "Address": worker.address,
            "Zone": ZONES[number % 3], "Version": "v1", "Slots": 32,
            "State": "ready", "born": worker.born,
        })
    await store.put("keyed.op", "config", config(1))
    ports = free_ports(4 * BOXES)
    boxes: list[Box] = []
    for number in range(BOXES):
        seeds = [box.peers for box in boxes[:3]]
        boxes.append(
            Box(f"box-{number}", ZONES[number % 3], ports[4 * number : 4 * number + 4], seeds)
        )
    running = []
    results: dict[str, tuple[Box, bool, str]] = {}
    try:
        for box in boxes:
            path = folder / f"{box.name}.json"
            path.write_text(json.dumps(box.settings(address)))
            running.append(asyncio.create_task(box.keep_running(path)))
        async with aiohttp.ClientSession() as http:
            for _ in range(150):
                if all([await ready(box, http) for box in boxes]):
                    break
                await asyncio.sleep(0.2)
            else:
                print("the boxes did not come up")
                return 2
        began = time.monotonic()
        paths = ["draft"] * WRITERS + ["booking"] * BOOKERS
        asking = [
            asyncio.create_task(caller(number, path, boxes, results))
            for number, path in enumerate(paths)
        ]
        asking += [
            asyncio.create_task(auditor(first, boxes, results))
            for first in range(AUDITORS)
        ]
        await asyncio.sleep(CHANGE_S)
        if TROUBLE:
            await store.put("keyed.op", "config", config(2))
            tell("the store acknowledged configuration 2, which adds the route audit")
        await asyncio.gather(*asking)
    finally:
        for box in boxes:
            box.stopped = True
            if box.process is not None and box.process.returncode is None:
                box.process.kill()
        await asyncio.gather(*running, return_exceptions=True)
        for worker in workers:
            await worker.stop()
        await runner.cleanup()
    return judge(boxes, workers, results)


def judge(boxes, workers, results) -> int:
    """Judge by what consumers and workers saw, and by processes that ended."""
    ran = {request for worker in workers for request in worker.ran}
    for worker in workers:
        for seen in worker.seen:
            model = seen.headers.get("model", "none")
            tell(f"reached {worker.name}: {seen.request} model {model}")
    served = sum(found.startswith("200") for _, _, found in results.values())
    for name, (box, kept, found) in results.items():
        if kept and name in ran and found.startswith("closed without an answer"):
            box.lost.append(name)
    broken = False
    for box in boxes:
        if len(box.lost) > LOST_MOST:
            broken = True
            tell(f"LOST: {box.name} closed {len(box.lost)} kept connections without an answer: {box.lost}")
    ends = sum(len(box.ends) for box in boxes)
    ended = sum(bool(box.ends) for box in boxes)
    if ends > ENDS_MOST and ended >= 2:
        broken = True
        tell(f"Fault: processes ended by themselves {ends} times, on {ended} of {len(boxes)} machines")
    tell(f"{len(results)} requests, {served} served, {len(ran)} ran; broken: {broken}")
    print("\n".join(lines[-12:]))
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
