"""Sending to workers, by this box's own connections or through a peer.

A box that reaches no worker by itself sends each request through a peer; see
``systems.partitions``. The request takes one hop at most: a peer sends by its own
connections only.
"""

import asyncio
import random
import typing as t
from functools import partial

from result import Err
from result import Ok
from result import Result

from .clock import Clock
from .forwarded_answers import ForwardedResponse
from .forwarded_answers import describe_head
from .forwarded_answers import is_sound_head
from .forwarded_answers import to_send_fault
from .http_sends import HttpSend
from .ids import BoxId
from .ids import Millis
from .ids import RegionId
from .ids import RequestId
from .logs import log_event
from .peers.gateways import ForwardedRequest
from .peers.gateways import GatewayClient
from .peers.gateways import GatewaySend
from .peers.gateways import OfferFault
from .peers.gateways import SendOffer
from .peers.gateways import header_rows
from .peers.unary import PeerFault
from .ports import SendFault
from .ports import WorkerResponse
from .settling import Counter
from .systems.partitions import begin_partition
from .systems.partitions import choose_gateway
from .systems.partitions import has_connected_since
from .systems.partitions import has_gateway
from .systems.partitions import health_path
from .systems.partitions import is_partitioned
from .systems.partitions import record_answered
from .systems.partitions import record_connected
from .systems.partitions import record_probe
from .systems.partitions import record_unanswered
from .systems.partitions import record_unreached
from .systems.partitions import worker_to_probe
from .systems.partitions import workers_to_probe
from .systems.shedding import is_behind
from .tables.fleet import Fleet
from .tables.fleet import PeerRow
from .tables.workers import WorkerRow
from .worker_probes import Presence
from .worker_probes import Probe

PROBE_INTERVAL_MS = 250
"""How often a partitioned box probes a worker, in ms."""

TOLD_END_MS = 1_000
"""How long a gateway's word that a worker ended stands for a probe, in ms: requests
that broke with it ask at once, and a worker may be back soon."""

SILENT_MS = 300
"""How long a request that its sender gives up must have been unanswered for its worker
to count as silent, in ms: callers leave earlier ones."""

MAX_OFFERS = 3
"""Number of peers that a request is offered to before it is refused."""

Sent = Result[WorkerResponse, SendFault]
DirectSend = t.Callable[[HttpSend], t.Awaitable[Sent]]
"""Sends a request by this box's own connections."""

Regions = tuple[frozenset[RegionId], ...]
"""Sets of allowed regions; an empty one allows any."""

AskHealth = t.Callable[[WorkerRow, str], t.Awaitable[bool]]
"""Asks a worker for its health at a path; returns whether it answered at all."""

BuildSend = t.Callable[[int], HttpSend]
"""Builds a request that is sent some ms after it was planned."""


