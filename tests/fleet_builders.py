"""Builders for the platform: catalogs, tables, and small fleets inside one process."""

import asyncio
import contextlib
import random
import typing as t

import aiohttp
from aiohttp import web
from bench.links import Link

from spanshunt.clock import Clock
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Incarnation
from spanshunt.ids import Millis
from spanshunt.ids import ModelId
from spanshunt.ids import ServiceId
from spanshunt.ids import VersionId
from spanshunt.ids import WorkerId
from spanshunt.platform.node import Node
from spanshunt.platform.settings import NodeBounds
from spanshunt.platform.settings import NodeListen
from spanshunt.platform.settings import NodeSettings
from spanshunt.platform.settings import NodeStore
from spanshunt.standins.ports import free_ports
from spanshunt.standins.store import StoreEndpoint
from spanshunt.standins.store import StoreStandin
from spanshunt.standins.worker import HEALTH_PATH
from spanshunt.standins.worker import WorkerStandin
from spanshunt.systems.estimating import Prompt
from spanshunt.systems.tallies import record_observation
from spanshunt.tables.catalog import ServiceRow
from spanshunt.tables.engines import PrefillSpeed
from spanshunt.tables.engines import PromptPart
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.identity import Identity
from spanshunt.tables.rollouts import Finding
from spanshunt.tables.rollouts import Tally
from spanshunt.tables.workers import WorkerRow

HOST = "archive.example"
KEY = "key-of-museo"
OTHER_KEY = "key-of-radio"

CONFIG: dict[str, t.Any] = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-long",
            "Hostname": HOST,
            "PathPrefix": "/long/",
            "RouteType": "streaming",
            "TimeoutMs": 5000,
            "TargetLatencyMs": 800,
            "Priority": 1,
            "Sizes": ["small", "middle", "large"],
            "Backend": "writer",
            "MaxAttempts": 3,
            "StreamResume": True,
            "GapAimMs": 600,
        },
        {
            "Name": "r-view",
            "Hostname": HOST,
            "PathPrefix": "/view/",
            "RouteType": "unsafe",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 300,
            "Backend": "web",
            "MaxAttempts": 1,
        },
        {
            "Name": "r-look",
            "Hostname": HOST,
            "PathPrefix": "/look/",
            "RouteType": "safe",
            "TimeoutMs": 1500,
            "TargetLatencyMs": 300,
            "Backend": "web",
            "MaxAttempts": 2,
        },
    ],
    "Backends": [
        {
            "Name": "writer",
            "HealthPath": HEALTH_PATH,
            "Engine": {
                "Slots": 8,
                "KvCapacityTokens": 100000,
                "Models": [
                    {"Name": "small", "Cost": 0.01},
                    {"Name": "middle", "Cost": 0.1},
                    {"Name": "large", "Cost": 0.2},
                ],
            },
        },
        {"Name": "web", "HealthPath": HEALTH_PATH},
    ],
    "Limits": {"IdleTimeoutMs": 15000},
    "Tenants": [
        {"Name": "museo", "ApiKeys": [KEY]},
        {"Name": "radio", "ApiKeys": [OTHER_KEY]},
    ],
}


def config(version: int = 7, **changes: t.Any) -> dict[str, t.Any]:
    """Return the operators' configuration under a version."""
    return {**CONFIG, "Version": version, **changes}


def without_key(body: dict[str, t.Any], key: str) -> dict[str, t.Any]:
    """Return a configuration in which a key is taken away."""
    orgs = [
        {**org, "ApiKeys": [known for known in org["ApiKeys"] if known != key]}
        for org in body["Tenants"]
    ]
    return {**body, "Tenants": orgs}


def make_fleet(box: str = "box-1", domain: str = "north") -> Fleet:
    """Return empty tables of a box."""
    me = Identity(BoxId(box), DomainId(domain), f"{box}:1", Incarnation(f"{box}.1"))
    return Fleet(identity=me)


def make_worker(
    name: str, *, service: str = "writer", domain: str = "north", version: str = "v1"
) -> WorkerRow:
    """Return a worker's row."""
    return WorkerRow(
        name=WorkerId(name),
        service=ServiceId(service),
        domain=DomainId(domain),
        versions=frozenset({VersionId(version)}),
        address=f"{name}:80",
        slots=8,
    )


