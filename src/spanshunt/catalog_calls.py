"""Requests of the platform's catalog: what each step of their path does."""

import asyncio
from functools import partial

from result import Err
from result import Result

from .attempt_outcomes import note_bad
from .attempt_outcomes import note_fault
from .attempt_outcomes import note_first
from .attempt_outcomes import note_good
from .attempt_outcomes import note_silent
from .attempt_outcomes import version_of
from .break_causes import look_into
from .catalog_entry import enter
from .catalog_entry import refuse_entry
from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .forwarding import Steps
from .forwarding import forward
from .ids import ClassId
from .ids import Millis
from .ids import OrgId
from .logs import log_event
from .planning import plan
from .planning import retry_after
from .ports import Answer
from .ports import BrokenAnswerError
from .ports import Call
from .ports import Dispatch
from .ports import Reply
from .ports import SendFault
from .relaying import relay_stream
from .relaying import wants_better
from .repeating import budget_allows
from .repeating import may_go_on
from .request_state import Ending
from .request_state import WorkerFailure
from .systems.admitting import Admission
from .systems.cascading import record_lateness
from .systems.ending import record_worker_return
from .systems.estimating import record_sent_prompt
from .systems.estimating import urgency_of
from .systems.following_workers import mark_replaced
from .systems.outages import clear_outage
from .systems.quarantining import record_complete_answer
from .systems.quarantining import share_suspect
from .systems.recognising import compute_fingerprint
from .systems.repeats import count_repeat
from .systems.repeats import count_request
from .systems.throttling import use_grant
from .systems.timing import RECENTLY_SENT_FACTOR
from .systems.timing import first_byte_timeout_ms
from .systems.timing import has_sent_recently
from .systems.warming import is_cold
from .systems.warming import record_cold_send
from .systems.worker_health import record_load
from .tables.catalog import RequestKind
from .tables.engines import PromptPart
from .worker_notices import note_notice

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""

BUDGET_STEP_S = 0.2
"""How often a request whose worker is silent looks whether it may be repeated, in s."""

CatalogSteps = Steps[CatalogRequest, CatalogAttempt]


def catalog_steps(core: Core) -> CatalogSteps:
    """Return the steps of requests of the catalog."""
    return Steps(
        clock=core.clock,
        count=core.count,
        plan=partial(plan, core),
        before_send=partial(_before_send, core),
        send=partial(_send, core),
        note_head=partial(_note_head, core),
        use=partial(_use, core),
        note_fault=partial(note_fault, core),
        note_bad=partial(note_bad, core),
        note_late=partial(_note_late, core),
        may_go_on=partial(may_go_on, core),
        retry_ms=lambda state: retry_after(core, state.admitted.route),
        look_into=partial(look_into, core),
    )


async def answer(core: Core, steps: CatalogSteps, call: Call, reply: Reply) -> None:
    """Answer a request, whatever happens on the way."""
    core.look()
    admitted = await enter(core, call)
    if isinstance(admitted, Err):
        await refuse_entry(core, call, reply, admitted.err_value)
        return
    state = _begin(core, call, admitted.ok_value)
    core.running[call.request] = state
    try:
        await forward(steps, state, reply)
    finally:
        core.running.pop(call.request, None)
        share_suspect(core.fleet, state.fingerprint, core.clock.now())


def _begin(core: Core, call: Call, admitted: Admission) -> CatalogRequest:
    route = admitted.route
    org = admitted.org.name if admitted.org else OrgId("")
    return CatalogRequest(
        request=call.request,
        org=org,
        fingerprint=compute_fingerprint(
            org, call.method, call.host, call.target, call.body, core.fingerprint_key
        ),
        request_class=ClassId(route.name),
        began=Millis(call.began),
        limit=Millis(min(call.deadline, call.began + route.timeout_ms)),
        repeatable=route.repeatable,
        resumable=route.resumable,
        max_attempts=route.max_attempts,
        call=call,
        admitted=admitted,
        last_event=call.resume_after,
    )


