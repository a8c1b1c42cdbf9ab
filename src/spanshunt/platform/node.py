"""One box on the platform: its composition root and its life."""

import asyncio
import random
import socket
from functools import partial

import msgspec
from aiohttp import web
from grpclib.server import Server

from ..arrival_lines import arrival_lines
from ..background import Background
from ..break_causes import handle_worker_end
from ..byte_keeper import held_lines
from ..catalog_fetcher import CatalogFetcher
from ..catalog_state import Core
from ..clock import Clock
from ..counters import Counters
from ..counters import metrics_page
from ..exceptions import InvariantError
from ..exchange import Exchange
from ..fleet_report import FLEET_PATH
from ..fleet_report import fleet_view
from ..fleet_report import settings_lines
from ..fleet_report import waiting_lines
from ..fleet_report import worker_speed_lines
from ..gateway_sends import WorkerSender
from ..gateway_service import GatewayServer
from ..histograms import Histograms
from ..ids import BoxId
from ..ids import DomainId
from ..ids import Millis
from ..keeping_back import enforce_quarantine
from ..logs import LineQueue
from ..logs import log_event
from ..logs import send_logs
from ..overload_lines import overload_lines
from ..partition_lines import partition_lines
from ..peers.codec import MsgpackCodec
from ..peers.gateways import GatewayService
from ..peers.news import NewsService
from ..platform_lines import log_older_store
from ..settings_file import LOOK_MS as SETTINGS_MS
from ..settings_file import Applied
from ..settings_file import SettingsFile
from ..share_lines import log_share_events
from ..share_lines import share_lines
from ..systems.eras import record_era
from ..systems.forgetting import forget_old
from ..systems.proving import newest_reported_version
from ..systems.sharing import update_shares
from ..tables.fleet import Fleet
from ..tables.identity import Identity
from ..tables.workers import WorkerRow
from ..utils import new_incarnation
from ..version import __version__
from ..waking import Wakes
from ..waking import take_wake
from ..worker_probes import WorkerProbes
from . import catalogs
from .bounds import repeat_bounds
from .bounds import set_tables
from .box_list import BoxList
from .caller_listener import BACKLOG
from .caller_listener import CallerListener
from .caller_listener import listen
from .front import Front
from .kept_back import KeptBackRecords
from .operator_records import OperatorRecords
from .recorder import Recorder
from .settings import NodeSettings
from .settings import changed_fields
from .settings import keep_until_start
from .settings import load_node_settings
from .settings import shared_digest
from .store import StoreClient
from .store_reader import LOOK_MS
from .store_reader import StoreReader
from .worker_list import WorkerList
from .workers import WorkerClient

EXCHANGE_MS = 400
"""Period of exchanges with peers, in ms."""

JUDGE_MS = 250
"""Period of judging roll-outs, in ms."""

RECORD_MS = 200
"""Period of recording contents that are kept back, in ms."""

WAKES_MS = 100
"""Period of looking whether the box was suspended, in ms; each request looks, too."""

ALONE_MS = 3_000
"""How long after its start a box that heard of no other one takes it that there are
some, in ms: peers answer within two rounds, and the list of boxes is read after 1.5
s."""

FIRST_CATALOG_MS, FIRST_CATALOG_STEP_S = 300, 0.01
"""Longest that a box that starts waits for its first catalog before it reads callers'
requests, in ms, and how often it looks, in s: the store answers in 4 ms, a slow one in
240."""

SHARES_MS = 100
"""Period of computing the shares of organisations, in ms."""

UNREADY_LINE_MS = 2_000
"""Period of logging what a box that is not ready waits for, in ms."""

PARTITION_LOOK_MS = 50
"""Period of looking whether a partitioned box is due to probe a worker, in ms."""

TIMER_LOOK_MS = 50
"""Period of looking how late timers are, in ms."""

IDLE_LOOK_MS = 1_000
"""Period of looking for callers' connections that were idle too long, in ms."""

SWEEP_MS = 5_000
"""Period of dropping what is too old, in ms."""

LINGER_MS = 2_600
"""How long a stopping box goes on taking requests, in ms: the balancer asks each second
and takes a box out at the second miss."""

STOP_MARGIN_MS = 900
"""What is left of the grace when the last requests are given up, in ms."""

