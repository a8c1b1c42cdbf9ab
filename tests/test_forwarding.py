"""Forwarding of requests by a complete box to stand-in workers with faults."""

import asyncio
import json

import aiohttp
import pytest

from fleet_builders import HOST
from fleet_builders import KEY
from fleet_builders import TestFleet
from fleet_builders import config
from fleet_builders import event_ids
from fleet_builders import run_count
from fleet_builders import running_fleet
from fleet_builders import until
from fleet_builders import without_key
from spanshunt.ids import WorkerId
from spanshunt.standins.worker_faults import WorkerFault
from spanshunt.systems.repeats import RepeatBounds


def _set_fault(
    fleet: TestFleet, service: str, fault: WorkerFault, left: int = -1
) -> None:
    prefix = {"writer": "w-", "web": "p-"}[service]
    for name, worker in fleet.workers.items():
        if name.startswith(prefix):
            worker.fault, worker.faults_left = fault, left


class TestWhole:
    """Plain requests get the worker's unchanged answer, or a correct refusal."""

    async def test_answer_of_worker_is_unchanged(self):
        async with running_fleet() as fleet:
            reply = await fleet.ask(fleet.boxes[0], "/view/a?b=c%20d", Attempt_Id="me")
            assert reply.status == 200
            assert reply.headers["Response-Seal"] == "seal-of-me"
            assert reply.headers["Attempt-Id"] == "me"
            seen = next(
                seen for worker in fleet.workers.values() for seen in worker.seen
            )
            assert seen.target == "/view/a?b=c%20d"
            assert seen.headers["tenant"] == "museo"
            assert "credential" not in seen.headers

    async def test_system_headers_of_callers_are_dropped(self):
        forged = {
            "Tenant": "radio",
            "Hold": "h",
            "Pin-Ms": "9",
            "Kv-From": "x",
            "Kv-Backup": "x",
            "Kv-Fetch": "x",
            "Expect-Instance": "other",
            "Request-Priority": "0",
        }
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            headers = fleet.headers("/view/", KEY, {}) | forged
            async with fleet.http.post(box.base + "/view/", headers=headers) as resp:
                assert resp.status == 200
            seen = next(
                seen for worker in fleet.workers.values() for seen in worker.seen
            )
            assert seen.headers["tenant"] == "museo"
            left = {"hold", "pin-ms", "kv-from", "kv-backup", "kv-fetch"}
            assert not left & set(seen.headers)

    async def test_forwarded_deadline_is_time_left(self):
        async with running_fleet() as fleet:
            await fleet.ask(fleet.boxes[0], "/view/", Deadline_Ms="900")
            seen = next(
                seen for worker in fleet.workers.values() for seen in worker.seen
            )
            assert 0 < int(seen.headers["deadline-ms"]) <= 900

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [("/nowhere/", KEY, 404), ("/view/", "unknown", 401), ("/view/", "", 401)],
    )
    async def test_unknown_route_or_credential_is_refused(
        self, path: str, key: str, status: int
    ):
        async with running_fleet() as fleet:
            reply = await fleet.ask(fleet.boxes[0], path, key=key)
            assert reply.status == status

    @pytest.mark.parametrize("deadline", ["²", "9" * 5_000, "-5", "soon", ""])
    async def test_invalid_deadline_gets_400(self, deadline: str):
        async with running_fleet() as fleet:
            reply = await fleet.ask(fleet.boxes[0], "/view/", Deadline_Ms=deadline)
            assert reply.status == 400
            assert b"Deadline-Ms" in reply.body

    @pytest.mark.parametrize(
        "parts", ["aa:²,bb:600", "aa:" + "9" * 5_000 + ",bb:1", "aa:99999999,bb:1", ":"]
    )
    async def test_invalid_prompt_parts_are_ignored(self, parts: str):
        async with running_fleet() as fleet:
            reply = await fleet.ask(fleet.boxes[0], "/long/", Prompt_Prefix=parts)
            assert reply.status == 200
            kept = [row.kept for row in fleet.boxes[0].node.fleet.workers.rows.values()]
            assert sum(one.tokens for one in kept) in (1_000, 2_000)

    async def test_full_workers_cause_503_without_run(self):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", WorkerFault.FULL)
            reply = await fleet.ask(fleet.boxes[0], "/view/", Attempt_Id="full")
            assert reply.status == 503
            assert 0 < float(reply.headers["Retry-After"]) < 1
            assert run_count(fleet, "full") == 0

    async def test_full_worker_causes_retry_elsewhere(self):
        async with running_fleet() as fleet:
            fleet.workers["p-1"].fault = WorkerFault.FULL
            for number in range(6):
                reply = await fleet.ask(
                    fleet.boxes[0], "/view/", Attempt_Id=f"n{number}"
                )
                assert reply.status == 200
                assert run_count(fleet, f"n{number}") == 1

    @pytest.mark.parametrize(
        "fault",
        [
            WorkerFault.MUTE,
            WorkerFault.DROP,
            WorkerFault.OTHER,
            WorkerFault.RESET,
            WorkerFault.UNSEALED,
        ],
    )
    async def test_non_repeatable_request_runs_once_and_may_have_run(self, fault):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", fault)
            reply = await fleet.ask(
                fleet.boxes[0], "/view/", Attempt_Id="once", Deadline_Ms="700"
            )
            assert reply.status in (502, 504)
            assert "Response-Seal" not in reply.headers
            reached = sum(
                seen.request == "once"
                for worker in fleet.workers.values()
                for seen in worker.seen
            )
            assert reached == 1

    @pytest.mark.parametrize(
        "fault",
        [
            WorkerFault.ERROR,
            WorkerFault.MUTE,
            WorkerFault.DROP,
            WorkerFault.OTHER,
            WorkerFault.RESET,
            WorkerFault.UNSEALED,
        ],
    )
    async def test_repeatable_request_is_retried_elsewhere(self, fault):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", fault, left=0)
            first, second = fleet.workers["p-1"], fleet.workers["p-2"]
            first.fault, first.faults_left = fault, -1
            for number in range(4):
                reply = await fleet.ask(
                    fleet.boxes[0], "/look/", Attempt_Id=f"r{number}"
                )
                assert reply.status == 200, number
                assert reply.headers["Response-Seal"] == f"seal-of-r{number}"
            assert second.ran

    async def test_error_response_of_worker_is_relayed(self):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", WorkerFault.ERROR)
            reply = await fleet.ask(fleet.boxes[0], "/look/", Attempt_Id="bad")
            assert reply.status == 500
            assert reply.headers["Response-Seal"] == "seal-of-bad"
            assert run_count(fleet, "bad") == 2

    @pytest.mark.parametrize("fault", [WorkerFault.EXTRA, WorkerFault.LATE_EXTRA])
    async def test_surplus_answers_are_dropped(self, fault):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", fault)
            for number in range(8):
                name = f"s{number}"
                reply = await fleet.ask(fleet.boxes[0], "/look/", Attempt_Id=name)
                assert reply.status == 200
                assert name.encode() in reply.body
                await asyncio.sleep(0.03 * (number % 3))

    async def test_repeat_uses_new_connection(self):
        """Guards against repeats on reused connections.

        Both attempts can get a surplus answer to another request on such a connection.
        """
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", WorkerFault.OWED)
            for number in range(12):
                name = f"s{number}"
                reply = await fleet.ask(fleet.boxes[0], "/look/", Attempt_Id=name)
                assert reply.status == 200, number
                assert name.encode() in reply.body

    async def test_stale_connection_is_no_failure_of_worker(self):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", WorkerFault.FORGET)
            for number in range(8):
                reply = await fleet.ask(
                    fleet.boxes[0], "/look/", Attempt_Id=f"f{number}"
                )
                assert reply.status == 200, number
            rows = fleet.boxes[0].node.fleet.workers.rows
            assert {rows[name].ejected_until for name in ("p-1", "p-2")} == {0}

    async def test_replaced_worker_gets_no_more_requests(self):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", WorkerFault.REPLACED)
            fleet.workers["p-2"].fault = WorkerFault.NONE
            for number in range(5):
                reply = await fleet.ask(
                    fleet.boxes[0], "/view/", Attempt_Id=f"q{number}"
                )
                assert reply.status == 200
            assert len(fleet.workers["p-1"].seen) <= 1

    async def test_silent_worker_is_ejected_by_non_repeatable_request(self):
        """Guards against writes that keep going to a silent worker.

        Without the ejection 75 writes in one day were sent to the same silent worker.
        """
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            rows = box.node.fleet.workers.rows
            fleet.workers["p-1"].fault = WorkerFault.MUTE
            rows[WorkerId("p-2")].inflight = 30
            asked = asyncio.create_task(
                fleet.ask(box, "/view/", Attempt_Id="held", Deadline_Ms="900")
            )
            out = "p-1 is ejected while its answer is awaited"
            await until(lambda: rows[WorkerId("p-1")].ejected_until > 0, out, 0.8)
            rows[WorkerId("p-2")].inflight = 0
            for number in range(8):
                reply = await fleet.ask(box, "/view/", Attempt_Id=f"n{number}")
                assert reply.status == 200
            assert (await asked).status == 504
            assert rows[WorkerId("p-1")].failures >= 2

    async def test_final_answer_at_route_timeout(self):
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", WorkerFault.MUTE)
            loop = asyncio.get_running_loop()
            begun = loop.time()
            reply = await fleet.ask(fleet.boxes[0], "/view/")
            took = loop.time() - begun
            assert reply.status == 504
            assert 1.4 < took < 2.0


