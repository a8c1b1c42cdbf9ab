"""Estimate of the time until an engine's first event, used for all routing decisions.

The time is ``wait + prefill``: the prefill time of requests queued at the engine, plus
the uncached tokens of the prompt times the prefill time per token, plus a base time.
Both times are learned for each service and model, and scaled for an engine of another
speed by its :func:`~spanshunt.systems.worker_speed.time_factor`. The waiting time is
the sum of three parts: the prefill time of this box's own queued requests, of those
that other boxes (peers) reported, and of those that they did not report, which is
estimated from late answers.

Processing a prompt token is also called reading it: in names, ``read`` is a number of
tokens and ``read_ms`` a prefill time.

The choice of worker and model, repeats and the priority at the
engine use this estimate; refusals and their retry times do not yet.
"""

import math
import typing as t

import msgspec

from ..ids import Millis
from ..ids import ModelId
from ..ids import ServiceId
from ..tables.catalog import ServiceRow
from ..tables.engines import PrefillSpeed
from ..tables.engines import PromptPart
from ..tables.engines import RecentPrefill
from ..tables.fleet import Fleet
from ..tables.workers import WorkerRow
from .keeping import cached_tokens
from .keeping import part_key
from .keeping import record_prefill
from .worker_speed import MIN_SERVICE_ANSWERS
from .worker_speed import learn_usual_factor
from .worker_speed import present_slowdown
from .worker_speed import time_factor

UNREPORTED_HALF_LIFE_MS = 1_500
"""Half-life, in ms, of the estimate of unreported waiting time. The estimate decays
from one answer of the engine to the next, which updates it: a queue of prompts is
processed in about a second."""

UNREPORTED_SMOOTHING = 0.5
"""Weight of one answer in the estimate of unreported waiting time at its engine."""

SPEED_QUANTILE = 0.5
"""Quantile of the times to the first event that the learned speed follows: the median.
A time is more often too long, because of waiting requests unknown to this box, than too
short because of unknown cached parts. By how much it is too long does not affect the
median."""

MAX_SPEED_STEP, MIN_SPEED_STEP = 0.6, 0.06
"""Relative steps by which a learned speed changes, at first and later. At 0.06 the
estimate follows a twofold change of speed within about twenty answers."""

INITIAL_BASE_FRACTION = 0.3
"""Fraction of the first observed time that is assumed to be independent of the
prompt."""

MAX_WAIT_FRACTION = 0.3
"""An answer updates a known speed only if the expected waiting time was at most this
fraction of the expected time to its first event. After a longer wait, the measured time
tells more about the queue. The first answer of a model sets its speed whatever the
expected wait."""

PEER_SPEED_WEIGHT = 0.2
"""Weight of a peer's speed against this box's estimate at each exchange."""

DEFAULT_UNSEEN_CACHE_RATE = 0.3
"""Initial probability that the cache owner of a prompt's shared parts has them cached
although this box does not know of it. The owner is the engine that
:func:`~spanshunt.systems.placing.cache_owner` returns."""

UNSEEN_CACHE_SMOOTHING = 0.1
"""Weight of one answer in that probability."""

LOWEST_URGENCY = 9
"""Least urgent level that engines know, for prompts whose prefill takes the whole
target latency."""

LEVELS_PER_PRIORITY = 2
"""Levels between two priorities of a service: a request of the next priority goes first
only if its prefill takes less than a quarter of the time. Short prompts of a low
priority therefore delay urgent ones little and are not starved by them."""

MIN_REPORTED_PREFILL_MS = 100.0
"""Prompts whose shared parts take less prefill time than this, in ms, are not reported
to peers: the report would cost more than it saves."""

REPORT_PREFILL_FOR_MS = 2_000
"""How long a prefill is reported to peers, in ms: five rounds of exchanges."""


