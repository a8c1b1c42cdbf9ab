"""Workers that say nothing: what boxes tell each other of them.

A box of a large fleet meets one worker every few seconds only. A worker that takes no
connection, or accepts requests and says nothing, would fail one or two of each box
before all know it by themselves; so boxes report it to each other. One report may be
about a single long request, or of a box that is cut off; two boxes' reports, with
nothing heard from the worker since, leave it out.
"""

import msgspec

from ..ids import BoxId
from ..ids import Millis
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..utils import unit_hash

WITNESSES = 2
"""Boxes that must have found a worker silent: single ones report busy workers, too."""

COUNTS_MS = 2_500
"""How long a report counts at most, in ms. Each box forgets at a time of its own within
this, so that a few of them find out whether the worker is back, not all at once."""

COUNTS_LEAST_PART = 0.4
"""Least part of that time for which a report counts."""


class Silence(msgspec.Struct, frozen=True):
    """A report: which worker was silent to which box, and when, in ms."""

    worker: WorkerId
    box: BoxId
    at: Millis


def note_silence(fleet: Fleet, silence: Silence, now: Millis) -> bool:
    """Keep a report unless it is too old; return whether it is news here."""
    if now - silence.at >= COUNTS_MS or silence.worker not in fleet.workers.rows:
        return False
    reports = fleet.silence_reports.setdefault(silence.worker, {})
    if reports.get(silence.box, Millis(-1)) >= silence.at:
        return False
    reports[silence.box] = silence.at
    return True


def forget_silences(fleet: Fleet, now: Millis) -> None:
    """Drop the reports that count no more anywhere."""
    for worker, reports in list(fleet.silence_reports.items()):
        for box, at in list(reports.items()):
            if now - at >= COUNTS_MS:
                del reports[box]
        if not reports:
            del fleet.silence_reports[worker]


def newest_silences(fleet: Fleet, now: Millis) -> tuple[Silence, ...]:
    """Return the newest reports of each worker, as many as others need."""
    forget_silences(fleet, now)
    newest: list[Silence] = []
    for worker, reports in fleet.silence_reports.items():
        ordered = sorted(reports.items(), key=lambda row: -row[1])
        newest += [Silence(worker, box, at) for box, at in ordered[:WITNESSES]]
    return tuple(newest)


def silent_workers(fleet: Fleet, now: Millis) -> set[WorkerId]:
    """Return the workers that this box leaves out for what boxes told of them."""
    return {worker for worker in fleet.silence_reports if is_silent(fleet, worker, now)}


def is_silent(fleet: Fleet, worker: WorkerId, now: Millis) -> bool:
    """Tell whether this box leaves a worker out for what boxes told of it."""
    row = fleet.workers.rows.get(worker)
    reports = fleet.silence_reports.get(worker)
    if row is None or not reports:
        return False
    drawn = unit_hash("silence", f"{fleet.identity.box}/{worker}")
    counts_ms = COUNTS_MS * (COUNTS_LEAST_PART + (1 - COUNTS_LEAST_PART) * drawn)
    count = sum(
        at > row.last_byte_at and now - at < counts_ms for at in reports.values()
    )
    return count >= WITNESSES
