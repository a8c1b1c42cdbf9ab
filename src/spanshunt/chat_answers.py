"""Answers of model engines: check, escalate or deliver them, and bill the request."""

from multidict import CIMultiDict
from result import Err

from .admission import EXPLAIN_HEADER
from .admission import SESSION_HEADER
from .chat_state import ChatAttempt
from .chat_state import ChatRequest
from .histograms import Measure
from .observations import is_confident
from .observations import record_complete_attempt
from .observations import request_rating
from .ports import Answer
from .ports import BrokenAnswerError
from .ports import Reply
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .request_state import AttemptOutcome
from .router import Router
from .session_pins import keep_pin
from .session_tokens import SessionToken
from .sse import EventStream
from .sse import check_whole_answer
from .sse import text_of_stream
from .sse import text_of_whole_answer
from .systems.invariants import OWN_ANSWER
from .systems.invariants import check
from .systems.journaling import priced_usage

MAX_REFUSAL_BYTES = 500
"""Maximum part of an engine's error answer that is sent to the caller, in bytes."""


async def deliver_answer(
    router: Router,
    state: ChatRequest,
    attempt: ChatAttempt,
    answer: Answer,
    reply: Reply,
) -> AttemptOutcome:
    """Bill and deliver an answer, or discard it to ask a more expensive version."""
    if answer.status >= 500:
        raise BrokenAnswerError(f"answered with status {answer.status}")
    if answer.status != 200:
        text = (await answer.read())[:MAX_REFUSAL_BYTES].decode(errors="replace")
        state.refused = Refusal(Problem.BAD_REQUEST, text, Run.UNKNOWN)
        return AttemptOutcome.REFUSED
    state.version = attempt.choice.version
    if state.call.fields.stream:
        ending = await _deliver_stream(router, state, attempt, answer, reply)
    else:
        ending = await _deliver_whole(router, state, attempt, answer, reply)
    record_complete_attempt(router, state, attempt)
    return ending


async def _deliver_stream(
    router: Router,
    state: ChatRequest,
    attempt: ChatAttempt,
    answer: Answer,
    reply: Reply,
) -> AttemptOutcome:
    """Forward a stream event by event, and end it after the request is billed.

    A stream that may be escalated is held back until it is complete.
    """
    stream = EventStream(pass_usage=state.call.fields.pass_usage)
    held_back = bool(attempt.choice.fallback)
    keep = held_back or router.rng.random() < attempt.choice.rate
    while block := await answer.next_block():
        checked = stream.feed(block)
        if isinstance(checked, Err):
            raise BrokenAnswerError(f"sent {checked.err_value.value}")
        events = checked.ok_value
        if not events:
            continue
        if not attempt.first_at:
            attempt.first_at = router.clock.now()
        if keep:
            attempt.kept_events.append(events)
        if not held_back:
            await _begin_stream(router, state, attempt, reply)
            await reply.write(events)
    attempt.ended_at = router.clock.now()
    end = stream.finish()
    if isinstance(end, Err):
        raise BrokenAnswerError(f"sent {end.err_value.value}")
    attempt.usage = stream.usage
    _add_usage(router, state, attempt)
    if _escalate_if_unsure(state, attempt):
        return AttemptOutcome.ESCALATED
    check(OWN_ANSWER, stream.usage is not None, f"{state.request} has no usage")
    await _bill(router, state)
    await _begin_stream(router, state, attempt, reply)
    if held_back:
        await reply.write(b"".join(attempt.kept_events))
    await reply.write(end.ok_value)
    await reply.end()
    if keep:
        request_rating(router, state, attempt, text_of_stream(attempt.kept_events))
    return AttemptOutcome.DELIVERED


async def _deliver_whole(
    router: Router,
    state: ChatRequest,
    attempt: ChatAttempt,
    answer: Answer,
    reply: Reply,
) -> AttemptOutcome:
    body = await answer.read()
    attempt.first_at = attempt.ended_at = router.clock.now()
    checked = check_whole_answer(body)
    if isinstance(checked, Err):
        raise BrokenAnswerError(f"sent {checked.err_value.value}")
    attempt.usage = checked.ok_value
    _add_usage(router, state, attempt)
    if _escalate_if_unsure(state, attempt):
        return AttemptOutcome.ESCALATED
    await _bill(router, state)
    if router.rng.random() < attempt.choice.rate:
        request_rating(router, state, attempt, text_of_whole_answer(body))
    headers = await _headers(router, state, attempt)
    headers["Content-Type"] = "application/json"
    await reply.send_whole(200, headers, body)
    return AttemptOutcome.DELIVERED


async def _begin_stream(
    router: Router, state: ChatRequest, attempt: ChatAttempt, reply: Reply
) -> None:
    """Send the head of a stream, unless it was sent already."""
    if reply.begun:
        return
    headers = await _headers(router, state, attempt)
    headers["Content-Type"] = "text/event-stream"
    headers["Cache-Control"] = "no-cache"
    await reply.begin(200, headers)


async def _headers(
    router: Router, state: ChatRequest, attempt: ChatAttempt
) -> CIMultiDict[str]:
    call, version = state.call, attempt.choice.version
    headers = CIMultiDict(
        {"Spanshunt-Version": version, EXPLAIN_HEADER: attempt.choice.rule.value}
    )
    if call.session is None:
        return headers
    if call.asked.pin and call.asked.pin != version:
        headers["Spanshunt-Session-Moved"] = f"{call.asked.pin} is no longer in service"
    if call.asked.pin != version:
        await keep_pin(router, call, version)
    pins = {**call.session.pins, call.pin_name: version}
    token = SessionToken(call.session.org, call.session.session, pins)
    headers[SESSION_HEADER] = router.signer.sign(token)
    return headers


def _add_usage(router: Router, state: ChatRequest, attempt: ChatAttempt) -> None:
    """Price the usage of an answer and add it to the request's usage."""
    row = router.state.config.versions[attempt.choice.version]
    usage = attempt.usage
    if usage is not None:
        state.usage.append(
            priced_usage(row, usage.prompt_tokens, usage.completion_tokens)
        )


def _escalate_if_unsure(state: ChatRequest, attempt: ChatAttempt) -> bool:
    """Switch to the fallback version if the engine is unsure of its answer.

    Returns whether it did so; the answer is then discarded.
    """
    fallback = attempt.choice.fallback
    usage = attempt.usage
    if not fallback or usage is None or is_confident(usage):
        return False
    state.escalated_to = fallback
    state.tried.clear()
    return True


async def _bill(router: Router, state: ChatRequest) -> None:
    service = state.call.asked.service
    usage = tuple(state.usage)
    entry = await router.bills.keep(state.request, state.org, service, usage)
    router.histograms.record(state.org, state.request_class, Measure.COST, entry.cost)
