"""Accepting callers' connections, and closing those that are not taken."""

import asyncio
import errno
import socket

import pytest

from spanshunt.platform.caller_listener import CallerListener
from spanshunt.platform.caller_listener import listen


class _Counting(asyncio.Protocol):
    def __init__(self, made: list[asyncio.BaseTransport]) -> None:
        self._made = made

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._made.append(transport)


async def test_all_waiting_connections_are_accepted_in_a_few_turns():
    """Guards against a queue that nobody sees: with one connection accepted a turn, the
    callers of a busy box waited for seconds before it read anything."""
    made: list[asyncio.BaseTransport] = []
    sock = listen("127.0.0.1:0")
    callers = [socket.create_connection(sock.getsockname()) for _ in range(50)]
    listener = CallerListener(sock, lambda: _Counting(made), lambda: True)
    listener.start()
    for _ in range(8):
        await asyncio.sleep(0)
    assert len(made) == len(callers)
    listener.stop()
    for item in (*made, *callers):
        item.close()


async def test_connection_that_is_not_taken_is_reset_unread():
    sock = listen("127.0.0.1:0")
    caller = socket.create_connection(sock.getsockname())
    caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
    listener = CallerListener(sock, asyncio.Protocol, lambda: False)
    listener.start()
    await asyncio.sleep(0.05)
    caller.settimeout(1.0)
    with pytest.raises(ConnectionResetError):
        caller.recv(1)
    listener.stop()
    caller.close()


async def test_listener_goes_on_after_descriptors_ran_out(
    monkeypatch: pytest.MonkeyPatch,
):
    made: list[asyncio.BaseTransport] = []
    sock = listen("127.0.0.1:0")
    listener = CallerListener(sock, lambda: _Counting(made), lambda: True)
    faults = iter([OSError(errno.EMFILE, "too many open files")])
    accept = socket.socket.accept

    def failing(self: socket.socket):
        for fault in faults:
            raise fault
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", failing)
    caller = socket.create_connection(sock.getsockname())
    listener.start()
    for _ in range(50):
        await asyncio.sleep(0.02)
        if made:
            break
    assert made
    listener.stop()
    made[0].close()
    caller.close()


async def test_listener_that_has_stopped_refuses_connections():
    sock = listen("127.0.0.1:0")
    address = sock.getsockname()
    listener = CallerListener(sock, asyncio.Protocol, lambda: True)
    listener.start()
    listener.stop()
    listener.stop()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
