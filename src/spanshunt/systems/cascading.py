"""Choice of a model by the value of a better answer, its price and the load.

This cascade is part of ``spanshunt.platform.node``. The smallest model of the route is
asked first, or the largest one directly; the models between them are never chosen. The
head of an answer reports the model's confidence. While nothing has been sent to the
caller, a request is escalated to the largest model if the expected gain in quality
exceeds the cost of the largest model: its price and the engine time that other requests
wait for. An escalation is a repeat, so it also needs the retry budget.

The cascade between versions in ``spanshuntd`` (see `preferring`) is unrelated to this
one, and no request passes through both.
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
request was too hard for the model; it is not a probability itself. Only the mean in
``ModelStats.confidence`` is one, as it averages mapped values."""

PREFILL_PRICE_RATIO = 0.25
"""Price of a prompt token relative to that of a generated token."""

LATE_VALUE_LOSS = 0.7
"""Fraction of an answer's value that is lost at a lateness of 1. At a lower lateness,
proportionally less is lost."""

BUSY_LATENCY_FRACTION = 0.5
"""Time for which the queue and half of a request's own prefill occupy an engine, as a
fraction of the route's target latency, at which a ms of engine time costs the usual
gain per ms, :attr:`Fleet.gain_per_engine_ms`, if the mean lateness is `BASE_LATENESS`.
At this price, only a request with a greater gain per ms is worth its engine time. For a
shorter time the price is lower, because requests that arrive meanwhile still have the
rest of the target latency; it falls with the square of the time. The price also grows
with the lateness of answers."""

BASE_LATENESS = 0.05
"""Mean lateness of answers, in 0 to 1, that leaves the price of engine time unchanged.
It is reached, for example, if one answer in twenty has lateness 1 and the others 0."""

MAX_SCARCITY = 3.0
"""Maximum factor by which late answers raise the price of engine time."""

LATENESS_SMOOTHING = 0.1
"""Weight of one answer in the mean lateness. At a small box, ten answers take a few
seconds."""

MIN_QUALITY_GAIN = 0.3
"""Minimum gain that is assumed for the largest model, as a fraction of a good answer's
value. An operator lists the model because it is better, and a few answers are little
evidence against that."""

ENGINE_GAIN_SMOOTHING = 0.05
"""Weight of one request in the usual gain per ms of engine time, a moving mean."""

LATE_FROM_FRACTION, LATE_FRACTION = 0.35, 1.0
"""Times to an answer's first event, as fractions of the route's target latency, up to
which its lateness is 0 and from which it is 1. Between them it rises linearly. The time
may be an expected one or a measured one, of any model."""

DIRECT_MARGIN = 0.02
"""Bonus for asking the largest model directly, as a fraction of an answer's value: its
answer arrives earlier than it would after an escalation."""

REPEAT_PRICE_STEP = 0.05
"""Increase of the repeat price after the retry budget denied an escalation, in the
catalog's price unit: a tenth of the value of a short answer. The repeat price is a
shadow price that each escalation must earn in addition to its cost, so that a scarce
budget goes to the requests with the greatest gain."""

TARGET_DENIED_SHARE = 0.05
"""Share of the wanted escalations that the retry budget should deny. The repeat price
settles where this share is denied."""

PRIOR_ANSWERS = 20
"""Number of answers that the prior of a model's expected quality, 0.9, counts as."""

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
        The model to escalate to if the confidence of the first is too low; the same as
        `first` if the largest model is asked directly.
    needed : float
        Probability of a good answer, in 0 to 1, from which the first model's answer is
        kept, as expected at the time of the plan. It is computed anew once the answer's
        confidence is known.
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
    """Plan which models to ask for a request.

    Asking the largest model directly takes nothing from the retry budget, so its gain
    is computed without the repeat price. `needed` includes that price, because an
    escalation is a repeat.
    """
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
    """Return the probability of a good answer that the smallest model's answer needs.

    The value of an answer is its probability of being good times the value of a good
    answer. Escalation is therefore worthwhile if that probability is below the net gain
    of the largest model, which is a fraction of the same value.
    """
    price = fleet.repeat_prices.get(service.name, 0.0)
    return _direct_gain(fleet, route, service, tokens, prospect, repeat_price=price)


def update_repeat_price(fleet: Fleet, service: ServiceId, *, allowed: bool) -> None:
    """Update the repeat price after the retry budget allowed or denied an escalation.

    If the budget often denies escalations, the price rises until only the requests with
    the greatest gain are escalated.
    """
    step = -REPEAT_PRICE_STEP * TARGET_DENIED_SHARE if allowed else REPEAT_PRICE_STEP
    price = fleet.repeat_prices.get(service, 0.0) + step
    fleet.repeat_prices[service] = max(0.0, price)


