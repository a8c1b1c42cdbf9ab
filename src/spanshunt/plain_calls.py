"""Steps of the request path for calls of plain services.

A call that is not repeatable is sent at most once to a worker that may run it.
"""

from functools import partial

import msgspec
from multidict import CIMultiDict
from result import Err
from result import Ok
from result import Result

from .backing.workers import WorkerSend
from .backing.workers import end_to_end
from .claimer import Repeat
from .claimer import Won
from .forwarding import Steps
from .forwarding import forward
from .forwarding import may_attempt_again
from .histograms import Measure
from .ids import ClassId
from .ids import Micros
from .ids import Millis
from .ids import OrgId
from .ids import RequestId
from .ids import ServiceId
from .logs import log_event
from .ports import Answer
from .ports import Reply
from .ports import SendFault
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .request_state import Attempt
from .request_state import AttemptOutcome
from .request_state import RequestState
from .router import Router
from .systems.invariants import check_claim
from .systems.invariants import check_service
from .systems.invariants import check_worker
from .systems.journaling import call_usage
from .systems.worker_choice import eligible_workers
from .systems.worker_choice import estimated_load
from .systems.worker_choice import record_failure
from .systems.worker_choice import record_success
from .tables.claims import CallAnswer
from .tables.config import ServiceRow

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
MAX_KEY_CHARS = 200
"""Maximum length of an idempotency key, in characters."""

MAX_ATTEMPTS = 3
"""Maximum number of workers tried for one call. A call that is not repeatable goes to
another worker only while it is certain that none ran it."""

_RETRY_MS = Millis(1_000)


class PlainCall(msgspec.Struct, frozen=True):
    """A call of a plain service, as received.

    Attributes
    ----------
    request, org : str
        Request id, and the organisation that makes the call.
    service : ServiceRow
        The service.
    method, path : str
        HTTP method, and path with query, relative to the service.
    headers : CIMultiDict
        The caller's headers.
    body : bytes
        The complete body.
    repeatable : bool
        Whether it may be sent again after a worker may have run it.
    key : str
        The caller's idempotency key; empty for none.
    began, deadline : int
        When the call arrived and when the caller stops waiting, in ms of the
        monotonic clock.
    """

    request: RequestId
    org: OrgId
    service: ServiceRow
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    repeatable: bool
    key: str
    began: Millis
    deadline: Millis


class PlainRequest(RequestState, kw_only=True):
    """State of a call of a plain service.

    Attributes
    ----------
    call : PlainCall
        The call.
    claimed_key : str
        Key of the claim that the call won; empty for none.
    """

    call: PlainCall
    claimed_key: str = ""


PlainSteps = Steps[PlainRequest, Attempt]


def plain_steps(router: Router) -> PlainSteps:
    """Return the steps for calls of plain services."""
    return Steps(
        clock=router.clock,
        count=router.metrics.count,
        plan=partial(_plan, router),
        before_send=partial(_before_send, router),
        send=partial(_send, router),
        record_answer_head=lambda _state, _attempt, _found: None,
        handle_answer=partial(_use, router),
        record_send_fault=partial(_note_fault, router),
        record_broken_answer=lambda state, attempt, exc: _record_failed_attempt(
            router, state, attempt, str(exc)
        ),
        record_timeout=lambda state, attempt: _record_failed_attempt(
            router, state, attempt, "no answer by the caller's deadline"
        ),
        may_retry=lambda state: (
            may_attempt_again(state, router.clock.now())
            and len(state.tried) < MAX_ATTEMPTS
        ),
        retry_ms=lambda _state: _RETRY_MS,
    )


async def answer_plain_call(
    router: Router, steps: PlainSteps, call: PlainCall, reply: Reply
) -> None:
    """Answer a call of a plain service.

    A call with an idempotency key runs only if it wins the claim of that key; otherwise
    it gets the stored answer or a refusal.
    """
    state = PlainRequest(
        request=call.request,
        org=call.org,
        request_class=ClassId(call.service.name),
        began=call.began,
        limit=call.deadline,
        repeatable=call.repeatable,
        max_attempts=MAX_ATTEMPTS,
        call=call,
    )
    if call.key and not call.repeatable:
        match await _claim(router, call):
            case Ok(Repeat(answer=answer)):
                await _send_stored_answer(reply, answer)
                return
            case Ok(Won(key=key)):
                state.claimed_key = key
            case Err(refusal):
                await reply.refuse(refusal)
                return
    await forward(steps, state, reply)
    if state.claimed_key and state.runs == 0:
        await router.claimer.give_up(call.request)