def make_prompt(
    model: str = "large", *, read: int = 4_000, shared: int = 3_000, part: str = "p1"
) -> Prompt:
    """Return a prompt with one shared part."""
    service = ServiceRow(
        ServiceId("writer"),
        {ModelId("small"): 0.01, ModelId("middle"): 0.1, ModelId("large"): 0.2},
        kv_capacity_tokens=100_000,
    )
    parts = (PromptPart(part, shared),) if shared else ()
    return Prompt(service, ModelId(model), read, parts)


def learn_speed(
    fleet: Fleet, model: str, *, read_ms: float, base_ms: float = 10.0
) -> None:
    """Let a box know how fast engines run a model."""
    key = (ServiceId("writer"), ModelId(model))
    fleet.prefill_speeds[key] = PrefillSpeed(read_ms, base_ms, 50)


def add_worker(fleet: Fleet, row: WorkerRow) -> WorkerRow:
    """Put a worker into the table."""
    fleet.workers.rows[row.name] = row
    fleet.workers.invalidate_index()
    return row


def note_result(
    fleet: Fleet,
    service: ServiceId,
    route: str,
    versions: t.Collection[VersionId],
    now: Millis,
    finding: Finding | None,
) -> None:
    """Let a box count a whole answer of a version, from one worker of it."""
    version = min(versions)
    worker = make_worker(f"of-{version}", service=service, version=version)
    failed, slow = finding is Finding.FAILED, finding is Finding.SLOW
    seen = Tally(answers=1, failed=failed, timed=1, slow=slow)
    record_observation(fleet, service, route, worker, now, seen)


def ms(seconds: float) -> Millis:
    """Return seconds as milliseconds."""
    return Millis(int(seconds * 1_000))


class Box(t.NamedTuple):
    """A running box, its own way to the store, and where it listens.

    ``store_link`` and ``peers_link`` carry its connections to the store and those of
    other boxes to it, in a fleet with links.
    """

    node: Node
    endpoint: StoreEndpoint
    base: str
    ready: str
    metrics: str
    store_link: Link | None = None
    peers_link: Link | None = None

    @property
    def seed(self) -> str:
        """Where other boxes reach it."""
        return self.node.fleet.identity.address


class Reply(t.NamedTuple):
    """What a caller got."""

    status: int
    headers: t.Mapping[str, str]
    body: bytes


