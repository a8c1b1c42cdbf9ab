"""What settings of a box tell its tables and systems."""

from ..ids import DomainId
from ..ids import RegionId
from ..systems.repeats import RepeatBounds
from ..tables.fleet import ColdBounds
from ..tables.fleet import Fleet
from ..tables.holdings import BoxLimits
from ..tables.rollouts import ExposureBounds
from .settings import NodeBounds
from .settings import NodeSettings


def set_tables(fleet: Fleet, settings: NodeSettings) -> None:
    """Put into the tables what settings tell of the fleet."""
    bounds = settings.bounds
    fleet.cold_bounds = ColdBounds(bounds.cold_over, bounds.cold_slack)
    fleet.rollouts.bounds = ExposureBounds(bounds.expose_share, bounds.expose_slack)
    fleet.rollouts.order_wait_ms = bounds.in_force_ms
    fleet.limits = BoxLimits(
        settings.limits.cpu_share,
        settings.limits.memory_mb,
        settings.limits.link_mbps,
        settings.limits.max_fds,
    )
    fleet.regions = {
        DomainId(domain): RegionId(region)
        for domain, region in settings.regions.items()
    }


def repeat_bounds(bounds: NodeBounds) -> RepeatBounds:
    """Return what all boxes together may repeat."""
    return RepeatBounds(
        ratio=bounds.repeat_ratio,
        slack=bounds.repeat_slack,
        window_s=bounds.repeat_window_s,
    )
