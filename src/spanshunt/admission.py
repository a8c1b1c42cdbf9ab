"""Admission: who asks, for what, and whether this box takes the request."""

import asyncio
import typing as t

import msgspec
from aiohttp import web
from result import Err
from result import Ok
from result import Result

from .exceptions import InvalidInputError
from .ids import ClassId
from .ids import Millis
from .ids import OrgId
from .ids import RequestId
from .ids import ServiceId
from .ids import VersionId
from .refusals import Problem
from .refusals import Refusal
from .router import Router
from .session_tokens import SessionToken
from .systems.choice_rows import VersionRequest
from .systems.limiting import LimitKind
from .systems.limiting import admit
from .tables.config import Config
from .tables.config import OrgRow
from .tables.config import ServiceKind
from .tables.config import ServiceRow
from .utils import decode_document
from .utils import hash_secret

SESSION_HEADER = "Spanshunt-Session"
CLASS_HEADER = "Spanshunt-Class"
TIMEOUT_HEADER = "Spanshunt-Timeout-Ms"
EXPLAIN_HEADER = "Spanshunt-Explain"

RawBody = dict[str, msgspec.Raw]
"""A JSON object whose members are left as they are, to be passed on."""


class _StreamOptions(msgspec.Struct, frozen=True):
    include_usage: bool = False


class ChatFields(msgspec.Struct, frozen=True):
    """The members of a chat request that the router reads.

    Attributes
    ----------
    model : str
        A service, a model, or a model and version.
    messages : raw JSON
        Passed on as they are.
    stream : bool
        Whether the answer is streamed.
    stream_options : struct
        Whether the caller wants the usage event.
    """

    model: str
    messages: t.Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]
    stream: bool = False
    stream_options: _StreamOptions | None = None

    @property
    def pass_usage(self) -> bool:
        """Whether the caller asked for the usage event."""
        return self.stream_options is not None and self.stream_options.include_usage


class ChatCall(msgspec.Struct):
    """A model request under way.

    Attributes
    ----------
    request : str
        Its id.
    asked : VersionRequest
        What is asked for.
    fields, raw : struct, dict
        The body, as read and as it came.
    session : SessionToken or None
        The caller's session.
    sessions_pin_key : str
        What in the session the version goes by.
    began, deadline : int
        In ms of the monotonic clock.
    """

    request: RequestId
    asked: VersionRequest
    fields: ChatFields
    raw: RawBody
    session: SessionToken | None
    pin_name: str
    began: Millis
    deadline: Millis


class Target(msgspec.Struct, frozen=True):
    """What a ``model`` member names: a service, and a model or version in it."""

    service: ServiceRow
    named: str


def authenticate(router: Router, req: web.Request) -> Result[OrgRow, Refusal]:
    """Return the organisation that the credential belongs to."""
    scheme, _, secret = req.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not secret:
        detail = "header Authorization: missing; `Bearer CREDENTIAL` is needed"
        return Err(Refusal(Problem.BAD_CREDENTIAL, detail))
    org = router.org_of(hash_secret(secret.strip()))
    if org is None:
        detail = "header Authorization: the credential is not known"
        return Err(Refusal(Problem.BAD_CREDENTIAL, detail))
    return Ok(org)


def check_ready(router: Router) -> Result[None, Refusal]:
    """Tell whether this box takes new work."""
    reason = router.why_not_ready()
    if reason:
        return Err(Refusal(Problem.NOT_READY, reason, retry_ms=Millis(1_000)))
    if len(router.running) >= router.settings.bounds.requests:
        detail = f"{len(router.running)} requests are under way on this box"
        return Err(Refusal(Problem.OVERLOADED, detail, retry_ms=Millis(1_000)))
    return Ok(None)


def take_in(router: Router, org: OrgRow, request: RequestId) -> Result[None, Refusal]:
    """Count a request against its organisation's limits and this box's bound."""
    refused = admit(
        router.state.usage,
        OrgId(org.name),
        org.limits,
        router.boxes(),
        router.clock.now(),
        router.clock.wall(),
    )
    if refused is None:
        router.running.add(request)
        return Ok(None)
    details = {
        LimitKind.RATE: f"over {org.limits.rate:g} requests a second",
        LimitKind.CONCURRENCY: f"over {org.limits.concurrency} requests at once",
        LimitKind.BUDGET: f"over the day's budget of {org.limits.budget}",
    }
    detail = f"organisation {org.name}: {details[refused.limit]}"
    return Err(Refusal(Problem.OVER_LIMIT, detail, retry_ms=refused.retry_ms))


