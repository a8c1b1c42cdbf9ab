"""The operators' API."""

import enum
import typing as t

import msgspec
from aiohttp import web
from result import Err
from result import Ok
from result import Result

from . import reports
from .confirmations import Accepted
from .confirmations import SignedPlan
from .confirmations import confirm_plan
from .confirmations import plan_intents
from .exceptions import InvalidInputError
from .histograms import Summary
from .ids import ClassId
from .ids import OrgId
from .ids import ServiceId
from .intents import IntentDocument
from .logs import log_event
from .refusal_responses import refusal_response
from .refusals import Problem
from .refusals import Refusal
from .router import OperatorKey
from .router import Router
from .systems.choice_rows import VersionRequest
from .tables.config import HistoryRow
from .utils import decode_document
from .utils import hash_secret
from .utils import new_request_id
from .version import __version__

PREFIX = "/admin/v1"


class Role(enum.IntEnum):
    """Roles; each includes those before it."""

    READ = 1
    PLAN = 2
    CONFIRM = 3


class Drained(msgspec.Struct, frozen=True):
    """Answer to a drain: how many requests are still under way."""

    running: int


class Route(t.NamedTuple):
    """One call of the operators' API."""

    method: str
    path: str
    role: Role
    summary: str
    takes: t.Any
    gives: t.Any
    handle: t.Callable[[web.Request, OperatorKey], t.Awaitable[web.Response]]


class OperatorApi:
    """The handlers of the operators' API.

    Parameters
    ----------
    router : Router
        The central object.
    """

    def __init__(self, router: Router) -> None:
        self._router = router

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=self._router.settings.bounds.body_bytes)
        for route in self.routes():
            app.router.add_route(
                route.method, PREFIX + route.path, self._guarded(route)
            )
        app.router.add_get(PREFIX + "/openapi.json", self._openapi)
        return app

    def routes(self) -> list[Route]:
        """Return the calls."""
        read = Role.READ
        return [
            Route(
                "POST",
                "/plans",
                Role.PLAN,
                "Answer intents with a plan; nothing takes effect",
                IntentDocument,
                SignedPlan,
                self._plan,
            ),
            Route(
                "POST",
                "/confirm",
                Role.CONFIRM,
                "Confirm a plan",
                SignedPlan,
                Accepted,
                self._confirm,
            ),
            Route(
                "POST",
                "/drain",
                Role.CONFIRM,
                "Begin a planned stop of this box",
                None,
                Drained,
                self._drain,
            ),
            self._report("/status", reports.StatusReport, reports.status_report),
            self._report(
                "/versions", list[reports.VersionReport], reports.version_reports
            ),
            self._report(
                "/rollouts", list[reports.RolloutReport], reports.rollout_reports
            ),
            self._report("/boxes", list[reports.BoxReport], reports.box_reports),
            self._report(
                "/workers", list[reports.WorkerReport], reports.worker_reports
            ),
            self._report("/orgs", list[reports.OrgReport], reports.org_reports),
            self._report("/history", list[HistoryRow], reports.history_reports),
            self._report("/histograms", list[Summary], reports.histogram_reports),
            Route(
                "GET",
                "/bills",
                read,
                "What organisations owe, folded from the log",
                None,
                reports.BillsReport,
                self._bills,
            ),
            Route(
                "GET",
                "/explain",
                read,
                "What the router would do with a request now, and why",
                None,
                reports.ExplainReport,
                self._explain,
            ),
        ]

    def _report(
        self, path: str, gives: t.Any, make: t.Callable[[Router], t.Any]
    ) -> Route:
        async def handle(_req: web.Request, _operator: OperatorKey) -> web.Response:
            return _json(make(self._router))

        summary = (make.__doc__ or "").splitlines()[0]
        return Route("GET", path, Role.READ, summary, None, gives, handle)

    def _guarded(
        self, route: Route
    ) -> t.Callable[[web.Request], t.Awaitable[web.Response]]:
        async def handle(req: web.Request) -> web.Response:
            match self._operator(req, route.role):
                case Ok(operator):
                    return await route.handle(req, operator)
                case Err(refusal):
                    return refusal_response(refusal, new_request_id())

        return handle

    def _operator(self, req: web.Request, role: Role) -> Result[OperatorKey, Refusal]:
        _, _, secret = req.headers.get("Authorization", "").partition(" ")
        operator = self._router.operators.get(hash_secret(secret.strip()))
        if operator is None:
            detail = "header Authorization: the credential is not an operator's"
            return Err(Refusal(Problem.BAD_CREDENTIAL, detail))
        if Role[operator.role.upper()] < role:
            detail = (
                f"operator {operator.name} has role {operator.role}; "
                f"{role.name.lower()} is needed"
            )
            return Err(Refusal(Problem.NOT_ALLOWED, detail))
        return Ok(operator)

    async def _plan(self, req: web.Request, operator: OperatorKey) -> web.Response:
        match await self._document(req, IntentDocument):
            case Ok(document):
                log_event("INFO", "plan asked for", operator=operator.name)
                return _answer(plan_intents(self._router, document))
            case Err(refusal):
                return _refuse(refusal)

    async def _confirm(self, req: web.Request, operator: OperatorKey) -> web.Response:
        match await self._document(req, SignedPlan):
            case Ok(signed):
                outcome = await confirm_plan(self._router, signed, operator.name)
                log_event(
                    "INFO",
                    "plan confirmed" if outcome.is_ok() else "plan not confirmed",
                    operator=operator.name,
                    plan=signed.plan.name,
                )
                return _answer(outcome)
            case Err(refusal):
                return _refuse(refusal)

    async def _drain(self, _req: web.Request, operator: OperatorKey) -> web.Response:
        log_event("INFO", "drain asked for", operator=operator.name)
        self._router.stop.set()
        return _json(Drained(len(self._router.running)))

    async def _bills(self, _req: web.Request, _operator: OperatorKey) -> web.Response:
        match await reports.bills_report(self._router):
            case Ok(report):
                return _json(report)
            case Err(fault):
                detail = f"the log can't be read now ({fault.detail})"
                return _refuse(Refusal(Problem.NOT_READY, detail))

    async def _explain(self, req: web.Request, _operator: OperatorKey) -> web.Response:
        router = self._router
        org = req.query.get("org", "")
        if not reports.known_org(router, org):
            known = ", ".join(sorted(router.state.config.orgs))
            detail = f"query org: {org!r} is not known; allowed: {known}"
            return _refuse(Refusal(Problem.BAD_REQUEST, detail))
        service = router.state.config.services.get(
            ServiceId(req.query.get("service", ""))
        )
        name = ClassId(req.query.get("class", ""))
        row = service.request_class(name) if service is not None else None
        if service is None or row is None:
            known = ", ".join(sorted(router.state.config.services))
            detail = f"query service or class: not known; services: {known}"
            return _refuse(Refusal(Problem.BAD_REQUEST, detail))
        asked = VersionRequest(
            service=ServiceId(service.name),
            request_class=ClassId(row.name),
            org=OrgId(org),
            draw_key=req.query.get("session", ""),
        )
        return _json(reports.explain_report(router, asked))

    async def _document(
        self, req: web.Request, kind: type[t.Any]
    ) -> Result[t.Any, Refusal]:
        try:
            return Ok(decode_document(await req.read(), kind))
        except web.HTTPRequestEntityTooLarge:
            most = self._router.settings.bounds.body_bytes
            return Err(Refusal(Problem.TOO_LARGE, f"body: over {most} bytes"))
        except InvalidInputError as exc:
            return Err(Refusal(Problem.BAD_REQUEST, f"body {exc.field}: {exc.problem}"))

    async def _openapi(self, _req: web.Request) -> web.Response:
        return _json(openapi(self.routes()))


