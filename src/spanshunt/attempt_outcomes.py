"""Recording of attempt outcomes for workers, latency estimates and versions."""

from .break_causes import handle_worker_end
from .catalog_state import CatalogAttempt
from .catalog_state import CatalogRequest
from .catalog_state import Core
from .histograms import Measure
from .ids import Millis
from .ids import VersionId
from .logs import log_event
from .outliving import check_outlived_ends
from .ports import BrokenAnswerError
from .ports import ErrorStatusError
from .ports import GatewayLostError
from .ports import SendFault
from .ports import SilentWorkerError
from .ports import TruncatedAnswerError
from .systems.estimating import prefill_speed
from .systems.estimating import record_first_event
from .systems.outages import add_to_outage
from .systems.pacing import has_enough_gaps
from .systems.pacing import is_slow_decode
from .systems.pacing import learn_decode_speed
from .systems.partitions import is_partitioned
from .systems.quarantining import record_complete_answer
from .systems.repeats import uncount_repeat
from .systems.silence import SilenceReport
from .systems.silence import record_silence
from .systems.tallies import BEGAN
from .systems.tallies import FAILED
from .systems.tallies import IN_TIME
from .systems.tallies import OWN_ERROR
from .systems.tallies import SILENT
from .systems.tallies import SLOW
from .systems.tallies import record_observation
from .systems.timing import is_slow_first_byte
from .systems.timing import is_slow_plain_work
from .systems.timing import learn_first_byte_time
from .systems.warming import mark_cold
from .systems.work_times import infer_others
from .systems.work_times import learn_work_time
from .systems.worker_health import record_answer
from .systems.worker_health import record_unreachable
from .systems.worker_speed import MAX_LEARNING_LOAD
from .systems.worker_speed import excused_factor
from .systems.worker_speed import learn_plain_factor
from .systems.worker_speed import time_factor
from .systems.worker_speed import update_slow_mark
from .tables.catalog import RequestKind
from .tables.rollouts import Tally

PARTS_HARMLESS_MS = 1_000
"""How long after its first events a stream that goes on clears the parts of its prompt,
in ms: a part that crashes workers does so as they begin to answer."""


def record_send_fault(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, fault: SendFault
) -> None:
    """Record that a send got no answer."""
    now = core.clock.now()
    if fault.blameless or (fault.silent and is_partitioned(core.fleet)):
        _record_blameless_fault(core, state, attempt, fault)
        return
    attempt.connection_broke = not (fault.unreached or fault.silent)
    if fault.refused:
        handle_worker_end(core, attempt.worker, "connection refused")
    if not fault.stale:
        record_unreachable(attempt.worker, now)
    if fault.unreached:
        mark_cold(core.fleet, attempt.worker, now)
        add_to_outage(core.fleet, attempt.worker, now)
    if fault.unreached and attempt.repeat:
        uncount_repeat(core.fleet, attempt.service, Millis(attempt.sent))
    if fault.silent:
        _report_silence(core, state, attempt)
    elif fault.unreached and not fault.refused:
        _report_unreachable(core, attempt)
    log_event(
        "WARNING",
        "attempt failed",
        request=state.request,
        worker=attempt.worker.name,
        unreached=fault.unreached,
        stale=fault.stale,
        detail=fault.detail,
        out_until_ms=max(0, attempt.worker.ejected_until - now),
    )
    if fault.unreached:
        return
    state.failed_versions |= attempt.worker.versions
    if fault.stale:
        return
    # A silent worker may just be busy, so its version did not fail.
    if attempt.connection_broke:
        attempt.break_tally = SILENT
    else:
        _record_tally(core, state, attempt, SILENT)


