"""Limits on retries of a catalog request."""

from .catalog_state import CatalogRequest
from .catalog_state import Core
from .forwarding import may_attempt_again
from .systems.repeats import may_repeat

MAX_ARRIVALS = 3
"""Maximum number of arrivals of one request at workers that reject it before the caller
is told to retry later: each arrival beyond the first uses up retry budget."""

MAX_UNREACHED = 8
"""Maximum number of workers that one request may fail to reach. A refused connection
takes 1 ms and reaches no worker, so it uses no retry budget. If a whole failure domain
is down, the second attempt already goes to another one."""


def may_retry(core: Core, state: CatalogRequest) -> bool:
    """Return whether another worker may get the request after a failed attempt."""
    state.stopped_by = _find_retry_obstacle(core, state)
    return not state.stopped_by


def _find_retry_obstacle(core: Core, state: CatalogRequest) -> str:
    """Return why no other worker may get the request; empty if one may get it."""
    if not may_attempt_again(state, core.clock.now()):
        return "its time or its attempts are used up"
    if state.cut_off:
        return "neither this box nor a peer reaches a worker"
    if state.unreached >= MAX_UNREACHED:
        return f"{state.unreached} workers were not reached"
    arrivals = state.sends - state.unreached
    if arrivals > MAX_ARRIVALS:
        return f"it arrived at {arrivals} workers"
    if arrivals and not budget_allows(core, state):
        return "the retry budget is used up"
    return ""


def may_resume(core: Core, state: CatalogRequest) -> bool:
    """Return whether a stream that has begun may go on at another worker, if any.

    Only its time, its attempts and the retry budget limit it, not the arrivals so far.
    """
    return may_attempt_again(state, core.clock.now()) and budget_allows(core, state)


def budget_allows(
    core: Core, state: CatalogRequest, *, for_escalation: bool = False
) -> bool:
    """Return whether the retry budget allows one more arrival at the service."""
    return may_repeat(
        core.fleet,
        state.service,
        core.clock.now(),
        core.bounds,
        for_escalation=for_escalation,
    )
