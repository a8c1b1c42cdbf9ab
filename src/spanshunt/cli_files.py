"""Commands of the tool that need no operators' API: logs, settings, a box's view."""

import json
import pathlib
import sys
import typing as t
from dataclasses import dataclass

import cappa
import msgspec

from .cli_io import EXIT_REFUSED
from .cli_io import EXIT_USAGE
from .cli_io import AsJson
from .cli_io import as_table
from .cli_io import fetch
from .cli_io import print_json
from .cli_io import read_file
from .exceptions import SettingsError
from .fleet_report import FLEET_PATH
from .fleet_report import FleetView
from .platform.settings import load_node_settings
from .platform.settings import shared_digest
from .run_page import NoPlotsError
from .run_page import run_page
from .run_summary import summarise
from .settings import load_settings
from .traces import show
from .traces import trace


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
        raw = [line for file in self.logs for line in read_file(file).splitlines()]
        found = trace(raw, self.request)
        if not any(line.get("request") == self.request for line in found.lines):
            message = f"{self.request}: not in {len(raw)} lines"
            raise cappa.Exit(message, code=EXIT_REFUSED)
        begin = float(found.lines[0].get("at", 0.0))
        for line in found.lines:
            print(show(line, begin, self.request))
        if found.unreadable:
            print(f"{found.unreadable} lines are no log lines", file=sys.stderr)


@cappa.command(name="report", help="Make a page with plots from boxes' logs.")
@dataclass
class ReportCommand:
    """Arguments of ``report``."""

    logs: t.Annotated[
        list[str], cappa.Arg(help="Log files of boxes, - for standard input.")
    ]
    out: t.Annotated[str, cappa.Arg(long="--out", help="Where to write the page.")] = (
        "report.html"
    )

    def __call__(self) -> None:
        """Add the logs up and write the page."""
        raw = [line for file in self.logs for line in read_file(file).splitlines()]
        summary = summarise(raw)
        if not summary.lines:
            message = f"no log line among {summary.unreadable} lines"
            raise cappa.Exit(message, code=EXIT_REFUSED)
        try:
            page = run_page(summary)
            pathlib.Path(self.out).write_text(page)
        except NoPlotsError as exc:
            raise cappa.Exit(str(exc), code=EXIT_USAGE) from exc
        except OSError as exc:
            raise cappa.Exit(f"{self.out}: {exc.strerror}", code=EXIT_USAGE) from exc
        print(f"{self.out}: {summary.lines} lines of {len(summary.boxes)} boxes")


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
            raw = fetch(self.source.rstrip("/") + FLEET_PATH)
        else:
            raw = read_file(self.source)
        try:
            view = msgspec.json.decode(raw, type=FleetView)
        except msgspec.MsgspecError as exc:
            message = f"{self.source}: no view of a fleet ({exc})"
            raise cappa.Exit(message, code=EXIT_USAGE) from exc
        built = json.loads(msgspec.json.encode(view))
        if self.as_json:
            print_json(built)
        else:
            print(as_table(built))


@cappa.command(name="check", help="Check settings files, as the daemon would.")
@dataclass
class CheckCommand:
    """Arguments of ``check``."""

    files: t.Annotated[list[str], cappa.Arg(help="Settings files.")]
    platform: t.Annotated[
        bool,
        cappa.Arg(
            long="--platform",
            help="They are of boxes on the platform; tells the digest that boxes show.",
        ),
    ] = False

    def __call__(self) -> None:
        """Check the files; exit with 2 if one is wrong."""
        failed = False
        for file in self.files:
            try:
                print(f"{file}: ok{self._check(file)}")
            except SettingsError as exc:
                print(exc, file=sys.stderr)
                failed = True
        if failed:
            raise cappa.Exit(code=EXIT_USAGE)

    def _check(self, file: str) -> str:
        """Check one file; return what else to tell of it."""
        if not self.platform:
            load_settings(file)
            return ""
        return f", digest {shared_digest(load_node_settings(file))}"