def _before_send(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Count an attempt in the budget of repeats and log what it rests on."""
    _note_prompt(core, state, attempt)
    cold = is_cold(attempt.worker, core.clock.now())
    record_cold_send(attempt.worker, core.clock.now())
    use_grant(core.fleet, attempt.worker, core.clock.now())
    attempt.repeat = state.sends > state.unreached
    if attempt.repeat:
        count_repeat(core.fleet, attempt.service, core.clock.now())
    elif not state.sends:
        count_request(core.fleet, attempt.service, core.clock.now())
    model_plan = state.model_plan
    log_event(
        "INFO",
        "dispatch",
        request=state.request,
        route=state.request_class,
        org=state.org,
        session=state.call.session,
        fingerprint=state.fingerprint,
        catalog=state.admitted.catalog_version,
        worker=attempt.worker.name,
        version=version_of(attempt),
        model=attempt.model,
        sureness_needed=round(model_plan.needed, 2) if model_plan else None,
        load=round(attempt.load, 2),
        load_age_ms=attempt.report_age_ms,
        candidates=attempt.candidates,
        passed_over=attempt.passed_over,
        cold=cold,
        send=state.sends + 1,
        left_ms=state.limit - attempt.sent,
        wait_ms=round(attempt.expected.wait_ms),
        read_ms=round(attempt.expected.read_ms),
        unread=round(attempt.expected.unread),
        **_version_fields(core, attempt),
    )


def _version_fields(core: Core, attempt: CatalogAttempt) -> dict[str, object]:
    """Return what the choice of the version rests on, while there is an order."""
    row = core.fleet.rollouts.rows.get(attempt.service)
    if row is None:
        return {}
    return {
        "version_by": attempt.rule.reason.value,
        "order": row.order,
        "order_age_ms": core.clock.now() - row.began,
        "share": round(attempt.rule.share, 3),
    }


def _urgency(state: CatalogRequest, attempt: CatalogAttempt) -> int:
    """Return how urgent a request is at its worker; what goes on goes first."""
    if attempt.prompt is None:
        return state.admitted.priority
    if state.last_event is not None:
        return 0
    return urgency_of(attempt.expected, state.admitted.route.target_latency_ms)


def _note_prompt(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Take in that an engine will read a prompt."""
    prompt = attempt.prompt
    if prompt is None:
        return
    own = PromptPart(state.request, prompt.read - prompt.shared_tokens)
    record_sent_prompt(core.fleet, attempt.worker, prompt, own, core.clock.now())


async def _send(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt
) -> Answer | SendFault:
    """Send the request; the head of the answer must come in time for another try.

    A request that may run once only, or that a kept connection may have failed already,
    gets a connection of its own: a kept one may be dead, or owe another's answer.
    """
    worker, reading_ms = attempt.worker, attempt.expected.read_ms
    dispatch = Dispatch(
        call=state.call,
        worker=worker,
        model=attempt.model,
        org=state.org,
        urgency=_urgency(state, attempt),
        left_ms=state.limit - core.clock.now(),
        resume_after=state.last_event,
        new_connection=state.broken or not state.repeatable,
    )
    worker.prefill_ms += reading_ms
    sending = asyncio.ensure_future(core.send(dispatch))
    try:
        waited = await _await_head(core, state, attempt, sending)
        if not sending.done():
            detail = f"no answer within {waited:.0f} ms"
            return SendFault(False, detail, silent=True)
        opened = sending.result()
    finally:
        worker.prefill_ms -= reading_ms
        if not sending.done():
            sending.cancel()
    return opened.err_value if isinstance(opened, Err) else opened.ok_value


async def _await_head(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    sending: asyncio.Future[Result[Answer, SendFault]],
) -> float:
    """Wait for the head while that makes sense; return how long it was, in ms.

    A worker that is alive is waited for longer, and any one for as long as the request
    could not be sent elsewhere anyway. One that may run once only keeps others from a
    silent worker meanwhile; a silent engine is more likely busy than stuck, and leaving
    out busy ones overloads the rest.
    """
    route, read = state.admitted.route, state.call.tokens.read
    limit = first_byte_timeout_ms(core.fleet, route, attempt.model, read)
    await asyncio.wait({sending}, timeout=limit / 1_000)
    if not sending.done() and has_sent_recently(attempt.worker, core.clock.now()):
        longer = limit * RECENTLY_SENT_FACTOR
        await asyncio.wait({sending}, timeout=(longer - limit) / 1_000)
    if not state.repeatable or state.runs >= state.max_attempts:
        if not sending.done() and not state.repeatable:
            note_silent(core, state, attempt)
        await asyncio.wait({sending})
        return 0.0
    while not sending.done() and not budget_allows(core, state):
        await asyncio.wait({sending}, timeout=BUDGET_STEP_S)
    return float(core.clock.now() - attempt.sent)


def _note_head(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, found: Answer
) -> None:
    """Take in that a worker answers, what it says, and that it may be another one."""
    now = core.clock.now()
    attempt.answered = True
    attempt.worker.last_byte_at = now
    clear_outage(core.fleet, attempt.worker)
    record_worker_return(core.fleet, attempt.worker, now)
    if found.load is not None:
        record_load(attempt.worker, found.load, now)
    note_notice(core, state, attempt, found)
    if found.replaced:
        mark_replaced(core.fleet, attempt.worker)


def _note_late(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Take in that a worker said nothing until the request's time was over."""
    waited = core.clock.now() - attempt.sent
    route, read = state.admitted.route, state.call.tokens.read
    limit = first_byte_timeout_ms(core.fleet, route, attempt.model, read)
    if not attempt.answered and waited >= limit:
        detail = f"no answer within {waited} ms, the request's time"
        fault = SendFault(False, detail, silent=True)
        note_fault(core, state, attempt, fault)


async def _use(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    found: Answer,
    reply: Reply,
) -> Ending:
    """Pass an answer on, keep a failure, or leave it for a larger model's."""
    if found.status >= 300:
        return await _keep_failure(core, state, attempt, found)
    now = core.clock.now()
    first_ms = now - attempt.sent
    note_first(core, state, attempt, first_ms)
    if wants_better(core, state, attempt, found, first_ms):
        return Ending.BETTER
    if attempt.prompt is not None:
        spent_ms = now - state.began
        record_lateness(core.fleet, attempt.service, state.admitted.route, spent_ms)
    state.version = version_of(attempt)
    if state.admitted.route.kind is RequestKind.STREAM:
        await relay_stream(core, state, attempt, found, reply)
    else:
        body = await found.read()
        await reply.send_whole(found.status, found.headers, body)
    note_good(core, state, attempt, first_ms)
    return Ending.DELIVERED


async def _keep_failure(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, found: Answer
) -> Ending:
    """Keep a worker's own failure: it is given if no other worker does better."""
    body = await found.read()
    record_complete_answer(core.fleet, state.fingerprint, core.clock.now())
    if found.status >= 500:
        note_bad(core, state, attempt, BrokenAnswerError(f"status {found.status}"))
    state.failed_versions |= attempt.worker.versions
    if found.status not in PROMISES:
        state.failure = WorkerFailure(found.status, found.headers, body)
    return Ending.FAILED
