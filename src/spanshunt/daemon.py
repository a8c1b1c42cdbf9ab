"""The daemon: its composition root and its life."""

import asyncio
import random
import signal
import sys
import typing as t
from dataclasses import dataclass

import aiohttp
import cappa
import uvloop
from aiohttp import web
from grpclib.server import Server

from .appender import Appender
from .background import Background
from .backing.log import LogClient
from .backing.workers import WorkerClient
from .bill_keeper import BillKeeper
from .bill_reader import BillReader
from .callers import CallerApi
from .claimer import Claimer
from .clock import Clock
from .duties import Duties
from .exceptions import InvariantError
from .exceptions import SettingsError
from .followers import ClaimsFollower
from .followers import ConfigFollower
from .gossiper import Gossiper
from .histograms import Histograms
from .http_connections import check_heads
from .ids import BoxId
from .ids import DomainId
from .ids import OrgId
from .library_logs import route_library_logs
from .logs import LineQueue
from .logs import keep_flushing
from .logs import log_event
from .logs import set_up_logs
from .metrics import Metrics
from .operators import OperatorApi
from .parts import Parts
from .peers.client import PeerClient
from .peers.codec import MsgpackCodec
from .peers.service import PeerService
from .router import OperatorKey
from .router import Router
from .session_tokens import SessionSigner
from .settings import Settings
from .settings import load_settings
from .settings import read_secret
from .systems.freshness import quorum_time
from .systems.freshness import record_fresh_proof
from .systems.learning import expire_epochs
from .systems.limiting import update_usage
from .systems.worker_choice import end_ejections
from .systems.worker_choice import least_loaded_picker
from .tables.identity import Identity
from .tables.state import new_state
from .utils import hash_secret
from .utils import new_incarnation
from .version import __version__
from .watchers import Watcher

_JUDGE_MS = 500
_LIMITS_MS = 500
_LIST_MS = 1_000
_EXPIRE_MS = 10_000
_ORPHAN_MS = 2_000
_CONNECT_TIMEOUT = 1.0
_KEEP_ALIVE_S = 30.0
_HAND_OVER_MS = 10_000


