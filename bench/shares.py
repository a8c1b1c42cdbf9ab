"""Organisations that compete for too little room, and refused callers that come back.

``python -m bench.shares`` plays two loads on the boxes and workers of
`bench.overload`: an organisation that asks for 1.6 of the room beside one that asks for
0.2, and three times the room for 4 s from callers that come back as they are told. It
prints, by organisation, how many requests were served, how often callers asked, and
the most callers that came back within 200 ms; and the work done as a share of the room.
"""

import asyncio
import contextlib
import random
import typing as t
from dataclasses import dataclass
from dataclasses import field

import aiohttp
import cappa
from loguru import logger

from .overload import CONFIG
from .overload import HOST
from .overload import READY_S
from .overload import ROOM_PER_S
from .overload import WORK_S
from .overload import Outcome
from .overload import Site

WINDOW_S = 0.2
"""Length of the window in which callers that come back are counted, in s."""

MIN_LEFT_S = 0.45
"""Time left with which a caller asks again at least, in s."""

WARM_S = 2.0
"""How long a light load is played before what is measured, in s."""

KEYS = {"large": "key-large", "small": "key-small"}
"""Credentials of the organisations."""


@dataclass
class Callers:
    """Callers of one organisation, and what became of their requests.

    ``returns`` holds when callers came back, in s of the loop's time.
    """

    org: str
    per_s: float
    deadline_s: float
    comes_back: bool = False
    asked: int = 0
    served: int = 0
    calls: int = 0
    unanswered: int = 0
    returns: list[float] = field(default_factory=list)

    def as_text(self) -> str:
        """Return the figures in a line."""
        return (
            f"{self.org}: asked {self.asked}, "
            f"served {self.served / max(1, self.asked):.3f}, "
            f"calls a request {self.calls / max(1, self.asked):.2f}, "
            f"without an answer in time {self.unanswered}, "
            f"most back in 200 ms {_most_in_window(self.returns)}"
        )


class Load(t.NamedTuple):
    """Callers that ask at once, and for how long."""

    callers: tuple[Callers, ...]
    lasts_s: float


def eight_times() -> Load:
    """Return the load of an organisation that asks for eight times the other's."""
    return Load(
        (
            Callers("large", 1.6 * ROOM_PER_S, 4.0),
            Callers("small", 0.2 * ROOM_PER_S, 4.0),
        ),
        10.0,
    )


def returning() -> Load:
    """Return the load of callers that come back as they are told."""
    return Load((Callers("large", 3.0 * ROOM_PER_S, 12.0, comes_back=True),), 4.0)


LOADS = {"eight times": eight_times, "returning": returning}


def _most_in_window(times: list[float]) -> int:
    ordered, most, first = sorted(times), 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


async def _call(
    http: aiohttp.ClientSession, base: str, callers: Callers, left_s: float
) -> tuple[int, float]:
    """Call a box once; return the status, and after which time to come back, in s."""
    headers = {
        "Host": HOST,
        "Attempt-Id": f"try-{random.randrange(2**50)}",
        "Deadline-Ms": str(int(1_000 * left_s)),
        "Credential": KEYS[callers.org],
    }
    async with (
        asyncio.timeout(left_s),
        http.get(f"{base}/safe/x", headers=headers) as resp,
    ):
        await resp.read()
        return resp.status, float(resp.headers.get("Retry-After", "0.1"))


async def _ask(
    site: Site, http: aiohttp.ClientSession, callers: Callers, rng: random.Random
) -> None:
    """Ask as a caller does, and come back as told until the time is over."""
    loop = asyncio.get_running_loop()
    end = loop.time() + callers.deadline_s
    callers.asked += 1
    while (left_s := end - loop.time()) > MIN_LEFT_S:
        callers.calls += 1
        try:
            status, after_s = await _call(http, rng.choice(site.bases), callers, left_s)
        except (TimeoutError, aiohttp.ClientError):
            callers.unanswered += 1
            return
        if status == 200:
            callers.served += 1
        if status == 200 or not callers.comes_back:
            return
        await asyncio.sleep(min(after_s, (end - loop.time()) / 3))
        callers.returns.append(loop.time())


async def _run(
    site: Site,
    http: aiohttp.ClientSession,
    callers: Callers,
    lasts_s: float,
    rng: random.Random,
) -> None:
    """Let callers ask at random times for a while; wait for the last answer."""
    loop = asyncio.get_running_loop()
    at, end = loop.time(), loop.time() + lasts_s
    async with asyncio.TaskGroup() as tasks:
        while (at := at + rng.expovariate(callers.per_s)) < end:
            await asyncio.sleep(at - loop.time())
            tasks.create_task(_ask(site, http, callers, rng))


async def play(load: Load, seed: int) -> str:
    """Play a load on a fleet of its own, after a light one; return what came of it."""
    site, rng = Site(), random.Random(seed)
    tenants = [{"Name": org, "ApiKeys": [key]} for org, key in KEYS.items()]
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        try:
            await site.start()
            config = {**CONFIG, "Version": 2, "Tenants": tenants}
            await site.store.put("keyed.op", "config", config)
            await asyncio.sleep(READY_S)
            await _run(site, http, Callers("small", 12.0, 4.0), WARM_S, rng)
            site.reset_sums()
            began = asyncio.get_running_loop().time()
            async with asyncio.TaskGroup() as tasks:
                for callers in load.callers:
                    tasks.create_task(_run(site, http, callers, load.lasts_s, rng))
            lasted_s = asyncio.get_running_loop().time() - began
            await asyncio.sleep(WORK_S)
            return _describe(site, load, lasted_s)
        finally:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(site.stop(), 5.0)


def _describe(site: Site, load: Load, lasted_s: float) -> str:
    sums = Outcome()
    site.add_sums(sums)
    asked = sum(callers.asked for callers in load.callers)
    texts = [callers.as_text() for callers in load.callers]
    done = (sums.worked_s - sums.wasted_s) / (ROOM_PER_S * WORK_S * lasted_s)
    return (
        f"{'; '.join(texts)}; work done {done:.2f} of the room in {lasted_s:.1f} s, "
        f"in vain {sums.wasted_s / max(0.001, sums.worked_s):.3f}, "
        f"sends to workers a request {sums.sends / max(1, asked):.2f}"
    )


@cappa.command(name="shares", help="Organisations that compete for too little room.")
@dataclass
class SharesCommand:
    """Arguments of the plays."""

    seeds: t.Annotated[int, cappa.Arg(long=True, help="How many seeds.")] = 1
    load: t.Annotated[str, cappa.Arg(long=True, help="The only load.")] = ""


def main() -> None:
    """Play each load with some seeds and print a line for each."""
    command = cappa.parse(SharesCommand)
    logger.remove()
    for name, load in LOADS.items():
        if command.load not in ("", name):
            continue
        for seed in range(1, command.seeds + 1):
            print(f"{name} seed {seed}: {asyncio.run(play(load(), seed))}", flush=True)


if __name__ == "__main__":
    main()
