"""Observations: what attempts show of versions and workers."""

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

SURE = 0.5
"""An engine's confidence from here on counts as sure."""


def is_sure(usage: TokenUsage) -> bool:
    """Tell whether the engine said that it is sure of an answer."""
    return usage.confidence is not None and usage.confidence >= SURE


def _sure_class(name: ClassId, usage: TokenUsage) -> ClassId:
    """Return the class that an answer also counts under, by the engine's confidence."""
    return ClassId(name + (CONFIDENT_SUFFIX if is_sure(usage) else UNSURE_SUFFIX))


def rate(router: Router, state: ChatRequest, attempt: ChatAttempt, text: str) -> None:
    """Ask for the rating of an attempt's answer, without holding the caller up."""
    rate_later(router, state.call, _cells(state, attempt), text)


def note_whole(router: Router, state: ChatRequest, attempt: ChatAttempt) -> None:
    """Take in a whole answer, whether or not it is given."""
    ttft = attempt.first_at - attempt.sent
    slow = ttft > _slow_ms(router, attempt.choice.version)
    seen = Counts(runs=1, slow=int(slow))
    if attempt.usage is not None:
        seen.prompt_tokens = attempt.usage.prompt_tokens
        seen.output_tokens = attempt.usage.completion_tokens
    _observe(router, state, attempt, seen)
    tokens = attempt.usage.completion_tokens if attempt.usage else 0
    token_ms = (attempt.ended_at - attempt.first_at) / max(1, tokens - 1)
    record_success(attempt.worker, ttft, token_ms)
    _record_times(router, state, attempt, ttft, token_ms)


def note_failed(
    router: Router, state: ChatRequest, attempt: ChatAttempt, detail: str
) -> None:
    """Take in an attempt that brought no answer that could be given."""
    _observe(router, state, attempt, Counts(runs=1, errors=1))
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


def _observe(
    router: Router, state: ChatRequest, attempt: ChatAttempt, seen: Counts
) -> None:
    """Count what was seen for the version, and by how sure its engine was."""
    evidence, origin = router.state.evidence, router.state.identity.incarnation
    for cell in _cells(state, attempt):
        record_counts(evidence, origin, router.clock.wall(), cell, seen)


def _cells(state: ChatRequest, attempt: ChatAttempt) -> list[Cell]:
    """Return what an attempt counts under: its class, and that by its confidence."""
    names = [state.request_class]
    if attempt.usage is not None and attempt.usage.confidence is not None:
        names.append(_sure_class(state.request_class, attempt.usage))
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


def _slow_ms(router: Router, version: VersionId) -> int:
    rollout = router.state.config.rollout_of(version)
    return rollout.guards.slow_ms if rollout is not None else 2_000
