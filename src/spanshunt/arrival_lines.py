"""Metrics of the requests that arrive at a box, and of its part of workers' limits."""

from .ids import Millis
from .systems.arrivals import box_share
from .systems.busy_boxes import busy_total
from .tables.fleet import Fleet


def arrival_lines(fleet: Fleet, now: Millis) -> str:
    """Return the requests a second and the box's part, for the metrics page."""
    lines = []
    for service, row in sorted(fleet.arrivals.items()):
        label = f'service="{service}"'
        part = box_share(fleet, service, now)
        busy = busy_total(fleet, service, now)
        lines += [
            f"spanshunt_arrivals_per_s{{{label}}} {row.own_per_s:.2f}\n",
            f"spanshunt_limit_part{{{label}}} {part:.3f}\n",
            f"spanshunt_busy_boxes_per_s{{{label}}} {busy:.2f}\n",
        ]
    return "".join(lines)
