"""Roll-outs: which version answers a request, and when an order is done or undone.

Sessions decide the version by a hash, so that all boxes agree without a message. The
share of the entering version is a function of the order's age: a canary for most of it,
then all, so late and short that a version which nothing speaks against has had no more
than its bound of the order's requests at the deadline. Evidence is pooled over
boxes and tested against the leaving version's own answers.
"""

import typing as t

from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId
from ..tables.fleet import Fleet
from ..tables.fleet import Traffic
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import EvidenceKey
from ..tables.rollouts import ExposeBounds
from ..tables.rollouts import Finding
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import SessionRow
from ..tables.rollouts import Tally
from ..tables.rollouts import Verdict
from ..utils import unit_hash
from .sequential import log_change_above

HALF, FULL_AT = 0.5, 0.93
"""Parts of the order's time from which the entering version gets its second share, and
all sessions. Sessions must stay on their version in the first half."""

FULL_MOST_PART = 0.5
"""Part of what a version may get in all that may be left for the time in which it gets
all sessions: where that is short, this begins later."""

SECOND_FACTOR = 2.0
"""How many times its first share the second is: what turns bad late shows, too."""

SHARE_USED, SLACK_USED = 0.96, 0.6
"""Parts of the share and of the number of requests that a bad version may get which the
steps use up. The slack is held against a rate of requests that is a guess."""

DONE_PART, DONE_LAST_PART = 0.2, 0.55
"""Parts of the time with all sessions after which an entering version that stayed sound
has succeeded, the second one where few answers show that it is: by then answers that
the leaving version had begun are mostly complete, and a second writer still has its
turn within an order of 16 s, the shortest seen."""

LEAST_ANSWERS = 30
"""Answers of the entering version that suffice for the earlier time: of 30, a version
that fails a third shows 10, and the test against a tenth needs about 9."""

CEILING_FLOORS = {Finding.FAILED: 0.1, Finding.SLOW: 0.25}
"""Shares of answers with a fault that no version is blamed for. Single answers fail on
sound workers, too, when a worker or a link breaks; and a sound version is slow at
first, while its engines keep no prompts: one in ten answers on a calm day."""

CEILING_FACTOR = 2.0
"""How many times the leaving version's share of such answers is still sound."""

EVIDENCE = 5.0
"""Natural log of the change statistic at which a version is bad: a sound version
reaches it about once in 150 epochs for each series looked at."""

RATE_FROM = 0.4
"""Part of the order's time from which on the rate of requests is looked at: boxes have
counted for some seconds, and have a tenth of the order's time left to agree."""

RATE_S = 6
"""Newest whole seconds that the rate of requests is taken from."""

EXTRA_MOST = 0.08
"""Most that the allowed number of requests adds to the share: a rate that is taken for
too low does no more harm than that."""

LEAST_BAD = 3
"""Bad answers without which no version is judged bad."""


SESSION_TTL_MS = 6_000
"""How long a session is remembered after its last answer, in ms: a little longer than
sessions may pause (5 s on both sites)."""


class VersionRule(t.NamedTuple):
    """The version that must answer, or those that must not.

    Attributes
    ----------
    only : str or None
        The one that must; None for any.
    never : frozenset of str
        Those that must not.
    """

    only: VersionId | None = None
    never: frozenset[VersionId] = frozenset()

    def admits(self, versions: t.Collection[VersionId]) -> bool:
        """Tell whether a worker that holds `versions` may answer."""
        if self.only is not None:
            return self.only in versions
        return self.never.isdisjoint(versions)


class Judgement(t.NamedTuple):
    """A verdict and, for people, the evidence that it rests on."""

    verdict: Verdict
    reason: str = ""


class Steps(t.NamedTuple):
    """Shares of sessions that the entering version gets, and when it gets all.

    Attributes
    ----------
    first, second : float
        In the first half of the order's time, and from then on.
    full_at : float
        From which part of the order's time on it gets all.
    """

    first: float
    second: float
    full_at: float


