"""The budget of repeats: each box keeps to its own share, so that all keep to the
whole.

A service may get, in any window of some seconds, more arrivals beyond the first of each
request than a ratio of its requests plus a slack, summed over all boxes. A box that
repeats at most that ratio of its own requests, plus its part of the slack, needs to
hear nothing of the others.
"""

import msgspec

from ..ids import Millis
from ..ids import ServiceId
from ..tables.fleet import Fleet
from ..tables.fleet import Traffic
from ..tables.fleet import TrafficSecond

RATIO_USED = 0.85
"""Part of the allowed ratio that is used: the rest covers requests that a box counted
and whose service another catalog version names differently."""

SLACK_USED = 0.6
"""Part of the slack that is shared out: a box that restarts begins with a fresh
share."""

CHOICE_PART = 0.8
"""Part of the budget that repeats for quality may use; the rest is kept for
failures."""


class RepeatBounds(msgspec.Struct, frozen=True):
    """What all boxes together may repeat.

    Attributes
    ----------
    ratio : float
        Repeats for each request in the window.
    slack : float
        Repeats in the window beyond those.
    window_s : int
        Length of the window, in s.
    least_boxes : int
        Boxes that the slack is shared by at least, while few peers are known.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: int = 10
    least_boxes: int = 6


class Allowance(msgspec.Struct, frozen=True):
    """Requests and repeats of a service in the window, and repeats that are allowed."""

    requests: int
    repeats: int
    allowed: float


def note_request(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count a request for `service`."""
    _second(fleet, service, now).requests += 1


def note_repeat(fleet: Fleet, service: ServiceId, now: Millis) -> None:
    """Count an arrival at `service` beyond the first of its request."""
    _second(fleet, service, now).repeats += 1


def take_back_repeat(fleet: Fleet, service: ServiceId, at: Millis) -> None:
    """Take back an arrival counted at `at` that reached no worker after all."""
    for second in fleet.traffic[service].seconds:
        if second.number == at // 1_000:
            second.repeats -= 1


def may_repeat(
    fleet: Fleet,
    service: ServiceId,
    now: Millis,
    bounds: RepeatBounds,
    *,
    for_quality: bool,
) -> bool:
    """Tell whether the budget allows one more arrival now.

    Repeats for quality stop at a part of the budget, so that failures find some left.
    """
    if service not in fleet.traffic:
        return True
    window = allowance(fleet, service, now, bounds)
    part = CHOICE_PART if for_quality else 1.0
    return window.repeats + 1 <= part * window.allowed


def allowance(
    fleet: Fleet, service: ServiceId, now: Millis, bounds: RepeatBounds
) -> Allowance:
    """Return what this box did for `service` in the window, and what it may repeat."""
    oldest = now // 1_000 - bounds.window_s
    traffic = fleet.traffic.get(service, Traffic())
    recent = [row for row in traffic.seconds if row.number >= oldest]
    requests = sum(row.requests for row in recent)
    boxes = max(bounds.least_boxes, len(fleet.peers) + 1)
    return Allowance(
        requests=requests,
        repeats=sum(row.repeats for row in recent),
        allowed=RATIO_USED * bounds.ratio * requests
        + SLACK_USED * bounds.slack / boxes,
    )


def _second(fleet: Fleet, service: ServiceId, now: Millis) -> TrafficSecond:
    traffic = fleet.traffic.get(service)
    if traffic is None:
        traffic = fleet.traffic[service] = Traffic()
    number = now // 1_000
    if not traffic.seconds or traffic.seconds[-1].number != number:
        traffic.seconds.append(TrafficSecond(number))
    return traffic.seconds[-1]
