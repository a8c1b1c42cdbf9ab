"""How long an engine takes until its first event: one estimate for every decision.

``first = wait + read``: what is before a request at the engine, and what of its prompt
the engine does not keep, times the time to read a token, learned for each service and
model. Choice of worker and model, asking again and the order at the engine read off it;
refusals and the time to come back do not yet.
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
from .keeping import kept_tokens
from .keeping import note_read
from .keeping import part_key

OTHERS_HALF_LIFE_MS = 1_500
"""How fast what other boxes have waiting at an engine, beyond what they tell, is
forgotten while nothing is heard of it, in ms: a queue of prompts is read in about a
second."""

OTHERS_SMOOTHING = 0.5
"""Weight of one answer in what other boxes have waiting at its engine."""

SPEED_QUANTILE = 0.5
"""Which quantile of the times to a first event counts as the speed: such a time holds
what else was waiting, unseen, more often than the engine kept more than was known."""

SPEED_STEP_MOST, SPEED_STEP_LEAST = 0.6, 0.06
"""Steps by which a learned speed moves, as parts of it: the first ones and later ones.
At 0.06 a speed that changes twofold is followed within some twenty answers."""

FIRST_BASE_PART = 0.3
"""Part of the first time seen that is taken for what does not grow with the prompt."""

QUIET_PART = 0.3
"""An answer tells of the speed only if less than this part of its expected time was for
what waited before it."""

POOL_WEIGHT = 0.2
"""Weight of a peer's word of a speed against one's own, at each exchange."""

UNSEEN_KEPT = 0.3
"""Chance that the engine which all boxes agree on for a prompt keeps it although this
box does not know of it, until answers tell."""

UNSEEN_SMOOTHING = 0.1
"""Weight of one such answer."""

URGENCY_LEAST = 9
"""The least urgent step that engines know; it is for what takes the whole aim to
read."""

TOLD_READ_MS = 100.0
"""A prompt whose shared parts take less than this to read, in ms, is not told to peers:
its bytes would cost more than they save."""

TOLD_FOR_MS = 2_000
"""How long a prompt read is told to peers, in ms: five rounds of exchanges."""


class Effort(msgspec.Struct, frozen=True):
    """What a request asks of an engine.

    Attributes
    ----------
    service : ServiceRow
        The service.
    model : str
        The model.
    read : int
        Tokens of the prompt.
    shared : tuple of PromptPart
        Its shared parts, in order.
    """

    service: ServiceRow
    model: ModelId
    read: int
    shared: tuple[PromptPart, ...] = ()

    @property
    def shared_tokens(self) -> int:
        """Tokens of all shared parts."""
        return sum(part.tokens for part in self.shared)


class Estimate(msgspec.Struct, frozen=True):
    """What a request probably meets at an engine.

    Attributes
    ----------
    own_ms, others_ms : float
        What is before it there: of this box and of others, in ms.
    read_ms : float
        The time to read what is not kept, in ms.
    unread : float
        The tokens that are not kept.
    beyond_ms : float
        The part of `others_ms` that no other box told of.
    unseen : bool
        Whether what is kept there rests on what boxes agree on alone.
    """

    own_ms: float = 0.0
    others_ms: float = 0.0
    read_ms: float = 0.0
    unread: float = 0.0
    beyond_ms: float = 0.0
    unseen: bool = False

    @property
    def wait_ms(self) -> float:
        """All that is before the request, in ms."""
        return self.own_ms + self.others_ms

    @property
    def first_ms(self) -> float:
        """The time to its first event, in ms."""
        return self.wait_ms + self.read_ms


Estimator = t.Callable[[WorkerRow, bool], Estimate]
"""Returns what a request meets at a worker, and whether boxes agree on it for it."""


def estimator(fleet: Fleet, effort: Effort, now: Millis) -> Estimator:
    """Return what estimates one request at each of many workers."""
    speed = speed_of(fleet, effort.service, effort.model)
    read_ms, base_ms = speed.read_ms, speed.base_ms
    keys = [(part_key(effort.model, part.name), part.tokens) for part in effort.shared]
    unseen_tokens = unseen_kept(fleet, effort) * effort.shared_tokens

    def estimate(row: WorkerRow, owner: bool) -> Estimate:
        kept = 0.0
        parts = row.kept.parts
        for key, tokens in keys:
            if key not in parts:
                break
            kept += tokens
        unseen = owner and not kept
        unread = max(0.0, effort.read - (unseen_tokens if unseen else kept))
        beyond_ms = _beyond_ms(row, now) if row.unreported_prefill_ms else 0.0
        told_ms = _told_ms(row, now) if row.peer_prefill_ms else 0.0
        return Estimate(
            own_ms=row.prefill_ms,
            others_ms=told_ms + beyond_ms,
            read_ms=base_ms + unread * read_ms,
            unread=unread,
            beyond_ms=beyond_ms,
            unseen=unseen,
        )

    return estimate


def estimate_first(
    fleet: Fleet, row: WorkerRow, effort: Effort, now: Millis, *, owner: bool
) -> Estimate:
    """Return what a request meets at a worker; `owner` if boxes agree on it for it."""
    return estimator(fleet, effort, now)(row, owner)


def urgency_of(found: Estimate, target_latency_ms: int) -> int:
    """Return how urgent a request is at an engine, from 0 (first) to `URGENCY_LEAST`.

    What is read sooner goes first, as it holds the others up less: each doubling of the
    part of the aim that it takes to read is a step.
    """
    part = max(found.read_ms, 1.0) / max(1, target_latency_ms)
    steps = math.ceil(math.log2(part))
    return min(URGENCY_LEAST, max(0, URGENCY_LEAST + steps))


def others_ms(row: WorkerRow, now: Millis) -> float:
    """Return what other boxes probably have waiting at a worker, in ms."""
    return _told_ms(row, now) + _beyond_ms(row, now)


def _told_ms(row: WorkerRow, now: Millis) -> float:
    """Return what other boxes told that they have waiting at a worker, in ms."""
    total = 0.0
    for waits_ms, at in row.peer_prefill_ms.values():
        left_ms = waits_ms - (now - at)
        if left_ms > 0.0:
            total += left_ms
    return total


def _beyond_ms(row: WorkerRow, now: Millis) -> float:
    """Return what others have waiting beyond what they told, in ms."""
    age = max(0, now - row.unreported_prefill_at)
    kept: float = 0.5 ** (age / OTHERS_HALF_LIFE_MS)
    return row.unreported_prefill_ms * kept


def forget_told(fleet: Fleet, now: Millis) -> None:
    """Forget what boxes told of waits that is over: a box may be gone for good."""
    for row in fleet.workers.rows.values():
        for box, (waits_ms, at) in list(row.peer_prefill_ms.items()):
            if now - at >= waits_ms:
                del row.peer_prefill_ms[box]


def speed_of(fleet: Fleet, service: ServiceRow, model: ModelId) -> PrefillSpeed:
    """Return how fast engines run a model; no time at all while nothing is known.

    A model that was not met yet is taken to be slower than another as it is dearer.
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


