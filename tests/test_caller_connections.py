"""What reaches workers of callers' requests, and how long connections may be idle."""

import asyncio
import contextlib
import time
import typing as t

import pytest

from fleet_builders import HOST
from fleet_builders import KEY
from fleet_builders import Box
from fleet_builders import TestFleet
from fleet_builders import config
from fleet_builders import running_fleet
from fleet_builders import until

IDLE_S = 1.0
"""How long callers may be idle, in s, where a test sets it."""

CLOSED_WITHIN_S = 1.5
"""Within which a connection is closed that was idle too long, in s: it is looked for
once a second."""


@contextlib.asynccontextmanager
async def connection(
    box: Box,
) -> t.AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    host, _, port = box.base.removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.close()


async def ask_raw(fleet: TestFleet, target: str, *more: str, **headers: str) -> None:
    """Ask by a connection of its own, with the target as it is and `more` lines."""
    sent = fleet.headers("/look/", KEY, headers)
    lines = [f"{name}: {value}" for name, value in sent.items()]
    async with connection(fleet.boxes[0]) as (reader, writer):
        head = "\r\n".join([f"GET {target} HTTP/1.1", *lines, *more, "", ""])
        writer.write(head.encode())
        assert b" 200 " in await reader.readline()
        await reader.readuntil(b"\r\n\r\n")


def seen_targets(fleet: TestFleet) -> list[str]:
    return [seen.target for worker in fleet.workers.values() for seen in worker.seen]


@pytest.mark.parametrize(
    "target",
    [
        "/look/x",
        "/look/x?",
        "/look/x?a=b&c",
        "/look/x??",
        "/look/%7Ex?q=%2F+",
        "/look/?",
    ],
)
async def test_target_reaches_the_worker_unchanged(target):
    """Guards against a query that is lost for being empty."""
    async with running_fleet() as fleet:
        await ask_raw(fleet, target)
        assert seen_targets(fleet) == [target]


async def test_connection_names_no_header_that_workers_need():
    """Guards against requests that a caller's hop makes unreadable to workers."""
    async with running_fleet() as fleet:
        needed = {"Session": "s-1", "Content-Language": "de"}
        named = "close, X-Hop, Attempt-Id, Session, Host, Content-Language"
        also = ("Connection: X-Other", "X-Other: 3")
        await ask_raw(
            fleet, "/look/x", *also, Connection=named, X_Hop="1", X_End="2", **needed
        )
        found = [seen for worker in fleet.workers.values() for seen in worker.seen]
        headers = {name.lower(): value for name, value in found[0].headers.items()}
        assert headers["attempt-id"] and headers["host"] == HOST
        assert headers["session"] == "s-1"
        assert headers["content-language"] == "de"
        assert headers["x-end"] == "2"
        assert headers.keys().isdisjoint({"x-hop", "x-other", "connection"})


async def idle_s(box: Box, most_s: float) -> float:
    """Open a connection and wait until the box closes it; return after how long."""
    async with connection(box) as (reader, _writer):
        began = time.monotonic()
        async with asyncio.timeout(most_s):
            assert await reader.read(1) == b""
        return time.monotonic() - began


async def test_connection_may_be_idle_for_as_long_as_the_catalog_says():
    """Guards against idle callers that use up a box's descriptors."""
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        limits = {"IdleTimeoutMs": round(1_000 * IDLE_S)}
        await fleet.configure(config(8, Limits=limits))
        node = box.node.fleet
        await until(lambda: node.catalog.version == 8, "the catalog is known")
        idle = await idle_s(box, IDLE_S + CLOSED_WITHIN_S)
        assert idle >= IDLE_S


async def test_catalog_without_idle_time_keeps_what_was_just_opened():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        await fleet.configure(config(8, Limits={"IdleTimeoutMs": 0}))
        await until(lambda: box.node.fleet.catalog.version == 8, "the catalog is known")
        with pytest.raises(TimeoutError):
            await idle_s(box, CLOSED_WITHIN_S)


async def test_connection_that_is_used_is_kept():
    async with running_fleet() as fleet:
        box = fleet.boxes[0]
        limits = {"IdleTimeoutMs": round(1_000 * IDLE_S)}
        await fleet.configure(config(8, Limits=limits))
        await until(lambda: box.node.fleet.catalog.version == 8, "the catalog is known")
        sent = fleet.headers("/look/", KEY, {})
        lines = "\r\n".join(f"{name}: {value}" for name, value in sent.items())
        async with connection(box) as (reader, writer):
            for _ in range(4):
                writer.write(f"GET /look/x HTTP/1.1\r\n{lines}\r\n\r\n".encode())
                assert b" 200 " in await reader.readline()
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2].split()[0]
                await reader.readexactly(int(length))
                # Callers take up what has rested for up to four fifths of the limit.
                await asyncio.sleep(0.8 * IDLE_S)
