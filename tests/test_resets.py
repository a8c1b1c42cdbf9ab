"""Resets by the stand-ins and by the soak's loopback proxy."""

import asyncio

import pytest

from spanshunt.standins.resets import reset


async def test_peer_of_a_reset_connection_sees_a_reset():
    accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()

    async def keep(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.put_nowait(writer)

    async with await asyncio.start_server(keep, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        reader, _writer = await asyncio.open_connection("127.0.0.1", port)
        reset((await accepted.get()).transport)
        with pytest.raises(ConnectionResetError):
            await reader.read()


async def test_connection_that_has_ended_is_left_alone():
    """Soak, seed 201: the proxy reset a connection that its peer had ended."""

    async def keep(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await writer.wait_closed()

    async with await asyncio.start_server(keep, "127.0.0.1", 0) as server:
        port = server.sockets[0].getsockname()[1]
        _reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.transport.abort()
        await asyncio.sleep(0.01)
        reset(writer.transport)