def _cascade_value(needed: float) -> float:
    """Return the value of asking the smallest model first, as a fraction of a good
    answer's.

    The confidence is assumed to be uniformly distributed. The largest model is thus
    asked in a share of cases that equals the confidence threshold, and its net gain
    there is `needed`. In the other cases the smallest model's answer is kept; their
    value is the integral of `probability_good` from the threshold to 1. It is the
    length of that range, less the integral of the probability of a bad answer, which
    the formula takes from the threshold to infinity.
    """
    threshold = confidence_for_probability(needed)
    bad = math.log1p(math.exp(-(threshold - CONFIDENCE_MIDPOINT) / CONFIDENCE_SCALE))
    return threshold * needed + (1.0 - threshold) - CONFIDENCE_SCALE * bad


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
    """Return the net gain of the largest model, as a fraction of a good answer's value.

    It is the expected quality, reduced by the expected lateness, less the prices of the
    run, of the engine time and of the repeat.
    """
    value = answer_value(route, service, tokens)
    if value <= 0.0:
        return 0.0
    price = run_price(service, route.models[-1], tokens) + repeat_price
    price += engine_time_price(fleet, route, service, prospect.expected)
    late = lateness_of(route, prospect.spent_ms + prospect.expected.first_ms)
    quality = expected_quality(fleet, route.models[-1]) * (1.0 - LATE_VALUE_LOSS * late)
    return max(0.0, quality - price / value)


def lateness_of(route: RouteRow, first_ms: float) -> float:
    """Return the lateness, in 0 to 1, of an answer whose first event comes after
    `first_ms`.
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
    """Add the lateness of an answer to the service's mean.

    `first_ms` is the measured time from the request to the answer's first event. The
    answer may be of any model.
    """
    before = fleet.lateness.get(service, BASE_LATENESS)
    current = lateness_of(route, first_ms)
    fleet.lateness[service] = before + LATENESS_SMOOTHING * (current - before)


def engine_time_price(
    fleet: Fleet, route: RouteRow, service: ServiceRow, estimate: FirstEventEstimate
) -> float:
    """Return the price of the engine time that a request takes from others.

    The price of a ms is the usual gain per ms, times two factors. `busy` grows with the
    time that a request arriving meanwhile waits: the queue, and on average half of the
    prefill during which it arrives. `scarcity` grows with the mean lateness of recent
    answers; if it is 0, engine time is plentiful and costs nothing.
    """
    usual_gain = fleet.gain_per_engine_ms.get(service.name, 0.0)
    occupied_ms = estimate.wait_ms + 0.5 * estimate.read_ms
    busy = occupied_ms / max(1.0, BUSY_LATENCY_FRACTION * route.target_latency_ms)
    late = fleet.lateness.get(service.name, BASE_LATENESS)
    scarcity = min(MAX_SCARCITY, late / BASE_LATENESS)
    return usual_gain * scarcity * busy * busy * estimate.read_ms


def record_engine_gain(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    estimate: FirstEventEstimate,
) -> None:
    """Add a request to the usual gain per ms of engine time of its service.

    The gain of a request is the value that the largest model's answer would add to the
    smallest model's, and at least `MIN_QUALITY_GAIN` of a good answer's value. It is
    divided by the prefill time at the largest model, whether or not that model is
    asked.
    """
    if estimate.read_ms <= 0.0:
        return
    quality_gain = expected_quality(fleet, route.models[-1]) - expected_quality(
        fleet, route.models[0]
    )
    gain = max(MIN_QUALITY_GAIN, quality_gain) * answer_value(route, service, tokens)
    gain_per_ms = gain / estimate.read_ms
    before = fleet.gain_per_engine_ms.get(service.name, gain_per_ms)
    updated = before + ENGINE_GAIN_SMOOTHING * (gain_per_ms - before)
    fleet.gain_per_engine_ms[service.name] = updated


def answer_value(route: RouteRow, service: ServiceRow, tokens: RequestTokens) -> float:
    """Return the value of a good and timely answer, in the catalog's price unit."""
    factor = PRIORITY_FACTORS[min(route.priority, len(PRIORITY_FACTORS) - 1)]
    return ANSWER_VALUE_FACTOR * factor * run_price(service, route.models[-1], tokens)


def run_price(service: ServiceRow, model: ModelId, tokens: RequestTokens) -> float:
    """Return the price of one run of `model`, in the catalog's price unit."""
    billed_tokens = tokens.generated + PREFILL_PRICE_RATIO * tokens.read
    return service.costs.get(model, 0.0) * billed_tokens / 1_000


def expected_quality(fleet: Fleet, model: ModelId) -> float:
    """Return the probability that a model's answer is good.

    It is the mean of `probability_good` over the model's answers, starting from a prior
    of 0.9. ``ModelStats.confidence`` holds this probability despite its name.
    """
    stats = fleet.models.get(model)
    return stats.confidence if stats is not None else 0.9


def record_confidence(fleet: Fleet, model: ModelId, confidence: float) -> None:
    """Add one answer, by its reported confidence in 0 to 1, to the model's expected
    quality.

    The confidence is first mapped to the probability of a good answer.
    """
    stats = fleet.models.get(model)
    if stats is None:
        stats = fleet.models[model] = ModelStats(confidence=0.9)
    stats.answers += 1
    step = max(_SMOOTHING, 1.0 / (PRIOR_ANSWERS + stats.answers))
    stats.confidence += step * (probability_good(confidence) - stats.confidence)
