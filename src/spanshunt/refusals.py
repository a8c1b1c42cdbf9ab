"""Refusals: why a request is not answered, and whether it ran."""

import enum

import msgspec

from .ids import Millis
from .ids import RequestId


class Run(enum.Enum):
    """Whether a worker ran the refused request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Problem(enum.Enum):
    """Kind of a refusal, with its slug and HTTP status."""

    BAD_REQUEST = ("bad-request", 400)
    BAD_CREDENTIAL = ("bad-credential", 401)
    NOT_ALLOWED = ("not-allowed", 403)
    NOT_FOUND = ("not-found", 404)
    BODY_TIMEOUT = ("body-timeout", 408)
    KEY_TAKEN = ("key-taken", 409)
    CONFLICT = ("conflict", 409)
    KEPT_BACK = ("kept-back", 400)
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
        """The last part of the ``type`` of the problem document."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status of the response."""
        return self.value[1]


class Refusal(msgspec.Struct, frozen=True):
    """Refusal of a request, independent of its format on the wire.

    Attributes
    ----------
    problem : Problem
        Kind of the refusal.
    detail : str
        Message to the caller: what was found and what is allowed.
    run : Run
        Whether the request ran.
    retry_ms : int or None
        Time after which the caller may retry, in ms; None to give none.
    """

    problem: Problem
    detail: str
    run: Run = Run.NO
    retry_ms: Millis | None = None


class ProblemDocument(msgspec.Struct, frozen=True):
    """Problem document (RFC 9457) as sent to callers."""

    type: str
    title: str
    status: int
    detail: str
    run: str
    request: RequestId


def problem_document(refusal: Refusal, request: RequestId) -> ProblemDocument:
    """Return the problem document of a refusal."""
    return ProblemDocument(
        type=f"urn:spanshunt:problem:{refusal.problem.slug}",
        title=refusal.problem.slug.replace("-", " "),
        status=refusal.problem.status,
        detail=refusal.detail,
        run=refusal.run.value,
        request=request,
    )
