"""The client of the platform's log against the stand-in."""

import asyncio
import contextlib
import typing as t

from bench.links import Link
from result import Err

from builders import serve
from spanshunt.backing.log import LogClient
from spanshunt.backing.outcomes import Fault
from spanshunt.clock import Clock
from spanshunt.records import Stream
from spanshunt.standins.log import LogFaults
from spanshunt.standins.log import LogStandin

CALL_MS = 2_000
"""How long a call of the log may take, in ms, as settings have it."""

FRESH_MS = 4_000
"""Within which a box must hear of new records, in ms: it takes no work after that."""


@contextlib.asynccontextmanager
async def a_log(timeout_ms: int = 300) -> t.AsyncIterator[tuple[LogStandin, LogClient]]:
    standin = LogStandin(Clock(), seed=1)
    served = await serve(standin.app())
    client = LogClient(served.url, timeout_ms)
    await client.start()
    try:
        yield standin, client
    finally:
        await client.stop()
        await served.runner.cleanup()


async def test_log_is_reached_in_time_whose_kept_connections_are_all_dead():
    """Each of five dead connections cost a time-out: a box was not fresh for 10 s."""
    standin = LogStandin(Clock(), seed=1)
    served = await serve(standin.app())
    link = Link(served.url.removeprefix("http://"))
    await link.start()
    client = LogClient(f"http://{link.address}", CALL_MS)
    await client.start()
    await asyncio.gather(*(client.read(Stream.CONFIG, 0, 50) for _ in range(5)))
    link.silence()
    began = Clock().now()
    while isinstance(await client.read(Stream.CONFIG, 0), Err):
        pass
    took_ms = Clock().now() - began
    await client.stop()
    await link.stop()
    await served.runner.cleanup()
    assert took_ms < FRESH_MS


class TestRead:
    async def test_records_come_back_in_order(self):
        async with a_log() as (_, client):
            for number in range(3):
                offset = await client.append(Stream.CONFIG, b"%d" % number)
                assert offset.unwrap() == number
            read = (await client.read(Stream.CONFIG, 1)).unwrap()
            assert [record.data for record in read.records] == [b"1", b"2"]
            assert read.head == 3

    async def test_waiting_read_outlives_the_timeout(self):
        """Regression: a read that waited as long as a call may take never ended well.

        A box was then never proved fresh by the log, only by a majority.
        """
        async with a_log(timeout_ms=200) as (_, client):
            read = await client.read(Stream.CONFIG, 0, wait_ms=400)
            assert read.unwrap().head == 0

    async def test_dropped_records_are_named(self):
        async with a_log() as (standin, client):
            for _ in range(3):
                await client.append(Stream.CONFIG, b"x")
            standin.stream("config").drop_before(2)
            fault = (await client.read(Stream.CONFIG, 0)).unwrap_err()
            assert fault.fault is Fault.DROPPED
            assert fault.first == 2


class TestAppend:
    async def test_down_is_certain(self):
        async with a_log() as (standin, client):
            standin.faults = LogFaults(down=True)
            fault = (await client.append(Stream.CONFIG, b"x")).unwrap_err()
            assert fault.fault is Fault.NOT_DONE
            assert standin.stream("config").next == 0

    async def test_lost_answer_is_unknown_and_took_effect(self):
        async with a_log() as (standin, client):
            standin.faults = LogFaults(lose_answers=1.0)
            fault = (await client.append(Stream.CONFIG, b"x")).unwrap_err()
            assert fault.fault is Fault.UNKNOWN
            assert standin.stream("config").next == 1

    async def test_slow_is_unknown(self):
        async with a_log(timeout_ms=100) as (standin, client):
            standin.faults = LogFaults(slow_ms=400)
            fault = (await client.append(Stream.CONFIG, b"x")).unwrap_err()
            assert fault.fault is Fault.UNKNOWN

    async def test_port_closed_is_certain(self):
        client = LogClient("http://127.0.0.1:9", 300)
        await client.start()
        fault = (await client.append(Stream.CONFIG, b"x")).unwrap_err()
        await client.stop()
        assert fault.fault is Fault.NOT_DONE