def steps_of(bounds: ExposeBounds, extra: float) -> Steps:
    """Return steps that keep within the bounds, whether the version shows bad or not.

    Parameters
    ----------
    bounds : ExposeBounds
        What a bad version may get of the order's requests.
    extra : float
        What the allowed number of requests adds to the share, as a part of them.
    """
    share = SHARE_USED * bounds.share
    full = min(1.0 - FULL_AT, FULL_MOST_PART * share)
    full_at = 1.0 - full
    later = full_at - HALF
    first = (share - full) / (HALF + SECOND_FACTOR * later)
    second = SECOND_FACTOR * first + extra / later
    return Steps(min(1.0, first), min(1.0, second), full_at)


def extra_share(bounds: ExposeBounds, requests: float) -> float:
    """Return what the allowed number adds, for so many requests in the order's time."""
    return SLACK_USED * bounds.slack / requests if requests > 0 else 0.0


def share_at(fleet: Fleet, row: RolloutRow, now: Millis) -> float:
    """Return the share of sessions that the entering version gets now."""
    if row.verdict is Verdict.SUCCEEDED:
        return 1.0
    if row.verdict is Verdict.ROLLED_BACK:
        return 0.0
    steps = steps_of(fleet.rollouts.bounds, row.extra)
    age = (now - row.began) / max(1, row.duration_ms)
    if age >= steps.full_at:
        return 1.0
    return steps.second if age >= HALF else steps.first


def fleet_rate(fleet: Fleet, row: RolloutRow, now: Millis) -> float:
    """Return how many requests a second all boxes get for a service; 0 for unknown.

    It is the greater of this box's own, for as many boxes as are known, and of the
    answers that all boxes told: a box that is cut off hears of few.
    """
    newest = now // 1_000
    traffic = fleet.traffic.get(row.service, Traffic())
    seconds = [s for s in traffic.seconds if newest - RATE_S <= s.number < newest]
    own = sum(second.requests for second in seconds) / RATE_S
    epoch = max(0, now - row.began) // EPOCH_MS
    told = sum(
        tally.answers
        for key, tally in add_up(row.own, *row.near.values(), *row.far.values()).items()
        if epoch - RATE_S <= key.epoch < epoch
    )
    return max(own * (len(fleet.peers) + 1), told / RATE_S)


def raise_extra(fleet: Fleet, row: RolloutRow, rate: float, now: Millis) -> None:
    """Take in how many requests a second all boxes get, before the first half is over.

    The greatest word of any box counts, so that boxes agree: the bound is safe for each
    of them by what of the slack is left unused.
    """
    age = (now - row.began) / max(1, row.duration_ms)
    if not RATE_FROM <= age < HALF or rate <= 0.0:
        return
    requests = rate * row.duration_ms / 1_000
    extra = min(EXTRA_MOST, extra_share(fleet.rollouts.bounds, requests))
    row.extra = max(row.extra, extra)


def in_first_half(row: RolloutRow, now: Millis) -> bool:
    """Tell whether sessions must stay on the version that they are on."""
    return now - row.began < row.duration_ms / 2


def version_for(
    fleet: Fleet,
    service: ServiceId,
    session: str,
    draw: str,
    now: Millis,
    failed: t.Collection[VersionId] = (),
) -> VersionRule:
    """Return which version a request must run on.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    service : str
        The service.
    session : str
        The caller's session; empty for none.
    draw : str
        What decides for a request without a session: its id.
    now : int
        The time, in ms.
    failed : collection of str
        Versions that failed this request already: one that is entering is not asked
        again, so that a bad one costs its callers one attempt; but sessions that are on
        it stay.
    """
    row = fleet.rollouts.rows.get(service)
    if row is None:
        return VersionRule()
    if row.verdict is Verdict.SUCCEEDED:
        return VersionRule(only=row.version)
    before = VersionRule(never=row.barred | {row.version})
    if row.verdict is Verdict.ROLLED_BACK:
        return before
    known = fleet.rollouts.sessions.get((service, session)) if session else None
    if known is not None and now - known.ended > SESSION_TTL_MS:
        known = None
    if known is not None and known.version == row.version:
        return VersionRule(only=row.version)
    if row.version in failed:
        return before
    if known is not None and in_first_half(row, now):
        return before
    entering = unit_hash(str(row.order), session or draw) < share_at(fleet, row, now)
    if entering and _has_workers(fleet, service, row.version):
        return VersionRule(only=row.version)
    return before


