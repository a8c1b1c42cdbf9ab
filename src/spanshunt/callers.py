"""HTTP API for callers: chat completions, plain services, and health checks."""

import asyncio
import typing as t

import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler
from aiohttp.typedefs import Middleware
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result

from .admission import admit_request
from .admission import authenticate
from .admission import check_ready
from .admission import read_body
from .admission import read_chat
from .admission import read_timeout
from .api_replies import ApiReply
from .broken_requests import log_unexpected_failure
from .broken_requests import run_request
from .exceptions import InvariantError
from .ids import Micros
from .ids import Millis
from .ids import OrgId
from .ids import RequestId
from .ids import ServiceId
from .logs import log_event
from .model_calls import answer_chat
from .model_calls import chat_steps
from .plain_calls import IDEMPOTENCY_KEY_HEADER
from .plain_calls import PlainCall
from .plain_calls import answer_plain_call
from .plain_calls import check_idempotency_key
from .plain_calls import plain_steps
from .refusal_responses import refusal_response
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .router import Router
from .systems.limiting import finish_request
from .tables.config import OrgRow
from .tables.config import ServiceKind
from .tables.config import VersionState
from .utils import new_request_id


class ModelEntry(msgspec.Struct, frozen=True):
    """Entry of the model list."""

    id: str
    object: str = "model"
    owned_by: str = "spanshunt"


