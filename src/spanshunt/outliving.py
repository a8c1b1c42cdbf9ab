"""Streams that outlive the worker ends their content is suspected of."""

from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .logs import log_event
from .systems.quarantining import record_outlived_ends


def check_outlived_ends(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt
) -> None:
    """Clear a stream's content of past ends once the stream has run for longer.

    To be called as the worker's events are relayed. Peers are told at once of a content
    that was ever quarantined.
    """
    fleet, now = core.fleet, core.clock.now()
    content = state.features[0].fingerprint if state.features else None
    row = fleet.suspects.get(content) if content is not None else None
    if row is None:
        return
    ends = row.counted_ends()
    ran_ms = now - attempt.first_event_at
    if not record_outlived_ends(row, ran_ms, now):
        return
    core.count("contents_outlived")
    log_event(
        "INFO",
        "content outlived ends",
        request=state.request,
        fingerprint=row.fingerprint,
        worker=attempt.worker.name,
        ran_ms=ran_ms,
        ends=sorted(ends),
        quarantined=row.quarantined_at >= 0,
    )
    if row.quarantined_at >= 0:
        core.gossip_now()
