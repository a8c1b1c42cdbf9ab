"""Log lines that tell what a box believes of a roll-out."""

import math

from .ids import Millis
from .ids import Offset
from .logs import log_event
from .systems.blaming import EvidenceSummary
from .tables.rollouts import RolloutRow


def log_order(row: RolloutRow, now: Millis, source: str) -> None:
    """Log that this box took an order in."""
    log_event(
        "INFO",
        "roll-out ordered",
        service=row.service,
        version=row.version,
        order=row.order,
        duration_ms=row.duration_ms,
        age_ms=now - row.began,
        seen=row.seen,
        source=source,
    )


def log_repeated_order(row: RolloutRow, order: Offset) -> None:
    """Log that an order was taken for the known one, which it repeats."""
    log_event(
        "INFO",
        "order repeated",
        service=row.service,
        version=row.version,
        order=order,
        taken_for=row.order,
        verdict=row.verdict.value,
        duration_ms=row.duration_ms,
    )


def log_verdict(row: RolloutRow, source: str) -> None:
    """Log what this box believes of a roll-out from now on."""
    log_event(
        "INFO",
        "roll-out judged",
        service=row.service,
        version=row.version,
        verdict=row.verdict.value,
        reason=row.reason,
        recorded=row.recorded,
        source=source,
    )


def log_turned_bad(row: RolloutRow, source: str) -> None:
    """Log that a version that had succeeded turned bad."""
    log_event(
        "WARNING",
        "version turned bad",
        service=row.service,
        version=row.version,
        order=row.order,
        reason=row.turned_bad_reason,
        source=source,
    )


def log_held(row: RolloutRow, now: Millis, why: str) -> None:
    """Log that all requests enter later than planned, and from when on."""
    log_event(
        "INFO",
        "last step put off",
        service=row.service,
        version=row.version,
        order=row.order,
        age_ms=now - row.began,
        full_from_ms=row.full_from_ms,
        why=why,
    )


def log_load_trial(row: RolloutRow, now: Millis) -> None:
    """Log that a few workers of the version get its requests in turns, or no longer."""
    log_event(
        "INFO",
        "load trial",
        service=row.service,
        version=row.version,
        order=row.order,
        age_ms=now - row.began,
        turns=row.has_turns,
    )


def log_evidence(row: RolloutRow, basis: EvidenceSummary, now: Millis) -> None:
    """Log what a judgement of an order would rest on now."""
    against = basis.suspicion
    known = against.log_evidence > -math.inf
    log_event(
        "INFO",
        "roll-out evidence",
        service=row.service,
        version=row.version,
        order=row.order,
        verdict=row.verdict.value,
        age_ms=now - row.began,
        entering=basis.entering,
        leaving=basis.leaving,
        loaded=basis.loaded,
        errors=basis.errors,
        doubted=basis.doubted,
        loaded_from=round(row.loaded_from, 3) if row.loaded_from < math.inf else None,
        heard=basis.heard,
        boxes=basis.boxes,
        route=against.route,
        finding=against.finding.value,
        faulty=against.faulty,
        answers=against.answers,
        usual=round(against.usual, 3),
        ceiling=round(against.ceiling, 3),
        log_evidence=round(against.log_evidence, 1) if known else None,
    )
