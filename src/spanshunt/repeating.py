"""Whether a request may go to one more worker."""

from .catalog_state import CatalogRequest
from .catalog_state import Core
from .forwarding import may_be_sent
from .systems.repeats import may_repeat

MOST_REFUSED_SENDS = 3
"""Workers that may turn one request away before the caller is told to come back: each
is an arrival that the budget of repeats pays for."""


def may_go_on(core: Core, state: CatalogRequest) -> bool:
    """Tell whether another worker may get the request after this one failed it."""
    if not may_be_sent(state, core.clock.now()) or state.sends > MOST_REFUSED_SENDS:
        return False
    return budget_allows(core, state)


def budget_allows(
    core: Core, state: CatalogRequest, *, for_quality: bool = False
) -> bool:
    """Tell whether the budget of repeats allows one more arrival at the service."""
    return may_repeat(
        core.fleet,
        state.service,
        core.clock.now(),
        core.bounds,
        for_quality=for_quality,
    )
