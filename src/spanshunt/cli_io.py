"""What all commands of the tool share: files, boxes, exit statuses, tables."""

import asyncio
import json
import os
import pathlib
import sys
import typing as t
from http import HTTPStatus

import aiohttp
import cappa

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_REACHED = 3
EXIT_CONFLICT = 4

_TIMEOUT = 30.0
_PREFIX = "/admin/v1"

AsJson = t.Annotated[bool, cappa.Arg(long="--json", help="JSON, for scripts.")]


def as_table(answer: t.Any) -> str:
    """Return a report as text: an object as lines, a list as a table."""
    if isinstance(answer, dict):
        return "\n".join(_object_lines(answer))
    if not answer:
        return "(none)"
    names = list(answer[0])
    rows = [[_cell(row[name]) for name in names] for row in answer]
    widths = [
        max(len(name), *(len(row[index]) for row in rows))
        for index, name in enumerate(names)
    ]
    lines = [_line(names, widths)]
    lines += [_line(row, widths) for row in rows]
    return "\n".join(lines)


def _object_lines(answer: dict[str, t.Any]) -> list[str]:
    lines = []
    for name, value in answer.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            lines += ["", f"{name}:", as_table(value)]
        else:
            lines.append(f"{name:<14} {_cell(value)}")
    return lines


def _line(cells: list[str], widths: list[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()


def _cell(value: t.Any) -> str:
    if isinstance(value, list):
        return ",".join(map(str, value))
    if isinstance(value, dict):
        return " ".join(f"{name}={item}" for name, item in value.items())
    return str(value)


def read_file(file: str) -> bytes:
    """Return a file, or standard input for "-"; exit with a message on errors."""
    if file == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise cappa.Exit(f"{file}: {exc.strerror}", code=EXIT_USAGE) from exc


def call_operators(
    url: str, method: str, path: str, body: bytes | None = None
) -> t.Any:
    """Call a box's operators' API; exit with a message on refusals."""
    secret = os.environ.get("SPANSHUNT_OPERATOR", "")
    if not secret:
        message = "environment variable SPANSHUNT_OPERATOR: the credential is missing"
        raise cappa.Exit(message, code=EXIT_USAGE)
    try:
        status, answer = asyncio.run(_fetch(url, method, path, body, secret))
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise cappa.Exit(f"{url}: not reached ({exc})", code=EXIT_NOT_REACHED) from exc
    if status == HTTPStatus.OK:
        return answer
    code = EXIT_CONFLICT if status == HTTPStatus.CONFLICT else EXIT_REFUSED
    message = f"{answer['title']}: {answer['detail']} (run: {answer['run']})"
    raise cappa.Exit(message, code=code)


def fetch(url: str) -> bytes:
    """Fetch a page that needs no credential."""
    try:
        return asyncio.run(_fetch_page(url))
    except (aiohttp.ClientError, TimeoutError, OSError) as exc:
        raise cappa.Exit(f"{url}: not reached ({exc})", code=EXIT_NOT_REACHED) from exc


async def _fetch_page(url: str) -> bytes:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT)
    async with aiohttp.ClientSession(timeout=timeout) as http, http.get(url) as res:
        res.raise_for_status()
        return await res.read()


async def _fetch(
    url: str, method: str, path: str, body: bytes | None, secret: str
) -> tuple[int, t.Any]:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT)
    headers = {"Authorization": f"Bearer {secret}"}
    target = url.rstrip("/") + _PREFIX + path
    async with (
        aiohttp.ClientSession(timeout=timeout) as http,
        http.request(method, target, data=body, headers=headers) as res,
    ):
        return res.status, json.loads(await res.read())


def print_json(value: t.Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=1))
