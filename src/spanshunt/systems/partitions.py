"""Partitions of this box from all workers, and the peers that send for it meanwhile.

A box may lose its ways to all workers while callers, the store and its peers still
reach it. Each failed connection then looks like a fault of a worker. If no connection
came up since a failed one began, the box probes workers of other failure domains. If
none of them is reached either, the box is partitioned: nothing that it sees of workers
counts against them, and it sends its requests through peers, called gateways, until
probes reach workers again.

Where something on the way takes connections in the place of workers, all come up and
none is answered. Once several workers in a row did not answer, the box asks others for
their health, and only an answer counts.

A gateway only sends. The box that received the request plans it, counts it against the
retry budget, the shares and the limits of workers, and bills it.
"""

import random
import typing as t

from ..ids import BoxId
from ..ids import Millis
from ..ids import RegionId
from ..tables.fleet import Fleet
from ..tables.fleet import PeerRow
from ..tables.partition import UnreachedWorker
from ..tables.workers import WorkerRow
from ..tables.workers import WorkerState
from .regions import is_in_regions
from .shedding import is_overloaded

MAX_PROBED = 3
"""Number of other workers that are probed after a failed connection. If a third of all
workers is down, one such check in 27 takes the box for partitioned; the next probe ends
that."""

REACHED_NEEDED = 2
"""Number of workers that probes must reach before the box sends by itself again: a
single connection may come up while a partition flaps."""

GATEWAY_HEARD_MS = 1_500
"""A peer that was not heard for this long gets no requests to send, in ms: three rounds
of gossip."""

GATEWAY_REST_MS = 1_000
"""How long a gateway that failed or had no room is left out, in ms: its next news tell
its room."""

UNANSWERED_NEEDED = 2
"""Number of workers in a row that must have taken a request without an answer before
others are asked for their health: a single one mostly ended."""

SAME_DOMAIN_WEIGHT = 4.0
"""How much more often a gateway of the box's own failure domain is drawn: the request
then crosses domains at most once."""

SENDS_MEMORY_FRACTION = 0.0625
"""Fraction of the box's memory for requests that it sends for peers."""

SEND_BYTES = 128 * 1024
"""Bytes that such a request takes beside its body: two connections' buffers."""

DEFAULT_SENDS_BYTES = 16 * 1024 * 1024
"""Bytes that they may take at a box whose memory is unknown."""


def is_partitioned(fleet: Fleet) -> bool:
    """Return whether this box reaches no worker by itself."""
    return fleet.partition.since >= 0


def record_connected(fleet: Fleet, began: Millis) -> None:
    """Record that a connection that began at `began` reached a worker."""
    partition = fleet.partition
    if began >= partition.connected_at:
        partition.connected_at = began
        partition.unreached.clear()


def record_unreached(fleet: Fleet, row: WorkerRow, now: Millis) -> None:
    """Record that a new connection did not reach a worker.

    To be called before the fault is recorded against the worker.
    """
    known = fleet.partition.unreached
    for name in known.keys() - fleet.workers.rows.keys():
        del known[name]
    if row.name not in known:
        known[row.name] = UnreachedWorker(now, row.cold_until)


def record_answered(fleet: Fleet, now: Millis, *, over_new: bool) -> None:
    """Record that a worker answered, over a new connection or a kept one.

    Kept connections may live on while new ones are taken by something else.
    """
    partition = fleet.partition
    partition.answered_at = now
    if over_new:
        partition.answered_new_at = now
        partition.unanswered.clear()
        return
    for name, was_new in list(partition.unanswered.items()):
        if not was_new:
            del partition.unanswered[name]


def record_unanswered(
    fleet: Fleet, row: WorkerRow, began: Millis, *, over_new: bool
) -> bool:
    """Record that a worker took a request at `began` or later and did not answer.

    Returns whether other workers must be asked for their health now.
    """
    partition = fleet.partition
    answered_at = partition.answered_new_at if over_new else partition.answered_at
    if answered_at >= began:
        return False
    for name in partition.unanswered.keys() - fleet.workers.rows.keys():
        del partition.unanswered[name]
    partition.unanswered[row.name] = over_new
    return len(partition.unanswered) >= UNANSWERED_NEEDED


def health_path(fleet: Fleet, row: WorkerRow) -> str:
    """Return the path that a worker is asked for its health at; empty if unknown."""
    services = fleet.catalog.services if fleet.catalog is not None else {}
    service = services.get(row.service)
    return service.health_path if service is not None else ""


def has_connected_since(fleet: Fleet, began: Millis) -> bool:
    """Return whether a connection that began at `began` or later reached a worker."""
    return fleet.partition.connected_at >= began


def workers_to_probe(
    fleet: Fleet, failed: WorkerRow, rng: random.Random
) -> list[WorkerRow]:
    """Return some other workers, of as many failure domains as there are."""
    rows = [
        row
        for row in fleet.workers.rows.values()
        if row.address != failed.address and _is_listed_live(fleet, row)
    ]
    rng.shuffle(rows)
    seen: dict[str, int] = {failed.domain: 1}
    ranked = []
    for row in rows:
        ranked.append((seen.get(row.domain, 0), row))
        seen[row.domain] = seen.get(row.domain, 0) + 1
    ranked.sort(key=lambda pair: pair[0])
    return [row for _, row in ranked[:MAX_PROBED]]


def worker_to_probe(fleet: Fleet, rng: random.Random) -> WorkerRow | None:
    """Return a worker that shows whether a partition is over; None if there is none."""
    rows = [row for row in fleet.workers.rows.values() if _is_listed_live(fleet, row)]
    fresh = [row for row in rows if row.name not in fleet.partition.reached_again]
    return rng.choice(fresh or rows) if rows else None


def _is_listed_live(fleet: Fleet, row: WorkerRow) -> bool:
    return row.name not in fleet.workers.leaving and row.state is WorkerState.LIVE


def begin_partition(fleet: Fleet, now: Millis, *, answerless: bool = False) -> None:
    """Record that this box reaches no worker, and take back what it made of that.

    Workers that it failed to reach were ejected, marked as cold and taken for ended.
    `answerless` tells whether connections come up all the same.
    """
    partition = fleet.partition
    partition.since = now
    partition.answerless = answerless
    partition.unanswered.clear()
    partition.reached_again.clear()
    partition.ended.clear()
    for row in fleet.workers.rows.values():
        row.failures = 0
        row.ejected_until = Millis(0)
        unreached = partition.unreached.get(row.name)
        if unreached is not None:
            _restore(row, unreached)
    for reports in fleet.silence_reports.values():
        reports.pop(fleet.identity.box, None)
    partition.unreached.clear()
    fleet.outages.clear()


def _restore(row: WorkerRow, unreached: UnreachedWorker) -> None:
    row.cold_until = unreached.cold_until
    if row.ended_at >= unreached.at:
        row.ended_at = Millis(-1)


def record_probe(fleet: Fleet, row: WorkerRow, now: Millis, *, reached: bool) -> bool:
    """Record a probe of a partitioned box; return whether the partition is over."""
    partition = fleet.partition
    if not reached:
        partition.reached_again.clear()
        return False
    partition.reached_again.add(row.name)
    needed = min(REACHED_NEEDED, len(fleet.workers.rows))
    if len(partition.reached_again) < needed:
        return False
    partition.since = Millis(-1)
    partition.connected_at = now
    partition.answered_at = partition.answered_new_at = now
    return True


def has_gateway(fleet: Fleet, now: Millis) -> bool:
    """Return whether any peer could send for this box."""
    return any(_room_at(row, now) > 0 for row in fleet.peers.values())


def choose_gateway(
    fleet: Fleet,
    now: Millis,
    rng: random.Random,
    tried: t.Collection[BoxId] = (),
    regions: t.Collection[frozenset[RegionId]] = (),
) -> PeerRow | None:
    """Return a peer to send a request through; None if there is none.

    Peers are drawn by the room that they told, less what this box sends through them,
    so that a small box gets less than a large one, and boxes do not all take the same.
    A peer must be in each of the sets of `regions` that is not empty, as the request
    with its body goes through it.
    """
    rows = [
        row
        for row in fleet.peers.values()
        if row.box not in tried
        and _room_at(row, now) > 0
        and is_in_regions(fleet, row.domain, regions)
    ]
    if not rows:
        return None
    own = fleet.identity.domain
    weights = [
        _room_at(row, now) * (SAME_DOMAIN_WEIGHT if row.domain == own else 1.0)
        for row in rows
    ]
    return rng.choices(rows, weights)[0]


def _room_at(row: PeerRow, now: Millis) -> int:
    """Return how many more requests a peer would send for this box."""
    if row.heard < 0 or now - row.heard >= GATEWAY_HEARD_MS:
        return 0
    if row.gateway_failed_at >= 0 and now - row.gateway_failed_at < GATEWAY_REST_MS:
        return 0
    return row.gateway_room - row.gateway_sends


def gateway_room(fleet: Fleet) -> int:
    """Return how many more requests without a long body this box would send for peers.

    A box that stops, that is partitioned itself, that has more work than it can carry
    or that knows no workers sends none.
    """
    if fleet.stopping or is_partitioned(fleet) or is_overloaded(fleet.overload):
        return 0
    if not fleet.workers.rows:
        return 0
    return max(0, (_max_sends_bytes(fleet) - fleet.gateway_bytes) // SEND_BYTES)


def may_send_for_peer(fleet: Fleet, body_bytes: int) -> bool:
    """Return whether this box has room to send a request for a peer."""
    if not gateway_room(fleet):
        return False
    taken = fleet.gateway_bytes + SEND_BYTES + body_bytes
    return taken <= max(_max_sends_bytes(fleet), SEND_BYTES + body_bytes)


def _max_sends_bytes(fleet: Fleet) -> int:
    memory_mb = fleet.limits.memory_mb
    if not memory_mb:
        return DEFAULT_SENDS_BYTES
    return int(SENDS_MEMORY_FRACTION * memory_mb * 1024 * 1024)
