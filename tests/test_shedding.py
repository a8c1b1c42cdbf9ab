"""New connections that a box closes unread while its processor is behind."""

from hypothesis import given
from hypothesis import strategies as st

from spanshunt.ids import Millis
from spanshunt.systems.shedding import LATE_MS
from spanshunt.systems.shedding import LIFTED_MS
from spanshunt.systems.shedding import LOOKS_NEEDED
from spanshunt.systems.shedding import MAX_CLOSED_MS
from spanshunt.systems.shedding import MIN_LIMIT
from spanshunt.systems.shedding import LimitChange
from spanshunt.systems.shedding import is_overloaded
from spanshunt.systems.shedding import look_at_timer
from spanshunt.systems.shedding import may_take_connection
from spanshunt.tables.overload import Overload

LOOK_MS = 50


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
