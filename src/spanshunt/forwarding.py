"""The path of one request: attempt until one delivers, then settle.

There is one copy of retry, deadline, cancel and final answer. What differs between
kinds of requests stands in their :class:`Steps`; fronts and workers are behind the
types of ``ports``. A request that can't be served gets its final answer at once.
"""

import asyncio
import typing as t

import msgspec
from result import Err
from result import Result

from .clock import Clock
from .ids import Millis
from .ports import Answer
from .ports import BrokenAnswerError
from .ports import Reply
from .ports import SendFault
from .refusals import Refusal
from .request_state import Attempt
from .request_state import Ending
from .request_state import RequestState
from .settling import Counter
from .settling import Settled
from .settling import give_up
from .settling import out_of_time
from .settling import settle
from .systems.invariants import check_single_send

LEFT_LEAST_MS = 5
"""With less time left than this, in ms, no worker is asked any more: a round trip
within a failure domain already takes about a millisecond."""


StateT = t.TypeVar("StateT", bound=RequestState)
AttemptT = t.TypeVar("AttemptT", bound=Attempt)


async def _ask_nothing(_state: t.Any, _attempt: t.Any) -> None:
    """Leave open why an attempt broke."""


class Steps(msgspec.Struct, t.Generic[StateT, AttemptT], frozen=True):
    """What one kind of requests does at each step.

    Attributes
    ----------
    clock : Clock
        The source of time.
    count : callable
        Adds one to the counter of that name.
    plan : callable
        Chooses the next attempt, or tells why there is none.
    before_send : callable
        Checks the promises, counts and logs, just before an attempt is sent.
    send : callable
        Sends and returns the head of the answer or what came instead.
    note_head : callable
        Takes in what the head of an answer tells of the worker.
    use : callable
        Passes an answer on, or tells why not; raises ``BrokenAnswerError``.
    note_fault : callable
        Takes in that a send brought no answer.
    note_bad : callable
        Takes in an answer that can't be passed on.
    note_late : callable
        Takes in that an attempt was under way when the request's time was over.
    may_go_on : callable
        Tells whether another attempt is wanted and within this kind's bounds.
    retry_ms : callable
        When the caller shall come back after a refusal, in ms.
    look_into : callable
        Finds out why an attempt brought no whole answer, before the request goes on.
    """

    clock: Clock
    count: Counter
    plan: t.Callable[[StateT], Result[AttemptT, Refusal]]
    before_send: t.Callable[[StateT, AttemptT], None]
    send: t.Callable[[StateT, AttemptT], t.Awaitable[Answer | SendFault]]
    note_head: t.Callable[[StateT, AttemptT, Answer], None]
    use: t.Callable[[StateT, AttemptT, Answer, Reply], t.Awaitable[Ending]]
    note_fault: t.Callable[[StateT, AttemptT, SendFault], None]
    note_bad: t.Callable[[StateT, AttemptT, BrokenAnswerError], None]
    note_late: t.Callable[[StateT, AttemptT], None]
    may_go_on: t.Callable[[StateT], bool]
    retry_ms: t.Callable[[StateT], Millis]
    look_into: t.Callable[[StateT, AttemptT], t.Awaitable[None]] = _ask_nothing


async def forward(steps: Steps[StateT, AttemptT], state: StateT, reply: Reply) -> None:
    """Answer an admitted request, whatever happens on the way."""
    clock = steps.clock
    try:
        async with asyncio.timeout((state.limit - clock.now()) / 1_000) as timer:
            state.timer = timer
            try:
                ended = await _attempts(steps, state, reply)
            finally:
                state.timer = None
    except TimeoutError:
        if state.stopped is not None:
            ended = await give_up(state, reply, state.stopped, steps.retry_ms(state))
        else:
            _note_late(steps, state)
            ended = await out_of_time(state, reply, steps.retry_ms(state))
    except ConnectionError as exc:
        ended = Settled("caller_lost", str(exc))
        reply.abort()
    except asyncio.CancelledError:
        settle(clock, steps.count, state, Settled("caller_left"))
        raise
    settle(clock, steps.count, state, ended)