class TestStream:
    """Streams deliver each complete event once, from one run or resumed."""

    async def test_events_and_model(self):
        async with running_fleet() as fleet:
            reply = await fleet.ask(fleet.boxes[0], "/long/", Attempt_Id="st")
            assert reply.status == 200
            assert event_ids(reply.body) == [1, 2, 3, 4]
            models = {
                seen.headers["model"]
                for worker in fleet.workers.values()
                for seen in worker.seen
            }
            assert models <= {"small", "large"}

    @pytest.mark.parametrize("fault", [WorkerFault.CUT, WorkerFault.STALL])
    async def test_broken_stream_is_resumed_elsewhere(self, fault):
        async with running_fleet() as fleet:
            _set_fault(fleet, "writer", fault, left=1)
            reply = await fleet.ask(fleet.boxes[0], "/long/", Attempt_Id="cut")
            assert reply.status == 200
            assert event_ids(reply.body) == [1, 2, 3, 4]
            assert reply.headers["Response-Seal"] == "seal-of-cut"

    async def test_silent_stream_continues_if_it_cannot_be_resumed(self):
        """Guards against ending a silent stream while the retry budget is used up.

        No other worker could resume it, so the caller lost the stream.
        """
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            box.node.core.bounds = RepeatBounds(ratio=0.0, slack=0.0)
            _set_fault(fleet, "writer", WorkerFault.PAUSE)
            reply = await fleet.ask(box, "/long/", Attempt_Id="still")
            assert event_ids(reply.body) == [1, 2, 3, 4]
            assert run_count(fleet, "still") == 1

    async def test_unfinished_stream_is_visibly_incomplete(self):
        async with running_fleet() as fleet:
            _set_fault(fleet, "writer", WorkerFault.CUT)
            for worker in fleet.workers.values():
                worker.events = 40
            with pytest.raises(aiohttp.ClientPayloadError):
                await fleet.ask(fleet.boxes[0], "/long/")

    async def test_stream_without_resume_is_not_repeated(self):
        async with running_fleet() as fleet:
            routes = [{**route, "StreamResume": False} for route in config()["Routes"]]
            await fleet.configure(config(8, Routes=routes))
            box = fleet.boxes[0]
            await until(lambda: box.node.fleet.catalog.version == 8, "version 8")
            _set_fault(fleet, "writer", WorkerFault.CUT)
            with pytest.raises(aiohttp.ClientPayloadError):
                await fleet.ask(box, "/long/", Attempt_Id="uncut")
            assert run_count(fleet, "uncut") == 1

    async def test_unsure_answer_is_escalated_to_largest_model(self):
        async with running_fleet() as fleet:
            for worker in fleet.workers.values():
                worker.sureness = {"small": 2, "large": 90}
            reply = await fleet.ask(
                fleet.boxes[0], "/long/", Attempt_Id="up", Token_Counts="4000,10"
            )
            assert event_ids(reply.body) == [1, 2, 3, 4]
            models = [
                seen.headers["model"]
                for worker in fleet.workers.values()
                for seen in worker.seen
                if seen.request == "up"
            ]
            assert sorted(models) == ["large", "small"]

    async def test_last_attempt_is_reserved_for_failures(self):
        """Guards against using the last attempt for an escalation.

        If a worker failed after it, the request could not be repeated.
        """
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            box.node.fleet.workers.rows[WorkerId("w-2")].inflight = 30
            failing = fleet.workers["w-1"]
            failing.fault, failing.faults_left = WorkerFault.ERROR, 1
            for worker in fleet.workers.values():
                worker.sureness = {"small": 2, "large": 90}
            reply = await fleet.ask(
                box, "/long/", Attempt_Id="last", Token_Counts="4000,10"
            )
            assert event_ids(reply.body) == [1, 2, 3, 4]
            models = [
                seen.headers["model"]
                for worker in fleet.workers.values()
                for seen in worker.seen
                if seen.request == "last"
            ]
            assert models == ["small", "small"]

    async def test_model_named_by_caller_is_used(self):
        async with running_fleet() as fleet:
            await fleet.ask(fleet.boxes[0], "/long/", Model="middle")
            models = {
                seen.headers["model"]
                for worker in fleet.workers.values()
                for seen in worker.seen
            }
            assert models == {"middle"}

    async def test_disconnect_cancels_run_at_worker(self):
        async with running_fleet() as fleet:
            for worker in fleet.workers.values():
                worker.event_s, worker.events = 0.05, 400
            box = fleet.boxes[0]
            headers = fleet.headers("/long/", KEY, {"Attempt-Id": "left"})
            async with fleet.http.post(box.base + "/long/", headers=headers) as resp:
                await resp.content.readany()
                resp.close()
            cancelled = [worker.cancelled for worker in fleet.workers.values()]
            await until(lambda: any("left" in row for row in cancelled), "cancel", 0.5)


