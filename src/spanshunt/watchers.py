"""Watchers of the platform's box list and of workers' load reports."""

import asyncio

import aiohttp
import msgspec
from result import Err
from result import Ok

from .backing.boxes import BoxList
from .backing.boxes import BoxState
from .backing.boxes import ListedBox
from .backing.boxes import fetch_boxes
from .clock import Clock
from .gossiper import Gossiper
from .ids import VersionId
from .ids import WorkerId
from .logs import log_event
from .settings import Settings
from .tables.state import State
from .tables.workers import WorkerRow
from .tables.workers import WorkerState

_REPORT_TIMEOUT = aiohttp.ClientTimeout(total=1.0)


class LoadReport(msgspec.Struct, frozen=True):
    """A worker's load report.

    Attributes
    ----------
    running, waiting : int
        Requests in the batch and in the queue.
    slots : int
        Requests that fit in the batch.
    versions : tuple of str
        Versions held.
    leaving : bool
        Whether new work is unwelcome.
    """

    running: int
    waiting: int = 0
    slots: int = 16
    versions: tuple[VersionId, ...] = ()
    leaving: bool = False


class Watcher:
    """Keeps the tables of workers and of listed boxes up to date.

    Parameters
    ----------
    settings, state, clock, http, gossiper
        The parts of the daemon that it works with.
    """

    def __init__(
        self,
        settings: Settings,
        state: State,
        clock: Clock,
        http: aiohttp.ClientSession,
        gossiper: Gossiper,
    ) -> None:
        self._settings = settings
        self._state = state
        self._clock = clock
        self._http = http
        self._gossiper = gossiper

    async def read_list(self) -> None:
        """Read the box list; while it can't be read, the last one holds."""
        match await fetch_boxes(self._http, self._settings.platform.boxes):
            case Ok(boxes):
                self._take_list(boxes)
            case Err(fault):
                log_event("DEBUG", "box list not read", fault=fault.detail)

    async def read_reports(self) -> None:
        """Read the load reports of all workers."""
        rows = list(self._state.workers.rows.values())
        await asyncio.gather(*(self._read_report(row) for row in rows))

    def _take_list(self, boxes: BoxList) -> None:
        routers = [row for row in boxes.boxes if not row.service]
        workers = {WorkerId(row.address): row for row in boxes.boxes if row.service}
        self._state.members.listed = frozenset(row.name for row in routers)
        for router in routers:
            self._gossiper.meet(router.name, router.domain, router.address)
        table = self._state.workers
        for name, row in workers.items():
            self._take_worker(name, row)
        for name in set(table.rows) - set(workers):
            if table.rows[name].inflight == 0:
                del table.rows[name]
                table.invalidate_index()
                table.leaving.discard(name)
            else:
                table.leaving.add(name)

    def _take_worker(self, name: WorkerId, listed: ListedBox) -> None:
        table = self._state.workers
        if name not in table.rows:
            table.rows[name] = WorkerRow(
                name=name,
                service=listed.service,
                domain=listed.domain,
                versions=frozenset(listed.versions),
            )
            table.invalidate_index()
        if listed.state is BoxState.LEAVING:
            table.leaving.add(name)

    async def _read_report(self, row: WorkerRow) -> None:
        before = row.inflight
        try:
            async with self._http.get(
                f"http://{row.name}/load", timeout=_REPORT_TIMEOUT
            ) as answer:
                report = msgspec.json.decode(await answer.read(), type=LoadReport)
        except (TimeoutError, aiohttp.ClientError, msgspec.MsgspecError):
            return
        row.reported = report.running + report.waiting
        row.own_inflight_at_report = min(before, row.inflight)
        row.slots = max(1, report.slots)
        row.reported_at = self._clock.now()
        held = frozenset(report.versions)
        if held and held != row.versions:
            row.versions = held
            self._state.workers.invalidate_index()
        if report.leaving and row.name not in self._state.workers.leaving:
            log_event("INFO", "worker leaves", worker=row.name)
            self._state.workers.leaving.add(row.name)
            row.state = WorkerState.LEAVING
