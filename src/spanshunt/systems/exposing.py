"""How much an entering version gets: shares by an order's age, within its bounds.

What a bad version may get of an order's requests is a share of them and a number. The
steps keep both, whether the version shows that it is bad or not.
"""

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
"""Part of the order's time from which requests of no session get their second share."""

SESSIONS_FROM = 0.52
"""Part of the order's time from which sessions enter. They must keep their version in
the first half, and only the box that answered a session knows what it ran on: so none
enters before all boxes agree that the half is over. The margin is for boxes that see an
order some tenths of a second apart."""

FULL_PHASE_PART, FULL_PHASE_MAX_MS = 0.48, 3_000
"""Part of what a version may get that is left for the time in which it gets all
requests, at the end, and how long that is at most, in ms. A
version that is bad under this load alone, or turns bad late, shows it then; a longer
order needs no more of it."""

POSTPONE_FROM_MS, POSTPONE_UNTIL_MS = 1_500, 700
"""How long before that time boxes look whether it would give a version too many
requests, in ms: by the end of it they have had two rounds of news to agree."""

FULL_PHASE_MIN_MS = 500
"""A shorter last step would be over before its answers are known, in ms: it then waits
until the order's time is over."""

POSTPONE_SLACK_PART = 0.85
"""Part of the allowed number of requests that is counted on then. The steps leave 0.4
of it, which chance in the sessions' sizes needs on calm days."""

SECOND_STEP_FACTOR = 2.0
"""How many times its first share the second is: what turns bad late shows, too."""

USED_SHARE_PART, USED_SLACK_PART = 0.96, 0.5
"""Parts of the share and of the number of requests that a bad version may get which the
steps use up. The slack is held against a rate of requests that is a guess."""

RATE_FROM, RATE_UNTIL = 0.4, 0.46
"""Parts of the order's time between which the rate of requests is looked at: boxes have
counted for some seconds, and have two rounds of news left to agree before sessions
enter by it. Where they don't agree, a session that one box moves comes back at
another."""

RATE_WINDOW_S = 6
"""Newest whole seconds that the rate of requests is taken from."""

MAX_EXTRA = 0.08
"""Most that the allowed number of requests adds to the share: a rate that is taken for
too low does no more harm than that."""


class ExposureSteps(t.NamedTuple):
    """Shares of requests that the entering version gets, and when it gets all.

    Attributes
    ----------
    first, second : float
        Of requests of no session, in the first half of the order's time and from then
        on.
    sessions : float
        Of sessions, from ``SESSIONS_FROM`` on.
    full_at : float
        From which part of the order's time on it gets all.
    """

    first: float
    second: float
    sessions: float
    full_at: float


def full_phase_part(bounds: ExposureBounds, duration_ms: int) -> float:
    """Return the last part of an order's time, in which all requests may enter."""
    part = FULL_PHASE_PART * USED_SHARE_PART * bounds.share
    return min(part, FULL_PHASE_MAX_MS / max(1, duration_ms))


def compute_steps(
    bounds: ExposureBounds, extra: float, duration_ms: int
) -> ExposureSteps:
    """Return steps that keep within the bounds, whether the version shows bad or not.

    Each kind of requests keeps them by itself, so that any mix does.

    Parameters
    ----------
    bounds : ExposureBounds
        What a bad version may get of the order's requests.
    extra : float
        What the allowed number of requests adds to the share, as a part of them.
    duration_ms : int
        How long the order may take, in ms.
    """
    share = USED_SHARE_PART * bounds.share
    full = full_phase_part(bounds, duration_ms)
    full_at = 1.0 - full
    later = full_at - HALF
    first = (share - full) / (HALF + SECOND_STEP_FACTOR * later)
    second = SECOND_STEP_FACTOR * first + extra / later
    sessions = (share - full + extra) / (full_at - SESSIONS_FROM)
    return ExposureSteps(min(1.0, first), min(1.0, second), min(1.0, sessions), full_at)