class TestConfiguration:
    """A box applies configuration changes soon and never reverts to older ones."""

    async def test_box_without_catalog_says_not_ready(self):
        fleet = TestFleet()
        try:
            box = await fleet.add_box()
            reply = await fleet.ask(box, "/view/")
            assert reply.status == 503
            async with fleet.http.get(box.ready + "/ready") as resp:
                assert resp.status == 503
        finally:
            await fleet.stop()

    async def test_removed_key_is_refused_on_open_connections(self):
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            assert (await fleet.ask(box, "/view/")).status == 200
            await fleet.configure(without_key(config(9), KEY))
            await until(lambda: box.node.fleet.catalog.version == 9, "version 9")
            assert (await fleet.ask(box, "/view/")).status == 401

    async def test_admitted_stream_is_resumed_after_its_key_is_removed(self):
        """Guards against refusing the resumption of a stream that was admitted.

        A worker broke the stream off after the key was removed, and the stream ended.
        """
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            for worker in fleet.workers.values():
                worker.event_s, worker.events = 0.15, 12
            asking = asyncio.create_task(fleet.ask(box, "/long/"))
            await asyncio.sleep(0.2)
            await fleet.configure(without_key(config(9), KEY))
            await until(lambda: box.node.fleet.catalog.version == 9, "version 9")
            _set_fault(fleet, "writer", WorkerFault.NONE)
            running = [worker for worker in fleet.workers.values() if worker.ran]
            for worker in running:
                worker.break_off()
            assert event_ids((await asking).body) == list(range(1, 13))

    async def test_older_catalog_version_is_ignored(self):
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            await fleet.configure(config(20))
            await until(lambda: box.node.fleet.catalog.version == 20, "version 20")
            await fleet.configure(config(19))
            await fleet.configure(config(21))
            await until(lambda: box.node.fleet.catalog.version == 21, "version 21")

    async def test_catalog_is_reread_after_history_loss(self):
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            await fleet.configure(config(30))
            fleet.store.forget("keyed.op")
            await until(lambda: box.node.fleet.catalog.version == 30, "version 30")


