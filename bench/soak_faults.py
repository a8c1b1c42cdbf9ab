"""Random faults of a fault soak, injected from outside the daemons."""

import asyncio
import signal

from spanshunt.standins.store import EndpointFault
from spanshunt.standins.worker import WorkerFault

from .links import LinkFault
from .soak_fleet import KEYS
from .soak_fleet import BoxProcess
from .soak_fleet import Soak
from .soak_fleet import add_worker
from .soak_fleet import configure
from .soak_fleet import list_worker
from .soak_fleet import send_signal
from .soak_fleet import start


async def _restart(soak: Soak, box: BoxProcess, number: int, pause: float) -> None:
    send_signal(box, number)
    if box.process is not None:
        await box.process.wait()
    await asyncio.sleep(pause)
    await start(soak, box)
    box.struck = soak.now()


async def _freeze(soak: Soak, box: BoxProcess, seconds: float) -> None:
    send_signal(box, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    send_signal(box, signal.SIGCONT)
    box.struck = soak.now()


async def _harm_store(soak: Soak, box: BoxProcess) -> None:
    if soak.rng.random() < 0.5:
        box.endpoint.fault = soak.rng.choice(list(EndpointFault))
    else:
        box.link.fault = soak.rng.choice(list(LinkFault))
    await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
    box.endpoint.fault, box.link.fault = EndpointFault.NONE, LinkFault.NONE
    box.struck = soak.now()


async def _harm_worker(soak: Soak) -> None:
    name = soak.rng.choice(list(soak.workers))
    worker, link = soak.workers[name], soak.links[name]
    if soak.rng.random() < 0.6:
        worker.fault = soak.rng.choice(list(WorkerFault))
    else:
        link.fault = soak.rng.choice(list(LinkFault))
    await asyncio.sleep(soak.rng.uniform(0.2, 2.0))
    worker.fault, link.fault = WorkerFault.NONE, LinkFault.NONE


async def _drain_worker(soak: Soak) -> None:
    ready = [name for name in soak.workers if name not in soak.draining]
    name = soak.rng.choice(ready)
    await add_worker(soak, soak.services[name], soak.workers[name].version)
    await list_worker(soak, name, "draining")
    soak.draining[name] = soak.now()


async def _change_keys(soak: Soak) -> None:
    if soak.revoked:
        soak.revoked.clear()
    else:
        soak.revoked[KEYS["radio"]] = soak.now()
    await configure(soak)


async def act(soak: Soak) -> None:
    """Take one random action; those that last go on beside others."""
    rng = soak.rng
    box = rng.choice(soak.boxes[soak.spared :])
    kind = rng.choices(
        ["kill", "term", "freeze", "hup", "store", "worker", "drain", "keys", "forget"],
        [2, 2, 2, 1, 3, 4, 1, 2, 1],
    )[0]
    lasting = box.process is not None and box.struck != float("inf")
    if kind in ("kill", "term", "freeze", "store") and lasting:
        box.struck = float("inf")
        if kind == "kill":
            await _restart(soak, box, signal.SIGKILL, rng.uniform(0.0, 1.0))
        elif kind == "term":
            await _restart(soak, box, signal.SIGTERM, 0.0)
        elif kind == "freeze":
            await _freeze(soak, box, rng.uniform(0.2, 3.0))
        else:
            await _harm_store(soak, box)
    elif kind == "hup":
        send_signal(box, signal.SIGHUP)
    elif kind == "worker":
        await _harm_worker(soak)
    elif kind == "drain":
        await _drain_worker(soak)
    elif kind == "keys":
        await _change_keys(soak)
    elif kind == "forget":
        soak.store.forget("keyed.op")
