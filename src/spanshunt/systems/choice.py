"""Choice of the version that answers a request, from permissions and evidence.

``spanshuntd`` uses this module. `preferring` computes which versions requests prefer;
this module applies that to one request, after pinned sessions, permissions and
roll-outs.
"""

import typing as t

from result import Err
from result import Ok
from result import Result

from ..ids import Millis
from ..ids import VersionId
from ..tables.config import Config
from ..tables.config import OrgRow
from ..tables.config import RolloutState
from ..tables.config import VersionRow
from ..tables.config import VersionState
from ..tables.evidence import Pool
from ..utils import unit_hash
from .choice_rows import Choice
from .choice_rows import Exclusion
from .choice_rows import NoVersion
from .choice_rows import Rule
from .choice_rows import VersionRequest
from .preferring import Preference
from .preferring import PreferenceKey
from .preferring import Preferences
from .preferring import assess_version
from .preferring import compute_preference
from .preferring import target_quality

RATING_RATE_TRIAL = 1.0
RATING_RATE_UNCERTAIN = 0.5
RATING_RATE_STABLE = 0.03
"""Shares of answers that are sent for rating.

The first is for versions that need evidence soon: a cheaper active version on trial and
an entering version in its roll-out. The second is used while no version is known to
meet the target, as the lower bound of its estimate is below it, and for a cascade. The
third is for all other answers, including those to requests that name an active version
and to sessions that are pinned to one; it suffices to notice when a version
degrades."""

MAX_SHARE_FROM_OTHER_MODELS = 0.25
"""Maximum share of requests that an entering version takes if they would otherwise go
to another model. Where they would go to the active version of its own
model, only the share of the roll-out applies. Both limits are compared with the same
draw, so this one has an effect while the share of the roll-out is greater."""


class RolloutDraw(t.NamedTuple):
    """An entering version whose roll-out share includes a request, and the draw.

    The draw is uniform in 0 to 1 over all sessions; it is 0 for a request that names
    the version.
    """

    row: VersionRow
    draw: float


def choose(
    config: Config,
    pool: Pool,
    request: VersionRequest,
    is_loaded: t.Callable[[VersionId], bool],
    cache: Preferences,
    now: Millis,
) -> Result[Choice, NoVersion]:
    """Choose a version for a request.

    Parameters
    ----------
    config : Config
        The configuration in force.
    pool : Pool
        The pooled evidence.
    request : VersionRequest
        The request.
    is_loaded : callable
        Returns whether any live worker has a version loaded.
    cache : Preferences
        Cached preferences. Permissions and version states are checked for each request;
        only the result of learning is cached.
    now : int
        Time of the monotonic clock, in ms.
    """
    org = config.orgs[request.org]
    service = config.services[request.service]
    usable, excluded = _usable(config, org, request, is_loaded)
    if request.pin and _may_keep_version(config, org, request.pin):
        if request.pin in {row.name for row in usable}:
            return Ok(
                Choice(
                    request.pin, Rule.SESSION, _session_rating_rate(config, request.pin)
                )
            )
        return Err(NoVersion(tuple(excluded)))
    if not usable:
        return Err(NoVersion(tuple(excluded)))
    entering = [row for row in usable if row.state is VersionState.ENTERING]
    active = _newest_active(usable)
    rollout_draw = _find_rollout(config, entering, request)
    if not active:
        if rollout_draw is None:
            return Err(NoVersion(tuple(excluded)))
        return Ok(_rollout_choice(rollout_draw.row, excluded))
    target = target_quality(org, service, request.request_class)
    key = PreferenceKey(
        request.service,
        request.request_class,
        request.org,
        request.named,
        config.next_offset,
        tuple(row.name for row in active),
    )
    preference = cache.get(
        key, now, lambda: compute_preference(pool, active, request, target, service)
    )
    if rollout_draw is not None and _takes_request(
        pool, rollout_draw, preference, active, request, target
    ):
        return Ok(_rollout_choice(rollout_draw.row, excluded))
    return Ok(_choice_by_preference(preference, request, excluded))


def _session_rating_rate(config: Config, pin: VersionId) -> float:
    entering = config.versions[pin].state is VersionState.ENTERING
    return RATING_RATE_TRIAL if entering else RATING_RATE_STABLE


def _may_keep_version(config: Config, org: OrgRow, pin: VersionId) -> bool:
    """Return whether permissions and the version's state let a session stay on it.

    If they do not, `choose` selects a version as for a request without a session. If
    they do, it selects no other version: it refuses the request if the version is not
    usable for another reason, for example if all its workers are gone.
    """
    row = config.versions.get(pin)
    if row is None or not org.allows_version(row):
        return False
    return row.state in (VersionState.ENTERING, VersionState.ACTIVE)


