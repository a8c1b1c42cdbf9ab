"""Observations: what attempts show of versions and workers."""

from .admission import ChatCall
from .attempts import Attempt
from .attempts import Ending
from .attempts import Outcome
from .histograms import Measure
from .ids import ClassId
from .ids import VersionId
from .logs import log_event
from .ratings import rate_later
from .router import Router
from .sse import TokenUsage
from .systems.choice import CONFIDENT
from .systems.choice import UNSURE
from .systems.learning import observe
from .systems.worker_choice import note_failure
from .systems.worker_choice import note_success
from .tables.evidence import Cell
from .tables.evidence import Counts

SURE = 0.5
"""An engine's confidence from here on counts as sure."""


def is_sure(usage: TokenUsage) -> bool:
    """Tell whether the engine said that it is sure of an answer."""
    return usage.confidence is not None and usage.confidence >= SURE


def _sure_class(name: ClassId, usage: TokenUsage) -> ClassId:
    """Return the class that an answer also counts under, by the engine's confidence."""
    return ClassId(name + (CONFIDENT if is_sure(usage) else UNSURE))


def rate(router: Router, call: ChatCall, attempt: Attempt, text: str) -> None:
    """Ask for the rating of an attempt's answer, without holding the caller up."""
    version, name, org = (
        attempt.choice.version,
        call.asked.request_class,
        call.asked.org,
    )
    cells = [Cell(version, name, org)]
    if attempt.usage is not None and attempt.usage.confidence is not None:
        cells.append(Cell(version, _sure_class(name, attempt.usage), org))
    rate_later(router, call, cells, text)


def learn(router: Router, call: ChatCall, attempt: Attempt, outcome: Outcome) -> None:
    """Take what was seen of version and worker into the tables."""
    if outcome.ending is Ending.REFUSED:
        return
    asked = call.asked
    now = router.clock.now()
    failed = outcome.refusal is not None
    ttft = (attempt.first or now) - attempt.sent
    slow_ms = _slow_ms(router, attempt.choice.version)
    seen = Counts(runs=1, errors=int(failed), slow=int(not failed and ttft > slow_ms))
    if attempt.usage is not None:
        seen.prompt_tokens = attempt.usage.prompt_tokens
        seen.output_tokens = attempt.usage.completion_tokens
    origin = router.state.me.incarnation
    wall = router.clock.wall()
    version = attempt.choice.version
    cell = Cell(version, asked.request_class, asked.org)
    observe(router.state.evidence, origin, wall, cell, seen)
    if attempt.usage is not None and attempt.usage.confidence is not None:
        name = _sure_class(asked.request_class, attempt.usage)
        sure = Cell(version, name, asked.org)
        observe(router.state.evidence, origin, wall, sure, seen)
    if failed:
        note_failure(router.state.workers, attempt.worker, now)
        router.metrics.count("attempt.failed")
        log_event(
            "WARNING",
            "attempt failed",
            request=call.request,
            org=asked.org,
            version=version,
            worker=attempt.worker.name,
            detail=outcome.refusal.detail if outcome.refusal else "",
        )
        return
    tokens = attempt.usage.completion_tokens if attempt.usage else 0
    token_ms = (attempt.ended - attempt.first) / max(1, tokens - 1)
    note_success(attempt.worker, ttft, token_ms)
    _record_times(router, call, attempt, ttft, token_ms)


def _record_times(
    router: Router, call: ChatCall, attempt: Attempt, ttft: float, token_ms: float
) -> None:
    org, name = call.asked.org, call.asked.request_class
    total = router.clock.now() - call.began
    router.histograms.record(org, name, Measure.TTFT, ttft * 1000)
    router.histograms.record(org, name, Measure.BETWEEN, token_ms * 1000)
    router.histograms.record(org, name, Measure.TOTAL, total * 1000)
    router.metrics.timing("request.total", total)
    router.metrics.timing("request.ttft", ttft)
    router.metrics.count(f"rule.{attempt.choice.rule.name.lower()}")


def _slow_ms(router: Router, version: VersionId) -> int:
    rollout = router.state.config.rollout_of(version)
    return rollout.guards.slow_ms if rollout is not None else 2_000
