"""Answers of model engines: checked, held back or passed on, and billed."""

from multidict import CIMultiDict
from result import Err

from .admission import EXPLAIN_HEADER
from .admission import SESSION_HEADER
from .chat_state import ChatAttempt
from .chat_state import ChatRequest
from .histograms import Measure
from .observations import is_sure
from .observations import note_whole
from .observations import rate
from .ports import Answer
from .ports import BrokenAnswerError
from .ports import Reply
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .request_state import Ending
from .router import Router
from .session_pins import keep_pin
from .session_tokens import SessionToken
from .sse import EventStream
from .sse import check_whole
from .sse import text_of_stream
from .sse import text_of_whole
from .systems.invariants import OWN_ANSWER
from .systems.invariants import check
from .systems.journaling import priced_usage

REFUSAL_BYTES = 500
"""So much of an engine's refusal is told to the caller, in bytes."""


async def use_answer(
    router: Router,
    state: ChatRequest,
    attempt: ChatAttempt,
    found: Answer,
    reply: Reply,
) -> Ending:
    """Pass an answer on once it is billed, or leave it for a dearer version's."""
    if found.status >= 500:
        raise BrokenAnswerError(f"answers {found.status}")
    if found.status != 200:
        text = (await found.read())[:REFUSAL_BYTES].decode(errors="replace")
        state.refused = Refusal(Problem.BAD_REQUEST, text, Run.UNKNOWN)
        return Ending.REFUSED
    state.version = attempt.choice.version
    if state.call.fields.stream:
        ending = await _relay(router, state, attempt, found, reply)
    else:
        ending = await _pass_whole(router, state, attempt, found, reply)
    note_whole(router, state, attempt)
    return ending


async def _relay(
    router: Router,
    state: ChatRequest,
    attempt: ChatAttempt,
    found: Answer,
    reply: Reply,
) -> Ending:
    """Pass a stream on, event by event, and end it once it is billed."""
    stream = EventStream(pass_usage=state.call.fields.pass_usage)
    held_back = bool(attempt.choice.fallback)
    keep = held_back or router.rng.random() < attempt.choice.rate
    while block := await found.next_block():
        fed = stream.feed(block)
        if isinstance(fed, Err):
            raise BrokenAnswerError(f"sent {fed.err_value.value}")
        out = fed.ok_value
        if not out:
            continue
        if not attempt.first:
            attempt.first = router.clock.now()
        if keep:
            attempt.text.append(out)
        if not held_back:
            await _begin(router, state, attempt, reply)
            await reply.write(out)
    attempt.ended = router.clock.now()
    end = stream.finish()
    if isinstance(end, Err):
        raise BrokenAnswerError(f"sent {end.err_value.value}")
    attempt.usage = stream.usage
    _itemise(router, state, attempt)
    if _escalates(state, attempt):
        return Ending.BETTER
    check(OWN_ANSWER, stream.usage is not None, f"{state.request} has no usage")
    await _bill(router, state)
    await _begin(router, state, attempt, reply)
    if held_back:
        await reply.write(b"".join(attempt.text))
    await reply.write(end.ok_value)
    await reply.end()
    if keep:
        rate(router, state, attempt, text_of_stream(attempt.text))
    return Ending.DELIVERED


async def _pass_whole(
    router: Router,
    state: ChatRequest,
    attempt: ChatAttempt,
    found: Answer,
    reply: Reply,
) -> Ending:
    body = await found.read()
    attempt.first = attempt.ended = router.clock.now()
    checked = check_whole(body)
    if isinstance(checked, Err):
        raise BrokenAnswerError(f"sent {checked.err_value.value}")
    attempt.usage = checked.ok_value
    _itemise(router, state, attempt)
    if _escalates(state, attempt):
        return Ending.BETTER
    await _bill(router, state)
    if router.rng.random() < attempt.choice.rate:
        rate(router, state, attempt, text_of_whole(body))
    headers = await _headers(router, state, attempt)
    headers["Content-Type"] = "application/json"
    await reply.send_whole(200, headers, body)
    return Ending.DELIVERED


async def _begin(
    router: Router, state: ChatRequest, attempt: ChatAttempt, reply: Reply
) -> None:
    """Give the head of a stream, unless the caller has it already."""
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


def _itemise(router: Router, state: ChatRequest, attempt: ChatAttempt) -> None:
    row = router.state.config.versions[attempt.choice.version]
    usage = attempt.usage
    if usage is not None:
        state.usage.append(
            priced_usage(row, usage.prompt_tokens, usage.completion_tokens)
        )


def _escalates(state: ChatRequest, attempt: ChatAttempt) -> bool:
    """Tell whether a held back answer is not good enough to be given."""
    fallback = attempt.choice.fallback
    usage = attempt.usage
    if not fallback or usage is None or is_sure(usage):
        return False
    state.forced = fallback
    state.tried.clear()
    return True


async def _bill(router: Router, state: ChatRequest) -> None:
    service = state.call.asked.service
    usage = tuple(state.usage)
    entry = await router.bills.keep(state.request, state.org, service, usage)
    router.histograms.record(state.org, state.request_class, Measure.COST, entry.cost)
