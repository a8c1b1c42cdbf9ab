"""Retry budget: each box keeps to its share, so that all boxes keep to the total.

A repeat is a further attempt of this box for one request, beyond the first that
reached a worker: a retry after a failure, or an escalation to a larger model. A request
that the caller sends again is a new request, not a repeat.

In any window of some seconds, all boxes together may send a service at most a ratio of
its requests as repeats, plus a slack. A box that repeats at most that ratio of its own
requests, plus its part of the slack, needs no information from the other boxes.
"""

import msgspec

from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.fleet import Traffic
from ..tables.fleet import TrafficSecond

RATIO_SHARE = 0.85
"""Part of the allowed ratio that is used. The rest covers requests that a box counted
for the service while boxes with another version of the catalog have another name for
it."""

SLACK_SHARE = 0.6
"""Part of the slack that is shared out. A box that restarts forgets the repeats that it
counted and may use its share once more within the same window; the rest covers that for
two thirds of the boxes."""

ESCALATION_SHARE = 0.8
"""Part of the budget that escalations to a larger model may use; the rest is kept for
retries after failures."""


class RepeatBounds(msgspec.Struct, frozen=True):
    """Bounds of the repeats of all boxes together.

    Attributes
    ----------
    ratio : float
        Allowed repeats for each request in the window.
    slack : float
        Repeats in the window that are allowed in addition to those by `ratio`.
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
    """Requests and repeats that this box sent a service in the window, and the limit.

    Attributes
    ----------
    requests : int
        Requests, each counted once.
    repeats : int
        Repeats so far.
    allowed : float
        Maximum number of repeats for that number of requests.
    """

    requests: int
    repeats: int
    allowed: float


def count_request(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count a request for `service`."""
    _current_second(fleet, service, now).requests += 1


def count_repeat(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count a repeat that is sent to `service`."""
    _current_second(fleet, service, now).repeats += 1


def uncount_repeat(fleet: Fleet, service: ServiceId, at: Millis) -> None:
    """Uncount a repeat counted at `at`, as it did not reach a worker."""
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

    Escalations to a larger model stop at a part of the budget, so that the rest is left
    for retries after failures.
    """
    if service not in fleet.traffic:
        return True
    budget = retry_budget(fleet, service, now, bounds)
    share = ESCALATION_SHARE if for_escalation else 1.0
    return budget.repeats + 1 <= share * budget.allowed


def retry_budget(
    fleet: Fleet, service: ServiceId, now: Millis, bounds: RepeatBounds
) -> RetryBudget:
    """Return this box's requests and repeats of `service`, and the allowed repeats."""
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
