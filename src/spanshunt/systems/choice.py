"""Choice: which version answers a request, by what is allowed and what was learned."""

import enum
import typing as t

import msgspec
from result import Err
from result import Ok
from result import Result

from ..ids import ClassId
from ..ids import Millis
from ..ids import Offset
from ..ids import OrgId
from ..ids import ServiceId
from ..ids import VersionId
from ..tables.config import Config
from ..tables.config import OrgRow
from ..tables.config import RolloutState
from ..tables.config import ServiceRow
from ..tables.config import VersionRow
from ..tables.config import VersionState
from ..tables.evidence import Cell
from ..tables.evidence import Counts
from ..tables.evidence import Pool
from ..tables.preferences import Memory
from ..utils import unit_hash
from .journaling import TOKENS_PER_PRICE
from .learning import Estimate
from .learning import estimate

EXPLORE_MOST = 0.20
"""The largest share of a class's requests spent on learning of a cheaper version."""

EXPLORE_LEAST = 0.02
"""The share spent on it while the version in use is not known to have slack."""

RATE_ALWAYS = 1.0
RATE_UNSURE = 0.5
RATE_SETTLED = 0.03
"""Shares of answers sent to be rated: of a version on trial, of one whose interval
spans the target, and of one that is settled, to see it turn bad."""

NEW_MODEL_MOST = 0.25
"""The largest share that an entering version takes of others' work."""

CASCADE_MOST = 0.9
"""A cascade must cost at most this part of asking the dearer version at once."""

CONFIDENT = "!sure"
"""Suffix of the class under which answers are counted that the engine was sure of."""

UNSURE = "!unsure"
"""Suffix of the class under which the other answers are counted."""

_USUAL = Counts(runs=1, prompt_tokens=500, output_tokens=200)


class Rule(enum.Enum):
    """Why a version was chosen."""

    ASKED = "asked for by name"
    SESSION = "the session is on it"
    CHEAPEST = "cheapest that meets the target with confidence"
    BEST = "none meets the target with confidence yet; the best known"
    EXPLORE = "cheaper and may meet the target; on trial for a few requests"
    ROLLOUT = "entering service; this request is in its share"
    CASCADE = "cheaper; its answer is kept if the engine is sure of it"


class Exclusion(msgspec.Struct, frozen=True):
    """A version that was not chosen, and why."""

    version: VersionId
    reason: str


class Choice(msgspec.Struct, frozen=True):
    """A version for a request.

    Attributes
    ----------
    version : str
        The version.
    rule : Rule
        Why.
    rate : float
        The chance with which its answer is sent to be rated.
    fallback : str
        The version to ask when a cascade's answer is not good enough; empty for none.
    excluded : tuple of Exclusion
        Why not the others.
    """

    version: VersionId
    rule: Rule
    rate: float
    fallback: VersionId = VersionId("")
    excluded: tuple[Exclusion, ...] = ()


class NoVersion(msgspec.Struct, frozen=True):
    """No version may answer the request."""

    excluded: tuple[Exclusion, ...]


class Asked(msgspec.Struct, frozen=True):
    """What a request asks for.

    Attributes
    ----------
    service, request_class, org : str
        Where it belongs.
    named : str
        A model or version that the caller named; empty for any.
    pin : str
        The version that its session is on; empty for none.
    draw_key : str
        The session, else the request: what draws for roll-outs and trials go by.
    """

    service: ServiceId
    request_class: ClassId
    org: OrgId
    named: str = ""
    pin: VersionId = VersionId("")
    draw_key: str = ""


class Worth(msgspec.Struct, frozen=True):
    """A version, what its answers are worth and what one costs."""

    row: VersionRow
    estimate: Estimate
    cost: float


class Drawn(t.NamedTuple):
    """An entering version in whose share a request falls, and the draw."""

    row: VersionRow
    draw: float


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


Preferences = Memory[PreferenceKey, Preference]
"""Preferences worked out in the last second."""


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
        (_worth(pool, row, asked) for row in settled),
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
        return _worth(pool, drawn.row, asked).estimate.may_meet(target)
    likely = _worth(pool, before, asked)
    return likely.estimate.may_meet(target) and likely.cost < main.cost


def _entering_choice(row: VersionRow, excluded: list[Exclusion]) -> Choice:
    return Choice(
        VersionId(row.name), Rule.ROLLOUT, RATE_ALWAYS, excluded=tuple(excluded)
    )


def _worth(pool: Pool, row: VersionRow, asked: Asked) -> Worth:
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
