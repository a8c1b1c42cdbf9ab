"""Ending a request that failed in a way nobody expected, without harm to others."""

import pathlib
import traceback
import typing as t

from .exceptions import InvariantError
from .exceptions import RequestInvariantError
from .ids import RequestId
from .logs import log_event
from .ports import Reply
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .settling import Counter

MAX_DETAIL_CHARS = 200
"""Characters of an exception's text that a log line shows at most."""

_PACKAGE = pathlib.Path(__file__).parent


async def run_request(
    work: t.Awaitable[None], reply: Reply, request: RequestId, count: Counter
) -> None:
    """Do the work of one request; whatever fails in it ends that request alone.

    The failure is logged and counted, and the caller gets a failure that makes no
    promise, or a cut stream.

    Raises
    ------
    InvariantError
        If an invariant of what all requests share is broken.
    ConnectionError
        If the caller is gone.
    """
    try:
        await work
    except RequestInvariantError as exc:
        log_request_invariant(exc, request, count)
        await end_broken_request(reply)
    except (InvariantError, ConnectionError):
        raise
    except Exception as exc:
        log_unexpected_failure(exc, request, count)
        await end_broken_request(reply)


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


def log_unexpected_failure(exc: Exception, request: RequestId, count: Counter) -> None:
    """Count and log an exception that nobody expected, which is always a bug."""
    count("requests_failed_unexpectedly")
    log_event(
        "ERROR",
        "request failed unexpectedly",
        request=request,
        error=type(exc).__name__,
        detail=str(exc)[:MAX_DETAIL_CHARS],
        where=failed_at(exc),
    )


def failed_at(exc: BaseException) -> str:
    """Return the file, line and function of this package that an exception left last.

    The result is that of the last frame at all if none is the package's.
    """
    frames = traceback.extract_tb(exc.__traceback__)
    own = [row for row in frames if _PACKAGE in pathlib.Path(row.filename).parents]
    if not frames:
        return ""
    last = (own or frames)[-1]
    return f"{pathlib.Path(last.filename).name}:{last.lineno} {last.name}"


async def end_broken_request(reply: Reply) -> None:
    """End such a request: nothing more of it is sent, and no promise is made."""
    if reply.begun:
        reply.abort()
        return
    detail = "the request was ended by a check of its own; it may have run"
    await reply.refuse(Refusal(Problem.BACKEND_FAILED, detail, Run.UNKNOWN))
