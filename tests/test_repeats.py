"""Retry budget: boxes keep to the total without communication."""

from fleet_builders import make_fleet
from fleet_builders import ms
from spanshunt.ids import ServiceId
from spanshunt.systems.repeats import RepeatBounds
from spanshunt.systems.repeats import count_repeat
from spanshunt.systems.repeats import count_request
from spanshunt.systems.repeats import may_repeat

SERVICE = ServiceId("writer")
BOUNDS = RepeatBounds(ratio=0.9, slack=52.0, window_s=10, min_boxes=6)


def test_boxes_together_stay_within_the_bound():
    fleets = [make_fleet(f"box-{n}") for n in range(6)]
    arrivals: list[tuple[float, int, int]] = []
    for second in range(40):
        for fleet in fleets:
            now = ms(second)
            requests, repeats = (5 if second < 20 else 1), 0
            for _ in range(requests):
                count_request(fleet, SERVICE, now)
            for _ in range(20):
                if may_repeat(fleet, SERVICE, now, BOUNDS, for_escalation=False):
                    count_repeat(fleet, SERVICE, now)
                    repeats += 1
            arrivals.append((second, requests, repeats))
    for start in range(30):
        window = [row for row in arrivals if start <= row[0] < start + 10]
        earlier = [row for row in arrivals if start - 10 <= row[0] < start]
        requests = max(sum(r[1] for r in window), sum(r[1] for r in earlier))
        assert sum(r[2] for r in window) <= 0.9 * requests + 52


def test_budget_is_left_for_failures():
    fleet = make_fleet()
    for _ in range(100):
        count_request(fleet, SERVICE, ms(1))
    while may_repeat(fleet, SERVICE, ms(1), BOUNDS, for_escalation=True):
        count_repeat(fleet, SERVICE, ms(1))
    assert may_repeat(fleet, SERVICE, ms(1), BOUNDS, for_escalation=False)


def test_quiet_service_may_repeat():
    assert may_repeat(make_fleet(), SERVICE, ms(1), BOUNDS, for_escalation=False)