class Daemon:
    """One running daemon.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    path : str
        The settings file, for messages about secrets.
    clock : Clock
        The source of time.
    """

    def __init__(self, settings: Settings, path: str, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.stop_asked = asyncio.Event()
        self.broken: InvariantError | None = None
        self.ports: dict[str, int] = {}
        self._path = path
        self._background = Background(self._on_broken)
        self._runners: list[web.AppRunner] = []
        self._server: Server | None = None
        self._peer_service: PeerService
        self.router: Router

    async def start(self) -> None:
        """Wire the parts together and begin to listen."""
        await self._wire()
        callers = CallerApi(self.router).app()
        operators = OperatorApi(self.router).app()
        listen = self.settings.listen
        self.ports["callers"] = await self._serve(callers, listen.callers)
        self.ports["operators"] = await self._serve(operators, listen.operators)
        self._start_jobs()
        log_event("INFO", "started", version=__version__, **self.ports)

    async def run(self) -> int:
        """Run until a stop is asked for; return the exit status."""
        await self.stop_asked.wait()
        await self.stop()
        return 1 if self.broken is not None else 0

    async def stop(self) -> None:
        """Stop as planned: take nothing new, finish every answer, hand bills over."""
        state = self.router.state
        state.stopping = True
        log_event("INFO", "stopping", running=len(self.router.running))
        await self.router.gossiper.tell_all()
        end = self.clock.now() + self.settings.timing.drain_ms
        while self.router.running and self.clock.now() < end:
            if self.broken is not None:
                break
            await asyncio.sleep(0.05)
        safe = await self.router.bills.hand_over(_HAND_OVER_MS)
        log_event(
            "INFO" if safe else "ERROR",
            "stopped",
            running=len(self.router.running),
            bills_safe=safe,
        )
        await self._close()

    async def kill(self) -> None:
        """Stop at once, with nothing handed over, as a crash would. For tests."""
        await self._close()

    def _on_broken(self, exc: InvariantError) -> None:
        log_event("ERROR", "invariant broken", promise=exc.promise, detail=exc.detail)
        self.broken = exc
        self.stop_asked.set()

    async def _wire(self) -> None:
        settings, clock = self.settings, self.clock
        rng = random.Random()
        box = BoxId(settings.box)
        incarnation = new_incarnation(box, clock.wall())
        server_port = await self._reserve_peers()
        host = settings.listen.peers.rpartition(":")[0]
        me = Identity(
            box, DomainId(settings.domain), f"{host}:{server_port}", incarnation
        )
        state = new_state(me, clock.now())
        metrics = Metrics(settings.statsd)
        log = LogClient(settings.platform.log, settings.platform.timeout_ms)
        await log.start()
        peers = PeerClient()
        parts = self._parts = Parts(settings, state, clock, peers, metrics)
        appender = Appender(parts, log)
        claimer = Claimer(state, clock, appender, peers)
        follower = ConfigFollower(state, clock, log)
        gossiper = Gossiper(parts, rng, follower, appender, claimer)
        bills = BillKeeper(parts, appender)
        keys = [
            read_secret(key, self._path, "$.session_keys")
            for key in settings.session_keys
        ]
        self.router = Router(
            settings=settings,
            clock=clock,
            rng=rng,
            state=state,
            http=_session(),
            workers=WorkerClient(),
            appender=appender,
            bills=bills,
            bill_reader=BillReader(log),
            claimer=claimer,
            follower=follower,
            gossiper=gossiper,
            peers=peers,
            log=log,
            signer=SessionSigner(keys),
            histograms=Histograms(),
            metrics=metrics,
            picker=least_loaded_picker(rng),
            operators=self._operators(),
            stop=self.stop_asked,
            on_broken=self._on_broken,
        )
        self._peer_service = PeerService(gossiper)
        await self._serve_peers(self._peer_service, host, server_port)

    def _operators(self) -> dict[str, OperatorKey]:
        return {
            hash_secret(
                read_secret(row.secret, self._path, "$.operators")
            ): OperatorKey(row.name, row.role)
            for row in self.settings.operators
        }

    def _start_jobs(self) -> None:
        router, timing = self.router, self.settings.timing
        jobs = self._background
        claims = ClaimsFollower(router.state, router.log, router.claimer)
        watcher = Watcher(
            self.settings, router.state, self.clock, router.http, router.gossiper
        )
        duties = Duties(self._parts, router.appender, router.bill_reader)
        jobs.forever(router.follower.run)
        jobs.forever(claims.run)
        jobs.forever(router.bills.run_copies)
        jobs.every(timing.gossip_ms, router.gossiper.round)
        jobs.every(timing.tick_ms, self._tick)
        jobs.every(_LIMITS_MS, self._tick_limits)
        jobs.every(_LIST_MS, watcher.read_list)
        jobs.every(timing.report_ms, watcher.read_reports)
        jobs.every(self.settings.journal.batch_ms, router.bills.append_own)
        jobs.every(_ORPHAN_MS, router.bills.append_orphans)
        jobs.every(_JUDGE_MS, duties.judge_rollouts)
        jobs.every(_EXPIRE_MS, self._expire)
        jobs.every(_EXPIRE_MS, duties.make_snapshot)
        jobs.every(_EXPIRE_MS, duties.make_bill_snapshot)

    async def _tick(self) -> None:
        router, now = self.router, self.clock.now()
        state = router.state
        end_ejections(state.workers, now)
        record_fresh_proof(state, quorum_time(state, now))

    async def _tick_limits(self) -> None:
        router, now = self.router, self.clock.now()
        state = router.state
        limits = {OrgId(name): row.limits for name, row in state.config.orgs.items()}
        update_usage(state.usage, limits, router.boxes(), now, _LIMITS_MS)

    async def _expire(self) -> None:
        expire_epochs(self.router.state.evidence, self.clock.wall())

    async def _serve(self, app: web.Application, address: str) -> int:
        host, _, port = address.rpartition(":")
        bounds = self.settings.bounds
        runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            max_line_size=bounds.header_bytes,
            max_field_size=bounds.header_bytes,
            shutdown_timeout=1.0,
        )
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        return int(runner.addresses[0][1])

    async def _reserve_peers(self) -> int:
        """Return the peer port, a free one for port 0."""
        host, _, port = self.settings.listen.peers.rpartition(":")
        if int(port):
            return int(port)
        loop = asyncio.get_running_loop()
        probe = await loop.create_server(asyncio.Protocol, host, 0)
        free = int(probe.sockets[0].getsockname()[1])
        probe.close()
        await probe.wait_closed()
        return free

    async def _serve_peers(self, service: PeerService, host: str, port: int) -> None:
        self._server = Server([service], codec=MsgpackCodec())
        await self._server.start(host, port)
        self.ports["peers"] = port

    async def _close(self) -> None:
        await self._background.stop()
        for runner in self._runners:
            await runner.cleanup()
        self._peer_service.close()
        if self._server is not None:
            self._server.close()
        router = self.router
        router.peers.stop()
        await router.http.close()
        await router.workers.stop()
        await router.log.stop()


def _session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=_KEEP_ALIVE_S)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT)
    return aiohttp.ClientSession(connector=check_heads(connector), timeout=timeout)


@cappa.command(name="spanshuntd", help="The spanshunt daemon.")
@dataclass
class DaemonCommand:
    """Arguments of the daemon."""

    settings: t.Annotated[
        str, cappa.Arg(long="--settings", help="The settings file (JSON).")
    ]
    check: t.Annotated[
        bool, cappa.Arg(long="--check", help="Check the settings and exit.")
    ] = False


def main() -> None:
    """Run the daemon from the command line."""
    command = cappa.parse(DaemonCommand, version=__version__)
    try:
        settings = load_settings(command.settings)
    except SettingsError as exc:
        print(f"spanshuntd: {exc}", file=sys.stderr)
        sys.exit(2)
    if command.check:
        print(f"{command.settings}: ok")
        return
    lines = set_up_logs(settings.logging, settings.box)
    try:
        sys.exit(uvloop.run(_serve_until_stopped(settings, command.settings, lines)))
    finally:
        lines.flush()


async def _serve_until_stopped(settings: Settings, path: str, lines: LineQueue) -> int:
    daemon = Daemon(settings, path, Clock())
    loop = asyncio.get_running_loop()
    flusher = loop.create_task(keep_flushing(lines))
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, daemon.stop_asked.set)
    await daemon.start()
    route_library_logs(daemon.router.metrics.count)
    try:
        return await daemon.run()
    finally:
        flusher.cancel()
