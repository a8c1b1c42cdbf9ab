"""Preference: what was learned of versions, as a plan for one class's requests.

A preference holds for all requests of one organisation and class for a second; what is
allowed and in service is looked up anew for each.
"""

import typing as t

import msgspec

from ..ids import ClassId
from ..ids import Offset
from ..ids import OrgId
from ..ids import ServiceId
from ..ids import VersionId
from ..tables.config import OrgRow
from ..tables.config import ServiceRow
from ..tables.config import VersionRow
from ..tables.evidence import Cell
from ..tables.evidence import Counts
from ..tables.evidence import Pool
from ..tables.preferences import PreferenceCache
from .choice_rows import Asked
from .journaling import TOKENS_PER_PRICE
from .learning import Estimate
from .learning import estimate

EXPLORE_MOST = 0.20
"""The largest share of a class's requests spent on learning of a cheaper version."""

EXPLORE_LEAST = 0.02
"""The share spent on it while the version in use is not known to have slack."""

CASCADE_MOST = 0.9
"""A cascade must cost at most this part of asking the dearer version at once."""

CONFIDENT = "!sure"
"""Suffix of the class under which answers are counted that the engine was sure of."""

UNSURE = "!unsure"
"""Suffix of the class under which the other answers are counted."""

_USUAL = Counts(runs=1, prompt_tokens=500, output_tokens=200)


class Worth(msgspec.Struct, frozen=True):
    """A version, what its answers are worth and what one costs."""

    row: VersionRow
    estimate: Estimate
    cost: float


class Preference(msgspec.Struct, frozen=True):
    """What to do with the requests of one organisation and class.

    Attributes
    ----------
    main : Worth
        The version that most get.
    meets : bool
        Whether it meets the target with confidence.
    trial : Worth or None
        A cheaper version on trial.
    trial_share : float
        The share of requests that it gets.
    first : Worth or None
        The version asked first in a cascade.
    """

    main: Worth
    meets: bool
    trial: Worth | None = None
    trial_share: float = 0.0
    first: Worth | None = None


class PreferenceKey(t.NamedTuple):
    """What a preference depends on, besides the evidence."""

    service: ServiceId
    request_class: ClassId
    org: OrgId
    named: str
    offset: Offset
    settled: tuple[str, ...]


Preferences = PreferenceCache[PreferenceKey, Preference]
"""Preferences worked out in the last second."""


def target_of(org: OrgRow, service: ServiceRow, name: ClassId) -> float:
    """Return the quality that a class must reach for an organisation."""
    row = service.request_class(name)
    usual = row.target if row is not None else 0.0
    return org.targets.get(f"{service.name}/{name}", usual)


def prefer(
    pool: Pool,
    settled: list[VersionRow],
    asked: Asked,
    target: float,
    service: ServiceRow,
) -> Preference:
    """Return what to do with the requests of one organisation and class.

    The cheapest version whose lower bound meets the target is used. A cheaper one whose
    upper bound meets it goes on trial, for no more requests than the slack of the
    version in use pays for.
    """
    worths = sorted(
        (worth_of(pool, row, asked) for row in settled),
        key=lambda worth: (worth.cost, worth.row.name),
    )
    meeting = [worth for worth in worths if worth.estimate.low >= target]
    if meeting:
        main = meeting[0]
    else:
        main = max(worths, key=lambda worth: (worth.estimate.mean, worth.cost))
    cheaper = [worth for worth in worths if worth.cost < main.cost]
    trial = _on_trial(cheaper, target)
    share = _trial_share(main, trial, target) if trial is not None else 0.0
    row = service.request_class(asked.request_class)
    first = None
    if row is not None and row.escalate:
        first = _cascade_first(pool, cheaper, main, asked, target)
    return Preference(main, bool(meeting), trial, share, first)


def worth_of(pool: Pool, row: VersionRow, asked: Asked) -> Worth:
    """Return what a version's answers are worth to a request, and what one costs."""
    cell = Cell(VersionId(row.name), asked.request_class, asked.org)
    return Worth(row, estimate(pool, cell), _cost(pool, row, asked))


def _cost(pool: Pool, row: VersionRow, asked: Asked) -> float:
    """Return the expected cost of one answer, in millionths of the currency."""
    pair = (VersionId(row.name), asked.request_class)
    seen = pool.classes.get(pair, _USUAL)
    runs = max(1, seen.runs - seen.errors)
    if seen.output_tokens == 0:
        seen, runs = _USUAL, 1
    whole = (
        seen.prompt_tokens * row.prompt_price + seen.output_tokens * row.output_price
    )
    return whole / TOKENS_PER_PRICE / runs


def _on_trial(cheaper: list[Worth], target: float) -> Worth | None:
    hopeful = [worth for worth in cheaper if worth.estimate.may_meet(target)]
    return hopeful[0] if hopeful else None


def _trial_share(main: Worth, trial: Worth, target: float) -> float:
    """Return the share of requests that a trial may take.

    Half of what keeps the mix of both at the target, by their means.
    """
    slack = main.estimate.mean - target
    if slack <= 0:
        return EXPLORE_LEAST
    loss = max(1e-9, main.estimate.mean - trial.estimate.mean)
    return max(EXPLORE_LEAST, min(EXPLORE_MOST, 0.5 * slack / loss))


def _cascade_first(
    pool: Pool, cheaper: list[Worth], main: Worth, asked: Asked, target: float
) -> Worth | None:
    for worth in cheaper:
        name = VersionId(worth.row.name)
        sure_class = ClassId(asked.request_class + CONFIDENT)
        sure = pool.classes.get((name, sure_class), Counts())
        unsure = pool.classes.get(
            (name, ClassId(asked.request_class + UNSURE)), Counts()
        )
        runs = sure.runs + unsure.runs
        if runs == 0:
            continue
        kept = estimate(pool, Cell(name, sure_class, asked.org))
        cost = worth.cost + main.cost * unsure.runs / runs
        if kept.low >= target and cost <= CASCADE_MOST * main.cost:
            return worth
    return None
