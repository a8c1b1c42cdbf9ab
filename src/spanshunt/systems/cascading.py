"""Choice of a model by the value of a better answer, its price and the load.

The head of a small model's answer reports the model's confidence. While nothing has
been sent to the caller, the larger model is asked instead if the expected gain in
quality exceeds the cost of the larger model: its price and the engine time that other
requests wait for.
"""

import math

import msgspec

from ..ids import ModelId
from ..ids import ServiceId
from ..tables.catalog import RouteRow
from ..tables.catalog import ServiceRow
from ..tables.fleet import Fleet
from ..tables.fleet import ModelStats
from .estimating import FirstEventEstimate

ANSWER_VALUE_FACTOR = 6.0
"""Value of a good answer at priority 1, as a multiple of the price of the largest
model's run. This is a prior, as no deployment reports the value: an operator who lists
a model for a route considers its answers worth a multiple of their price."""

PRIORITY_FACTORS = (2.0, 1.0, 0.5)
"""Factors of the answer value by priority. Each level halves the value, and all further
levels use the last factor."""

CONFIDENCE_MIDPOINT, CONFIDENCE_SCALE = 0.45, 0.07
"""Midpoint and scale of the logistic function that maps a model's confidence to the
probability of a good answer. The reported confidence only roughly tells whether a
request was too hard for the model; it is not a probability itself."""

PREFILL_PRICE_RATIO = 0.25
"""Price of a prompt token relative to that of a generated token."""

LATE_VALUE_LOSS = 0.7
"""Fraction of an answer's value that is lost when it is late."""

BUSY_LATENCY_FRACTION = 0.5
"""Fraction of the route's target latency. If a request and the queue before it occupy
an engine for that long, engine time costs as much as it usually gains, so only requests
with a greater gain per time are admitted. Below it the price falls with the square of
the time, because requests that arrive meanwhile still have the rest of the target
latency."""

BASE_LATENESS = 0.05
"""Mean lateness of answers, in 0 to 1, at which engine time has its usual price: one
answer in twenty is late."""

MAX_SCARCITY = 3.0
"""Maximum price of engine time, as a multiple of its usual price."""

LATENESS_SMOOTHING = 0.1
"""Weight of one answer in the mean lateness. At a small box, ten answers take a few
seconds."""

MIN_QUALITY_GAIN = 0.3
"""Minimum gain that is assumed for the largest model, as a fraction of a good answer's
value. An operator lists the model because it is better, and a few answers are little
evidence against that."""

ENGINE_GAIN_SMOOTHING = 0.05
"""Weight of one request in the mean gain per ms of engine time."""

LATE_FROM_FRACTION, LATE_FRACTION = 0.35, 1.0
"""Expected times to the larger model's first event, as fractions of the route's target
latency, at which the first answers are late and at which all are."""

DIRECT_MARGIN = 0.02
"""Bonus for asking the larger model directly, as a fraction of an answer's value: its
answer arrives earlier than a second one would."""

REPEAT_PRICE_STEP = 0.05
"""Increase of the repeat price after the retry budget denied a repeat, in the catalog's
price unit: a tenth of the value of a short answer."""

TARGET_DENIED_SHARE = 0.05
"""Share of the repeats for quality that the retry budget should deny. The repeat price
settles where this share is denied."""

PRIOR_ANSWERS = 20
"""Number of answers that the prior of a model's mean confidence counts as."""

_SMOOTHING = 0.02


class RequestTokens(msgspec.Struct, frozen=True):
    """Size of a request in tokens: prompt tokens read, and maximum tokens generated."""

    read: int
    generated: int


class ModelPlan(msgspec.Struct, frozen=True):
    """The models that may answer one request, and when to escalate.

    Attributes
    ----------
    first : str
        The model to ask first.
    last : str
        The model to ask if the confidence of the first is too low.
    needed : float
        Probability of a good answer, in 0 to 1, from which the first model's answer is
        kept.
    """

    first: ModelId
    last: ModelId
    needed: float


class EscalationProspect(msgspec.Struct, frozen=True):
    """Expected course of asking the largest model now.

    Attributes
    ----------
    expected : FirstEventEstimate
        Estimate for the engine that the request would be sent to.
    spent_ms : int
        Time since the request arrived, in ms.
    possible : bool
        Whether any engine accepts the request now.
    """

    expected: FirstEventEstimate
    spent_ms: int = 0
    possible: bool = True


def plan_models(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    prospect: EscalationProspect,
) -> ModelPlan:
    """Plan which models to ask for a request."""
    smallest, largest = route.models[0], route.models[-1]
    if smallest == largest:
        return ModelPlan(smallest, largest, 0.0)
    needed = required_probability(fleet, route, service, tokens, prospect)
    direct = _direct_gain(fleet, route, service, tokens, prospect, repeat_price=0.0)
    first = largest if direct >= _cascade_value(needed) - DIRECT_MARGIN else smallest
    return ModelPlan(first, largest, needed)


def required_probability(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    prospect: EscalationProspect,
) -> float:
    """Return the probability of a good answer that the small model's answer needs."""
    price = fleet.repeat_prices.get(service.name, 0.0)
    return _direct_gain(fleet, route, service, tokens, prospect, repeat_price=price)


def update_repeat_price(fleet: Fleet, service: ServiceId, *, allowed: bool) -> None:
    """Update the repeat price after the retry budget allowed or denied a repeat.

    If the budget often denies repeats for quality, the price rises until only the
    answers with the greatest gain are repeated.
    """
    step = -REPEAT_PRICE_STEP * TARGET_DENIED_SHARE if allowed else REPEAT_PRICE_STEP
    price = fleet.repeat_prices.get(service, 0.0) + step
    fleet.repeat_prices[service] = max(0.0, price)