def note_session(
    fleet: Fleet, service: ServiceId, session: str, version: VersionId, now: Millis
) -> None:
    """Remember which version answered a session."""
    if session:
        fleet.rollouts.sessions[(service, session)] = SessionRow(version, now)


def forget_sessions(fleet: Fleet, now: Millis) -> None:
    """Forget sessions that ended."""
    sessions = fleet.rollouts.sessions
    for key in [k for k, row in sessions.items() if now - row.ended > SESSION_TTL_MS]:
        del sessions[key]


def take_order(
    fleet: Fleet,
    service: ServiceId,
    version: VersionId,
    order: Offset,
    duration_ms: Millis,
    began: Millis,
) -> bool:
    """Take an order in; return whether it is new."""
    known = fleet.rollouts.rows.get(service)
    if known is not None and known.order >= order:
        known.began = min(known.began, began) if known.order == order else known.began
        return False
    row = RolloutRow(service, version, order, duration_ms, began)
    if known is not None:
        taken_back = known.verdict is Verdict.ROLLED_BACK
        bar_versions(row, known.barred | ({known.version} if taken_back else set()))
    fleet.rollouts.rows[service] = row
    return True


def bar_versions(row: RolloutRow, versions: t.Collection[VersionId]) -> None:
    """Give nothing more to versions that were taken back before this order."""
    row.barred = row.barred.union(versions) - {row.version}


def take_verdict(
    row: RolloutRow, verdict: Verdict, reason: str, now: Millis, *, recorded: bool
) -> bool:
    """Take a verdict in; return whether it is new.

    A verdict that stands in the store wins over one that a box only reached itself.
    """
    if verdict is Verdict.RUNNING:
        return False
    changed = row.verdict is not verdict and (
        row.verdict is Verdict.RUNNING or (recorded and not row.recorded)
    )
    if changed:
        row.verdict, row.reason, row.judged_at = verdict, reason, now
    if row.verdict is verdict:
        row.recorded = row.recorded or recorded
    return changed


def note_result(
    fleet: Fleet,
    service: ServiceId,
    route: str,
    versions: t.Collection[VersionId],
    now: Millis,
    finding: Finding | None,
) -> None:
    """Count an answer as evidence while a roll-out of its service runs."""
    row = fleet.rollouts.rows.get(service)
    if row is None or row.verdict is not Verdict.RUNNING:
        return
    epoch = max(0, now - row.began) // EPOCH_MS
    key = EvidenceKey(route, row.version in versions, epoch)
    tally = row.own.setdefault(key, Tally())
    tally.answers += 1
    tally.failed += finding is Finding.FAILED
    tally.slow += finding is Finding.SLOW


def judge(fleet: Fleet, row: RolloutRow, now: Millis) -> Judgement:
    """Judge a running roll-out by the pooled evidence."""
    pooled = add_up(row.own, *row.near.values(), *row.far.values())
    for route in sorted({key.route for key in pooled} | {""}):
        for finding in Finding:
            reason = _blame(pooled, route, finding)
            if reason:
                return Judgement(Verdict.ROLLED_BACK, reason)
    steps = steps_of(fleet.rollouts.bounds, row.extra)
    age = (now - row.began) / max(1, row.duration_ms)
    answers = sum(tally.answers for key, tally in pooled.items() if key.entering)
    part = DONE_PART if answers >= LEAST_ANSWERS else DONE_LAST_PART
    if age >= steps.full_at + part * (1.0 - steps.full_at):
        reason = f"{answers} answers, no test reached its threshold"
        return Judgement(Verdict.SUCCEEDED, reason)
    return Judgement(Verdict.RUNNING)


