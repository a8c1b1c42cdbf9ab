"""Forwarding steps of requests for routes of the platform's catalog."""

import asyncio
from functools import partial

from result import Err
from result import Result

from .attempt_outcomes import attempt_version
from .attempt_outcomes import record_break
from .attempt_outcomes import record_broken_answer
from .attempt_outcomes import record_first_byte
from .attempt_outcomes import record_relayed_answer
from .attempt_outcomes import record_send_fault
from .attempt_outcomes import record_silent_worker
from .break_causes import find_break_cause
from .break_causes import shown_part_names
from .catalog_entry import admit_call
from .catalog_entry import refuse_call
from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .forwarding import Steps
from .forwarding import forward
from .ids import ClassId
from .ids import Millis
from .ids import OrgId
from .logs import log_event
from .planning import plan_attempt
from .planning import record_demand
from .planning import retry_after_ms
from .ports import Answer
from .ports import Call
from .ports import Dispatch
from .ports import ErrorStatusError
from .ports import Reply
from .ports import SendFault
from .relaying import relay_stream
from .relaying import should_escalate
from .repeating import budget_allows
from .repeating import may_resume
from .repeating import may_retry
from .request_state import AttemptOutcome
from .request_state import WorkerFailure
from .systems.admitting import Admission
from .systems.admitting import steps_below_highest
from .systems.arrivals import box_share
from .systems.brittleness import use_place
from .systems.cascading import record_lateness
from .systems.ending import record_worker_return
from .systems.estimating import record_sent_prompt
from .systems.estimating import urgency_of
from .systems.following_workers import mark_replaced
from .systems.outages import clear_outage
from .systems.quarantining import record_complete_answer
from .systems.quarantining import share_suspect
from .systems.recognising import compute_fingerprint
from .systems.recognising import part_features
from .systems.repeats import count_repeat
from .systems.repeats import count_request
from .systems.sharing import charge_start
from .systems.throttling import is_limited
from .systems.throttling import use_grant
from .systems.timing import RECENTLY_SENT_FACTOR
from .systems.timing import first_byte_timeout_ms
from .systems.timing import has_sent_recently
from .systems.warming import is_cold
from .systems.warming import record_cold_send
from .systems.work_times import infer_others
from .systems.work_times import usual_work_ms
from .systems.worker_health import record_load
from .systems.worker_room import record_full
from .systems.worker_speed import present_slowdown
from .tables.catalog import RequestKind
from .tables.engines import PromptPart
from .tables.suspects import RequestFeature
from .time_limits import wait_within
from .waiting_room import WaitingRoom
from .worker_notices import apply_notice

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run and will not."""

FULL_STATUS = 503
"""Status of a worker that turns a request away because it is full."""

BUDGET_POLL_S = 0.2
"""Interval at which a request with a silent worker checks the retry budget, in s."""

CatalogSteps = Steps[CatalogRequest, CatalogAttempt]


def catalog_steps(core: Core) -> CatalogSteps:
    """Return the forwarding steps of catalog requests."""
    waiting_room = WaitingRoom(core)
    return Steps(
        clock=core.clock,
        count=core.count,
        plan=partial(plan_attempt, core),
        before_send=partial(_before_send, core),
        send=partial(_send, core),
        record_answer_head=partial(_record_answer_head, core),
        handle_answer=partial(_handle_answer, core),
        record_send_fault=partial(record_send_fault, core),
        record_broken_answer=partial(record_broken_answer, core),
        record_timeout=partial(_record_timeout, core),
        may_retry=partial(may_retry, core),
        retry_ms=partial(retry_after_ms, core),
        find_break_cause=partial(_find_break_cause, core),
        await_room=waiting_room.await_room,
        after_attempt=lambda _state, _attempt: waiting_room.look_soon(),
        may_resume=partial(may_resume, core),
    )


async def answer_request(
    core: Core, steps: CatalogSteps, call: Call, reply: Reply
) -> None:
    """Admit and forward a request, and send its caller a final answer in any case."""
    core.check_suspension()
    admitted = await admit_call(core, call)
    if isinstance(admitted, Err):
        await refuse_call(core, call, reply, admitted.err_value)
        return
    state = _create_state(core, call, admitted.ok_value)
    core.running[call.request] = state
    record_demand(core, state)
    try:
        await forward(steps, state, reply)
    finally:
        core.running.pop(call.request, None)
        for feature in state.features:
            share_suspect(core.fleet, feature.fingerprint, core.clock.now())


def _create_state(core: Core, call: Call, admitted: Admission) -> CatalogRequest:
    route = admitted.route
    org = admitted.org.name if admitted.org else OrgId("")
    return CatalogRequest(
        request=call.request,
        org=org,
        features=_features(core, org, call),
        request_class=ClassId(route.name),
        began=Millis(call.began),
        limit=Millis(min(call.deadline, call.began + route.timeout_ms)),
        repeatable=route.repeatable,
        resumable=route.resumable,
        max_attempts=route.max_attempts,
        call=call,
        admitted=admitted,
        last_event_id=call.resume_after,
    )


def _features(core: Core, org: OrgId, call: Call) -> tuple[RequestFeature, ...]:
    """Return what a request has in common with others: its content first."""
    content = compute_fingerprint(
        org, call.method, call.host, call.target, call.body, core.fingerprint_key
    )
    parts = part_features(call.shared_parts, core.fingerprint_key)
    return (RequestFeature(content), *parts)


def _before_send(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Count an attempt in the retry budget and log the inputs of its plan."""
    _record_prompt(core, state, attempt)
    cold = is_cold(attempt.worker, core.clock.now())
    record_cold_send(attempt.worker, core.clock.now())
    use_grant(core.fleet, attempt.worker, core.clock.now())
    use_place(core.fleet, attempt.worker, core.clock.now())
    _charge_share(core, state, attempt)
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
        parts=shown_part_names(state.features),
        catalog=state.admitted.catalog_version,
        worker=attempt.worker.name,
        version=attempt_version(attempt),
        model=attempt.model,
        sureness_needed=round(model_plan.needed, 2) if model_plan else None,
        load=round(attempt.load, 2),
        load_age_ms=attempt.report_age_ms,
        usual_factor=round(attempt.worker.speed.usual_factor, 2),
        slowdown=round(present_slowdown(attempt.worker, core.clock.now()), 2),
        candidates=attempt.candidates,
        passed_over=attempt.passed_over,
        limit_part=_limit_part(core, attempt),
        cold=cold,
        send=state.sends + 1,
        left_ms=state.limit - attempt.sent,
        wait_ms=round(attempt.expected.wait_ms),
        read_ms=round(attempt.expected.read_ms),
        unread=round(attempt.expected.unread),
        **_version_fields(core, attempt),
    )


