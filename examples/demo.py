"""The demo: both fleets, each with three daemons, stand-ins and real requests.

Run it with ``make demo``. It exits with 0 only if all that it shows held. ``--short``
plays one fleet without its crash and its planned stop; ``--net`` puts all addresses
into another loopback network, so that several demos can run beside each other.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import typing as t

import aiohttp
import cappa
import msgspec
from aiohttp import web

from spanshunt.backing.boxes import BoxList
from spanshunt.clock import Clock
from spanshunt.ids import Micros
from spanshunt.intents import DeclareVersion
from spanshunt.intents import IntentDocument
from spanshunt.load import LoadReport
from spanshunt.load import LoadSpec
from spanshunt.load import as_text
from spanshunt.load import run_load
from spanshunt.records import Bills
from spanshunt.records import decode_record
from spanshunt.standins.boxes import BoxListStandin
from spanshunt.standins.engine import EngineModel
from spanshunt.standins.engine import EngineStandin
from spanshunt.standins.log import LogStandin
from spanshunt.standins.rater import RaterStandin
from spanshunt.standins.service import ServiceStandin
from spanshunt.systems.journaling import fold_bills
from spanshunt.systems.journaling import priced_usage
from spanshunt.tables.billing import BillFold
from spanshunt.tables.config import VersionRow

HERE = pathlib.Path(__file__).parent
BIN = pathlib.Path(sys.executable).parent
BOXES = 3
NET = "127.0.0"
"""The loopback network of the addresses in the example files."""
SECRETS = {
    "SPANSHUNT_OPERATOR": "example-operator-credential",
    "SPANSHUNT_SESSION_KEY": "example-session-key",
}


class Fleet(t.NamedTuple):
    """What differs between the two fleets."""

    name: str
    base: int
    bad_version: str
    best: str
    quality: dict[str, float]
    credentials: tuple[str, str, str]


FLEETS = (
    Fleet(
        name="bogota",
        base=60,
        bad_version="redactor-mini@2",
        best="redactor-pro@1",
        quality={
            "redactor-mini@1": 0.88,
            "redactor-mini@1/description": 0.7,
            "redactor-mini@2": 0.4,
            "redactor-pro@1": 0.96,
        },
        credentials=("museo-nacional", "biblioteca-central", "archivo-andino"),
    ),
    Fleet(
        name="garching",
        base=160,
        bad_version="schicht-klein@2",
        best="schicht-gross@1",
        quality={
            "schicht-klein@1": 0.9,
            "schicht-klein@1/summary": 0.7,
            "schicht-klein@2": 0.4,
            "schicht-gross@1": 0.96,
        },
        credentials=("cern-labor", "desy-labor", "cern-labor"),
    ),
)


def best_of(fleet: Fleet) -> VersionRow:
    """Return the fleet's best version, with the prices that its intents declare."""
    raw = (HERE / fleet.name / "intents.json").read_bytes()
    for intent in msgspec.json.decode(raw, type=IntentDocument).intents:
        if isinstance(intent, DeclareVersion) and intent.version == fleet.best:
            return VersionRow(
                name=intent.version,
                service=intent.service,
                prompt_price=Micros(intent.prompt_price),
                output_price=Micros(intent.output_price),
            )
    raise LookupError(fleet.best)


