"""Preferences between versions, computed from evidence for the requests of one class.

A preference applies to all requests of one organisation and class for one second.
Permissions and version states are checked for each request.

A preference has a main version, and possibly one of two cheaper versions beside it. A
version on trial answers a small share of the requests, to gather evidence about its
quality. The first version of a cascade is asked before the main one. If the usage that
its engine reports contains too low a confidence or none, the answer is dropped and the
main version is asked, which is then called the fallback.

This cascade between versions is part of ``spanshuntd``. The cascade between models in
`cascading` is unrelated to it, and no request passes through both.
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
"""Minimum trial share. It is used while the mean quality of the main version does not
exceed the target."""

MAX_CASCADE_COST_RATIO = 0.9
"""Maximum expected cost of a cascade relative to asking the main version directly."""

CONFIDENT_SUFFIX = "!sure"
"""Suffix of the class that counts answers with a high confidence reported by the
engine. An answer with a reported confidence counts both under its request class and
under the class with one of the two suffixes."""

UNSURE_SUFFIX = "!unsure"
"""Suffix of the class that counts answers with a lower reported confidence."""

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
        Whether the lower bound of the main version's quality meets the target.
    trial : VersionAssessment or None
        A cheaper version on trial; None for none.
    trial_share : float
        Share of requests sent to the version on trial.
    first : VersionAssessment or None
        The version asked first in a cascade, before `main`; None without a cascade. A
        cascade takes precedence over the trial.
    """

    main: VersionAssessment
    meets_target: bool
    trial: VersionAssessment | None = None
    trial_share: float = 0.0
    first: VersionAssessment | None = None


class PreferenceKey(t.NamedTuple):
    """All that a preference depends on, except the evidence.

    Attributes
    ----------
    service, request_class, org : str
        Service, class and organisation of the requests.
    named : str
        Model or version that the caller named; empty for any.
    offset : Offset
        Offset of the next record to apply to the configuration (`Config.next_offset`).
        It changes with every change of the configuration and so stands for its
        contents.
    settled : tuple of str
        Active versions to choose from, the newest of each model. Entering versions are
        not among them.
    """

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

    The main version is the cheapest whose lower bound meets the target; if there is
    none, it is the one with the highest mean. The cheapest version that costs less than
    the main version and may meet the target goes on trial. Its share is limited by how
    much the mean quality of the main version exceeds the target.
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

    It is half the share at which the mean quality of the mix equals the target, within
    `MIN_TRIAL_SHARE` and `MAX_TRIAL_SHARE`.
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
