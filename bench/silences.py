"""How soon a change is in force after open connections went silent, on real daemons.

``python -m bench.silences`` starts six daemons as processes in three failure domains,
lets connections go silent for good, adds a route and takes a key away 3.2 s later, and
asks each box ten times a second for both. It prints when the first right answer came
from each box, and how many wrong ones callers got later than the bound.
"""

import asyncio
import pathlib
import random
import shutil
import tempfile
import typing as t
from dataclasses import dataclass

import aiohttp
import cappa

from .soak_fleet import CALM_S
from .soak_fleet import HOST
from .soak_fleet import IN_FORCE_S
from .soak_fleet import KEYS
from .soak_fleet import ROOT
from .soak_fleet import BoxProcess
from .soak_fleet import Route
from .soak_fleet import Soak
from .soak_fleet import add_worker
from .soak_fleet import configure
from .soak_fleet import start_boxes
from .soak_fleet import stop_fleet

DOMAINS = ("north", "west", "south")

WATCHED_S = 12.0
"""How long boxes are asked after the change, in s."""

MARGIN_S = 0.2
"""How much later than bounds hold again the change comes, in s."""

ASK_S = 0.1
"""How often each box is asked, in s."""


@dataclass
class Found:
    """What callers saw of one box.

    ``first_ms`` is when it first served the added route, -1 for never; ``refused`` and
    ``let_through`` count wrong answers to requests sent later than the bound.
    """

    first_ms: int = -1
    refused: int = 0
    let_through: int = 0


async def play(
    seed: int, source: pathlib.Path, boxes: int, who: int, ways: str
) -> list[Found]:
    """Play one silence of the ways to `who` boxes and return what came of each box."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="silence-"))
    soak = Soak(random.Random(seed), folder, source, domains=DOMAINS)
    soak.peers_linked = ways != "store"
    await configure(soak)
    for service in ("web", "web", "writer"):
        await add_worker(soak, service)
    try:
        await start_boxes(soak, boxes)
        await asyncio.sleep(soak.rng.uniform(2.0, 4.0))
        for box in soak.rng.sample(soak.boxes, who):
            if ways != "peers":
                box.link.silence()
            if ways != "store":
                box.peers_link.silence()
        await asyncio.sleep(CALM_S + MARGIN_S)
        return await _change(soak)
    finally:
        await stop_fleet(soak)
        shutil.rmtree(folder)


async def _change(soak: Soak) -> list[Found]:
    """Change routes and keys, and ask all boxes for what changed."""
    soak.routes.append(Route("added", soak.now()))
    soak.keys_gone.append((KEYS["radio"], soak.now(), float("inf")))
    await configure(soak)
    acknowledged = soak.now()
    found = [Found() for _ in soak.boxes]
    asks: list[asyncio.Task[None]] = []
    async with aiohttp.ClientSession() as http:
        while soak.now() < acknowledged + WATCHED_S:
            for box, seen in zip(soak.boxes, found, strict=True):
                ask = _ask(soak, http, box, seen, acknowledged)
                asks.append(asyncio.create_task(ask))
            await asyncio.sleep(ASK_S)
        await asyncio.gather(*asks)
    return found


async def _ask(
    soak: Soak,
    http: aiohttp.ClientSession,
    box: BoxProcess,
    found: Found,
    acknowledged: float,
) -> None:
    sent = soak.now()
    late = sent > acknowledged + IN_FORCE_S
    added = await _status(http, box, "added", KEYS["museo"], f"a-{sent}-{box.name}")
    if added == 200 and found.first_ms < 0:
        found.first_ms = round(1_000 * (soak.now() - acknowledged))
    found.refused += late and added == 404
    gone = await _status(http, box, "safe", KEYS["radio"], f"g-{sent}-{box.name}")
    found.let_through += late and gone == 200


async def _status(
    http: aiohttp.ClientSession, box: BoxProcess, route: str, key: str, request: str
) -> int:
    headers = {
        "Host": HOST,
        "Attempt-Id": request,
        "Deadline-Ms": "3000",
        "Credential": key,
    }
    url = f"http://{box.callers}/{route}/x"
    async with http.get(url, headers=headers) as resp:
        await resp.read()
        return resp.status


@cappa.command(name="silences", help="Changes after open connections went silent.")
@dataclass
class SilenceCommand:
    """Arguments."""

    who: t.Annotated[int, cappa.Arg(long=True, help="Boxes that are struck.")] = 6
    ways: t.Annotated[
        t.Literal["store", "peers", "both"],
        cappa.Arg(long=True, help="Which connections go silent."),
    ] = "store"
    seeds: t.Annotated[int, cappa.Arg(long=True, help="How many plays.")] = 1
    boxes: t.Annotated[int, cappa.Arg(long=True, help="Daemons.")] = 6
    source: t.Annotated[
        pathlib.Path, cappa.Arg(long=True, help="The sources to run.")
    ] = ROOT / "src"


def main() -> None:
    """Play silences and print what came of each box."""
    args = cappa.parse(SilenceCommand)
    for seed in range(1, args.seeds + 1):
        found = asyncio.run(play(seed, args.source, args.boxes, args.who, args.ways))
        print(
            f"{args.who} of {args.boxes}, {args.ways}, seed {seed}: in force after "
            f"{[one.first_ms for one in found]} ms, refused late "
            f"{sum(one.refused for one in found)}, let through late "
            f"{sum(one.let_through for one in found)}"
        )


if __name__ == "__main__":
    main()
