"""Metrics of how far a box's processor is behind, and of the limit that follows."""

from .tables.fleet import Fleet


def overload_lines(fleet: Fleet) -> str:
    """Return the lateness of timers and the limit on open requests, -1 for none."""
    overload = fleet.overload
    limit = -1 if overload.limit is None else overload.limit
    return (
        f"spanshunt_timer_late_ms {overload.late_ms:.1f}\n"
        f"spanshunt_open_requests_limit {limit}\n"
    )
