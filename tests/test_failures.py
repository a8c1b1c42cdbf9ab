"""Whole daemons under the failures of the brief, with real sockets."""

import asyncio

import pytest

from builders import BASE_INTENTS
from builders import CHEAP
from builders import CREDENTIAL
from builders import DEAR
from builders import System
from builders import a_system
from builders import chat_body
from builders import whole_answer
from builders import words_of
from spanshunt import bill_reader
from spanshunt.records import Stream
from spanshunt.standins.engine import EngineFaults
from spanshunt.standins.engine import EngineModel
from spanshunt.standins.log import LogFaults
from spanshunt.standins.service import ServiceFaults
from spanshunt.systems.fold import snapshot_of
from spanshunt.systems.learning import record_counts
from spanshunt.tables.evidence import Cell
from spanshunt.tables.evidence import Counts


class TestBrokenStreams:
    async def test_truncated_stream_ends_with_an_error_event(self):
        async with a_system() as system:
            for engine in system.engines:
                engine.faults = EngineFaults(truncate=1.0)
            status, _, body = await system.chat("abc", 8)
            assert status == 200
            assert b"event: error" in body
            assert b"[DONE]" not in body
            assert b'"run":"unknown"' in body

    async def test_event_of_another_answer_never_arrives(self):
        async with a_system() as system:
            for engine in system.engines:
                engine.faults = EngineFaults(wrong_id=1.0)
            _, _, body = await system.chat("abc", 8)
            assert b"stray" not in body
            assert b"event: error" in body

    async def test_refusing_worker_is_passed_over(self):
        async with a_system() as system:
            system.engines[0].faults = EngineFaults(refuse=1.0)
            for number in range(6):
                status, _, body = await system.chat(f"n{number}", 2)
                assert status == 200
                assert words_of(body) == whole_answer(f"n{number}", 2)
            assert await system.billed(6) == 0

    async def test_down_workers_give_a_true_not_run(self):
        async with a_system() as system:
            for engine in system.engines:
                engine.faults = EngineFaults(down=True)
            status, headers, body = await system.chat("abc", 2)
            assert status in (502, 503)
            assert b'"run":"no"' in body
            assert "Retry-After" in headers
            assert all(not engine.ran for engine in system.engines)

    async def test_caller_that_leaves_cancels_the_engine(self):
        slow = EngineModel(prefill_ms=1, token_ms=50, batch_ms=0)
        async with a_system(model=slow) as system:
            url = system.url() + "/v1/chat/completions"
            headers = {"Authorization": f"Bearer {CREDENTIAL}"}
            res = await system.http.post(
                url, json=chat_body("abc", 500), headers=headers
            )
            await res.content.readany()
            res.close()
            await system.until(lambda: sum(e.cancelled for e in system.engines) == 1)
            await system.until(lambda: not system.daemons[0].router.running)


