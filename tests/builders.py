"""Builders of test data, and of small whole systems inside one process."""

import asyncio
import contextlib
import os
import random
import subprocess
import sys
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from spanshunt.backing.boxes import BoxList
from spanshunt.backing.boxes import ListedBox
from spanshunt.clock import Clock
from spanshunt.daemon import Daemon
from spanshunt.intents import IntentDocument
from spanshunt.records import Confirm
from spanshunt.records import LogRecord
from spanshunt.records import encode_record
from spanshunt.settings import Settings
from spanshunt.standins.boxes import BoxListStandin
from spanshunt.standins.engine import EngineModel
from spanshunt.standins.engine import EngineStandin
from spanshunt.standins.log import LogStandin
from spanshunt.standins.rater import RaterStandin
from spanshunt.standins.service import ServiceStandin
from spanshunt.systems.fold import fold_record
from spanshunt.systems.planner import make_plan
from spanshunt.tables.config import Config
from spanshunt.tables.identity import Identity
from spanshunt.tables.state import State
from spanshunt.tables.state import new_state

DOMAINS = ("nave-norte", "nave-occidente", "nave-sur")
CREDENTIAL = "museo-credential-1"
OPERATOR = "operator-credential-1"
READER = "reader-credential-1"
CHEAP = "chico@1"
DEAR = "grande@1"

BASE_INTENTS: list[dict[str, t.Any]] = [
    {
        "do": "declare_service",
        "service": "redactor-ia",
        "kind": "model",
        "classes": [
            {"name": "note", "target": 0.8},
            {"name": "description", "target": 0.9},
        ],
    },
    {
        "do": "declare_service",
        "service": "servicio-web",
        "kind": "plain",
        "call_price": 100,
    },
    {
        "do": "declare_version",
        "version": CHEAP,
        "service": "redactor-ia",
        "prompt_price": 100,
        "output_price": 400,
        "active": True,
    },
    {
        "do": "declare_version",
        "version": DEAR,
        "service": "redactor-ia",
        "prompt_price": 1000,
        "output_price": 4000,
        "active": True,
    },
    {
        "do": "declare_org",
        "org": "museo",
        "allowed": ["chico", "grande", "servicio-web"],
        "credentials": [CREDENTIAL],
        "limits": {"rate": 1000, "burst": 2000, "concurrency": 1000},
    },
]


def intents(*given: dict[str, t.Any]) -> IntentDocument:
    """Return intents as the API would decode them."""
    raw = msgspec.json.encode({"intents": list(given)})
    return msgspec.json.decode(raw, type=IntentDocument)


def confirm_of(
    config: Config, *given: dict[str, t.Any], operator: str = "ana"
) -> Confirm:
    """Plan intents on `config` and return the record that confirms the plan."""
    plan = make_plan(config, intents(*given).intents).unwrap()
    return Confirm(plan.name, plan.changes, plan.base, operator, 0)


def put(config: Config, record: t.Any, at: int = 0) -> None:
    """Fold `record` as the next one of the log."""
    fold_record(config, LogRecord(config.next_offset, at, encode_record(record)))


def base_config() -> Config:
    """Return a configuration with two services, two versions and an organisation."""
    config = Config()
    put(config, confirm_of(config, *BASE_INTENTS))
    return config


def a_state(box: str = "box-1", domain: str = DOMAINS[0], run: str = "0") -> State:
    """Return the tables of a fresh daemon."""
    return new_state(Identity(box, domain, f"10.0.0.1:{box}", f"{box}.{run}"), 0)


def some_settings(**changes: t.Any) -> dict[str, t.Any]:
    """Return valid settings of one daemon as JSON would give them."""
    return {
        "box": "box-1",
        "domain": DOMAINS[0],
        "region": "bogota-dc",
        "listen": {
            "callers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
        },
        "platform": {"log": "http://127.0.0.1:1", "boxes": "http://127.0.0.1:1"},
        "operators": [
            {"name": "ana", "role": "confirm", "secret": {"env": "TEST_OPERATOR"}},
            {"name": "leo", "role": "read", "secret": {"env": "TEST_READER"}},
        ],
        "session_keys": [{"env": "TEST_SESSION_KEY"}],
        **changes,
    }


class Served(t.NamedTuple):
    """An application that listens."""

    runner: web.AppRunner
    url: str
    address: str


