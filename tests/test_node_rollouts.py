"""Whole boxes on the platform: roll-outs that operators order."""

import asyncio
import json

import pytest

from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import ServiceId
from spanshunt.standins.store import EndpointFault
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.tables.rollouts import Verdict


def status_of(fleet: TestFleet, service: str = "writer") -> str:
    raw = fleet.store.topic("keyed.status").values.get(f"rollout/{service}")
    return json.loads(raw)["State"] if raw else ""


async def order(fleet: TestFleet, version: str, seconds: float) -> None:
    body = {"Backend": "writer", "TargetVersion": version, "DurationS": seconds}
    await fleet.store.put("keyed.op", "rollout/writer", body)


async def ask_all(fleet: TestFleet, seconds: float, **headers: str) -> list[int]:
    """Ask long requests of all boxes for some time; return the statuses."""
    statuses = []
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    number = 0
    while loop.time() < end:
        box = fleet.boxes[number % len(fleet.boxes)]
        name = f"session-{number % 40}"
        reply = await fleet.ask(box, "/long/", Session=name, **headers)
        statuses.append(reply.status)
        number += 1
        await asyncio.sleep(0.005)
    return statuses


class TestRollOut:
    """Orders carried to their end, by whichever box is there."""

    async def test_sound_version_succeeds_and_gets_everything(self):
        async with running_fleet(boxes=2) as fleet:
            await fleet.add_worker("n-1", version="v2")
            await order(fleet, "v2", 4.0)
            statuses = await ask_all(fleet, 3.0)
            # A version succeeds only once enough of its answers are known.
            for _ in range(6):
                if status_of(fleet) == "succeeded":
                    break
                statuses += await ask_all(fleet, 0.5)
            assert set(statuses) == {200}
            assert status_of(fleet) == "succeeded"
            done = [box.node.fleet.rollouts.rows for box in fleet.boxes]
            service = ServiceId("writer")
            await until(
                lambda: all(
                    rows[service].verdict is Verdict.SUCCEEDED for rows in done
                ),
                "both boxes know",
            )
            before = len(fleet.workers["w-1"].seen) + len(fleet.workers["w-2"].seen)
            await ask_all(fleet, 0.3)
            after = len(fleet.workers["w-1"].seen) + len(fleet.workers["w-2"].seen)
            assert after == before

    async def test_log_tells_why_a_session_got_its_version(self, monkeypatch):
        lines: list[dict[str, object]] = []

        def keep(level: str, message: str, **fields: object) -> None:
            lines.append({"event": message, **fields})

        monkeypatch.setattr("spanshunt.catalog_calls.log_event", keep)
        async with running_fleet() as fleet:
            await fleet.add_worker("n-1", version="v2")
            await fleet.ask(fleet.boxes[0], "/long/", Session="mine")
            await order(fleet, "v2", 20.0)
            rows = fleet.boxes[0].node.fleet.rollouts.rows
            await until(lambda: ServiceId("writer") in rows, "the order is known")
            await fleet.ask(fleet.boxes[0], "/long/", Session="mine")
        sent = [line for line in lines if line["event"] == "dispatch"]
        assert [line["session"] for line in sent] == ["mine"] * len(sent)
        assert "version_by" not in sent[0]
        last = sent[-1]
        assert last["version_by"] == "sessions stay for now"
        assert last["version"] == "v1" and last["order_age_ms"] >= 0
        assert last["share"] == 0.0
        json.dumps(sent)

    async def test_bad_version_is_rolled_back_and_gets_nothing_more(self):
        async with running_fleet(boxes=2) as fleet:
            bad = await fleet.add_worker("n-1", version="v2")
            bad.fault = WorkerFault.ERROR
            await order(fleet, "v2", 8.0)
            statuses = []
            for _ in range(12):
                statuses += await ask_all(fleet, 0.5)
                if status_of(fleet) == "rolled_back":
                    break
            assert status_of(fleet) == "rolled_back"
            assert statuses.count(200) == len(statuses)
            seen = len(bad.seen)
            await ask_all(fleet, 0.5)
            assert len(bad.seen) == seen
            assert seen < 0.15 * len(statuses) + 30

    async def test_write_whose_answer_is_lost_is_not_contradicted(self):
        async with running_fleet(boxes=2) as fleet:
            await fleet.add_worker("n-1", version="v2")
            fleet.boxes[0].endpoint.fault = EndpointFault.LOST
            await order(fleet, "v2", 2.0)
            await until(lambda: status_of(fleet) == "succeeded", "succeeded", 6)
            for box in fleet.boxes:
                rows = box.node.fleet.rollouts.rows
                await until(
                    lambda rows=rows: rows[ServiceId("writer")].recorded, "recorded"
                )
            terminal = [
                json.loads(record.value)["State"]
                for record in fleet.store.topic("keyed.status").records
            ]
            assert set(terminal) <= {"running", "succeeded"}

    async def test_box_that_starts_midway_goes_on_where_the_others_are(self):
        async with running_fleet() as fleet:
            await fleet.add_worker("n-1", version="v2")
            await order(fleet, "v2", 20.0)
            await until(lambda: status_of(fleet) == "running", "announced")
            await asyncio.sleep(1.5)
            second = await fleet.add_box()
            service = ServiceId("writer")
            rows = second.node.fleet.rollouts.rows
            first_began = fleet.boxes[0].node.fleet.rollouts.rows[service].began
            await until(lambda: service in rows, "the order is known")
            # The order comes before the record of when it began; boxes of one process
            # share a clock, so what counts is that both believe the same beginning.
            await until(
                lambda: abs(rows[service].began - first_began) < 200, "same beginning"
            )

    @pytest.mark.parametrize(("box", "step"), [(0, -2_000), (1, 2_000)])
    async def test_order_does_not_begin_earlier_by_a_time_of_day(self, box, step):
        """The same cause as of moved sessions: one box's word, and all decide by it.

        A box whose time of day has jumped records when an order began, or reads it;
        boxes that saw the order come took that over, passed it on, and sessions moved
        while the first half was not over.
        """
        async with running_fleet(boxes=2) as fleet:
            clock = fleet.boxes[box].node.clock
            right = clock.wall
            clock.wall = lambda: right() + step
            await fleet.add_worker("n-1", version="v2")
            began = clock.now()
            await order(fleet, "v2", 20.0)
            await until(lambda: status_of(fleet) == "running", "announced")
            await asyncio.sleep(2.0)
            service = ServiceId("writer")
            rows = [at.node.fleet.rollouts.rows[service] for at in fleet.boxes]
            assert all(abs(row.began - began) < 500 for row in rows)

    async def test_ended_order_is_not_begun_again_by_a_new_box(self):
        async with running_fleet() as fleet:
            await fleet.add_worker("n-1", version="v2")
            await order(fleet, "v2", 1.0)
            await until(lambda: status_of(fleet) == "succeeded", "succeeded", 5)
            second = await fleet.add_box()
            rows = second.node.fleet.rollouts.rows
            await until(lambda: ServiceId("writer") in rows, "the order is known")
            await until(
                lambda: rows[ServiceId("writer")].verdict is Verdict.SUCCEEDED, "ended"
            )

    @pytest.mark.parametrize("announced", [False, True])
    async def test_new_box_knows_what_was_taken_back_before(self, announced):
        async with running_fleet() as fleet:
            bad = await fleet.add_worker("n-1", version="v2")
            bad.fault = WorkerFault.ERROR
            await order(fleet, "v2", 8.0)
            while status_of(fleet) != "rolled_back":
                await ask_all(fleet, 0.5)
            if not announced:
                fleet.boxes[0].endpoint.fault = EndpointFault.SILENT
            await order(fleet, "v3", 20.0)
            if announced:
                await until(lambda: status_of(fleet) == "running", "announced")
            second = await fleet.add_box()
            rows = second.node.fleet.rollouts.rows
            await until(lambda: ServiceId("writer") in rows, "the order is known")
            await until(lambda: rows[ServiceId("writer")].barred == {"v2"}, "barred")