class WorkerSender:
    """Sends requests to workers, and finds out whether this box reaches any.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    rng : random.Random
        Draws gateways and workers to probe.
    probe : callable
        Finds out whether a worker takes connections.
    ask_health : callable
        Asks a worker for its health.
    count : callable
        Increments a counter.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        probe: Probe,
        ask_health: AskHealth,
        count: Counter,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._probe = probe
        self._ask_health = ask_health
        self._count = count
        self._gateways = GatewayClient()
        self._check: asyncio.Task[bool] | None = None
        self._probed_at = Millis(0)

    def stop(self) -> None:
        """Close all connections to gateways."""
        if self._check is not None:
            self._check.cancel()
        self._gateways.stop()

    async def send(
        self,
        worker: WorkerRow,
        request: RequestId,
        build: BuildSend,
        direct: DirectSend,
        *,
        left_ms: int,
        new_connection: bool,
        regions: Regions = (),
    ) -> Sent:
        """Send a request and return the head of its answer, or the fault.

        `regions` are the sets of regions in each of which a peer must be.
        """
        began = self._clock.now()
        if not is_partitioned(self._fleet):
            sent = await self._send_direct(
                worker, build(0), direct, began, over_new=new_connection
            )
            if isinstance(sent, Ok):
                now = self._clock.now()
                record_answered(self._fleet, now, over_new=new_connection)
                if new_connection:
                    record_connected(self._fleet, began)
                return sent
            if not sent.err_value.unreached:
                if not sent.err_value.stale:
                    await self._finds_no_answers(worker, began, over_new=new_connection)
                return sent
            if not await self._finds_partition(worker, began):
                return sent
        spent_ms = self._clock.now() - began
        send = build(spent_ms)
        message = ForwardedRequest(
            send.method,
            send.url.raw_path_qs,
            header_rows(send.headers),
            send.body,
            left_ms - spent_ms,
            new_connection,
        )
        return await self._send_through_gateway(worker, request, message, regions)

    async def _send_direct(
        self,
        worker: WorkerRow,
        send: HttpSend,
        direct: DirectSend,
        began: Millis,
        *,
        over_new: bool,
    ) -> Sent:
        """Send by this box's own connections; a request given up late counts."""
        try:
            return await direct(send)
        except asyncio.CancelledError:
            if self._clock.now() - began >= SILENT_MS:
                self._start_check(worker, began, over_new=over_new)
            raise

    async def probe(self, worker: WorkerRow) -> Presence:
        """Find out whether a worker is there.

        While this box is partitioned, that is unknown unless a gateway just told it.
        """
        if is_partitioned(self._fleet):
            return self._told_presence(worker)
        began = self._clock.now()
        found = await self._probe(worker)
        if found is Presence.THERE:
            record_connected(self._fleet, began)
        elif await self._finds_partition(worker, began):
            return Presence.UNKNOWN
        return found

    def _told_presence(self, worker: WorkerRow) -> Presence:
        """Return what a gateway told of a worker just now."""
        told_at = self._fleet.partition.ended.get(worker.name, Millis(-1))
        is_recent = told_at >= 0 and self._clock.now() - told_at <= TOLD_END_MS
        return Presence.GONE if is_recent else Presence.UNKNOWN

    async def look(self) -> None:
        """Probe whether a partition is over, when that is due."""
        now = self._clock.now()
        if not is_partitioned(self._fleet):
            return
        if now < self._probed_at + PROBE_INTERVAL_MS:
            return
        self._probed_at = now
        row = worker_to_probe(self._fleet, self._rng)
        if row is None:
            return
        reached = await self._is_reached(row)
        since = self._fleet.partition.since
        if record_probe(self._fleet, row, self._clock.now(), reached=reached):
            self._gateways.give_up_all()
            self._count("partitions_ended")
            log_event(
                "INFO",
                "partition ended",
                lasted_ms=self._clock.now() - since,
                worker=row.name,
            )

    async def _is_reached(self, row: WorkerRow) -> bool:
        """Return whether a partitioned box reaches a worker."""
        path = health_path(self._fleet, row)
        if self._fleet.partition.answerless and path:
            return await self._ask_health(row, path)
        return await self._probe(row) is Presence.THERE

    async def _finds_no_answers(
        self, worker: WorkerRow, began: Millis, *, over_new: bool
    ) -> bool:
        """Return whether no worker answers, after one took a request and did not."""
        if is_partitioned(self._fleet):
            return True
        check = self._start_check(worker, began, over_new=over_new)
        return check is not None and await asyncio.shield(check)

    def _start_check(
        self, worker: WorkerRow, began: Millis, *, over_new: bool
    ) -> asyncio.Task[bool] | None:
        """Ask other workers for their health in the background, if that is due."""
        fleet = self._fleet
        if is_partitioned(fleet) or is_behind(fleet.overload):
            return None
        if not record_unanswered(fleet, worker, began, over_new=over_new):
            return None
        if not has_gateway(fleet, self._clock.now()):
            return None
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._ask_others(worker))
        return self._check

    async def _ask_others(self, failed: WorkerRow) -> bool:
        """Ask other workers for their health; return whether none of them answers."""
        fleet, began = self._fleet, self._clock.now()
        rows = [
            (row, health_path(fleet, row))
            for row in workers_to_probe(fleet, failed, self._rng)
        ]
        asked = [self._ask_health(row, path) for row, path in rows if path]
        answered = await asyncio.gather(*asked)
        if any(answered):
            record_answered(fleet, self._clock.now(), over_new=True)
        if not answered or fleet.partition.answered_new_at >= began:
            return False
        self._begin_partition(answerless=True)
        return True

    async def _finds_partition(self, worker: WorkerRow, began: Millis) -> bool:
        """Return whether the box is partitioned, after a connection failed.

        Requests that fail at the same time share one check.
        """
        fleet = self._fleet
        if is_partitioned(fleet):
            return True
        if has_connected_since(fleet, began) or is_behind(fleet.overload):
            return False
        record_unreached(fleet, worker, self._clock.now())
        if not has_gateway(fleet, self._clock.now()):
            return False
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._check_others(worker))
        return await asyncio.shield(self._check)

    async def _check_others(self, failed: WorkerRow) -> bool:
        """Probe other workers; return whether none of them is reached."""
        fleet, began = self._fleet, self._clock.now()
        rows = workers_to_probe(fleet, failed, self._rng)
        found = await asyncio.gather(*(self._probe(row) for row in rows))
        if not rows or Presence.THERE in found or has_connected_since(fleet, began):
            if Presence.THERE in found:
                record_connected(fleet, began)
            return False
        for row in rows:
            record_unreached(fleet, row, self._clock.now())
        self._begin_partition()
        return True

    def _begin_partition(self, *, answerless: bool = False) -> None:
        fleet, now = self._fleet, self._clock.now()
        partition = fleet.partition
        last = partition.answered_at if answerless else partition.connected_at
        unreached = partition.unanswered if answerless else partition.unreached
        self._count("partitions")
        log_event(
            "WARNING",
            "partitioned from workers",
            unreached=sorted(unreached),
            answerless=answerless,
            since_ms=now - last if last >= 0 else None,
        )
        begin_partition(fleet, now, answerless=answerless)

    async def _send_through_gateway(
        self,
        worker: WorkerRow,
        request: RequestId,
        message: ForwardedRequest,
        regions: Regions,
    ) -> Sent:
        """Offer the request to peers until one sends it."""
        tried: set[BoxId] = set()
        detail = "no peer sends for this box"
        while len(tried) < MAX_OFFERS:
            now = self._clock.now()
            peer = choose_gateway(self._fleet, now, self._rng, tried, regions)
            if peer is None:
                break
            tried.add(peer.box)
            offer = SendOffer(
                request, self._fleet.identity.box, worker.name, len(message.body)
            )
            # Counted while the offer is answered, so that offers made together spread.
            peer.gateway_sends += 1
            offered = await self._offer(peer, offer)
            if isinstance(offered, Ok):
                return await self._await_head(peer, worker, request, message, offered)
            detail = f"{peer.box}: {offered.err_value.detail}"
            if offered.err_value.of_worker:
                return Err(SendFault(True, detail, blameless=True))
            peer.gateway_failed_at = self._clock.now()
        self._count("gateway_sends.refused")
        log_event(
            "WARNING",
            "no gateway",
            request=request,
            worker=worker.name,
            tried=sorted(tried),
            regions=[sorted(allowed) for allowed in regions],
            detail=detail,
        )
        return Err(
            SendFault(True, f"no gateway: {detail}", blameless=True, cut_off=True)
        )

    async def _offer(
        self, peer: PeerRow, offer: SendOffer
    ) -> Result[GatewaySend, OfferFault]:
        accepted = False
        try:
            offered = await self._gateways.offer(peer.address, offer)
            accepted = isinstance(offered, Ok)
            return offered
        finally:
            if not accepted:
                peer.gateway_sends -= 1

    async def _await_head(
        self,
        peer: PeerRow,
        worker: WorkerRow,
        request: RequestId,
        message: ForwardedRequest,
        offered: Ok[GatewaySend],
    ) -> Sent:
        """Give an accepted request to the gateway and return the head of its answer."""
        send = offered.ok_value
        began = self._clock.now()

        def end() -> None:
            peer.gateway_sends -= 1

        passed_on = False
        try:
            fault = await send.put(message)
            got: Result[t.Any, PeerFault] = Err(fault) if fault else await send.get()
            passed_on = isinstance(got, Ok) and is_sound_head(got.ok_value)
        finally:
            if not passed_on:
                send.close()
                end()
        self._count("gateway_sends")
        log_event(
            "INFO",
            "sent through gateway",
            request=request,
            worker=worker.name,
            gateway=peer.box,
            head_ms=self._clock.now() - began,
            room=peer.gateway_room,
            outcome=describe_head(got),
        )
        if isinstance(got, Err):
            peer.gateway_failed_at = self._clock.now()
            detail = f"gateway {peer.box}: {got.err_value.detail}"
            return Err(SendFault(False, detail, blameless=True))
        if passed_on:
            told = partial(self._record_told_end, worker)
            return Ok(ForwardedResponse(got.ok_value, send, end, told))
        send_fault = to_send_fault(peer, got.ok_value)
        if send_fault.refused:
            self._record_told_end(worker)
        return Err(send_fault)

    def _record_told_end(self, worker: WorkerRow) -> None:
        """Record that a gateway found a worker ended."""
        self._fleet.partition.ended[worker.name] = self._clock.now()
