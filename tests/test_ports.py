"""Ports that tests and soaks draw for processes which listen on them later."""

import asyncio
import socket

import pytest

from spanshunt.standins import ports as drawn
from spanshunt.standins.ports import free_ports


def test_drawn_port_is_free_for_no_other_process_that_draws():
    """A box of a soak ended at its start, as another process had drawn its port."""
    (port,) = free_ports(1)
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", port))


async def test_server_may_listen_on_a_drawn_port():
    (port,) = free_ports(1)
    for _ in range(2):
        server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", port)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        server.close()
        await server.wait_closed()


async def test_connection_to_a_drawn_port_is_refused():
    (port,) = free_ports(1)
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection("127.0.0.1", port)


def test_few_ports_are_held():
    free_ports(drawn.MAX_HELD + 10)
    assert len(drawn._held) == drawn.MAX_HELD
