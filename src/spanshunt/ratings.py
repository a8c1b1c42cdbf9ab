"""Ratings of answers, asked for after the caller has the answer."""

import asyncio

from result import Err
from result import Ok

from .admission import ChatCall
from .backing.rater import RatingRequest
from .backing.rater import fetch_rating
from .logs import log_event
from .router import Router
from .systems.learning import GOOD_SCORE
from .systems.learning import record_counts
from .tables.evidence import Cell
from .tables.evidence import Counts

MOST_AT_ONCE = 64
"""Ratings asked for at once; more are passed over."""

_tasks: set[asyncio.Task[None]] = set()


def rate_later(router: Router, call: ChatCall, cells: list[Cell], text: str) -> None:
    """Ask for the rating of an answer without holding the caller up.

    The rating counts in each of `cells`, which are of one version.
    """
    if not router.settings.platform.rater or len(_tasks) >= MOST_AT_ONCE:
        return
    task = asyncio.create_task(_rate(router, call, cells, text))
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


async def _rate(router: Router, call: ChatCall, cells: list[Cell], text: str) -> None:
    asked = RatingRequest(
        request=call.request,
        service=call.asked.service,
        request_class=call.asked.request_class,
        version=cells[0].version,
        prompt=bytes(call.raw_body["messages"]).decode(errors="replace"),
        answer=text,
    )
    match await fetch_rating(router.http, router.settings.platform.rater, asked):
        case Ok(rating):
            seen = Counts(rated=1, good=int(rating.score >= GOOD_SCORE))
            state = router.state
            origin = state.identity.incarnation
            for cell in cells:
                record_counts(state.evidence, origin, router.clock.wall(), cell, seen)
        case Err(fault):
            router.metrics.count("rating.failed")
            log_event("DEBUG", "no rating", request=call.request, fault=fault.detail)
