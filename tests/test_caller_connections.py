"""What reaches workers of callers' requests."""

import asyncio
import contextlib
import typing as t

import pytest

from fleet_builders import HOST
from fleet_builders import KEY
from fleet_builders import Box
from fleet_builders import TestFleet
from fleet_builders import running_fleet


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