async def serve(app: web.Application, port: int = 0) -> Served:
    """Serve an application on a free port."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    return Served(runner, f"http://{address}", address)


class System:
    """Stand-ins and daemons in one process."""

    def __init__(self) -> None:
        self.log = LogStandin(Clock(), seed=1)
        self.rater = RaterStandin({}, seed=2)
        self.boxes = BoxListStandin(BoxList())
        self.engines: list[EngineStandin] = []
        self.services: list[ServiceStandin] = []
        self.daemons: list[Daemon] = []
        self.served: dict[str, Served] = {}
        self._listed: list[ListedBox] = []
        self.http: aiohttp.ClientSession

    async def start(
        self,
        daemons: int = 1,
        engines: t.Sequence[tuple[str, ...]] = ((CHEAP, DEAR), (CHEAP, DEAR)),
        services: int = 2,
        model: EngineModel | None = None,
    ) -> None:
        """Start everything."""
        self.http = aiohttp.ClientSession()
        self.served["log"] = await serve(self.log.app())
        self.served["rater"] = await serve(self.rater.app())
        self.served["boxes"] = await serve(self.boxes.app())
        for index, versions in enumerate(engines):
            await self.add_engine(versions, index, model)
        for index in range(services):
            standin = ServiceStandin(seed=index)
            self.services.append(standin)
            await self._add_worker(standin.app(), "servicio-web", (), index)
        for index in range(daemons):
            await self.add_daemon(index)

    async def add_engine(
        self, versions: tuple[str, ...], index: int, model: EngineModel | None = None
    ) -> None:
        """Start an engine and list it."""
        fast = model or EngineModel(prefill_ms=1, token_ms=0.2, batch_ms=0)
        engine = EngineStandin(versions, fast, seed=index)
        self.engines.append(engine)
        await self._add_worker(engine.app(), "redactor-ia", versions, index)

    async def _add_worker(
        self, app: web.Application, service: str, versions: tuple[str, ...], index: int
    ) -> None:
        served = await serve(app)
        name = f"{service}-{index}"
        self.served[name] = served
        domain = DOMAINS[index % 3]
        self._listed.append(ListedBox(name, served.address, domain, service, versions))
        self._list()

    async def add_daemon(self, index: int, **changes: t.Any) -> Daemon:
        """Start a daemon and list it."""
        box = f"box-{index + 1}"
        raw = some_settings(
            box=box,
            domain=DOMAINS[index % 3],
            platform={
                "log": self.served["log"].url,
                "boxes": self.served["boxes"].url,
                "rater": self.served["rater"].url,
                "timeout_ms": 1000,
            },
            seeds=[row.address for row in self._listed if not row.service],
            timing={"gossip_ms": 50, "tick_ms": 50, "report_ms": 100},
            journal={"batch_ms": 50},
            **changes,
        )
        settings = msgspec.convert(raw, Settings)
        daemon = Daemon(settings, "test", Clock())
        await daemon.start()
        self.daemons.append(daemon)
        me = daemon.router.state.identity
        self._listed = [row for row in self._listed if row.name != box]
        self._listed.append(ListedBox(me.box, me.address, me.domain))
        self._list()
        return daemon

    async def stop(self) -> None:
        """Stop everything."""
        for daemon in self.daemons:
            await daemon.kill()
        await self.http.close()
        for served in self.served.values():
            await served.runner.cleanup()

    def _list(self) -> None:
        self.boxes.boxes = BoxList(tuple(self._listed))

    def unlist(self, box: str) -> None:
        """Take a box from the list."""
        self._listed = [row for row in self._listed if row.name != box]
        self._list()

    def url(self, index: int = 0, port: str = "callers") -> str:
        """Return the URL of a daemon's API."""
        return f"http://127.0.0.1:{self.daemons[index].ports[port]}"

    async def until(self, holds: t.Callable[[], bool], timeout: float = 20.0) -> None:
        """Wait until something holds; fail when it does not in time."""
        async with asyncio.timeout(timeout):
            while not holds():
                await asyncio.sleep(0.02)

    async def ready(self, index: int = 0) -> None:
        """Wait until a daemon takes work and knows its workers."""
        router = self.daemons[index].router
        workers = sum(bool(row.service) for row in self._listed)
        await self.until(
            lambda: (
                not router.why_not_ready() and len(router.state.workers.rows) >= workers
            )
        )

    async def admin(
        self, method: str, path: str, body: t.Any = None, index: int = 0, **kw: t.Any
    ) -> tuple[int, t.Any]:
        """Call the operators' API."""
        headers = {"Authorization": f"Bearer {kw.get('credential', OPERATOR)}"}
        data = msgspec.json.encode(body) if body is not None else None
        url = self.url(index, "operators") + "/admin/v1" + path
        async with self.http.request(method, url, data=data, headers=headers) as res:
            return res.status, msgspec.json.decode(await res.read())

    async def apply(self, *given: dict[str, t.Any], index: int = 0) -> t.Any:
        """Plan and confirm intents."""
        status, signed = await self.admin(
            "POST", "/plans", {"intents": list(given)}, index
        )
        assert status == 200, signed
        status, outcome = await self.admin("POST", "/confirm", signed, index)
        assert status == 200, outcome
        return outcome

    async def configured(self, daemons: int = 1, **kw: t.Any) -> None:
        """Start everything with the base configuration in force on every daemon."""
        await self.start(daemons=daemons, **kw)
        await self.ready(0)
        await self.apply(*BASE_INTENTS)
        for index in range(daemons):
            await self.ready(index)
            state = self.daemons[index].router.state
            await self.until(lambda state=state: bool(state.config.orgs))
        await self.until(
            lambda: all(
                len(d.router.state.members.rows) >= daemons - 1 for d in self.daemons
            )
        )

    async def chat(
        self,
        nonce: str,
        tokens: int = 5,
        index: int = 0,
        model: str = "redactor-ia",
        stream: bool = True,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Ask for an answer of `tokens` words."""
        sent = {"Authorization": f"Bearer {CREDENTIAL}"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        body = chat_body(nonce, tokens, model, stream)
        url = self.url(index) + "/v1/chat/completions"
        async with self.http.post(url, json=body, headers=sent) as res:
            return res.status, dict(res.headers), await res.read()

    async def call(
        self, method: str, path: str, index: int = 0, body: bytes = b"", **headers: str
    ) -> tuple[int, t.Any]:
        """Call the plain service."""
        sent = {"Authorization": f"Bearer {CREDENTIAL}"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"{self.url(index)}/services/servicio-web{path}"
        async with self.http.request(method, url, headers=sent, data=body) as res:
            return res.status, msgspec.json.decode(await res.read())

    async def bills(self, index: int = 0) -> tuple[int, int]:
        """Return how many requests are billed, and how many entries came twice."""
        _, report = await self.admin("GET", "/bills", index=index)
        return sum(row["requests"] for row in report["rows"]), report["doubled"]

    async def billed(self, count: int, index: int = 0) -> int:
        """Wait until `count` requests are billed; return how many came twice."""
        async with asyncio.timeout(30):
            while True:
                found, doubled = await self.bills(index)
                if found >= count:
                    assert found == count
                    return doubled
                await asyncio.sleep(0.05)


def chat_body(
    nonce: str, tokens: int, model: str = "redactor-ia", stream: bool = True
) -> dict[str, t.Any]:
    """Return the body of a chat request that the stand-in engine understands."""
    content = f"nonce={nonce} tokens={tokens}"
    messages = [{"role": "user", "content": content}]
    return {"model": model, "stream": stream, "messages": messages}


def words_of(body: bytes) -> str:
    """Return the text of a streamed answer."""
    found = []
    for event in body.split(b"\n\n"):
        if event.startswith(b"data: {"):
            parsed = msgspec.json.decode(event[6:])
            for choice in parsed.get("choices", []):
                found.append(choice["delta"].get("content", ""))
    return "".join(found)


def whole_answer(nonce: str, tokens: int) -> str:
    """Return the text that the stand-in engine gives."""
    return "".join(f"{nonce}.{index} " for index in range(tokens)) + f"{nonce}.end"


@contextlib.asynccontextmanager
async def a_system(**kw: t.Any) -> t.AsyncIterator[System]:
    """Run a configured system for one test."""
    system = System()
    try:
        await system.configured(**kw)
        yield system
    finally:
        await system.stop()


def seeded(seed: int) -> random.Random:
    """Return a source of chance of its own."""
    return random.Random(seed)


def run_tool(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the operators' tool as a process of its own."""
    return subprocess.run(
        [sys.executable, "-c", "from spanshunt.cli import main; main()", *arguments],
        capture_output=True,
        text=True,
        check=False,
        timeout=120,
        env={**os.environ, "NO_COLOR": "1"},
    )
