"""Choice of a worker for one attempt: load, prompt memory, distance, health.

Each candidate gets an estimate of what it costs to run there: a prompt in ms of the
time to its first event, a plain request in parts of a batch. The cheapest is taken.
Boxes see the same old reports, so the estimate counts this box's own requests exactly
and draws among near equals at random.
"""

import math
import random
import typing as t

import msgspec

from ..ids import DomainId
from ..ids import Millis
from ..ids import RegionId
from ..ids import ServiceId
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow
from ..tables.workers import WorkerState
from ..utils import rendezvous
from .estimating import Effort
from .estimating import Estimate
from .estimating import estimator
from .estimating import shared_read_ms
from .estimating import speed_of
from .evacuating import emptied_domains
from .keeping import part_key
from .outages import is_out_of_reach
from .ramping import VersionRule
from .resting import rest_left_ms
from .throttling import grant_wait_ms
from .throttling import is_limited
from .warming import may_send_to

FAR_COST = 0.35
"""What another failure domain costs a plain request, in parts of a batch: bytes between
domains are priced, and an answer from there must be that much sooner to be worth
them."""

FAR_AIM_PART = 0.2
"""What another failure domain costs a prompt, in parts of the route's aim: an engine
there must be free that much sooner to be worth the bytes."""

LOAD_AIM_PART = 0.1
"""What a batch that is full costs a prompt, in parts of the route's aim; in proportion
else. Each token comes more slowly the more of them are made at once."""

ERROR_AIM_PART = 2.0
"""What a worker costs a prompt that fails all its answers, in parts of the aim."""

NOISE_AIM_PART = 0.005
"""Size of the random part for a prompt, in parts of the aim: boxes that see the same
draw among engines that are nearly alike."""

ERROR_COST = 2.0
"""What a worker costs that fails all its answers, in parts of a batch."""

GRANT_AIM_PART, GRANT_BATCH_PART = 0.5, 1.0
"""What a limited worker's open grant is worth to a prompt, in parts of the aim, and to
a plain request, in parts of a batch: more than distance and load, as one that is not
used soon is lost, and each of many boxes has one seldom."""

NOISE = 0.04
"""Size of the random part, in parts of a batch: about one request of a batch of 32."""

REPORT_HALF_LIFE_MS = 400
"""How fast other boxes' part of a worker's report loses weight, in ms: about the time
that a short answer takes."""


class Wanted(msgspec.Struct, frozen=True):
    """What an attempt needs of a worker.

    Attributes
    ----------
    service : str
        Who must answer.
    rule : VersionRule
        Which versions may answer.
    domain : str
        The failure domain of this box.
    effort : Effort or None
        What a prompt asks of an engine; None for plain requests.
    target_latency_ms : int
        Time within which the first event shall come, in ms.
    avoid : collection of str
        Workers that had the request already.
    again : bool
        Whether one of these is better than none.
    silent : collection of str
        Workers that boxes found silent.
    eager : bool
        Whether it may use a limited worker's grant as soon as that opens.
    regions : tuple of frozenset of str
        Regions that the worker must be in, each of them; an empty one allows any.
    apart : collection of str or None
        Workers that have requests under which workers ended, where this is one, too;
        None where it is not.
    """

    service: ServiceId
    rule: VersionRule
    domain: DomainId
    effort: Effort | None = None
    target_latency_ms: Millis = Millis(0)
    avoid: t.Collection[WorkerId] = ()
    again: bool = False
    silent: t.Collection[WorkerId] = ()
    eager: bool = True
    regions: tuple[frozenset[RegionId], ...] = ()
    apart: t.Collection[WorkerId] | None = None


class Placed(msgspec.Struct, frozen=True):
    """A chosen worker, and what the choice rested on, for logs.

    Attributes
    ----------
    worker : WorkerRow
        The worker.
    load : float
        Its load, in parts of its batch.
    candidates : int
        Workers that the choice was among.
    report_age_ms : int
        Age of the report that the load rests on; -1 for none.
    expected : Estimate or None
        What a prompt probably meets there.
    """

    worker: WorkerRow
    load: float
    candidates: int
    report_age_ms: int
    expected: Estimate | None = None


def place(
    fleet: Fleet, wanted: Wanted, now: Millis, rng: random.Random
) -> Placed | None:
    """Choose a worker, or none if no worker takes work."""
    rows = candidates(fleet, wanted, now)
    if not rows:
        return None
    if wanted.apart is not None:
        rows = [_lone_place(rows, wanted.apart, now, rng)]
    found: Estimate | None = None
    if wanted.effort is None:
        best = min(rows, key=lambda row: _plain_cost(row, wanted, now, rng))
    else:
        best, found = _best_engine(fleet, rows, wanted, wanted.effort, now, rng)
    age = now - best.reported_at if best.reported_at else -1
    return Placed(best, batch_load(best, now), len(rows), age, found)


def _lone_place(
    rows: list[WorkerRow],
    apart: t.Collection[WorkerId],
    now: Millis,
    rng: random.Random,
) -> WorkerRow:
    """Return where to send a request under which a worker ended.

    A worker with another such request is left out, so that the next end speaks against
    one of them; of two drawn at random the less loaded is taken. Where workers end by
    themselves, 24 sound contents were kept back in six plays, without this 36
    (``bench/ends.py``); beside a content that ends workers none were.
    """
    free = [row for row in rows if row.name not in apart] or rows
    drawn = rng.sample(free, min(2, len(free)))
    return min(drawn, key=lambda row: batch_load(row, now))


def _plain_cost(
    row: WorkerRow, wanted: Wanted, now: Millis, rng: random.Random
) -> float:
    """Return what a plain request costs at a worker, in parts of a batch."""
    return (
        batch_load(row, now)
        + (FAR_COST if row.domain != wanted.domain else 0.0)
        + ERROR_COST * row.error_rate
        - (GRANT_BATCH_PART if is_limited(row) else 0.0)
        + NOISE * rng.random()
    )


def _best_engine(
    fleet: Fleet,
    rows: list[WorkerRow],
    wanted: Wanted,
    effort: Effort,
    now: Millis,
    rng: random.Random,
) -> tuple[WorkerRow, Estimate]:
    """Return where a prompt costs least, in ms, and what it probably meets there.

    At its owner it is not charged for what all boxes' requests read there but once.
    """
    owner = owner_of(fleet, rows, wanted)
    speed = speed_of(fleet, effort.service, effort.model)
    own_ms = speed.base_ms + (effort.read - effort.shared_tokens) * speed.read_ms
    estimate = estimator(fleet, effort, now)
    target_latency_ms = wanted.target_latency_ms
    noise = NOISE_AIM_PART * target_latency_ms
    best, best_found, least = rows[0], Estimate(), math.inf
    for row in rows:
        owns = row.name == owner
        found = estimate(row, owns)
        aims = LOAD_AIM_PART * batch_load(row, now) + ERROR_AIM_PART * row.error_rate
        if row.domain != wanted.domain:
            aims += FAR_AIM_PART
        if is_limited(row):
            aims -= GRANT_AIM_PART
        cost = (
            found.wait_ms
            + (own_ms if owns else found.read_ms)
            + aims * target_latency_ms
        )
        cost += noise * rng.random()
        if cost < least:
            best, best_found, least = row, found, cost
    return best, best_found


def candidates(fleet: Fleet, wanted: Wanted, now: Millis) -> list[WorkerRow]:
    """Return workers that take work; a suspect one only where no other is left."""
    takes_work = _filter(fleet, wanted, now)
    able = [
        row
        for row in fleet.workers.find_capable(wanted.service, wanted.rule.only)
        if wanted.rule.admits(row.versions)
        and takes_work(row)
        and open_in_ms(fleet, row, wanted, now) <= 0
    ]
    rows = [row for row in able if row.name not in wanted.avoid]
    if not rows and wanted.again:
        rows = able
    live = [
        row
        for row in rows
        if row.ejected_until <= now and row.name not in wanted.silent
    ]
    away = {domain for domain in fleet.outages if is_out_of_reach(fleet, domain, now)}
    near = [row for row in live if row.domain not in away] if away else live
    return near or live or rows


def held_off(fleet: Fleet, wanted: Wanted, now: Millis) -> list[WorkerRow]:
    """Return workers that could answer but for the limit or the rest they ask for."""
    takes_work = _filter(fleet, wanted, now)
    return [
        row
        for row in fleet.workers.find_capable(wanted.service, wanted.rule.only)
        if open_in_ms(fleet, row, wanted, now) > 0
        and wanted.rule.admits(row.versions)
        and takes_work(row)
    ]


def open_in_ms(fleet: Fleet, row: WorkerRow, wanted: Wanted, now: Millis) -> Millis:
    """Return in how long a worker takes such a request by its own word, in ms."""
    rest_ms = rest_left_ms(row, now)
    if not is_limited(row):
        return rest_ms
    return max(rest_ms, grant_wait_ms(fleet, row, now, eager=wanted.eager))


def _filter(fleet: Fleet, wanted: Wanted, now: Millis) -> t.Callable[[WorkerRow], bool]:
    """Return what tells whether a worker takes such requests, but for its own word."""
    leaving = fleet.workers.leaving
    emptied = emptied_domains(fleet)
    bound = [allowed for allowed in wanted.regions if allowed]

    def takes_work(row: WorkerRow) -> bool:
        if row.name in leaving or row.state is WorkerState.LEAVING:
            return False
        if row.domain in emptied:
            return False
        if bound and not _is_home(fleet, row, bound):
            return False
        return row.cold_until <= now or may_send_to(fleet, row, now)

    return takes_work


def _is_home(
    fleet: Fleet, row: WorkerRow, bound: t.Iterable[frozenset[RegionId]]
) -> bool:
    """Tell whether a worker is in each set of regions; one unknown is in none."""
    region = fleet.regions.get(row.domain)
    return all(region in allowed for allowed in bound)


def batch_load(row: WorkerRow, now: Millis) -> float:
    """Return a worker's load in parts of its batch, requests in its queue twice."""
    told = max(0, row.reported - row.own_inflight_at_report) + row.queued
    if not told or not row.reported_at:
        return row.inflight / max(1, row.slots)
    weight: float = 0.5 ** (max(0, now - row.reported_at) / REPORT_HALF_LIFE_MS)
    return (row.inflight + told * weight) / max(1, row.slots)


def owner_of(fleet: Fleet, rows: list[WorkerRow], wanted: Wanted) -> WorkerId:
    """Return which engine boxes agree on for a prompt's shared parts; "" for none.

    There is one in all where reading them costs more than another failure domain does,
    and one in each domain else.
    """
    effort = wanted.effort
    if effort is None or not effort.shared:
        return WorkerId("")
    near = [row.name for row in rows if row.domain == wanted.domain]
    everywhere = shared_read_ms(fleet, effort) > FAR_AIM_PART * wanted.target_latency_ms
    names = near if near and not everywhere else [row.name for row in rows]
    key = part_key(effort.model, effort.shared[-1].name)
    return WorkerId(rendezvous(key, names, 1)[0])
