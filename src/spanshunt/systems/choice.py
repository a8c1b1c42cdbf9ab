"""Choice: which version answers a request, by what is allowed and what was learned."""

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
from .choice_rows import Asked
from .choice_rows import Choice
from .choice_rows import Exclusion
from .choice_rows import NoVersion
from .choice_rows import Rule
from .preferring import Preference
from .preferring import PreferenceKey
from .preferring import Preferences
from .preferring import prefer
from .preferring import target_of
from .preferring import worth_of

RATE_ALWAYS = 1.0
RATE_UNSURE = 0.5
RATE_SETTLED = 0.03
"""Shares of answers sent to be rated: of a version on trial, of one whose interval
spans the target, and of one that is settled, to see it turn bad."""

NEW_MODEL_MOST = 0.25
"""The largest share that an entering version takes of others' work."""


class Drawn(t.NamedTuple):
    """An entering version in whose share a request falls, and the draw."""

    row: VersionRow
    draw: float


def choose(
    config: Config,
    pool: Pool,
    asked: Asked,
    holds: t.Callable[[VersionId], bool],
    memory: Preferences,
    now: Millis,
) -> Result[Choice, NoVersion]:
    """Choose a version for a request.

    Parameters
    ----------
    config : Config
        The configuration in force.
    pool : Pool
        The evidence.
    asked : Asked
        The request.
    holds : callable
        Tells whether any live worker holds a version.
    memory : Memory
        Preferences worked out before; what is allowed and in service is always looked
        up anew, only the learned part is remembered.
    now : int
        In ms of the monotonic clock.
    """
    org = config.orgs[asked.org]
    service = config.services[asked.service]
    usable, excluded = _usable(config, org, asked, holds)
    if asked.pin and _may_stay(config, org, asked.pin):
        if asked.pin in {row.name for row in usable}:
            return Ok(Choice(asked.pin, Rule.SESSION, _session_rate(config, asked.pin)))
        return Err(NoVersion(tuple(excluded)))
    if not usable:
        return Err(NoVersion(tuple(excluded)))
    entering = [row for row in usable if row.state is VersionState.ENTERING]
    settled = _newest(usable)
    drawn = _drawn_rollout(config, entering, asked)
    if not settled:
        if drawn is None:
            return Err(NoVersion(tuple(excluded)))
        return Ok(_entering_choice(drawn.row, excluded))
    target = target_of(org, service, asked.request_class)
    key = PreferenceKey(
        asked.service,
        asked.request_class,
        asked.org,
        asked.named,
        config.next_offset,
        tuple(row.name for row in settled),
    )
    preference = memory.get(
        key, now, lambda: prefer(pool, settled, asked, target, service)
    )
    if drawn is not None and _takes(pool, drawn, preference, settled, asked, target):
        return Ok(_entering_choice(drawn.row, excluded))
    return Ok(_apply(preference, asked, excluded))


def _session_rate(config: Config, pin: VersionId) -> float:
    entering = config.versions[pin].state is VersionState.ENTERING
    return RATE_ALWAYS if entering else RATE_SETTLED


def _may_stay(config: Config, org: OrgRow, pin: VersionId) -> bool:
    """Tell whether a session may stay on its version.

    One whose workers are all away waits for them: it is refused and does not move.
    """
    row = config.versions.get(pin)
    if row is None or not org.allows_version(row):
        return False
    return row.state in (VersionState.ENTERING, VersionState.ACTIVE)


def _usable(
    config: Config,
    org: OrgRow,
    asked: Asked,
    holds: t.Callable[[VersionId], bool],
) -> tuple[list[VersionRow], list[Exclusion]]:
    usable = []
    excluded = []
    for row in config.versions_of(asked.service):
        reason = _exclusion(org, asked, row, holds)
        if reason:
            excluded.append(Exclusion(VersionId(row.name), reason))
        else:
            usable.append(row)
    return usable, excluded


def _exclusion(
    org: OrgRow,
    asked: Asked,
    row: VersionRow,
    holds: t.Callable[[VersionId], bool],
) -> str:
    if not org.allows_version(row):
        return "not allowed to the organisation"
    if row.state in (VersionState.WITHDRAWN, VersionState.DECLARED):
        return f"its state is {row.state.value}"
    if asked.named and asked.named not in (row.name, row.model):
        return f"the caller named {asked.named}"
    if not holds(VersionId(row.name)):
        return "no live worker holds it"
    return ""


def _newest(usable: list[VersionRow]) -> list[VersionRow]:
    """Return the newest active version of each model."""
    newest: dict[str, VersionRow] = {}
    for row in usable:
        if row.state is not VersionState.ACTIVE:
            continue
        held = newest.get(row.model)
        if held is None or (held.since, held.name) < (row.since, row.name):
            newest[row.model] = row
    return list(newest.values())


def _drawn_rollout(
    config: Config, entering: list[VersionRow], asked: Asked
) -> Drawn | None:
    """Return the entering version in whose share the request falls.

    A draw goes by the session, so that a session is in the share or not for as long as
    the share stays, and once in it stays in while the share grows.
    """
    for row in entering:
        rollout = config.rollout_of(VersionId(row.name))
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            continue
        draw = unit_hash(rollout.name, asked.draw_key)
        if asked.named == row.name:
            return Drawn(row, 0.0)
        if draw < rollout.share:
            return Drawn(row, draw)
    return None


def _takes(
    pool: Pool,
    drawn: Drawn,
    preference: Preference,
    settled: list[VersionRow],
    asked: Asked,
    target: float,
) -> bool:
    """Tell whether an entering version takes a request that fell in its share.

    It takes the work of its model's version before it. Of other work it takes at most
    :data:`NEW_MODEL_MOST`, and only where it may be good enough and, if its model is
    known, is cheaper: else it would not get any evidence where the version before it is
    not in use. What its own ratings say is for the guard rails to judge, not for this:
    a version that is starved of requests is never shown to be bad.
    """
    main = preference.main
    before = next((row for row in settled if row.model == drawn.row.model), None)
    if before is not None and before.name == main.row.name:
        return True
    if drawn.draw >= NEW_MODEL_MOST:
        return False
    if before is None:
        return worth_of(pool, drawn.row, asked).estimate.may_meet(target)
    likely = worth_of(pool, before, asked)
    return likely.estimate.may_meet(target) and likely.cost < main.cost


def _entering_choice(row: VersionRow, excluded: list[Exclusion]) -> Choice:
    return Choice(
        VersionId(row.name), Rule.ROLLOUT, RATE_ALWAYS, excluded=tuple(excluded)
    )


def _apply(preference: Preference, asked: Asked, excluded: list[Exclusion]) -> Choice:
    main = preference.main
    name = VersionId(main.row.name)
    kept = tuple(excluded)
    if preference.first is not None:
        first = VersionId(preference.first.row.name)
        return Choice(first, Rule.CASCADE, RATE_UNSURE, fallback=name, excluded=kept)
    trial = preference.trial
    if trial is not None:
        draw = unit_hash("trial", asked.draw_key)
        if draw < preference.trial_share:
            on_trial = VersionId(trial.row.name)
            return Choice(on_trial, Rule.EXPLORE, RATE_ALWAYS, excluded=kept)
    if asked.named:
        return Choice(name, Rule.ASKED, RATE_SETTLED, excluded=kept)
    rule = Rule.CHEAPEST if preference.meets else Rule.BEST
    rate = RATE_SETTLED if preference.meets else RATE_UNSURE
    return Choice(name, rule, rate, excluded=kept)
