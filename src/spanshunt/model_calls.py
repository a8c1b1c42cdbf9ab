"""Steps of the request path for model requests to the OpenAI-compatible API."""

from functools import partial

import msgspec
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result

from .admission import ChatCall
from .backing.workers import WorkerSend
from .chat_answers import deliver_answer
from .chat_state import ChatAttempt
from .chat_state import ChatRequest
from .forwarding import Steps
from .forwarding import forward
from .ids import Millis
from .ids import ModelId
from .ids import VersionId
from .logs import log_event
from .observations import record_failed_attempt
from .ports import Answer
from .ports import Reply
from .ports import SendFault
from .refusals import Problem
from .refusals import Refusal
from .router import Router
from .session_pins import find_pin
from .systems.choice import choose
from .systems.choice_rows import Choice
from .systems.invariants import check_session
from .systems.invariants import check_version
from .systems.invariants import check_worker
from .systems.worker_choice import eligible_workers
from .systems.worker_choice import estimated_load

MAX_ATTEMPTS = 3
"""Attempts with one version before the first byte of the answer, on different
workers."""

FULL_WORKER_LOAD = 3.0
"""Load, in batches, from which a worker gets no further requests."""

NOT_RUN_STATUSES = frozenset({404, 503})
"""Statuses of an engine that lacks the version or has no capacity; it ran nothing."""

_ENGINE_PATH = "/v1/chat/completions"
_RETRY_MS = Millis(1_000)

ChatSteps = Steps[ChatRequest, ChatAttempt]


def chat_steps(router: Router) -> ChatSteps:
    """Return the steps for model requests."""
    return Steps(
        clock=router.clock,
        count=router.metrics.count,
        plan=partial(_plan, router),
        before_send=partial(_before_send, router),
        send=partial(_send, router),
        record_answer_head=partial(_note_head, router),
        handle_answer=partial(deliver_answer, router),
        record_send_fault=partial(_note_fault, router),
        record_broken_answer=lambda state, attempt, exc: record_failed_attempt(
            router, state, attempt, str(exc)
        ),
        record_timeout=lambda state, attempt: record_failed_attempt(
            router, state, attempt, "no complete answer by the caller's deadline"
        ),
        may_retry=lambda state: len(state.tried) < MAX_ATTEMPTS,
        retry_ms=lambda _state: _RETRY_MS,
    )


async def answer_chat(
    router: Router, steps: ChatSteps, call: ChatCall, reply: Reply
) -> None:
    """Answer a model request, or refuse it if no attempt succeeds."""
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
        max_attempts=MAX_ATTEMPTS,
        call=call,
    )
    await forward(steps, state, reply)


def _plan(router: Router, state: ChatRequest) -> Result[ChatAttempt, Refusal]:
    """Choose version and worker from the current tables."""
    tables, version_request = router.state, state.call.asked
    if version_request.org not in tables.config.orgs:
        return Err(Refusal(Problem.NOT_ALLOWED, "the organisation was removed"))
    chosen = _choose_version(router, state)
    if isinstance(chosen, Err):
        return chosen
    choice = chosen.ok_value
    rows = eligible_workers(
        tables.workers, version_request.service, choice.version, state.tried, router.rng
    )
    if not rows:
        detail = f"no worker that holds {choice.version} accepts requests now"
        return Err(Refusal(Problem.NO_WORKER, detail, retry_ms=_RETRY_MS))
    worker = router.picker(rows)
    if estimated_load(worker) >= FULL_WORKER_LOAD:
        detail = f"the workers that hold {choice.version} are at capacity"
        return Err(Refusal(Problem.OVERLOADED, detail, retry_ms=_RETRY_MS))
    return Ok(ChatAttempt(worker=worker, model=ModelId(choice.version), choice=choice))


def _choose_version(router: Router, state: ChatRequest) -> Result[Choice, Refusal]:
    tables = router.state
    version_request = state.call.asked
    if state.escalated_to:
        version_request = msgspec.structs.replace(
            version_request, named=state.escalated_to
        )
    service = version_request.service
    chosen = choose(
        tables.config,
        tables.evidence.pool,
        version_request,
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
    if state.escalated_to or state.call.session is not None:
        choice = msgspec.structs.replace(choice, fallback=VersionId(""))
    return Ok(choice)


def _before_send(router: Router, state: ChatRequest, attempt: ChatAttempt) -> None:
    """Check the invariants of an attempt, and log the data it was decided on."""
    tables, version_request = router.state, state.call.asked
    version = attempt.choice.version
    check_version(tables.config, version_request.org, version)
    check_worker(tables.workers, attempt.worker.name)
    if version_request.pin:
        check_session(tables.config, version_request.org, version_request.pin, version)
    log_event(
        "INFO",
        "dispatch",
        request=state.request,
        service=version_request.service,
        request_class=state.request_class,
        org=state.org,
        config=tables.config.next_offset,
        worker=attempt.worker.name,
        version=version,
        rule=attempt.choice.rule.name.lower(),
        load=round(estimated_load(attempt.worker), 2),
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
            fresh=state.has_failed_attempt,
        )
    )
    if isinstance(sent, Err):
        return sent.err_value
    answer = sent.ok_value
    answer.not_run = answer.status in NOT_RUN_STATUSES
    return answer


def _note_fault(
    router: Router, state: ChatRequest, attempt: ChatAttempt, fault: SendFault
) -> None:
    """Record a failed send, except on a reused connection that the worker closed.

    Workers close idle connections, so that is no sign of a fault.
    """
    if not fault.stale:
        record_failed_attempt(router, state, attempt, fault.detail)


def _note_head(
    router: Router, state: ChatRequest, attempt: ChatAttempt, answer: Answer
) -> None:
    if answer.not_run:
        record_failed_attempt(
            router, state, attempt, f"answered with status {answer.status}"
        )


def _engine_body(call: ChatCall, version: VersionId) -> bytes:
    """Return the request body with the version as its model, asking for usage."""
    body = dict(call.raw_body)
    body["model"] = msgspec.Raw(msgspec.json.encode(version))
    if call.fields.stream:
        body["stream_options"] = msgspec.Raw(b'{"include_usage":true}')
    return msgspec.json.encode(body)
