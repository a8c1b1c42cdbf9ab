"""Streams that a worker breaks off while no other worker takes them for a moment.

Guards against the loss of a stream that has begun: a stopping box closed its caller's
connection in the middle of the answer, with an attempt and most of the time left, when
the next workers refused connections or rejected the request.
"""

import asyncio
import contextlib
import typing as t

from fleet_builders import Box
from fleet_builders import Reply
from fleet_builders import TestFleet
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.ids import Millis
from spanshunt.ids import ServiceId
from spanshunt.standins.worker import WorkerStandin
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.systems.ramping import apply_verdict
from spanshunt.systems.repeats import RepeatBounds
from spanshunt.tables.rollouts import Verdict

WRITER = ServiceId("writer")
EVENTS = 12


def _writers(fleet: TestFleet, version: str = "v1") -> list[WorkerStandin]:
    return [
        worker
        for name, worker in fleet.workers.items()
        if not name.startswith("p-") and worker.version == version
    ]


async def _add_writers(fleet: TestFleet, number: int) -> None:
    """Add workers, and wait until the boxes know them."""
    for one in range(number):
        await fleet.add_worker(f"o-{one}")
    for box in fleet.boxes:
        rows = box.node.fleet.workers.rows
        await until(lambda rows=rows: len(rows) == len(fleet.workers), "the list")


def _ids(reply: Reply) -> list[int]:
    lines = reply.body.decode().splitlines()
    return [int(line[3:]) for line in lines if line.startswith("id:")]


@contextlib.asynccontextmanager
async def _stream_at_stopping_box(
    fleet: TestFleet, **headers: str
) -> t.AsyncIterator[tuple[Box, asyncio.Task[Reply]]]:
    """Begin a stream, and the stop of its box; at the end the stream is complete."""
    box = fleet.boxes[0]
    for worker in _writers(fleet):
        worker.event_s, worker.events = 0.1, EVENTS
    asking = asyncio.create_task(fleet.ask(box, "/long/", Attempt_Id="st", **headers))
    await until(lambda: any("st" in w.ran for w in _writers(fleet)), "it runs")
    await asyncio.sleep(0.25)
    stopping = asyncio.create_task(box.node.stop())
    yield box, asking
    assert _ids(await asking) == list(range(1, EVENTS + 1))
    await stopping


def _running_at(fleet: TestFleet) -> WorkerStandin:
    """Return the worker that the stream was sent to last."""
    ran = [worker for worker in _writers(fleet) if "st" in worker.ran]
    return max(ran, key=lambda worker: worker.seen[-1].at)


async def test_stream_outlives_the_workers_of_a_replaced_version() -> None:
    """All of them stop at the success, of which the box hears a little later."""
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        new = await fleet.add_worker("n-1", version="v2")
        new.events = EVENTS
        await _add_writers(fleet, 10)
        body = {"Backend": "writer", "TargetVersion": "v2", "DurationS": 60.0}
        await fleet.store.put("keyed.op", "rollout/writer", body)
        rows = box.node.fleet.rollouts.rows
        await until(lambda: WRITER in rows, "the order")
        async with _stream_at_stopping_box(fleet, Session="s-1"):
            for worker in _writers(fleet):
                worker.end()
            await asyncio.sleep(0.4)
            now = Millis(box.node.clock.now())
            apply_verdict(rows[WRITER], Verdict.SUCCEEDED, "told", now, recorded=True)


async def test_stream_of_the_leaving_version_is_not_resumed_on_a_bad_one() -> None:
    """Guards against a stream that had two attempts left, both on the new version."""
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for number in range(2):
            new = await fleet.add_worker(f"n-{number}", version="v2")
            new.fault, new.events = WorkerFault.ERROR, EVENTS
        await _add_writers(fleet, 2)
        body = {"Backend": "writer", "TargetVersion": "v2", "DurationS": 60.0}
        await fleet.store.put("keyed.op", "rollout/writer", body)
        rows = box.node.fleet.rollouts.rows
        await until(lambda: WRITER in rows, "the order")
        async with _stream_at_stopping_box(fleet, Session="s-1"):
            # From now on, all that is new enters.
            rows[WRITER].began = Millis(box.node.clock.now() - 57_500)
            _running_at(fleet).break_off()


async def test_stream_waits_while_all_workers_reject_it() -> None:
    async with running_fleet() as fleet:
        fleet.boxes[0].node.core.bounds = RepeatBounds(ratio=0.9, slack=200.0)
        await _add_writers(fleet, 4)
        async with _stream_at_stopping_box(fleet):
            for worker in _writers(fleet):
                worker.fault = WorkerFault.FULL
            _running_at(fleet).break_off()
            await asyncio.sleep(0.5)
            for worker in _writers(fleet):
                worker.fault = WorkerFault.NONE


async def test_stream_waits_while_the_retry_budget_is_used_up() -> None:
    async with running_fleet() as fleet, _stream_at_stopping_box(fleet) as (box, _):
        before = box.node.core.bounds
        box.node.core.bounds = RepeatBounds(ratio=0.0, slack=0.0)
        _running_at(fleet).break_off()
        await asyncio.sleep(0.4)
        assert sum(worker.ran.count("st") for worker in _writers(fleet)) == 1
        box.node.core.bounds = before


async def test_stream_waits_while_no_worker_is_known() -> None:
    async with running_fleet() as fleet, _stream_at_stopping_box(fleet) as (box, _):
        workers = box.node.fleet.workers
        rows = dict(workers.rows)
        workers.rows.clear()
        workers.invalidate_index()
        _running_at(fleet).break_off()
        await asyncio.sleep(0.4)
        workers.rows.update(rows)
        workers.invalidate_index()


async def test_run_of_a_worker_that_ended_does_not_use_up_an_attempt() -> None:
    """Three attempts are allowed: an escalation, and two workers that end."""
    async with running_fleet() as fleet:
        await _add_writers(fleet, 4)
        for worker in _writers(fleet):
            worker.sureness = {"small": 2, "large": 90}
        async with _stream_at_stopping_box(fleet, Token_Counts="4000,10"):
            runs = 2
            for _ in range(2):
                await until(
                    lambda n=runs: sum("st" in w.ran for w in _writers(fleet)) == n,
                    "the next run",
                )
                await asyncio.sleep(0.25)
                _running_at(fleet).end()
                runs += 1


async def test_stream_whose_attempts_are_used_up_is_not_held() -> None:
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        for worker in _writers(fleet):
            worker.fault, worker.events = WorkerFault.CUT, 40
        loop = asyncio.get_running_loop()
        begun = loop.time()
        asked = await asyncio.gather(fleet.ask(box, "/long/"), return_exceptions=True)
        assert isinstance(asked[0], Exception)
        assert loop.time() - begun < 2.0
        assert not box.node.counters.value("resumptions_waited")
