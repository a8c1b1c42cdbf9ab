"""Whole daemons with real sockets: the path of a request and of an intent."""

from builders import CHEAP
from builders import DEAR
from builders import READER
from builders import a_system
from builders import whole_answer
from builders import words_of


class TestOneRequest:
    async def test_streamed_answer_is_whole_and_billed_once(self):
        async with a_system() as system:
            status, headers, body = await system.chat("abc", 7)
            assert status == 200
            assert words_of(body) == whole_answer("abc", 7)
            assert body.endswith(b"data: [DONE]\n\n")
            assert headers["Spanshunt-Version"] in (CHEAP, DEAR)
            assert await system.billed(1) == 0

    async def test_whole_answer_and_billed_once(self):
        async with a_system() as system:
            status, _, body = await system.chat("abc", 3, stream=False)
            assert status == 200
            assert whole_answer("abc", 3).encode() in body
            await system.billed(1)

    async def test_plain_call_passes_method_and_path(self):
        async with a_system() as system:
            status, answer = await system.call("POST", "/rights/7?x=1")
            assert status == 200
            assert answer["method"] == "POST"
            assert answer["path"] == "/rights/7"
            assert answer["effects"] == 1
            await system.billed(1)


class TestOperators:
    async def test_nothing_takes_effect_before_the_confirm(self):
        async with a_system() as system:
            withdraw = {"do": "withdraw", "version": DEAR}
            status, signed = await system.admin(
                "POST", "/plans", {"intents": [withdraw]}
            )
            assert status == 200
            state = system.daemons[0].router.state
            assert state.config.versions[DEAR].state.value == "active"
            status, _ = await system.admin("POST", "/confirm", signed)
            assert status == 200
            assert state.config.versions[DEAR].state.value == "withdrawn"
            for index in range(20):
                _, headers, _ = await system.chat(f"n{index}", 1)
                assert headers["Spanshunt-Version"] == CHEAP

    async def test_second_of_two_racing_confirms_is_a_conflict(self):
        async with a_system() as system:
            withdraw = {"do": "withdraw", "version": DEAR}
            allow = {"do": "declare_version", "version": DEAR, "service": "redactor-ia"}
            _, first = await system.admin("POST", "/plans", {"intents": [withdraw]})
            _, second = await system.admin("POST", "/plans", {"intents": [allow]})
            assert (await system.admin("POST", "/confirm", first))[0] == 200
            status, problem = await system.admin("POST", "/confirm", second)
            assert status == 409
            assert f"version/{DEAR}" in problem["detail"]
            assert problem["run"] == "no"

    async def test_confirming_twice_gives_the_first_answer(self):
        async with a_system() as system:
            withdraw = {"do": "withdraw", "version": DEAR}
            _, signed = await system.admin("POST", "/plans", {"intents": [withdraw]})
            one = await system.admin("POST", "/confirm", signed)
            two = await system.admin("POST", "/confirm", signed)
            assert one == two

    async def test_roles(self):
        async with a_system() as system:
            document = {"intents": [{"do": "withdraw", "version": DEAR}]}
            status, problem = await system.admin(
                "POST", "/plans", document, credential=READER
            )
            assert status == 403
            assert "role read" in problem["detail"]
            assert (await system.admin("GET", "/status", credential="nobody"))[0] == 401

    async def test_altered_plan_is_refused(self):
        async with a_system() as system:
            document = {"intents": [{"do": "withdraw", "version": DEAR}]}
            _, signed = await system.admin("POST", "/plans", document)
            signed["plan"]["changes"][0]["version"] = CHEAP
            status, problem = await system.admin("POST", "/confirm", signed)
            assert status == 400
            assert "$.signature" in problem["detail"]
