"""Streams: relaying by event, escalation to a larger model, and resumption."""

import asyncio

from .attempt_outcomes import record_relayed_events
from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .events import EventSplitter
from .forwarding import may_attempt_again
from .logs import log_event
from .planning import escalation_prospect
from .ports import Answer
from .ports import Reply
from .ports import SilentWorkerError
from .ports import TruncatedAnswerError
from .repeating import budget_allows
from .repeating import may_retry
from .systems.cascading import probability_good
from .systems.cascading import record_confidence
from .systems.cascading import required_probability
from .systems.cascading import update_repeat_price
from .systems.timing import RECENTLY_SENT_FACTOR
from .systems.timing import has_sent_recently
from .systems.timing import stall_timeout_ms
from .time_limits import MAX_TIMES
from .time_limits import was_late


def should_escalate(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    answer: Answer,
    first_ms: int,
) -> bool:
    """Return whether to drop a small model's answer at its head and escalate."""
    if answer.confidence is None or not attempt.model:
        return False
    record_confidence(core.fleet, attempt.model, answer.confidence)
    model_plan, call = state.model_plan, state.call
    if model_plan is None or state.escalated or attempt.model == model_plan.last:
        return False
    if call.resume_after is not None or state.last_event_id is not None:
        return False
    route = state.admitted.route
    catalog = core.fleet.catalog
    service = catalog.services.get(attempt.service) if catalog else None
    if service is None or state.runs + _reserved_attempts(state) >= route.max_attempts:
        return False
    if not may_attempt_again(state, core.clock.now()):
        return False
    prospect = escalation_prospect(core, state, service)
    required = required_probability(core.fleet, route, service, call.tokens, prospect)
    affordable = budget_allows(core, state, for_escalation=True)
    worthwhile = prospect.possible and probability_good(answer.confidence) < required
    if worthwhile:
        update_repeat_price(core.fleet, service.name, allowed=affordable)
    state.escalated = worthwhile and affordable
    log_event(
        "INFO",
        "model choice",
        request=call.request,
        model=attempt.model,
        sureness=answer.confidence,
        likely_good=round(probability_good(answer.confidence), 2),
        needed=round(required, 2),
        budget=affordable,
        raised=state.escalated,
        larger_possible=prospect.possible,
        first_ms=first_ms,
        larger_wait_ms=round(prospect.expected.wait_ms),
        larger_read_ms=round(prospect.expected.read_ms),
    )
    return state.escalated


def _reserved_attempts(state: CatalogRequest) -> int:
    """Return how many attempts are reserved for failures: one after a failure."""
    return 1 if state.has_failed_attempt else 0


async def relay_stream(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    answer: Answer,
    reply: Reply,
) -> None:
    """Relay a stream, without the head and the events sent by earlier attempts.

    Raises
    ------
    BrokenAnswerError
        If the connection breaks, if the stream ends inside an event, or if the worker
        is silent for too long while another one could resume the stream.
    """
    try:
        await _relay_events(core, state, attempt, answer, reply)
    finally:
        reply.hold_partial(0)


async def _relay_events(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    answer: Answer,
    reply: Reply,
) -> None:
    splitter = EventSplitter(state.last_event_id)
    while True:
        block = await _next_block(core, state, attempt, answer)
        if not block:
            break
        events = splitter.feed(block)
        reply.hold_partial(len(splitter.partial))
        if not events.block:
            continue
        if not reply.begun:
            await reply.begin(answer.status, answer.headers)
            state.first_byte_at = core.clock.now()
        await reply.write(events.block)
        state.events += events.count
        record_relayed_events(core, state, attempt, events.count)
        if events.last_id is not None:
            state.last_event_id = events.last_id
    if splitter.partial:
        detail = (
            f"stream ended inside an event, after {len(splitter.partial)} bytes of it"
        )
        raise TruncatedAnswerError(detail)
    if not reply.begun:
        await reply.begin(answer.status, answer.headers)
    await reply.end()


async def _next_block(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, answer: Answer
) -> bytes:
    """Return the next bytes; raise on silence if another worker may resume."""
    route, worker = state.admitted.route, attempt.worker
    if not route.resumable or state.counted_runs >= route.max_attempts:
        return await answer.next_block()
    limit_ms = stall_timeout_ms(route, attempt.time_factor)
    silent_ms, times = 0.0, 0
    while True:
        due_s = asyncio.get_running_loop().time() + limit_ms / 1_000
        try:
            async with asyncio.timeout_at(due_s):
                block = await answer.next_block()
        except TimeoutError:
            now = core.clock.now()
            if now >= state.limit:
                raise
            times += 1
            if times < MAX_TIMES and was_late(due_s, limit_ms / 1_000):
                continue
            silent_ms += limit_ms
            if (
                has_sent_recently(worker, now)
                and silent_ms < RECENTLY_SENT_FACTOR * limit_ms
            ):
                continue
            if not may_retry(core, state):
                continue
            detail = f"worker {worker.name} was silent for {silent_ms:.0f} ms"
            raise SilentWorkerError(detail) from None
        worker.last_byte_at = core.clock.now()
        return block