STOP_WAITS_MS = 1_500
"""What is left of the grace when a stopping box refuses the requests that still wait,
in ms: those that it sent just before must be answered before the last are given up."""

STOP_STEP_S = 0.05
"""How often a stopping box looks whether requests are under way, in s."""

CLOSE_S = 0.4
"""Longest that letting go of connections may take at the end, in s."""


class Node:
    """One box.

    Parameters
    ----------
    settings : NodeSettings
        Checked settings.
    clock : Clock
        The source of time.
    callers : socket.socket or None
        Listens where callers connect already; None if nothing does yet.
    path : str
        The settings file, followed while the box runs; empty for none.
    lines : LineQueue or None
        Where log lines go; None where that is not this box's to change.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        callers: socket.socket | None = None,
        path: str = "",
        lines: LineQueue | None = None,
    ) -> None:
        self.settings = settings
        self._path = path
        self._lines = lines
        self._callers = callers
        self.clock = clock
        self.stop_asked = asyncio.Event()
        self.broken = False
        self.counters = Counters()
        self.fleet = _new_fleet(settings, clock)
        self.histograms = Histograms()
        self._background = Background(self._on_broken, phase=random.random())
        self._runners: list[web.ServerRunner] = []
        self._listener: CallerListener | None = None
        self._store = StoreClient(
            settings.store.address,
            settings.store.timeout_ms,
            self.counters.add,
            self._take_era,
        )
        bounds = settings.bounds
        rng = random.Random()
        self._sender = WorkerSender(
            self.fleet,
            clock,
            rng,
            WorkerProbes().probe,
            lambda worker, path: self._workers.ask_health(worker, path),
            self.counters.add,
        )
        self._workers = WorkerClient(self._sender)
        self.core = Core(
            clock=clock,
            rng=rng,
            fleet=self.fleet,
            send=self._workers.send,
            probe=self._sender.probe,
            gossip_now=lambda: self._exchange.tell_now(),
            load_quarantine=lambda: self._kept_back.recall(),
            check_suspension=lambda: self._wakes.look(),
            prove_catalog=lambda: self._operator_records.prove(),
            in_force_ms=Millis(bounds.in_force_ms),
            fingerprint_key=settings.fingerprint_key,
            bounds=repeat_bounds(bounds),
            histograms=self.histograms,
            count=self.counters.add,
        )
        reader = StoreReader(self.fleet, clock, self._store)
        self._operator_records = OperatorRecords(
            reader, bounds.in_force_ms, lambda: self._exchange.tell_now()
        )
        self._worker_list = WorkerList(
            reader, bounds.draining_ms, self._take_listed_end
        )
        self._box_list = BoxList(reader)
        self._front = Front(self.core, self._on_broken)
        self._recorder = Recorder(reader, self.counters.add)
        self._wakes = Wakes(clock, partial(take_wake, self.core))
        self._kept_back = KeptBackRecords(reader)
        self._fetcher = CatalogFetcher(self.fleet, clock, rng, catalogs.decode_catalog)
        self._exchange = Exchange(
            self.fleet,
            clock,
            rng,
            self._fetcher.look,
            settings.seeds,
            on_quarantined=partial(enforce_quarantine, self.core),
            on_ended=self._take_listed_end,
        )
        self._settings_file = SettingsFile(
            path,
            clock,
            self.fleet.settings,
            load_node_settings,
            self.apply,
            self.counters.add,
        )
        self._news = NewsService(self._exchange.answer_news, self._fetcher.tell)
        gateway = GatewayServer(
            self.fleet,
            clock,
            self._workers.send_direct,
            self._sender.probe,
            self.counters.add,
        )
        self._server = Server(
            [self._news, GatewayService(gateway.serve)], codec=MsgpackCodec()
        )

    async def start(self) -> None:
        """Begin to listen and to follow."""
        await self._workers.start()
        await self._store.start()
        listen = self.settings.listen
        await self._serve(web.Server(self._answer_ready), listen.readiness)
        await self._serve(web.Server(self._answer_metrics), listen.metrics)
        host, _, port = listen.peers.rpartition(":")
        await self._server.start(host, int(port))
        self._start_jobs()
        await self._await_catalog()
        await self._serve_callers()
        log_event(
            "INFO",
            "started",
            version=__version__,
            domain=self.settings.domain,
            callers=listen.callers,
            incarnation=self.fleet.identity.incarnation,
            settings=self.fleet.settings.digest,
            catalog=self.fleet.catalog.version if self.fleet.catalog else None,
        )

    async def _await_catalog(self) -> None:
        """Wait a little for the first catalog, before callers' requests are read.

        They wait in the queue of connections: to answer all of those that came while
        the box was not up would hold up the reading of the catalog that they need.
        """
        for _ in range(int(FIRST_CATALOG_MS / (1_000 * FIRST_CATALOG_STEP_S))):
            if self.fleet.catalog is not None:
                return
            await asyncio.sleep(FIRST_CATALOG_STEP_S)

    def _start_jobs(self) -> None:
        jobs = self._background
        jobs.every(LOOK_MS, self._operator_records.look)
        jobs.every(LOOK_MS, self._worker_list.look)
        jobs.forever(self._operator_records.follow)
        jobs.forever(self._operator_records.renew)
        jobs.forever(self._worker_list.follow)
        jobs.forever(self._box_list.follow)
        jobs.every(EXCHANGE_MS, self._exchange.run_round)
        jobs.forever(self._fetcher.follow)
        jobs.every(JUDGE_MS, self._recorder.tick)
        jobs.every(RECORD_MS, self._kept_back.tick)
        jobs.every(WAKES_MS, self._look)
        jobs.every(TIMER_LOOK_MS, self._look_at_timer)
        jobs.every(PARTITION_LOOK_MS, self._sender.look)
        jobs.every(SHARES_MS, self._share)
        jobs.every(SWEEP_MS, self._sweep)
        jobs.every(IDLE_LOOK_MS, self._front.end_timed_out_connections)
        jobs.every(UNREADY_LINE_MS, self._log_unready)
        if self._path:
            jobs.every(SETTINGS_MS, self._settings_file.look)

    def why_not_ready(self) -> str:
        """Return why this box should get no new connections, empty if it should."""
        if self.fleet.stopping:
            return "stopping"
        if self.fleet.catalog is None:
            return "no catalog is known"
        if not self.fleet.workers.rows:
            return "no workers are known"
        return ""

    async def stop(self) -> None:
        """Stop as planned: not ready first, then finish what is under way."""
        begun = self.clock.now()
        grace_ms = int(self.settings.bounds.grace_s * 1_000)
        self.fleet.waits_end = Millis(begun + max(0, grace_ms - STOP_WAITS_MS))
        self.fleet.stopping = True
        log_event("INFO", "stopping", running=len(self.core.running))
        last = begun + grace_ms - STOP_MARGIN_MS
        if not self.broken:
            await asyncio.sleep(LINGER_MS / 1_000)
            await self._until_idle(last)
        log_event("INFO", "stopped", running=len(self.core.running))
        try:
            async with asyncio.timeout(CLOSE_S):
                await self.close()
        except TimeoutError:
            log_event("WARNING", "connections left open", after_s=CLOSE_S)

    async def _until_idle(self, last: float) -> None:
        """Take no new connections, and end each one as soon as it is idle.

        Returns when none is left, or at `last`, in ms. A request that was read counts
        before its handler begins.
        """
        if self._listener is not None:
            self._listener.stop()
        while True:
            self._front.end_idle_connections()
            busy = self._front.server.connections or self.fleet.gateway_sends
            if not busy or self.clock.now() >= last:
                return
            await asyncio.sleep(STOP_STEP_S)

    async def close(self) -> None:
        """Let go of everything at once."""
        if self._listener is not None:
            self._listener.stop()
        await self._background.stop()
        for runner in self._runners:
            await runner.cleanup()
        self._news.close()
        self._server.close()
        self._exchange.stop()
        self._sender.stop()
        await self._workers.stop()
        await self._store.stop()

    def reload(self) -> None:
        """Read the settings file again soon."""
        if self._path:
            self._settings_file.ask()

    def apply(self, found: NodeSettings) -> Applied:
        """Put settings in force at once, but for what only a start can change."""
        before = self.settings
        now = keep_until_start(before, found)
        self.settings = now
        set_tables(self.fleet, now)
        self.core.bounds = repeat_bounds(now.bounds)
        self.core.in_force_ms = Millis(now.bounds.in_force_ms)
        self._store.set_timeout(now.store.timeout_ms)
        self._operator_records.set_bound(now.bounds.in_force_ms)
        self._worker_list.set_bound(now.bounds.draining_ms)
        self._exchange.set_seeds(now.seeds)
        if self._lines is not None and now.logging != before.logging:
            send_logs(now.logging, now.box, self._lines)
        return Applied(
            digest=shared_digest(now),
            changed=changed_fields(before, now),
            waiting=changed_fields(now, found),
        )

    def _on_broken(self, exc: InvariantError) -> None:
        log_event("ERROR", "invariant broken", promise=exc.promise, detail=exc.detail)
        self.broken = True
        self.stop_asked.set()

    def _take_listed_end(self, worker: WorkerRow) -> None:
        handle_worker_end(self.core, worker, "another one in the list")

    def _take_era(self, era: int) -> None:
        if record_era(self.fleet, era, self.clock.now()):
            self.counters.add("store_came_back_older")
            log_older_store(self.fleet, "store")
            self._exchange.tell_now()

    async def _look(self) -> None:
        self._wakes.look()

    async def _look_at_timer(self) -> None:
        self._front.server.look(self._background.late_s)

    async def _share(self) -> None:
        events = update_shares(self.fleet, self.clock.now())
        log_share_events(events, self.counters.add)

    async def _log_unready(self) -> None:
        reason = self.why_not_ready()
        if not reason or self.fleet.stopping:
            return
        fleet, now = self.fleet, self.clock.now()
        failing_since = fleet.store.failing_since
        log_event(
            "WARNING",
            "not ready",
            reason=reason,
            store_fails_ms=now - failing_since if failing_since >= 0 else None,
            peers_heard=sum(peer.heard >= 0 for peer in fleet.peers.values()),
            newest_told=newest_reported_version(fleet),
        )

    async def _sweep(self) -> None:
        forget_old(self.fleet, self.clock.now())

    async def _serve_callers(self) -> None:
        """Begin to accept callers' connections."""
        server = self._front.server
        await self._set_up(server)
        sock = self._callers or listen(self.settings.listen.callers)
        self._listener = CallerListener(sock, server, server.may_take)
        self._listener.start()

    async def _serve(self, server: web.Server, address: str) -> None:
        runner = await self._set_up(server)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port), backlog=BACKLOG).start()

    async def _set_up(self, server: web.Server) -> web.ServerRunner:
        runner = web.ServerRunner(server, shutdown_timeout=0.2)
        await runner.setup()
        self._runners.append(runner)
        return runner

    async def _answer_ready(self, req: web.BaseRequest) -> web.StreamResponse:
        reason = self.why_not_ready()
        return web.Response(status=503 if reason else 200, text=reason)

    async def _answer_metrics(self, req: web.BaseRequest) -> web.StreamResponse:
        if req.path == FLEET_PATH:
            view = fleet_view(
                self.fleet, self.core.bounds, self.why_not_ready(), self.clock.now()
            )
            body = msgspec.json.encode(view)
            return web.Response(body=body, content_type="application/json")
        now = self.clock.now()
        page = metrics_page(self.counters, self.histograms)
        page += settings_lines(self.fleet, now) + worker_speed_lines(self.fleet, now)
        page += waiting_lines(self.fleet) + share_lines(self.fleet)
        page += partition_lines(self.fleet) + overload_lines(self.fleet)
        page += arrival_lines(self.fleet, self.clock.now())
        return web.Response(text=page + held_lines(self.fleet))


def _new_fleet(settings: NodeSettings, clock: Clock) -> Fleet:
    """Return the tables of a box that starts, with what its settings tell."""
    box = BoxId(settings.box)
    fleet = Fleet(
        identity=Identity(
            box=box,
            domain=DomainId(settings.domain),
            address=settings.listen.advertised or settings.listen.peers,
            incarnation=new_incarnation(box, clock.wall()),
        ),
        discovery_until=Millis(clock.now() + ALONE_MS),
    )
    set_tables(fleet, settings)
    fleet.settings.digest = shared_digest(settings)
    fleet.settings.since = clock.now()
    return fleet