class Standins:
    """The platform and the backend servers of one fleet, inside this process."""

    def __init__(self, fleet: Fleet, files: pathlib.Path, net: str) -> None:
        raw = (files / "boxes.json").read_bytes()
        listed = msgspec.json.decode(raw, type=BoxList).boxes
        routers = [row for row in listed if not row.service][:BOXES]
        self.workers = [row for row in listed if row.service]
        self.log = LogStandin(Clock(), seed=1)
        self.rater = RaterStandin(fleet.quality, seed=2)
        self.boxes = BoxListStandin(BoxList((*routers, *self.workers)))
        self.engines: list[EngineStandin] = []
        self.services: list[ServiceStandin] = []
        self._host = f"{net}.{fleet.base}"
        self._best = best_of(fleet)
        self._runners: list[web.AppRunner] = []

    async def start(self) -> None:
        """Begin to listen."""
        await self._serve(self.log.app(), f"{self._host}:7100")
        await self._serve(self.rater.app(), f"{self._host}:7400")
        await self._serve(self.boxes.app(), f"{self._host}:7500")
        model = EngineModel(prefill_ms=5, token_ms=1, batch_ms=0.02)
        for index, row in enumerate(self.workers):
            if row.versions:
                engine = EngineStandin(row.versions, model, seed=index)
                self.engines.append(engine)
                await self._serve(engine.app(), row.address)
            else:
                service = ServiceStandin(seed=index)
                self.services.append(service)
                await self._serve(service.app(), row.address)

    async def stop(self) -> None:
        """Stop listening."""
        for runner in self._runners:
            await runner.cleanup()

    def fold(self) -> tuple[BillFold, dict[str, int], dict[str, int]]:
        """Fold the bills: totals, how often each request counts, tokens by version."""
        fold = BillFold()
        requests: dict[str, int] = {}
        costs: dict[str, int] = {}
        for record in self.log.stream("bills").records:
            bills = decode_record(record.data).unwrap()
            if not isinstance(bills, Bills):
                continue
            for entry in fold_bills(fold, bills):
                requests[entry.request] = requests.get(entry.request, 0) + 1
                for item in entry.usage:
                    if not item.version:
                        continue
                    best = priced_usage(
                        self._best, item.prompt_tokens, item.output_tokens
                    )
                    costs["paid"] = costs.get("paid", 0) + item.cost
                    costs["best"] = costs.get("best", 0) + best.cost
        return fold, requests, costs

    async def _serve(self, app: web.Application, address: str) -> None:
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)


class Boxes:
    """The daemons of one fleet, each a process of its own."""

    def __init__(self, files: pathlib.Path, logs: pathlib.Path) -> None:
        self.files = sorted(files.glob("*-?.json"))[:BOXES]
        self._logs = logs
        self._running: dict[int, subprocess.Popen[bytes]] = {}

    def start(self, index: int) -> None:
        """Start one daemon."""
        log = (self._logs / f"{self.files[index].stem}.log").open("ab")
        command = [str(BIN / "spanshuntd"), "--settings", str(self.files[index])]
        env = {**os.environ, **SECRETS}
        self._running[index] = subprocess.Popen(command, env=env, stderr=log)

    def kill(self, index: int) -> None:
        """Kill one daemon with no warning."""
        self._running[index].kill()
        self._running[index].wait()

    async def drain(self, index: int) -> int:
        """Stop one daemon as planned; return its exit status."""
        process = self._running[index]
        process.send_signal(signal.SIGTERM)
        return await asyncio.to_thread(process.wait, 60)

    def stop(self) -> None:
        """Stop those that still run."""
        for process in self._running.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def callers(self, index: int) -> str:
        """Return the callers' API of a daemon."""
        return "http://" + self._listen(index)["callers"]

    def operators(self, index: int) -> str:
        """Return the operators' API of a daemon."""
        return "http://" + self._listen(index)["operators"]

    def _listen(self, index: int) -> dict[str, str]:
        listen: dict[str, str] = json.loads(self.files[index].read_text())["listen"]
        return listen


