"""How fast engines write: the usual time between events, and what is far beyond it.

The usual time is learned as a low quantile, from workers that no order brings in. Slow
workers among them, or a few slow answers of each, hardly move it, and an entering
version does not make its own slowness usual.
"""

from ..ids import ModelId
from ..ids import ServiceId
from ..tables.engines import DecodeSpeed
from ..tables.fleet import Fleet
from ..tables.rollouts import Verdict
from ..tables.workers import WorkerRow

PACE_QUANTILE = 0.1
"""Which quantile of the times between events is the usual one: it follows the load
little, and holds while most of the workers are several times slower."""

STEP_MOST, STEP_LEAST = 0.5, 0.05
"""Steps by which a learned time moves, as parts of it: the first ones and later ones.
Load that doubles the times is followed within some sixty answers."""

PEER_SPEED_WEIGHT = 0.2
"""Weight of a peer's word of a time against one's own, at each exchange."""

SLOW_WRITE_FACTOR = 1.7
"""An answer is slow if its events took this many times the usual time. Answers of a
sound version may be, with its load; of one that makes half of its answers slow nearly
all are, as others of a batch wait for these."""

WRITE_GAPS_LEAST = 3
"""Times between events below which an answer tells nothing of the pace: engines read
prompts of others in between."""

WRITE_LEAST_MS = 300
"""Answers written faster than this never count as slow, in ms: one such prompt of
another may hold them up for as long."""


def note_pace(
    fleet: Fleet,
    service: ServiceId,
    model: ModelId,
    worker: WorkerRow,
    gap_ms: float,
) -> None:
    """Take in the mean time between events of a whole answer."""
    row = fleet.rollouts.rows.get(service)
    on_trial = row is not None and row.verdict is not Verdict.SUCCEEDED
    if row is not None and on_trial and row.version in worker.versions:
        return
    pace = fleet.decode_speeds.get((service, model))
    if pace is None:
        fleet.decode_speeds[(service, model)] = DecodeSpeed(gap_ms, 1)
        return
    pace.answers += 1
    step = max(STEP_LEAST, STEP_MOST / pace.answers)
    more = gap_ms > pace.gap_ms
    pace.gap_ms *= 1.0 + step * (PACE_QUANTILE if more else PACE_QUANTILE - 1.0)


def take_pace(fleet: Fleet, service: ServiceId, model: ModelId, gap_ms: float) -> None:
    """Take in what a peer learned: each box moves a little towards it."""
    pace = fleet.decode_speeds.get((service, model))
    if pace is None:
        fleet.decode_speeds[(service, model)] = DecodeSpeed(gap_ms, 1)
        return
    pace.gap_ms += PEER_SPEED_WEIGHT * (gap_ms - pace.gap_ms)


STALL_MS = 600
"""What is left out of the time of an answer that is still being written, in ms: a
prompt of another that is read in between does not make it slow. Of the leaving
version's answers a third to a half counted as slow without it; a tenth ended so."""


def tells_pace(gaps: int) -> bool:
    """Tell whether an answer has enough events to tell how fast it is written."""
    return gaps >= WRITE_GAPS_LEAST


def is_slow_writing(
    fleet: Fleet,
    service: ServiceId,
    model: ModelId,
    elapsed_ms: float,
    gaps: int,
    *,
    whole: bool,
) -> bool:
    """Tell whether an answer is several times slower than usual.

    Parameters
    ----------
    fleet : Fleet
        The tables.
    service, model : str
        What writes it.
    elapsed_ms : float
        Time since its first event, in ms.
    gaps : int
        Events that came since then.
    whole : bool
        Whether it has ended.
    """
    pace = fleet.decode_speeds.get((service, model))
    if pace is None or not tells_pace(gaps) or elapsed_ms < WRITE_LEAST_MS:
        return False
    writing_ms = elapsed_ms if whole else elapsed_ms - STALL_MS
    return writing_ms > SLOW_WRITE_FACTOR * pace.gap_ms * gaps
