"""Invalid input to the callers' API is refused and does not affect other requests."""

import asyncio

import msgspec
import pytest

from builders import BASE_INTENTS
from builders import CREDENTIAL
from builders import System
from builders import a_system
from builders import chat_body
from builders import whole_answer
from builders import words_of

URL = "/v1/chat/completions"


async def post(system: System, body: bytes, **headers: str) -> tuple[int, dict]:
    sent = {"Authorization": f"Bearer {CREDENTIAL}"}
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    async with system.http.post(system.url() + URL, data=body, headers=sent) as res:
        return res.status, msgspec.json.decode(await res.read())


def encoded(**changes: object) -> bytes:
    return msgspec.json.encode(chat_body("abc", 1) | changes)


class TestRefusals:
    @pytest.mark.parametrize(
        ("body", "headers", "status", "message"),
        [
            (b"{", {}, 400, "body $"),
            (b'{"model": 5}', {}, 400, "$.model"),
            (encoded(messages=[]), {}, 400, "$.messages"),
            (encoded(model="nobody"), {}, 404, "'nobody' is not known here"),
            (encoded(), {"Spanshunt_Class": "poem"}, 400, "allowed: note, description"),
            (encoded(), {"Spanshunt_Timeout_Ms": "-4"}, 400, "allowed: 1 to"),
            (encoded(), {"Spanshunt_Session": "v1:forged"}, 400, "signature"),
            (encoded(), {"Authorization": "Bearer nobody"}, 401, "not known"),
            (encoded(), {"Authorization": "Basic x"}, 401, "Bearer CREDENTIAL"),
            (b"x" * 4_200_000, {}, 413, "4194304"),
        ],
    )
    async def test_refusal_names_the_invalid_input(
        self, body, headers, status, message
    ):
        async with a_system(services=0) as system:
            found, problem = await post(system, body, **headers)
            assert found == status
            assert message in problem["detail"]
            assert problem["run"] == "no"
            assert problem["request"].startswith("req-")
            assert CREDENTIAL not in msgspec.json.encode(problem).decode()
            assert not system.daemons[0].router.running

    async def test_long_body_of_a_plain_call_is_refused_and_a_short_one_arrives(self):
        async with a_system() as system:
            status, answer = await system.call("POST", "/rights", body=b"x" * 100_000)
            assert status == 200
            assert answer["size"] == 100_000
            status, problem = await system.call(
                "POST", "/rights", body=b"x" * 4_200_000
            )
            assert status == 413
            assert "4194304" in problem["detail"] and problem["run"] == "no"
            assert sum(len(service.effects) for service in system.services) == 1

    async def test_refusal_over_the_rate_limit_has_retry_after(self):
        async with a_system() as system:
            limits = {"rate": 1, "burst": 2}
            await system.apply({"do": "limits", "org": "museo", "limits": limits})
            statuses = [(await system.chat(f"n{n}", 1))[0] for n in range(6)]
            assert statuses.count(200) <= 3
            status, headers, body = await system.chat("n", 1)
            assert status == 429
            assert int(headers["Retry-After"]) >= 1
            assert b'"run":"no"' in body

    async def test_models_lists_only_allowed_models(self):
        async with a_system() as system:
            allow = {"do": "disallow", "org": "museo", "allowed": ["grande"]}
            await system.apply(allow)
            headers = {"Authorization": f"Bearer {CREDENTIAL}"}
            url = system.url() + "/v1/models"
            async with system.http.get(url, headers=headers) as res:
                names = {row["id"] for row in (await res.json())["data"]}
            assert names == {"redactor-ia", "chico", "chico@1"}


class TestRawSockets:
    async def exchange(self, system: System, data: bytes) -> bytes:
        port = system.daemons[0].ports["callers"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(20):
            found = await reader.read()
        writer.close()
        return found

    @pytest.mark.parametrize(
        "data",
        [
            b"nonsense\r\n\r\n",
            b"GET / HTTP/1.1\r\nX: " + b"a" * 20_000 + b"\r\n\r\n",
            b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nshort",
        ],
        ids=["nonsense", "long-header", "half-closed"],
    )
    async def test_invalid_bytes_do_not_affect_other_requests(self, data: bytes):
        async with a_system(services=0) as system:
            other = asyncio.create_task(system.chat("other", 50))
            found = await self.exchange(system, data)
            assert b" 200 " not in found.split(b"\r\n")[0]
            _, _, body = await other
            assert words_of(body) == whole_answer("other", 50)
            await system.until(lambda: not system.daemons[0].router.running)

    async def test_slow_body_times_out(self):
        async with a_system(services=0) as system:
            router = system.daemons[0].router
            bounds = msgspec.structs.replace(
                router.settings.bounds, body_timeout_ms=200
            )
            router.settings = msgspec.structs.replace(router.settings, bounds=bounds)
            port = system.daemons[0].ports["callers"]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"Authorization: Bearer {CREDENTIAL}\r\nContent-Length: 500\r\n\r\n"
            writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
            writer.write(head.encode() + b'{"model"')
            async with asyncio.timeout(10):
                found = await reader.readuntil(b"\r\n\r\n")
            assert b" 408 " in found.split(b"\r\n")[0]
            writer.close()


class TestCredentials:
    async def test_rotation_overlaps_and_revocation_is_immediate(self):
        async with a_system(services=0) as system:
            change = {"do": "credentials", "org": "museo"}
            new = "museo-credential-2"
            await system.apply({**change, "credentials": [CREDENTIAL, new]})
            for secret in (CREDENTIAL, new):
                header = {"Authorization": f"Bearer {secret}"}
                assert (await system.chat("a", 1, **header))[0] == 200
            await system.apply({**change, "credentials": [new]})
            assert (await system.chat("a", 1))[0] == 401

    async def test_operators_see_no_credential(self):
        async with a_system(services=0) as system:
            document = {"intents": [BASE_INTENTS[-1]]}
            _, plan = await system.admin("POST", "/plans", document)
            _, orgs = await system.admin("GET", "/orgs")
            shown = msgspec.json.encode([plan, orgs]).decode()
            assert CREDENTIAL not in shown
