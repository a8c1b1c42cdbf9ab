"""Shares of an entering version: by the age of its order, within the exposure bounds.

The exposure is the number of an order's requests that the entering version gets. The
bounds limit it for a bad version to ``share`` times the requests of the order plus the
slack, a number of requests. The steps keep this limit, whether or not the version shows
faults.
"""

import collections
import typing as t

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.fleet import Traffic
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import ExposureBounds
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Verdict
from .tallies import count_answers
from .tallies import pooled_tallies

HALF = 0.5
"""Part of the order's time after which requests without a session get the second
share."""

SESSIONS_FROM = 0.52
"""Part of the order's time after which sessions enter. Sessions must keep their version
in the first half, and only the box that answered a session knows which version it ran
on, so no session may enter before all boxes agree that the first half is over. The
margin covers boxes that see an order some tenths of a second apart."""

FULL_PHASE_EXPOSURE_PART, FULL_PHASE_MAX_MS = 0.48, 3_000
"""Part of the used share (`USED_SHARE_PART` of the allowed one) that is reserved for
the full phase, at the end, in which the version gets all requests, and the longest full
phase in ms. A version that is bad only under this load, or that turns bad only near the
end of the order's time, shows it then; a longer order does not need a longer full
phase."""

POSTPONE_FROM_MS, POSTPONE_UNTIL_MS = 1_500, 700
"""How long before the planned full phase boxes check whether it would exceed the
bounds, from and until, in ms. By the end of this window, boxes have exchanged messages
twice and can agree."""

FULL_PHASE_MIN_MS = 500
"""Shortest full phase, in ms: a shorter one would end before its answers are known, so
the full phase then starts only when the order's time is over."""

POSTPONE_SLACK_PART = 0.85
"""Part of the slack that may be used when the full phase is checked. The steps use only
`USED_SLACK_PART` of it, half. The check allows more, as the random sizes of sessions
need some of the other half even if nothing fails."""

SECOND_STEP_FACTOR = 2.0
"""Ratio of the second share to the first, before the extra share from the slack is
added. It gives a version that turns bad in the second half of the order's time enough
requests to show it."""

USED_SHARE_PART, USED_SLACK_PART = 0.96, 0.5
"""Parts of the allowed share and of the slack that the steps use. The rest of the slack
is a margin, as the slack is divided by an estimated number of requests."""

RATE_FROM, RATE_UNTIL = 0.4, 0.46
"""Parts of the order's time between which the request rate is measured. By then, boxes
have counted for some seconds, and they can still exchange messages twice before
sessions enter by the result. If boxes had different results, a session that moved to
the entering version at one box would move back to the leaving one at another."""

RATE_WINDOW_S = 6
"""Number of latest whole seconds over which the request rate is measured."""

MAX_EXTRA_SHARE = 0.08
"""Greatest share of requests that the slack adds. It limits the harm of a request rate
that is estimated too low."""


class ExposureSteps(t.NamedTuple):
    """Shares of requests that the entering version gets, and when it gets all of them.

    Attributes
    ----------
    first, second : float
        Shares of the requests without a session, in the first half of the order's time
        and after it.
    sessions : float
        Share of the sessions, from ``SESSIONS_FROM`` on.
    full_at : float
        Part of the order's time after which the version gets all requests.
    """

    first: float
    second: float
    sessions: float
    full_at: float


def full_phase_part(bounds: ExposureBounds, duration_ms: int) -> float:
    """Return the length of the full phase, as a part of the order's time.

    As the version gets all requests in the full phase, it gets the same part of the
    order's requests there if they come evenly.
    """
    part = FULL_PHASE_EXPOSURE_PART * USED_SHARE_PART * bounds.share
    return min(part, FULL_PHASE_MAX_MS / max(1, duration_ms))


def compute_steps(
    bounds: ExposureBounds, extra: float, duration_ms: int
) -> ExposureSteps:
    """Return steps that keep the bounds, whether or not the version shows faults.

    Requests with and without a session each keep the bounds, so any mix of them does.

    Parameters
    ----------
    bounds : ExposureBounds
        Bounds of what a bad version may get of the order's requests.
    extra : float
        Share of the order's requests that the slack adds.
    duration_ms : int
        How long the order may take, in ms.
    """
    share = USED_SHARE_PART * bounds.share
    full = full_phase_part(bounds, duration_ms)
    full_at = 1.0 - full
    second_part = full_at - HALF
    first = (share - full) / (HALF + SECOND_STEP_FACTOR * second_part)
    second = SECOND_STEP_FACTOR * first + extra / second_part
    sessions = (share - full + extra) / (full_at - SESSIONS_FROM)
    return ExposureSteps(min(1.0, first), min(1.0, second), min(1.0, sessions), full_at)


def order_steps(fleet: Fleet, row: RolloutRow) -> ExposureSteps:
    """Return the steps of an order."""
    return compute_steps(fleet.rollouts.bounds, row.extra, row.duration_ms)


def full_phase_start_ms(fleet: Fleet, row: RolloutRow) -> int:
    """Return the age of an order at which its full phase starts, in ms.

    This is the planned age or, if greater, the postponed age in ``row.full_from_ms``,
    which is 0 if the full phase was not postponed. It is postponed, up to the whole
    time of the order, if it would give a bad version too many requests, as the bounds
    cover the order's time only; and also while the version is suspected.
    """
    planned = int(order_steps(fleet, row).full_at * row.duration_ms)
    return max(planned, row.full_from_ms)


def extra_share(bounds: ExposureBounds, requests: float) -> float:
    """Return the share that the used part of the slack adds, given all requests."""
    return USED_SLACK_PART * bounds.slack / requests if requests > 0 else 0.0


