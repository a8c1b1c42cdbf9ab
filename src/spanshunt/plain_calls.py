"""Calls of plain services: passed on, and sent once where they may not be repeated."""

import asyncio

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result

from .claimer import Repeat
from .claimer import Won
from .histograms import Measure
from .ids import ClassId
from .ids import Micros
from .ids import Millis
from .ids import OrgId
from .ids import RequestId
from .ids import ServiceId
from .ids import WorkerId
from .logs import log_event
from .refusal_responses import refusal_response
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .router import Router
from .systems.invariants import check_claim
from .systems.invariants import check_not_run
from .systems.invariants import check_service
from .systems.invariants import check_single_send
from .systems.invariants import check_worker
from .systems.journaling import call_usage
from .systems.worker_choice import eligible
from .systems.worker_choice import note_failure
from .systems.worker_choice import note_success
from .tables.claims import CallAnswer
from .tables.config import ServiceRow
from .tables.workers import WorkerRow

KEY_HEADER = "Idempotency-Key"
MAX_KEY = 200
"""The longest caller's key, in characters."""

MOST_ATTEMPTS = 3
"""Workers tried while it is certain that none ran the call."""

_BLOCK = 65_536
_RETRY_MS = Millis(1_000)
_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "authorization",
        "content-length",
        "x-request-id",
    }
)


class PlainCall(msgspec.Struct):
    """A call of a plain service under way.

    Attributes
    ----------
    request, org : str
        Its id and who asks.
    service : ServiceRow
        The service.
    path : str
        Path and query at the service.
    repeatable : bool
        Whether it may be sent twice.
    key : str
        The caller's key; empty for none.
    claimed : str
        The claim's key, once won.
    began, deadline : int
        In ms of the monotonic clock.
    sends : int
        How often its first byte may have left.
    """

    request: RequestId
    org: OrgId
    service: ServiceRow
    path: str
    repeatable: bool
    key: str
    began: Millis
    deadline: Millis
    claimed: str = ""
    sends: int = 0


async def answer_call(
    router: Router, req: web.Request, call: PlainCall
) -> web.StreamResponse:
    """Answer a call of a plain service."""
    if call.key and not call.repeatable:
        match await _claim(router, call):
            case Ok(Repeat(answer=answer)):
                return _repeated(call, answer)
            case Ok(Won(key=key)):
                call.claimed = key
            case Err(refusal):
                return refusal_response(refusal, call.request)
    response = await _try_workers(router, req, call)
    if call.claimed and call.sends == 0:
        await router.claimer.give_up(call.request)
    return response


def check_key(key: str) -> Result[str, Refusal]:
    """Check a caller's key."""
    if len(key) <= MAX_KEY and key.isprintable():
        return Ok(key)
    detail = f"header {KEY_HEADER}: up to {MAX_KEY} printable characters are allowed"
    return Err(Refusal(Problem.BAD_REQUEST, detail))


async def _claim(router: Router, call: PlainCall) -> Result[Won | Repeat, Refusal]:
    service = ServiceId(call.service.name)
    return await router.claimer.claim(call.org, service, call.key, call.request)


async def _try_workers(
    router: Router, req: web.Request, call: PlainCall
) -> web.StreamResponse:
    tried: set[WorkerId] = set()
    refusal = Refusal(Problem.NO_WORKER, "no worker takes calls now", Run.NO, _RETRY_MS)
    while len(tried) < MOST_ATTEMPTS:
        service = ServiceId(call.service.name)
        rows = eligible(router.state.workers, service, None, tried, router.rng)
        if not rows:
            break
        worker = router.picker(rows)
        tried.add(worker.name)
        match await _send(router, req, call, worker):
            case Ok(response):
                return response
            case Err(refusal):
                note_failure(router.state.workers, worker, router.clock.now())
                log_event(
                    "WARNING",
                    "call failed",
                    request=call.request,
                    org=call.org,
                    worker=worker.name,
                    detail=refusal.detail,
                )
        if not _may_retry(req, call, refusal):
            break
    if refusal.run is Run.NO:
        check_not_run(call.sends, call.request)
    return refusal_response(refusal, call.request)


def _may_retry(req: web.Request, call: PlainCall, refusal: Refusal) -> bool:
    if refusal.run is Run.NO:
        return call.sends == 0
    return call.repeatable and not req.body_exists


