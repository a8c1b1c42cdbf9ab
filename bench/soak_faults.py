"""Random faults of a fault soak, injected from outside the daemons."""

import asyncio
import enum
import json
import signal

from spanshunt.standins.store import EndpointFault
from spanshunt.standins.store import StoredRecord
from spanshunt.standins.store import StoredTopic
from spanshunt.standins.worker_faults import WorkerFault

from .links import LinkFault
from .soak_fleet import CALM_S
from .soak_fleet import EVENT_S
from .soak_fleet import IN_FORCE_S
from .soak_fleet import KEYS
from .soak_fleet import BoxProcess
from .soak_fleet import Route
from .soak_fleet import Soak
from .soak_fleet import add_worker
from .soak_fleet import come_back
from .soak_fleet import configure
from .soak_fleet import list_worker
from .soak_fleet import send_signal
from .soak_fleet import start
from .soak_fleet import struck

ORDER_S = 4
"""How long a roll-out may take, in s: two fit into the shortest schedule."""

LONG_ORDER_S = 9
"""How long one may take that has to show a version which is bad in part, in s: it gets
some twenty requests before it gets all."""

BAD_SHARE, AILING_SHARE = 0.7, 0.5
"""Parts of its answers that such a version fails, and that ailing workers of the
version before do."""

SLOW_X = 6.0
"""How many times as long a version that is slow takes between events."""

QUIET_S = CALM_S + 2.5
"""How long after all boxes were struck nothing else strikes all of them, in s: until
what changes meanwhile must be in force, and a little for callers to see it."""

LOOK_S = 0.05
"""How often its state is looked at, in s."""

ORDER_MARGIN_S = 1.0
"""How long after that its state is still awaited, in s."""


WRITTEN_AGAIN = ("keyed.op", "keyed.servers")
"""Topics of the operators and the workers."""

WEIGHTS = {
    "kill": 2,
    "term": 2,
    "freeze": 2,
    "hup": 1,
    "store": 3,
    "worker": 4,
    "drain": 1,
    "keys": 2,
    "routes": 3,
    "silence": 2,
    "cut": 1,
    "pause": 1,
    "order": 3,
    "forget": 1,
    "end": 1,
    "empty": 1,
    "older": 1,
}
"""Actions, and how often each is drawn against the others."""


QUIET_WEIGHTS = {"silence": 6, "worker": 2, "drain": 1, "empty": 1, "end": 1, "hup": 1}
"""The same in a schedule that strikes no single box: whoever is struck begins anew with
live connections, and tells the others what theirs keep from them."""


async def _restart(soak: Soak, box: BoxProcess, number: int, pause: float) -> None:
    if box.starting:
        return
    box.starting = True
    with struck(soak, [box], stopped=True):
        send_signal(box, signal.SIGCONT)
        send_signal(box, number)
        if box.process is not None:
            await box.process.wait()
        await asyncio.sleep(pause)
        await start(soak, box)
    box.starting = False


