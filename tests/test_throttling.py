"""Workers in need, which name the requests a second that they take from all boxes."""

import pytest
from bench.limits import Need
from bench.limits import play_limits
from loguru import logger

from fleet_builders import make_worker
from fleet_builders import ms
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import BoxId
from spanshunt.platform.wire import decode_rate
from spanshunt.systems.throttling import is_over
from spanshunt.systems.throttling import take_limit
from spanshunt.tables.notices import RateLimit
from spanshunt.tables.workers import WorkerRow

ME = BoxId("box-1")


def limited(per_s: float = 1.7, at_s: float = 1.0) -> WorkerRow:
    """Return a worker that named a limit."""
    row = make_worker("w-1")
    take_limit(row, RateLimit(per_s, ms(at_s), ME))
    return row


def events_of(lines: list[dict[str, object]], event: str) -> list[dict[str, object]]:
    return [line for line in lines if line["event"] == event]


@pytest.fixture
def lines():
    """Return the log lines of a test, as fields."""
    found: list[dict[str, object]] = []

    def keep(message) -> None:
        record = message.record
        found.append({"event": record["message"], **record["extra"].get("data", {})})

    sink = logger.add(keep, level="INFO")
    yield found
    logger.remove(sink)


# Guards against boxes that send a worker in need as much as before it named its limit.
@pytest.mark.parametrize("boxes", [1, 6, 61])
@pytest.mark.parametrize("need", list(Need), ids=lambda need: need.name.lower())
def test_worker_gets_no_more_than_the_rate_that_it_named(need, boxes):
    outcome = play_limits(need, boxes, seed=1)
    assert outcome.over <= 0, outcome
    assert not outcome.broken


@pytest.mark.parametrize(
    ("texts", "per_s"),
    [([], None), (["1.7"], 1.7), (["12"], 12.0), ([" 0 "], 0.0), (["0.25"], 0.25)],
)
def test_limit_is_read_as_a_decimal_number(texts, per_s):
    assert decode_rate(texts).ok_value == per_s


@pytest.mark.parametrize(
    "texts",
    [
        ["-1"],
        ["nan"],
        ["inf"],
        ["1e9"],
        ["soon"],
        [""],
        ["1,5"],
        ["1", "2"],
        ["9" * 40],
    ],
)
def test_limit_that_is_no_number_is_named_and_tells_nothing(texts):
    assert "one decimal number is allowed" in decode_rate(texts).err_value


def test_older_word_does_not_replace_a_newer_one():
    row = limited(per_s=1.7, at_s=2.0)
    assert not take_limit(row, RateLimit(9.0, ms(1.0), ME))
    assert row.limit.per_s == 1.7
    assert take_limit(row, RateLimit(2.5, ms(3.0), ME))
    assert not take_limit(row, RateLimit(2.5, ms(4.0), ME))


def test_answer_that_crossed_the_limit_does_not_end_it():
    row = limited(at_s=1.0)
    assert not is_over(row, sent=ms(0.9))
    assert is_over(row, sent=ms(1.1))
    assert not is_over(make_worker("w-2"), sent=ms(1.1))


async def test_limit_is_logged_when_it_changes_and_when_it_ends(lines):
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for worker in fleet.workers.values():
            worker.says["Server-Limit"] = "20"
        for _ in range(6):
            assert (await fleet.ask(box, "/look/")).status in (200, 503)
        told = events_of(lines, "worker limit")
        assert {line["worker"] for line in told} <= {"p-1", "p-2"}
        assert len(told) == len({line["worker"] for line in told})
        assert all(line["per_s"] == 20.0 and line["source"] == "box-1" for line in told)
        for worker in fleet.workers.values():
            worker.says.clear()
        await fleet.ask(box, "/look/")
        over = events_of(lines, "worker limit")[len(told) :]
        assert [(line["per_s"], line["before"]) for line in over] == [(None, 20.0)]


async def test_word_that_can_not_be_used_is_logged_once_and_the_answer_passed_on(lines):
    async with running_fleet() as fleet:
        for worker in fleet.workers.values():
            worker.says["Server-Limit"] = "plenty"
        for _ in range(8):
            assert (await fleet.ask(fleet.boxes[0], "/look/")).status == 200
        odd = events_of(lines, "worker's word can't be used")
        assert 1 <= len(odd) <= 2
        assert "'plenty'" in str(odd[0]["detail"])
        rows = fleet.boxes[0].node.fleet.workers.rows.values()
        await until(lambda: all(row.limit is None for row in rows), "no limit is taken")