def record_break(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Count a broken connection for the version, unless this box is partitioned.

    To be called once it is known whether the worker can be reached.
    """
    tally = attempt.break_tally
    attempt.break_tally = None
    if tally is not None and not is_partitioned(core.fleet):
        _record_tally(core, state, attempt, tally)


def _record_blameless_fault(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, fault: SendFault
) -> None:
    """Record a fault on this box's side of the worker."""
    state.cut_off = fault.cut_off
    if fault.unreached and attempt.repeat:
        uncount_repeat(core.fleet, attempt.service, Millis(attempt.sent))
    log_event(
        "WARNING",
        "attempt failed",
        request=state.request,
        worker=attempt.worker.name,
        unreached=fault.unreached,
        blameless=True,
        detail=fault.detail,
    )


def record_silent_worker(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt
) -> None:
    """Record a worker that is silent for too long while its answer is awaited."""
    now = core.clock.now()
    if is_partitioned(core.fleet):
        return
    record_unreachable(attempt.worker, now)
    _report_silence(core, state, attempt)
    log_event(
        "WARNING",
        "worker silent",
        request=state.request,
        worker=attempt.worker.name,
        waited_ms=now - attempt.sent,
        out_until_ms=max(0, attempt.worker.ejected_until - now),
    )


def _report_silence(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Report a silent worker to peers, unless it is an engine.

    A silent engine is more likely busy than stuck.
    """
    if state.admitted.route.kind is RequestKind.STREAM:
        return
    fleet, now = core.fleet, core.clock.now()
    record_silence(
        fleet, SilenceReport(attempt.worker.name, fleet.identity.box, now), now
    )


def _report_unreachable(core: Core, attempt: CatalogAttempt) -> None:
    """Report a worker that accepts no connection to peers at once.

    If this box has received nothing from any worker since the attempt was sent, the box
    itself may be cut off, and nothing is reported.
    """
    fleet, now = core.fleet, core.clock.now()
    if any(row.last_byte_at >= attempt.sent for row in fleet.workers.rows.values()):
        record_silence(
            fleet, SilenceReport(attempt.worker.name, fleet.identity.box, now), now
        )
        core.gossip_now()


def record_first_byte(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, first_ms: int
) -> None:
    """Record the time to the first byte of an answer."""
    fleet, route = core.fleet, state.admitted.route
    read = state.call.tokens.read
    if attempt.indirect:
        _record_tally(core, state, attempt, BEGAN)
        return
    if attempt.prompt is not None:
        _record_first_event(core, state, attempt, first_ms)
    else:
        learn_plain_factor(
            fleet,
            attempt.worker,
            route,
            attempt.model,
            first_ms,
            attempt.load,
            core.clock.now(),
        )
    _log_worker_speed(core, state, attempt)
    _record_tally(core, state, attempt, BEGAN)
    now = core.clock.now()
    judged_ms = first_ms / excused_factor(attempt.worker, now)
    had_room = attempt.prompt is None and attempt.load < MAX_LEARNING_LOAD
    if is_slow_first_byte(fleet, route, attempt.model, read, judged_ms) or (
        had_room and is_slow_plain_work(fleet, route, attempt.model, judged_ms)
    ):
        _mark_slow(core, state, attempt)
    usual_ms = first_ms / time_factor(attempt.worker, now)
    learn_first_byte_time(fleet, route, attempt.model, read, usual_ms)


def _log_worker_speed(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt
) -> None:
    """Log that a worker turned out to be usually slow, or no longer is."""
    worker = attempt.worker
    if not update_slow_mark(worker):
        return
    core.count("workers_slow" if worker.speed.slow else "workers_no_longer_slow")
    log_event(
        "INFO",
        "worker speed",
        worker=worker.name,
        service=worker.service,
        slow=worker.speed.slow,
        usual_factor=round(worker.speed.usual_factor, 2),
        answers=worker.speed.answers,
        request=state.request,
    )


def record_relayed_events(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, number: int
) -> None:
    """Record that events of a stream were relayed to the caller.

    A stream that is decoded several times slower than usual is counted at once: by the
    time it is complete, seconds later, the roll-out of its version may have succeeded.
    """
    now = core.clock.now()
    if attempt.first_event_at < 0:
        attempt.first_event_at = now
        return
    if not attempt.parts_cleared and now >= attempt.first_event_at + PARTS_HARMLESS_MS:
        attempt.parts_cleared = True
        for feature in state.features[1:]:
            record_complete_answer(core.fleet, feature.fingerprint, now)
    check_outlived_ends(core, state, attempt)
    attempt.gaps += number
    if not attempt.indirect and _is_decoding_slow(core, attempt, whole=False):
        _mark_slow(core, state, attempt)


def _is_decoding_slow(core: Core, attempt: CatalogAttempt, *, whole: bool) -> bool:
    """Return whether a stream is decoded several times slower than usual."""
    now = core.clock.now()
    elapsed = now - attempt.first_event_at
    return attempt.first_event_at >= 0 and is_slow_decode(
        core.fleet,
        attempt.service,
        attempt.model,
        elapsed / excused_factor(attempt.worker, now),
        attempt.gaps,
        whole=whole,
    )


def _mark_slow(core: Core, state: CatalogRequest, attempt: CatalogAttempt) -> None:
    """Count an attempt as slow, once."""
    if not attempt.slow:
        attempt.slow = True
        _record_tally(core, state, attempt, SLOW)


def _record_first_event(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, first_ms: int
) -> None:
    """Record the time to an engine's first event against its estimate."""
    fleet, prompt, expected = core.fleet, attempt.prompt, attempt.expected
    assert prompt is not None
    now = core.clock.now()
    record_first_event(fleet, attempt.worker, prompt, expected, first_ms, now)
    speed = prefill_speed(fleet, prompt.service, prompt.model)
    log_event(
        "INFO",
        "first event",
        request=state.request,
        worker=attempt.worker.name,
        model=prompt.model,
        first_ms=first_ms,
        expected_ms=round(expected.first_ms),
        unread=round(expected.unread),
        token_us=round(1_000 * speed.read_ms, 1),
        base_ms=round(speed.base_ms),
        unseen=expected.unseen,
        spent_ms=now - state.began,
    )


def record_relayed_answer(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, first_ms: int
) -> None:
    """Record an answer that was completely relayed."""
    now = core.clock.now()
    wrote_nothing = state.last_event_id is not None and attempt.first_event_at < 0
    if not wrote_nothing:
        for feature in state.features:
            record_complete_answer(core.fleet, feature.fingerprint, now)
    record_answer(attempt.worker, first_ms, good=True, now=now)
    if not attempt.indirect:
        _record_speed(core, state, attempt, first_ms)
    total = now - state.began
    org, name = state.org, state.request_class
    core.histograms.record(org, name, Measure.TTFT, first_ms * 1_000)
    core.histograms.record(org, name, Measure.TOTAL, total * 1_000)


def _record_speed(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, first_ms: int
) -> None:
    """Record how fast a complete answer was, for its version and its worker."""
    _record_work_time(core, state, attempt, first_ms)
    if _is_decoding_slow(core, attempt, whole=True):
        _mark_slow(core, state, attempt)
    elif not attempt.slow and _is_slowness_detectable(core, attempt):
        _record_tally(core, state, attempt, IN_TIME)
    _record_decode_speed(core, attempt, core.clock.now())


def _record_work_time(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, first_ms: int
) -> None:
    """Record the time of a plain answer."""
    route = state.admitted.route
    if attempt.prompt is not None or route.kind is RequestKind.STREAM:
        return
    infer_others(core.fleet, route, attempt.worker, first_ms, core.clock.now())
    learn_work_time(
        core.fleet,
        route,
        attempt.worker,
        first_ms,
        core.clock.now(),
        was_free=attempt.worker_free,
    )


def _is_slowness_detectable(core: Core, attempt: CatalogAttempt) -> bool:
    """Return whether a complete answer would have been found slow if it was.

    Streams of few events would not. If a third of the answers are such streams,
    counting them as in time hides that half of the others are slow.
    """
    if attempt.first_event_at < 0:
        return True
    known = (attempt.service, attempt.model) in core.fleet.decode_speeds
    return known and has_enough_gaps(attempt.gaps)


def _record_decode_speed(core: Core, attempt: CatalogAttempt, now: int) -> None:
    """Record the decode speed of a complete answer with enough events."""
    if attempt.first_event_at < 0 or not has_enough_gaps(attempt.gaps):
        return
    gap_ms = (now - attempt.first_event_at) / attempt.gaps
    learn_decode_speed(
        core.fleet, attempt.service, attempt.model, attempt.worker, gap_ms
    )


def record_broken_answer(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, exc: BrokenAnswerError
) -> None:
    """Record an answer that cannot be relayed as a success."""
    now = core.clock.now()
    attempt.connection_broke = isinstance(exc, TruncatedAnswerError)
    if not isinstance(exc, GatewayLostError):
        state.failed_versions |= attempt.worker.versions
        record_answer(attempt.worker, 0.0, good=False, now=now)
    if isinstance(exc, SilentWorkerError):
        _mark_slow(core, state, attempt)
    elif attempt.connection_broke:
        attempt.break_tally = FAILED
    elif isinstance(exc, ErrorStatusError):
        _record_tally(core, state, attempt, OWN_ERROR)
    elif not isinstance(exc, GatewayLostError):
        _record_tally(core, state, attempt, FAILED)
    log_event(
        "WARNING",
        "bad answer",
        request=state.request,
        worker=attempt.worker.name,
        version=attempt_version(attempt),
        detail=str(exc),
        error_rate=round(attempt.worker.error_rate, 2),
    )


def _record_tally(
    core: Core, state: CatalogRequest, attempt: CatalogAttempt, tally: Tally
) -> None:
    """Count an observation of an attempt for or against its version."""
    record_observation(
        core.fleet,
        attempt.service,
        state.admitted.route.name,
        attempt.worker,
        core.clock.now(),
        tally,
        loaded=attempt.loaded,
    )


def attempt_version(attempt: CatalogAttempt) -> VersionId:
    """Return the version that an attempt is sent to."""
    return min(attempt.worker.versions, default=VersionId(""))