class TestAtMostOnce:
    @pytest.mark.parametrize("fault", ["lose_answers", "cut_answers"])
    async def test_put_is_sent_once_when_the_answer_is_lost(self, fault: str):
        """Regressions: the HTTP library sends PUT again by itself; a second head went
        out after the first part of an answer that broke off.

        A call that may not be repeated must not be, whatever its method.
        """
        async with a_system(services=1) as system:
            system.services[0].faults = ServiceFaults(**{fault: 1.0})
            status, problem = await system.call("PUT", "/rights/7")
            assert status == 502
            assert problem["run"] == "unknown"
            assert list(system.services[0].effects.values()) == [1]

    @pytest.mark.parametrize("fault", ["lose_answers", "cut_answers"])
    async def test_get_goes_to_another_worker(self, fault: str):
        async with a_system(services=2) as system:
            system.services[0].faults = ServiceFaults(**{fault: 1.0})
            for _ in range(6):
                status, _ = await system.call("GET", "/thumbnails/1")
                assert status == 200

    async def test_keyed_call_repeated_at_another_box_gets_the_first_answer(self):
        async with a_system(daemons=3) as system:
            one = await system.call("POST", "/rights", 0, Idempotency_Key="k1")
            two = await system.call("POST", "/rights", 1, Idempotency_Key="k1")
            assert one[0] == two[0] == 200
            assert one[1] == two[1]
            assert sum(s.effects.get("k1", 0) for s in system.services) == 1
            await system.billed(1)

    async def test_racing_keyed_calls_run_once(self):
        async with a_system(daemons=3) as system:
            answers = await asyncio.gather(
                *(
                    system.call("POST", "/rights", box, Idempotency_Key="k1")
                    for box in (0, 1, 2, 0, 1, 2)
                )
            )
            assert sum(s.effects.get("k1", 0) for s in system.services) == 1
            assert any(status == 200 for status, _ in answers)
            for status, answer in answers:
                assert status == 200 or answer["run"] in ("unknown", "no")

    async def test_key_whose_box_is_gone_is_not_run_again(self):
        async with a_system(daemons=3) as system:
            await system.call("POST", "/rights", 0, Idempotency_Key="k1")
            await system.daemons.pop(0).kill()
            status, problem = await system.call(
                "POST", "/rights", 0, Idempotency_Key="k1"
            )
            assert status == 409
            assert problem["run"] == "unknown"
            assert sum(s.effects.get("k1", 0) for s in system.services) == 1

    async def test_no_claim_without_the_log(self):
        async with a_system(daemons=3) as system:
            system.log.faults = LogFaults(down=True)
            status, problem = await system.call("POST", "/rights", Idempotency_Key="k1")
            assert status == 503
            assert problem["run"] == "no"
            assert not any(s.effects for s in system.services)


class TestLogOutage:
    async def test_answers_go_on_and_bills_follow(self):
        async with a_system(daemons=3) as system:
            await asyncio.sleep(5.5)
            system.log.faults = LogFaults(down=True)
            await asyncio.sleep(4.5)
            for number in range(9):
                status, _, _ = await system.chat(f"n{number}", 2, number % 3)
                assert status == 200
            system.log.faults = LogFaults()
            await system.billed(9)

    async def test_lost_append_answers_bill_once(self):
        async with a_system(daemons=3) as system:
            system.log.faults = LogFaults(lose_answers=0.5)
            for number in range(12):
                await system.chat(f"n{number}", 2, number % 3)
            await asyncio.sleep(1)
            system.log.faults = LogFaults()
            await system.billed(12)

    async def test_box_started_without_the_log_learns_from_peers(self):
        async with a_system(daemons=3) as system:
            await asyncio.sleep(5.5)
            system.log.faults = LogFaults(down=True)
            await system.add_daemon(3)
            await system.ready(3)
            config = system.daemons[3].router.state.config
            assert config.next_offset == 1
            assert DEAR in config.versions

    async def test_box_started_alone_without_the_log_takes_no_work(self):
        async with a_system(daemons=1) as system:
            system.log.faults = LogFaults(down=True)
            await system.daemons[0].kill()
            daemon = await system.add_daemon(1)
            await asyncio.sleep(1)
            assert "can't tell" in daemon.router.why_not_ready()
            status, problem = await system.call("GET", "/", 1)
            assert status == 503
            assert problem["run"] == "no"

    async def test_box_started_after_the_tail_was_dropped_uses_the_snapshot(self):
        async with a_system(daemons=1) as system:
            router = system.daemons[0].router
            snapshot = snapshot_of(router.state.config)
            await router.appender.append_now(Stream.CONFIG, snapshot)
            system.log.stream("config").drop_before(1)
            await system.daemons[0].kill()
            daemon = await system.add_daemon(1)
            await system.ready(1)
            assert DEAR in daemon.router.state.config.versions

    async def test_box_cut_from_the_log_gets_plans_from_peers(self):
        async with a_system(daemons=3) as system:
            cut = system.daemons[2].router
            cut.log._url = "http://127.0.0.1:9"
            await system.apply({"do": "withdraw", "version": DEAR})
            state = cut.state
            await system.until(
                lambda: state.config.versions[DEAR].state.value == "withdrawn", 5
            )
            assert not cut.why_not_ready()


