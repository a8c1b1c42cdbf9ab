"""The list of workers: entries that leave, expire with the store, and come back."""

import pytest

from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from spanshunt.ids import BoxId
from spanshunt.ids import DomainId
from spanshunt.ids import Offset
from spanshunt.peers.news_rows import to_listed_worker as listed_worker
from spanshunt.peers.news_rows import workers_news
from spanshunt.systems.following_workers import apply_worker_list
from spanshunt.systems.following_workers import drop_missing_workers
from spanshunt.systems.following_workers import find_list_reader
from spanshunt.systems.following_workers import follows_operator_records
from spanshunt.systems.following_workers import list_digest
from spanshunt.systems.following_workers import must_read_list
from spanshunt.systems.following_workers import record_list_read
from spanshunt.systems.following_workers import record_store_answer
from spanshunt.systems.following_workers import record_store_failure
from spanshunt.tables.catalog import Catalog
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.worker_list import ListedWorker


def listed(*names: str, draining: tuple[str, ...] = ()) -> list[ListedWorker]:
    return [ListedWorker(make_worker(name), name in draining) for name in names]


def usable(fleet: Fleet) -> set[str]:
    return set(fleet.workers.rows) - fleet.workers.leaving


def test_draining_and_gone_workers_get_nothing_more():
    fleet = make_fleet()
    apply_worker_list(fleet, listed("a", "b", "c"), Offset(3), ms(1))
    change = apply_worker_list(
        fleet, listed("a", "b", draining=("b",)), Offset(5), ms(2)
    )
    assert usable(fleet) == {"a"}
    assert change.leaving == ("b",) and change.gone == ("c",)


def test_older_list_is_ignored():
    fleet = make_fleet()
    apply_worker_list(fleet, listed("a"), Offset(9), ms(1))
    assert apply_worker_list(fleet, listed("a", "b"), Offset(8), ms(2)).empty
    assert usable(fleet) == {"a"}


def test_row_keeps_what_this_box_knows_of_a_worker():
    fleet = make_fleet()
    apply_worker_list(fleet, listed("a"), Offset(1), ms(1))
    fleet.workers.rows["a"].inflight = 3
    apply_worker_list(fleet, listed("a"), Offset(2), ms(2))
    assert fleet.workers.rows["a"].inflight == 3


def test_entry_that_expired_during_an_outage_is_waited_for():
    fleet = make_fleet()
    record_list_read(fleet, ms(1))
    apply_worker_list(fleet, listed("a", "b"), Offset(2), ms(1))
    record_list_read(fleet, ms(6))
    change = apply_worker_list(fleet, listed("a"), Offset(4), ms(6))
    assert change.kept == ("b",)
    assert usable(fleet) == {"a", "b"}
    apply_worker_list(fleet, listed("a"), Offset(5), ms(8.1))
    assert usable(fleet) == {"a"}


def test_entry_seen_after_the_outage_is_not_waited_for_when_it_goes():
    """A worker whose entry went 0.4 s after the outage gets no requests."""
    fleet = make_fleet()
    record_list_read(fleet, ms(1))
    apply_worker_list(fleet, listed("a", "b"), Offset(2), ms(1))
    record_list_read(fleet, ms(6))
    apply_worker_list(fleet, listed("a", "b"), Offset(4), ms(6))
    apply_worker_list(fleet, listed("a"), Offset(5), ms(6.9))
    assert usable(fleet) == {"a"}


def test_entry_that_went_while_other_boxes_read_the_list_is_not_waited_for():
    """A box that was cut off does not keep a worker that left while others read.

    The second read report, of a peer without a gap, shows that no entry expired.
    """
    fleet = make_fleet()
    record_list_read(fleet, ms(1))
    apply_worker_list(fleet, listed("a", "b"), Offset(2), ms(1))
    record_list_read(fleet, ms(6))
    assert apply_worker_list(fleet, listed("a"), Offset(4), ms(6)).kept == ("b",)
    record_list_read(fleet, ms(5.9), unbroken_since=ms(0.5))
    assert drop_missing_workers(fleet, ms(6.2)) == ("b",)
    assert usable(fleet) == {"a"}


def test_entry_that_a_peer_waits_for_is_not_added_again():
    """A worker that is gone does not come back through a peer's list."""
    fleet = make_fleet()
    apply_worker_list(fleet, listed("a", "b"), Offset(2), ms(1))
    apply_worker_list(fleet, listed("a"), Offset(3), ms(2))
    peer = make_fleet("box-2")
    record_list_read(peer, ms(1))
    apply_worker_list(peer, listed("a", "b"), Offset(2), ms(1))
    record_list_read(peer, ms(5))
    assert apply_worker_list(peer, listed("a"), Offset(4), ms(5)).kept == ("b",)
    rows = [listed_worker(item) for item in workers_news(peer, ms(5))]
    assert apply_worker_list(fleet, rows, Offset(4), ms(5.1)).empty
    assert usable(fleet) == {"a"}


