"""What the outcome of an attempt teaches: about workers, times and versions."""

from .histograms import Measure
from .ids import VersionId
from .logs import log_event
from .ports import SendFault
from .request_state import Attempt
from .request_state import Core
from .request_state import Ending
from .request_state import RequestState
from .systems.placing import note_answer
from .systems.placing import note_slowness
from .systems.placing import note_unreached
from .systems.ramping import note_result
from .systems.timing import is_slow
from .systems.timing import note_first_time
from .systems.timing import usual_first_ms
from .tables.rollouts import Finding


def note_fault(
    core: Core, state: RequestState, attempt: Attempt, fault: SendFault
) -> Ending:
    """Take in that a send brought no answer; return how the attempt ended."""
    now = core.clock.now()
    if not fault.stale:
        note_unreached(attempt.worker, now)
    log_event(
        "WARNING",
        "attempt failed",
        request=state.call.request,
        worker=attempt.worker.name,
        unreached=fault.unreached,
        stale=fault.stale,
        detail=fault.detail,
        out_until_ms=max(0, attempt.worker.back_at - now),
    )
    if fault.unreached:
        state.runs -= 1
        return Ending.NOT_RUN
    if not fault.stale:
        # A silent worker may be busy: that is no failure of its version.
        note_evidence(core, state, attempt, Finding.SLOW)
    return Ending.FAILED


def note_first(
    core: Core, state: RequestState, attempt: Attempt, first_ms: int
) -> None:
    """Take in how soon a worker began to answer."""
    fleet, route = core.fleet, state.admitted.route
    read = state.call.tokens.read
    usual = usual_first_ms(fleet, route, attempt.model, read)
    note_slowness(attempt.worker, first_ms, usual, core.clock.now())
    attempt.slow = is_slow(fleet, route, attempt.model, read, first_ms)
    note_first_time(fleet, route, attempt.model, read, first_ms)


def note_good(core: Core, state: RequestState, attempt: Attempt, first_ms: int) -> None:
    """Take in a whole answer."""
    now = core.clock.now()
    note_answer(attempt.worker, first_ms, good=True, now=now)
    note_evidence(core, state, attempt, Finding.SLOW if attempt.slow else None)
    total = now - state.call.began
    core.histograms.record(
        state.org, state.request_class, Measure.TTFT, first_ms * 1_000
    )
    core.histograms.record(state.org, state.request_class, Measure.TOTAL, total * 1_000)


def note_bad(
    core: Core,
    state: RequestState,
    attempt: Attempt,
    detail: str,
    finding: Finding = Finding.FAILED,
) -> None:
    """Take in an answer that can't be passed on as a success."""
    now = core.clock.now()
    note_answer(attempt.worker, 0.0, good=False, now=now)
    note_evidence(core, state, attempt, finding)
    log_event(
        "WARNING",
        "bad answer",
        request=state.call.request,
        worker=attempt.worker.name,
        version=version_of(attempt),
        detail=detail,
        error_rate=round(attempt.worker.error_rate, 2),
    )


def note_evidence(
    core: Core, state: RequestState, attempt: Attempt, finding: Finding | None
) -> None:
    """Count an attempt as evidence for or against its version."""
    note_result(
        core.fleet,
        attempt.service,
        state.admitted.route.name,
        attempt.worker.versions,
        core.clock.now(),
        finding,
    )


def version_of(attempt: Attempt) -> VersionId:
    """Return the version that an attempt runs on."""
    return min(attempt.worker.versions, default=VersionId(""))