class TestLogs:
    """Log lines of a failed request."""

    async def test_log_lines_contain_inputs_and_outcome(self, monkeypatch):
        lines: list[tuple[str, dict[str, object]]] = []

        def keep(level: str, message: str, **fields: object) -> None:
            lines.append((message, fields))

        for module in ("attempt_outcomes", "catalog_calls", "settling"):
            monkeypatch.setattr(f"spanshunt.{module}.log_event", keep)
        async with running_fleet() as fleet:
            _set_fault(fleet, "web", WorkerFault.ERROR)
            await fleet.ask(fleet.boxes[0], "/look/", Attempt_Id="why")
            mine = [(name, row) for name, row in lines if row.get("request") == "why"]
            assert [name for name, _ in mine] == [
                "dispatch",
                "bad answer",
                "dispatch",
                "bad answer",
                "settled",
            ]
            sent = mine[0][1]
            assert sent["catalog"] == 7 and "load_age_ms" in sent
            assert mine[-1][1]["outcome"] == "worker_failure"
            json.dumps([row for _, row in mine])

    async def test_metrics_page(self):
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            await fleet.ask(box, "/view/")
            async with fleet.http.get(box.metrics + "/metrics") as resp:
                page = await resp.text()
            assert "spanshunt_requests.delivered 1" in page
            assert 'spanshunt_total_us_count{org="museo",class="r-view"} 1' in page


async def test_route_is_chosen_by_host():
    async with running_fleet() as fleet:
        reply = await fleet.ask(fleet.boxes[0], "/view/", Host=HOST.upper())
        assert reply.status == 200
        reply = await fleet.ask(fleet.boxes[0], "/view/", Host="elsewhere.example")
        assert reply.status == 404
