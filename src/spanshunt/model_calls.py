"""Model requests of the OpenAI front: what each step of their path does."""

from functools import partial

import msgspec
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result

from .admission import EXPLAIN_HEADER
from .admission import SESSION_HEADER
from .admission import ChatCall
from .backing.workers import WorkerSend
from .chat_state import ChatAttempt
from .chat_state import ChatRequest
from .forwarding import Steps
from .forwarding import forward
from .histograms import Measure
from .ids import Millis
from .ids import ModelId
from .ids import VersionId
from .logs import log_event
from .observations import is_sure
from .observations import note_failed
from .observations import note_whole
from .observations import rate
from .ports import Answer
from .ports import BrokenAnswerError
from .ports import Reply
from .ports import SendFault
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .request_state import Ending
from .router import Router
from .session_pins import find_pin
from .session_pins import keep_pin
from .session_tokens import SessionToken
from .sse import EventStream
from .sse import check_whole
from .sse import text_of_stream
from .sse import text_of_whole
from .systems.choice import choose
from .systems.choice_rows import Choice
from .systems.invariants import OWN_ANSWER
from .systems.invariants import check
from .systems.invariants import check_session
from .systems.invariants import check_version
from .systems.invariants import check_worker
from .systems.journaling import price
from .systems.worker_choice import eligible
from .systems.worker_choice import load_of

MOST_ATTEMPTS = 3
"""Attempts of one version before the first byte of the answer, on different workers."""

FULL_LOAD = 3.0
"""A worker with this many batches of work is not given more."""

NOT_RUN_STATUSES = frozenset({404, 503})
"""An engine answers these when it lacks the version or has no room: nothing ran."""

REFUSAL_BYTES = 500
"""So much of an engine's refusal is told to the caller, in bytes."""

_ENGINE_PATH = "/v1/chat/completions"
_RETRY_MS = Millis(1_000)

ChatSteps = Steps[ChatRequest, ChatAttempt]


def chat_steps(router: Router) -> ChatSteps:
    """Return the steps of model requests."""
    return Steps(
        clock=router.clock,
        count=router.metrics.count,
        plan=partial(_plan, router),
        before_send=partial(_before_send, router),
        send=partial(_send, router),
        note_head=partial(_note_head, router),
        use=partial(_use, router),
        note_fault=lambda state, attempt, fault: note_failed(
            router, state, attempt, fault.detail
        ),
        note_bad=lambda state, attempt, exc: note_failed(
            router, state, attempt, str(exc)
        ),
        note_late=lambda state, attempt: note_failed(
            router, state, attempt, "no whole answer by the caller's deadline"
        ),
        may_go_on=lambda state: len(state.tried) < MOST_ATTEMPTS,
        retry_ms=lambda _state: _RETRY_MS,
    )


async def answer_chat(
    router: Router, steps: ChatSteps, call: ChatCall, reply: Reply
) -> None:
    """Answer a model request, whatever happens on the way."""
    if call.session is not None and not call.asked.pin:
        pin = await find_pin(router, call)
        call.asked = msgspec.structs.replace(call.asked, pin=pin)
    state = ChatRequest(
        request=call.request,
        org=call.asked.org,
        request_class=call.asked.request_class,
        began=call.began,
        limit=call.deadline,
        repeatable=True,
        most_attempts=MOST_ATTEMPTS,
        call=call,
    )
    await forward(steps, state, reply)


def _plan(router: Router, state: ChatRequest) -> Result[ChatAttempt, Refusal]:
    """Choose version and worker on the tables as they are now."""
    tables, asked = router.state, state.call.asked
    if asked.org not in tables.config.orgs:
        return Err(Refusal(Problem.NOT_ALLOWED, "the organisation is gone"))
    chosen = _choose(router, state)
    if isinstance(chosen, Err):
        return chosen
    choice = chosen.ok_value
    rows = eligible(
        tables.workers, asked.service, choice.version, state.tried, router.rng
    )
    if not rows:
        detail = f"no worker that holds {choice.version} takes work now"
        return Err(Refusal(Problem.NO_WORKER, detail, retry_ms=_RETRY_MS))
    worker = router.picker(rows)
    if load_of(worker) >= FULL_LOAD:
        detail = f"the workers that hold {choice.version} are full"
        return Err(Refusal(Problem.OVERLOADED, detail, retry_ms=_RETRY_MS))
    return Ok(ChatAttempt(worker=worker, model=ModelId(choice.version), choice=choice))


def _choose(router: Router, state: ChatRequest) -> Result[Choice, Refusal]:
    tables = router.state
    asked = state.call.asked
    if state.forced:
        asked = msgspec.structs.replace(asked, named=state.forced)
    service = asked.service
    chosen = choose(
        tables.config,
        tables.evidence.pool,
        asked,
        lambda version: router.holds(service, version),
        router.preferences,
        router.clock.now(),
    )
    if isinstance(chosen, Err):
        reasons = "; ".join(
            f"{item.version}: {item.reason}" for item in chosen.err_value.excluded
        )
        detail = f"no version may answer now ({reasons or 'none is declared'})"
        return Err(Refusal(Problem.NO_WORKER, detail, retry_ms=_RETRY_MS))
    choice = chosen.ok_value
    if state.forced or state.call.session is not None:
        choice = msgspec.structs.replace(choice, fallback=VersionId(""))
    return Ok(choice)


def _before_send(router: Router, state: ChatRequest, attempt: ChatAttempt) -> None:
    """Check what must hold of an attempt, and log what it rests on."""
    tables, asked = router.state, state.call.asked
    version = attempt.choice.version
    check_version(tables.config, asked.org, version)
    check_worker(tables.workers, attempt.worker.name)
    if asked.pin:
        check_session(tables.config, asked.org, asked.pin, version)
    log_event(
        "INFO",
        "dispatch",
        request=state.request,
        service=asked.service,
        request_class=state.request_class,
        org=state.org,
        config=tables.config.next_offset,
        worker=attempt.worker.name,
        version=version,
        rule=attempt.choice.rule.name.lower(),
        load=round(load_of(attempt.worker), 2),
        load_age_ms=attempt.sent - attempt.worker.reported_at,
        send=state.sends + 1,
        left_ms=state.limit - attempt.sent,
    )


async def _send(
    router: Router, state: ChatRequest, attempt: ChatAttempt
) -> Answer | SendFault:
    sent = await router.workers.send(
        WorkerSend(
            request=state.request,
            worker=attempt.worker,
            method="POST",
            path=_ENGINE_PATH,
            headers=CIMultiDict({"Content-Type": "application/json"}),
            body=_engine_body(state.call, attempt.choice.version),
            fresh=state.broken,
        )
    )
    if isinstance(sent, Err):
        return sent.err_value
    answer = sent.ok_value
    answer.not_run = answer.status in NOT_RUN_STATUSES
    return answer


def _note_head(
    router: Router, state: ChatRequest, attempt: ChatAttempt, found: Answer
) -> None:
    if found.not_run:
        note_failed(router, state, attempt, f"answers {found.status}")


async def _use(
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
    await reply.whole(200, headers, body)
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


def _engine_body(call: ChatCall, version: VersionId) -> bytes:
    body = dict(call.raw)
    body["model"] = msgspec.Raw(msgspec.json.encode(version))
    if call.fields.stream:
        body["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(body)


def _itemise(router: Router, state: ChatRequest, attempt: ChatAttempt) -> None:
    row = router.state.config.versions[attempt.choice.version]
    usage = attempt.usage
    if usage is not None:
        state.usage.append(price(row, usage.prompt_tokens, usage.completion_tokens))


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
