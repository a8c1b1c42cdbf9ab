"""Enforcement of the quarantine of a request content on this box."""

from .catalog_state import Core
from .forwarding import stop_request
from .logs import log_event
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .tables.suspects import SuspectRequest


def enforce_quarantine(core: Core, row: SuspectRequest, source: str) -> None:
    """Stop the requests with a quarantined content here, and tell peers at once.

    A request that waits at a worker is withdrawn before it runs: one request waited in
    a busy engine's queue for 3.2 s and then crashed the engine. A request with events
    continues: if it is answered completely, the content is harmless.
    """
    states = [
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
        under_way=len(states),
        source=source,
    )
    for state in states:
        stop_request(state, quarantine_refusal(row, ran=state.runs > 0))
    core.gossip_now()


def quarantine_refusal(row: SuspectRequest, *, ran: bool) -> Refusal:
    """Return the refusal of a request whose content is quarantined."""
    detail = (
        f"content quarantined: {len(row.counted_ends())} workers ended during it "
        f"(fingerprint {row.fingerprint}); retrying it unchanged will not succeed"
    )
    return Refusal(Problem.KEPT_BACK, detail, Run.UNKNOWN if ran else Run.NO)
