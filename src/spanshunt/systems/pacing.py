"""How fast engines generate tokens: the usual time between events, and slow answers.

An event is one server-sent event of a streamed answer, and a gap is the time between
two consecutive events. Events are timed and counted, whatever number of tokens they
contain.

The usual time is learned as a low quantile. Workers of a version with a roll-out are
left out unless the roll-out succeeded, so that a new version does not make its own
slowness the usual one. Slow workers among the others, or a few slow answers of each,
hardly change the usual time.
"""

from ..ids import ModelId
from ..ids import ServiceId
from ..tables.engines import DecodeSpeed
from ..tables.fleet import Fleet
from ..tables.rollouts import Verdict
from ..tables.workers import WorkerRow

GAP_QUANTILE = 0.1
"""Quantile of the mean gaps of answers that is the usual gap. It depends little on the
load, and stays correct while most workers are several times slower."""

MAX_STEP, MIN_STEP = 0.5, 0.05
"""Relative steps by which a learned time changes: `MAX_STEP` divided by the number of
answers, but at least `MIN_STEP`. A longer gap raises the learned time by the step times
`GAP_QUANTILE`, a shorter one lowers it by the step times the rest. By steps of
`MIN_STEP`, the learned time takes about 140 answers to double and 15 to halve."""

PEER_SPEED_WEIGHT = 0.2
"""Weight of a peer's time relative to this box's own in each round of gossip."""

SLOW_DECODE_FACTOR = 1.7
"""An answer is slow if its events took this many times the usual time. Under load, some
answers of a good version do; if a version makes half of its answers slow, nearly all
are slow, as the other answers of a batch wait for these."""

MIN_GAPS = 3
"""Minimum number of gaps, not their length, from which an answer shows its speed, as
engines prefill other prompts in between."""

MIN_DECODE_MS = 300
"""Answers generated in less time than this never count as slow, in ms. One prefill of
another prompt may delay them by as much."""


def learn_decode_speed(
    fleet: Fleet,
    service: ServiceId,
    model: ModelId,
    worker: WorkerRow,
    gap_ms: float,
) -> None:
    """Learn the usual gap from the mean gap of a complete answer, `gap_ms`."""
    rollout = fleet.rollouts.rows.get(service)
    on_trial = rollout is not None and rollout.verdict is not Verdict.SUCCEEDED
    if rollout is not None and on_trial and rollout.version in worker.versions:
        return
    speed = fleet.decode_speeds.get((service, model))
    if speed is None:
        fleet.decode_speeds[(service, model)] = DecodeSpeed(gap_ms, 1)
        return
    speed.answers += 1
    step = max(MIN_STEP, MAX_STEP / speed.answers)
    is_above = gap_ms > speed.gap_ms
    speed.gap_ms *= 1.0 + step * (GAP_QUANTILE if is_above else GAP_QUANTILE - 1.0)


def merge_decode_speed(
    fleet: Fleet, service: ServiceId, model: ModelId, gap_ms: float
) -> None:
    """Merge the usual gap that a peer learned: each box moves a little towards it."""
    speed = fleet.decode_speeds.get((service, model))
    if speed is None:
        fleet.decode_speeds[(service, model)] = DecodeSpeed(gap_ms, 1)
        return
    speed.gap_ms += PEER_SPEED_WEIGHT * (gap_ms - speed.gap_ms)


STALL_DEDUCTION_MS = 600
"""Time deducted from an answer that is still being generated, in ms, so that the
prefill of another prompt in between does not make it slow. Without it, a third to a
half of the answers of the leaving version, the one that a roll-out replaces, counted as
slow at some event; judged only once complete, a tenth did."""


def has_enough_gaps(gaps: int) -> bool:
    """Return whether an answer has enough events to show how fast it is generated."""
    return gaps >= MIN_GAPS


def is_slow_decode(
    fleet: Fleet,
    service: ServiceId,
    model: ModelId,
    elapsed_ms: float,
    gaps: int,
    *,
    whole: bool,
) -> bool:
    """Return whether an answer is generated much more slowly than usual.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    service, model : str
        The service and the model that generate it.
    elapsed_ms : float
        Time since its first event, in ms.
    gaps : int
        Number of events since the first one.
    whole : bool
        Whether the answer is complete.
    """
    speed = fleet.decode_speeds.get((service, model))
    if speed is None or not has_enough_gaps(gaps) or elapsed_ms < MIN_DECODE_MS:
        return False
    decode_ms = elapsed_ms if whole else elapsed_ms - STALL_DEDUCTION_MS
    return decode_ms > SLOW_DECODE_FACTOR * speed.gap_ms * gaps
