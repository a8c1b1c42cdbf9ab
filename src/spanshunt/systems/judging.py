"""Whether an entering version is good: pooled evidence, verdicts, who records them."""

import typing as t

from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import EvidenceKey
from ..tables.rollouts import Finding
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tally
from ..tables.rollouts import Verdict
from .exposing import steps_of
from .ramping import take_verdict
from .sequential import log_change_above
from .tallies import FAULT_FLOORS
from .tallies import LEAST_BAD
from .tallies import add_up

DONE_PART, DONE_LAST_PART = 0.2, 0.55
"""Parts of the time with all sessions after which an entering version that stayed sound
has succeeded, the second one where few answers show that it is: by then answers that
the leaving version had begun are mostly complete, and a second writer still has its
turn within an order of 16 s, the shortest seen."""

LEAST_ANSWERS = 30
"""Answers of the entering version that suffice for the earlier time: of 30, a version
that fails a third shows 10, and the test against a tenth needs about 9."""

CEILING_FACTOR = 2.0
"""How many times the leaving version's share of answers with a fault is still sound."""

EVIDENCE = 5.0
"""Natural log of the change statistic at which a version is bad: a sound version
reaches it about once in 150 epochs for each series looked at."""


class Judgement(t.NamedTuple):
    """A verdict and, for people, the evidence that it rests on."""

    verdict: Verdict
    reason: str = ""


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
    ceiling = min(0.6, max(FAULT_FLOORS[finding], CEILING_FACTOR * usual))
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
