"""Limits that boxes share with no coordinator.

Each box takes that part of an organisation's rate which its part of the demand is, as
last heard. The parts add up to the rate while what was heard is true; a box that is
silent counts until its row is too old.
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
HEARD_MS = 10_000
"""A peer's row counts for this long."""

LEAST_DEMAND = 0.2
"""Demand, requests a second, that a box counts as even when it sees none."""

IDLE_DEMAND = 0.001
"""An organisation with less demand, and nothing spent today, is forgotten."""

DEMAND_TAU_MS = 2_000.0
"""Time constant of the moving mean of demand."""


class OverLimit(enum.Enum):
    """Which limit a request is over."""

    RATE = "rate"
    CONCURRENCY = "concurrency"
    BUDGET = "budget"


class Refused(msgspec.Struct, frozen=True):
    """A request over a limit.

    Attributes
    ----------
    limit : OverLimit
        Which one.
    retry_ms : int
        When to come back, in ms.
    """

    limit: OverLimit
    retry_ms: Millis


def admit(
    usage: Usage, org: OrgId, limits: Limits, boxes: int, now: Millis, wall: Millis
) -> Refused | None:
    """Take a request in, or say which limit it is over."""
    own = _own(usage, org, limits, boxes, now)
    own.asked += 1
    _refill(own, limits, boxes, now)
    _turn_day(own, wall)
    spent = own.spent + own.others_spent
    if limits.budget is not None and spent >= limits.budget:
        return Refused(OverLimit.BUDGET, Millis(DAY_MS - wall % DAY_MS))
    if own.running >= _running_bound(own, limits, boxes):
        return Refused(OverLimit.CONCURRENCY, Millis(1_000))
    if own.tokens < 1.0:
        wait = (1.0 - own.tokens) / max(own.allowance, 1e-6) * 1000
        return Refused(OverLimit.RATE, Millis(math.ceil(min(wait, 60_000))))
    own.tokens -= 1.0
    own.running += 1
    return None


def finish(usage: Usage, org: OrgId, cost: Micros, wall: Millis) -> None:
    """Take a request out, and what it cost in."""
    own = usage.own[org]
    own.running -= 1
    _turn_day(own, wall)
    own.spent = Micros(own.spent + cost)


def tick_usage(
    usage: Usage, limits: dict[OrgId, Limits], boxes: int, now: Millis, period: int
) -> None:
    """Bring demand and allowances up to date; `period` is ms since the last call."""
    _forget(usage, now)
    others: dict[OrgId, list[UsageRow]] = {}
    for heard in usage.heard.values():
        others.setdefault(heard.row.org, []).append(heard.row)
    part = 1 - math.exp(-period / DEMAND_TAU_MS)
    for org, own in list(usage.own.items()):
        own.demand += part * (own.asked * 1000 / period - own.demand)
        own.asked = 0
        if own.demand < IDLE_DEMAND and not own.running and not own.spent:
            del usage.own[org]
            continue
        bound = limits.get(org)
        if bound is None:
            continue
        rows = others.get(org, [])
        own.others_running = sum(row.running for row in rows)
        own.others_spent = Micros(sum(row.spent for row in rows if row.day == own.day))
        total = sum(max(row.demand, LEAST_DEMAND) for row in rows)
        silent = max(0, boxes - 1 - len(rows))
        total += silent * LEAST_DEMAND
        mine = max(own.demand, LEAST_DEMAND)
        own.allowance = bound.rate * mine / (mine + total)


def usage_rows(usage: Usage, origin: str) -> tuple[UsageRow, ...]:
    """Return this box's rows for peers, of organisations that use anything."""
    return tuple(
        UsageRow(origin, org, round(own.demand, 3), own.running, own.day, own.spent)
        for org, own in usage.own.items()
        if own.demand > 0.01 or own.running or own.spent
    )


def hear_usage(
    usage: Usage, rows: tuple[UsageRow, ...], own_origin: str, now: Millis
) -> None:
    """Take in rows that a peer sent of itself."""
    for row in rows:
        if row.origin != own_origin:
            usage.heard[(row.origin, row.org)] = PeerUsage(row, now)


def _own(usage: Usage, org: OrgId, limits: Limits, boxes: int, now: Millis) -> OwnUsage:
    own = usage.own.get(org)
    if own is None:
        share = 1 / max(1, boxes)
        own = OwnUsage(limits.burst * share, now, limits.rate * share)
        usage.own[org] = own
    return own


def _refill(own: OwnUsage, limits: Limits, boxes: int, now: Millis) -> None:
    most = max(1.0, limits.burst * own.allowance / limits.rate)
    grown = own.tokens + own.allowance * (now - own.refilled_at) / 1000
    own.tokens = min(most, grown)
    own.refilled_at = now


def _running_bound(own: OwnUsage, limits: Limits, boxes: int) -> int:
    left = limits.concurrency - own.others_running
    fair = math.ceil(limits.concurrency / max(1, boxes))
    return max(left, min(fair, limits.concurrency))


def _turn_day(own: OwnUsage, wall: Millis) -> None:
    day = wall // DAY_MS
    if own.day != day:
        own.day = day
        own.spent = Micros(0)
        own.others_spent = Micros(0)


def _forget(usage: Usage, now: Millis) -> None:
    for key, heard in list(usage.heard.items()):
        if now - heard.at > HEARD_MS:
            del usage.heard[key]
