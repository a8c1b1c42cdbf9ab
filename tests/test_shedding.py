"""New connections that a box closes unread while its processor is behind."""

from hypothesis import given
from hypothesis import strategies as st

from fleet_builders import make_fleet
from spanshunt.clock import Clock
from spanshunt.ids import Millis
from spanshunt.platform.caller_server import CallerServer
from spanshunt.systems.shedding import LATE_MS
from spanshunt.systems.shedding import LIFTED_MS
from spanshunt.systems.shedding import LOOKS_NEEDED
from spanshunt.systems.shedding import MAX_CLOSED_MS
from spanshunt.systems.shedding import MIN_LIMIT
from spanshunt.systems.shedding import UNREAD_MS
from spanshunt.systems.shedding import LimitChange
from spanshunt.systems.shedding import is_overloaded
from spanshunt.systems.shedding import limits_connections
from spanshunt.systems.shedding import look_at_timer
from spanshunt.systems.shedding import may_take_connection
from spanshunt.tables.holdings import BoxLimits
from spanshunt.tables.overload import Overload

LOOK_MS = 50


class ManualClock(Clock):
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.at = 0

    def now(self) -> Millis:
        return Millis(self.at)


def _look(overload: Overload, late_ms: float, open_requests: int, at: int, looks: int):
    changes = [
        look_at_timer(overload, late_ms, open_requests, Millis(at + step * LOOK_MS))
        for step in range(looks)
    ]
    return [change for change in changes if change is not None]


def _overloaded(open_requests: int = 100) -> Overload:
    overload = Overload()
    _look(overload, 2 * LATE_MS, open_requests, 0, LOOKS_NEEDED)
    return overload


def test_late_timers_in_a_row_limit_open_requests():
    overload = Overload()
    changes = _look(overload, 2 * LATE_MS, 100, 0, LOOKS_NEEDED)
    assert changes == [LimitChange.BEGAN]
    assert not may_take_connection(overload, 100, Millis(300))
    assert may_take_connection(overload, 49, Millis(300))


def test_one_long_turn_limits_nothing():
    overload = Overload()
    for at in range(0, 10_000, 1_000):
        _look(overload, 900.0, 100, at, LOOKS_NEEDED - 1)
        _look(overload, 0.0, 100, at + 500, 1)
    assert not is_overloaded(overload)


def test_limit_does_not_fall_while_requests_drain():
    overload = _overloaded()
    before = overload.limit
    assert not _look(overload, 2 * LATE_MS, 100, 1_000, 10 * LOOKS_NEEDED)
    assert overload.limit == before
    changes = _look(overload, 2 * LATE_MS, before, 5_000, LOOKS_NEEDED)
    assert changes == [LimitChange.FELL]


def test_limit_grows_while_it_is_reached_and_is_lifted_once_it_is_not():
    overload = _overloaded()
    before = overload.limit
    may_take_connection(overload, 100, Millis(2_000))
    assert LimitChange.GREW in _look(overload, 0.0, before, 2_000, 20)
    assert overload.limit > before
    changes = _look(overload, 0.0, 1, 2_000 + LIFTED_MS, 1)
    assert changes == [LimitChange.LIFTED]


def test_box_that_is_ready_takes_a_connection_now_and_then():
    overload = _overloaded()
    taken = [
        at
        for at in range(1_000, 7_000, 10)
        if may_take_connection(overload, 1_000, Millis(at))
    ]
    assert len(taken) >= 6_000 / MAX_CLOSED_MS - 1
    assert len(taken) <= 6_000 / MAX_CLOSED_MS + 1


@given(
    st.lists(
        st.tuples(st.floats(0, 5_000), st.integers(0, 2_000), st.integers(1, 2_000))
    )
)
def test_limit_is_never_below_the_least_and_ends_by_itself(
    steps: list[tuple[float, int, int]],
):
    overload, now = Overload(), 0
    for late_ms, open_requests, passed in steps:
        now += passed
        look_at_timer(overload, late_ms, open_requests, Millis(now))
        may_take_connection(overload, open_requests, Millis(now))
        assert overload.limit is None or overload.limit >= MIN_LIMIT
    look_at_timer(overload, 0.0, 0, Millis(now + LIFTED_MS))
    assert not is_overloaded(overload)


def test_box_that_does_not_know_its_processor_closes_nothing():
    assert not limits_connections(BoxLimits())
    assert limits_connections(BoxLimits(cpu_share=0.5))


async def test_connections_without_a_request_count_for_a_second_only():
    """Guards against idle connections that keep callers out of a box."""
    clock = ManualClock()
    fleet = make_fleet("box-1")
    fleet.limits = BoxLimits(cpu_share=1.0)
    server = CallerServer(fleet, clock, lambda _name: None, None)
    handlers = [server() for _ in range(5)]
    assert server.open_requests() == 5
    server.record_read(handlers[0])
    clock.at += UNREAD_MS
    server.look(0.0)
    assert not server.open_requests()


async def test_limit_ends_with_the_setting():
    fleet = make_fleet("box-1")
    fleet.limits = BoxLimits(cpu_share=1.0)
    server = CallerServer(fleet, ManualClock(), lambda _name: None, None)
    for _ in range(LOOKS_NEEDED):
        server.look(2 * LATE_MS / 1_000)
    assert is_overloaded(fleet.overload)
    fleet.limits = BoxLimits()
    server.look(2 * LATE_MS / 1_000)
    assert not is_overloaded(fleet.overload)
    assert server.may_take()
