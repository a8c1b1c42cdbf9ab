"""The path of one request: admit, attempt until one delivers, settle.

There is one copy of retry, deadline, escalation and cancel; fronts and workers are
behind the types of ``ports``. A request that can't be served gets its final answer at
once.
"""

import asyncio

from result import Err
from result import Result

from .attempt_outcomes import note_bad
from .attempt_outcomes import note_fault
from .attempt_outcomes import note_first
from .attempt_outcomes import note_good
from .attempt_outcomes import version_of
from .ids import Millis
from .planning import plan
from .ports import Answer
from .ports import BrokenAnswerError
from .ports import Call
from .ports import Dispatch
from .ports import Reply
from .ports import SendFault
from .ports import SilentWorkerError
from .refusals import Refusal
from .relaying import relay_stream
from .relaying import wants_better
from .repeating import budget_allows
from .repeating import may_go_on
from .request_state import Attempt
from .request_state import Core
from .request_state import Ending
from .request_state import RequestState
from .request_state import WorkerFailure
from .settling import give_up
from .settling import log_dispatch
from .settling import out_of_time
from .settling import refuse_entry
from .settling import settle
from .systems.admitting import Admitted
from .systems.admitting import Asked
from .systems.admitting import admit
from .systems.following_workers import note_replaced
from .systems.invariants import check_single_send
from .systems.placing import note_load
from .systems.ramping import note_session
from .systems.repeats import note_repeat
from .systems.repeats import note_request
from .systems.timing import ALIVE_FACTOR
from .systems.timing import first_limit_ms
from .systems.timing import is_alive
from .tables.catalog import RequestKind
from .tables.rollouts import Finding

PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request has not run and never will."""

BUDGET_STEP_S = 0.2
"""How often a request whose worker is silent looks whether it may be repeated, in s."""


async def answer(core: Core, call: Call, reply: Reply) -> None:
    """Answer a request, whatever happens on the way."""
    asked = Asked(call.host, call.path, call.credential)
    admitted = admit(core.fleet.catalog, asked)
    if isinstance(admitted, Err):
        await refuse_entry(core, call, reply, admitted.err_value)
        return
    state = _begin(call, admitted.ok_value)
    core.running.add(call.request)
    try:
        async with asyncio.timeout((state.limit - core.clock.now()) / 1_000):
            await _attempts(core, state, reply)
    except TimeoutError:
        await out_of_time(core, state, reply)
    except ConnectionError as exc:
        settle(core, state, "caller_lost", detail=str(exc))
        reply.abort()
    except asyncio.CancelledError:
        settle(core, state, "caller_left")
        raise
    finally:
        core.running.discard(call.request)


def _begin(call: Call, admitted: Admitted) -> RequestState:
    limit = min(call.deadline, call.began + admitted.route.timeout_ms)
    return RequestState(
        call=call,
        admitted=admitted,
        limit=Millis(limit),
        last_event=call.resume_after,
    )


async def _attempts(core: Core, state: RequestState, reply: Reply) -> None:
    refusal: Refusal | None = None
    while True:
        planned = plan(core, state)
        if isinstance(planned, Err):
            refusal = planned.err_value
            break
        attempt = planned.ok_value
        if state.sends == 0:
            note_request(core.fleet, attempt.service, core.clock.now())
        else:
            note_repeat(core.fleet, attempt.service, core.clock.now())
        ending = await _attempt(core, state, attempt, reply)
        if ending is Ending.DELIVERED:
            settle(core, state, "delivered", version=state.version)
            return
        if ending is not Ending.BETTER and not may_go_on(core, state):
            break
    await give_up(core, state, reply, refusal)


async def _attempt(
    core: Core, state: RequestState, attempt: Attempt, reply: Reply
) -> Ending:
    """Send once and see it through; whatever happens is taken into the tables."""
    worker = attempt.worker
    if not state.admitted.route.repeatable:
        check_single_send(state.runs, state.call.request)
    attempt.sent = core.clock.now()
    state.tried.add(worker.name)
    state.sends += 1
    state.runs += 1
    worker.inflight += 1
    worker.pending_read += state.call.tokens.read
    log_dispatch(core, state, attempt)
    found: Answer | None = None
    try:
        try:
            opened = await _open(core, state, attempt)
        finally:
            worker.pending_read -= state.call.tokens.read
        if isinstance(opened, SendFault):
            ending = note_fault(core, state, attempt, opened)
        else:
            found = opened
            ending = await _use(core, state, attempt, found, reply)
    finally:
        worker.inflight -= 1
        if found is not None:
            found.close()
    if ending in (Ending.FAILED, Ending.CUT):
        state.failed_versions |= worker.versions
        state.broken = True
    took = core.clock.now() - attempt.sent
    state.attempts.append(f"{worker.name}:{attempt.model}:{ending.value}:{took}ms")
    return ending


async def _open(
    core: Core, state: RequestState, attempt: Attempt
) -> Answer | SendFault:
    """Send the request; the head of the answer must come in time for another try.

    A request that may run once only, or that a kept connection may have failed already,
    gets a connection of its own: a kept one may be dead, or owe another's answer.
    """
    dispatch = Dispatch(
        call=state.call,
        worker=attempt.worker,
        model=attempt.model,
        org=state.org,
        urgency=state.admitted.rank,
        left_ms=state.limit - core.clock.now(),
        resume_after=state.last_event,
        fresh=state.broken or not state.admitted.route.repeatable,
    )
    sending = asyncio.ensure_future(core.send(dispatch))
    try:
        waited = await _await_head(core, state, attempt, sending)
        if not sending.done():
            return SendFault(False, f"no answer within {waited:.0f} ms")
        opened = sending.result()
    finally:
        if not sending.done():
            sending.cancel()
    return opened.err_value if isinstance(opened, Err) else opened.ok_value


async def _await_head(
    core: Core,
    state: RequestState,
    attempt: Attempt,
    sending: asyncio.Future[Result[Answer, SendFault]],
) -> float:
    """Wait for the head while that makes sense; return how long it was, in ms.

    A worker that is alive is waited for longer, and any one for as long as the request
    could not be sent elsewhere anyway.
    """
    route = state.admitted.route
    if not route.repeatable or state.runs >= route.most_attempts:
        await asyncio.wait({sending})
        return 0.0
    read = state.call.tokens.read
    limit = first_limit_ms(core.fleet, route, attempt.model, read)
    await asyncio.wait({sending}, timeout=limit / 1_000)
    if not sending.done() and is_alive(attempt.worker, core.clock.now()):
        longer = limit * ALIVE_FACTOR
        await asyncio.wait({sending}, timeout=(longer - limit) / 1_000)
    while not sending.done() and not budget_allows(core, state):
        await asyncio.wait({sending}, timeout=BUDGET_STEP_S)
    return float(core.clock.now() - attempt.sent)


async def _use(
    core: Core, state: RequestState, attempt: Attempt, found: Answer, reply: Reply
) -> Ending:
    """Read an answer and pass it on, or tell why not."""
    now = core.clock.now()
    attempt.worker.heard_at = now
    if found.load is not None:
        note_load(attempt.worker, found.load, now)
    if found.replaced:
        note_replaced(core.fleet, attempt.worker)
    if found.not_run or found.replaced:
        state.runs -= 1
        return Ending.NOT_RUN
    if found.flaw:
        note_bad(core, state, attempt, found.flaw)
        return Ending.FAILED
    if found.status >= 300:
        return await _use_failure(core, state, attempt, found)
    first_ms = now - attempt.sent
    note_first(core, state, attempt, first_ms)
    if wants_better(core, state, attempt, found, first_ms):
        return Ending.BETTER
    state.version = version_of(attempt)
    note_session(core.fleet, attempt.service, state.call.session, state.version, now)
    try:
        if state.admitted.route.kind is RequestKind.STREAM:
            await relay_stream(core, state, attempt, found, reply)
        else:
            body = await found.read()
            await reply.whole(found.status, found.headers, body)
    except SilentWorkerError as exc:
        note_bad(core, state, attempt, str(exc), Finding.SLOW)
        return Ending.CUT if reply.begun else Ending.FAILED
    except BrokenAnswerError as exc:
        note_bad(core, state, attempt, str(exc))
        return Ending.CUT if reply.begun else Ending.FAILED
    note_good(core, state, attempt, first_ms)
    return Ending.DELIVERED


async def _use_failure(
    core: Core, state: RequestState, attempt: Attempt, found: Answer
) -> Ending:
    """Keep a worker's own failure: it is given if no other worker does better."""
    try:
        body = await found.read()
    except BrokenAnswerError as exc:
        note_bad(core, state, attempt, str(exc))
        return Ending.FAILED
    if found.status >= 500:
        note_bad(core, state, attempt, f"status {found.status}")
    if found.status not in PROMISES:
        state.failure = WorkerFailure(found.status, found.headers, body)
    return Ending.FAILED