async def _send(
    router: Router, req: web.Request, call: PlainCall, worker: WorkerRow
) -> Result[web.StreamResponse, Refusal]:
    """Send the call to a worker.

    A failure to connect is certain: no byte left. Any failure after that is not, even
    if the worker closed at once.
    """
    check_service(router.state.config, call.org, ServiceId(call.service.name))
    check_worker(router.state.workers, worker.name)
    if call.claimed:
        check_claim(router.state.claims, call.claimed, call.request)
    if not call.repeatable:
        check_single_send(call.sends, call.request)
    http = router.http if call.repeatable else router.http_once
    worker.inflight += 1
    call.sends += 1
    if call.claimed:
        router.claimer.mark_sent(call.request)
    try:
        left = max(1, call.deadline - router.clock.now()) / 1000
        async with asyncio.timeout(left):
            return Ok(await _exchange(router, req, call, worker, http))
    except aiohttp.ClientConnectorError as exc:
        call.sends -= 1
        if call.claimed:
            router.claimer.mark_unsent(call.request)
        detail = f"worker {worker.name} not reached: {exc.os_error}"
        return Err(Refusal(Problem.NO_WORKER, detail, Run.NO, _RETRY_MS))
    except TimeoutError:
        detail = "not answered by the caller's deadline; it may have run"
        return Err(Refusal(Problem.DEADLINE, detail, Run.UNKNOWN))
    except (aiohttp.ClientError, ConnectionError) as exc:
        detail = f"worker {worker.name}: {type(exc).__name__}; the call may have run"
        return Err(Refusal(Problem.BACKEND_FAILED, detail, Run.UNKNOWN))
    finally:
        worker.inflight -= 1


async def _exchange(
    router: Router,
    req: web.Request,
    call: PlainCall,
    worker: WorkerRow,
    http: aiohttp.ClientSession,
) -> web.StreamResponse:
    sent = router.clock.now()
    async with http.request(
        req.method,
        f"http://{worker.name}{call.path}",
        headers=_request_headers(req, call),
        data=req.content if req.body_exists else None,
        allow_redirects=False,
    ) as upstream:
        response = web.StreamResponse(
            status=upstream.status, headers=_response_headers(upstream, call)
        )
        kept = await _pass_on(router, req, call, upstream, response)
        note_success(worker, router.clock.now() - sent, 0.0)
        if call.claimed:
            content_type = upstream.headers.get("Content-Type", "")
            answer = CallAnswer(upstream.status, content_type, kept)
            router.claimer.mark_done(call.request, answer)
        return response


async def _pass_on(
    router: Router,
    req: web.Request,
    call: PlainCall,
    upstream: aiohttp.ClientResponse,
    response: web.StreamResponse,
) -> bytes:
    """Pass the body on, one block behind, and its last block once it is billed."""
    kept = []
    held: bytes | None = None
    async for block in upstream.content.iter_chunked(_BLOCK):
        if held is not None:
            if not response.prepared:
                await response.prepare(req)
            await response.write(held)
        held = block
        if call.claimed:
            kept.append(block)
    await _bill(router, call)
    if not response.prepared:
        await response.prepare(req)
    await response.write_eof(held or b"")
    return b"".join(kept)


async def _bill(router: Router, call: PlainCall) -> None:
    service = ServiceId(call.service.name)
    entry = await router.bills.keep(
        call.request, call.org, service, (call_usage(call.service),)
    )
    total = router.clock.now() - call.began
    name = ClassId(service)
    router.histograms.record(call.org, name, Measure.TOTAL, total * 1000)
    router.histograms.record(call.org, name, Measure.COST, Micros(entry.cost))
    router.metrics.timing("call.total", total)


def _request_headers(req: web.Request, call: PlainCall) -> CIMultiDict[str]:
    headers = CIMultiDict(
        (name, value)
        for name, value in req.headers.items()
        if name.lower() not in _HOP_HEADERS
    )
    headers["X-Request-Id"] = call.request
    return headers


def _response_headers(
    upstream: aiohttp.ClientResponse, call: PlainCall
) -> CIMultiDict[str]:
    headers = CIMultiDict(
        (name, value)
        for name, value in upstream.headers.items()
        if name.lower() not in _HOP_HEADERS
    )
    headers["X-Request-Id"] = call.request
    return headers


def _repeated(call: PlainCall, answer: CallAnswer) -> web.Response:
    headers = {"X-Request-Id": call.request, "Spanshunt-Repeated": "true"}
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    return web.Response(status=answer.status, body=answer.body, headers=headers)
