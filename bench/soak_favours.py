"""Most new connections at one daemon, and then at another, beside workers with limits.

Real daemons as in the fault soak, nothing else struck: each web worker names a limit.
Callers come at a steady rate, each on a connection of its own; nine of ten ask the
favoured daemon. From ``BINDS_S`` on they must be served at the first try nearly as
often as before.
"""

import asyncio
import typing as t

import aiohttp

from .soak_fleet import HOST
from .soak_fleet import KEYS
from .soak_fleet import BoxProcess
from .soak_fleet import NamedLimit
from .soak_fleet import Sent
from .soak_fleet import Soak
from .soak_fleet import add_worker
from .soak_fleet import configure
from .soak_fleet import start_boxes
from .soak_fleet import stop_fleet
from .soak_words import check_words

BOXES, WORKERS = 4, 3

RATE, LIMIT_PER_S = 30.0, 20.0
"""Requests a second of all callers, and what each worker takes a second."""

EVEN_S, FAVOUR_S = 5.0, 6.0
"""How long no daemon is favoured, and how long each of two is, in s."""

FAVOURED_EVERY = 10
"""All callers but every so many ask the favoured daemon."""

BINDS_S, SERVED_PART = 3.0, 0.75
"""From when on, in s, which part of what was served before must be served."""


async def play_favours(soak: Soak) -> None:
    """Play the schedule; what it breaks is noted in the soak."""
    await configure(soak)
    for _ in range(WORKERS):
        name = await add_worker(soak, "web")
        soak.workers[name].says["Server-Limit"] = str(LIMIT_PER_S)
        soak.limits.append(NamedLimit(name, LIMIT_PER_S, soak.now()))
    try:
        await start_boxes(soak, BOXES)
        soak.end = soak.now() + EVEN_S + 2 * FAVOUR_S
        phases = [None, soak.boxes[0], soak.boxes[2]]
        served = [await _call_phase(soak, favoured) for favoured in phases]
        _check_served(soak, served)
        check_words(soak)
    finally:
        await stop_fleet(soak)


async def _call_phase(soak: Soak, favoured: BoxProcess | None) -> float:
    """Let callers come, and return which part of the later ones was served."""
    seconds = FAVOUR_S if favoured is not None else EVEN_S
    began, asked = soak.now(), []
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True)
    ) as http:
        for number in range(round(RATE * seconds)):
            await asyncio.sleep(max(0.0, began + number / RATE - soak.now()))
            box = soak.boxes[number // FAVOURED_EVERY % len(soak.boxes)]
            if favoured is None:
                box = soak.boxes[number % len(soak.boxes)]
            elif number % FAVOURED_EVERY:
                box = favoured
            asked.append(asyncio.create_task(_ask(soak, http, box)))
        sent = await asyncio.gather(*asked)
    later = [one.status == 200 for one in sent if one.at >= began + BINDS_S]
    return sum(later) / max(1, len(later))


async def _ask(soak: Soak, http: aiohttp.ClientSession, box: BoxProcess) -> Sent:
    org, key = next(iter(KEYS.items()))
    sent = Sent(f"try-{len(soak.sent)}", "safe", org, key, box, soak.now())
    soak.sent[sent.request] = sent
    headers = {
        "Host": HOST,
        "Attempt-Id": sent.request,
        "Deadline-Ms": "1500",
        "Credential": key,
    }
    url = f"http://{box.callers}/safe/x"
    try:
        async with http.post(url, headers=headers) as resp:
            await resp.read()
            sent.status = resp.status
            soak.answered += resp.status == 200
    except (aiohttp.ClientError, OSError):
        sent.status = -1
    sent.ended = soak.now()
    return sent


def _check_served(soak: Soak, served: t.Sequence[float]) -> None:
    """Check the parts served under each favour against the one before any."""
    before, *under = served
    for number, part in enumerate(under):
        if part < SERVED_PART * before:
            soak.fail(
                "favoured",
                f"{part:.2f} served under favour {number}, {before:.2f} before",
            )