def stop(state: RequestState, refusal: Refusal) -> None:
    """End a request that is under way; its caller gets a refusal at once."""
    state.stopped = refusal
    end_in(state, 0)


def end_in(state: RequestState, left_ms: int) -> None:
    """Let the time of a request that is under way be over in `left_ms`."""
    # One whose time is over already is about to be answered.
    if state.timer is not None and not state.timer.expired():
        now = asyncio.get_running_loop().time()
        state.timer.reschedule(now + max(0, left_ms) / 1_000)


def _note_late(steps: Steps[StateT, AttemptT], state: StateT) -> None:
    """Take in the attempt that the request's limit cut off, if there was one."""
    if state.under_way is None:
        return
    attempt = t.cast(AttemptT, state.under_way)
    _record(state, attempt, "late", steps.clock.now())
    steps.note_late(state, attempt)


def may_be_sent(state: RequestState, now: Millis) -> bool:
    """Tell whether a request may run on one more worker, as far as its kind goes."""
    if now + LEFT_LEAST_MS >= state.limit:
        return False
    if state.runs and not state.repeatable:
        return False
    return state.runs < state.max_attempts


async def _attempts(
    steps: Steps[StateT, AttemptT], state: StateT, reply: Reply
) -> Settled:
    refusal: Refusal | None = None
    while True:
        planned = steps.plan(state)
        if isinstance(planned, Err):
            refusal = planned.err_value
            break
        ending = await _attempt(steps, state, planned.ok_value, reply)
        if ending in (Ending.FAILED, Ending.CUT):
            await steps.look_into(state, planned.ok_value)
        if ending is Ending.DELIVERED:
            return Settled("delivered")
        if ending is not Ending.BETTER and not _goes_on(steps, state, ending):
            break
    return await give_up(state, reply, state.stopped or refusal, steps.retry_ms(state))


def _goes_on(steps: Steps[StateT, AttemptT], state: StateT, ending: Ending) -> bool:
    if ending is Ending.REFUSED:
        return False
    if ending is Ending.CUT and not state.resumable:
        return False
    return steps.may_go_on(state)


async def _attempt(
    steps: Steps[StateT, AttemptT], state: StateT, attempt: AttemptT, reply: Reply
) -> Ending:
    """Send once and see it through; whatever happens is taken into the tables."""
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
    found: Answer | None = None
    try:
        opened = await steps.send(state, attempt)
        if isinstance(opened, SendFault):
            ending = _take_fault(steps, state, attempt, opened)
        else:
            found = opened
            ending = await _use(steps, state, attempt, found, reply)
    finally:
        worker.inflight -= 1
        if found is not None:
            found.close()
    state.under_way = None
    state.broken |= ending in (Ending.FAILED, Ending.CUT)
    _record(state, attempt, ending.value, steps.clock.now())
    return ending


def _record(state: RequestState, attempt: Attempt, ended: str, now: Millis) -> None:
    """Keep what became of an attempt, for the log."""
    took = now - attempt.sent
    state.attempts.append(f"{attempt.worker.name}:{attempt.model}:{ended}:{took}ms")


def _take_fault(
    steps: Steps[StateT, AttemptT], state: StateT, attempt: AttemptT, fault: SendFault
) -> Ending:
    state.trouble = fault.detail
    steps.note_fault(state, attempt, fault)
    if not fault.unreached:
        return Ending.FAILED
    state.runs -= 1
    state.unreached += 1
    return Ending.NOT_RUN


async def _use(
    steps: Steps[StateT, AttemptT],
    state: StateT,
    attempt: AttemptT,
    found: Answer,
    reply: Reply,
) -> Ending:
    """Read an answer and pass it on, or tell why not."""
    steps.note_head(state, attempt, found)
    if found.not_run or found.replaced:
        state.runs -= 1
        state.trouble = f"turned away with status {found.status}"
        return Ending.NOT_RUN
    try:
        if found.defect:
            raise BrokenAnswerError(found.defect)
        return await steps.use(state, attempt, found, reply)
    except BrokenAnswerError as exc:
        state.trouble = str(exc)
        steps.note_bad(state, attempt, exc)
        return Ending.CUT if reply.begun else Ending.FAILED
