"""Refusals: RFC 9457 problem documents that say whether the request ran."""

import enum
import math

import msgspec
from aiohttp import web

from .ids import Millis
from .ids import RequestId

CONTENT_TYPE = "application/problem+json"


class Run(enum.Enum):
    """Whether a refused request ran."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Problem(enum.Enum):
    """What kinds of refusal there are, with their HTTP status."""

    BAD_REQUEST = ("bad-request", 400)
    BAD_CREDENTIAL = ("bad-credential", 401)
    NOT_ALLOWED = ("not-allowed", 403)
    NOT_FOUND = ("not-found", 404)
    BODY_TIMEOUT = ("body-timeout", 408)
    KEY_TAKEN = ("key-taken", 409)
    CONFLICT = ("conflict", 409)
    TOO_LARGE = ("too-large", 413)
    OVER_LIMIT = ("over-limit", 429)
    NO_WORKER = ("no-worker", 503)
    NOT_READY = ("not-ready", 503)
    OVERLOADED = ("overloaded", 503)
    NOT_CLAIMED = ("not-claimed", 503)
    BACKEND_FAILED = ("backend-failed", 502)
    DEADLINE = ("deadline", 504)

    @property
    def slug(self) -> str:
        """The last part of the problem's type."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.value[1]


class Refusal(msgspec.Struct, frozen=True):
    """A refusal as a value.

    Attributes
    ----------
    problem : Problem
        Its kind.
    detail : str
        What was found and what is allowed, for the caller.
    run : Run
        Whether the request ran.
    retry_ms : int or None
        When to come back, in ms.
    """

    problem: Problem
    detail: str
    run: Run = Run.NO
    retry_ms: Millis | None = None


class ProblemDocument(msgspec.Struct, frozen=True):
    """The document as callers get it."""

    type: str
    title: str
    status: int
    detail: str
    run: str
    request: RequestId


def document(refusal: Refusal, request: RequestId) -> ProblemDocument:
    """Return the problem document of a refusal."""
    return ProblemDocument(
        type=f"urn:spanshunt:problem:{refusal.problem.slug}",
        title=refusal.problem.slug.replace("-", " "),
        status=refusal.problem.status,
        detail=refusal.detail,
        run=refusal.run.value,
        request=request,
    )


def refusal_response(refusal: Refusal, request: RequestId) -> web.Response:
    """Return the HTTP response of a refusal."""
    headers: dict[str, str] = {"X-Request-Id": request}
    if refusal.retry_ms is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_ms / 1000)))
    return web.Response(
        body=msgspec.json.encode(document(refusal, request)),
        status=refusal.problem.status,
        content_type=CONTENT_TYPE,
        headers=headers,
    )


def error_event(refusal: Refusal, request: RequestId) -> bytes:
    """Return the event that ends a stream which can't be finished."""
    body = msgspec.json.encode(document(refusal, request))
    return b"event: error\ndata: " + body + b"\n\n"