async def read_chat(
    router: Router, req: web.Request, org: OrgRow, request: RequestId
) -> Result[ChatCall, Refusal]:
    """Read a model request and find out what it asks for."""
    began = router.clock.now()
    body = await read_body(router, req)
    if isinstance(body, Err):
        return body
    try:
        fields = decode_document(body.ok_value, ChatFields)
        raw = decode_document(body.ok_value, RawBody)
    except InvalidInputError as exc:
        return Err(Refusal(Problem.BAD_REQUEST, f"body {exc.field}: {exc.problem}"))
    target = find_target(router.state.config, org, fields.model)
    if isinstance(target, Err):
        return target
    found = target.ok_value
    name = req.headers.get(CLASS_HEADER, "")
    row = found.service.request_class(ClassId(name))
    if row is None:
        allowed = ", ".join(known.name for known in found.service.classes)
        detail = f"header {CLASS_HEADER}: {name!r} is not known; allowed: {allowed}"
        return Err(Refusal(Problem.BAD_REQUEST, detail))
    session = read_session(router, req, org)
    if isinstance(session, Err):
        return session
    timeout = read_timeout(router, req)
    if isinstance(timeout, Err):
        return timeout
    token = session.ok_value
    pin_name = f"{found.service.name}/{found.named}"
    pin = token.pins.get(pin_name, VersionId("")) if token else VersionId("")
    asked = VersionRequest(
        service=ServiceId(found.service.name),
        request_class=ClassId(row.name),
        org=OrgId(org.name),
        named=found.named,
        pin=pin,
        draw_key=f"{org.name}/{token.session}" if token else request,
    )
    return Ok(
        ChatCall(
            request=request,
            asked=asked,
            fields=fields,
            raw=raw,
            session=token,
            pin_name=pin_name,
            began=began,
            deadline=Millis(began + timeout.ok_value),
        )
    )


async def read_body(router: Router, req: web.Request) -> Result[bytes, Refusal]:
    """Read a bounded body in bounded time."""
    bounds = router.settings.bounds
    too_large = Refusal(
        Problem.TOO_LARGE, f"body: over {bounds.body_bytes} bytes, the most allowed"
    )
    if (req.content_length or 0) > bounds.body_bytes:
        return Err(too_large)
    try:
        async with asyncio.timeout(bounds.body_timeout_ms / 1000):
            return Ok(await req.read())
    except web.HTTPRequestEntityTooLarge:
        return Err(too_large)
    except TimeoutError:
        detail = f"body: not whole after {bounds.body_timeout_ms} ms"
        return Err(Refusal(Problem.BODY_TIMEOUT, detail))
    except (web.RequestPayloadError, ConnectionError) as exc:
        return Err(Refusal(Problem.BAD_REQUEST, f"body: {exc}"))


def find_target(config: Config, org: OrgRow, model: str) -> Result[Target, Refusal]:
    """Find what a ``model`` member names, among what the organisation may use."""
    service = config.services.get(ServiceId(model))
    if service is not None and service.kind is ServiceKind.MODEL:
        return Ok(Target(service, ""))
    for row in config.versions.values():
        if model in (row.name, row.model) and org.allows_version(row):
            return Ok(Target(config.services[ServiceId(row.service)], model))
    allowed = ", ".join(org.allowed) or "nothing"
    detail = f"body $.model: {model!r} is not known here; allowed: {allowed}"
    return Err(Refusal(Problem.NOT_FOUND, detail))


def read_session(
    router: Router, req: web.Request, org: OrgRow
) -> Result[SessionToken | None, Refusal]:
    """Read the session's token or id."""
    header = req.headers.get(SESSION_HEADER, "")
    if not header:
        return Ok(None)
    match router.signer.read(header, OrgId(org.name)):
        case Ok(token):
            return Ok(token)
        case Err(bad):
            detail = f"header {SESSION_HEADER}: {bad.reason}"
            return Err(Refusal(Problem.BAD_REQUEST, detail))


def read_timeout(router: Router, req: web.Request) -> Result[int, Refusal]:
    """Read how long the caller waits, in ms."""
    longest = router.settings.bounds.deadline_ms
    header = req.headers.get(TIMEOUT_HEADER, "")
    if not header:
        return Ok(longest)
    if not header.isdigit() or not 1 <= int(header) <= longest:
        detail = f"header {TIMEOUT_HEADER}: {header!r}; allowed: 1 to {longest}"
        return Err(Refusal(Problem.BAD_REQUEST, detail))
    return Ok(int(header))
