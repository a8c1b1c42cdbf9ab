"""Log lines that tell what a box believes of a roll-out."""

from .ids import Millis
from .logs import log_event
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
