"""Limits of organisations that boxes share without a coordinator.

Each box uses a share of an organisation's rate limit that is proportional to its share
of the demand, by the usage rows that its peers sent last. The shares add up to the
limit while these rows are correct. A box whose row for the organisation is missing or
expired counts with a minimum demand, as long as it counts as a box at all.
"""

import enum
import math

import msgspec

from ..ids import Micros
from ..ids import Millis
from ..ids import OrgId
from ..tables.config import Limits
from ..tables.usage import OwnUsage
from ..tables.usage import PeerUsage
from ..tables.usage import Usage
from ..tables.usage import UsageRow

DAY_MS = 86_400_000
PEER_USAGE_VALID_MS = 10_000
"""How long the usage row that a peer sent is valid, in ms."""

MIN_DEMAND = 0.2
"""Demand that each box counts with at least, in requests a second, even if it sees
none."""

IDLE_DEMAND = 0.001
"""Demand in requests a second below which an organisation is forgotten, if it has no
running requests and no recorded spending. Recorded spending is reset by the first
request, or end of a request, on a new day."""

DEMAND_TAU_MS = 2_000.0
"""Time constant of the moving mean of demand, in ms."""


class LimitKind(enum.Enum):
    """The kind of limit that a request exceeds."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    BUDGET = "budget"


class LimitExceeded(msgspec.Struct, frozen=True):
    """A request that exceeds a limit.

    Attributes
    ----------
    limit : LimitKind
        The limit that is exceeded.
    retry_ms : int
        After what time the caller may retry, in ms.
    """

    limit: LimitKind
    retry_ms: Millis


def admit(
    usage: Usage, org: OrgId, limits: Limits, boxes: int, now: Millis, wall: Millis
) -> LimitExceeded | None:
    """Admit a request, or return the limit that it exceeds."""
    own = _own_usage(usage, org, limits, boxes, now)
    own.asked += 1
    _refill(own, limits, boxes, now)
    _start_new_day(own, wall)
    spent = own.spent + own.others_spent
    if limits.budget is not None and spent >= limits.budget:
        return LimitExceeded(LimitKind.BUDGET, Millis(DAY_MS - wall % DAY_MS))
    if own.running >= _concurrency_share(own, limits, boxes):
        return LimitExceeded(LimitKind.CONCURRENCY, Millis(1_000))
    if own.tokens < 1.0:
        wait_ms = (1.0 - own.tokens) / max(own.allowance, 1e-6) * 1000
        return LimitExceeded(LimitKind.RATE, Millis(math.ceil(min(wait_ms, 60_000))))
    own.tokens -= 1.0
    own.running += 1
    return None


def finish_request(usage: Usage, org: OrgId, cost: Micros, wall: Millis) -> None:
    """Record the end of a request, and its cost."""
    own = usage.own[org]
    own.running -= 1
    _start_new_day(own, wall)
    own.spent = Micros(own.spent + cost)


def update_usage(
    usage: Usage, limits: dict[OrgId, Limits], boxes: int, now: Millis, period: int
) -> None:
    """Update this box's demand and its shares of the organisations' rate limits.

    `period` is the time since the last call, in ms.
    """
    _expire_peer_usage(usage, now)
    others: dict[OrgId, list[UsageRow]] = {}
    for peer in usage.heard.values():
        others.setdefault(peer.row.org, []).append(peer.row)
    weight = 1 - math.exp(-period / DEMAND_TAU_MS)
    for org, own in list(usage.own.items()):
        own.demand += weight * (own.asked * 1000 / period - own.demand)
        own.asked = 0
        if own.demand < IDLE_DEMAND and not own.running and not own.spent:
            del usage.own[org]
            continue
        org_limits = limits.get(org)
        if org_limits is None:
            continue
        rows = others.get(org, [])
        own.others_running = sum(row.running for row in rows)
        own.others_spent = Micros(sum(row.spent for row in rows if row.day == own.day))
        others_demand = sum(max(row.demand, MIN_DEMAND) for row in rows)
        boxes_without_row = max(0, boxes - 1 - len(rows))
        others_demand += boxes_without_row * MIN_DEMAND
        own_demand = max(own.demand, MIN_DEMAND)
        own.allowance = org_limits.rate * own_demand / (own_demand + others_demand)


def own_usage_rows(usage: Usage, incarnation: str) -> tuple[UsageRow, ...]:
    """Return this box's usage rows for peers, of organisations that use anything.

    `incarnation` identifies the current run of this box, which counts in these rows.
    """
    return tuple(
        UsageRow(
            incarnation, org, round(own.demand, 3), own.running, own.day, own.spent
        )
        for org, own in usage.own.items()
        if own.demand > 0.01 or own.running or own.spent
    )


def merge_peer_usage(
    usage: Usage, rows: tuple[UsageRow, ...], own_incarnation: str, now: Millis
) -> None:
    """Merge the usage rows that a peer sent for itself.

    Rows of this run of this box, `own_incarnation`, are ignored.
    """
    for row in rows:
        if row.origin != own_incarnation:
            usage.heard[(row.origin, row.org)] = PeerUsage(row, now)


def _own_usage(
    usage: Usage, org: OrgId, limits: Limits, boxes: int, now: Millis
) -> OwnUsage:
    own = usage.own.get(org)
    if own is None:
        share = 1 / max(1, boxes)
        own = OwnUsage(limits.burst * share, now, limits.rate * share)
        usage.own[org] = own
    return own


def _refill(own: OwnUsage, limits: Limits, boxes: int, now: Millis) -> None:
    capacity = max(1.0, limits.burst * own.allowance / limits.rate)
    refilled = own.tokens + own.allowance * (now - own.refilled_at) / 1000
    own.tokens = min(capacity, refilled)
    own.refilled_at = now


def _concurrency_share(own: OwnUsage, limits: Limits, boxes: int) -> int:
    unused = limits.concurrency - own.others_running
    fair_share = math.ceil(limits.concurrency / max(1, boxes))
    return max(unused, min(fair_share, limits.concurrency))


def _start_new_day(own: OwnUsage, wall: Millis) -> None:
    day = wall // DAY_MS
    if own.day != day:
        own.day = day
        own.spent = Micros(0)
        own.others_spent = Micros(0)


def _expire_peer_usage(usage: Usage, now: Millis) -> None:
    for key, peer in list(usage.heard.items()):
        if now - peer.at > PEER_USAGE_VALID_MS:
            del usage.heard[key]