def _change_settings(box: BoxProcess) -> None:
    """Change a box's settings file, with a moment half written, and signal it.

    Nothing is drawn for it: a seed's schedule stays as it was.
    """
    if box.starting:
        return
    good = json.loads(box.settings.read_text())
    bounds = good.get("bounds", {})
    changed = 7.5 if bounds.get("grace_s") != 7.5 else 8.0
    raw = json.dumps({**good, "bounds": {**bounds, "grace_s": changed}})
    box.settings.write_text(raw[: len(raw) // 2])
    send_signal(box, signal.SIGHUP)
    # No pause between the halves: a box that is started now must find a whole file.
    box.settings.write_text(raw)
    send_signal(box, signal.SIGHUP)


async def _freeze(soak: Soak, box: BoxProcess, seconds: float) -> None:
    with struck(soak, [box], stopped=True):
        send_signal(box, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        send_signal(box, signal.SIGCONT)


async def _harm_store(soak: Soak, box: BoxProcess) -> None:
    with struck(soak, [box]):
        if soak.rng.random() < 0.5:
            box.endpoint.fault = soak.rng.choice(list(EndpointFault))
        else:
            box.link.fault = soak.rng.choice(list(LinkFault))
        await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
        box.endpoint.fault, box.link.fault = EndpointFault.NONE, LinkFault.NONE


async def _pause_store(soak: Soak) -> None:
    """Let the store stand still for all boxes, and then go on with what it holds."""
    ways = [box.endpoint for box in soak.boxes]
    ways = [way for way in ways if way.fault is EndpointFault.NONE]
    with struck(soak, soak.boxes):
        for way in ways:
            way.fault = EndpointFault.PAUSED
        await asyncio.sleep(soak.rng.uniform(0.3, 3.0))
        for way in ways:
            if way.fault is EndpointFault.PAUSED:
                way.fault = EndpointFault.NONE


LAST_PAUSE_S, MEET_S = 0.5, 1.0
"""Longest pause before the change that follows a silence, and how long callers still
ask once it must be in force, in s."""

SILENCED = ("store", "peers", "both")
"""Which connections go silent: to the store, between boxes, or both."""


async def _silence(soak: Soak) -> None:
    """Let open connections go silent for good, and change something in time for it."""
    boxes = soak.boxes
    if soak.rng.random() < 0.4 and not soak.quiet:
        boxes = soak.rng.sample(boxes, 2)
    ways = soak.rng.choice(("store", "both") if soak.quiet else SILENCED)
    # Callers go on until the change must be in force and they have met it: a silence
    # that begins late would show nothing.
    judged_s = CALM_S + LAST_PAUSE_S + IN_FORCE_S + MEET_S
    soak.end = max(soak.end, soak.now() + judged_s)
    # For the rules it is a reset of the connections of all boxes.
    with struck(soak, soak.boxes):
        for box in boxes:
            if ways != "peers":
                box.link.silence()
            if ways != "store":
                box.peers_link.silence()
    await asyncio.sleep(CALM_S + soak.rng.uniform(0.1, LAST_PAUSE_S))
    change = soak.rng.choice((_change_keys, _change_routes))
    await change(soak)
    if change is not _change_keys:
        # An added route may show nothing; a key that is gone or back does.
        await _change_keys(soak)


async def _cut_peers(soak: Soak, box: BoxProcess) -> None:
    """Cut a box off from what others ask it; it is still in touch with the store."""
    box.peers_link.fault = soak.rng.choice(list(LinkFault))
    await asyncio.sleep(soak.rng.uniform(0.5, 5.0))
    box.peers_link.fault = LinkFault.NONE


def disturbable(soak: Soak) -> list[str]:
    """Return the workers that actions may strike."""
    out = soak.bad | soak.undisturbed
    return [name for name in soak.workers if name not in out]


async def _harm_worker(soak: Soak) -> None:
    name = soak.rng.choice(disturbable(soak))
    worker, link = soak.workers[name], soak.links[name]
    if soak.rng.random() < 0.6:
        worker.fault = soak.rng.choice(list(WorkerFault))
    else:
        link.fault = soak.rng.choice(list(LinkFault))
    since = soak.now()
    await asyncio.sleep(soak.rng.uniform(0.2, 2.0))
    if link.fault is not LinkFault.NONE:
        soak.harmed.append((name, since, soak.now()))
    worker.fault, link.fault = WorkerFault.NONE, LinkFault.NONE


async def _end_worker(soak: Soak) -> None:
    """End a worker at once; it is back under its id, with nothing of before."""
    name = soak.rng.choice(disturbable(soak))
    if soak.workers[name].listening:
        soak.workers[name].end()
        await come_back(soak, name)


async def _drain_worker(soak: Soak) -> None:
    ready = [name for name in disturbable(soak) if name not in soak.draining]
    name = soak.rng.choice(ready)
    await add_worker(soak, soak.services[name], soak.workers[name].version)
    await list_worker(soak, name, "draining")
    soak.draining[name] = soak.now()


class Version(enum.Enum):
    """What a version that is ordered is like."""

    GOOD = "good"
    FAILS = "fails all"
    FAILS_IN_PART = "fails in part"
    FAILS_LATE = "fails in part, later"
    SLOW = "slow"


SHORT_ORDERS = (Version.GOOD, Version.FAILS)


async def _order(soak: Soak) -> None:
    """Order a roll-out, of a bad version in most cases, and see it through.

    Workers of a version that was taken back stay listed while the next order may come;
    those of one that was left are gone at once.
    """
    soak.orders += 1
    version = f"v{soak.orders + 1}"
    before = [name for name in soak.workers if soak.services[name] == "writer"]
    entering = [await add_worker(soak, "writer", version) for _ in range(2)]
    long = soak.end - soak.now() > LONG_ORDER_S + ORDER_MARGIN_S
    kind = soak.rng.choice(list(Version) if long else SHORT_ORDERS)
    seconds = ORDER_S if kind in SHORT_ORDERS else LONG_ORDER_S
    ailing = before[1:] if kind not in SHORT_ORDERS and soak.rng.random() < 0.5 else []
    for name in ailing:
        soak.bad.add(name)
        _harm(soak, name, AILING_SHARE)
    if kind is not Version.GOOD:
        soak.bad |= set(entering)
        soak.bad_versions.add(version)
    body = {"Backend": "writer", "TargetVersion": version, "DurationS": seconds}
    soak.ordered[version] = (soak.now(), seconds)
    await soak.store.put("keyed.op", "rollout/writer", body)
    turn = asyncio.create_task(_turn_bad(soak, kind, entering, seconds))
    for _ in range(int((seconds + ORDER_MARGIN_S) / LOOK_S)):
        if _state_of(soak, version) not in ("", "running"):
            break
        await asyncio.sleep(LOOK_S)
    turn.cancel()
    if _state_of(soak, version) == "rolled_back":
        soak.taken_back |= dict.fromkeys(entering, soak.now())
        for name in entering:
            # Sound again, so that only the verdict keeps requests away from them.
            soak.workers[name].fault = WorkerFault.NONE
            soak.workers[name].event_s = EVENT_S
    elif _state_of(soak, version) == "succeeded":
        for name in before:
            await soak.store.put("keyed.servers", name, None)
    for name in ailing:
        soak.bad.discard(name)
        soak.workers[name].fault = WorkerFault.NONE


def _harm(soak: Soak, name: str, share: float) -> None:
    worker = soak.workers[name]
    worker.fault, worker.fault_share = WorkerFault.ERROR, share


async def _turn_bad(
    soak: Soak, kind: Version, entering: list[str], seconds: float
) -> None:
    """Make a version what it is to be, at once or in the middle of its order."""
    if kind is Version.FAILS_LATE:
        await asyncio.sleep(0.6 * seconds)
    for name in entering:
        if kind is Version.SLOW:
            soak.workers[name].event_s = SLOW_X * EVENT_S
        elif kind is not Version.GOOD:
            _harm(soak, name, 1.0 if kind is Version.FAILS else BAD_SHARE)


def _state_of(soak: Soak, version: str) -> str:
    raw = soak.store.topic("keyed.status").values.get("rollout/writer")
    status = json.loads(raw) if raw else {}
    return status["State"] if status.get("TargetVersion") == version else ""


async def _empty_domain(soak: Soak) -> None:
    """Empty the second failure domain for a while, and give it back."""
    await soak.store.put("keyed.op", "evacuate/south", {})
    since = soak.now()
    await asyncio.sleep(soak.rng.uniform(2.0, 5.0))
    soak.emptied.append((since, soak.now()))
    await soak.store.put("keyed.op", "evacuate/south", None)


async def _come_back_older(soak: Soak) -> None:
    """Let the store be away and come back from a copy of some seconds ago.

    What the operators and the workers wrote since then they write again.
    """
    copied = soak.store.copy()
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    with struck(soak, soak.boxes):
        await _come_back_from(soak, copied)


async def _come_back_from(soak: Soak, copied: dict[str, StoredTopic]) -> None:
    away = [box.endpoint for box in soak.boxes]
    away = [way for way in away if way.fault is EndpointFault.NONE]
    for way in away:
        way.fault = EndpointFault.BUSY
    await asyncio.sleep(0.3)
    lost = {name: dict(soak.store.topic(name).values) for name in WRITTEN_AGAIN}
    await soak.store.come_back(copied)
    for way in away:
        way.fault = EndpointFault.NONE
    for name, values in lost.items():
        now = dict(soak.store.topic(name).values)
        changed = [key for key in values if values[key] != now.get(key)]
        records = [StoredRecord(key, values[key]) for key in changed]
        records += [StoredRecord(key, b"") for key in now if key not in values]
        await soak.store.append(name, records)


async def _change_keys(soak: Soak) -> None:
    now = soak.now()
    if soak.is_gone(KEYS["radio"]):
        key, since, _until = soak.keys_gone[-1]
        soak.keys_gone[-1] = (key, since, now)
    else:
        soak.keys_gone.append((KEYS["radio"], now, float("inf")))
    await configure(soak)


async def _change_routes(soak: Soak) -> None:
    """Add a route, or drop one that was added."""
    live = [row for row in soak.routes if row.dropped > soak.now()]
    if live and soak.rng.random() < 0.4:
        soak.rng.choice(live).dropped = soak.now()
        await configure(soak)
        return
    row = Route(f"added-{len(soak.routes)}", float("inf"))
    soak.routes.append(row)
    await configure(soak)
    row.added = soak.now()


async def act(soak: Soak) -> None:
    """Take one random action; those that last go on beside others."""
    rng = soak.rng
    box = rng.choice(soak.boxes[soak.spared :])
    weights = QUIET_WEIGHTS if soak.quiet else WEIGHTS
    kind = rng.choices(list(weights), list(weights.values()))[0]
    if kind == "kill":
        await _restart(soak, box, signal.SIGKILL, rng.uniform(0.0, 1.0))
    elif kind == "term":
        await _restart(soak, box, signal.SIGTERM, 0.0)
    elif kind == "freeze":
        await _freeze(soak, box, rng.uniform(0.2, 3.0))
    elif kind == "store":
        await _harm_store(soak, box)
    elif kind == "hup":
        _change_settings(box)
    elif kind == "cut":
        await _cut_peers(soak, box)
    elif kind == "forget":
        soak.store.forget("keyed.op")
    elif kind == "order" and not soak.ordering:
        soak.ordering = True
        await _order(soak)
        soak.ordering = False
    elif kind == "empty" and not soak.emptying:
        soak.emptying = True
        await _empty_domain(soak)
        soak.emptying = False
    elif kind in FLEET_WIDE and not soak.shaken:
        soak.shaken = True
        await FLEET_WIDE[kind](soak)
        await asyncio.sleep(QUIET_S)
        soak.shaken = False
    elif kind in ACTIONS:
        await ACTIONS[kind](soak)


FLEET_WIDE = {
    "older": _come_back_older,
    "silence": _silence,
    "pause": _pause_store,
}
"""Actions that strike all boxes at once."""

ACTIONS = {
    "worker": _harm_worker,
    "drain": _drain_worker,
    "keys": _change_keys,
    "routes": _change_routes,
    "end": _end_worker,
}
"""Actions that strike no box."""