def _limit_part(core: Core, attempt: CatalogAttempt) -> float | None:
    """Return this box's part of the worker's limit; None if it names no limit."""
    if not is_limited(attempt.worker):
        return None
    return round(box_share(core.fleet, attempt.service, core.clock.now()), 3)


def _charge_share(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Charge a send to the organisation's share, if one is in force."""
    fleet = core.fleet
    work_ms = usual_work_ms(fleet, state.admitted.route)
    charge_start(fleet, attempt.service, state.org, work_ms, core.clock.now())


def _version_fields(core: Core, attempt: CatalogAttempt) -> dict[str, object]:
    """Return log fields on the choice of the version during a roll-out."""
    row = core.fleet.rollouts.rows.get(attempt.service)
    if row is None:
        withheld = sorted(attempt.rule.never)
        return {"withheld": withheld} if withheld else {}
    return {
        "version_by": attempt.rule.reason.value,
        "order": row.order,
        "order_age_ms": core.clock.now() - row.began,
        "share": round(attempt.rule.share, 3),
    }


def _urgency(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> int:
    """Return the request's priority at its worker; resumed requests go first."""
    if attempt.prompt is None:
        return state.admitted.priority
    if state.last_event_id is not None:
        return 0
    return urgency_of(
        attempt.expected,
        state.admitted.route.target_latency_ms,
        steps_below_highest(core.fleet, state.service, state.admitted.priority),
    )


def _record_prompt(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Record that a prompt is sent to an engine."""
    prompt = attempt.prompt
    if prompt is None:
        return
    own = PromptPart(state.request, prompt.read - prompt.shared_tokens)
    record_sent_prompt(core.fleet, attempt.worker, prompt, own, core.clock.now())


async def _send(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt
) -> Answer | SendFault:
    """Send the request and wait for the head, leaving time for another attempt.

    A request that may run only once, or that already failed, possibly on a reused
    connection, gets a new connection: a reused one may be dead, or still deliver the
    answer to another request.
    """
    worker, prefill_ms = attempt.worker, attempt.expected.read_ms
    dispatch = Dispatch(
        call=state.call,
        worker=worker,
        model=attempt.model,
        org=state.org,
        urgency=_urgency(core, state, attempt),
        left_ms=state.limit - core.clock.now(),
        resume_after=state.last_event_id,
        new_connection=state.has_failed_attempt or not state.repeatable,
        regions=state.admitted.regions,
    )
    worker.prefill_ms += prefill_ms
    worker.upload_bytes += len(state.call.body)
    send_task = asyncio.ensure_future(core.send(dispatch))
    try:
        waited = await _await_head(core, state, attempt, send_task)
        if not send_task.done():
            detail = f"no answer within {waited:.0f} ms"
            return SendFault(False, detail, silent=True)
        result = send_task.result()
    finally:
        worker.prefill_ms -= prefill_ms
        worker.upload_bytes -= len(state.call.body)
        if not send_task.done():
            send_task.cancel()
    return result.err_value if isinstance(result, Err) else result.ok_value


async def _await_head(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    send_task: asyncio.Future[Result[Answer, SendFault]],
) -> float:
    """Wait for the head of the answer and return how long, in ms; 0 without a limit.

    The limit is longer for a worker that has sent something recently, and there is none
    if the request cannot be sent to another worker anyway. A request that may run only
    once records its silent worker meanwhile, so that others avoid it. Other requests do
    not: a silent engine is more likely busy than stuck, and leaving out busy engines
    overloads the rest.
    """
    route, read = state.admitted.route, state.call.tokens.read
    limit = first_byte_timeout_ms(
        core.fleet, route, attempt.model, read, attempt.time_factor
    )
    done = await wait_within(limit / 1_000, send_task)
    if not done and has_sent_recently(attempt.worker, core.clock.now()):
        extended = limit * RECENTLY_SENT_FACTOR
        await wait_within((extended - limit) / 1_000, send_task)
    if not state.repeatable or state.counted_runs >= state.max_attempts:
        if not send_task.done() and not state.repeatable:
            record_silent_worker(core, state, attempt)
        await asyncio.wait({send_task})
        return 0.0
    while not send_task.done() and not budget_allows(core, state):
        await asyncio.wait({send_task}, timeout=BUDGET_POLL_S)
    return float(core.clock.now() - attempt.sent)


def _record_answer_head(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, answer: Answer
) -> None:
    """Record that a worker answers, its notices, and whether it was replaced."""
    now = core.clock.now()
    attempt.answered, attempt.indirect = True, answer.indirect
    attempt.worker.last_byte_at = now
    clear_outage(core.fleet, attempt.worker)
    record_worker_return(core.fleet, attempt.worker, now)
    if answer.load is not None:
        record_load(attempt.worker, answer.load, now)
    if answer.not_run and answer.status == FULL_STATUS and attempt.prompt is None:
        record_full(attempt.worker, now)
    apply_notice(core, state, attempt, answer)
    if answer.replaced:
        mark_replaced(core.fleet, attempt.worker)


async def _find_break_cause(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt
) -> None:
    """Find out why a connection broke, and whether that counts for the version."""
    try:
        await find_break_cause(core, state, attempt)
    finally:
        record_break(core, state, attempt)


def _record_timeout(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Record that a worker sent nothing until the request timed out."""
    waited = core.clock.now() - attempt.sent
    route, read = state.admitted.route, state.call.tokens.read
    limit = first_byte_timeout_ms(
        core.fleet, route, attempt.model, read, attempt.time_factor
    )
    if attempt.prompt is None and not attempt.answered:
        infer_others(core.fleet, route, attempt.worker, waited, core.clock.now())
    if not attempt.answered and waited >= limit:
        detail = f"no answer within {waited} ms, when the request timed out"
        fault = SendFault(False, detail, silent=True)
        record_send_fault(core, state, attempt, fault)


async def _handle_answer(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    answer: Answer,
    reply: Reply,
) -> AttemptOutcome:
    """Relay an answer, keep an error response, or escalate to a larger model."""
    if answer.status >= 300:
        return await _handle_error_status(core, state, attempt, answer, reply)
    now = core.clock.now()
    first_ms = now - attempt.sent
    record_first_byte(core, state, attempt, first_ms)
    if should_escalate(core, state, attempt, answer, first_ms):
        return AttemptOutcome.ESCALATED
    if attempt.prompt is not None:
        spent_ms = now - state.began
        record_lateness(core.fleet, attempt.service, state.admitted.route, spent_ms)
    state.version = attempt_version(attempt)
    if state.admitted.route.kind is RequestKind.STREAM:
        await relay_stream(core, state, attempt, answer, reply)
    else:
        body = await answer.read(reply.collector())
        await reply.send_whole(answer.status, answer.headers, body)
    record_relayed_answer(core, state, attempt, first_ms)
    return AttemptOutcome.DELIVERED


async def _handle_error_status(
    core: Core,
    state: CatalogRequest,
    attempt: CatalogAttempt,
    answer: Answer,
    reply: Reply,
) -> AttemptOutcome:
    """Keep a worker's error response, to be sent if no other attempt succeeds."""
    body = await answer.read(reply.collector())
    record_complete_answer(core.fleet, state.fingerprint, core.clock.now())
    if answer.status >= 500:
        record_broken_answer(
            core, state, attempt, ErrorStatusError(f"status {answer.status}")
        )
    state.failed_versions |= attempt.worker.versions
    if answer.status not in NOT_RUN_STATUSES:
        state.worker_failure = WorkerFailure(answer.status, answer.headers, body)
    return AttemptOutcome.FAILED
