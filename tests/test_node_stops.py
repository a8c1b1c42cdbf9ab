"""Whole boxes on the platform: planned stops."""

import asyncio

import aiohttp
import pytest

from fleet_builders import KEY
from fleet_builders import running_fleet


def _head(path: str, headers: dict[str, str]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()


class TestStop:
    """A planned stop cuts nothing, and kept connections end in order."""

    async def test_stream_under_way_is_finished_and_idle_connections_end(self):
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            for worker in fleet.workers.values():
                worker.event_s, worker.events = 0.2, 16
            async with aiohttp.ClientSession() as idle:
                headers = fleet.headers("/view/", KEY, {})
                async with idle.post(box.base + "/view/", headers=headers) as resp:
                    await resp.read()
                asking = asyncio.create_task(fleet.ask(box, "/long/"))
                await asyncio.sleep(0.3)
                stopping = asyncio.create_task(box.node.stop())
                await asyncio.sleep(0.2)
                async with fleet.http.get(box.ready + "/ready") as resp:
                    assert resp.status == 503
                late = await fleet.ask(box, "/view/")
                assert late.status == 200
                assert late.headers["Connection"].lower() == "close"
                reply = await asking
                assert reply.body.count(b"id:") == 16
                await stopping
                connector = idle.connector
                assert connector is not None
                with pytest.raises(aiohttp.ClientError):
                    headers = fleet.headers("/view/", KEY, {})
                    await idle.post(box.base + "/view/", headers=headers)

    async def test_request_taken_just_before_idle_connections_end_is_answered(self):
        """Seen: the request was read, but its handler had not begun."""
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            front = box.node._front
            make = front.server.request_factory

            def make_and_end(*args):
                request = make(*args)
                front.end_idle_connections()
                return request

            front.server.request_factory = make_and_end
            headers = fleet.headers("/view/", KEY, {})
            async with fleet.http.post(box.base + "/view/", headers=headers) as resp:
                assert resp.status == 200

    async def test_request_whose_handler_has_not_begun_is_finished(self, monkeypatch):
        """Seen: with no request counted as under way, the process ended, and two were
        lost."""
        monkeypatch.setattr("spanshunt.platform.node.LINGER_MS", 300)
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            front = box.node._front
            begin = front._answer

            async def begin_late(req, reply):
                await asyncio.sleep(1.5)
                await begin(req, reply)

            front._answer = begin_late
            asking = asyncio.create_task(fleet.ask(box, "/view/"))
            await asyncio.sleep(0.1)
            await box.node.stop()
            assert (await asking).status == 200

    async def test_stream_begun_before_the_stop_ends_its_connection(self, monkeypatch):
        """Seen: the caller's next request on the connection came at once, 4.3 s after
        SIGTERM, and was cut off."""
        monkeypatch.setattr("spanshunt.platform.node.LINGER_MS", 300)
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            for worker in fleet.workers.values():
                worker.event_s, worker.events = 0.1, 12
            host, _, port = box.base.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            first = {**fleet.headers("/long/", KEY, {}), "Content-Length": "0"}
            second = {**fleet.headers("/view/", KEY, {}), "Content-Length": "0"}
            writer.write(_head("/long/", first))
            await asyncio.sleep(0.3)
            stopping = asyncio.create_task(box.node.stop())
            writer.write(_head("/view/", second))
            answer = await asyncio.wait_for(reader.read(), 5)
            assert answer.count(b"HTTP/1.1 200") == 1
            assert answer.count(b"id:") == 12
            await stopping
            writer.close()

    async def test_body_that_arrives_while_idle_connections_end_is_read(
        self, monkeypatch
    ):
        """Seen with a grace of 6 s: the rest of a body was dropped, as the library
        reads nothing of a connection that it was told to close."""
        monkeypatch.setattr("spanshunt.platform.node.LINGER_MS", 300)
        async with running_fleet() as fleet:
            box = fleet.boxes[0]
            host, _, port = box.base.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            headers = {**fleet.headers("/view/", KEY, {}), "Content-Length": "4000"}
            writer.write(_head("/view/", headers) + b"x" * 1000)
            await asyncio.sleep(0.1)
            stopping = asyncio.create_task(box.node.stop())
            await asyncio.sleep(0.6)
            writer.write(b"x" * 3000)
            answer = await asyncio.wait_for(reader.read(), 5)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in answer.lower()
            await stopping
            writer.close()