def _usable(
    config: Config,
    org: OrgRow,
    request: VersionRequest,
    is_loaded: t.Callable[[VersionId], bool],
) -> tuple[list[VersionRow], list[Exclusion]]:
    usable = []
    excluded = []
    for row in config.versions_of(request.service):
        reason = _exclusion_reason(org, request, row, is_loaded)
        if reason:
            excluded.append(Exclusion(VersionId(row.name), reason))
        else:
            usable.append(row)
    return usable, excluded


def _exclusion_reason(
    org: OrgRow,
    request: VersionRequest,
    row: VersionRow,
    is_loaded: t.Callable[[VersionId], bool],
) -> str:
    if not org.allows_version(row):
        return "not allowed to the organisation"
    if row.state in (VersionState.WITHDRAWN, VersionState.DECLARED):
        return f"its state is {row.state.value}"
    if request.named and request.named not in (row.name, row.model):
        return f"the caller named {request.named}"
    if not is_loaded(VersionId(row.name)):
        return "no live worker holds it"
    return ""


def _newest_active(usable: list[VersionRow]) -> list[VersionRow]:
    """Return the newest active version of each model."""
    newest: dict[str, VersionRow] = {}
    for row in usable:
        if row.state is not VersionState.ACTIVE:
            continue
        best = newest.get(row.model)
        if best is None or (best.since, best.name) < (row.since, row.name):
            newest[row.model] = row
    return list(newest.values())


def _find_rollout(
    config: Config, entering: list[VersionRow], request: VersionRequest
) -> RolloutDraw | None:
    """Return the entering version whose roll-out share includes the request.

    The draw is a hash of the session. A session therefore stays inside or outside the
    share while the share is constant, and stays inside when the share grows.
    """
    for row in entering:
        rollout = config.rollout_of(VersionId(row.name))
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            continue
        draw = unit_hash(rollout.name, request.draw_key)
        if request.named == row.name:
            return RolloutDraw(row, 0.0)
        if draw < rollout.share:
            return RolloutDraw(row, draw)
    return None


def _takes_request(
    pool: Pool,
    rollout_draw: RolloutDraw,
    preference: Preference,
    active: list[VersionRow],
    request: VersionRequest,
    target: float,
) -> bool:
    """Return whether an entering version takes a request drawn into its share.

    `previous` is the active version of the same model. If it would serve the request,
    the entering version takes its place. It also takes some requests that another model
    would serve, at most :data:`MAX_SHARE_FROM_OTHER_MODELS`, since it would otherwise
    get no evidence where `previous` is not in use.

    For those, the estimate and cost of `previous` stand for the entering version's:
    `previous` must possibly meet the target and be cheaper than the version in use. The
    entering version's own ratings are left to the guard rails, because a version that
    gets no requests is never found to be bad. There is no `previous` if the model is
    new, or if the request can use no active version of it. The entering version's own
    ratings then decide, whatever its cost: it gets requests until it has
    :data:`~spanshunt.systems.learning.MIN_TRIAL_RATINGS`, and afterwards while it may
    meet the target.
    """
    main = preference.main
    previous = next(
        (row for row in active if row.model == rollout_draw.row.model), None
    )
    if previous is not None and previous.name == main.row.name:
        return True
    if rollout_draw.draw >= MAX_SHARE_FROM_OTHER_MODELS:
        return False
    if previous is None:
        return assess_version(pool, rollout_draw.row, request).estimate.may_meet(target)
    expected = assess_version(pool, previous, request)
    return expected.estimate.may_meet(target) and expected.cost < main.cost


def _rollout_choice(row: VersionRow, excluded: list[Exclusion]) -> Choice:
    return Choice(
        VersionId(row.name), Rule.ROLLOUT, RATING_RATE_TRIAL, excluded=tuple(excluded)
    )


def _choice_by_preference(
    preference: Preference, request: VersionRequest, excluded: list[Exclusion]
) -> Choice:
    main = preference.main
    name = VersionId(main.row.name)
    exclusions = tuple(excluded)
    if preference.first is not None:
        first = VersionId(preference.first.row.name)
        return Choice(
            first,
            Rule.CASCADE,
            RATING_RATE_UNCERTAIN,
            fallback=name,
            excluded=exclusions,
        )
    trial = preference.trial
    if trial is not None:
        draw = unit_hash("trial", request.draw_key)
        if draw < preference.trial_share:
            on_trial = VersionId(trial.row.name)
            return Choice(
                on_trial, Rule.EXPLORE, RATING_RATE_TRIAL, excluded=exclusions
            )
    if request.named:
        return Choice(name, Rule.ASKED, RATING_RATE_STABLE, excluded=exclusions)
    rule = Rule.CHEAPEST if preference.meets_target else Rule.BEST
    rate = RATING_RATE_STABLE if preference.meets_target else RATING_RATE_UNCERTAIN
    return Choice(name, rule, rate, excluded=exclusions)
