"""Log lines and metrics about the shares of organisations."""

from .ids import Millis
from .ids import OrgId
from .ids import ServiceId
from .logs import log_event
from .settling import Counter
from .systems.sharing import ShareChange
from .systems.sharing import ShareEvent
from .systems.sharing import org_share
from .tables.fleet import Fleet

MAX_LINES = 16
"""Maximum number of shares logged each time that shares are computed."""

_MESSAGES = {ShareChange.BEGAN: "share began", ShareChange.ENDED: "share ended"}


def log_share_events(events: list[ShareEvent], count: Counter) -> None:
    """Count and log the shares that came into force or ended."""
    for event in events:
        count(f"shares.{event.change.value}")
    for event in events[:MAX_LINES]:
        share = event.share
        log_event(
            "INFO",
            _MESSAGES[event.change],
            service=event.service,
            org=event.org,
            share_slots=round(share.share_per_s, 2),
            demand_slots=round(share.demand_per_s, 2),
            pace_slots=round(share.pace_per_s, 2),
            room_slots=round(event.room_per_s, 2),
        )


def share_fields(
    fleet: Fleet, service: ServiceId, org: OrgId, now: Millis
) -> dict[str, object]:
    """Return log fields on the share of a request's organisation, if it has one.

    They tell the share, the demand that is believed, the age of that belief, and for
    how long the organisation is still over its share.
    """
    share = org_share(fleet, service, org)
    if share is None:
        return {}
    return {
        "share_slots": round(share.share_per_s, 2),
        "demand_slots": round(share.demand_per_s, 2),
        "demand_age_ms": now - share.limited_at,
        "over_share_ms": max(0, round(share.next_start_at - now)),
    }


def share_lines(fleet: Fleet) -> str:
    """Return all shares for the metrics page, in force or lifted, a figure a line."""
    lines = []
    for service, shares in sorted(fleet.service_shares.items()):
        lines.append(
            f'spanshunt_room_slots{{service="{service}"}} {shares.room_per_s:.2f}\n'
        )
        for org, row in sorted(shares.orgs.items()):
            label = f'service="{service}",org="{org}"'
            lines += [
                f"spanshunt_share_slots{{{label}}} {row.share_per_s:.2f}\n",
                f"spanshunt_demand_slots{{{label}}} {row.demand_per_s:.2f}\n",
                f"spanshunt_share_in_force{{{label}}} {int(row.limited)}\n",
            ]
    return "".join(lines)
