"""Requests that may run once: no second run, and a broken check harms no other."""

import asyncio

import pytest

from builders import a_system
from fleet_builders import config
from fleet_builders import event_ids
from fleet_builders import run_count
from fleet_builders import running_fleet
from fleet_builders import until
from spanshunt.systems.invariants import check_single_send


async def test_unsure_answer_that_may_run_once_goes_to_its_caller():
    """Guards against an escalation that runs such a request again: the check that
    it is sent once ended the box, with all that it had under way."""
    async with running_fleet() as fleet:
        routes = [{**route, "StreamResume": False} for route in config()["Routes"]]
        await fleet.configure(config(8, Routes=routes))
        box = fleet.boxes[0]
        await until(lambda: box.node.fleet.catalog.version == 8, "version 8")
        for worker in fleet.workers.values():
            worker.sureness = {"small": 2, "large": 90}
        for number in range(6):
            name = f"once-{number}"
            reply = await fleet.ask(
                box, "/long/", Attempt_Id=name, Token_Counts="4000,10"
            )
            assert event_ids(reply.body) == [1, 2, 3, 4]
            assert run_count(fleet, name) == 1
        assert not box.node.broken


async def test_broken_invariant_of_a_request_ends_that_request_alone(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against a check of one request that cuts all the others of a box."""

    def check_but_one(sends: int, request: str) -> None:
        check_single_send(int(request == "bad"), request)

    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        monkeypatch.setattr("spanshunt.forwarding.check_single_send", check_but_one)
        for worker in fleet.workers.values():
            worker.holds = lambda _request: 0.3
        beside = asyncio.create_task(fleet.ask(box, "/view/", Attempt_Id="beside"))
        await asyncio.sleep(0.1)
        bad = await fleet.ask(box, "/view/", Attempt_Id="bad")
        assert bad.status == 502
        assert not run_count(fleet, "bad")
        assert (await beside).status == 200
        assert not box.node.broken
        assert box.node.counters.value("request_invariants_broken") == 1


async def test_broken_invariant_of_a_plain_call_ends_that_call_alone(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guards against the same in the daemon that keeps no platform's list."""
    left = [1]

    def check_but_one(_sends: int, request: str) -> None:
        check_single_send(left.pop() if left else 0, request)

    async with a_system() as system:
        monkeypatch.setattr("spanshunt.forwarding.check_single_send", check_but_one)
        status, problem = await system.call("POST", "/rights")
        assert status == 502
        assert problem["run"] == "unknown"
        status, _answer = await system.call("POST", "/rights")
        assert status == 200
        assert system.daemons[0].broken is None