def order_steps(fleet: Fleet, row: RolloutRow) -> ExposureSteps:
    """Return the steps of an order."""
    return compute_steps(fleet.rollouts.bounds, row.extra, row.duration_ms)


def full_from_ms(fleet: Fleet, row: RolloutRow) -> int:
    """Return from which age of an order on all requests enter, in ms.

    Where that would give a bad version too many, later, or only when the order's time
    is over: what a version may get is counted until then.
    """
    planned = int(order_steps(fleet, row).full_at * row.duration_ms)
    return max(planned, row.full_from_ms)


def extra_share(bounds: ExposureBounds, requests: float) -> float:
    """Return what the allowed number adds, for so many requests in the order's time."""
    return USED_SLACK_PART * bounds.slack / requests if requests > 0 else 0.0


def entering_share(
    fleet: Fleet, row: RolloutRow, now: Millis, *, in_session: bool
) -> float:
    """Return the share that the entering version gets now, of sessions or of others."""
    if row.verdict is Verdict.SUCCEEDED:
        return 1.0
    if row.verdict is Verdict.ROLLED_BACK:
        return 0.0
    steps = order_steps(fleet, row)
    age = (now - row.began) / max(1, row.duration_ms)
    if now >= row.began + full_from_ms(fleet, row):
        return 1.0
    if in_session:
        return steps.sessions if age >= SESSIONS_FROM else 0.0
    return steps.second if age >= HALF else steps.first


def fleet_request_rate(fleet: Fleet, row: RolloutRow, now: Millis) -> float:
    """Return how many requests a second all boxes get for a service; 0 for unknown.

    It is the greater of this box's own, for as many boxes as are known, and of the
    answers that all boxes told: a box that is cut off hears of few. A box that has
    counted for less than the time looked at takes it for too low and knows nothing:
    with boxes restarted in turn, orders went up to 64 requests over their bound.
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
    """Tell whether this box has counted requests for all of the time looked at."""
    traffic = fleet.traffic.get(row.service, Traffic())
    oldest = now // 1_000 - RATE_WINDOW_S
    return any(second.number <= oldest for second in traffic.seconds)


def reported_answer_rate(row: RolloutRow, now: Millis) -> float:
    """Return how many answers a second all boxes told, in the last whole seconds."""
    epoch = max(0, now - row.began) // EPOCH_MS
    told = sum(
        tally.answers
        for key, tally in pooled_tallies(row).routes.items()
        if epoch - RATE_WINDOW_S <= key.epoch < epoch
    )
    return told / RATE_WINDOW_S


def raise_extra_share(fleet: Fleet, row: RolloutRow, rate: float, now: Millis) -> None:
    """Take in how many requests a second all boxes get, while there is time to agree.

    The greatest word of any box counts, so that boxes agree: the bound is safe for each
    of them by what of the slack is left unused.
    """
    age = (now - row.began) / max(1, row.duration_ms)
    if not RATE_FROM <= age < RATE_UNTIL or rate <= 0.0:
        return
    requests = rate * row.duration_ms / 1_000
    extra = min(MAX_EXTRA, extra_share(fleet.rollouts.bounds, requests))
    row.extra = max(row.extra, extra)


def postpone_full_phase(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Put the last step off if it would break the bounds; tell whether that is new.

    The steps follow the order's time and the bounds count requests: where most came
    while many of them entered, as in a burst late, less is left for the end.
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
    """Return how long at its end all of an order's requests may enter, in ms."""
    bounds, tallies = fleet.rollouts.bounds, pooled_tallies(row)
    per_ms = reported_answer_rate(row, now) / 1_000
    coming = per_ms * (row.duration_ms - (now - row.began))
    entered = count_answers(tallies, entering=True) + steps.sessions * coming
    requests = count_answers(tallies, entering=True) + coming
    requests += count_answers(tallies, entering=False)
    allowed = bounds.share * requests + POSTPONE_SLACK_PART * bounds.slack
    return (allowed - entered) / max(1e-6, per_ms * (1.0 - steps.sessions))