def _blame(pooled: dict[EvidenceKey, Tally], route: str, finding: Finding) -> str:
    """Return the evidence against the entering version on a route ("" for all)."""
    before = _series(pooled, route, finding, entering=False)
    after = _series(pooled, route, finding, entering=True)
    faulty = sum(epoch.faulty for epoch in after)
    if faulty < LEAST_BAD:
        return ""
    answers = sum(epoch.answers for epoch in before)
    usual = sum(epoch.faulty for epoch in before) / answers if answers else 0.0
    ceiling = min(0.6, max(CEILING_FLOORS[finding], CEILING_FACTOR * usual))
    series = [(epoch.answers, epoch.faulty) for epoch in after]
    log_evidence = log_change_above(series, ceiling)
    if log_evidence < EVIDENCE:
        return ""
    total = sum(epoch.answers for epoch in after)
    where = f"route {route}" if route else "all routes"
    return (
        f"{where}: {faulty} of {total} answers {finding.value}, "
        f"log evidence {log_evidence:.1f}"
    )


class Epoch(t.NamedTuple):
    """Answers of one epoch, and those with a fault."""

    answers: int
    faulty: int


def _series(
    pooled: dict[EvidenceKey, Tally], route: str, finding: Finding, *, entering: bool
) -> list[Epoch]:
    """Return answers and faulty ones by epoch, oldest first; route "" takes all."""
    epochs: dict[int, Epoch] = {}
    for key, tally in pooled.items():
        if key.entering is entering and route in ("", key.route):
            old = epochs.get(key.epoch, Epoch(0, 0))
            faulty = old.faulty + tally.count_of(finding)
            epochs[key.epoch] = Epoch(old.answers + tally.answers, faulty)
    return [epochs[number] for number in sorted(epochs)]


def add_up(*parts: dict[EvidenceKey, Tally]) -> dict[EvidenceKey, Tally]:
    """Return the sum of tallies."""
    pooled: dict[EvidenceKey, Tally] = {}
    for tallies in parts:
        for key, tally in tallies.items():
            into = pooled.setdefault(key, Tally())
            into.answers += tally.answers
            into.failed += tally.failed
            into.slow += tally.slow
    return pooled


def take_tally(into: dict[EvidenceKey, Tally], key: EvidenceKey, told: Tally) -> None:
    """Take a told tally; counts only rise, so the greatest told is the newest."""
    tally = into.setdefault(key, Tally())
    tally.answers = max(tally.answers, told.answers)
    tally.failed = max(tally.failed, told.failed)
    tally.slow = max(tally.slow, told.slow)


def _has_workers(fleet: Fleet, service: ServiceId, version: VersionId) -> bool:
    return any(
        row.name not in fleet.workers.leaving
        for row in fleet.workers.able(service, version)
    )


WRITER_STEP_MS = 700
"""How much longer each next box waits before it records a verdict itself, in ms: longer
than a call to a slow store takes."""

PEER_LIVE_MS = 2_000
"""A peer not heard for this long is not counted on to record a verdict, in ms."""


def writer_delay(fleet: Fleet, now: Millis) -> Millis:
    """Return how long this box leaves the recording of a verdict to others, in ms.

    Boxes that are heard take turns in the order of their names, so that usually one
    writes; the store's condition decides where two do.
    """
    before = sum(
        peer.box < fleet.me.box and 0 <= now - peer.heard < PEER_LIVE_MS
        for peer in fleet.peers.values()
        if peer.heard >= 0
    )
    return Millis(before * WRITER_STEP_MS)


def _done_at(fleet: Fleet, row: RolloutRow) -> float:
    """Return the part of its time after which an order may have succeeded."""
    full_at = steps_of(fleet.rollouts.bounds, row.extra).full_at
    return full_at + DONE_PART * (1.0 - full_at)


def due_verdict(fleet: Fleet, row: RolloutRow, now: Millis) -> Judgement | None:
    """Return the verdict that this box must record now, if any.

    A version judged bad is taken back here at once, recorded or not.
    """
    if row.recorded:
        return None
    if row.verdict is not Verdict.RUNNING:
        due_at = row.judged_at
        judgement = Judgement(row.verdict, row.reason)
    else:
        judgement = judge(fleet, row, now)
        if judgement.verdict is Verdict.RUNNING:
            return None
        due_at = Millis(row.began + int(_done_at(fleet, row) * row.duration_ms))
        if judgement.verdict is Verdict.ROLLED_BACK:
            take_verdict(row, judgement.verdict, judgement.reason, now, recorded=False)
            due_at = now
    if now < due_at + writer_delay(fleet, now):
        return None
    return judgement