def entering_share(
    fleet: Fleet, row: RolloutRow, now: Millis, *, in_session: bool
) -> float:
    """Return the entering version's current share of sessions or of other requests."""
    if row.verdict is Verdict.SUCCEEDED:
        return 1.0
    if row.verdict is Verdict.ROLLED_BACK:
        return 0.0
    steps = order_steps(fleet, row)
    age = (now - row.began) / max(1, row.duration_ms)
    if now >= row.began + full_phase_start_ms(fleet, row):
        return 1.0
    if in_session:
        return steps.sessions if age >= SESSIONS_FROM else 0.0
    return steps.second if age >= HALF else steps.first


def fleet_request_rate(fleet: Fleet, row: RolloutRow, now: Millis) -> float:
    """Return the requests a second of a service at all boxes; 0 if unknown.

    The rate is the greater of this box's own rate times the number of known boxes, and
    the rate of answers that all boxes reported, as a box that is cut off hears of few
    answers. A box that counted for less than the window would estimate the rate too low
    and so returns 0: with boxes restarted in turn, orders exceeded their bound by up to
    64 requests.
    """
    if not _has_full_rate_window(fleet, row, now):
        return 0.0
    newest = now // 1_000
    traffic = fleet.traffic.get(row.service, Traffic())
    seconds = [
        s for s in traffic.seconds if newest - RATE_WINDOW_S <= s.number < newest
    ]
    own = sum(second.requests for second in seconds) / RATE_WINDOW_S
    return max(own * (len(fleet.peers) + 1), reported_answer_rate(row, now))


def _has_full_rate_window(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Return whether this box counted requests during the whole rate window."""
    traffic = fleet.traffic.get(row.service, Traffic())
    oldest = now // 1_000 - RATE_WINDOW_S
    return any(second.number <= oldest for second in traffic.seconds)


def reported_answer_rate(row: RolloutRow, now: Millis) -> float:
    """Return the answers a second that all boxes reported, over the rate window."""
    epoch = max(0, now - row.began) // EPOCH_MS
    return _answers_before(_answers_by_epoch(row), epoch) / RATE_WINDOW_S


def lowest_answer_rate(row: RolloutRow, now: Millis) -> float:
    """Return the lowest answers a second over any rate window of the order."""
    answers = _answers_by_epoch(row)
    newest = max(0, now - row.began) // EPOCH_MS
    windows = range(RATE_WINDOW_S, newest + 1)
    if len(windows) > RATE_WINDOW_S * len(answers):
        # Each epoch is in so many windows, so one of them has no answer.
        return 0.0
    counts = [_answers_before(answers, epoch) for epoch in windows]
    return min(counts, default=0) / RATE_WINDOW_S


def _answers_by_epoch(row: RolloutRow) -> collections.Counter[int]:
    answers: collections.Counter[int] = collections.Counter()
    for key, tally in pooled_tallies(row).routes.items():
        answers[key.epoch] += tally.answers
    return answers


def _answers_before(answers: collections.Counter[int], epoch: int) -> int:
    """Return the answers of the rate window that ends before an epoch."""
    return sum(answers[number] for number in range(epoch - RATE_WINDOW_S, epoch))


def raise_extra_share(fleet: Fleet, row: RolloutRow, rate: float, now: Millis) -> None:
    """Raise the extra share by a measured request rate, while boxes still have time to
    agree.

    The greatest value of any box counts, so boxes agree. The bound holds with the value
    of each box, as part of the slack is left unused.
    """
    age = (now - row.began) / max(1, row.duration_ms)
    if not RATE_FROM <= age < RATE_UNTIL or rate <= 0.0:
        return
    requests = rate * row.duration_ms / 1_000
    extra = min(MAX_EXTRA_SHARE, extra_share(fleet.rollouts.bounds, requests))
    row.extra = max(row.extra, extra)


def postpone_full_phase(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Postpone the full phase if it would exceed the bounds; return whether it did so
    now.

    The steps follow the order's time while the bounds count requests: if most requests
    came while the share was large, as in a burst after the second step, less is left
    for the full phase.
    """
    steps = order_steps(fleet, row)
    left_ms = steps.full_at * row.duration_ms - (now - row.began)
    if row.full_from_ms or not POSTPONE_UNTIL_MS <= left_ms < POSTPONE_FROM_MS:
        return False
    if not _has_full_rate_window(fleet, row, now):
        return False
    last_ms = _allowed_full_phase_ms(fleet, row, now, steps)
    if last_ms >= (1.0 - steps.full_at) * row.duration_ms:
        return False
    if last_ms < FULL_PHASE_MIN_MS:
        last_ms = 0.0
    row.full_from_ms = int(row.duration_ms - last_ms)
    return True


def _allowed_full_phase_ms(
    fleet: Fleet, row: RolloutRow, now: Millis, steps: ExposureSteps
) -> float:
    """Return how long the full phase may be within the bounds, in ms.

    A burst may end at any moment: requests that enter are expected at the latest rate,
    those that raise the bound at the lowest one of the order.
    """
    bounds, tallies = fleet.rollouts.bounds, pooled_tallies(row)
    per_ms = reported_answer_rate(row, now) / 1_000
    left_ms = row.duration_ms - (now - row.began)
    entered = count_answers(tallies, entering=True) + steps.sessions * per_ms * left_ms
    requests = lowest_answer_rate(row, now) / 1_000 * left_ms
    requests += count_answers(tallies, entering=True)
    requests += count_answers(tallies, entering=False)
    allowed = bounds.share * requests + POSTPONE_SLACK_PART * bounds.slack
    return (allowed - entered) / max(1e-6, per_ms * (1.0 - steps.sessions))