class Demo:
    """One fleet's run, and what held of it."""

    def __init__(self, fleet: Fleet, work: pathlib.Path, net: str) -> None:
        self.fleet = fleet
        self.files = _moved_files(fleet, work, net)
        self.standins = Standins(fleet, self.files, net)
        self.boxes = Boxes(self.files, work)
        self.failed: list[str] = []
        self.whole: list[str] = []
        self._work = work

    async def run(self, *, short: bool) -> None:
        """Run the fleet from start to end, or without crash and planned stop."""
        began = time.monotonic()
        await self.standins.start()
        for index in range(BOXES):
            self.boxes.start(index)
        try:
            await self._configure()
            await self._serve(began)
            await self._bad_version()
            if not short:
                await self._crash_and_drain()
            await self._reconcile()
        finally:
            self.boxes.stop()
            await self.standins.stop()

    def check(self, holds: bool, text: str) -> None:
        """Print whether something held, and remember if it did not."""
        print(f"  [{'ok' if holds else 'FAILED'}] {text}")
        if not holds:
            self.failed.append(f"{self.fleet.name}: {text}")

    async def cli(self, *args: str, index: int = 0) -> str:
        """Run the operators' tool and return what it prints."""
        env = {**os.environ, **SECRETS, "SPANSHUNT_URL": self.boxes.operators(index)}
        command = [str(BIN / "spanshunt"), *args]
        done = await asyncio.to_thread(
            subprocess.run, command, env=env, capture_output=True, text=True
        )
        if done.returncode:
            print(done.stderr.strip())
        return done.stdout

    async def ready(self, index: int) -> None:
        """Wait until a daemon takes work."""
        url = self.boxes.callers(index) + "/readyz"
        async with aiohttp.ClientSession() as http, asyncio.timeout(30):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with http.get(url) as res:
                        if res.status == 200:
                            return
                await asyncio.sleep(0.1)

    async def apply(self, intents: str) -> str:
        """Plan the intents of a file and confirm the plan."""
        plan = str(self._work / f"{self.fleet.name}-plan.json")
        source = str(self.files / intents)
        shown = await self.cli("plan", "--intents", source, "--out", plan)
        print("  " + "\n  ".join(shown.strip().splitlines()[:6]))
        outcome = await self.cli("confirm", plan)
        print("  " + outcome.strip())
        return outcome

    async def load(self, seconds: float, seed: int, boxes: int = BOXES) -> LoadReport:
        """Run the fleet's load for a while."""
        raw = (self.files / "load.json").read_bytes()
        spec = msgspec.json.decode(raw, type=LoadSpec)
        targets = tuple(self.boxes.callers(index) for index in range(boxes))
        report = await run_load(
            msgspec.structs.replace(spec, targets=targets, seconds=seconds, seed=seed)
        )
        self.whole += report.requests
        return report

    async def _configure(self) -> None:
        print(f"\n== {self.fleet.name}: three daemons, {len(self.standins.workers)}")
        print("   backend servers, in three failure domains")
        for index in range(BOXES):
            await self.ready(index)
        outcome = await self.apply("intents.json")
        self.check(outcome.startswith("accepted"), "the plan was accepted")
        await asyncio.sleep(2)

    async def _serve(self, began: float) -> None:
        print(
            f"\n-- ordinary load (first request after {time.monotonic() - began:.0f} s)"
        )
        report = await self.load(6, seed=11)
        print("  " + as_text(report).replace("\n", "\n  "))
        wrong = sum(kind.wrong + kind.cut for kind in report.kinds)
        refused = sum(
            kind.refused_not_run + kind.refused_unknown for kind in report.kinds
        )
        self.check(wrong == 0, "every answer was whole and its caller's own")
        self.check(refused == 0, "no request was refused")

    async def _bad_version(self) -> None:
        print(f"\n-- {self.fleet.bad_version} enters service and is bad")
        await self.apply("enter.json")
        answers = 0
        total = 0
        state = ""
        for turn in range(20):
            report = await self.load(2, seed=100 + turn)
            answers += report.versions.get(self.fleet.bad_version, 0)
            total += sum(report.versions.values())
            rows = json.loads(await self.cli("rollouts", "--json"))
            state = rows[-1]["state"]
            if state == "pulled_back":
                print(f"  {rows[-1]['reason']}")
                break
        self.check(state == "pulled_back", "the bad version was pulled back by itself")
        print(f"  it gave {answers} of {total} answers until then")
        await asyncio.sleep(1)
        after = await self.load(2, seed=200)
        left = after.versions.get(self.fleet.bad_version, 0)
        self.check(left == 0, "and got no work after that")

    async def _crash_and_drain(self) -> None:
        print("\n-- under load: one box killed, another stopped as planned")
        load = asyncio.create_task(self.load(8, seed=300))
        await asyncio.sleep(2)
        self.boxes.kill(1)
        await asyncio.sleep(2)
        self.boxes.start(1)
        await asyncio.sleep(1)
        status = await self.boxes.drain(2)
        report = await load
        wrong = sum(kind.wrong for kind in report.kinds)
        self.check(status == 0, "the planned stop ended with status 0")
        self.check(wrong == 0, "no caller got a wrong or mixed answer")
        cut = sum(kind.cut for kind in report.kinds)
        print(f"  {cut} requests were cut or met a closed port at the killed box")

    async def _reconcile(self) -> None:
        print("\n-- bills")
        deadline = time.monotonic() + 40
        while time.monotonic() < deadline:
            fold, requests, costs = self.standins.fold()
            if set(self.whole) <= set(requests):
                break
            await asyncio.sleep(0.5)
        missing = set(self.whole) - set(requests)
        twice = [name for name, count in requests.items() if count > 1]
        extra = len(set(requests) - set(self.whole))
        print(f"  {len(self.whole)} whole answers, {len(requests)} bills,")
        print(f"  {fold.doubled} entries that came twice and counted once,")
        print(f"  {extra} bills of answers that were cut on their last step")
        self.check(not missing, "every whole answer is billed")
        self.check(not twice, "none is billed twice")
        effects = [n for s in self.standins.services for n in s.effects.values()]
        keyed = [
            count
            for service in self.standins.services
            for key, count in service.effects.items()
            if key.startswith("k")
        ]
        self.check(max(keyed) == 1, f"{len(keyed)} keyed calls ran at most once")
        self.check(bool(effects), "plain calls reached their service")
        part = costs["paid"] / max(1, costs["best"])
        print(f"  cost: {part:.2f} of sending all to {self.fleet.best}")
        self.check(part < 1, "that is cheaper than always the best version")


