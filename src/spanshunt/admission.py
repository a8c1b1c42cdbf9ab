"""Admission: authenticates a caller, reads its request and checks its limits."""

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
from .utils import whole_number

SESSION_HEADER = "Spanshunt-Session"
CLASS_HEADER = "Spanshunt-Class"
TIMEOUT_HEADER = "Spanshunt-Timeout-Ms"
EXPLAIN_HEADER = "Spanshunt-Explain"

RawBody = dict[str, msgspec.Raw]
"""A JSON object whose member values are forwarded without being decoded."""


class _StreamOptions(msgspec.Struct, frozen=True):
    include_usage: bool = False


class ChatFields(msgspec.Struct, frozen=True):
    """Members of a chat request that the router decodes.

    Attributes
    ----------
    model : str
        Name of a service, a model or a version.
    messages : raw JSON
        The messages, forwarded unchanged.
    stream : bool
        Whether the answer is streamed.
    stream_options : struct or None
        Options of the stream: whether the caller wants the usage event.
    """

    model: str
    messages: t.Annotated[list[msgspec.Raw], msgspec.Meta(min_length=1)]
    stream: bool = False
    stream_options: _StreamOptions | None = None

    @property
    def pass_usage(self) -> bool:
        """Whether the usage event is passed on to the caller."""
        return self.stream_options is not None and self.stream_options.include_usage


class ChatCall(msgspec.Struct):
    """A model request as read and checked.

    Attributes
    ----------
    request : str
        Request id.
    asked : VersionRequest
        Input of the choice of a version.
    fields, raw_body : struct, dict
        The decoded members of the body, and all members undecoded.
    session : SessionToken or None
        The caller's session; None if it names none.
    pin_name : str
        Key of the session's pin: the service, and the model or version named.
    began, deadline : int
        When the request arrived and when the caller stops waiting, in ms of the
        monotonic clock.
    """

    request: RequestId
    asked: VersionRequest
    fields: ChatFields
    raw_body: RawBody
    session: SessionToken | None
    pin_name: str
    began: Millis
    deadline: Millis


class ModelTarget(msgspec.Struct, frozen=True):
    """What the ``model`` member of a request refers to.

    Attributes
    ----------
    service : ServiceRow
        The service.
    named : str
        The model or version named; empty if the service itself is named.
    """

    service: ServiceRow
    named: str


def authenticate(router: Router, req: web.Request) -> Result[OrgRow, Refusal]:
    """Return the organisation that owns the credential of a request."""
    scheme, _, secret = req.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not secret:
        detail = "header Authorization: expected `Bearer CREDENTIAL`"
        return Err(Refusal(Problem.BAD_CREDENTIAL, detail))
    org = router.org_of(hash_secret(secret.strip()))
    if org is None:
        detail = "header Authorization: the credential is not known"
        return Err(Refusal(Problem.BAD_CREDENTIAL, detail))
    return Ok(org)


def check_ready(router: Router) -> Result[None, Refusal]:
    """Check that this box is ready and has room for another request."""
    reason = router.why_not_ready()
    if reason:
        return Err(Refusal(Problem.NOT_READY, reason, retry_ms=Millis(1_000)))
    if len(router.running) >= router.settings.bounds.requests:
        detail = f"{len(router.running)} requests are already running on this box"
        return Err(Refusal(Problem.OVERLOADED, detail, retry_ms=Millis(1_000)))
    return Ok(None)


def admit_request(
    router: Router, org: OrgRow, request: RequestId
) -> Result[None, Refusal]:
    """Admit a request if its organisation is within its limits.

    An admitted request counts against these limits and as running on this box.
    """
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
        LimitKind.RATE: f"over {org.limits.rate:g} requests per second",
        LimitKind.CONCURRENCY: f"over {org.limits.concurrency} concurrent requests",
        LimitKind.BUDGET: f"over the daily budget of {org.limits.budget}",
    }
    detail = f"organisation {org.name}: {details[refused.limit]}"
    return Err(Refusal(Problem.OVER_LIMIT, detail, retry_ms=refused.retry_ms))


