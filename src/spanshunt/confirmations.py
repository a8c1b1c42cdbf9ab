"""Plans for operators and their confirmation."""

import msgspec
from itsdangerous import BadSignature
from result import Err
from result import Ok
from result import Result

from .backing.outcomes import Fault
from .changes import Plan
from .ids import Millis
from .ids import ObjectKey
from .ids import Offset
from .ids import PlanId
from .intents import IntentDocument
from .records import Confirm
from .records import Stream
from .refusals import Problem
from .refusals import Refusal
from .refusals import Run
from .router import Router
from .systems.fold import changed_objects
from .systems.freshness import count_holders
from .systems.freshness import is_accepted
from .systems.planner import make_plan
from .utils import digest

READ_BACK_MS = 4_000
"""How long a confirmed plan may take to be read back."""

ACCEPT_MS = 4_000
"""How long a majority of the boxes may take to hold it."""

_POLL_MS = 100


class SignedPlan(msgspec.Struct, frozen=True):
    """A plan, and the proof that a box of this system made it."""

    plan: Plan
    signature: str


class Accepted(msgspec.Struct, frozen=True):
    """The outcome of a confirmation that is on the log and won.

    Attributes
    ----------
    plan : str
        The plan.
    offset : int
        Its place in the configuration stream.
    accepted : bool
        Whether a majority of the boxes holds it. If not, it is in force on those that
        do and will be on the others, but some may not have heard of it.
    holders, boxes : int
        How many of the listed boxes are known to hold it.
    """

    plan: PlanId
    offset: Offset
    accepted: bool
    holders: int
    boxes: int


def plan_intents(
    router: Router, document: IntentDocument
) -> Result[SignedPlan, Refusal]:
    """Answer intents with a plan; nothing takes effect."""
    match make_plan(router.state.config, document.intents):
        case Ok(plan):
            return Ok(SignedPlan(plan, router.signer.sign_plan(plan.name)))
        case Err(problem):
            detail = f"{problem.field}: {problem.problem}"
            return Err(Refusal(Problem.BAD_REQUEST, detail))


async def confirm_plan(
    router: Router, signed: SignedPlan, operator: str
) -> Result[Accepted, Refusal]:
    """Confirm a plan: append it, read it back, and wait until most boxes hold it.

    Confirming one plan again is safe: the log folds it once, and the answer is that of
    the first time.
    """
    plan = signed.plan
    refused = _check_plan(router, signed)
    if refused is not None:
        return Err(refused)
    known = router.state.config.outcomes.get(plan.name)
    if known is not None:
        return await _outcome(router, plan.name, known)
    conflicts = changed_objects(router.state.config, plan.base)
    if conflicts:
        return Err(_conflict(conflicts, Run.NO))
    record = Confirm(
        plan=plan.name,
        changes=plan.changes,
        base=plan.base,
        operator=operator,
        at=router.clock.wall(),
    )
    match await router.appender.append_now(Stream.CONFIG, record):
        case Err(fault) if fault.fault is Fault.NOT_DONE:
            detail = f"the log takes no records now ({fault.detail})"
            return Err(Refusal(Problem.NOT_CLAIMED, detail, Run.NO, Millis(5_000)))
        case _:
            return await _read_back(router, plan.name)


def _check_plan(router: Router, signed: SignedPlan) -> Refusal | None:
    try:
        name = router.signer.read_plan(signed.signature)
    except BadSignature:
        name = PlanId("")
    plan = signed.plan
    if name != plan.name or plan.name != plan_name(plan):
        detail = "$.signature: the plan is not one that a box of this system made"
        return Refusal(Problem.BAD_REQUEST, detail)
    return None


def plan_name(plan: Plan) -> PlanId:
    """Return the name that a plan's contents give."""
    return PlanId(digest([plan.changes, plan.base]))


async def _read_back(router: Router, plan: PlanId) -> Result[Accepted, Refusal]:
    end = router.clock.now() + READ_BACK_MS
    while True:
        offset = router.state.config.outcomes.get(plan)
        if offset is not None:
            return await _outcome(router, plan, offset)
        left = end - router.clock.now()
        if left <= 0:
            detail = "the log gave no answer; confirm the same plan again to learn more"
            return Err(Refusal(Problem.DEADLINE, detail, Run.UNKNOWN, Millis(2_000)))
        await router.follower.wait_grown(left)


async def _outcome(
    router: Router, plan: PlanId, offset: Offset
) -> Result[Accepted, Refusal]:
    conflicts = router.state.config.conflicts.get(plan)
    if conflicts is not None:
        return Err(_conflict(conflicts, Run.NO))
    await router.gossiper.tell_all()
    end = router.clock.now() + ACCEPT_MS
    state = router.state
    while (
        not is_accepted(state, offset, router.clock.now()) and router.clock.now() < end
    ):
        await router.follower.wait_grown(_POLL_MS)
        await router.gossiper.tell_all()
    return Ok(
        Accepted(
            plan=plan,
            offset=offset,
            accepted=is_accepted(state, offset, router.clock.now()),
            holders=max(1, count_holders(state, offset, router.clock.now())),
            boxes=max(1, len(state.members.listed)),
        )
    )


def _conflict(keys: tuple[ObjectKey, ...], run: Run) -> Refusal:
    changed = ", ".join(keys)
    detail = f"changed since the plan was made: {changed}; plan again"
    return Refusal(Problem.CONFLICT, detail, run)
