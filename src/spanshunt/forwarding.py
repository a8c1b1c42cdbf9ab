"""Forwarding of one request: attempts until one is answered, then the outcome.

Retries, deadlines, cancellation and the final answer are implemented here once for all
kinds of requests. What differs between the kinds is defined in their :class:`Steps`;
front ends and workers are accessed through the types of ``ports``. A request that
cannot be served gets its final answer at once.
"""

import asyncio
import typing as t
from functools import partial

import msgspec
from result import Err
from result import Result

from .clock import Clock
from .ids import Millis
from .logs import log_event
from .ports import Answer
from .ports import BrokenAnswerError
from .ports import Reply
from .ports import SendFault
from .refusals import Refusal
from .request_state import Attempt
from .request_state import AttemptOutcome
from .request_state import RequestState
from .settling import Counter
from .settling import RequestResult
from .settling import record_outcome
from .settling import send_failure_reply
from .settling import send_timeout_reply
from .systems.invariants import check_single_send

MIN_TIME_LEFT_MS = 5
"""Minimum time left for another attempt, in ms: a round trip within a failure domain
already takes about a millisecond."""

RESUME_PAUSE_S, MAX_RESUME_PAUSE_S = 0.1, 0.8
"""First and longest pause before the next attempt to resume an answer for which no
worker was found, in s. The pause doubles each time, as each rejection uses retry
budget. News between boxes, of a verdict or of new workers, take some tenths."""


StateT = t.TypeVar("StateT", bound=RequestState)
AttemptT = t.TypeVar("AttemptT", bound=Attempt)


async def _skip_break_cause(_state: t.Any, _attempt: t.Any) -> None:
    """Default for `Steps.find_break_cause`: no search for the cause."""


async def _admit_at_once(_state: t.Any) -> None:
    """Default for `Steps.await_room`: no request waits or is refused."""


def _ignore_end(_state: t.Any, _attempt: t.Any) -> None:
    """Default for `Steps.after_attempt`: nothing to do."""


def _never_resume(_state: t.Any) -> bool:
    """Default for `Steps.may_resume`: an answer is not resumed after a pause."""
    return False


class Steps(msgspec.Struct, t.Generic[StateT, AttemptT], frozen=True):
    """Functions that one kind of requests uses at each step of forwarding.

    Attributes
    ----------
    clock : Clock
        Source of the time.
    count : callable
        Increments the counter with the given name.
    plan : callable
        Plans the next attempt, or returns the refusal if there is none.
    before_send : callable
        Checks invariants, counts and logs just before an attempt is sent.
    send : callable
        Sends an attempt and returns the head of the answer, or the fault.
    record_answer_head : callable
        Records what the head of an answer says about the worker.
    handle_answer : callable
        Relays an answer and returns the outcome; raises ``BrokenAnswerError``.
    record_send_fault : callable
        Records that a send got no answer.
    record_broken_answer : callable
        Records an answer that cannot be relayed.
    record_timeout : callable
        Records that an attempt was in progress when the request timed out.
    may_retry : callable
        Returns whether the limits of this kind allow another attempt.
    retry_ms : callable
        Returns the time after which a refused caller may retry, in ms.
    find_break_cause : callable
        Finds out why an attempt got no complete answer, before the next one is planned.
    await_room : callable
        Waits until a worker has room for the request; returns the refusal if none will
        have any in time.
    after_attempt : callable
        Called when an attempt occupies its worker no longer.
    may_resume : callable
        Returns whether an answer that has begun may be resumed by another worker after
        a pause. Unlike `may_retry`, it does not limit the number of rejections: the
        caller can't be told any more to retry later.
    """

    clock: Clock
    count: Counter
    plan: t.Callable[[StateT], Result[AttemptT, Refusal]]
    before_send: t.Callable[[StateT, AttemptT], None]
    send: t.Callable[[StateT, AttemptT], t.Awaitable[Answer | SendFault]]
    record_answer_head: t.Callable[[StateT, AttemptT, Answer], None]
    handle_answer: t.Callable[
        [StateT, AttemptT, Answer, Reply], t.Awaitable[AttemptOutcome]
    ]
    record_send_fault: t.Callable[[StateT, AttemptT, SendFault], None]
    record_broken_answer: t.Callable[[StateT, AttemptT, BrokenAnswerError], None]
    record_timeout: t.Callable[[StateT, AttemptT], None]
    may_retry: t.Callable[[StateT], bool]
    retry_ms: t.Callable[[StateT], Millis]
    find_break_cause: t.Callable[[StateT, AttemptT], t.Awaitable[None]] = (
        _skip_break_cause
    )
    await_room: t.Callable[[StateT], t.Awaitable[Refusal | None]] = _admit_at_once
    after_attempt: t.Callable[[StateT, AttemptT], None] = _ignore_end
    may_resume: t.Callable[[StateT], bool] = _never_resume


