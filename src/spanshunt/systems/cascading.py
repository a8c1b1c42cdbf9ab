"""Choice of a model: the value of a better answer against its price and the load.

A small model's answer tells at its head how sure the model is. The larger model is
asked instead while the caller has nothing yet, if what the answer gains outweighs what
the larger model costs, in money and in places that others wait for.
"""

import math

import msgspec

from ..ids import ModelId
from ..ids import ServiceId
from ..tables.catalog import RouteRow
from ..tables.catalog import ServiceRow
from ..tables.fleet import Fleet
from ..tables.fleet import ModelStats
from .estimating import Estimate

WORTH_FACTOR = 6.0
"""How many times the price of the largest model's run a good answer is taken to be
worth, at rank 1: a prior, as nothing that a deployment tells says it. An operator who
lists a model for a route holds its answers to be worth a multiple of it."""

RANK_FACTORS = (2.0, 1.0, 0.5)
"""The same at other ranks, in parts of it: each rank halves it; later ones count as the
last."""

SURE_MIDDLE, SURE_WIDTH = 0.45, 0.07
"""How sure a model is, in 0 to 1, when its answer is as likely good as not, and how far
from there that changes. A model's own opinion says whether a request was too hard for
it, roughly; it is no chance."""

READ_PRICE_PART = 0.25
"""Price of a read token against a generated one."""

LATE_LOSS = 0.7
"""Part of an answer's worth that is lost when it comes late."""

BUSY_AIM_PART = 0.5
"""Part of a route's aim: where a request and what is before it hold an engine for that
long, its time there is as dear as what such time usually gains, and only requests that
gain more for their time are let in. Below, the price falls with the square: who comes
meanwhile still has the rest of the aim."""

USUAL_LATENESS = 0.05
"""Mean lateness of answers, in 0 to 1, at which engines' time has its usual price: one
answer in twenty is late."""

SCARCE_MOST = 3.0
"""Times its usual price that engines' time costs at most."""

LATENESS_SMOOTHING = 0.1
"""Weight of one answer in the mean lateness: ten are a few seconds' at a small box."""

GAIN_LEAST = 0.3
"""Part of a good answer's worth that the largest model is taken to gain at least: an
operator lists it because it is better, and few answers tell little."""

ENGINE_WORTH_SMOOTHING = 0.05
"""Weight of one request in what an engine's time usually gains."""

EARLY_PART, LATE_PART = 0.35, 1.0
"""Expected time to the larger model's first event, in parts of the route's aim, from
which on its answers begin to come late, and at which all do."""

DIRECT_MARGIN = 0.02
"""Part of an answer's worth that asking the larger model at once is favoured by: it
comes sooner than a second answer."""

SCARCE_STEP = 0.05
"""How much dearer a repeat is taken to be after the budget of repeats denied one, in
the catalog's price unit: a tenth of the worth of a short answer."""

SCARCE_DENIED = 0.05
"""Part of the repeats wanted for quality that the budget shall deny: the price of a
repeat settles where this holds."""

PRIOR_ANSWERS = 20
"""Answers that the prior mean of a model's sureness counts as."""

_SMOOTHING = 0.02


class RequestTokens(msgspec.Struct, frozen=True):
    """How large a request is, in tokens: read, and generated at most."""

    read: int
    generated: int


class ModelPlan(msgspec.Struct, frozen=True):
    """The models that may answer one request, and how to move between them.

    Attributes
    ----------
    first : str
        The model to ask first.
    last : str
        The model to ask when the first is not sure enough.
    needed : float
        How likely the first's answer must be good to be kept, in 0 to 1.
    """

    first: ModelId
    last: ModelId
    needed: float


class Prospect(msgspec.Struct, frozen=True):
    """What asking the largest model now means.

    Attributes
    ----------
    expected : Estimate
        What the request meets at the engine that it would go to.
    spent_ms : int
        How long ago the request came, in ms.
    possible : bool
        Whether any engine takes it now.
    """

    expected: Estimate
    spent_ms: int = 0
    possible: bool = True


def plan_models(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    prospect: Prospect,
) -> ModelPlan:
    """Plan which models to ask."""
    smallest, largest = route.models[0], route.models[-1]
    if smallest == largest:
        return ModelPlan(smallest, largest, 0.0)
    needed = sureness_needed(fleet, route, service, tokens, prospect)
    at_once = _gain(fleet, route, service, tokens, prospect, repeat_price=0.0)
    first = largest if at_once >= _cascade_gain(needed) - DIRECT_MARGIN else smallest
    return ModelPlan(first, largest, needed)


def sureness_needed(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    prospect: Prospect,
) -> float:
    """Return how likely the small model's answer must be good to be kept."""
    scarce = fleet.repeat_prices.get(service.name, 0.0)
    return _gain(fleet, route, service, tokens, prospect, repeat_price=scarce)


def note_repeat_wanted(fleet: Fleet, service: ServiceId, *, allowed: bool) -> None:
    """Take in whether the budget allowed a repeat for quality: where it often does not,
    only the answers that gain most shall be asked for again.
    """
    step = -SCARCE_STEP * SCARCE_DENIED if allowed else SCARCE_STEP
    price = fleet.repeat_prices.get(service, 0.0) + step
    fleet.repeat_prices[service] = max(0.0, price)


