"""Verdicts on entering versions, and which box records them."""

import math
import typing as t

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import Finding
from ..tables.rollouts import RecordedSuspicion
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Verdict
from .blaming import current_suspicion
from .blaming import live_peers
from .exposing import POSTPONE_FROM_MS
from .exposing import POSTPONE_UNTIL_MS
from .exposing import full_phase_start_ms
from .ramping import apply_verdict
from .succeeding import may_succeed
from .tallies import count_answers
from .tallies import pooled_tallies
from .watching import LISTING_EXPIRY_MS
from .watching import can_fall_back
from .watching import check_turned_bad

SUSPECTED_DELAY_MS = 1_000
"""How much the full phase is postponed while the version is suspected
(:attr:`blaming.Suspicion.is_strong`), in ms. This repeats each time the full phase
comes near."""


class Judgement(t.NamedTuple):
    """A verdict and its evidence as text for operators."""

    verdict: Verdict
    reason: str = ""


def judge(fleet: Fleet, row: RolloutRow, now: Millis) -> Judgement:
    """Judge a running roll-out by the pooled evidence."""
    tallies = pooled_tallies(row)
    suspicion = current_suspicion(fleet, row)
    if suspicion.is_proven:
        return Judgement(Verdict.ROLLED_BACK, suspicion.reason)
    if may_succeed(fleet, row, tallies, suspicion, now):
        answers = count_answers(tallies, entering=True)
        reason = f"{answers} answers, no test reached its threshold"
        return Judgement(Verdict.SUCCEEDED, reason)
    return Judgement(Verdict.RUNNING)


def postpone_suspected(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Postpone the full phase if the version is suspected; return whether it did so."""
    full_ms = full_phase_start_ms(fleet, row)
    left_ms = full_ms - (now - row.began)
    if not POSTPONE_UNTIL_MS <= left_ms < POSTPONE_FROM_MS:
        return False
    if not current_suspicion(fleet, row).is_strong:
        return False
    row.full_from_ms = full_ms + SUSPECTED_DELAY_MS
    return True


MIN_RECORD_INCREASE = 1.0
"""How much stronger than the recorded suspicion a suspicion must be to be recorded, in
natural logs. Up to the verdict this allows three records at most, at two calls each."""


def update_suspicion(
    fleet: Fleet, row: RolloutRow, now: Millis
) -> RecordedSuspicion | None:
    """Update since when a suspicion is due; return it if this box must record it now.

    `suspected_at` is set while the suspicion is strong and stronger than the recorded
    one by `MIN_RECORD_INCREASE`, and unset otherwise.

    Evidence that only boxes hold is lost when they end. In a test in which all boxes
    ended in the middle of an order, five of six versions that made half of their
    answers four times slower passed as good by the few answers that came after
    (``bench/play_cases.py``).
    """
    found = current_suspicion(fleet, row)
    known = (
        row.recorded_suspicion.log_evidence
        if row.recorded_suspicion is not None
        else -math.inf
    )
    if not found.is_strong or found.log_evidence < known + MIN_RECORD_INCREASE:
        row.suspected_at = Millis(-1)
        return None
    if row.suspected_at < 0:
        row.suspected_at = now
    if now < row.suspected_at + record_delay(fleet, now):
        return None
    epoch = (now - row.began) // EPOCH_MS
    # The store has no kind of its own for these.
    finding = found.finding
    if finding in (Finding.FAILED_UNDER_LOAD, Finding.OWN_ERROR):
        finding = Finding.FAILED
    return RecordedSuspicion(found.route, finding, found.log_evidence, epoch)


RECORD_STAGGER_MS = 700
"""How much longer each next box waits before it records a verdict or a suspicion
itself, in ms. It is longer than a call to a slow store takes."""


def record_delay(fleet: Fleet, now: Millis) -> Millis:
    """Return how long this box leaves recording to other boxes, in ms.

    The delay is the same for a verdict and for a suspicion.
    Live boxes take turns in the order of their names, so usually one box writes. If two
    do, the store's conditional append decides.
    """
    before = sum(box < fleet.identity.box for box in live_peers(fleet, now))
    return Millis(before * RECORD_STAGGER_MS)


def update_verdict(fleet: Fleet, row: RolloutRow, now: Millis) -> Judgement | None:
    """Judge a roll-out, update its row and return the verdict to record now, if any.

    A version judged bad is rolled back on this box at once, recorded or not, while a
    success only sets `succeeded_since` until it is recorded. A version that succeeded
    is checked and marked if it turned bad.
    """
    due_at, judgement = _update_due_verdict(fleet, row, now)
    if judgement.verdict is Verdict.RUNNING:
        return None
    # A restored store may lack the verdict: it is due again, with the same delays.
    due_at = max(due_at, fleet.store.era_began)
    if now < due_at + record_delay(fleet, now):
        return None
    return judgement


def _update_due_verdict(
    fleet: Fleet, row: RolloutRow, now: Millis
) -> tuple[Millis, Judgement]:
    """Update the row; return since when a verdict is due, and the verdict.

    The verdict is `Verdict.RUNNING` if none is due. A version that turned bad is not
    checked again, so the time of the last check is the time of the finding; if a peer
    reported the finding, it is the time of this box's last check before that.
    """
    check_turned_bad(fleet, row, now)
    if (
        row.turned_bad_reason
        and not row.rollback_recorded
        and can_fall_back(fleet, row, now)
    ):
        since = max(
            row.turned_bad_checked_at, Millis(row.judged_at + LISTING_EXPIRY_MS)
        )
        return since, Judgement(Verdict.ROLLED_BACK, row.turned_bad_reason)
    if row.recorded:
        return now, Judgement(Verdict.RUNNING)
    if row.verdict is not Verdict.RUNNING:
        return row.judged_at, Judgement(row.verdict, row.reason)
    judgement = judge(fleet, row, now)
    if judgement.verdict is Verdict.SUCCEEDED:
        row.succeeded_since = row.succeeded_since if row.succeeded_since >= 0 else now
        return row.succeeded_since, judgement
    row.succeeded_since = Millis(-1)
    if judgement.verdict is Verdict.ROLLED_BACK:
        apply_verdict(row, judgement.verdict, judgement.reason, now, recorded=False)
    return now, judgement
