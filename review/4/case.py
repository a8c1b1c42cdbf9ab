"""Three workers of a zone crash while callers ask for one thing that is asked a lot."""

import asyncio
import collections
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent / "fleet2")]

import aiohttp  # noqa: E402

from fleet import HOST, KEY, TENANT, TROUBLE, CouldNotRunError, Fleet, Record, run  # noqa: E402

# channel-query of the site: at most 159 events, 9.14 requests a second.
EVENTS, EVENT_S = 159, 0.05
OTHERS_S, HOT_S = 0.163, 0.33
HOT_AT, HOT_FOR_S, CRASH_AT, BACK_AT, END_AT = 4.0, 5.6, 6.1, 10.6, 20.0
LATER_S = 5.0
"""How often the thing is asked for when it is hot no more, in s."""

CONFIG = {
    "Routes": [
        {
            "Name": "summary",
            "Hostname": HOST,
            "PathPrefix": "/summary/",
            "RouteType": "streaming",
            "Backend": "lm-pool",
            "TimeoutMs": 25000,
            "TargetLatencyMs": 2000,
            "GapAimMs": 1200,
            "MaxAttempts": 3,
            "StreamResume": True,
            "SessionAffinity": True,
            "Priority": 1,
        }
    ],
    "Backends": [
        {
            "Name": "lm-pool",
            "HealthPath": "/health",
            "Engine": {
                "Models": [{"Name": "m1", "Cost": 0.1}],
                "KvCapacityTokens": 682009,
            },
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1048576,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
}


async def ask(fleet, record, http, number, hot, tally):
    box = fleet.boxes[0] if hot else random.choice(fleet.boxes)
    name = f"try-{number}"
    thing = "hot" if hot else f"log-{number}"
    headers = {
        "Host": HOST,
        "Attempt-Id": name,
        "Deadline-Ms": "25000",
        "Credential": KEY,
        "Model": "m1",
        "Token-Counts": "628,960",
        "Session": f"s-{number}",
        "Prompt-Prefix": f"a{number % 8}:119,{thing.encode().hex()}:79,{number:x}:430",
    }
    body = f"Summarise {thing}. ".encode() * 30
    at = record.now()
    try:
        async with http.post(
            f"http://{box.callers}/summary/x", headers=headers, data=body
        ) as resp:
            whole = await resp.read()
            own = "Response-Seal" not in resp.headers
            said = whole[:160].decode("utf-8", "replace") if own else ""
            status = resp.status
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        status, own, said = 0, True, type(exc).__name__
    tally[(hot, status, own)] += 1
    record.line(
        f"{name} {'hot' if hot else 'other'} to {box.name} sent at {at:.3f}: {status}"
        f" {'own' if own else 'sealed'} {said}"
    )


async def case(fleet: Fleet, record: Record) -> bool:
    for zone in fleet.zones:
        for _ in range(3):
            worker = await fleet.add_worker("lm-pool", zone, slots=128)
            worker.events, worker.event_s = EVENTS, EVENT_S
    await fleet.configure(CONFIG)
    await fleet.start_boxes(1)
    struck = [
        w
        for name, w in fleet.workers.items()
        if fleet.entries[name]["Zone"] == "halle-a"
    ]
    tally = collections.Counter()
    tasks, number = set(), 0
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    began = record.now()
    next_other, next_hot, crashed, back = 0.0, HOT_AT, False, False
    async with aiohttp.ClientSession(connector=connector) as http:
        while (t := record.now() - began) < END_AT:
            while next_other <= t:
                tasks.add(
                    asyncio.create_task(ask(fleet, record, http, number, False, tally))
                )
                number, next_other = number + 1, next_other + OTHERS_S
            while next_hot <= t:
                tasks.add(
                    asyncio.create_task(ask(fleet, record, http, number, True, tally))
                )
                number += 1
                next_hot += HOT_S if t < HOT_AT + HOT_FOR_S else LATER_S
            if TROUBLE and t >= CRASH_AT and not crashed:
                crashed = True
                for worker in struck:
                    record.line(f"{worker.name} crashes")
                    worker.end()
            if crashed and t >= BACK_AT and not back:
                back = True
                for worker in struck:
                    await worker.start(worker.port)
            await asyncio.sleep(0.01)
        await asyncio.wait(tasks, timeout=20)
    for (hot, status, own), n in sorted(tally.items()):
        record.line(
            f"total: {'hot' if hot else 'other'} {status} {'own' if own else 'sealed'}: {n}"
        )
    for row in fleet.lines("content kept back"):
        record.line(f"log of {row[:400]}")
    refused = sum(
        n
        for (_, status, own), n in tally.items()
        if own and 300 <= status < 500 and status not in (408, 421, 429)
    )
    if sum(tally.values()) < 100:
        raise CouldNotRunError("too few requests ended")
    bound = 5 + sum(tally.values()) / 500
    record.line(f"refused for good, though proper: {refused}; allowed: {bound:.1f}")
    return refused <= bound


run(HERE, case)