class ModelList(msgspec.Struct, frozen=True):
    """Model list in the format of the OpenAI API."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


class CallerApi:
    """HTTP handlers of the API for callers.

    Parameters
    ----------
    router : Router
        Holds the state of this box and the services that the handlers use.
    """

    def __init__(self, router: Router) -> None:
        self._router = router
        self._chat_steps = chat_steps(router)
        self._plain_steps = plain_steps(router)

    def app(self) -> web.Application:
        """Return the HTTP application with all routes."""
        bounds = self._router.settings.bounds
        app = web.Application(
            client_max_size=bounds.body_bytes,
            middlewares=[_ending_broken(self._router)],
        )
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/v1/models", self._models)
        app.router.add_route("*", "/services/{service}", self._service)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._service)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        return app

    async def _chat(self, req: web.Request) -> web.StreamResponse:
        request = new_request_id()
        org = self._check_access(req)
        if isinstance(org, Err):
            return self._refuse(org.err_value, request)
        call = await read_chat(self._router, req, org.ok_value, request)
        if isinstance(call, Err):
            return self._refuse(call.err_value, request)
        chat = call.ok_value
        reply = ApiReply(req, request)
        return await self._admit_and_answer(
            org.ok_value,
            reply,
            answer_chat(self._router, self._chat_steps, chat, reply),
            request,
        )

    async def _service(self, req: web.Request) -> web.StreamResponse:
        request = new_request_id()
        org = self._check_access(req)
        if isinstance(org, Err):
            return self._refuse(org.err_value, request)
        call = await self._read_plain_call(req, org.ok_value, request)
        if isinstance(call, Err):
            return self._refuse(call.err_value, request)
        plain = call.ok_value
        reply = ApiReply(req, request)
        return await self._admit_and_answer(
            org.ok_value,
            reply,
            answer_plain_call(self._router, self._plain_steps, plain, reply),
            request,
        )

    async def _read_plain_call(
        self, req: web.Request, org: OrgRow, request: RequestId
    ) -> Result[PlainCall, Refusal]:
        router = self._router
        name = ServiceId(req.match_info["service"])
        service = router.state.config.services.get(name)
        if (
            service is None
            or service.kind is not ServiceKind.PLAIN
            or not org.allows_service(name)
        ):
            allowed = ", ".join(org.allowed) or "nothing"
            detail = f"service {name!r} is not known here; allowed: {allowed}"
            return Err(Refusal(Problem.NOT_FOUND, detail))
        key = check_idempotency_key(req.headers.get(IDEMPOTENCY_KEY_HEADER, ""))
        if isinstance(key, Err):
            return key
        timeout = read_timeout(router, req)
        if isinstance(timeout, Err):
            return timeout
        began = router.clock.now()
        body = await read_body(router, req)
        if isinstance(body, Err):
            return body
        return Ok(
            PlainCall(
                request=request,
                org=OrgId(org.name),
                service=service,
                method=req.method,
                path=req.raw_path[len(f"/services/{name}") :] or "/",
                headers=CIMultiDict(req.headers),
                body=body.ok_value,
                repeatable=req.method in service.repeatable,
                key=key.ok_value,
                began=began,
                deadline=Millis(began + timeout.ok_value),
            )
        )

    def _check_access(self, req: web.Request) -> Result[OrgRow, Refusal]:
        """Check that this box is ready, and authenticate the caller."""
        ready = check_ready(self._router)
        if isinstance(ready, Err):
            return ready
        return authenticate(self._router, req)

    async def _admit_and_answer(
        self,
        org: OrgRow,
        reply: ApiReply,
        answer: t.Coroutine[t.Any, t.Any, None],
        request: RequestId,
    ) -> web.StreamResponse:
        """Answer if the organisation is within its limits, and record the cost."""
        router = self._router
        admitted = admit_request(router, org, request)
        if isinstance(admitted, Err):
            answer.close()
            return self._refuse(admitted.err_value, request)
        try:
            await run_request(answer, reply, request, router.metrics.count)
        except InvariantError as exc:
            router.on_broken(exc)
            raise
        except asyncio.CancelledError:
            router.metrics.count("request.cancelled")
            raise
        finally:
            router.running.discard(request)
            cost = router.bills.take_cost(request)
            wall = router.clock.wall()
            finish_request(router.state.usage, OrgId(org.name), Micros(cost), wall)
        # Without a response the connection is closing, and aiohttp discards this one.
        return reply.response or web.Response(status=Problem.BACKEND_FAILED.status)

    async def _models(self, req: web.Request) -> web.StreamResponse:
        request = new_request_id()
        org = self._check_access(req)
        if isinstance(org, Err):
            return self._refuse(org.err_value, request)
        rows = self._router.state.config.versions.values()
        usable = [
            row
            for row in rows
            if org.ok_value.allows_version(row)
            and row.state in (VersionState.ENTERING, VersionState.ACTIVE)
        ]
        names = {row.service for row in usable}
        names |= {row.model for row in usable}
        names |= {row.name for row in usable}
        body = ModelList(tuple(ModelEntry(name) for name in sorted(names)))
        return web.Response(
            body=msgspec.json.encode(body), content_type="application/json"
        )

    async def _health(self, _req: web.Request) -> web.StreamResponse:
        return web.Response(text="ok\n")

    async def _ready(self, _req: web.Request) -> web.StreamResponse:
        reason = self._router.why_not_ready()
        if reason:
            return web.Response(status=503, text=f"{reason}\n")
        return web.Response(text="ready\n")

    def _refuse(self, refusal: Refusal, request: RequestId) -> web.Response:
        return _refuse(self._router, refusal, request)


def _ending_broken(router: Router) -> Middleware:
    """Return what refuses a request that failed unexpectedly before its admission."""

    @web.middleware
    async def end_broken(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except (web.HTTPException, InvariantError, ConnectionError):
            raise
        except Exception as exc:
            name = new_request_id()
            log_unexpected_failure(exc, name, router.metrics.count)
            detail = "the request failed before it was admitted"
            refusal = Refusal(Problem.BACKEND_FAILED, detail, Run.UNKNOWN)
            return _refuse(router, refusal, name)

    return end_broken


def _refuse(router: Router, refusal: Refusal, request: RequestId) -> web.Response:
    """Count, log and build a refusal."""
    router.metrics.count(f"refused.{refusal.problem.slug}")
    log_event(
        "INFO",
        "refused",
        request=request,
        problem=refusal.problem.slug,
        run=refusal.run.value,
        detail=refusal.detail,
    )
    return refusal_response(refusal, request)