def _moved_files(fleet: Fleet, work: pathlib.Path, net: str) -> pathlib.Path:
    """Return a folder with the fleet's files, their addresses in a loopback network."""
    folder = work / fleet.name
    folder.mkdir()
    for path in (HERE / fleet.name).glob("*.json"):
        moved = path.read_text().replace(f"{NET}.", f"{net}.")
        (folder / path.name).write_text(moved)
    return folder


@dataclasses.dataclass(frozen=True)
class Options:
    """What the command line says."""

    short: t.Annotated[
        bool, cappa.Arg(long="--short", help="One fleet, no crash, no planned stop.")
    ] = False
    net: t.Annotated[
        str, cappa.Arg(long="--net", help="The first three parts of all addresses.")
    ] = NET


async def main(options: Options) -> int:
    """Run the fleets; return the exit status."""
    failed = []
    folder = pathlib.Path(tempfile.mkdtemp(prefix="spanshunt-demo-"))
    for fleet in FLEETS[:1] if options.short else FLEETS:
        os.environ.update(SECRETS)
        for number, org in enumerate(fleet.credentials, 1):
            os.environ[f"CREDENTIAL_{number}"] = f"example-credential-{org}"
        demo = Demo(fleet, folder, options.net)
        await demo.run(short=options.short)
        failed += demo.failed
    print()
    if failed:
        print(f"the logs of all daemons are in {folder}")
    else:
        shutil.rmtree(folder)
    for text in failed:
        print(f"FAILED: {text}")
    print("all held" if not failed else f"{len(failed)} checks failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(cappa.parse(Options))))
