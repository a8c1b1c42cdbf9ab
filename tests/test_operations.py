"""docs/OPERATIONS.md: from a failed request's id to its cause, by the page's steps."""

import asyncio
import contextlib
import json
import os
import pathlib
import tempfile

import pytest
from loguru import logger

from builders import run_tool
from fleet_builders import KEY
from fleet_builders import TestFleet
from fleet_builders import config
from fleet_builders import running_fleet
from fleet_builders import until
from fleet_builders import without_key
from spanshunt.logs import LineQueue
from spanshunt.logs import _json_sink
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.tables.rollouts import Verdict

MAX_LINES = 1_000_000
"""Log lines that a test may write; they are flushed at its end only."""

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "OPERATIONS.md"


@contextlib.contextmanager
def logging_to(path: pathlib.Path):
    fd = os.open(path, os.O_CREAT | os.O_WRONLY)
    queue = LineQueue(fd, limit=MAX_LINES)
    handler = logger.add(_json_sink(queue, "box-1"), format="{message}")
    try:
        yield
    finally:
        logger.remove(handler)
        assert not queue.dropped
        queue.flush()
        os.close(fd)


def traced(path: pathlib.Path, request: str) -> list[str]:
    """Follow the page's second step and return the lines marked as the request's."""
    done = run_tool("trace", request, str(path))
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


def mine(lines: list[str]) -> list[str]:
    return [line for line in lines if line.startswith(">")]


def web(fleet: TestFleet, fault: WorkerFault) -> None:
    for name in ("p-1", "p-2"):
        fleet.workers[name].fault = fault


async def test_worker_failure(tmp_path):
    path = tmp_path / "box.log"
    with logging_to(path):
        async with running_fleet() as fleet:
            web(fleet, WorkerFault.ERROR)
            reply = await fleet.ask(fleet.boxes[0], "/look/", Attempt_Id="f1")
            assert reply.status == 500
    lines = mine(traced(path, "f1"))
    assert "outcome=worker_failure" in lines[-1]
    blamed = [line for line in lines if "bad answer" in line]
    assert all("detail=status 500" in line for line in blamed)
    assert any("worker=p-1" in line for line in blamed)
    assert any("worker=p-2" in line for line in blamed)


async def test_deadline(tmp_path):
    path = tmp_path / "box.log"
    with logging_to(path):
        async with running_fleet() as fleet:
            web(fleet, WorkerFault.MUTE)
            reply = await fleet.ask(fleet.boxes[0], "/view/", Attempt_Id="f2")
            assert reply.status == 504
    lines = mine(traced(path, "f2"))
    assert "outcome=deadline" in lines[-1]
    sent, silent, failed, settled = lines
    assert "dispatch" in sent and "worker=p-" in sent
    worker = sent.partition("worker=")[2].split()[0]
    assert f"worker silent: worker={worker}" in silent
    assert f"attempt failed: worker={worker}" in failed
    assert f"{worker}::late:" in settled
    assert not any("bad answer" in line for line in lines)


async def test_key_taken_away(tmp_path):
    path = tmp_path / "box.log"
    with logging_to(path):
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            await fleet.configure(without_key(config(8), KEY))
            await until(lambda: box.node.fleet.catalog.version == 8, "version 8")
            reply = await fleet.ask(box, "/view/", Attempt_Id="f3")
            assert reply.status == 401
    lines = traced(path, "f3")
    refused = mine(lines)[-1]
    assert "outcome=bad-credential" in refused and "catalog=8" in refused
    taken = [line for line in lines if "catalog: version=8" in line]
    assert taken and "source=store" in taken[0]
    assert "proof_by=box-1" in refused and "waiting_ms=" in refused
    age = int(refused.partition("proof_age_ms=")[2].split()[0])
    assert 0 <= age < 10_000


async def test_bad_version(tmp_path):
    path = tmp_path / "box.log"
    with logging_to(path):
        async with running_fleet() as fleet:
            bad = await fleet.add_worker("n-1", version="v2")
            bad.fault = WorkerFault.ERROR
            box = fleet.boxes[0]
            body = {"Backend": "writer", "TargetVersion": "v2", "DurationS": 8.0}
            await fleet.store.put("keyed.op", "rollout/writer", body)
            rows = box.node.fleet.rollouts.rows
            await until(lambda: "writer" in rows, "the order is known")
            row = rows["writer"]
            number = 0
            while row.verdict is Verdict.RUNNING:
                number += 1
                await fleet.ask(box, "/long/", Attempt_Id=f"r{number}")
            judged = len(bad.seen)
            await until(lambda: row.recorded, "the verdict is recorded")
    lines = mine(traced(path, bad.seen[judged - 1].request))
    assert any("dispatch" in line and "version=v2" in line for line in lines)
    assert any("bad answer" in line and "version=v2" in line for line in lines)
    found = [json.loads(line) for line in path.read_text().splitlines()]
    told = [line for line in found if line["event"] == "roll-out evidence"][-1]
    assert told["faulty"] == told["answers"] == told["entering"] == judged
    assert told["leaving"] > judged and told["usual"] == 0.0
    assert (told["heard"], told["boxes"], told["ceiling"]) == (1, 1, 0.1)
    verdicts = [line for line in found if line["event"] == "roll-out judged"]
    assert f"{judged} of {judged} answers failed" in verdicts[0]["reason"]


