"""What is recorded of roll-outs: verdicts, beginnings, suspicions."""

import typing as t

from result import Err

from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId
from ..logs import log_event
from ..rollout_lines import log_verdict
from ..systems.eras import has_same_store_offset
from ..systems.ramping import apply_start_time
from ..systems.ramping import apply_verdict
from ..systems.ramping import bar_versions
from ..tables.fleet import Fleet
from ..tables.rollouts import Verdict
from . import wire
from .store import Listing


def take_status(fleet: Fleet, listing: Listing, clock: t.Any) -> None:
    """Take recorded verdicts and beginnings into the roll-outs' rows."""
    now = clock.now()
    for item in listing.items:
        decoded = wire.decode(item.value, wire.RolloutStatus)
        if isinstance(decoded, Err):
            log_event(
                "WARNING",
                "status unreadable",
                detail=f"{item.key_file}: {decoded.err_value}",
            )
            continue
        status = decoded.ok_value
        row = fleet.rollouts.rows.get(ServiceId(status.backend))
        if row is None:
            continue
        verdict = wire.decode_verdict(status.state)
        version = VersionId(status.target_version)
        order = Offset(status.order)
        other = order >= 0 and not has_same_store_offset(order, row.order)
        if version != row.version or other:
            if verdict is Verdict.ROLLED_BACK and status.order < row.order:
                bar_versions(row, {version, *map(VersionId, status.barred)})
            continue
        if order >= 0:
            row.order = min(row.order, order)
        bar_versions(row, [VersionId(name) for name in status.barred])
        row.announced = True
        row.recorded_suspicion = wire.decode_against(status.against)
        if verdict is Verdict.RUNNING and status.began:
            age = max(0, clock.wall() - status.began)
            apply_start_time(row, Millis(now - age), seen=False)
        if row.turned_bad_reason and verdict is Verdict.ROLLED_BACK:
            row.rollback_recorded = True
        elif apply_verdict(row, verdict, "recorded", now, recorded=True):
            log_verdict(row, "store")
