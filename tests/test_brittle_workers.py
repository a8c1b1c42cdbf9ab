"""Workers that fall over if they turn many requests away."""

import asyncio
import collections

import pytest

from fleet_builders import TestFleet
from fleet_builders import add_worker
from fleet_builders import make_fleet
from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import BoxId
from spanshunt.ids import Millis
from spanshunt.peers.news_rows import brittle_news
from spanshunt.platform.answer_notices import decode_brittle
from spanshunt.standins.slots import WorkerSlots
from spanshunt.systems.brittleness import TRIED_SHARE
from spanshunt.systems.brittleness import apply_brittle
from spanshunt.systems.brittleness import has_place
from spanshunt.systems.brittleness import own_places
from spanshunt.systems.brittleness import revokes_brittle
from spanshunt.systems.brittleness import use_place
from spanshunt.systems.throttling import REVOCATION_SENT_MS
from spanshunt.tables.fleet import Fleet
from spanshunt.tables.fleet import PeerRow
from spanshunt.tables.notices import RateLimit
from spanshunt.tables.workers import WorkerRow
from spanshunt.worker_notices import merge_brittle_news

SLOTS, WORK_S = 4, 0.2

TOLERATED_PER_S = 4.0

CONTACT_S = 1.0
"""How long after they said that they are brittle workers let fewer wait, in s."""


def boxes_of(count: int) -> list[Fleet]:
    """Return the tables of boxes that know each other, each with the same worker."""
    names = [f"box-{number}" for number in range(count)]
    found = []
    for name in names:
        fleet = make_fleet(name)
        fleet.peers = {
            BoxId(other): PeerRow(BoxId(other), f"{other}:1")
            for other in names
            if other != name
        }
        add_worker(fleet, make_worker("w-1"))
        found.append(fleet)
    return found


def row_of(fleet: Fleet) -> WorkerRow:
    return next(iter(fleet.workers.rows.values()))


def say(row: WorkerRow, per_s: float | None, at: float) -> bool:
    return apply_brittle(row, RateLimit(per_s, ms(at), BoxId("box-0")))


class TestPlaces:
    """Boxes share the slots of a brittle worker without a message."""

    @pytest.mark.parametrize("count", [1, 2, 3, 6, 7, 61])
    @pytest.mark.parametrize("slots", [1, 6, 8, 32])
    def test_places_of_all_boxes_add_up_to_the_slots(self, count, slots):
        """Guards against boxes that together send more than a worker runs."""
        total = 0
        for fleet in boxes_of(count):
            row_of(fleet).slots = slots
            total += own_places(fleet, row_of(fleet))
        assert total == slots

    def test_sound_worker_has_places_for_all(self):
        fleet = boxes_of(6)[0]
        row_of(fleet).inflight = 100
        assert has_place(fleet, row_of(fleet), ms(1))

    @pytest.mark.parametrize("count", [2, 6, 7])
    def test_tries_of_all_boxes_stay_below_what_is_tolerated(self, count):
        """Guards against tries that together are too many in any second."""
        boxes = boxes_of(count)
        tries: list[int] = []
        for fleet in boxes:
            row = row_of(fleet)
            say(row, TOLERATED_PER_S, 0.0)
            row.inflight = own_places(fleet, row)
            row.slots = 100 * row.slots
            row.inflight = own_places(fleet, row)
        for now in range(0, 10_000, 10):
            for fleet in boxes:
                row = row_of(fleet)
                while has_place(fleet, row, Millis(now)):
                    use_place(fleet, row, Millis(now))
                    tries.append(now)
        windows = [
            sum(begin <= at < begin + 1_000 for at in tries)
            for begin in range(0, 9_000, 50)
        ]
        assert max(windows) <= TOLERATED_PER_S
        assert len(tries) >= 0.5 * TRIED_SHARE * TOLERATED_PER_S * 10

    def test_worker_that_seems_full_is_not_tried(self):
        fleet = boxes_of(2)[0]
        row = row_of(fleet)
        say(row, TOLERATED_PER_S, 0.0)
        row.inflight, row.others, row.others_at = 4, 4, ms(8)
        assert not any(
            has_place(fleet, row, Millis(now)) for now in range(8_000, 8_900, 10)
        )


