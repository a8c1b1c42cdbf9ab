"""``spanshunt-standin``: each stand-in as a process of its own."""

import asyncio
import typing as t
from dataclasses import dataclass

import cappa
import msgspec
from aiohttp import web

from ..backing.boxes import BoxList
from ..clock import Clock
from ..ids import VersionId
from ..version import __version__
from .boxes import BoxListStandin
from .engine import EngineModel
from .engine import EngineStandin
from .log import LogStandin
from .rater import RaterStandin
from .service import ServiceStandin

Listen = t.Annotated[str, cappa.Arg(long="--listen", help="Address, HOST:PORT.")]
Seed = t.Annotated[int, cappa.Arg(long="--seed", help="Seed of its draws.")]


@cappa.command(name="log", help="The append-only log.")
@dataclass
class LogCommand:
    """Arguments of the log stand-in."""

    listen: Listen = "127.0.0.1:7100"
    seed: Seed = 0

    def __call__(self) -> None:
        """Serve until stopped."""
        serve(LogStandin(Clock(), self.seed).app(), self.listen)


@cappa.command(name="engine", help="A model engine.")
@dataclass
class EngineCommand:
    """Arguments of the engine stand-in."""

    versions: t.Annotated[
        list[str], cappa.Arg(long="--version-held", help="A version it holds.")
    ]
    listen: Listen = "127.0.0.1:7200"
    seed: Seed = 0
    slots: t.Annotated[int, cappa.Arg(long=True, help="Answers in a batch.")] = 16
    token_ms: t.Annotated[
        float, cappa.Arg(long=True, help="Time between tokens, in ms.")
    ] = 2.0
    packet: t.Annotated[int, cappa.Arg(long=True, help="Tokens a packet.")] = 1

    def __call__(self) -> None:
        """Serve until stopped."""
        model = EngineModel(
            slots=self.slots, token_ms=self.token_ms, tokens_per_packet=self.packet
        )
        held = tuple(VersionId(name) for name in self.versions)
        serve(EngineStandin(held, model, self.seed).app(), self.listen)


@cappa.command(name="service", help="A plain service.")
@dataclass
class ServiceCommand:
    """Arguments of the plain service stand-in."""

    listen: Listen = "127.0.0.1:7300"
    seed: Seed = 0

    def __call__(self) -> None:
        """Serve until stopped."""
        serve(ServiceStandin(self.seed).app(), self.listen)


@cappa.command(name="rater", help="The service that rates answers.")
@dataclass
class RaterCommand:
    """Arguments of the rater stand-in."""

    quality: t.Annotated[
        str, cappa.Arg(long=True, help="JSON: share of good answers by version.")
    ] = "{}"
    listen: Listen = "127.0.0.1:7400"
    seed: Seed = 0

    def __call__(self) -> None:
        """Serve until stopped."""
        quality = msgspec.json.decode(self.quality, type=dict[str, float])
        serve(RaterStandin(quality, self.seed).app(), self.listen)


@cappa.command(name="boxes", help="The lagging list of boxes.")
@dataclass
class BoxesCommand:
    """Arguments of the box list stand-in."""

    file: t.Annotated[str, cappa.Arg(long=True, help="JSON file with the list.")]
    listen: Listen = "127.0.0.1:7500"
    lag_ms: t.Annotated[
        int, cappa.Arg(long=True, help="How late a change shows, in ms.")
    ] = 0

    def __call__(self) -> None:
        """Serve until stopped."""
        with open(self.file, "rb") as file:
            boxes = msgspec.json.decode(file.read(), type=BoxList)
        serve(BoxListStandin(boxes, self.lag_ms).app(), self.listen)


@cappa.command(
    name="spanshunt-standin", help="Stand-ins of the platform and of backend servers."
)
@dataclass
class StandinCommand:
    """Arguments of the stand-ins."""

    kind: cappa.Subcommands[
        LogCommand | EngineCommand | ServiceCommand | RaterCommand | BoxesCommand
    ]


def serve(app: web.Application, listen: str) -> None:
    """Serve an application until SIGTERM or SIGINT."""
    asyncio.run(_serve(app, listen))


async def _serve(app: web.Application, listen: str) -> None:
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    print(f"listening on {host}:{runner.addresses[0][1]}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def main() -> None:
    """Run a stand-in from the command line."""
    cappa.invoke(StandinCommand, version=__version__)
