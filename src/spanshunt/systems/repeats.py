"""Retry budget: each box keeps to its share, so that all boxes keep to the total.

A service may get, in any window of some seconds, at most a ratio of its requests plus a
slack as repeated arrivals, i.e. arrivals beyond the first of each request, summed over
all boxes. A box that repeats at most that ratio of its own requests, plus its part of
the slack, needs no information from the other boxes.
"""

import msgspec

from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.fleet import Traffic
from ..tables.fleet import TrafficSecond

RATIO_SHARE = 0.85
"""Part of the allowed ratio that is used. The rest covers requests that a box counted
for a service which another catalog version names differently."""

SLACK_SHARE = 0.6
"""Part of the slack that is shared out, as a box that restarts begins with a new
share."""

ESCALATION_SHARE = 0.8
"""Part of the budget that repeats for quality may use; the rest is kept for
failures."""


class RepeatBounds(msgspec.Struct, frozen=True):
    """Bounds of the repeats of all boxes together.

    Attributes
    ----------
    ratio : float
        Repeats for each request in the window.
    slack : float
        Repeats in the window in addition to those.
    window_s : int
        Length of the window, in s.
    min_boxes : int
        Minimum number of boxes that share the slack, used while few peers are known.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: int = 10
    min_boxes: int = 6


class RetryBudget(msgspec.Struct, frozen=True):
    """Numbers of requests, repeats and allowed repeats of a service in the window."""

    requests: int
    repeats: int
    allowed: float


def count_request(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count a request for `service`."""
    _current_second(fleet, service, now).requests += 1


def count_repeat(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count an arrival at `service` beyond the first of its request."""
    _current_second(fleet, service, now).repeats += 1


def uncount_repeat(fleet: Fleet, service: ServiceId, at: Millis) -> None:
    """Uncount an arrival counted at `at` that did not reach a worker."""
    for second in fleet.traffic[service].seconds:
        if second.number == at // 1_000:
            second.repeats -= 1


def may_repeat(
    fleet: Fleet,
    service: ServiceId,
    now: Millis,
    bounds: RepeatBounds,
    *,
    for_escalation: bool,
) -> bool:
    """Return whether the budget allows one more repeat now.

    Repeats for quality stop at a part of the budget, so that the rest is left for
    failures.
    """
    if service not in fleet.traffic:
        return True
    budget = retry_budget(fleet, service, now, bounds)
    share = ESCALATION_SHARE if for_escalation else 1.0
    return budget.repeats + 1 <= share * budget.allowed


def retry_budget(
    fleet: Fleet, service: ServiceId, now: Millis, bounds: RepeatBounds
) -> RetryBudget:
    """Return this box's requests and repeats of `service`, and the allowed ones."""
    oldest = now // 1_000 - bounds.window_s
    traffic = fleet.traffic.get(service, Traffic())
    recent = [second for second in traffic.seconds if second.number >= oldest]
    requests = sum(second.requests for second in recent)
    boxes = max(bounds.min_boxes, len(fleet.peers) + 1)
    return RetryBudget(
        requests=requests,
        repeats=sum(second.repeats for second in recent),
        allowed=RATIO_SHARE * bounds.ratio * requests
        + SLACK_SHARE * bounds.slack / boxes,
    )


def _current_second(fleet: Fleet, service: ServiceId, now: Millis) -> TrafficSecond:
    traffic = fleet.traffic.get(service)
    if traffic is None:
        traffic = fleet.traffic[service] = Traffic()
    number = now // 1_000
    if not traffic.seconds or traffic.seconds[-1].number != number:
        traffic.seconds.append(TrafficSecond(number))
    return traffic.seconds[-1]
