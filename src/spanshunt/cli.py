"""``spanshunt``: the operators' tool, a client of the operators' API."""

import asyncio
import json
import os
import pathlib
import sys
import typing as t
import urllib.parse
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
import cappa
import msgspec

from .exceptions import SettingsError
from .fleet_report import FLEET_PATH
from .fleet_report import FleetView
from .settings import load_settings
from .traces import show
from .traces import trace
from .version import __version__

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_NOT_REACHED = 3
EXIT_CONFLICT = 4

_TIMEOUT = 30.0
_PREFIX = "/admin/v1"

Url = t.Annotated[
    str, cappa.Arg(long="--url", help="A box's operators' API (SPANSHUNT_URL).")
]
AsJson = t.Annotated[bool, cappa.Arg(long="--json", help="JSON, for scripts.")]

_DEFAULT_URL = os.environ.get("SPANSHUNT_URL", "http://127.0.0.1:7001")


@dataclass
class _Common:
    url: Url = _DEFAULT_URL
    as_json: AsJson = False


@cappa.command(name="plan", help="Answer intents with a plan; nothing takes effect.")
@dataclass
class PlanCommand(_Common):
    """Arguments of ``plan``."""

    intents: t.Annotated[
        str, cappa.Arg(long="--intents", help="JSON file with intents, - for stdin.")
    ] = "-"
    out: t.Annotated[
        str, cappa.Arg(long="--out", help="Where to write the plan, to confirm it.")
    ] = ""

    def __call__(self) -> None:
        """Ask for a plan and show it."""
        raw = _read(self.intents)
        signed = _call(self.url, "POST", "/plans", raw)
        if self.out:
            pathlib.Path(self.out).write_text(json.dumps(signed, indent=1))
        if self.as_json:
            _print_json(signed)
            return
        print(f"plan {signed['plan']['name'][:12]}")
        for note in signed["plan"]["notes"]:
            print(f"  {note}")
        if self.out:
            print(
                f"nothing has changed; to put it in force: spanshunt confirm {self.out}"
            )


@cappa.command(name="confirm", help="Confirm a plan, so that it takes effect.")
@dataclass
class ConfirmCommand(_Common):
    """Arguments of ``confirm``."""

    plan: t.Annotated[str, cappa.Arg(help="The file that `plan --out` wrote.")] = "-"

    def __call__(self) -> None:
        """Confirm a plan and say what became of it."""
        outcome = _call(self.url, "POST", "/confirm", _read(self.plan))
        if self.as_json:
            _print_json(outcome)
            return
        word = "accepted" if outcome["accepted"] else "on the log, not yet accepted"
        print(
            f"{word}: offset {outcome['offset']}, held by at least "
            f"{outcome['holders']} of {outcome['boxes']} boxes"
        )


@cappa.command(name="drain", help="Begin a planned stop of one box.")
@dataclass
class DrainCommand(_Common):
    """Arguments of ``drain``."""

    def __call__(self) -> None:
        """Ask a box to stop."""
        answer = _call(self.url, "POST", "/drain", b"{}")
        if self.as_json:
            _print_json(answer)
            return
        print(f"stopping; {answer['running']} requests will be finished first")


@cappa.command(name="explain", help="Say what a request would get now, and why.")
@dataclass
class ExplainCommand(_Common):
    """Arguments of ``explain``."""

    org: t.Annotated[str, cappa.Arg(long="--org", help="The organisation.")] = ""
    service: t.Annotated[str, cappa.Arg(long="--service", help="The service.")] = ""
    request_class: t.Annotated[
        str, cappa.Arg(long="--class", help="The request class.")
    ] = ""
    session: t.Annotated[str, cappa.Arg(long="--session", help="A session.")] = ""

    def __call__(self) -> None:
        """Ask for the explanation and show it."""
        asked = {
            "org": self.org,
            "service": self.service,
            "class": self.request_class,
            "session": self.session,
        }
        query = urllib.parse.urlencode(asked)
        answer = _call(self.url, "GET", f"/explain?{query}")
        if self.as_json:
            _print_json(answer)
            return
        print(f"version   {answer['version'] or '(none)'}")
        print(f"rule      {answer['rule']}")
        for version, text in answer["estimates"].items():
            print(f"estimate  {version}: {text}")
        for text in answer["excluded"]:
            print(f"excluded  {text}")


@cappa.command(name="trace", help="Show a request's way through boxes' logs.")
@dataclass
class TraceCommand:
    """Arguments of ``trace``."""

    request: t.Annotated[str, cappa.Arg(help="The request's id.")]
    logs: t.Annotated[
        list[str], cappa.Arg(help="Log files of boxes, - for standard input.")
    ]

    def __call__(self) -> None:
        """Read the logs and show what bears on the request."""
        raw = [line for file in self.logs for line in _read(file).splitlines()]
        found = trace(raw, self.request)
        if not any("request" in line for line in found.lines):
            message = f"{self.request}: not in {len(raw)} lines"
            raise cappa.Exit(message, code=EXIT_REFUSED)
        begin = float(found.lines[0].get("at", 0.0))
        for line in found.lines:
            print(show(line, begin))
        if found.unreadable:
            print(f"{found.unreadable} lines are no log lines", file=sys.stderr)


