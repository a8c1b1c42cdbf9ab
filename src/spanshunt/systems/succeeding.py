"""When an entering version has succeeded: by its answers, once enough peers are heard.

A success can't be undone, as the workers of the leaving version stop at once. An
absence of known faults is no proof if few answers are known or no other box was heard.
"""

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.fleet import PeerRow
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tallies
from .blaming import Suspicion
from .blaming import live_peers
from .exposing import full_phase_part
from .exposing import full_phase_start_ms
from .load_trials import has_load
from .own_errors import has_doubted_errors
from .tallies import count_answers
from .tallies import count_loaded_answers

SUCCESS_PART, FEW_ANSWERS_SUCCESS_PART = 0.27, 0.55
"""Parts of the full phase after which a good version may succeed: the first one if at
least `SUFFICIENT_ANSWERS` answers are known, the second one if fewer are."""

SUCCESS_LEFT_MS, FEW_ANSWERS_SUCCESS_LEFT_MS = 1_200, 600
"""Greatest time before the end of the order's time at which it may succeed, in ms, with
sufficient and with few answers. Of this age and the age by the part of the full phase
the later one applies. The later a version succeeds, the fewer faults are missed; the
remaining time suffices to record a verdict, even by a second box or at a slow store."""

SUFFICIENT_ANSWERS = 30
"""Answers of the entering version that suffice for the earlier success. A version that
fails a third shows 10 faults in 30 answers, and the test against a tenth needs about
9."""

MIN_ANSWERS = 10
"""Answers without which a version does not succeed while requests come. In ten answers,
a version that fails half shows three or more faults in 19 of 20 cases. An order that
waits for these answers exceeds its time but does no harm, as the leaving version is
still there."""

MIN_SPAN_MS, MIN_SPAN_PART = 4_000, 0.25
"""Least time from the first answers of the version to its success, in ms and as a part
of the order's time: slow answers are the last to end."""

MIN_LOADED_ANSWERS, LOADED_ANSWERS_PER_FAULT = 5, 8
"""Answers of loaded workers that show that the version bears the load of all requests,
and how many more each failure among them calls for. Of a version that fails half of
them, five show a failure in 31 of 32 cases."""

MAX_LOAD_WAIT_MS, LOAD_WAIT_PART = 4_000, 1 / 6
"""How long a version that showed too few answers of loaded workers must have got all
requests before it succeeds: the most in ms, and the part of the order's time. The
workers of the leaving version, to which requests can go back, stop at its success; by
then, as many requests run at the version's workers as will."""

LOAD_PART = 0.65
"""Part of the planned full phase for which the version must have got all requests
before it succeeds. Requests of seconds run at once, so their load comes by and by."""

MAX_DOUBT_MS = 15_000
"""How long a doubted version gets all requests before it succeeds nevertheless, in ms.
A success can't be undone; a version with one error in twenty is mostly proven bad
within this time."""

LATE_LOAD_MS, LATE_LOAD_PART = 2_500, 0.1
"""The same if the full phase is shortened, or begins when the order's time is over, as
after a burst: the most in ms, and the part of the order's time."""

IDLE_MS = 1_000
"""A service counts as idle if boxes observed no answer and no failure from this long
before the full phase on, in ms."""

SMALL_FLEET_PEERS, MIN_LIVE_PEERS = 12, 6
"""Greatest number of peers of a small fleet, in which a box must hear at least half of
the expected peers; and the least number of peers that it must hear in a larger fleet.
A box reaches twelve peers over the streams that it keeps open itself, so in a small
fleet it can hear each peer directly."""

GONE_PEER_FAILURES = 3
"""Failed calls in a row after which a box that was never heard is no longer awaited."""


def may_succeed(
    fleet: Fleet, row: RolloutRow, tallies: Tallies, suspicion: Suspicion, now: Millis
) -> bool:
    """Return whether a version that is not known to be bad has succeeded by now."""
    if suspicion.is_strong:
        return False
    answers = count_answers(tallies, entering=True)
    age = now - row.began
    if age < (
        earliest_success_ms(fleet, row)
        if answers >= SUFFICIENT_ANSWERS
        else few_answers_success_ms(fleet, row)
    ):
        return False
    is_supported = _has_enough_answers(row, tallies, now) or _is_idle(
        fleet, row, tallies
    )
    return (
        is_supported
        and not _is_doubted(fleet, row, tallies, now)
        and _has_carried_load(fleet, row, tallies, now)
        and hears_enough_peers(fleet, row, now)
    )