def shared_read_ms(fleet: Fleet, effort: Effort) -> float:
    """Return how long it takes to read the shared parts of a prompt, in ms."""
    speed = speed_of(fleet, effort.service, effort.model)
    return effort.shared_tokens * speed.read_ms


def unseen_kept(fleet: Fleet, effort: Effort) -> float:
    """Return how likely an owner keeps a prompt that this box knows nothing of."""
    return fleet.unseen_cache_rates.get(
        (effort.service.name, effort.model), UNSEEN_KEPT
    )


def note_first_event(
    fleet: Fleet,
    row: WorkerRow,
    effort: Effort,
    expected: Estimate,
    first_ms: float,
    now: Millis,
) -> None:
    """Take in when a first event came: what it tells of speed, memory and others."""
    if expected.unseen:
        _note_unseen(fleet, effort, expected, first_ms)
    else:
        _note_speed(fleet, effort, expected, first_ms)
    beyond = max(0.0, first_ms - expected.first_ms + expected.beyond_ms)
    before = _beyond_ms(row, now)
    row.unreported_prefill_ms = before + OTHERS_SMOOTHING * (beyond - before)
    row.unreported_prefill_at = now


def _note_speed(
    fleet: Fleet, effort: Effort, expected: Estimate, first_ms: float
) -> None:
    """Move both parts of a speed towards a quantile, each by its part of the time."""
    key = (effort.service.name, effort.model)
    speed = fleet.prefill_speeds.get(key)
    if speed is None:
        base_ms = FIRST_BASE_PART * first_ms
        read_ms = (first_ms - base_ms) / max(1.0, expected.unread)
        fleet.prefill_speeds[key] = PrefillSpeed(read_ms, base_ms)
        return
    usual = speed.base_ms + speed.read_ms * expected.unread
    if expected.wait_ms > QUIET_PART * expected.first_ms or usual <= 0.0:
        return
    speed.answers += 1
    step = max(SPEED_STEP_LEAST, SPEED_STEP_MOST / speed.answers)
    step *= SPEED_QUANTILE if first_ms > usual else SPEED_QUANTILE - 1.0
    reading = speed.read_ms * expected.unread / usual
    speed.read_ms *= 1.0 + step * reading
    speed.base_ms *= 1.0 + step * (1.0 - reading)


