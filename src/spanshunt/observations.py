"""Recording of observations of versions and workers from attempts."""

from .chat_state import ChatAttempt
from .chat_state import ChatRequest
from .histograms import Measure
from .ids import ClassId
from .ids import VersionId
from .logs import log_event
from .ratings import rate_later
from .router import Router
from .sse import TokenUsage
from .systems.learning import record_counts
from .systems.preferring import CONFIDENT_SUFFIX
from .systems.preferring import UNSURE_SUFFIX
from .systems.worker_choice import record_failure
from .systems.worker_choice import record_success
from .tables.evidence import Cell
from .tables.evidence import Counts

MIN_CONFIDENCE = 0.5
"""Minimum confidence of an engine, in 0 to 1, for a confident answer."""


def is_confident(usage: TokenUsage) -> bool:
    """Return whether the engine reports enough confidence in its answer."""
    return usage.confidence is not None and usage.confidence >= MIN_CONFIDENCE


def _confidence_class(name: ClassId, usage: TokenUsage) -> ClassId:
    """Return the additional class of an answer, by the engine's confidence."""
    return ClassId(name + (CONFIDENT_SUFFIX if is_confident(usage) else UNSURE_SUFFIX))


def request_rating(
    router: Router, state: ChatRequest, attempt: ChatAttempt, text: str
) -> None:
    """Request a rating of an attempt's answer, without delaying the caller."""
    rate_later(router, state.call, _evidence_cells(state, attempt), text)


def record_complete_attempt(
    router: Router, state: ChatRequest, attempt: ChatAttempt
) -> None:
    """Record an attempt with a complete answer, whether or not it is sent."""
    ttft = attempt.first_at - attempt.sent
    slow = ttft > _slow_threshold_ms(router, attempt.choice.version)
    counts = Counts(runs=1, slow=int(slow))
    if attempt.usage is not None:
        counts.prompt_tokens = attempt.usage.prompt_tokens
        counts.output_tokens = attempt.usage.completion_tokens
    _record_counts(router, state, attempt, counts)
    tokens = attempt.usage.completion_tokens if attempt.usage else 0
    token_ms = (attempt.ended_at - attempt.first_at) / max(1, tokens - 1)
    record_success(attempt.worker, ttft, token_ms)
    _record_times(router, state, attempt, ttft, token_ms)


def record_failed_attempt(
    router: Router, state: ChatRequest, attempt: ChatAttempt, detail: str
) -> None:
    """Record an attempt that got no answer that could be sent."""
    _record_counts(router, state, attempt, Counts(runs=1, errors=1))
    record_failure(router.state.workers, attempt.worker, router.clock.now())
    router.metrics.count("attempt.failed")
    log_event(
        "WARNING",
        "attempt failed",
        request=state.request,
        org=state.org,
        version=attempt.choice.version,
        worker=attempt.worker.name,
        detail=detail,
    )


def _record_counts(
    router: Router, state: ChatRequest, attempt: ChatAttempt, counts: Counts
) -> None:
    """Add counts to the version's evidence in all classes of the attempt."""
    evidence, origin = router.state.evidence, router.state.identity.incarnation
    for cell in _evidence_cells(state, attempt):
        record_counts(evidence, origin, router.clock.wall(), cell, counts)


def _evidence_cells(state: ChatRequest, attempt: ChatAttempt) -> list[Cell]:
    """Return the cells that an attempt counts in: by class, and by confidence."""
    names = [state.request_class]
    if attempt.usage is not None and attempt.usage.confidence is not None:
        names.append(_confidence_class(state.request_class, attempt.usage))
    return [Cell(attempt.choice.version, name, state.org) for name in names]


def _record_times(
    router: Router,
    state: ChatRequest,
    attempt: ChatAttempt,
    ttft: float,
    token_ms: float,
) -> None:
    org, name = state.org, state.request_class
    total = router.clock.now() - state.began
    router.histograms.record(org, name, Measure.TTFT, ttft * 1000)
    router.histograms.record(org, name, Measure.BETWEEN, token_ms * 1000)
    router.histograms.record(org, name, Measure.TOTAL, total * 1000)
    router.metrics.timing("request.total", total)
    router.metrics.timing("request.ttft", ttft)
    router.metrics.count(f"rule.{attempt.choice.rule.name.lower()}")


def _slow_threshold_ms(router: Router, version: VersionId) -> int:
    rollout = router.state.config.rollout_of(version)
    return rollout.guards.slow_ms if rollout is not None else 2_000