def _is_doubted(fleet: Fleet, row: RolloutRow, tallies: Tallies, now: Millis) -> bool:
    """Return whether errors of the version call for more answers before it succeeds."""
    if now - row.began >= full_phase_start_ms(fleet, row) + MAX_DOUBT_MS:
        return False
    return has_doubted_errors(tallies)


def earliest_success_ms(fleet: Fleet, row: RolloutRow) -> int:
    """Return the age from which on an order may succeed, in ms."""
    return _success_age_ms(fleet, row, SUCCESS_PART, SUCCESS_LEFT_MS)


def few_answers_success_ms(fleet: Fleet, row: RolloutRow) -> int:
    """Return the age from which on an order may succeed with few answers, in ms."""
    return _success_age_ms(
        fleet, row, FEW_ANSWERS_SUCCESS_PART, FEW_ANSWERS_SUCCESS_LEFT_MS
    )


def hears_enough_peers(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Return whether this box hears enough peers to rely on what it knows.

    In a small fleet, at most half of the expected peers may be unheard. In a large
    fleet a box talks to only a few boxes, which pass on the reports of others, so it
    must hear `MIN_LIVE_PEERS` and at least as many peers as it fails to reach. A box
    that does not hear enough may be cut off and reads the recorded verdicts from the
    store every second. Compared with all boxes, no box in a fleet of 60 would hear
    enough, and each of them would do so.
    """
    heard = set(live_peers(fleet, now))
    expected = [peer for peer in fleet.peers.values() if _is_expected(peer, row)]
    unheard = [peer for peer in expected if peer.box not in heard]
    if len(fleet.peers) <= SMALL_FLEET_PEERS:
        return len(unheard) <= len(expected) / 2
    unreachable = sum(peer.failures > 0 for peer in unheard)
    return len(heard) >= max(MIN_LIVE_PEERS, unreachable)


def _is_expected(peer: PeerRow, row: RolloutRow) -> bool:
    """Return whether a peer was live since the order began, or may be live now."""
    if peer.heard < 0:
        return peer.failures < GONE_PEER_FAILURES
    return peer.heard >= row.began


def _success_age_ms(fleet: Fleet, row: RolloutRow, part: float, left_ms: int) -> int:
    full_from = full_phase_start_ms(fleet, row)
    full_ms = row.duration_ms - full_from
    if full_ms <= 0:
        full_ms = int(
            full_phase_part(fleet.rollouts.bounds, row.duration_ms) * row.duration_ms
        )
    return max(int(full_from + part * full_ms), row.duration_ms - left_ms)


def _has_enough_answers(row: RolloutRow, tallies: Tallies, now: Millis) -> bool:
    """Return whether enough answers of the entering version came, for long enough."""
    entering = [
        (key.epoch, tally) for key, tally in tallies.routes.items() if key.entering
    ]
    if sum(tally.answers for _, tally in entering) < MIN_ANSWERS:
        return False
    oldest_ms = min(epoch for epoch, _ in entering) * EPOCH_MS
    span_ms = min(MIN_SPAN_MS, MIN_SPAN_PART * row.duration_ms)
    return now - row.began >= oldest_ms + span_ms


def _has_carried_load(
    fleet: Fleet, row: RolloutRow, tallies: Tallies, now: Millis
) -> bool:
    """Return whether the version answered under the load of all requests.

    Where hardly any requests run at once, there is no load to be under. Otherwise it
    must have got all requests for a while. If enough of its answers came from loaded
    workers, a part of the planned full phase suffices; if not, or if the full phase is
    shortened, as by a burst, the load is one that the version never was under.
    """
    if not has_load(fleet, row):
        return True
    full_from = full_phase_start_ms(fleet, row)
    carried_ms = now - row.began - full_from
    loaded, failed = count_loaded_answers(tallies)
    if loaded < MIN_LOADED_ANSWERS + LOADED_ANSWERS_PER_FAULT * failed:
        return carried_ms >= min(MAX_LOAD_WAIT_MS, LOAD_WAIT_PART * row.duration_ms)
    planned_part = full_phase_part(fleet.rollouts.bounds, row.duration_ms)
    planned_ms = int(planned_part * row.duration_ms)
    if full_from > row.duration_ms - planned_ms + 1:
        return carried_ms >= min(LATE_LOAD_MS, LATE_LOAD_PART * row.duration_ms)
    return carried_ms >= LOAD_PART * planned_ms


def _is_idle(fleet: Fleet, row: RolloutRow, tallies: Tallies) -> bool:
    """Return whether the service gets no requests, so no fault can show or do harm."""
    since = max(0, full_phase_start_ms(fleet, row) - IDLE_MS) // EPOCH_MS
    return not any(key.epoch >= since for key in tallies.routes)
