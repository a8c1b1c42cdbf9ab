"""Whether a request may go to one more worker."""

from .request_state import Core
from .request_state import RequestState
from .systems.repeats import may_repeat

MOST_REFUSED_SENDS = 3
"""Workers that may turn one request away before the caller is told to come back: each
is an arrival that the budget of repeats pays for."""

LEFT_LEAST_MS = 5
"""With less time left than this, in ms, no worker is asked any more: a round trip
within a failure domain already takes about a millisecond."""


def may_go_on(core: Core, state: RequestState) -> bool:
    """Tell whether another worker may get the request after this one failed it."""
    route = state.admitted.route
    if core.clock.now() + LEFT_LEAST_MS >= state.limit:
        return False
    if state.runs and not route.repeatable:
        return False
    if state.runs >= route.most_attempts or state.sends > MOST_REFUSED_SENDS:
        return False
    return budget_allows(core, state)


def budget_allows(
    core: Core, state: RequestState, *, for_quality: bool = False
) -> bool:
    """Tell whether the budget of repeats allows one more arrival at the service."""
    return may_repeat(
        core.fleet,
        state.service,
        core.clock.now(),
        core.bounds,
        for_quality=for_quality,
    )