async def read_chat(
    router: Router, req: web.Request, org: OrgRow, request: RequestId
) -> Result[ChatCall, Refusal]:
    """Read and check a model request."""
    began = router.clock.now()
    body = await read_body(router, req)
    if isinstance(body, Err):
        return body
    try:
        fields = decode_document(body.ok_value, ChatFields)
        raw_body = decode_document(body.ok_value, RawBody)
    except InvalidInputError as exc:
        return Err(Refusal(Problem.BAD_REQUEST, f"body {exc.field}: {exc.problem}"))
    target = resolve_model(router.state.config, org, fields.model)
    if isinstance(target, Err):
        return target
    model = target.ok_value
    name = req.headers.get(CLASS_HEADER, "")
    class_row = model.service.request_class(ClassId(name))
    if class_row is None:
        allowed = ", ".join(row.name for row in model.service.classes)
        detail = f"header {CLASS_HEADER}: {name!r} is not known; allowed: {allowed}"
        return Err(Refusal(Problem.BAD_REQUEST, detail))
    session = read_session(router, req, org)
    if isinstance(session, Err):
        return session
    timeout = read_timeout(router, req)
    if isinstance(timeout, Err):
        return timeout
    token = session.ok_value
    pin_name = f"{model.service.name}/{model.named}"
    pin = token.pins.get(pin_name, VersionId("")) if token else VersionId("")
    version_request = VersionRequest(
        service=ServiceId(model.service.name),
        request_class=ClassId(class_row.name),
        org=OrgId(org.name),
        named=model.named,
        pin=pin,
        draw_key=f"{org.name}/{token.session}" if token else request,
    )
    return Ok(
        ChatCall(
            request=request,
            asked=version_request,
            fields=fields,
            raw_body=raw_body,
            session=token,
            pin_name=pin_name,
            began=began,
            deadline=Millis(began + timeout.ok_value),
        )
    )


async def read_body(router: Router, req: web.Request) -> Result[bytes, Refusal]:
    """Read the body, within the limits of size and time."""
    bounds = router.settings.bounds
    too_large = Refusal(
        Problem.TOO_LARGE, f"body: over {bounds.body_bytes} bytes, the maximum"
    )
    if (req.content_length or 0) > bounds.body_bytes:
        return Err(too_large)
    try:
        async with asyncio.timeout(bounds.body_timeout_ms / 1000):
            return Ok(await req.read())
    except web.HTTPRequestEntityTooLarge:
        return Err(too_large)
    except TimeoutError:
        detail = f"body: incomplete after {bounds.body_timeout_ms} ms"
        return Err(Refusal(Problem.BODY_TIMEOUT, detail))
    except (web.RequestPayloadError, ConnectionError) as exc:
        return Err(Refusal(Problem.BAD_REQUEST, f"body: {exc}"))


def resolve_model(
    config: Config, org: OrgRow, model: str
) -> Result[ModelTarget, Refusal]:
    """Find the service, model or version that ``model`` names.

    Models and versions are found only if the organisation may use them.
    """
    service = config.services.get(ServiceId(model))
    if service is not None and service.kind is ServiceKind.MODEL:
        return Ok(ModelTarget(service, ""))
    for row in config.versions.values():
        if model in (row.name, row.model) and org.allows_version(row):
            return Ok(ModelTarget(config.services[ServiceId(row.service)], model))
    allowed = ", ".join(org.allowed) or "nothing"
    detail = f"body $.model: {model!r} is not known here; allowed: {allowed}"
    return Err(Refusal(Problem.NOT_FOUND, detail))


def read_session(
    router: Router, req: web.Request, org: OrgRow
) -> Result[SessionToken | None, Refusal]:
    """Read the session header, which holds a token or a session id."""
    header = req.headers.get(SESSION_HEADER, "")
    if not header:
        return Ok(None)
    match router.signer.read(header, OrgId(org.name)):
        case Ok(token):
            return Ok(token)
        case Err(problem):
            detail = f"header {SESSION_HEADER}: {problem.reason}"
            return Err(Refusal(Problem.BAD_REQUEST, detail))


def read_timeout(router: Router, req: web.Request) -> Result[int, Refusal]:
    """Return how long the caller waits for an answer, in ms."""
    max_ms = router.settings.bounds.deadline_ms
    header = req.headers.get(TIMEOUT_HEADER, "")
    if not header:
        return Ok(max_ms)
    asked = whole_number(header)
    if asked is None or not 1 <= asked <= max_ms:
        detail = f"header {TIMEOUT_HEADER}: {header!a}; allowed: 1 to {max_ms}"
        return Err(Refusal(Problem.BAD_REQUEST, detail))
    return Ok(asked)
