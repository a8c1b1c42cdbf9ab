"""``spanshunt``: the operators' tool, a client of the operators' API."""

import json
import os
import pathlib
import typing as t
import urllib.parse
from dataclasses import dataclass

import cappa

from .cli_files import CheckCommand
from .cli_files import FleetCommand
from .cli_files import ReportCommand
from .cli_files import TraceCommand
from .cli_io import AsJson
from .cli_io import as_table
from .cli_io import call_operators
from .cli_io import print_json
from .cli_io import read_file
from .version import __version__

Url = t.Annotated[
    str, cappa.Arg(long="--url", help="A box's operators' API (SPANSHUNT_URL).")
]

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
        raw = read_file(self.intents)
        signed = call_operators(self.url, "POST", "/plans", raw)
        if self.out:
            pathlib.Path(self.out).write_text(json.dumps(signed, indent=1))
        if self.as_json:
            print_json(signed)
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
        outcome = call_operators(self.url, "POST", "/confirm", read_file(self.plan))
        if self.as_json:
            print_json(outcome)
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
        answer = call_operators(self.url, "POST", "/drain", b"{}")
        if self.as_json:
            print_json(answer)
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
        answer = call_operators(self.url, "GET", f"/explain?{query}")
        if self.as_json:
            print_json(answer)
            return
        print(f"version   {answer['version'] or '(none)'}")
        print(f"rule      {answer['rule']}")
        for version, text in answer["estimates"].items():
            print(f"estimate  {version}: {text}")
        for text in answer["excluded"]:
            print(f"excluded  {text}")


@dataclass
class _Report(_Common):
    path: t.ClassVar[str] = ""

    def __call__(self) -> None:
        """Fetch the report and show it."""
        answer = call_operators(self.url, "GET", self.path)
        if self.as_json:
            print_json(answer)
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
        | ReportCommand
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


def main() -> None:
    """Run the operators' tool."""
    cappa.invoke(Command, version=__version__, completion=True)