def _cascade_value(needed: float) -> float:
    """Return the value of asking the small model first, as a fraction of a good
    answer's.

    The confidence is assumed to be uniformly distributed. The large model is therefore
    asked in a share of cases that equals the confidence threshold, and its gain there
    is `needed`.
    """
    threshold = confidence_for_probability(needed)
    unsure = math.log1p(math.exp(-(threshold - CONFIDENCE_MIDPOINT) / CONFIDENCE_SCALE))
    return threshold * needed + (1.0 - threshold) - CONFIDENCE_SCALE * unsure


def probability_good(confidence: float) -> float:
    """Return the probability that an answer of the given confidence is good."""
    return 1.0 / (
        1.0 + math.exp(-(confidence - CONFIDENCE_MIDPOINT) / CONFIDENCE_SCALE)
    )


def confidence_for_probability(probability: float) -> float:
    """Return the confidence, in 0 to 1, at which an answer is good with
    `probability`.
    """
    clipped = min(1.0 - 1e-6, max(1e-6, probability))
    confidence = CONFIDENCE_MIDPOINT + CONFIDENCE_SCALE * math.log(
        clipped / (1.0 - clipped)
    )
    return min(1.0, max(0.0, confidence))


def _direct_gain(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    prospect: EscalationProspect,
    *,
    repeat_price: float,
) -> float:
    """Return the net gain of the larger model, as a fraction of a good answer's value.

    It is the expected quality less the price of the run and of the engine time.
    """
    value = answer_value(route, service, tokens)
    if value <= 0.0:
        return 0.0
    price = run_price(service, route.models[-1], tokens) + repeat_price
    price += engine_time_price(fleet, route, service, prospect.expected)
    late = late_probability(route, prospect.spent_ms + prospect.expected.first_ms)
    quality = expected_quality(fleet, route.models[-1]) * (1.0 - LATE_VALUE_LOSS * late)
    return max(0.0, quality - price / value)


def late_probability(route: RouteRow, first_ms: float) -> float:
    """Return the probability that an answer with this time to its first event is
    late.
    """
    fraction = first_ms / max(1, route.target_latency_ms)
    return min(
        1.0,
        max(
            0.0, (fraction - LATE_FROM_FRACTION) / (LATE_FRACTION - LATE_FROM_FRACTION)
        ),
    )


def record_lateness(
    fleet: Fleet, service: ServiceId, route: RouteRow, first_ms: float
) -> None:
    """Add the time from a request to the first event of its answer to the mean
    lateness.
    """
    before = fleet.lateness.get(service, BASE_LATENESS)
    current = late_probability(route, first_ms)
    fleet.lateness[service] = before + LATENESS_SMOOTHING * (current - before)


def engine_time_price(
    fleet: Fleet, route: RouteRow, service: ServiceRow, estimate: FirstEventEstimate
) -> float:
    """Return the price of the engine time that a request takes from others.

    The base is the usual gain of such time. It rises with the waiting time of requests
    that arrive and with the share of recent answers that were late. If all answers are
    early, engine time is plentiful.
    """
    usual_price = fleet.gain_per_engine_ms.get(service.name, 0.0)
    occupied_ms = estimate.wait_ms + 0.5 * estimate.read_ms
    busy = occupied_ms / max(1.0, BUSY_LATENCY_FRACTION * route.target_latency_ms)
    late = fleet.lateness.get(service.name, BASE_LATENESS)
    scarcity = min(MAX_SCARCITY, late / BASE_LATENESS)
    return usual_price * scarcity * busy * busy * estimate.read_ms


def record_engine_gain(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    estimate: FirstEventEstimate,
) -> None:
    """Add a request's possible gain from the largest model per ms to the usual gain."""
    if estimate.read_ms <= 0.0:
        return
    quality_gain = expected_quality(fleet, route.models[-1]) - expected_quality(
        fleet, route.models[0]
    )
    gain = max(MIN_QUALITY_GAIN, quality_gain) * answer_value(route, service, tokens)
    value = gain / estimate.read_ms
    before = fleet.gain_per_engine_ms.get(service.name, value)
    moved = before + ENGINE_GAIN_SMOOTHING * (value - before)
    fleet.gain_per_engine_ms[service.name] = moved


def answer_value(route: RouteRow, service: ServiceRow, tokens: RequestTokens) -> float:
    """Return the value of a good and timely answer, in the catalog's price unit."""
    factor = PRIORITY_FACTORS[min(route.priority, len(PRIORITY_FACTORS) - 1)]
    return ANSWER_VALUE_FACTOR * factor * run_price(service, route.models[-1], tokens)


def run_price(service: ServiceRow, model: ModelId, tokens: RequestTokens) -> float:
    """Return the price of one run of `model`, in the catalog's price unit."""
    billed_tokens = tokens.generated + PREFILL_PRICE_RATIO * tokens.read
    return service.costs.get(model, 0.0) * billed_tokens / 1_000


def expected_quality(fleet: Fleet, model: ModelId) -> float:
    """Return the probability that a model's answer is good, from its mean
    confidence.
    """
    stats = fleet.models.get(model)
    return stats.confidence if stats is not None else 0.9


def record_confidence(fleet: Fleet, model: ModelId, confidence: float) -> None:
    """Add the confidence of one answer, in 0 to 1, to the model's mean."""
    stats = fleet.models.get(model)
    if stats is None:
        stats = fleet.models[model] = ModelStats(confidence=0.9)
    stats.answers += 1
    step = max(_SMOOTHING, 1.0 / (PRIOR_ANSWERS + stats.answers))
    stats.confidence += step * (probability_good(confidence) - stats.confidence)