def test_outage_of_all_boxes_ends_the_read_streak():
    fleet = make_fleet()
    for at in (1, 2, 3):
        record_list_read(fleet, ms(at), unbroken_since=ms(0))
    record_list_read(fleet, ms(8), unbroken_since=ms(7.5))
    assert fleet.list_read_streak.since == ms(7.5)
    record_list_read(fleet, ms(3), unbroken_since=ms(0))
    assert fleet.list_read_streak.since == ms(7.5)


def test_entry_that_comes_back_is_used_again():
    fleet = make_fleet()
    apply_worker_list(fleet, listed("a", "b"), Offset(2), ms(1))
    apply_worker_list(fleet, listed("a"), Offset(3), ms(2))
    apply_worker_list(fleet, listed("a", "b"), Offset(4), ms(3))
    assert usable(fleet) == {"a", "b"}


def test_draining_worker_is_not_kept_after_an_outage():
    fleet = make_fleet()
    record_list_read(fleet, ms(1))
    apply_worker_list(fleet, listed("a", "b", draining=("b",)), Offset(2), ms(1))
    record_list_read(fleet, ms(3))
    apply_worker_list(fleet, listed("a"), Offset(4), ms(3))
    assert usable(fleet) == {"a"}


def test_outage_is_reported_once():
    fleet = make_fleet()
    assert record_store_failure(fleet, ms(1))
    assert not record_store_failure(fleet, ms(2))
    assert record_store_answer(fleet)
    assert not record_store_answer(fleet)


def with_peer(box: str, domain: str = "north", heard: float = 9.9) -> Fleet:
    fleet = make_fleet("box-2")
    row = PeerRow(BoxId(box), "a", DomainId(domain), heard=ms(heard))
    fleet.peers[row.box] = row
    fleet.workers_read_at = ms(9.5)
    return fleet


@pytest.mark.parametrize(
    ("fleet", "reads"),
    [
        (with_peer("box-1"), False),
        (with_peer("box-3"), True),
        (with_peer("box-1", domain="south"), True),
        (with_peer("box-1", heard=8.0), True),
    ],
    ids=["first is heard", "is first", "other domain", "first is silent"],
)
def test_one_box_of_a_domain_reads_for_the_others(fleet, reads):
    assert must_read_list(fleet, ms(10), 2_000) is reads


@pytest.mark.parametrize(
    ("served", "refused_at", "reader"),
    [(True, -1, "box-1"), (False, -1, "box-2"), (False, 9.0, "box-1")],
    ids=["all served", "first is refused", "all refused"],
)
def test_box_that_the_store_refuses_does_not_read_for_others(
    served, refused_at, reader
):
    fleet = with_peer("box-1")
    fleet.peers["box-1"].served = served
    if refused_at >= 0:
        record_store_failure(fleet, ms(refused_at))
    assert find_list_reader(fleet, ms(10)) == reader


@pytest.mark.parametrize(
    ("box", "refused", "follows"),
    [
        ("box-1", (), True),
        ("box-2", (), True),
        ("box-3", (), False),
        ("box-3", ("box-1",), True),
        ("box-4", ("box-1",), False),
    ],
)
def test_first_two_served_boxes_of_a_domain_follow_the_operators(box, refused, follows):
    fleet = make_fleet(box)
    for name in {"box-1", "box-2", "box-3", "box-4"} - {box}:
        row = PeerRow(BoxId(name), "a", DomainId("north"), heard=ms(9.9))
        row.served = name not in refused
        fleet.peers[row.box] = row
    assert follows_operator_records(fleet, ms(10))
    fleet.catalog = Catalog(1, (), {}, ())
    assert follows_operator_records(fleet, ms(10)) is follows


def test_old_list_is_read_by_any_box():
    """A frozen reader counts as silent only after a while; a list ages sooner."""
    fleet = with_peer("box-1", heard=10.9)
    assert find_list_reader(fleet, ms(11)) == "box-1"
    assert must_read_list(fleet, ms(11), 2_000)


@pytest.mark.parametrize(("boxes", "tries_at"), [(2, 10.4), (10, 12.0)])
def test_many_boxes_try_seldom_while_the_store_is_away(boxes, tries_at):
    """The rate of calls to an unreachable store does not grow with the number of boxes.

    Without the bound, each box calls 2.5 times a second.
    """
    fleet = with_peer("box-1", heard=tries_at)
    for number in range(3, boxes + 1):
        row = PeerRow(BoxId(f"box-{number}"), "a", DomainId("north"))
        row.heard = ms(tries_at)
        fleet.peers[row.box] = row
    fleet.workers_read_at = ms(5)
    record_store_failure(fleet, ms(10))
    assert not must_read_list(fleet, ms(tries_at - 0.05), 2_000)
    assert must_read_list(fleet, ms(tries_at), 2_000)


def test_lists_with_the_same_contents_have_one_digest():
    one, other = make_fleet(), make_fleet()
    for fleet, names in ((one, ("a", "b")), (other, ("b", "a"))):
        assert list_digest(fleet) == 0
        apply_worker_list(fleet, listed(*names), Offset(3), ms(1))
        fleet.workers_read_at = ms(1)
    assert list_digest(one) == list_digest(other)
    apply_worker_list(one, listed("a", "b", draining=("b",)), Offset(4), ms(2))
    assert list_digest(one) != list_digest(other)