def _note_unseen(
    fleet: Fleet, effort: Effort, expected: Estimate, first_ms: float
) -> None:
    """Take in whether an owner kept a prompt that this box knew nothing of."""
    speed = speed_of(fleet, effort.service, effort.model)
    own_tokens = effort.read - 0.5 * effort.shared_tokens
    middle = expected.wait_ms + speed.base_ms + own_tokens * speed.read_ms
    before = unseen_kept(fleet, effort)
    kept = 1.0 if first_ms < middle else 0.0
    key = (effort.service.name, effort.model)
    fleet.unseen_cache_rates[key] = before + UNSEEN_SMOOTHING * (kept - before)


def take_speed(
    fleet: Fleet, service: ServiceId, model: ModelId, told: PrefillSpeed
) -> None:
    """Take in what a peer learned of a speed: each box moves a little towards it."""
    speed = fleet.prefill_speeds.get((service, model))
    if speed is None:
        fleet.prefill_speeds[(service, model)] = told
        return
    speed.read_ms += POOL_WEIGHT * (told.read_ms - speed.read_ms)
    speed.base_ms += POOL_WEIGHT * (told.base_ms - speed.base_ms)


def note_prompt(
    fleet: Fleet,
    row: WorkerRow,
    effort: Effort,
    own: PromptPart,
    now: Millis,
) -> None:
    """Take in that an engine will read a prompt, and what its memory is short of then.

    Of its memory this box counts on its share, as all boxes send there.
    """
    known = kept_tokens(row.kept, effort.model, effort.shared)
    if known < effort.shared_tokens and shared_read_ms(fleet, effort) > TOLD_READ_MS:
        read = RecentPrefill(row.name, effort.model, effort.shared, now)
        fleet.recent_prefills.append(read)
    boxes = len(fleet.peers) + 1
    capacity = effort.service.kv_capacity_tokens / boxes
    note_read(row.kept, effort.model, (*effort.shared, own), capacity)


def newest_reads(fleet: Fleet, now: Millis) -> tuple[RecentPrefill, ...]:
    """Return the prompts read that peers shall hear of."""
    return tuple(r for r in fleet.recent_prefills if now - r.at < TOLD_FOR_MS)


def take_read(fleet: Fleet, read: RecentPrefill) -> None:
    """Take in that another box sent a prompt to an engine."""
    row = fleet.workers.rows.get(read.worker)
    if row is not None:
        note_read(row.kept, read.model, read.shared_parts, 0.0)
