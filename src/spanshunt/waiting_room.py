"""Requests that wait at this box for room at a worker: one future for each.

What becomes of a request is decided in ``systems.queueing``, and which waiter is next
in ``systems.sharing``. Waiters are looked at when one joins, when a request of this box
ends, and at a short interval. A request is planned only after its wait, so that the
plan knows of workers that left and of verdicts meanwhile.
"""

import asyncio
import collections
import itertools

import msgspec

from .catalog_state import CatalogRequest
from .catalog_state import Core
from .histograms import Measure
from .ids import Millis
from .ids import RegionId
from .ids import RequestId
from .ids import ServiceId
from .logs import log_event
from .planning import plain_candidates
from .planning import plain_service
from .planning import retry_after_ms
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .share_lines import share_fields
from .systems.arrivals import box_share
from .systems.queueing import WAITER_BYTES
from .systems.queueing import Admission
from .systems.queueing import add_waiter
from .systems.queueing import admit
from .systems.queueing import expected_wait_ms
from .systems.queueing import expired_waiters
from .systems.queueing import latest_start
from .systems.queueing import must_end_waits
from .systems.queueing import remove_waiter
from .systems.regions import may_share_region
from .systems.sharing import is_over_share
from .systems.sharing import waiters_in_order
from .systems.work_times import usual_work_ms
from .systems.worker_room import FULL_HALF_LIFE_MS
from .systems.worker_room import ServiceRoom
from .systems.worker_room import find_room
from .systems.worker_room import has_free_slots_everywhere
from .systems.worker_room import others_requests
from .tables.waiting import Waiter
from .tables.workers import WorkerRow

LOOK_S = 0.02
"""Interval at which waiters are looked at while nothing happens, in s."""

MAX_PASSED_OVER = 4
"""Waiters of the same regions for which a look may find no room before it skips the
others of these regions. A few are passed over, as the versions that are open to the
next one may differ."""

MAX_WORKERS_LOGGED = 6
"""Workers whose believed load is logged for a request."""


class _Entry(msgspec.Struct):
    """A waiting request, its row, and the future that ends its wait."""

    state: CatalogRequest
    waiter: Waiter
    fut: asyncio.Future[Admission]


