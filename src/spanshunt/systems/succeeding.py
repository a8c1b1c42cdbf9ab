"""When an entering version has succeeded: shown by answers, known from other boxes.

Success can't be taken back: the workers of the version before stop at once. That no bad
answer is known is no reason for it where few answers are, or where nobody was heard.
"""

from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.fleet import PeerRow
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tallies
from .blaming import Suspicion
from .blaming import live_peers
from .exposing import full_from_ms
from .exposing import full_phase_part
from .tallies import count_answers

SUCCESS_PART, LATE_SUCCESS_PART = 0.27, 0.55
"""Parts of the time with all requests after which a version that stayed sound has
succeeded at the earliest, the second one where few answers show that it is."""

SUCCESS_LEFT_MS, LATE_SUCCESS_LEFT_MS = 1_200, 600
"""And how long before the order's time is over, in ms: the later, the less can go wrong
unseen. What is left suffices to record a verdict, by a second box or at a slow store,
too."""

SUFFICIENT_ANSWERS = 30
"""Answers of the entering version that suffice for the earlier time: of 30, a version
that fails a third shows 10, and the test against a tenth needs about 9."""

MIN_ANSWERS = 10
"""Answers without which it does not succeed at all while requests come: of ten, a
version that fails half shows three or more in 19 of 20 cases. An order that waits for
them is late, and harms nobody meanwhile: the version before is still there."""

MIN_SPAN_MS, MIN_SPAN_PART = 4_000, 0.25
"""How long before success its first answers came at the least, in ms and as a part of
the order's time: answers that are slow end last."""

IDLE_MS = 1_000
"""How long before all requests enter the latest request for the service may have been
for it to count as not asked for at all, in ms."""

SMALL_FLEET_PEERS, MIN_LIVE_PEERS = 12, 6
"""Peers up to which each of them is heard within the time that counts, so that half of
them must be; and of more, how many must be: the streams that a box itself keeps open to
others bring it twelve."""

GONE_PEER_FAILURES = 3
"""Calls in a row that fail after which a box that was never heard is not waited for."""


def may_succeed(
    fleet: Fleet, row: RolloutRow, tallies: Tallies, against: Suspicion, now: Millis
) -> bool:
    """Tell whether a version that is not known to be bad has succeeded now."""
    if against.blocks_success:
        return False
    answers = count_answers(tallies, entering=True)
    age = now - row.began
    if age < (
        earliest_success_ms(fleet, row)
        if answers >= SUFFICIENT_ANSWERS
        else late_success_ms(fleet, row)
    ):
        return False
    shown = _has_enough_answers(row, tallies, now) or _is_idle(fleet, row, tallies)
    return shown and hears_majority(fleet, row, now)


def earliest_success_ms(fleet: Fleet, row: RolloutRow) -> int:
    """Return the age from which on an order may have succeeded, in ms."""
    return _success_age_ms(fleet, row, SUCCESS_PART, SUCCESS_LEFT_MS)


def late_success_ms(fleet: Fleet, row: RolloutRow) -> int:
    """Return the same where few answers show it."""
    return _success_age_ms(fleet, row, LATE_SUCCESS_PART, LATE_SUCCESS_LEFT_MS)


def hears_majority(fleet: Fleet, row: RolloutRow, now: Millis) -> bool:
    """Tell whether this box hears most of the boxes that may know more than it does.

    In a large fleet it talks to a few of them only, which tell what the others told:
    then it is those that it hears against those that it fails to reach. Counted against
    all, no box of 60 would hear most, and each read the store's verdicts every second.
    """
    heard = set(live_peers(fleet, now))
    wanted = [peer for peer in fleet.peers.values() if _is_expected(peer, row)]
    unheard = [peer for peer in wanted if peer.box not in heard]
    if len(fleet.peers) <= SMALL_FLEET_PEERS:
        return len(unheard) <= len(wanted) / 2
    missed = sum(peer.failures > 0 for peer in unheard)
    return len(heard) >= max(MIN_LIVE_PEERS, missed)


def _is_expected(peer: PeerRow, row: RolloutRow) -> bool:
    """Tell whether a peer was there since the order began, or may be now."""
    if peer.heard < 0:
        return peer.failures < GONE_PEER_FAILURES
    return peer.heard >= row.began


def _success_age_ms(fleet: Fleet, row: RolloutRow, part: float, left_ms: int) -> int:
    begins = full_from_ms(fleet, row)
    full_ms = row.duration_ms - begins
    if full_ms <= 0:
        full_ms = int(
            full_phase_part(fleet.rollouts.bounds, row.duration_ms) * row.duration_ms
        )
    return max(int(begins + part * full_ms), row.duration_ms - left_ms)


def _has_enough_answers(row: RolloutRow, tallies: Tallies, now: Millis) -> bool:
    """Tell whether enough is known of the entering version, for long enough."""
    entering = [(k.epoch, tally) for k, tally in tallies.routes.items() if k.entering]
    if sum(tally.answers for _, tally in entering) < MIN_ANSWERS:
        return False
    oldest_ms = min(epoch for epoch, _ in entering) * EPOCH_MS
    span_ms = min(MIN_SPAN_MS, MIN_SPAN_PART * row.duration_ms)
    return now - row.began >= oldest_ms + span_ms


def _is_idle(fleet: Fleet, row: RolloutRow, tallies: Tallies) -> bool:
    """Tell whether nobody asks for the service: then nothing can show, or go wrong."""
    since = max(0, full_from_ms(fleet, row) - IDLE_MS) // EPOCH_MS
    return not any(key.epoch >= since for key in tallies.routes)
