"""Streams: passed on event by event, dropped for a better model, taken up elsewhere."""

import asyncio

from .attempt_outcomes import note_events
from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .events import EventSplitter
from .logs import log_event
from .planning import larger_prospect
from .ports import Answer
from .ports import Reply
from .ports import SilentWorkerError
from .ports import TruncatedAnswerError
from .repeating import budget_allows
from .repeating import may_go_on
from .systems.cascading import probability_good
from .systems.cascading import record_confidence
from .systems.cascading import required_probability
from .systems.cascading import update_repeat_price
from .systems.timing import RECENTLY_SENT_FACTOR
from .systems.timing import has_sent_recently
from .systems.timing import stall_timeout_ms


def wants_better(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    found: Answer,
    first_ms: int,
) -> bool:
    """Tell whether to drop a small model's answer at its head for a larger model's."""
    if found.confidence is None or not attempt.model:
        return False
    record_confidence(core.fleet, attempt.model, found.confidence)
    model_plan, call = state.model_plan, state.call
    if model_plan is None or state.raised or attempt.model == model_plan.last:
        return False
    if call.resume_after is not None or state.last_event is not None:
        return False
    route = state.admitted.route
    catalog = core.fleet.catalog
    service = catalog.services.get(attempt.service) if catalog else None
    if service is None or state.runs + _kept(state) >= route.max_attempts:
        return False
    prospect = larger_prospect(core, state, service)
    required = required_probability(core.fleet, route, service, call.tokens, prospect)
    affordable = budget_allows(core, state, for_escalation=True)
    wanted = prospect.possible and probability_good(found.confidence) < required
    if wanted:
        update_repeat_price(core.fleet, service.name, allowed=affordable)
    state.raised = wanted and affordable
    log_event(
        "INFO",
        "model choice",
        request=call.request,
        model=attempt.model,
        sureness=found.confidence,
        likely_good=round(probability_good(found.confidence), 2),
        needed=round(required, 2),
        budget=affordable,
        raised=state.raised,
        larger_possible=prospect.possible,
        first_ms=first_ms,
        larger_wait_ms=round(prospect.expected.wait_ms),
        larger_read_ms=round(prospect.expected.read_ms),
    )
    return state.raised


def _kept(state: CatalogRequest) -> int:
    """Return the attempts kept for failures: one, where one has failed already."""
    return 1 if state.broken else 0


async def relay_stream(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    found: Answer,
    reply: Reply,
) -> None:
    """Pass a stream on; the head and the events before are those of earlier attempts.

    Raises
    ------
    BrokenAnswerError
        If it ends before it is whole or falls silent while it could go on elsewhere.
    """
    splitter = EventSplitter(state.last_event)
    while True:
        block = await _next_block(core, state, attempt, found)
        if not block:
            break
        events = splitter.feed(block)
        if not events.block:
            continue
        if not reply.begun:
            await reply.begin(found.status, found.headers)
            state.first_at = core.clock.now()
        await reply.write(events.block)
        state.events += events.count
        note_events(core, state, attempt, events.count)
        if events.last_id is not None:
            state.last_event = events.last_id
    if splitter.rest:
        detail = f"ends inside an event, {len(splitter.rest)} bytes in"
        raise TruncatedAnswerError(detail)
    if not reply.begun:
        await reply.begin(found.status, found.headers)
    await reply.end()


async def _next_block(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, found: Answer
) -> bytes:
    """Return the next bytes; silence is a break if the stream can go on elsewhere."""
    route, worker = state.admitted.route, attempt.worker
    if not route.resumable or state.runs >= route.max_attempts:
        return await found.next_block()
    limit_ms = stall_timeout_ms(route)
    silent_ms = 0.0
    while True:
        try:
            async with asyncio.timeout(limit_ms / 1_000):
                block = await found.next_block()
        except TimeoutError:
            now = core.clock.now()
            if now >= state.limit:
                raise
            silent_ms += limit_ms
            if (
                has_sent_recently(worker, now)
                and silent_ms < RECENTLY_SENT_FACTOR * limit_ms
            ):
                continue
            if not may_go_on(core, state):
                continue
            detail = f"worker {worker.name} silent for {silent_ms:.0f} ms"
            raise SilentWorkerError(detail) from None
        worker.last_byte_at = core.clock.now()
        return block