def check_idempotency_key(key: str) -> Result[str, Refusal]:
    """Check an idempotency key for length and characters."""
    if len(key) <= MAX_KEY_CHARS and key.isprintable():
        return Ok(key)
    detail = (
        f"header {IDEMPOTENCY_KEY_HEADER}: "
        f"up to {MAX_KEY_CHARS} printable characters are allowed"
    )
    return Err(Refusal(Problem.BAD_REQUEST, detail))


async def _claim(router: Router, call: PlainCall) -> Result[Won | Repeat, Refusal]:
    service = ServiceId(call.service.name)
    return await router.claimer.claim(call.org, service, call.key, call.request)


async def _send_stored_answer(reply: Reply, answer: CallAnswer) -> None:
    """Send the stored answer of the earlier call with the same key."""
    headers = CIMultiDict({"Spanshunt-Repeated": "true"})
    if answer.content_type:
        headers["Content-Type"] = answer.content_type
    await reply.send_whole(answer.status, headers, answer.body)


def _plan(router: Router, state: PlainRequest) -> Result[Attempt, Refusal]:
    service = ServiceId(state.call.service.name)
    rows = eligible_workers(
        router.state.workers, service, None, state.tried, router.rng
    )
    if rows:
        return Ok(Attempt(worker=router.picker(rows)))
    detail = "no worker accepts calls now"
    return Err(Refusal(Problem.NO_WORKER, detail, Run.NO, _RETRY_MS))


def _before_send(router: Router, state: PlainRequest, attempt: Attempt) -> None:
    """Check the invariants of a send, mark its claim as sent, and log it."""
    tables, worker = router.state, attempt.worker
    check_service(tables.config, state.org, ServiceId(state.call.service.name))
    check_worker(tables.workers, worker.name)
    if state.claimed_key:
        check_claim(tables.claims, state.claimed_key, state.request)
        router.claimer.mark_sent(state.request)
    log_event(
        "INFO",
        "dispatch",
        request=state.request,
        service=state.call.service.name,
        org=state.org,
        config=tables.config.next_offset,
        worker=worker.name,
        load=round(estimated_load(worker), 2),
        load_age_ms=attempt.sent - worker.reported_at,
        send=state.sends + 1,
        left_ms=state.limit - attempt.sent,
    )


async def _send(
    router: Router, state: PlainRequest, attempt: Attempt
) -> Answer | SendFault:
    call = state.call
    sent = await router.workers.send(
        WorkerSend(
            request=state.request,
            worker=attempt.worker,
            method=call.method,
            path=call.path,
            headers=end_to_end(call.headers),
            body=call.body,
            fresh=state.has_failed_attempt or not call.repeatable,
        )
    )
    return sent.err_value if isinstance(sent, Err) else sent.ok_value


async def _use(
    router: Router, state: PlainRequest, attempt: Attempt, answer: Answer, reply: Reply
) -> AttemptOutcome:
    """Send the answer, whatever its status, after it is complete and billed."""
    body = await answer.read()
    await _bill(router, state)
    record_success(attempt.worker, router.clock.now() - attempt.sent, 0.0)
    if state.claimed_key:
        content_type = answer.headers.get("Content-Type", "")
        stored = CallAnswer(answer.status, content_type, body)
        router.claimer.mark_done(state.request, stored)
    await reply.send_whole(answer.status, answer.headers, body)
    return AttemptOutcome.DELIVERED


def _note_fault(
    router: Router, state: PlainRequest, attempt: Attempt, fault: SendFault
) -> None:
    """Record a failed send; if no byte was sent, the claim counts as unsent again."""
    if fault.unreached and state.claimed_key:
        router.claimer.mark_unsent(state.request)
    if not fault.stale:
        _record_failed_attempt(router, state, attempt, fault.detail)


def _record_failed_attempt(
    router: Router, state: PlainRequest, attempt: Attempt, detail: str
) -> None:
    worker = attempt.worker
    record_failure(router.state.workers, worker, router.clock.now())
    router.metrics.count("attempt.failed")
    log_event(
        "WARNING",
        "attempt failed",
        request=state.request,
        org=state.org,
        worker=worker.name,
        detail=detail,
    )


async def _bill(router: Router, state: PlainRequest) -> None:
    service = ServiceId(state.call.service.name)
    usage = (call_usage(state.call.service),)
    entry = await router.bills.keep(state.request, state.org, service, usage)
    total = router.clock.now() - state.began
    org, name = state.org, state.request_class
    router.histograms.record(org, name, Measure.TOTAL, total * 1000)
    router.histograms.record(org, name, Measure.COST, Micros(entry.cost))
    router.metrics.timing("call.total", total)