class TestNotice:
    """What workers say, and how boxes tell each other."""

    @pytest.mark.parametrize("text", ["0", "-1", "many", "", "1e9999", "nan"])
    def test_bad_values_are_named(self, text):
        found = decode_brittle([text])
        assert found.is_err()
        assert "Server-Brittle" in found.err_value
        assert "above 0" in found.err_value

    def test_two_headers_are_refused(self):
        assert decode_brittle(["4", "5"]).is_err()

    def test_one_number_is_taken(self):
        assert decode_brittle(["4"]).ok_value == 4.0
        assert decode_brittle([]).ok_value is None

    def test_answer_without_the_word_ends_it_for_later_requests_only(self):
        row = make_worker("w-1")
        assert not revokes_brittle(row, ms(5))
        say(row, 4.0, 2.0)
        assert not revokes_brittle(row, ms(1))
        assert revokes_brittle(row, ms(3))
        assert say(row, None, 3.0)
        assert not say(row, 4.0, 2.5)

    def test_peers_learn_of_it_and_of_its_end(self):
        """Guards against boxes that send as before until they are told themselves."""
        one, other = boxes_of(2)
        say(row_of(one), 4.0, 2.0)
        self.tell(one, other, 3.0)
        assert row_of(other).brittle == row_of(one).brittle
        say(row_of(one), None, 4.0)
        self.tell(one, other, 5.0)
        assert row_of(other).brittle is not None
        assert row_of(other).brittle.per_s is None
        assert not brittle_news(one, ms(4.1 + REVOCATION_SENT_MS / 1_000))

    @staticmethod
    def tell(one: Fleet, other: Fleet, at: float) -> None:
        class Told:
            brittle = brittle_news(one, ms(at))

        merge_brittle_news(other, Told, ms(at), ms(at))  # type: ignore[arg-type]


async def press(fleet: TestFleet, seconds: float, per_s: float) -> list[int]:
    """Ask all boxes in clumps of three for some time; return the statuses."""
    loop = asyncio.get_running_loop()
    end, number = loop.time() + seconds, 0
    asks = []
    while loop.time() < end:
        box = fleet.boxes[number % len(fleet.boxes)]
        asks += [asyncio.create_task(fleet.ask(box, "/look/")) for _ in range(3)]
        number += 1
        await asyncio.sleep(3 / per_s)
    return [reply.status for reply in await asyncio.gather(*asks)]


async def test_brittle_workers_stand_and_are_given_most_of_what_they_take():
    """Guards against brittle workers that fall over under more than they can do."""
    async with running_fleet(boxes=3, domains=("north", "west", "south")) as fleet:
        names = ["p-1", "p-2", "p-3"]
        await fleet.add_worker("p-3", service="web")
        workers = [fleet.workers[name] for name in names]
        for worker in workers:
            worker.slots = WorkerSlots(SLOTS, 2 * SLOTS, WORK_S)
        await until(
            lambda: all(
                len(box.node.fleet.workers.rows) == len(fleet.workers)
                for box in fleet.boxes
            ),
            "workers are known",
        )
        room_per_s = len(workers) * SLOTS / WORK_S
        await press(fleet, 1.0, 0.5 * room_per_s)
        for worker in workers:
            worker.brittle_per_s = TOLERATED_PER_S
        await press(fleet, CONTACT_S, 0.8 * room_per_s)
        for worker in workers:
            assert worker.slots is not None
            worker.slots.places = 1
        found = collections.Counter(await press(fleet, 4.0, 1.6 * room_per_s))
        assert sum(worker.falls for worker in workers) == 0
        assert found[200] >= 0.5 * 4.0 * room_per_s
