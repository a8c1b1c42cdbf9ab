"""Sending to workers for peers that reach none themselves.

This box only sends: the peer has planned the request and counts it. Its offer is
refused if this box lacks the room, is partitioned itself, or knows that the worker
leaves.
"""

import asyncio
import typing as t

import aiohttp
from grpclib.exceptions import StreamTerminatedError
from multidict import CIMultiDict
from result import Err
from result import Result

from .clock import Clock
from .http_sends import HttpSend
from .http_sends import worker_url
from .logs import log_event
from .peers.gateways import ForwardedBlock
from .peers.gateways import ForwardedEnd
from .peers.gateways import ForwardedHead
from .peers.gateways import ForwardedRequest
from .peers.gateways import ForwardFault
from .peers.gateways import GatewayStream
from .peers.gateways import OfferReply
from .peers.gateways import SendOffer
from .peers.gateways import header_rows
from .ports import SendFault
from .ports import WorkerResponse
from .settling import Counter
from .systems.partitions import SEND_BYTES
from .systems.partitions import may_send_for_peer
from .tables.fleet import Fleet
from .tables.workers import WorkerRow
from .tables.workers import WorkerState
from .worker_probes import Presence
from .worker_probes import Probe

REQUEST_TIMEOUT_S = 1.0
"""How long a peer may take to send the request that it offered, in s."""

LEFT_MARGIN_S = 0.25
"""How much longer than the time left of a request its answer is passed on, in s: the
peer ends the request itself."""

SendDirect = t.Callable[
    [HttpSend, bool], t.Awaitable[Result[WorkerResponse, SendFault]]
]
"""Sends a request by this box's own connections; the flag asks for a new one."""


class GatewayServer:
    """Handles the streams by which peers send through this box.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    clock : Clock
        The source of time.
    send : callable
        Sends a request to a worker and returns the head of its answer, or the fault.
    probe : callable
        Finds out whether a worker whose connection broke takes connections.
    count : callable
        Increments a counter.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        send: SendDirect,
        probe: Probe,
        count: Counter,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._send = send
        self._probe = probe
        self._count = count

    async def serve(self, stream: GatewayStream) -> None:
        """Answer an offer, send the request, and pass its answer on."""
        offer = await stream.recv_message()
        if not isinstance(offer, SendOffer):
            return
        refusal = self._find_refusal(offer)
        if refusal is not None:
            self._count("gateway_offers.refused")
            self._log(offer, "refused", refusal.detail)
            await stream.send_message(refusal)
            return
        fleet, taken = self._fleet, SEND_BYTES + offer.body_bytes
        fleet.gateway_bytes += taken
        fleet.gateway_sends += 1
        began, outcome = self._clock.now(), "cancelled"
        try:
            outcome = await self._serve_accepted(stream, offer)
        except (StreamTerminatedError, OSError) as exc:
            outcome = f"peer lost: {type(exc).__name__}"
        finally:
            fleet.gateway_bytes -= taken
            fleet.gateway_sends -= 1
            self._count("gateway_offers.accepted")
            self._log(offer, outcome, f"took {self._clock.now() - began} ms")

    def _find_refusal(self, offer: SendOffer) -> OfferReply | None:
        """Return the refusal of an offer; None to accept it."""
        workers = self._fleet.workers
        row = workers.rows.get(offer.worker)
        if row is None:
            detail = f"worker {offer.worker} is not listed"
            return OfferReply(False, detail, of_worker=True)
        if row.name in workers.leaving or row.state is WorkerState.LEAVING:
            detail = f"worker {offer.worker} leaves"
            return OfferReply(False, detail, of_worker=True)
        if not may_send_for_peer(self._fleet, offer.body_bytes):
            return OfferReply(False, "no room, or no way to workers")
        return None

    def _log(self, offer: SendOffer, outcome: str, detail: str) -> None:
        log_event(
            "INFO",
            "sent for peer",
            request=offer.request,
            peer=offer.box,
            worker=offer.worker,
            outcome=outcome,
            detail=detail,
            sends=self._fleet.gateway_sends,
            bytes=self._fleet.gateway_bytes,
        )

    async def _serve_accepted(self, stream: GatewayStream, offer: SendOffer) -> str:
        """Send an accepted request and return the outcome for the log."""
        await stream.send_message(OfferReply(True))
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                message = await stream.recv_message()
        except TimeoutError:
            return "no request came"
        row = self._fleet.workers.rows.get(offer.worker)
        if not isinstance(message, ForwardedRequest) or row is None:
            return "no request came"
        left_s = max(0, message.left_ms) / 1_000 + LEFT_MARGIN_S
        try:
            async with asyncio.timeout(left_s):
                return await self._pass_on(stream, row, message)
        except TimeoutError:
            return "not answered in time"

    async def _pass_on(
        self, stream: GatewayStream, row: WorkerRow, message: ForwardedRequest
    ) -> str:
        sent = await self._send(_http_send(row, message), message.new_connection)
        if isinstance(sent, Err):
            fault = sent.err_value
            broke = not fault.unreached
            refused = fault.refused or (broke and await self._has_ended(row))
            await stream.send_message(
                ForwardFault(fault.unreached, fault.detail, fault.stale, refused)
            )
            return fault.detail
        resp = sent.ok_value
        try:
            await stream.send_message(
                ForwardedHead(resp.status, header_rows(resp.headers))
            )
            broken = await _pass_body(stream, resp)
            ended = bool(broken) and await self._has_ended(row)
            await stream.send_message(ForwardedEnd(broken, ended))
        finally:
            resp.close()
        return broken or f"status {resp.status}"

    async def _has_ended(self, row: WorkerRow) -> bool:
        """Return whether a worker ended, after a connection to it broke.

        The peer cannot find out: it reaches no worker.
        """
        return await self._probe(row) is Presence.GONE


def _http_send(row: WorkerRow, message: ForwardedRequest) -> HttpSend:
    url = worker_url(row.address, message.target)
    headers = CIMultiDict(message.headers)
    return HttpSend(message.method, url, headers, message.body)


async def _pass_body(stream: GatewayStream, resp: WorkerResponse) -> str:
    """Pass the body on; return how it broke off, empty if it is complete."""
    try:
        while block := await resp.content.readany():
            await stream.send_message(ForwardedBlock(block))
    except aiohttp.ClientError as exc:
        return type(exc).__name__
    return ""
