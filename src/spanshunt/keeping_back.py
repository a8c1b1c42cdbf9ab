"""What a box does when it finds, or hears, that a content is to be kept back."""

from .catalog_state import Core
from .forwarding import stop
from .logs import log_event
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .tables.suspects import SuspectRequest


def keep_back(core: Core, row: SuspectRequest, source: str) -> None:
    """Stop the requests of a content that are under way here, and tell peers at once.

    What waits at a worker is withdrawn before it begins: in a busy engine's queue one
    waited for 3.2 s and ended it then. One that has events already goes on: if it is
    answered whole, the content was sound.
    """
    copies = [
        state
        for state in core.running.values()
        if state.fingerprint == row.fingerprint and not state.events
    ]
    core.count("contents_kept_back")
    log_event(
        "WARNING",
        "content kept back",
        fingerprint=row.fingerprint,
        service=row.service,
        ends=sorted(row.counted_ends()),
        versions=sorted(row.versions),
        under_way=len(copies),
        source=source,
    )
    for state in copies:
        stop(state, kept_back_refusal(row, ran=state.runs > 0))
    core.tell_now()


def kept_back_refusal(row: SuspectRequest, *, ran: bool) -> Refusal:
    """Return the final answer to a request whose content is kept back."""
    detail = (
        f"not sent on: {len(row.counted_ends())} workers ended under this content "
        f"({row.fingerprint}); asking again as it is leads nowhere"
    )
    return Refusal(Problem.KEPT_BACK, detail, Run.UNKNOWN if ran else Run.NO)