@cappa.command(name="fleet", help="Show what a box on the platform believes.")
@dataclass
class FleetCommand:
    """Arguments of ``fleet``."""

    source: t.Annotated[
        str,
        cappa.Arg(help="A box's metrics address (http://HOST:PORT), or a kept file."),
    ]
    as_json: AsJson = False

    def __call__(self) -> None:
        """Fetch or read what a box believes and show it."""
        if self.source.startswith("http://"):
            raw = _get(self.source.rstrip("/") + FLEET_PATH)
        else:
            raw = _read(self.source)
        try:
            view = msgspec.json.decode(raw, type=FleetView)
        except msgspec.MsgspecError as exc:
            message = f"{self.source}: no view of a fleet ({exc})"
            raise cappa.Exit(message, code=EXIT_USAGE) from exc
        built = json.loads(msgspec.json.encode(view))
        if self.as_json:
            _print_json(built)
        else:
            print(as_table(built))


@cappa.command(name="check", help="Check settings files, as the daemon would.")
@dataclass
class CheckCommand:
    """Arguments of ``check``."""

    files: t.Annotated[list[str], cappa.Arg(help="Settings files.")]

    def __call__(self) -> None:
        """Check the files; exit with 2 if one is wrong."""
        failed = False
        for file in self.files:
            try:
                load_settings(file)
                print(f"{file}: ok")
            except SettingsError as exc:
                print(exc, file=sys.stderr)
                failed = True
        if failed:
            raise cappa.Exit(code=EXIT_USAGE)


@dataclass
class _Report(_Common):
    path: t.ClassVar[str] = ""

    def __call__(self) -> None:
        """Fetch the report and show it."""
        answer = _call(self.url, "GET", self.path)
        if self.as_json:
            _print_json(answer)
        else:
            print(as_table(answer))


@cappa.command(name="status", help="Show one box at a glance.")
@dataclass
class StatusCommand(_Report):
    """Arguments of ``status``."""

    path = "/status"


@cappa.command(name="versions", help="Show the versions.")
@dataclass
class VersionsCommand(_Report):
    """Arguments of ``versions``."""

    path = "/versions"


@cappa.command(name="rollouts", help="Show the roll-outs.")
@dataclass
class RolloutsCommand(_Report):
    """Arguments of ``rollouts``."""

    path = "/rollouts"


@cappa.command(name="boxes", help="Show the boxes.")
@dataclass
class BoxesCommand(_Report):
    """Arguments of ``boxes``."""

    path = "/boxes"


@cappa.command(name="workers", help="Show the backend servers.")
@dataclass
class WorkersCommand(_Report):
    """Arguments of ``workers``."""

    path = "/workers"


@cappa.command(name="organisations", help="Show the organisations.")
@dataclass
class OrgsCommand(_Report):
    """Arguments of ``organisations``."""

    path = "/orgs"


@cappa.command(name="history", help="Show what was confirmed, and by whom.")
@dataclass
class HistoryCommand(_Report):
    """Arguments of ``history``."""

    path = "/history"


@cappa.command(name="histogram", help="Show one box's histograms.")
@dataclass
class HistogramCommand(_Report):
    """Arguments of ``histogram``."""

    path = "/histograms"


@cappa.command(name="bills", help="Show what organisations owe.")
@dataclass
class BillsCommand(_Report):
    """Arguments of ``bills``."""

    path = "/bills"


@cappa.command(name="spanshunt", help="The operators' tool of spanshunt.")
@dataclass
class Command:
    """Arguments of the operators' tool."""

    command: cappa.Subcommands[
        PlanCommand
        | ConfirmCommand
        | DrainCommand
        | ExplainCommand
        | TraceCommand
        | FleetCommand
        | CheckCommand
        | StatusCommand
        | VersionsCommand
        | RolloutsCommand
        | BoxesCommand
        | WorkersCommand
        | OrgsCommand
        | HistoryCommand
        | HistogramCommand
        | BillsCommand
    ]


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


def _read(file: str) -> bytes:
    if file == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(file).read_bytes()
    except OSError as exc:
        raise cappa.Exit(f"{file}: {exc.strerror}", code=EXIT_USAGE) from exc


def _call(url: str, method: str, path: str, body: bytes | None = None) -> t.Any:
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


def _get(url: str) -> bytes:
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


def _print_json(value: t.Any) -> None:
    print(json.dumps(value, indent=1))


def main() -> None:
    """Run the operators' tool."""
    cappa.invoke(Command, version=__version__, completion=True)