class WaitingRoom:
    """All requests that wait at this box.

    Parameters
    ----------
    core : Core
        What all requests share.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._entries: dict[RequestId, _Entry] = {}
        self._numbers = itertools.count()
        self._look_due = False
        self._timer: asyncio.TimerHandle | None = None

    async def await_room(self, state: CatalogRequest) -> Refusal | None:
        """Wait until a worker has room; return the refusal if none will in time.

        A request that a worker may have run is sent on at once, as is one that no
        worker accepts for another reason than its load.
        """
        core, since = self._core, self._core.clock.now()
        service = plain_service(core, state)
        if service is None:
            return None
        if not core.fleet.wait_list.count and has_free_slots_everywhere(
            core.fleet, service.name
        ):
            state.full_workers = frozenset()
            return None
        admission, waiter, waited = Admission.SEND, None, False
        while admission is not Admission.REFUSE:
            room = self._find_room(state)
            if room is None:
                break
            state.full_workers = room.full if room.has_room else frozenset()
            if state.runs or (waited and room.has_room):
                break
            if room.has_room and not self._has_rivals(state):
                break
            waiter = self._make_waiter(state, room, since)
            admission = admit(core.fleet, room, waiter, core.clock.now())
            if admission is not Admission.WAIT:
                break
            waited = True
            admission = await self._wait(state, waiter)
        if waiter is None:
            return None
        waited_ms = core.clock.now() - since if waited else None
        return self._conclude(state, waiter, admission, waited_ms)

    def look_soon(self) -> None:
        """Look at the waiters once the running task is done."""
        if self._entries and not self._look_due:
            self._look_due = True
            asyncio.get_running_loop().call_soon(self._look)

    def _has_rivals(self, state: CatalogRequest) -> bool:
        """Return whether a waiting request may go to a region that this one may."""
        regions = state.admitted.regions
        return any(
            entry.waiter.service == state.service
            and may_share_region(regions, entry.state.admitted.regions)
            for entry in self._entries.values()
        )

    def _find_room(self, state: CatalogRequest) -> ServiceRoom | None:
        """Return the room for a request; None if no worker accepts it at all.

        One that all workers turned away may go back to them.
        """
        core = self._core
        turned_away = state.sends > state.unreached
        rows = self._candidates(state)
        if not rows and turned_away and not state.runs:
            state.tried.clear()
            rows = self._candidates(state)
        if not rows:
            return None
        return find_room(
            core.fleet,
            rows,
            usual_work_ms(core.fleet, state.admitted.route),
            core.clock.now(),
            free_slots_only=turned_away,
            over_share=is_over_share(
                core.fleet, state.service, state.org, core.clock.now()
            ),
        )

    def _candidates(self, state: CatalogRequest) -> list[WorkerRow]:
        service = plain_service(self._core, state)
        if service is None:
            return []
        return plain_candidates(self._core, state, service)

    def _make_waiter(
        self, state: CatalogRequest, room: ServiceRoom, since: Millis
    ) -> Waiter:
        request = state.request
        if request in self._entries:
            request = RequestId(f"{request}/{next(self._numbers)}")
        return Waiter(
            request=request,
            service=state.service,
            org=state.org,
            priority=state.admitted.priority,
            since=since,
            start_by=latest_start(room, state.limit),
            bytes=WAITER_BYTES + len(state.call.body),
        )

    async def _wait(self, state: CatalogRequest, waiter: Waiter) -> Admission:
        """Wait until the request may be sent, or until no worker can start it."""
        loop = asyncio.get_running_loop()
        entry = _Entry(state, waiter, loop.create_future())
        self._entries[waiter.request] = entry
        add_waiter(self._core.fleet.wait_list, waiter)
        self._arm()
        self.look_soon()
        try:
            return await entry.fut
        finally:
            self._drop(entry)

    def _drop(self, entry: _Entry) -> None:
        self._entries.pop(entry.waiter.request, None)
        remove_waiter(self._core.fleet.wait_list, entry.waiter)

    def _end(self, entry: _Entry, admission: Admission) -> None:
        """End a wait; the request's task goes on soon."""
        self._drop(entry)
        if not entry.fut.done():
            entry.fut.set_result(admission)

    def _arm(self) -> None:
        """Look again after `LOOK_S`, as long as anything waits."""
        if self._timer is None and self._entries:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LOOK_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._look()
        self._arm()

    def _look(self) -> None:
        """End the waits that are over: for room, for time, or as the box stops."""
        self._look_due = False
        fleet, now = self._core.fleet, self._core.clock.now()
        if must_end_waits(fleet, now):
            ended = list(self._entries)
        else:
            ended = expired_waiters(fleet.wait_list, now)
        for request in ended:
            self._end(self._entries[request], Admission.REFUSE)
        for service in list(fleet.wait_list.waiters):
            self._start_next(service, now)

    def _start_next(self, service: ServiceId, now: Millis) -> None:
        """Let the next waiter of a service be sent if there is room for it.

        The next look, for the one after it, is due once this one counts at its worker.
        """
        passed: collections.Counter[tuple[frozenset[RegionId], ...]]
        passed = collections.Counter()
        for waiter in waiters_in_order(self._core.fleet, service, now):
            entry = self._entries[waiter.request]
            regions = entry.state.admitted.regions
            if passed[regions] >= MAX_PASSED_OVER:
                continue
            room = self._find_room(entry.state)
            if room is None or room.has_room:
                self._end(entry, Admission.SEND)
                self.look_soon()
                return
            passed[regions] += 1

    def _conclude(
        self,
        state: CatalogRequest,
        waiter: Waiter,
        admission: Admission,
        waited_ms: int | None,
    ) -> Refusal | None:
        """Count and log what became of a request; return its refusal, if any.

        `waited_ms` is None if it did not wait.
        """
        core = self._core
        if waited_ms is not None or admission is Admission.REFUSE:
            self._log(state, waiter, admission, waited_ms or 0)
        if waited_ms is not None:
            core.count("requests_waited")
            core.histograms.record(
                state.org, state.request_class, Measure.WAIT, 1_000 * waited_ms
            )
        if admission is not Admission.REFUSE:
            return None
        core.count("refused_too_late")
        detail = f"no worker of {state.service} can start the request in time"
        if must_end_waits(core.fleet, core.clock.now()):
            detail = f"this box stops, and no worker of {state.service} has room"
        retry_ms = retry_after_ms(core, state)
        return Refusal(Problem.OVERLOADED, detail, Run.NO, retry_ms)

    def _log(
        self,
        state: CatalogRequest,
        waiter: Waiter,
        admission: Admission,
        waited_ms: int,
    ) -> None:
        """Log what a request waited for or why it is refused, and what was believed."""
        core, now = self._core, self._core.clock.now()
        rows = self._candidates(state)
        room = self._find_room(state)
        expected_ms = expected_wait_ms(core.fleet, room, waiter, now) if room else 0.0
        log_event(
            "INFO",
            "admission",
            request=state.request,
            route=state.request_class,
            org=state.org,
            service=state.service,
            admission=admission.value,
            why=self._reason(admission),
            workers=[_describe(row, now) for row in rows[:MAX_WORKERS_LOGGED]],
            report_age_ms=max((_report_age_ms(row, now) for row in rows), default=-1),
            work_ms=round(room.work_ms) if room else None,
            room_part=round(box_share(core.fleet, state.service, now), 3),
            expected_wait_ms=round(expected_ms),
            waiters=core.fleet.wait_list.count,
            left_ms=state.limit - now,
            waited_ms=waited_ms,
            **share_fields(core.fleet, state.service, state.org, now),
        )

    def _reason(self, admission: Admission) -> str:
        if admission is Admission.SEND:
            return "a worker has room"
        if must_end_waits(self._core.fleet, self._core.clock.now()):
            return "the box stops"
        return "no worker can start it in time"


def _describe(row: WorkerRow, now: Millis) -> str:
    """Return a worker's own and other requests, and its slots."""
    others = others_requests(row, now, FULL_HALF_LIFE_MS)
    return f"{row.name}:{row.inflight}+{others:.1f}/{row.slots}"


def _report_age_ms(row: WorkerRow, now: Millis) -> int:
    return now - row.reported_at if row.reported_at else -1