def openapi(routes: list[Route]) -> dict[str, t.Any]:
    """Return the OpenAPI document of the operators' API."""
    kinds = [kind for route in routes for kind in (route.takes, route.gives) if kind]
    schemas, components = msgspec.json.schema_components(
        kinds, ref_template="#/components/schemas/{name}"
    )
    by_kind = dict(zip(map(repr, kinds), schemas, strict=True))
    paths: dict[str, t.Any] = {}
    for route in routes:
        call: dict[str, t.Any] = {
            "summary": route.summary,
            "description": f"Needs role `{route.role.name.lower()}`.",
            "responses": {"200": _content(by_kind[repr(route.gives)], "The answer")},
        }
        if route.takes:
            call["requestBody"] = _content(by_kind[repr(route.takes)], "")
        paths.setdefault(PREFIX + route.path, {})[route.method.lower()] = call
    return {
        "openapi": "3.1.0",
        "info": {"title": "spanshunt operators' API", "version": __version__},
        "paths": paths,
        "components": {"schemas": components},
    }


def _content(schema: t.Any, description: str) -> dict[str, t.Any]:
    content: dict[str, t.Any] = {"content": {"application/json": {"schema": schema}}}
    if description:
        content["description"] = description
    return content


def _answer(outcome: Result[t.Any, Refusal]) -> web.Response:
    match outcome:
        case Ok(value):
            return _json(value)
        case Err(refusal):
            return _refuse(refusal)
    return web.Response(status=500)


def _refuse(refusal: Refusal) -> web.Response:
    return refusal_response(refusal, new_request_id())


def _json(value: t.Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )
