"""Choice of a worker for one attempt by load, prompt cache, failure domain and health.

``spanshunt.platform.node`` uses this module; the choice of ``spanshuntd``, which knows
neither prompts nor failure domains, is in `worker_choice`.

Each candidate gets an estimated cost, and the worker with the lowest cost is chosen.
For a prompt, which an engine processes, the cost is the time to its first event in ms,
and constants named ``LATENCY_FRACTION`` are fractions of the route's target latency. A
plain request has no prompt; its cost is measured in batches, and constants named
``BATCH_FRACTION`` are fractions of a batch. A batch is the number of requests that a
worker answers at once (``WorkerRow.slots``), whether or not it runs an engine.

Boxes see the same old reports. The estimate therefore counts this box's own requests
exactly and has a random part that spreads requests over similar workers.

A rate-limited worker accepts a rate of requests from all boxes together. Each box may
send it one request in each period; such a permission is called a grant and is described
in `throttling`. A grant opens at a different time at each box and expires if it is not
used.
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
from .brittleness import has_place
from .estimating import FirstEventEstimate
from .estimating import Prompt
from .estimating import make_estimator
from .estimating import prefill_speed
from .estimating import shared_prefill_ms
from .evacuating import evacuated_domains
from .holding import byte_marks
from .holding import may_upload
from .keeping import part_key
from .outages import has_outage
from .ramping import VersionRule
from .regions import is_in_regions
from .resting import rest_left_ms
from .throttling import grant_wait_ms
from .throttling import is_limited
from .warming import may_send_to
from .worker_speed import time_factor

CROSS_DOMAIN_BATCH_FRACTION = 0.35
"""Cost of another failure domain for a plain request, as a fraction of a batch. Traffic
between domains is charged, so a worker there must be less loaded by that much."""

CROSS_DOMAIN_LATENCY_FRACTION = 0.2
"""Cost of another failure domain for a prompt, as a fraction of the route's target
latency. An engine there must be free that much sooner to justify the traffic."""

LOAD_LATENCY_FRACTION = 0.1
"""Cost of a full batch for a prompt, as a fraction of the route's target latency;
proportional for a part of a batch. Each token takes longer the more of them are
generated at once."""

ERROR_LATENCY_FRACTION = 2.0
"""Cost for a prompt of a worker that fails all answers, as a multiple of the target
latency; proportional to its error rate."""

NOISE_LATENCY_FRACTION = 0.005
"""Size of the random part for a prompt, as a fraction of the target latency. It makes
boxes with the same view choose different ones of nearly equal engines."""

ERROR_BATCH_FRACTION = 2.0
"""Cost for a plain request of a worker that fails all answers, in batches; proportional
to its error rate."""

GRANT_LATENCY_FRACTION, GRANT_BATCH_FRACTION = 0.5, 1.0
"""Bonus of a rate-limited worker: for a prompt as a fraction of the target latency, for
a plain request in batches. Such a worker is a candidate only while its grant is open
for the request. The bonus outweighs domain and load, because a grant that is not used
soon is lost, and each of many boxes seldom has one."""

NOISE_BATCH_FRACTION = 0.04
"""Size of the random part for a plain request, as a fraction of a batch: about one
request of a batch of 32."""

SPEED_NOISE_FRACTION = 0.1
"""Size of the random part for a worker of another speed than its service's usual, as a
fraction of the time that its cost contains. All boxes hear the same reports and learn
the same speeds, which are no more exact than this, and would all choose the same
worker."""

REPORT_HALF_LIFE_MS = 400
"""Half-life of the weight of other boxes' requests in a worker's report, in ms. It is
about the duration of a short answer."""


class PlacementRequest(msgspec.Struct, frozen=True):
    """Requirements of an attempt on its worker.

    Attributes
    ----------
    service : str
        The service that must answer.
    rule : VersionRule
        Which versions may answer.
    domain : str
        The failure domain of this box.
    prompt : Prompt or None
        The prompt that the engine must process; None for plain requests.
    target_latency_ms : int
        Target time to the first event, in ms.
    tried : collection of str
        Workers that already received the request.
    allow_tried : bool
        Whether such a worker may be chosen if there is no other.
    silent : collection of str
        Workers that boxes found silent.
    eager : bool
        Whether the request may use a rate-limited worker's grant as soon as it opens.
        Other requests may use it only once it has been open for some time, so that
        urgent requests come first where grants are scarce.
    regions : tuple of frozenset of str
        Sets of allowed regions; the worker must be in each of them. An empty set allows
        any region.
    workers_with_suspects : collection of str or None
        Workers that are answering other suspect requests, if this request is suspect;
        None if it is not.
    full : collection of str
        Workers without room, which get the request only if there is no other.
    body_bytes : int
        Length of the request's body.
    ignore_places : bool
        Whether brittle workers are candidates without a place for the request, too: it
        may wait for one.
    """

    service: ServiceId
    rule: VersionRule
    domain: DomainId
    prompt: Prompt | None = None
    target_latency_ms: Millis = Millis(0)
    tried: t.Collection[WorkerId] = ()
    allow_tried: bool = False
    silent: t.Collection[WorkerId] = ()
    eager: bool = True
    regions: tuple[frozenset[RegionId], ...] = ()
    workers_with_suspects: t.Collection[WorkerId] | None = None
    full: t.Collection[WorkerId] = ()
    body_bytes: int = 0
    ignore_places: bool = False


class Placement(msgspec.Struct, frozen=True):
    """A chosen worker and the basis of the choice, for logs.

    Attributes
    ----------
    worker : WorkerRow
        The worker.
    load : float
        Its load, as a fraction of its batch.
    candidates : int
        Number of workers to choose from.
    report_age_ms : int
        Age of the worker's last load report, in ms; -1 for none.
    expected : FirstEventEstimate or None
        Estimate for a prompt at the worker; None for plain requests.
    time_factor : float
        Time that work takes there, against the service's usual.
    """

    worker: WorkerRow
    load: float
    candidates: int
    report_age_ms: int
    expected: FirstEventEstimate | None = None
    time_factor: float = 1.0


def choose_worker(
    fleet: Fleet, request: PlacementRequest, now: Millis, rng: random.Random
) -> Placement | None:
    """Choose a worker; return None if no worker accepts the request."""
    rows = candidate_workers(fleet, request, now)
    if not rows:
        return None
    if request.full:
        rows = [row for row in rows if row.name not in request.full] or rows
    if request.rule.preferred and request.workers_with_suspects is None:
        rows = _preferred_workers(fleet, request, rows, now) or rows
    if request.workers_with_suspects is not None:
        rows = [_isolated_worker(rows, request.workers_with_suspects, now, rng)]
    estimate: FirstEventEstimate | None = None
    if request.prompt is None:
        best = min(rows, key=lambda row: _plain_cost(row, request, now, rng))
    else:
        best, estimate = _best_engine(fleet, rows, request, request.prompt, now, rng)
    age = now - best.reported_at if best.reported_at else -1
    factor = time_factor(best, now)
    return Placement(best, batch_load(best, now), len(rows), age, estimate, factor)


def _preferred_workers(
    fleet: Fleet, request: PlacementRequest, rows: list[WorkerRow], now: Millis
) -> list[WorkerRow]:
    """Return the workers that the version rule prefers and that can take more.

    Of the workers of other versions the busiest one tells what a worker can take.
    """
    bound = max(
        (
            batch_load(row, now)
            for row in fleet.workers.find_capable(request.service, None)
            if not request.rule.admits(row.versions)
        ),
        default=0.0,
    )
    return [
        row
        for row in rows
        if row.name in request.rule.preferred and batch_load(row, now) <= bound
    ]


def _isolated_worker(
    rows: list[WorkerRow],
    workers_with_suspects: t.Collection[WorkerId],
    now: Millis,
    rng: random.Random,
) -> WorkerRow:
    """Return the worker for a request that is suspected of crashing workers.

    A crash counts against all suspect requests that the worker was answering. Workers
    that are answering another one are therefore avoided, so that the next crash counts
    against one request only. Of two workers drawn at random the less loaded is taken.
    Where workers crash by themselves, 24 harmless request contents were quarantined in
    six simulations, compared with 36 without this rule (``bench/ends.py``). Where one
    content did crash workers, no harmless content was quarantined.
    """
    without_suspects = [
        row for row in rows if row.name not in workers_with_suspects
    ] or rows
    drawn = rng.sample(without_suspects, min(2, len(without_suspects)))
    return min(drawn, key=lambda row: batch_load(row, now))


def _plain_cost(
    row: WorkerRow, request: PlacementRequest, now: Millis, rng: random.Random
) -> float:
    """Return the cost of a plain request at a worker, in batches.

    A batch there counts as many usual ones as the worker takes times the usual time.
    """
    factor = time_factor(row, now)
    load = scaled_load(row, factor, now)
    noise = NOISE_BATCH_FRACTION + _speed_noise(factor, 1.0 + load)
    return (
        load
        + (CROSS_DOMAIN_BATCH_FRACTION if row.domain != request.domain else 0.0)
        + ERROR_BATCH_FRACTION * row.error_rate
        - (GRANT_BATCH_FRACTION if is_limited(row) else 0.0)
        + noise * rng.random()
    )


def scaled_load(row: WorkerRow, factor: float, now: Millis) -> float:
    """Return a worker's load in batches of the usual time.

    `factor` is the worker's `time_factor`. The batch in which the request runs counts,
    too: an empty worker that takes twice the usual time costs as much as a usual one
    with a full batch.
    """
    load = batch_load(row, now)
    return load if factor == 1.0 else (1.0 + load) * factor - 1.0


def _speed_noise(factor: float, work: float) -> float:
    """Return the size of the random part for `work` at a worker of some speed."""
    return 0.0 if factor == 1.0 else SPEED_NOISE_FRACTION * work


def _best_engine(
    fleet: Fleet,
    rows: list[WorkerRow],
    request: PlacementRequest,
    prompt: Prompt,
    now: Millis,
    rng: random.Random,
) -> tuple[WorkerRow, FirstEventEstimate]:
    """Return the engine with the lowest cost for a prompt, and the estimate for it.

    The cost of the cache owner (see `cache_owner`) leaves out the prefill of the shared
    parts, so that requests of all boxes with these parts go to it and share that
    prefill. The first of them still takes the time, which the returned estimate
    includes.
    """
    owner = cache_owner(fleet, rows, request)
    speed = prefill_speed(fleet, prompt.service, prompt.model)
    unshared_prefill_ms = (
        speed.base_ms + (prompt.read - prompt.shared_tokens) * speed.read_ms
    )
    estimate_at = make_estimator(fleet, prompt, now)
    target_latency_ms = request.target_latency_ms
    noise = NOISE_LATENCY_FRACTION * target_latency_ms
    best, best_estimate, least = rows[0], FirstEventEstimate(), math.inf
    for row in rows:
        owns = row.name == owner
        estimate = estimate_at(row, owns)
        factor = estimate.time_factor
        fraction = (
            LOAD_LATENCY_FRACTION * scaled_load(row, factor, now)
            + ERROR_LATENCY_FRACTION * row.error_rate
        )
        if row.domain != request.domain:
            fraction += CROSS_DOMAIN_LATENCY_FRACTION
        if is_limited(row):
            fraction -= GRANT_LATENCY_FRACTION
        prefill_ms = unshared_prefill_ms * factor if owns else estimate.read_ms
        cost = estimate.wait_ms + prefill_ms + fraction * target_latency_ms
        cost += (noise + _speed_noise(factor, prefill_ms)) * rng.random()
        if cost < least:
            best, best_estimate, least = row, estimate, cost
    return best, best_estimate


def earliest_first_event_ms(
    fleet: Fleet, request: PlacementRequest, prompt: Prompt, now: Millis
) -> float:
    """Return the shortest estimated time to a prompt's first event at any engine that
    accepts it, in ms, without waits that no box reported; infinite without an engine.
    """
    estimate_at = make_estimator(fleet, prompt, now)
    estimates = [
        estimate_at(row, owns)
        for row in candidate_workers(fleet, request, now)
        for owns in (False, True)
    ]
    return min(
        (row.first_ms - row.unreported_ms for row in estimates), default=math.inf
    )


def candidate_workers(
    fleet: Fleet, request: PlacementRequest, now: Millis
) -> list[WorkerRow]:
    """Return workers that accept the request.

    Ejected, silent and unreachable workers are returned only if there is no other.
    """
    takes_work = _availability_filter(fleet, request, now)
    marks = byte_marks(fleet.limits) if request.body_bytes else None
    able = [
        row
        for row in fleet.workers.find_capable(request.service, request.rule.only)
        if request.rule.admits(row.versions)
        and takes_work(row)
        and throttle_wait_ms(fleet, row, request, now) <= 0
        and (request.ignore_places or has_place(fleet, row, now))
        and may_upload(marks, row, request.body_bytes)
    ]
    rows = [row for row in able if row.name not in request.tried]
    if not rows and request.allow_tried:
        rows = able
    live = [
        row
        for row in rows
        if row.ejected_until <= now and row.name not in request.silent
    ]
    unreachable = {domain for domain in fleet.outages if has_outage(fleet, domain, now)}
    reachable = (
        [row for row in live if row.domain not in unreachable] if unreachable else live
    )
    return reachable or live or rows


def throttled_workers(
    fleet: Fleet, request: PlacementRequest, now: Millis
) -> list[WorkerRow]:
    """Return workers that are throttled: excluded only by a rate limit or rest
    period.
    """
    takes_work = _availability_filter(fleet, request, now)
    return [
        row
        for row in fleet.workers.find_capable(request.service, request.rule.only)
        if throttle_wait_ms(fleet, row, request, now) > 0
        and request.rule.admits(row.versions)
        and takes_work(row)
    ]


def full_uploads(fleet: Fleet, request: PlacementRequest, now: Millis) -> bool:
    """Return whether only bodies on the way keep all workers from the request."""
    without_body = msgspec.structs.replace(request, body_bytes=0)
    return bool(candidate_workers(fleet, without_body, now))


def throttle_wait_ms(
    fleet: Fleet, row: WorkerRow, request: PlacementRequest, now: Millis
) -> Millis:
    """Return how long a worker's rate limit or rest period still excludes such a
    request, in ms; 0 if neither does.
    """
    rest_ms = rest_left_ms(row, now)
    if not is_limited(row):
        return rest_ms
    return max(rest_ms, grant_wait_ms(fleet, row, now, eager=request.eager))


def _availability_filter(
    fleet: Fleet, request: PlacementRequest, now: Millis
) -> t.Callable[[WorkerRow], bool]:
    """Return a predicate for workers that are available to the request.

    The predicate tests whether the worker is leaving, its failure domain, its region
    and whether it is cold. It does not test rate limits and rest periods, which
    `throttle_wait_ms` covers, or versions and health.
    """
    leaving = fleet.workers.leaving
    emptied = evacuated_domains(fleet)
    regions = request.regions

    def takes_work(row: WorkerRow) -> bool:
        if row.name in leaving or row.state is WorkerState.LEAVING:
            return False
        if row.domain in emptied:
            return False
        if not is_in_regions(fleet, row.domain, regions):
            return False
        return row.cold_until <= now or may_send_to(fleet, row, now)

    return takes_work


def batch_load(row: WorkerRow, now: Millis) -> float:
    """Return a worker's load as a fraction of its batch.

    Requests of other boxes lose weight as the worker's report gets older. Requests
    queued at the worker count twice: ``reported`` contains them, and ``queued`` is
    added to it. In ``spanshuntd``, `worker_choice.estimated_load` has another formula.
    """
    others = max(0, row.reported - row.own_inflight_at_report) + row.queued
    if not others or not row.reported_at:
        return row.inflight / max(1, row.slots)
    weight: float = 0.5 ** (max(0, now - row.reported_at) / REPORT_HALF_LIFE_MS)
    return (row.inflight + others * weight) / max(1, row.slots)


def cache_owner(
    fleet: Fleet, rows: list[WorkerRow], request: PlacementRequest
) -> WorkerId:
    """Return the engine that owns a prompt's shared parts; "" if it has none.

    The owner is the engine that boxes prefer for prompts with the same shared parts, so
    that it probably has them cached. Boxes agree on it without messages, by a
    rendezvous hash of the model and the last shared part over the candidates.

    If prefill of the shared parts costs more than another failure domain does, there is
    one owner in all, otherwise one in each domain.
    """
    prompt = request.prompt
    if prompt is None or not prompt.shared_parts:
        return WorkerId("")
    near = [row.name for row in rows if row.domain == request.domain]
    across_domains = (
        shared_prefill_ms(fleet, prompt)
        > CROSS_DOMAIN_LATENCY_FRACTION * request.target_latency_ms
    )
    names = near if near and not across_domains else [row.name for row in rows]
    key = part_key(prompt.model, prompt.shared_parts[-1].name)
    return WorkerId(rendezvous(key, names, 1)[0])