class TestBillSnapshots:
    async def test_bills_outlive_the_records_that_the_log_drops(self, monkeypatch):
        monkeypatch.setattr(bill_reader, "SNAPSHOT_EVERY", 1)
        async with a_system(daemons=1) as system:
            for number in range(5):
                await system.chat(f"n{number}", 2)
            await system.billed(5)
            router = system.daemons[0].router
            stream = system.log.stream("bills")
            old = stream.records[0].data
            snapshot = router.bill_reader.snapshot_due()
            await router.appender.append_now(Stream.BILLS, snapshot)
            stream.drop_before(snapshot.fold.next_offset)
            stream.append(old, 0)
            await system.chat("after", 2)
            router.bill_reader = bill_reader.BillReader(router.log)
            assert await system.billed(6) >= 1

    async def test_bills_dropped_with_no_snapshot_are_said_to_be_missing(self):
        async with a_system(daemons=1) as system:
            await system.chat("a", 2)
            await system.billed(1)
            system.log.stream("bills").drop_before(1)
            router = system.daemons[0].router
            router.bill_reader = bill_reader.BillReader(router.log)
            _, report = await system.admin("GET", "/bills")
            assert report["since"] == 1


class TestBoxLoss:
    async def test_bills_of_a_killed_box_are_appended_by_peers(self):
        async with a_system(daemons=3) as system:
            system.log.faults = LogFaults(down=True)
            for number in range(5):
                assert (await system.chat(f"n{number}", 2, 0))[0] == 200
            await system.daemons.pop(0).kill()
            system.unlist("box-1")
            system.log.faults = LogFaults()
            assert await system.billed(5) >= 0

    async def test_planned_stop_finishes_streams_and_bills(self):
        slow = EngineModel(prefill_ms=1, token_ms=20, batch_ms=0)
        async with a_system(daemons=3, model=slow) as system:
            answer = asyncio.create_task(system.chat("abc", 60, 0))
            await system.until(lambda: bool(system.daemons[0].router.running))
            stop = asyncio.create_task(system.daemons[0].stop())
            await asyncio.sleep(0.2)
            status, problem = await system.call("GET", "/", 0)
            assert status == 503
            assert problem["run"] == "no"
            _, _, body = await answer
            assert words_of(body) == whole_answer("abc", 60)
            await stop
            system.daemons.pop(0)
            await system.billed(1)

    async def test_leaving_worker_gets_no_new_work(self):
        async with a_system(daemons=3) as system:
            system.engines[0].leaving = True
            left = set()
            await system.until(
                lambda: all(d.router.state.workers.leaving for d in system.daemons), 3
            )
            before = len(system.engines[0].ran)
            for number in range(9):
                _, headers, _ = await system.chat(f"n{number}", 1, number % 3)
                left.add(headers["Spanshunt-Version"])
            assert len(system.engines[0].ran) == before


class TestSessions:
    async def test_token_keeps_the_version_on_every_box(self):
        async with a_system(daemons=3) as system:
            _, headers, _ = await system.chat("a", 1, 0, Spanshunt_Session="sitting-1")
            token, version = headers["Spanshunt-Session"], headers["Spanshunt-Version"]
            for number in range(12):
                _, headers, _ = await system.chat(
                    f"n{number}", 1, number % 3, Spanshunt_Session=token
                )
                assert headers["Spanshunt-Version"] == version

    async def test_bare_id_keeps_the_version_on_every_box(self):
        async with a_system(daemons=3) as system:
            seen = set()
            for number in range(12):
                _, headers, _ = await system.chat(
                    f"n{number}", 1, number % 3, Spanshunt_Session="sitting-1"
                )
                seen.add(headers["Spanshunt-Version"])
            assert len(seen) == 1

    async def test_withdrawn_version_moves_the_session_and_says_so(self):
        async with a_system() as system:
            _, headers, _ = await system.chat("a", 1, Spanshunt_Session="sitting-1")
            token, version = headers["Spanshunt-Session"], headers["Spanshunt-Version"]
            await system.apply({"do": "withdraw", "version": version})
            _, headers, _ = await system.chat("b", 1, Spanshunt_Session=token)
            other = CHEAP if version == DEAR else DEAR
            assert headers["Spanshunt-Version"] == other
            assert version in headers["Spanshunt-Session-Moved"]

    async def test_token_of_another_organisation_is_refused(self):
        async with a_system() as system:
            other = {
                "do": "declare_org",
                "org": "archivo",
                "allowed": ["chico"],
                "credentials": ["archivo-credential"],
            }
            await system.apply(other)
            _, headers, _ = await system.chat("a", 1, Spanshunt_Session="sitting-1")
            status, _, body = await system.chat(
                "b",
                1,
                Spanshunt_Session=headers["Spanshunt-Session"],
                Authorization="Bearer archivo-credential",
            )
            assert status == 400
            assert b"another organisation" in body


