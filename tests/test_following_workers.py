"""The list of workers: leaving, lapsed with the store, coming back."""

from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.ids import Offset
from spanshunt.systems.following_workers import ListedWorker
from spanshunt.systems.following_workers import note_store_answer
from spanshunt.systems.following_workers import note_store_failure
from spanshunt.systems.following_workers import take_list
from spanshunt.tables.fleet import Fleet


def listed(*names: str, draining: tuple[str, ...] = ()) -> list[ListedWorker]:
    return [ListedWorker(make_worker(name), name in draining) for name in names]


def usable(fleet: Fleet) -> set[str]:
    return set(fleet.workers.rows) - fleet.workers.leaving


def test_draining_and_gone_workers_get_nothing_more():
    fleet = make_fleet()
    take_list(fleet, listed("a", "b", "c"), Offset(3), ms(1))
    change = take_list(fleet, listed("a", "b", draining=("b",)), Offset(5), ms(2))
    assert usable(fleet) == {"a"}
    assert change.leaving == ("b",) and change.gone == ("c",)


def test_older_list_is_ignored():
    fleet = make_fleet()
    take_list(fleet, listed("a"), Offset(9), ms(1))
    assert take_list(fleet, listed("a", "b"), Offset(8), ms(2)).empty
    assert usable(fleet) == {"a"}


def test_row_keeps_what_this_box_knows_of_a_worker():
    fleet = make_fleet()
    take_list(fleet, listed("a"), Offset(1), ms(1))
    fleet.workers.rows["a"].inflight = 3
    take_list(fleet, listed("a"), Offset(2), ms(2))
    assert fleet.workers.rows["a"].inflight == 3


def test_entry_that_lapsed_with_the_store_is_waited_for():
    fleet = make_fleet()
    take_list(fleet, listed("a", "b"), Offset(2), ms(1))
    note_store_failure(fleet, ms(2))
    note_store_answer(fleet, ms(6))
    change = take_list(fleet, listed("a"), Offset(4), ms(6))
    assert change.kept == ("b",)
    assert usable(fleet) == {"a", "b"}
    take_list(fleet, listed("a"), Offset(5), ms(8.1))
    assert usable(fleet) == {"a"}


def test_entry_that_comes_back_is_used_again():
    fleet = make_fleet()
    take_list(fleet, listed("a", "b"), Offset(2), ms(1))
    take_list(fleet, listed("a"), Offset(3), ms(2))
    take_list(fleet, listed("a", "b"), Offset(4), ms(3))
    assert usable(fleet) == {"a", "b"}


def test_draining_worker_is_not_kept_over_the_stores_return():
    fleet = make_fleet()
    take_list(fleet, listed("a", "b", draining=("b",)), Offset(2), ms(1))
    note_store_failure(fleet, ms(2))
    note_store_answer(fleet, ms(3))
    take_list(fleet, listed("a"), Offset(4), ms(3))
    assert usable(fleet) == {"a"}


def test_outage_is_told_once():
    fleet = make_fleet()
    assert note_store_failure(fleet, ms(1))
    assert not note_store_failure(fleet, ms(2))
    assert note_store_answer(fleet, ms(3))
    assert not note_store_answer(fleet, ms(4))