class Prompt(msgspec.Struct, frozen=True):
    """A prompt to be processed by an engine.

    Attributes
    ----------
    service : ServiceRow
        The service.
    model : str
        The model.
    read : int
        Number of tokens of the whole prompt.
    shared_parts : tuple of PromptPart
        Parts that other requests share, in order.
    """

    service: ServiceRow
    model: ModelId
    read: int
    shared_parts: tuple[PromptPart, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Number of tokens of all shared parts."""
        return sum(part.tokens for part in self.shared_parts)


class FirstEventEstimate(msgspec.Struct, frozen=True):
    """Estimated waiting and prefill times of a request at an engine.

    Attributes
    ----------
    own_wait_ms, others_wait_ms : float
        Prefill time of waiting requests that this box sent and that other boxes sent,
        in ms.
    read_ms : float
        Total prefill time of the uncached tokens, plus the base time, in ms. In
        contrast, ``PrefillSpeed.read_ms`` is the time for one token.
    unread : float
        Expected number of uncached tokens of the prompt.
    unreported_ms : float
        The part of `others_wait_ms` that no box reported, in ms.
    unseen : bool
        Whether the engine is the cache owner and this box knows of no shared part that
        it has cached. `unread` then assumes that the parts are cached with the
        probability learned for owners.
    time_factor : float
        Time of work at the engine, against the service's usual, that `read_ms`
        contains.
    """

    own_wait_ms: float = 0.0
    others_wait_ms: float = 0.0
    read_ms: float = 0.0
    unread: float = 0.0
    unreported_ms: float = 0.0
    unseen: bool = False
    time_factor: float = 1.0

    @property
    def wait_ms(self) -> float:
        """Prefill time of all requests before this one, in ms."""
        return self.own_wait_ms + self.others_wait_ms

    @property
    def first_ms(self) -> float:
        """Expected time to the first event, in ms."""
        return self.wait_ms + self.read_ms


Estimator = t.Callable[[WorkerRow, bool], FirstEventEstimate]
"""Returns the estimate for a worker; the flag tells whether it is the cache owner."""


def make_estimator(fleet: Fleet, prompt: Prompt, now: Millis) -> Estimator:
    """Return a function that estimates one request at any of many workers.

    In the returned estimates, `read_ms` is the total prefill time; the local `read_ms`
    is the time for one token.
    """
    speed = prefill_speed(fleet, prompt.service, prompt.model)
    read_ms, base_ms = speed.read_ms, speed.base_ms
    keys = [
        (part_key(prompt.model, part.name), part.tokens) for part in prompt.shared_parts
    ]
    unseen_tokens = unseen_cache_rate(fleet, prompt) * prompt.shared_tokens

    def estimate(row: WorkerRow, owner: bool) -> FirstEventEstimate:
        cached = 0.0
        parts = row.kept.parts
        for key, tokens in keys:
            if key not in parts:
                break
            cached += tokens
        unseen = owner and not cached
        uncached = max(0.0, prompt.read - (unseen_tokens if unseen else cached))
        unreported_ms = (
            _unreported_wait_ms(row, now) if row.unreported_prefill_ms else 0.0
        )
        reported_ms = _reported_wait_ms(row, now) if row.peer_prefill_ms else 0.0
        factor = time_factor(row, now)
        return FirstEventEstimate(
            own_wait_ms=row.prefill_ms,
            others_wait_ms=reported_ms + unreported_ms,
            read_ms=(base_ms + uncached * read_ms) * factor,
            unread=uncached,
            unreported_ms=unreported_ms,
            unseen=unseen,
            time_factor=factor,
        )

    return estimate


def estimate_first_event(
    fleet: Fleet, row: WorkerRow, prompt: Prompt, now: Millis, *, owner: bool
) -> FirstEventEstimate:
    """Return the estimate for a worker; `owner` tells whether it is the cache owner."""
    return make_estimator(fleet, prompt, now)(row, owner)


def urgency_of(
    estimate: FirstEventEstimate, target_latency_ms: int, steps_below: int = 0
) -> int:
    """Return the urgency of a request at an engine, from 0 (first) to `LOWEST_URGENCY`.

    Requests with a shorter prefill go first, because they delay the others less. Each
    doubling of the fraction of the target latency that prefill takes is one level.
    `steps_below` is the number of priorities between the request and the most urgent
    ones of its service.
    """
    fraction = max(estimate.read_ms, 1.0) / max(1, target_latency_ms)
    doublings = math.ceil(math.log2(fraction))
    level = LOWEST_URGENCY + doublings + LEVELS_PER_PRIORITY * steps_below
    return min(LOWEST_URGENCY, max(0, level))


def others_wait_ms(row: WorkerRow, now: Millis) -> float:
    """Return the prefill time of other boxes' waiting requests, reported or not, in
    ms.
    """
    return _reported_wait_ms(row, now) + _unreported_wait_ms(row, now)


def _reported_wait_ms(row: WorkerRow, now: Millis) -> float:
    """Return the prefill time of waiting requests that other boxes reported, less the
    time since their reports, in ms.
    """
    total = 0.0
    for waits_ms, at in row.peer_prefill_ms.values():
        left_ms = waits_ms - (now - at)
        if left_ms > 0.0:
            total += left_ms
    return total


def _unreported_wait_ms(row: WorkerRow, now: Millis) -> float:
    """Return the estimated prefill time of waiting requests that other boxes did not
    report, in ms.
    """
    age = max(0, now - row.unreported_prefill_at)
    remaining: float = 0.5 ** (age / UNREPORTED_HALF_LIFE_MS)
    return row.unreported_prefill_ms * remaining


def expire_peer_prefill(fleet: Fleet, now: Millis) -> None:
    """Remove elapsed reports of waiting requests, as their box may be gone for good."""
    for row in fleet.workers.rows.values():
        for box, (waits_ms, at) in list(row.peer_prefill_ms.items()):
            if now - at >= waits_ms:
                del row.peer_prefill_ms[box]


def prefill_speed(fleet: Fleet, service: ServiceRow, model: ModelId) -> PrefillSpeed:
    """Return the prefill speed of engines with a model; zero times if nothing is known.

    The times of a model that is not known yet are scaled from another model by price.
    """
    speed = fleet.prefill_speeds.get((service.name, model))
    if speed is not None:
        return speed
    price = service.costs.get(model, 0.0)
    for other, other_price in service.costs.items():
        known = fleet.prefill_speeds.get((service.name, other))
        if known is not None and other_price > 0.0:
            factor = price / other_price
            return PrefillSpeed(known.read_ms * factor, known.base_ms * factor, 0)
    return PrefillSpeed(0.0, 0.0, 0)


def shared_prefill_ms(fleet: Fleet, prompt: Prompt) -> float:
    """Return the prefill time of a prompt's shared parts, in ms."""
    speed = prefill_speed(fleet, prompt.service, prompt.model)
    return prompt.shared_tokens * speed.read_ms


def unseen_cache_rate(fleet: Fleet, prompt: Prompt) -> float:
    """Return the probability that a cache owner has shared parts cached of which this
    box does not know.
    """
    return fleet.unseen_cache_rates.get(
        (prompt.service.name, prompt.model), DEFAULT_UNSEEN_CACHE_RATE
    )


def record_first_event(
    fleet: Fleet,
    row: WorkerRow,
    prompt: Prompt,
    expected: FirstEventEstimate,
    first_ms: float,
    now: Millis,
) -> None:
    """Update the estimates from the measured time to a first event.

    The speeds of the service and of the engine are updated, or for an `unseen` estimate
    the unseen cache rate, as well as the unreported waiting time.
    """
    if expected.unseen:
        _update_unseen_rate(fleet, prompt, expected, first_ms)
    else:
        _update_worker_speed(fleet, row, prompt, expected, first_ms, now)
        _update_speed(fleet, prompt, expected, first_ms / present_slowdown(row, now))
    unreported = max(0.0, first_ms - expected.first_ms + expected.unreported_ms)
    before = _unreported_wait_ms(row, now)
    row.unreported_prefill_ms = before + UNREPORTED_SMOOTHING * (unreported - before)
    row.unreported_prefill_at = now


def _update_worker_speed(
    fleet: Fleet,
    row: WorkerRow,
    prompt: Prompt,
    expected: FirstEventEstimate,
    first_ms: float,
    now: Millis,
) -> None:
    """Learn the engine's usual factor from an answer after a short wait."""
    speed = fleet.prefill_speeds.get((prompt.service.name, prompt.model))
    if speed is None or speed.answers < MIN_SERVICE_ANSWERS or _waited_long(expected):
        return
    usual_ms = speed.base_ms + speed.read_ms * expected.unread
    learn_usual_factor(row, first_ms - expected.wait_ms, usual_ms, now)


def _waited_long(expected: FirstEventEstimate) -> bool:
    """Return whether the wait hides how fast the engine works."""
    return expected.wait_ms > MAX_WAIT_FRACTION * expected.first_ms


def _update_speed(
    fleet: Fleet, prompt: Prompt, expected: FirstEventEstimate, first_ms: float
) -> None:
    """Move the learned speed towards `SPEED_QUANTILE` of the times to the first event.

    The expected time without waiting has two components, the base time and the prefill
    time of the uncached tokens. Each is changed in proportion to its fraction of that
    time. The first answer of a model sets its speed whatever the expected wait; later
    answers after a long one are left out, see `MAX_WAIT_FRACTION`.
    """
    key = (prompt.service.name, prompt.model)
    speed = fleet.prefill_speeds.get(key)
    if speed is None:
        base_ms = INITIAL_BASE_FRACTION * first_ms
        read_ms = (first_ms - base_ms) / max(1.0, expected.unread)
        fleet.prefill_speeds[key] = PrefillSpeed(read_ms, base_ms)
        return
    expected_ms = speed.base_ms + speed.read_ms * expected.unread
    if _waited_long(expected) or expected_ms <= 0.0:
        return
    speed.answers += 1
    step = max(MIN_SPEED_STEP, MAX_SPEED_STEP / speed.answers)
    step *= SPEED_QUANTILE if first_ms > expected_ms else SPEED_QUANTILE - 1.0
    prefill_fraction = speed.read_ms * expected.unread / expected_ms
    speed.read_ms *= 1.0 + step * prefill_fraction
    speed.base_ms *= 1.0 + step * (1.0 - prefill_fraction)


def _update_unseen_rate(
    fleet: Fleet, prompt: Prompt, expected: FirstEventEstimate, first_ms: float
) -> None:
    """Record whether a cache owner had shared parts cached unknown to this box.

    They count as cached if the first event came sooner than expected for an engine with
    half of the shared tokens cached.
    """
    speed = prefill_speed(fleet, prompt.service, prompt.model)
    uncached = prompt.read - 0.5 * prompt.shared_tokens
    threshold_ms = expected.wait_ms + expected.time_factor * (
        speed.base_ms + uncached * speed.read_ms
    )
    before = unseen_cache_rate(fleet, prompt)
    hit = 1.0 if first_ms < threshold_ms else 0.0
    key = (prompt.service.name, prompt.model)
    fleet.unseen_cache_rates[key] = before + UNSEEN_CACHE_SMOOTHING * (hit - before)


def merge_prefill_speed(
    fleet: Fleet, service: ServiceId, model: ModelId, reported: PrefillSpeed
) -> None:
    """Move the prefill speed towards the one that a peer learned, by
    `PEER_SPEED_WEIGHT`.
    """
    speed = fleet.prefill_speeds.get((service, model))
    if speed is None:
        fleet.prefill_speeds[(service, model)] = reported
        return
    speed.read_ms += PEER_SPEED_WEIGHT * (reported.read_ms - speed.read_ms)
    speed.base_ms += PEER_SPEED_WEIGHT * (reported.base_ms - speed.base_ms)


def record_sent_prompt(
    fleet: Fleet,
    row: WorkerRow,
    prompt: Prompt,
    unshared: PromptPart,
    now: Millis,
) -> None:
    """Record that an engine will process a prompt, which may evict cached parts.

    `unshared` is the rest of the prompt, which belongs to this request alone. This box
    assumes that its share of the engine's memory is available to it, as all
    boxes send prompts there.
    """
    cached = cached_tokens(row.kept, prompt.model, prompt.shared_parts)
    if (
        cached < prompt.shared_tokens
        and shared_prefill_ms(fleet, prompt) > MIN_REPORTED_PREFILL_MS
    ):
        prefill = RecentPrefill(row.name, prompt.model, prompt.shared_parts, now)
        fleet.recent_prefills.append(prefill)
    boxes = len(fleet.peers) + 1
    capacity = prompt.service.kv_capacity_tokens / boxes
    record_prefill(row.kept, prompt.model, (*prompt.shared_parts, unshared), capacity)


def reportable_prefills(fleet: Fleet, now: Millis) -> tuple[RecentPrefill, ...]:
    """Return the recent prefills to report to peers."""
    return tuple(r for r in fleet.recent_prefills if now - r.at < REPORT_PREFILL_FOR_MS)


def apply_peer_prefill(fleet: Fleet, prefill: RecentPrefill) -> None:
    """Record the shared parts of a prompt that another box sent to an engine.

    No parts are evicted for it, except those beyond `keeping.MAX_CACHED_PARTS`.
    """
    row = fleet.workers.rows.get(prefill.worker)
    if row is not None:
        record_prefill(row.kept, prefill.model, prefill.shared_parts, 0.0)