async def forward(steps: Steps[StateT, AttemptT], state: StateT, reply: Reply) -> None:
    """Forward an admitted request and send its caller a final answer in any case.

    Whoever calls this ends a request in which something failed that nobody expected.
    """
    clock, retry_ms = steps.clock, partial(steps.retry_ms, state)
    try:
        async with asyncio.timeout((state.limit - clock.now()) / 1_000) as timer:
            state.timer = timer
            try:
                result = await _run_attempts(steps, state, reply)
            finally:
                state.timer = None
    except TimeoutError:
        if state.stop_refusal is not None:
            result = await send_failure_reply(
                state, reply, state.stop_refusal, retry_ms
            )
        else:
            _record_timeout(steps, state)
            result = await send_timeout_reply(state, reply, retry_ms)
    except ConnectionError as exc:
        result = RequestResult("caller_lost", str(exc))
        reply.abort()
    except asyncio.CancelledError:
        record_outcome(clock, steps.count, state, RequestResult("caller_left"))
        raise
    except Exception:
        record_outcome(clock, steps.count, state, RequestResult("broken"))
        raise
    record_outcome(clock, steps.count, state, result)


def stop_request(state: RequestState, refusal: Refusal) -> None:
    """Stop a request in progress; its caller gets `refusal` at once."""
    state.stop_refusal = refusal
    reschedule_timeout(state, 0)


def reschedule_timeout(state: RequestState, left_ms: int) -> None:
    """Let a request in progress time out in `left_ms`."""
    # A request that has timed out is about to be answered.
    if state.timer is not None and not state.timer.expired():
        now = asyncio.get_running_loop().time()
        state.timer.reschedule(now + max(0, left_ms) / 1_000)


def _record_timeout(steps: Steps[StateT, AttemptT], state: StateT) -> None:
    """Record the attempt that was in progress at the request's timeout, if any."""
    if state.under_way is None:
        return
    attempt = t.cast(AttemptT, state.under_way)
    _record_attempt(state, attempt, "late", steps.clock.now())
    steps.record_timeout(state, attempt)


def may_attempt_again(state: RequestState, now: Millis) -> bool:
    """Return whether time, repeatability and run count allow another attempt."""
    if now + MIN_TIME_LEFT_MS >= state.limit:
        return False
    if state.runs and not state.repeatable:
        return False
    return state.counted_runs < state.max_attempts


async def _run_attempts(
    steps: Steps[StateT, AttemptT], state: StateT, reply: Reply
) -> RequestResult:
    """Attempt the request until it is answered or no further attempt is allowed."""
    while True:
        refusal = await steps.await_room(state)
        if refusal is not None:
            break
        planned = steps.plan(state)
        if isinstance(planned, Err):
            refusal = planned.err_value
        else:
            outcome = await _run_attempt(steps, state, planned.ok_value, reply)
            if outcome in (AttemptOutcome.FAILED, AttemptOutcome.INTERRUPTED):
                await steps.find_break_cause(state, planned.ok_value)
            if outcome is AttemptOutcome.DELIVERED:
                return RequestResult("delivered")
            if outcome is AttemptOutcome.ESCALATED or _may_retry(steps, state, outcome):
                continue
        if not await _await_resumption(steps, state, reply, refusal):
            break
    return await send_failure_reply(
        state, reply, state.stop_refusal or refusal, partial(steps.retry_ms, state)
    )


