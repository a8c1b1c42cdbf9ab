"""Preferences between versions, computed from evidence for the requests of one class.

A preference applies to all requests of one organisation and class for one second.
Permissions and version states are checked for each request.
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
from .choice_rows import VersionRequest
from .journaling import TOKENS_PER_PRICE
from .learning import QualityEstimate
from .learning import estimate_quality

MAX_TRIAL_SHARE = 0.20
"""Maximum share of a class's requests used for the trial of a cheaper version."""

MIN_TRIAL_SHARE = 0.02
"""Trial share while the mean of the version in use does not exceed the target."""

MAX_CASCADE_COST_RATIO = 0.9
"""Maximum cost of a cascade relative to asking the dearer version directly."""

CONFIDENT_SUFFIX = "!sure"
"""Suffix of the class that counts answers in which the engine was confident."""

UNSURE_SUFFIX = "!unsure"
"""Suffix of the class that counts all other answers."""

_DEFAULT_COUNTS = Counts(runs=1, prompt_tokens=500, output_tokens=200)


class VersionAssessment(msgspec.Struct, frozen=True):
    """A version with its estimated quality and expected cost per answer."""

    row: VersionRow
    estimate: QualityEstimate
    cost: float


class Preference(msgspec.Struct, frozen=True):
    """How to serve the requests of one organisation and class.

    Attributes
    ----------
    main : VersionAssessment
        The version that serves most requests.
    meets_target : bool
        Whether the lower bound of its quality meets the target.
    trial : VersionAssessment or None
        A cheaper version on trial.
    trial_share : float
        Share of requests sent to the version on trial.
    first : VersionAssessment or None
        The version asked first in a cascade.
    """

    main: VersionAssessment
    meets_target: bool
    trial: VersionAssessment | None = None
    trial_share: float = 0.0
    first: VersionAssessment | None = None


class PreferenceKey(t.NamedTuple):
    """All that a preference depends on, except the evidence."""

    service: ServiceId
    request_class: ClassId
    org: OrgId
    named: str
    offset: Offset
    settled: tuple[str, ...]


Preferences = PreferenceCache[PreferenceKey, Preference]
"""Cache of the preferences computed in the last second."""


def target_quality(org: OrgRow, service: ServiceRow, name: ClassId) -> float:
    """Return the quality that a class must reach for an organisation."""
    row = service.request_class(name)
    usual = row.target if row is not None else 0.0
    return org.targets.get(f"{service.name}/{name}", usual)


def compute_preference(
    pool: Pool,
    active: list[VersionRow],
    request: VersionRequest,
    target: float,
    service: ServiceRow,
) -> Preference:
    """Return how to serve the requests of one organisation and class.

    The cheapest version whose lower bound meets the target is used. A cheaper version
    whose upper bound meets the target goes on trial. Its share is limited by how much
    the quality of the version in use exceeds the target.
    """
    versions = sorted(
        (assess_version(pool, row, request) for row in active),
        key=lambda version: (version.cost, version.row.name),
    )
    meeting = [version for version in versions if version.estimate.low >= target]
    if meeting:
        main = meeting[0]
    else:
        main = max(versions, key=lambda version: (version.estimate.mean, version.cost))
    cheaper = [version for version in versions if version.cost < main.cost]
    trial = _select_trial(cheaper, target)
    share = _trial_share(main, trial, target) if trial is not None else 0.0
    row = service.request_class(request.request_class)
    first = None
    if row is not None and row.escalate:
        first = _select_cascade_first(pool, cheaper, main, request, target)
    return Preference(main, bool(meeting), trial, share, first)


def assess_version(
    pool: Pool, row: VersionRow, request: VersionRequest
) -> VersionAssessment:
    """Return the estimated quality and cost of a version for a request."""
    cell = Cell(VersionId(row.name), request.request_class, request.org)
    return VersionAssessment(
        row, estimate_quality(pool, cell), _expected_cost(pool, row, request)
    )


def _expected_cost(pool: Pool, row: VersionRow, request: VersionRequest) -> float:
    """Return the expected cost of one answer, in millionths of the currency."""
    pair = (VersionId(row.name), request.request_class)
    counts = pool.classes.get(pair, _DEFAULT_COUNTS)
    runs = max(1, counts.runs - counts.errors)
    if counts.output_tokens == 0:
        counts, runs = _DEFAULT_COUNTS, 1
    total = (
        counts.prompt_tokens * row.prompt_price
        + counts.output_tokens * row.output_price
    )
    return total / TOKENS_PER_PRICE / runs


def _select_trial(
    cheaper: list[VersionAssessment], target: float
) -> VersionAssessment | None:
    eligible = [version for version in cheaper if version.estimate.may_meet(target)]
    return eligible[0] if eligible else None


def _trial_share(
    main: VersionAssessment, trial: VersionAssessment, target: float
) -> float:
    """Return the share of requests for a version on trial.

    It is half the share at which the mean quality of the mix equals the target.
    """
    slack = main.estimate.mean - target
    if slack <= 0:
        return MIN_TRIAL_SHARE
    loss = max(1e-9, main.estimate.mean - trial.estimate.mean)
    return max(MIN_TRIAL_SHARE, min(MAX_TRIAL_SHARE, 0.5 * slack / loss))


def _select_cascade_first(
    pool: Pool,
    cheaper: list[VersionAssessment],
    main: VersionAssessment,
    request: VersionRequest,
    target: float,
) -> VersionAssessment | None:
    for version in cheaper:
        name = VersionId(version.row.name)
        confident_class = ClassId(request.request_class + CONFIDENT_SUFFIX)
        confident = pool.classes.get((name, confident_class), Counts())
        unsure = pool.classes.get(
            (name, ClassId(request.request_class + UNSURE_SUFFIX)), Counts()
        )
        runs = confident.runs + unsure.runs
        if runs == 0:
            continue
        quality = estimate_quality(pool, Cell(name, confident_class, request.org))
        cost = version.cost + main.cost * unsure.runs / runs
        if quality.low >= target and cost <= MAX_CASCADE_COST_RATIO * main.cost:
            return version
    return None