class TestCascade:
    async def ask(self, system: System, confidence: float) -> tuple[str, str]:
        """Ask with a cheap version that was good whenever its engine was sure."""
        classes = [{"name": "note", "target": 0.9, "escalate": True}]
        await system.apply({**BASE_INTENTS[0], "classes": classes})
        router = system.daemons[0].router
        counts = Counts(
            runs=400, rated=400, good=396, prompt_tokens=4000, output_tokens=4000
        )
        some = Counts(runs=20, rated=20, good=10)
        unsure = Counts(
            runs=400, rated=400, good=300, prompt_tokens=4000, output_tokens=4000
        )
        for version, name, seen in (
            (CHEAP, "note!sure", counts),
            (CHEAP, "note!unsure", some),
            (CHEAP, "note", unsure),
            (DEAR, "note", counts),
        ):
            cell = Cell(version, name, "museo")
            record_counts(router.state.evidence, "x", router.clock.wall(), cell, seen)
        router.preferences.clear()
        for engine in system.engines:
            engine.faults = EngineFaults(confidence={CHEAP: confidence})
        status, headers, body = await system.chat("abc", 4)
        assert status == 200
        return headers["Spanshunt-Version"], words_of(body)

    async def test_sure_answer_of_the_cheap_version_is_given(self):
        async with a_system() as system:
            version, words = await self.ask(system, 0.9)
            assert (version, words) == (CHEAP, whole_answer("abc", 4))
            await system.billed(1)

    async def test_unsure_one_is_asked_again_and_billed_once(self):
        async with a_system() as system:
            version, words = await self.ask(system, 0.1)
            assert (version, words) == (DEAR, whole_answer("abc", 4))
            await system.billed(1)
            fold = (await system.daemons[0].router.bill_reader.catch_up()).unwrap()
            total = fold.totals["museo"]["redactor-ia"]
            assert total.output_tokens == 10


class TestBadVersion:
    async def test_bad_version_is_pulled_back_without_the_log(self):
        """A pull-back holds on every box before the log can say so."""
        async with a_system(daemons=3) as system:
            guards = {"stages": [0.9, 1.0], "stage_ms": 60_000, "good_floor": 0.8}
            await system.apply(
                {"do": "withdraw", "version": CHEAP},
                {
                    "do": "declare_version",
                    "version": "grande@2",
                    "service": "redactor-ia",
                },
                {"do": "enter", "version": "grande@2", "guards": guards},
            )
            system.rater.quality = {"grande@2": 0.0}
            for engine in system.engines:
                engine.versions = (DEAR, "grande@2")
            await asyncio.sleep(0.5)
            system.log.faults = LogFaults(down=True)
            for number in range(40):
                await system.chat(f"n{number}", 1, number % 3)
            tables = [daemon.router.state.suspended for daemon in system.daemons]
            await system.until(lambda: all("grande@2" in table for table in tables))
            # Without the log a box proves its configuration fresh by peers that have
            # been up for 5 s; until then it refuses, truly, after 4 s.
            asked = system.daemons[0].router
            await system.until(lambda: not asked.why_not_ready())
            _, headers, _ = await system.chat("last", 1)
            assert headers["Spanshunt-Version"] == DEAR
            system.log.faults = LogFaults()
            state = system.daemons[0].router.state
            await system.until(
                lambda: state.config.versions["grande@2"].state.value == "withdrawn"
            )
