"""Whether a request may go to one more worker."""

from .catalog_state import CatalogRequest
from .catalog_state import Core
from .forwarding import may_be_sent
from .systems.repeats import may_repeat

MOST_ARRIVALS = 3
"""Workers that may turn one request away before the caller is told to come back: each
is an arrival that the budget of repeats pays for."""

MOST_UNREACHED = 8
"""Workers that one request may fail to reach. A refused connect takes 1 ms and reaches
nobody, so it costs no budget; where a whole failure domain is gone, the second one
already leads out of it."""


def may_go_on(core: Core, state: CatalogRequest) -> bool:
    """Tell whether another worker may get the request after this one failed it."""
    state.stopped_by = _what_stops(core, state)
    return not state.stopped_by


def _what_stops(core: Core, state: CatalogRequest) -> str:
    """Return why no other worker may get the request; empty if one may."""
    if not may_be_sent(state, core.clock.now()):
        return "its time or its attempts are used up"
    if state.unreached >= MOST_UNREACHED:
        return f"{state.unreached} workers were not reached"
    arrivals = state.sends - state.unreached
    if arrivals > MOST_ARRIVALS:
        return f"{arrivals} workers had it"
    if arrivals and not budget_allows(core, state):
        return "the budget of repeats is used up"
    return ""


def budget_allows(
    core: Core, state: CatalogRequest, *, for_escalation: bool = False
) -> bool:
    """Tell whether the budget of repeats allows one more arrival at the service."""
    return may_repeat(
        core.fleet,
        state.service,
        core.clock.now(),
        core.bounds,
        for_escalation=for_escalation,
    )
