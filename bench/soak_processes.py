"""A fault soak of real daemons: separate processes, signals, links and a bad store.

``make soak-processes SEEDS=3 DURATION_S=20`` plays random schedules. Promises are
checked from what callers and workers see: workers and store are stand-ins in this
process, which record what reaches them. A seed that failed stays in ``REGRESSIONS``
with its cause. ``--mutation NAME`` runs daemons with a bug put in: the soak must fail.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import typing as t
from dataclasses import dataclass
from dataclasses import field

import aiohttp
import cappa
from aiohttp import web

from spanshunt.standins.ports import free_ports
from spanshunt.standins.store import EndpointFault
from spanshunt.standins.store import StoreEndpoint
from spanshunt.standins.store import StoreStandin
from spanshunt.standins.worker import WorkerFault
from spanshunt.standins.worker import WorkerStandin

from .links import Link
from .links import LinkFault

ROOT = pathlib.Path(__file__).parent.parent
HOST = "soak.example"
KEYS = {"museo": "key-museo", "radio": "key-radio"}
BOXES = 4
CALLERS = 12
DRAINING_S = 2.0
IN_FORCE_S = 2.0
CALM_S = 8.0
"""A box counts for promises with a time bound when nothing struck it for this long, in
s: what a box in touch needs, and the longest stretch that an unstable store allows."""

REGRESSIONS: dict[int, str] = {}
"""Seeds that ever failed, with a line on the cause."""


class Mutation(t.NamedTuple):
    """A bug to put in: in which file of the package, which text, and by what."""

    file: str
    old: str
    new: str


MUTATIONS = {
    "twice": Mutation(
        "repeating.py",
        "not route.repeatable:\n        return False\n    if state.runs >= ",
        "False:\n        return False\n    if state.runs >= 2 + ",
    ),
    "not run": Mutation(
        "settling.py",
        "        return Refusal(Problem.BACKEND_FAILED, detail, Run.UNKNOWN)",
        "        return Refusal(Problem.OVERLOADED, detail, Run.NO)",
    ),
    "events": Mutation("relaying.py", "state.last_event = events.last_id", "pass"),
    "organisation": Mutation("platform/workers.py", "= dispatch.org", '= "radio"'),
    "leaving": Mutation(
        "systems/following_workers.py", "if item.draining and", "if False and"
    ),
    "revoked": Mutation(
        "exchange.py",
        "catalog.version <= fleet.catalog.version",
        "catalog.version <= fleet.catalog.version + 1_000",
    ),
}
"""What the soak must find, one for each promise that it checks."""


@dataclass
class BoxProcess:
    """One daemon: its process, its way to the store, and when it was last struck."""

    name: str
    settings: pathlib.Path
    callers: str
    readiness: str
    endpoint: StoreEndpoint
    link: Link
    process: asyncio.subprocess.Process | None = None
    struck: float = 0.0


@dataclass
class Sent:
    """One request of a caller, and what came of it."""

    request: str
    path: str
    org: str
    key: str
    box: BoxProcess
    at: float
    status: int = 0


@dataclass
class Soak:
    """One schedule under way."""

    rng: random.Random
    folder: pathlib.Path
    source: pathlib.Path
    store: StoreStandin = field(default_factory=StoreStandin)
    boxes: list[BoxProcess] = field(default_factory=list)
    workers: dict[str, WorkerStandin] = field(default_factory=dict)
    links: dict[str, Link] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)
    draining: dict[str, float] = field(default_factory=dict)
    revoked: dict[str, float] = field(default_factory=dict)
    sent: dict[str, Sent] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    runners: list[web.AppRunner] = field(default_factory=list)
    version: int = 1
    answered: int = 0
    spared: int = 0

    def now(self) -> float:
        """Return the time, in s."""
        return asyncio.get_running_loop().time()

    def fail(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.broken.append(f"{promise}: {detail}")


def _config(soak: Soak) -> dict[str, t.Any]:
    def route(name: str, kind: str, service: str, **more: t.Any) -> dict[str, t.Any]:
        base = {"Name": name, "Hostname": HOST, "PathPrefix": f"/{name}/"}
        timing = {"TimeoutMs": 4000, "TargetLatencyMs": 400, "GapAimMs": 600}
        return {**base, **timing, "RouteType": kind, "Backend": service, **more}

    return {
        "Version": soak.version,
        "Routes": [
            route("once", "unsafe", "web"),
            route("safe", "safe", "web", MaxAttempts=2),
            route(
                "stream",
                "streaming",
                "writer",
                MaxAttempts=3,
                StreamResume=True,
                Sizes=["small", "large"],
            ),
        ],
        "Backends": [
            {"Name": "web"},
            {"Name": "writer", "Engine": {"Models": [{"Name": "large", "Cost": 0.1}]}},
        ],
        "Tenants": [
            {"Name": org, "ApiKeys": [] if key in soak.revoked else [key]}
            for org, key in KEYS.items()
        ],
    }


async def _configure(soak: Soak) -> None:
    soak.version += 1
    await soak.store.put("keyed.op", "config", _config(soak))


async def _list_worker(soak: Soak, name: str, state: str = "ready") -> None:
    body = {
        "Backend": soak.services[name],
        "Address": soak.links[name].address,
        "Zone": "north",
        "Version": soak.workers[name].version,
        "Slots": 8,
        "State": state,
    }
    await soak.store.put("keyed.servers", name, body)


async def _add_worker(soak: Soak, service: str, version: str = "v1") -> str:
    name = f"{service}-{len(soak.workers)}"
    worker = WorkerStandin(name, version)
    worker.events, worker.event_s = 6, 0.02
    worker.sureness = {"small": soak.rng.randrange(100), "large": 90}
    await worker.start()
    soak.workers[name], soak.services[name] = worker, service
    soak.links[name] = Link(worker.address)
    await soak.links[name].start()
    await _list_worker(soak, name)
    return name


async def _add_box(soak: Soak, ports: list[int], seeds: list[str]) -> None:
    number = len(soak.boxes) + 1
    endpoint = soak.store.endpoint()
    runner = web.AppRunner(
        endpoint.app(), handler_cancellation=True, shutdown_timeout=0.1
    )
    await runner.setup()
    soak.runners.append(runner)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    link = Link(f"127.0.0.1:{runner.addresses[0][1]}")
    await link.start()
    names = ("callers", "readiness", "peers", "metrics")
    listen = {
        name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
    }
    settings = {
        "box": f"box-{number}",
        "domain": "north" if number % 2 else "south",
        "listen": listen,
        "store": {"address": link.address, "timeout_ms": 800},
        "seeds": seeds,
        "bounds": {"repeat_ratio": 0.9, "repeat_slack": 60.0},
    }
    path = soak.folder / f"box-{number}.json"
    path.write_text(json.dumps(settings))
    box = BoxProcess(
        f"box-{number}", path, listen["callers"], listen["readiness"], endpoint, link
    )
    soak.boxes.append(box)
    await _start(soak, box)


async def _start(soak: Soak, box: BoxProcess) -> None:
    env = {**os.environ, "SPANSHUNT_NODE_FILE": str(box.settings)}
    with (soak.folder / f"{box.name}.log").open("ab") as log:
        box.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(soak.source / "spanshunt_node.py"),
            env=env,
            stdout=log,
            stderr=log,
        )


def _signal(box: BoxProcess, number: int) -> None:
    if box.process is not None and box.process.returncode is None:
        box.process.send_signal(number)


async def _restart(soak: Soak, box: BoxProcess, number: int, pause: float) -> None:
    _signal(box, number)
    if box.process is not None:
        await box.process.wait()
    await asyncio.sleep(pause)
    await _start(soak, box)
    box.struck = soak.now()


async def _freeze(soak: Soak, box: BoxProcess, seconds: float) -> None:
    _signal(box, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    _signal(box, signal.SIGCONT)
    box.struck = soak.now()


async def _harm_store(soak: Soak, box: BoxProcess) -> None:
    if soak.rng.random() < 0.5:
        box.endpoint.fault = soak.rng.choice(list(EndpointFault))
    else:
        box.link.fault = soak.rng.choice(list(LinkFault))
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    box.endpoint.fault, box.link.fault = EndpointFault.NONE, LinkFault.NONE
    box.struck = soak.now()


async def _harm_worker(soak: Soak) -> None:
    name = soak.rng.choice(list(soak.workers))
    worker, link = soak.workers[name], soak.links[name]
    if soak.rng.random() < 0.6:
        worker.fault = soak.rng.choice(list(WorkerFault))
    else:
        link.fault = soak.rng.choice(list(LinkFault))
    await asyncio.sleep(soak.rng.uniform(0.2, 2.0))
    worker.fault, link.fault = WorkerFault.NONE, LinkFault.NONE


async def _drain_worker(soak: Soak) -> None:
    ready = [name for name in soak.workers if name not in soak.draining]
    name = soak.rng.choice(ready)
    await _add_worker(soak, soak.services[name], soak.workers[name].version)
    await _list_worker(soak, name, "draining")
    soak.draining[name] = soak.now()


async def _change_keys(soak: Soak) -> None:
    if soak.revoked:
        soak.revoked.clear()
    else:
        soak.revoked[KEYS["radio"]] = soak.now()
    await _configure(soak)


async def _act(soak: Soak) -> None:
    """Take one random action; those that last go on beside others."""
    rng = soak.rng
    box = rng.choice(soak.boxes[soak.spared :])
    kind = rng.choices(
        ["kill", "term", "freeze", "hup", "store", "worker", "drain", "keys", "forget"],
        [2, 2, 2, 1, 3, 4, 1, 2, 1],
    )[0]
    lasting = box.process is not None and box.struck != float("inf")
    if kind in ("kill", "term", "freeze", "store") and lasting:
        box.struck = float("inf")
        if kind == "kill":
            await _restart(soak, box, signal.SIGKILL, rng.uniform(0.0, 1.0))
        elif kind == "term":
            await _restart(soak, box, signal.SIGTERM, 0.0)
        elif kind == "freeze":
            await _freeze(soak, box, rng.uniform(0.2, 3.0))
        else:
            await _harm_store(soak, box)
    elif kind == "hup":
        _signal(box, signal.SIGHUP)
    elif kind == "worker":
        await _harm_worker(soak)
    elif kind == "drain":
        await _drain_worker(soak)
    elif kind == "keys":
        await _change_keys(soak)
    elif kind == "forget":
        soak.store.forget("keyed.op")


async def _call(soak: Soak, http: aiohttp.ClientSession, number: int) -> None:
    rng = soak.rng
    box = rng.choice(soak.boxes)
    path = rng.choice(("once", "safe", "stream"))
    org, key = rng.choice(list(KEYS.items()))
    sent = Sent(f"try-{number}", path, org, key, box, soak.now())
    soak.sent[sent.request] = sent
    headers = {
        "Host": HOST,
        "Attempt-Id": sent.request,
        "Deadline-Ms": "3000",
        "Credential": key,
    }
    if path == "stream":
        headers |= {
            "Model": "*",
            "Token-Counts": "900,60",
            "Session": f"s-{number % 9}",
        }
    url = f"http://{box.callers}/{path}/x"
    timeout = aiohttp.ClientTimeout(total=4.0)
    try:
        async with http.post(url, headers=headers, timeout=timeout) as resp:
            body = await resp.read()
            sent.status = resp.status
            soak.answered += resp.status == 200
            _check_answer(soak, sent, resp, body)
    except (aiohttp.ClientError, TimeoutError, OSError):
        sent.status = -1


def _check_answer(
    soak: Soak, sent: Sent, resp: aiohttp.ClientResponse, body: bytes
) -> None:
    if resp.status != 200:
        return
    if resp.headers.get("Response-Seal") != f"seal-of-{sent.request}":
        soak.fail("own answer", f"{sent.request} got another's seal")
    if sent.path == "stream":
        text = body.decode()
        numbers = [int(row[3:]) for row in text.splitlines() if row.startswith("id:")]
        if numbers != list(range(1, 7)):
            soak.fail("whole stream", f"{sent.request} got events {numbers}")
    elif sent.request.encode() not in body.split():
        soak.fail("own answer", f"{sent.request} got {body[:40]!r}")


def check_records(soak: Soak) -> None:
    """Check what the workers recorded against what callers sent and got."""
    runs: dict[str, int] = {}
    for name, worker in soak.workers.items():
        for request in worker.ran:
            runs[request] = runs.get(request, 0) + 1
        for seen in worker.seen:
            _check_seen(soak, name, seen.request, seen.headers.get("tenant", ""))
    for request, count in runs.items():
        sent = soak.sent.get(request)
        if sent is None:
            soak.fail("asked", f"{request} was sent by nobody")
            continue
        if sent.path == "once" and count > 1:
            soak.fail("at most once", f"{request} ran {count} times")
        if sent.status in (408, 421, 429, 503) and sent.path == "once":
            soak.fail("true refusal", f"{request} got {sent.status} and ran")
        _check_key(soak, sent)


def _check_seen(soak: Soak, name: str, request: str, org: str) -> None:
    sent = soak.sent.get(request)
    if sent is None:
        return
    if org != sent.org:
        soak.fail("organisation", f"{request} of {sent.org} reached {name} as {org}")
    left = soak.draining.get(name)
    calm = sent.box.struck + CALM_S < sent.at
    if left is not None and calm and sent.at > left + DRAINING_S:
        soak.fail("leaving worker", f"{request} reached {name} while it was leaving")


def _check_key(soak: Soak, sent: Sent) -> None:
    taken = soak.revoked.get(sent.key)
    calm = sent.box.struck + CALM_S < sent.at
    if taken is not None and calm and sent.at > taken + IN_FORCE_S:
        soak.fail("configuration", f"{sent.request} ran with a key that was taken away")


async def _callers(soak: Soak, end: float) -> None:
    numbers = iter(range(1_000_000))

    async def caller() -> None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            while soak.now() < end:
                await _call(soak, http, next(numbers))
                await asyncio.sleep(0.01)

    await asyncio.gather(*(caller() for _ in range(CALLERS)))


async def _ready(box: BoxProcess, wait: float = 15.0) -> None:
    end = asyncio.get_running_loop().time() + wait
    async with aiohttp.ClientSession() as http:
        while asyncio.get_running_loop().time() < end:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with http.get(f"http://{box.readiness}/ready") as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.1)
    raise RuntimeError(f"{box.name} was not ready within {wait} s")


async def play(
    seed: int, duration: float, folder: pathlib.Path, source: pathlib.Path, boxes: int
) -> Soak:
    """Play one schedule and return it with what it broke."""
    soak = Soak(random.Random(seed), folder, source)
    # In half of the schedules one box is left alone, so that promises with a time bound
    # are checked while others are struck.
    soak.spared = seed % 2
    await _configure(soak)
    for service in ("web", "web", "writer", "writer", "writer"):
        await _add_worker(soak, service)
    ports = free_ports(4 * boxes)
    seeds = [f"127.0.0.1:{ports[4 * n + 2]}" for n in range(min(3, boxes))]
    acts: set[asyncio.Task[None]] = set()
    try:
        for number in range(boxes):
            await _add_box(soak, ports[4 * number : 4 * number + 4], seeds)
        for box in soak.boxes:
            await _ready(box)
        end = soak.now() + duration
        calling = asyncio.create_task(_callers(soak, end))
        while soak.now() < end - 2.0:
            acts.add(asyncio.create_task(_act(soak)))
            await asyncio.sleep(soak.rng.uniform(0.1, 0.6))
        await calling
        await asyncio.gather(*acts)
        check_records(soak)
        if soak.answered == 0:
            soak.fail("service", "no request was answered")
    finally:
        for act in acts:
            act.cancel()
        for box in soak.boxes:
            _signal(box, signal.SIGCONT)
            _signal(box, signal.SIGKILL)
            if box.process is not None:
                await box.process.wait()
            await box.link.stop()
        for name, worker in soak.workers.items():
            await worker.stop()
            await soak.links[name].stop()
        for runner in soak.runners:
            await runner.cleanup()
    return soak


def mutated_sources(name: str, folder: pathlib.Path) -> pathlib.Path:
    """Return a copy of the sources with a bug put in."""
    copy = folder / "src"
    shutil.copytree(ROOT / "src", copy)
    mutation = MUTATIONS[name]
    path = copy / "spanshunt" / mutation.file
    text = path.read_text()
    if mutation.old not in text:
        raise RuntimeError(
            f"mutation {name!r}: {mutation.file} has changed; adapt MUTATIONS"
        )
    path.write_text(text.replace(mutation.old, mutation.new))
    if name in ("twice", "not run"):
        # The program's own check of the promise would stop the process first.
        checks = copy / "spanshunt" / "systems" / "invariants.py"
        text = checks.read_text().replace("if not holds:", "if False:")
        checks.write_text(text)
    return copy


def run_seed(
    seed: int, duration: float, mutation: str = "", boxes: int = BOXES
) -> Soak:
    """Play one seed in a folder of its own; the folder is kept if it failed."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    source = mutated_sources(mutation, folder) if mutation else ROOT / "src"
    soak = asyncio.run(play(seed, duration, folder, source, boxes))
    if soak.broken and not mutation:
        print(f"seed {seed}: logs are in {folder}")
    else:
        shutil.rmtree(folder)
    return soak


@cappa.command(name="soak-processes", help="A fault soak of real daemons.")
@dataclass
class SoakCommand:
    """Arguments of the soak."""

    seeds: t.Annotated[int, cappa.Arg(long=True, help="How many seeds.")] = 3
    first: t.Annotated[int, cappa.Arg(long=True, help="The first; 0 draws it.")] = 0
    duration: t.Annotated[float, cappa.Arg(long=True, help="Each, in s.")] = 20.0
    boxes: t.Annotated[int, cappa.Arg(long=True, help="Daemons.")] = BOXES
    mutation: t.Annotated[str, cappa.Arg(long=True, help="A bug to put in.")] = ""


def main() -> None:
    """Play seeds and exit with 1 if a promise was broken."""
    command = cappa.parse(SoakCommand)
    first = command.first or random.SystemRandom().randrange(1, 1_000_000)
    failed = 0
    for seed in range(first, first + command.seeds):
        soak = run_seed(seed, command.duration, command.mutation, command.boxes)
        failed += bool(soak.broken)
        print(
            f"seed {seed}: {len(soak.sent)} requests, {soak.answered} answered, "
            f"{len(soak.broken)} promises broken {soak.broken[:3]}"
        )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
