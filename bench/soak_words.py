"""What workers say of themselves in a fault soak, and whether boxes heed it."""

import asyncio
import random

from .soak_fleet import NamedLimit
from .soak_fleet import Soak

LIMITS_PER_S = (0.5, 4.0)
"""Bounds of the limits that workers name, in requests a second."""

NAMED_AT_S = (0.2, 0.8)
"""When workers name them, in s from the first request."""

CONTACT_S, TOLD_S = 3.0, 0.5
"""How long after a limit is named it binds, and how long after its answer a box, in
s."""

WINDOW_S, OVER, SLACK = 4.0, 1.5, 5.0
"""A window, in s; in any such one a worker may get so many times what its limit allows,
and so many requests more."""


async def say_words(soak: Soak, rng: random.Random) -> None:
    """Let a worker of each service name a limit until the end.

    What is drawn for it is drawn apart, so that schedules stay as they were.
    """
    await asyncio.sleep(rng.uniform(*NAMED_AT_S))
    for service in ("web", "writer"):
        known = sorted(name for name, of in soak.services.items() if of == service)
        name, per_s = rng.choice(known), round(rng.uniform(*LIMITS_PER_S), 1)
        soak.workers[name].says["Server-Limit"] = str(per_s)
        soak.limits.append(NamedLimit(name, per_s, soak.now()))


def check_words(soak: Soak) -> None:
    """Check what reached workers against what they had said."""
    for named in soak.limits:
        _check_limit(soak, named)


def _check_limit(soak: Soak, named: NamedLimit) -> None:
    """Check that calm boxes which were told of a limit kept to it together."""
    worker = soak.workers[named.worker]
    told = _told_at(soak, named.worker, "Server-Limit")
    counted = []
    for seen in worker.seen:
        sent = soak.sent.get(seen.request)
        if sent is None or seen.at < told.get(sent.box.name, soak.end) + TOLD_S:
            continue
        if sent.box.is_calm(seen.at, seen.at):
            counted.append(seen.at)
    allowed = OVER * WINDOW_S * named.per_s + SLACK
    for at in counted:
        within = sum(at - WINDOW_S < one <= at for one in counted)
        if at - WINDOW_S >= named.since + CONTACT_S and within > allowed:
            detail = f"{named.worker} named {named.per_s}/s and got {within} in 4 s"
            soak.fail("limit", detail)
            return


def _told_at(soak: Soak, name: str, word: str) -> dict[str, float]:
    """Return when each box first had an answer of a worker with a word, in s."""
    told: dict[str, float] = {}
    for said in soak.workers[name].said:
        sent = soak.sent.get(said.request)
        if sent is not None and word in said.headers:
            told.setdefault(sent.box.name, said.at)
    return told
