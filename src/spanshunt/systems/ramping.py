"""Roll-outs: which version answers a request, and when an order is done or undone.

Sessions decide the version by a hash, so that all boxes agree without a message. The
share of the entering version is a function of the order's age: a canary for most of it,
then steps up, so late and short that a version which nothing speaks against has had no
more than its bound of the order's requests when it succeeds. Evidence is pooled over
boxes and tested against the leaving version's own answers.
"""

import typing as t

from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import EvidenceKey
from ..tables.rollouts import Finding
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import SessionRow
from ..tables.rollouts import Tally
from ..tables.rollouts import Verdict
from ..utils import unit_hash
from .sequential import log_change_above

STEPS = ((0.0, 0.05), (0.5, 0.1), (0.9, 0.3), (0.93, 1.0))
"""From which part of the order's time on, which share of sessions the entering version
gets. Sessions must stay on their version in the first half, and a bad version may get
0.15 of all requests of the order's time, whether it shows in its answers or not: the
steps give 0.144. The canary meets 2.5 requests a second at the smallest fleet, of which
a bad version fails a third or more: judged within about ten seconds."""

DONE_AT = 0.945
"""Part of the order's time after which an entering version that stayed sound has
succeeded: by then answers that the leaving version had begun are mostly complete, and a
second writer still has its turn within an order of 16 s, the shortest seen."""

CEILING_FLOORS = {Finding.FAILED: 0.1, Finding.SLOW: 0.25}
"""Shares of answers with a fault that no version is blamed for. Single answers fail on
sound workers, too, when a worker or a link breaks; and a sound version is slow at
first, while its engines keep no prompts: one in ten answers on a calm day."""

CEILING_FACTOR = 2.0
"""How many times the leaving version's share of such answers is still sound."""

EVIDENCE = 5.0
"""Natural log of the change statistic at which a version is bad: a sound version
reaches it about once in 150 epochs for each series looked at."""

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


def share_at(row: RolloutRow, now: Millis) -> float:
    """Return the share of sessions that the entering version gets now."""
    if row.verdict is Verdict.SUCCEEDED:
        return 1.0
    if row.verdict is Verdict.ROLLED_BACK:
        return 0.0
    age = (now - row.began) / max(1, row.duration_ms)
    share = 0.0
    for start, value in STEPS:
        if age >= start:
            share = value
    return share


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
    entering = unit_hash(str(row.order), session or draw) < share_at(row, now)
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


def judge(row: RolloutRow, now: Millis) -> Judgement:
    """Judge a running roll-out by the pooled evidence."""
    pooled = add_up(row.own, *row.near.values(), *row.far.values())
    for route in sorted({key.route for key in pooled} | {""}):
        for finding in Finding:
            reason = _blame(pooled, route, finding)
            if reason:
                return Judgement(Verdict.ROLLED_BACK, reason)
    age = (now - row.began) / max(1, row.duration_ms)
    if age >= DONE_AT:
        answers = sum(tally.answers for key, tally in pooled.items() if key.entering)
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
        judgement = judge(row, now)
        if judgement.verdict is Verdict.RUNNING:
            return None
        due_at = Millis(row.began + int(DONE_AT * row.duration_ms))
        if judgement.verdict is Verdict.ROLLED_BACK:
            take_verdict(row, judgement.verdict, judgement.reason, now, recorded=False)
            due_at = now
    if now < due_at + writer_delay(fleet, now):
        return None
    return judgement