def _cascade_gain(needed: float) -> float:
    """Return the worth of asking the small model first, in parts of a good answer's.

    Its sureness is taken to be spread evenly, so the large one is asked in as many
    cases as the sureness that is wanted, and gains `needed` there.
    """
    wanted = sureness_wanted(needed)
    unsure = math.log1p(math.exp(-(wanted - SURE_MIDDLE) / SURE_WIDTH))
    return wanted * needed + (1.0 - wanted) - SURE_WIDTH * unsure


def likely_good(sureness: float) -> float:
    """Return how likely an answer is good whose model is so sure of it."""
    return 1.0 / (1.0 + math.exp(-(sureness - SURE_MIDDLE) / SURE_WIDTH))


def sureness_wanted(needed: float) -> float:
    """Return the sureness from which on an answer is likely enough good, in 0 to 1."""
    inside = min(1.0 - 1e-6, max(1e-6, needed))
    found = SURE_MIDDLE + SURE_WIDTH * math.log(inside / (1.0 - inside))
    return min(1.0, max(0.0, found))


def _gain(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    prospect: Prospect,
    *,
    repeat_price: float,
) -> float:
    """Return what the larger model's answer is worth, less its price and that of the
    engine's time, in parts of a good answer's worth.
    """
    worth = value(route, service, tokens)
    if worth <= 0.0:
        return 0.0
    price = cost(service, route.models[-1], tokens) + repeat_price
    price += engine_price(fleet, route, service, prospect.expected)
    late = lateness(route, prospect.spent_ms + prospect.expected.first_ms)
    reached = expected(fleet, route.models[-1]) * (1.0 - LATE_LOSS * late)
    return max(0.0, reached - price / worth)


def lateness(route: RouteRow, first_ms: float) -> float:
    """Return how likely an answer is late whose first event comes after `first_ms`."""
    part = first_ms / max(1, route.target_latency_ms)
    return min(1.0, max(0.0, (part - EARLY_PART) / (LATE_PART - EARLY_PART)))


def note_lateness(
    fleet: Fleet, service: ServiceId, route: RouteRow, first_ms: float
) -> None:
    """Take in when the first event of an answer came, counted from its request."""
    before = fleet.lateness.get(service, USUAL_LATENESS)
    found = lateness(route, first_ms)
    fleet.lateness[service] = before + LATENESS_SMOOTHING * (found - before)


def engine_price(
    fleet: Fleet, route: RouteRow, service: ServiceRow, found: Estimate
) -> float:
    """Return the price of the engine's time that a request takes from others.

    It is what such time usually gains, more the longer those who come have to wait and
    the more answers came late just now: where all come early, time is to spare.
    """
    usual = fleet.gain_per_engine_ms.get(service.name, 0.0)
    held_ms = found.wait_ms + 0.5 * found.read_ms
    busy = held_ms / max(1.0, BUSY_AIM_PART * route.target_latency_ms)
    late = fleet.lateness.get(service.name, USUAL_LATENESS)
    scarce = min(SCARCE_MOST, late / USUAL_LATENESS)
    return usual * scarce * busy * busy * found.read_ms


def note_engine_worth(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    found: Estimate,
) -> None:
    """Take in what a request would gain of the largest model for its engine's time."""
    if found.read_ms <= 0.0:
        return
    better = expected(fleet, route.models[-1]) - expected(fleet, route.models[0])
    gain = max(GAIN_LEAST, better) * value(route, service, tokens)
    worth = gain / found.read_ms
    before = fleet.gain_per_engine_ms.get(service.name, worth)
    moved = before + ENGINE_WORTH_SMOOTHING * (worth - before)
    fleet.gain_per_engine_ms[service.name] = moved


def value(route: RouteRow, service: ServiceRow, tokens: RequestTokens) -> float:
    """Return the worth of a good answer in time, in the catalog's price unit."""
    factor = RANK_FACTORS[min(route.priority, len(RANK_FACTORS) - 1)]
    return WORTH_FACTOR * factor * cost(service, route.models[-1], tokens)


def cost(service: ServiceRow, model: ModelId, tokens: RequestTokens) -> float:
    """Return the price of one run of `model`."""
    paid = tokens.generated + READ_PRICE_PART * tokens.read
    return service.costs.get(model, 0.0) * paid / 1_000


def expected(fleet: Fleet, model: ModelId) -> float:
    """Return how likely a model's answer is good, by the mean of its own opinions."""
    stats = fleet.models.get(model)
    return stats.confidence if stats is not None else 0.9


def note_confidence(fleet: Fleet, model: ModelId, confidence: float) -> None:
    """Take one answer's sureness, in 0 to 1, into the model's mean."""
    stats = fleet.models.get(model)
    if stats is None:
        stats = fleet.models[model] = ModelStats(confidence=0.9)
    stats.answers += 1
    step = max(_SMOOTHING, 1.0 / (PRIOR_ANSWERS + stats.answers))
    stats.confidence += step * (likely_good(confidence) - stats.confidence)