class TestFleet:
    """Boxes, workers and a store inside one process."""

    __test__ = False

    def __init__(self, clock: Clock | None = None, *, links: bool = False) -> None:
        self.clock = clock or Clock()
        self.links: list[Link] = []
        self._with_links = links
        self.store = StoreStandin()
        self.workers: dict[str, WorkerStandin] = {}
        self.boxes: list[Box] = []
        self._runners: list[web.AppRunner] = []
        self._http: aiohttp.ClientSession | None = None
        self._sequence = 0
        self._asked = 0

    @property
    def http(self) -> aiohttp.ClientSession:
        """The callers' session."""
        if self._http is None:
            self._http = aiohttp.ClientSession()
        return self._http

    async def add_box(
        self,
        name: str = "",
        seeds: tuple[str, ...] = (),
        domain: str = "north",
        timeout_ms: int = 500,
    ) -> Box:
        """Start a box with a endpoint of its own."""
        name = name or f"box-{len(self.boxes) + 1}"
        endpoint = self.store.endpoint()
        runner = web.AppRunner(
            endpoint.app(), handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        store = f"127.0.0.1:{runner.addresses[0][1]}"
        ports = free_ports(4)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        store_link = await self._link(store)
        peers_link = await self._link(addresses[2])
        settings = NodeSettings(
            box=name,
            domain=domain,
            listen=NodeListen(
                callers=addresses[0],
                readiness=addresses[1],
                peers=addresses[2],
                metrics=addresses[3],
                advertised=peers_link.address if peers_link else None,
            ),
            store=NodeStore(
                address=store_link.address if store_link else store,
                timeout_ms=timeout_ms,
            ),
            seeds=seeds,
            bounds=NodeBounds(repeat_ratio=0.9, repeat_slack=50.0),
        )
        node = Node(settings, self.clock)
        node.core.rng.seed(1)
        await node.start()
        bases = [f"http://{addresses[i]}" for i in (0, 1, 3)]
        box = Box(node, endpoint, *bases, store_link, peers_link)
        self.boxes.append(box)
        return box

    async def _link(self, target: str) -> Link | None:
        """Start a link to an address, in a fleet with links."""
        if not self._with_links:
            return None
        link = Link(target)
        await link.start()
        self.links.append(link)
        return link

    async def add_worker(
        self,
        name: str,
        *,
        service: str = "writer",
        version: str = "v1",
        domain: str = "north",
        cold_ms: int = 0,
    ) -> WorkerStandin:
        """Start a worker and list it."""
        worker = WorkerStandin(name, version)
        await worker.start()
        self.workers[name] = worker
        await self.list_worker(name, service=service, domain=domain, cold_ms=cold_ms)
        return worker

    async def list_worker(
        self,
        name: str,
        *,
        service: str = "writer",
        state: str = "ready",
        domain: str = "north",
        cold_ms: int = 0,
    ) -> None:
        """Write a worker's entry."""
        worker = self.workers[name]
        self._sequence += 1
        body = {
            "Backend": service,
            "Address": worker.address,
            "Zone": domain,
            "Version": worker.version,
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": cold_ms,
            "Sequence": self._sequence,
        }
        await self.store.put("keyed.servers", name, body)

    async def configure(self, body: dict[str, t.Any]) -> None:
        """Write the operators' configuration."""
        await self.store.put("keyed.op", "config", body)

    async def ask(
        self,
        box: Box,
        path: str,
        *,
        key: str = KEY,
        body: bytes = b"",
        **headers: str,
    ) -> Reply:
        """Ask as a caller does; `headers` with underscores for dashes."""
        async with self.http.request(
            "GET" if path.startswith("/look") else "POST",
            box.base + path,
            headers=self.headers(path, key, headers),
            data=body or None,
        ) as resp:
            return Reply(resp.status, resp.headers, await resp.read())

    def headers(self, path: str, key: str, more: dict[str, str]) -> dict[str, str]:
        """Return a caller's headers."""
        self._asked += 1
        found = {
            "Host": HOST,
            "Attempt-Id": f"try-{self._asked}",
            "Deadline-Ms": "4000",
            "Credential": key,
        }
        if path.startswith("/long"):
            found |= {"Model": "*", "Token-Counts": "1000,100"}
            found |= {"Prompt-Prefix": "aa:400,bb:600"}
        return found | {name.replace("_", "-"): text for name, text in more.items()}

    async def stop(self) -> None:
        """Stop everything at once."""
        if self._http is not None:
            await self._http.close()
        for box in self.boxes:
            if not box.node.fleet.stopping:
                await box.node.close()
        for worker in self.workers.values():
            await worker.stop()
        for link in self.links:
            await link.stop()
        for runner in self._runners:
            await runner.cleanup()


async def until(holds: t.Callable[[], bool], what: str, wait: float = 10.0) -> None:
    """Wait until a condition holds; fail, naming it, when it does not."""
    end = asyncio.get_running_loop().time() + wait
    while not holds():
        assert asyncio.get_running_loop().time() < end, f"not in time: {what}"
        await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_fleet(
    boxes: int = 1,
    clock: Clock | None = None,
    *,
    domains: tuple[str, ...] = ("north",),
    links: bool = False,
    timeout_ms: int = 500,
) -> t.AsyncIterator[TestFleet]:
    """Run a fleet: two writers, two web workers, some boxes that are ready.

    The boxes are dealt to the domains in turn.
    """
    fleet = TestFleet(clock, links=links)
    try:
        await fleet.configure(config())
        for name in ("w-1", "w-2"):
            await fleet.add_worker(name)
        for name in ("p-1", "p-2"):
            await fleet.add_worker(name, service="web")
        seeds: tuple[str, ...] = ()
        for number in range(boxes):
            domain = domains[number % len(domains)]
            box = await fleet.add_box(seeds=seeds, domain=domain, timeout_ms=timeout_ms)
            seeds = (box.seed,)
        for box in fleet.boxes:
            await until(
                lambda node=box.node: (
                    not node.why_not_ready()
                    and len(node.fleet.workers.rows) == len(fleet.workers)
                ),
                "box is ready",
            )
        yield fleet
    finally:
        await fleet.stop()


def seeded(seed: int = 1) -> random.Random:
    """Return a source of chance that repeats."""
    return random.Random(seed)


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the events of a stream."""
    return [
        int(line[3:]) for line in body.decode().splitlines() if line.startswith("id:")
    ]


def run_count(fleet: TestFleet, request: str) -> int:
    """Return how often workers ran a request."""
    return sum(worker.ran.count(request) for worker in fleet.workers.values())
