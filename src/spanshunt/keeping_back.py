"""Enforcement of the quarantine of a content or a prompt part on this box."""

from .catalog_state import CatalogRequest
from .catalog_state import Core
from .forwarding import stop_request
from .logs import log_event
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .systems.moments import independent_ends
from .tables.suspects import CONTENT_POSITION
from .tables.suspects import SuspectFeature


def enforce_quarantine(core: Core, row: SuspectFeature, source: str) -> None:
    """Stop the requests with a quarantined feature here, and tell peers at once.

    A request that waits at a worker is withdrawn before it runs: one request waited in
    a busy engine's queue for 3.2 s and then crashed the engine. A request with events
    continues: if it is answered completely, the content is harmless.
    """
    states = [
        state
        for state in core.running.values()
        if state.find_feature(row.fingerprint) and not state.events
    ]
    core.count("parts_kept_back" if is_part(row) else "contents_kept_back")
    log_event(
        "WARNING",
        "content kept back",
        fingerprint=row.fingerprint,
        position=row.position,
        service=row.service,
        ends=sorted(row.counted_ends()),
        independent=len(independent_ends(row, row.counted_ends())),
        versions=sorted(row.versions),
        under_way=len(states),
        source=source,
    )
    for state in states:
        stop_request(state, quarantine_refusal(state, row))
    core.gossip_now()


def is_part(row: SuspectFeature) -> bool:
    """Return whether a feature is a part of prompts, not a whole content."""
    return row.position != CONTENT_POSITION


def quarantine_refusal(state: CatalogRequest, row: SuspectFeature) -> Refusal:
    """Return the refusal of a request one of whose features is quarantined."""
    feature = state.find_feature(row.fingerprint)
    if feature is None or not feature.name:
        what, advice = "content", "retrying it unchanged will not succeed"
    else:
        what = f"prompt part {feature.name!r}"
        advice = "requests with it will not succeed"
    detail = (
        f"{what} quarantined: {len(row.counted_ends())} workers ended during it "
        f"(fingerprint {row.fingerprint}); {advice}"
    )
    return Refusal(Problem.KEPT_BACK, detail, Run.UNKNOWN if state.runs else Run.NO)
