"""Choice of a model: the value of a better answer against its price and the load.

A small model's answer tells at its head how sure the model is. The larger model is
asked instead while the caller has nothing yet, if what the answer gains outweighs what
the larger model costs, in money and in places that others wait for.
"""

import msgspec

from ..ids import ModelId
from ..ids import ServiceId
from ..tables.catalog import RouteRow
from ..tables.catalog import ServiceRow
from ..tables.fleet import Fleet
from ..tables.fleet import ModelStats
from .timing import usual_first_ms

VALUE_PER_TOKEN = 0.0003
"""Worth of an answer for each token of its size (read, plus ten times generated), in
the catalog's price unit, at rank 1. Fitted to the workload sheets of both first users:
their classes lie between 0.8 and 1.8 times this, by rank."""

RANK_FACTORS = (2.0, 1.0, 0.7)
"""How a route's urgency scales the worth of its answers; later ranks count as the last.
From the same sheets: rank says what an operator values a token at."""

GENERATED_WEIGHT = 10
"""How many read tokens a generated one counts as in an answer's size."""

READ_PRICE_PART = 0.25
"""Price of a read token against a generated one."""

LATE_LOSS = 0.7
"""Part of an answer's worth that is lost when it comes late."""

PLACE_FACTOR = 2.5
"""What a run of a larger model costs in all, in parts of its price: the time of an
engine that it takes from others has no price of its own."""

EARLY_PART, LATE_PART = 0.35, 1.0
"""Usual time to the larger model's first event, in parts of the route's aim, from which
on its answers begin to come late, and at which all do."""

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
        How sure the first must be for its answer to be kept, in 0 to 1.
    """

    first: ModelId
    last: ModelId
    needed: float


def plan_models(
    fleet: Fleet, route: RouteRow, service: ServiceRow, tokens: RequestTokens
) -> ModelPlan:
    """Plan which models to ask."""
    smallest, largest = route.models[0], route.models[-1]
    if smallest == largest:
        return ModelPlan(smallest, largest, 0.0)
    needed = sureness_needed(fleet, route, service, tokens)
    at_once = _gain(fleet, route, service, tokens, repeat_price=0.0)
    first = largest if at_once >= _cascade_gain(needed) - DIRECT_MARGIN else smallest
    return ModelPlan(first, largest, needed)


def sureness_needed(
    fleet: Fleet, route: RouteRow, service: ServiceRow, tokens: RequestTokens
) -> float:
    """Return how sure the small model must be for its answer to be worth keeping."""
    scarce = fleet.repeat_prices.get(service.name, 0.0)
    return _gain(fleet, route, service, tokens, repeat_price=scarce)


def note_repeat_wanted(fleet: Fleet, service: ServiceId, *, allowed: bool) -> None:
    """Take in whether the budget allowed a repeat for quality: where it often does not,
    only the answers that gain most shall be asked for again.
    """
    step = -SCARCE_STEP * SCARCE_DENIED if allowed else SCARCE_STEP
    price = fleet.repeat_prices.get(service, 0.0) + step
    fleet.repeat_prices[service] = max(0.0, price)


def _cascade_gain(needed: float) -> float:
    """Return the worth of asking the small model first, in parts of a good answer's.

    Its sureness is spread evenly (measured on both first users' sheets), so the large
    one is asked in `needed` of all cases and gains just that much there.
    """
    return 0.5 + needed * needed / 2


def _gain(
    fleet: Fleet,
    route: RouteRow,
    service: ServiceRow,
    tokens: RequestTokens,
    *,
    repeat_price: float,
) -> float:
    """Return what the larger model's answer is worth, less its price, in parts of a
    good answer's worth.
    """
    worth = value(route, tokens)
    price = PLACE_FACTOR * cost(service, route.models[-1], tokens) + repeat_price
    usual = usual_first_ms(fleet, route, route.models[-1], tokens.read)
    part = usual / max(1, route.aim_ms)
    late = min(1.0, max(0.0, (part - EARLY_PART) / (LATE_PART - EARLY_PART)))
    reached = expected(fleet, route.models[-1]) * (1.0 - LATE_LOSS * late)
    return max(0.0, reached - price / max(worth, 1e-9))


def value(route: RouteRow, tokens: RequestTokens) -> float:
    """Return the worth of a good answer in time, in the catalog's price unit."""
    factor = RANK_FACTORS[min(route.rank, len(RANK_FACTORS) - 1)]
    size = tokens.read + GENERATED_WEIGHT * tokens.generated
    return VALUE_PER_TOKEN * factor * size


def cost(service: ServiceRow, model: ModelId, tokens: RequestTokens) -> float:
    """Return the price of one run of `model`."""
    paid = tokens.generated + READ_PRICE_PART * tokens.read
    return service.costs.get(model, 0.0) * paid / 1_000


def expected(fleet: Fleet, model: ModelId) -> float:
    """Return how likely a model's answer is good: the mean of its own opinion."""
    stats = fleet.models.get(model)
    return stats.confidence if stats is not None else 0.9


def note_confidence(fleet: Fleet, model: ModelId, confidence: float) -> None:
    """Take one answer's sureness, in 0 to 1, into the model's mean."""
    stats = fleet.models.get(model)
    if stats is None:
        stats = fleet.models[model] = ModelStats(confidence=0.9)
    stats.answers += 1
    step = max(_SMOOTHING, 1.0 / (PRIOR_ANSWERS + stats.answers))
    stats.confidence += step * (confidence - stats.confidence)