async def test_kept_back(tmp_path):
    path = tmp_path / "box.log"
    with logging_to(path):
        async with running_fleet() as fleet:
            await fleet.add_worker("w-3")
            box = fleet.boxes[0]
            rows = box.node.fleet.workers.rows
            await until(lambda: "w-3" in rows, "all engines are known")
            for name in ("w-1", "w-2", "w-3"):
                fleet.workers[name].ends_on = b"deadly"
            await fleet.ask(box, "/long/x", body=b"deadly", Attempt_Id="k1")
            reply = await fleet.ask(box, "/long/x", body=b"deadly", Attempt_Id="k2")
            assert reply.status == 400
    settled = mine(traced(path, "k2"))[-1]
    assert "outcome=kept-back" in settled
    content = next(iter(box.node.fleet.suspects))
    assert content in settled
    first = traced(path, "k1")
    sent = [line for line in mine(first) if "dispatch" in line]
    assert len(sent) == 3 and all(f"fingerprint={content}" in line for line in sent)
    ended = [line for line in first if "worker ended" in line]
    assert {"w-1", "w-2", "w-3"} == {
        line.partition("worker=")[2].split()[0] for line in ended
    }
    kept = [line for line in first if "content kept back" in line]
    assert len(kept) == 1 and content in kept[0] and "own evidence" in kept[0]


def test_unknown_request_is_said():
    with tempfile.NamedTemporaryFile() as log:
        log.write(b'{"event":"started","box":"b","at":1.0}\n')
        log.flush()
        with pytest.raises(AssertionError, match="not in 1 lines"):
            traced(pathlib.Path(log.name), "nobody")


@pytest.mark.parametrize(
    "outcome",
    [
        "worker_failure",
        "deadline",
        "not-found",
        "bad-credential",
        "cut",
        "no-worker",
        "kept-back",
    ],
)
def test_page_names_each_outcome(outcome):
    assert f"`{outcome}`" in PAGE.read_text()


async def test_late_then_twice(tmp_path):
    """The caller's next try has an id of its own and came to another box."""
    path = tmp_path / "all.log"
    with logging_to(path):
        async with running_fleet(boxes=2) as fleet:
            late, again = fleet.boxes
            for worker in fleet.workers.values():
                worker.event_s = 0.1
            ask = [
                asyncio.create_task(fleet.ask(box, "/long/", Attempt_Id=name))
                for box, name in ((late, "first-try"), (again, "second-try"))
            ]
            replies = await asyncio.gather(*ask)
            other = await fleet.ask(again, "/long/other", Attempt_Id="another")
            assert {reply.status for reply in [*replies, other]} == {200}
    lines = traced(path, "first-try")
    assert "outcome=delivered" in mine(lines)[-1]
    tries = [line for line in lines if line.startswith("= second-try")]
    assert any("outcome=delivered" in line for line in tries)
    assert any("dispatch" in line for line in tries)
    assert not any("another" in line.split()[:2] for line in lines)


async def test_hung_beside_another_kind(tmp_path):
    """One plain worker is silent to lookups; streams and the other worker go on."""
    path = tmp_path / "box.log"
    with logging_to(path):
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            fleet.workers["p-1"].fault = WorkerFault.MUTE
            box.node.fleet.workers.rows["p-2"].inflight = 30
            hung = asyncio.create_task(fleet.ask(box, "/look/", Attempt_Id="hung"))
            healthy = await fleet.ask(box, "/long/", Attempt_Id="healthy")
            assert healthy.status == 200
            assert not hung.done()
            box.node.fleet.workers.rows["p-2"].inflight = 0
            assert (await hung).status == 200
    lines = mine(traced(path, "hung"))
    held = [line for line in lines if "attempt failed" in line]
    assert len(held) == 1
    assert "worker=p-1" in held[0] and "no answer within" in held[0]
    assert "worker=p-2" in lines[-2] or "p-2" in lines[-1]
    other = mine(traced(path, "healthy"))
    assert not any("p-1" in line for line in other)
