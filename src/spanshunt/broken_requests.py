"""Ending a request whose invariant is broken, without harm to others."""

from .exceptions import RequestInvariantError
from .ids import RequestId
from .logs import log_event
from .ports import Reply
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .settling import Counter


def log_request_invariant(
    exc: RequestInvariantError, request: RequestId, count: Counter
) -> None:
    """Count and log a broken invariant of one request, which is always a bug."""
    count("request_invariants_broken")
    log_event(
        "ERROR",
        "request invariant broken",
        request=request,
        promise=exc.promise,
        detail=exc.detail,
    )


async def end_broken_request(reply: Reply) -> None:
    """End such a request: nothing more of it is sent, and no promise is made."""
    if reply.begun:
        reply.abort()
        return
    detail = "the request was ended by a check of its own; it may have run"
    await reply.refuse(Refusal(Problem.BACKEND_FAILED, detail, Run.UNKNOWN))
