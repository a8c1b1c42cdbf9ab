"""Whether an entering version is good: verdicts, and which box records them."""

import typing as t

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Verdict
from .blaming import count_answers
from .blaming import heard_peers
from .blaming import strongest
from .exposing import steps_of
from .ramping import take_verdict
from .tallies import pooled

DONE_PART, DONE_LAST_PART = 0.2, 0.55
"""Parts of the time with all sessions after which an entering version that stayed sound
has succeeded, the second one where few answers show that it is: by then answers that
the leaving version had begun are mostly complete, and a second writer still has its
turn within an order of 16 s, the shortest seen."""

LEAST_ANSWERS = 30
"""Answers of the entering version that suffice for the earlier time: of 30, a version
that fails a third shows 10, and the test against a tenth needs about 9."""


class Judgement(t.NamedTuple):
    """A verdict and, for people, the evidence that it rests on."""

    verdict: Verdict
    reason: str = ""


def judge(fleet: Fleet, row: RolloutRow, now: Millis) -> Judgement:
    """Judge a running roll-out by the pooled evidence."""
    tallies = pooled(row)
    suspicion = strongest(tallies)
    if suspicion.proven:
        return Judgement(Verdict.ROLLED_BACK, suspicion.reason)
    steps = steps_of(fleet.rollouts.bounds, row.extra)
    age = (now - row.began) / max(1, row.duration_ms)
    answers = count_answers(tallies, entering=True)
    part = DONE_PART if answers >= LEAST_ANSWERS else DONE_LAST_PART
    if age >= steps.full_at + part * (1.0 - steps.full_at):
        reason = f"{answers} answers, no test reached its threshold"
        return Judgement(Verdict.SUCCEEDED, reason)
    return Judgement(Verdict.RUNNING)


WRITER_STEP_MS = 700
"""How much longer each next box waits before it records a verdict itself, in ms: longer
than a call to a slow store takes."""


def writer_delay(fleet: Fleet, now: Millis) -> Millis:
    """Return how long this box leaves the recording of a verdict to others, in ms.

    Boxes that are heard take turns in the order of their names, so that usually one
    writes; the store's condition decides where two do.
    """
    before = sum(box < fleet.me.box for box in heard_peers(fleet, now))
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