async def _await_resumption(
    steps: Steps[StateT, AttemptT],
    state: StateT,
    reply: Reply,
    refusal: Refusal | None,
) -> bool:
    """Wait until an answer that has begun may be resumed; return whether it may.

    A caller that has a part of its answer can't be refused any more, so the answer is
    lost if it ends now. It waits as long as its time and its attempts last, unless the
    refusal of the last plan is final.
    """
    if not (reply.begun and state.resumable):
        return False
    if refusal is not None and refusal.retry_ms is None:
        return False
    pause_s = min(MAX_RESUME_PAUSE_S, RESUME_PAUSE_S * 2**state.resume_waits)
    while may_attempt_again(state, steps.clock.now()):
        if not state.resume_waits:
            _record_resumption_wait(steps, state, refusal)
        state.resume_waits += 1
        await asyncio.sleep(pause_s)
        if steps.may_resume(state):
            return True
    return False


def _record_resumption_wait(
    steps: Steps[StateT, AttemptT], state: StateT, refusal: Refusal | None
) -> None:
    """Count and log that an answer waits for a worker that can resume it."""
    steps.count("resumptions_waited")
    reason = refusal.detail if refusal is not None else state.stopped_by
    log_event("INFO", "resumption waits", request=state.request, reason=reason)


def _may_retry(
    steps: Steps[StateT, AttemptT], state: StateT, outcome: AttemptOutcome
) -> bool:
    if outcome is AttemptOutcome.REFUSED:
        return False
    if outcome is AttemptOutcome.INTERRUPTED and not state.resumable:
        return False
    return steps.may_retry(state)


async def _run_attempt(
    steps: Steps[StateT, AttemptT], state: StateT, attempt: AttemptT, reply: Reply
) -> AttemptOutcome:
    """Send one attempt, handle its answer and record its outcome."""
    worker = attempt.worker
    if not state.repeatable:
        check_single_send(state.runs, state.request)
    attempt.sent = steps.clock.now()
    steps.before_send(state, attempt)
    state.tried.add(worker.name)
    state.sends += 1
    state.runs += 1
    state.under_way = attempt
    worker.inflight += 1
    answer: Answer | None = None
    try:
        result = await steps.send(state, attempt)
        if isinstance(result, SendFault):
            outcome = _handle_send_fault(steps, state, attempt, result)
        else:
            answer = result
            outcome = await _handle_answer(steps, state, attempt, answer, reply)
    finally:
        worker.inflight -= 1
        if answer is not None:
            answer.close()
        steps.after_attempt(state, attempt)
    state.under_way = None
    state.has_failed_attempt |= outcome in (
        AttemptOutcome.FAILED,
        AttemptOutcome.INTERRUPTED,
    )
    _record_attempt(state, attempt, outcome.value, steps.clock.now())
    return outcome


def _record_attempt(
    state: RequestState, attempt: Attempt, outcome: str, now: Millis
) -> None:
    """Record the outcome of an attempt for the log."""
    took = now - attempt.sent
    state.attempts.append(f"{attempt.worker.name}:{attempt.model}:{outcome}:{took}ms")


def _handle_send_fault(
    steps: Steps[StateT, AttemptT], state: StateT, attempt: AttemptT, fault: SendFault
) -> AttemptOutcome:
    state.last_error = fault.detail
    steps.record_send_fault(state, attempt, fault)
    if not fault.unreached:
        return AttemptOutcome.FAILED
    state.runs -= 1
    state.unreached += 1
    return AttemptOutcome.NOT_RUN


async def _handle_answer(
    steps: Steps[StateT, AttemptT],
    state: StateT,
    attempt: AttemptT,
    answer: Answer,
    reply: Reply,
) -> AttemptOutcome:
    """Read and relay an answer, and return the outcome of the attempt."""
    steps.record_answer_head(state, attempt, answer)
    if answer.not_run or answer.replaced:
        state.runs -= 1
        state.last_error = f"rejected with status {answer.status}"
        return AttemptOutcome.NOT_RUN
    try:
        if answer.defect:
            raise BrokenAnswerError(answer.defect)
        return await steps.handle_answer(state, attempt, answer, reply)
    except BrokenAnswerError as exc:
        state.last_error = str(exc)
        steps.record_broken_answer(state, attempt, exc)
        return AttemptOutcome.INTERRUPTED if reply.begun else AttemptOutcome.FAILED
