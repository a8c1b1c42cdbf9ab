"""Requests and answers of stand-in workers, as they are on a connection."""

import asyncio

import msgspec


class SeenRequest(msgspec.Struct, frozen=True):
    """A request as it reached the worker; ``at`` is when, by the loop, in s."""

    request: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float


def write_head(
    status: int,
    request: str,
    length: int | None,
    *,
    sealed: bool,
    tells_load: bool = True,
    extra: dict[str, str] | None = None,
) -> bytes:
    """Return the head of an answer; `length` is None for a body without one."""
    headers = {"Attempt-Id": request}
    if tells_load:
        headers["Instance-Load"] = "1,0,8"
    headers |= extra or {}
    if sealed:
        headers["Response-Seal"] = f"seal-of-{request}"
    if length is not None:
        headers["Content-Length"] = str(length)
    lines = [f"HTTP/1.1 {status} Said"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


SURPLUS = write_head(200, "surplus", length=7, sealed=True) + b"surplus"
"""An answer that nobody asked for."""


async def read_request(reader: asyncio.StreamReader) -> SeenRequest | None:
    """Read a request; None if the connection ends before one is whole."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ", 2)
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    at = asyncio.get_running_loop().time()
    return SeenRequest(headers.get("attempt-id", ""), method, target, headers, body, at)


def health_head(name: str) -> bytes:
    """Return the answer of a healthy worker."""
    head = f"HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
    return head.encode()
