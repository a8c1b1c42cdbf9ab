"""Reports of silent workers, which boxes exchange by gossip.

A box of a large fleet sends to any one worker only every few seconds. A worker that
takes no connection, or accepts requests and sends nothing, would cost each box one or
two failed requests before all boxes have detected it on their own; so boxes report it
to each other. A single report may be caused by one long request or by a box that is cut
off from the network. Reports of two boxes, with no byte received from the worker since,
exclude it.

As with an ejected worker, a worker that is excluded gets requests only if no other
worker is left. An ejection follows from the failures that this box itself met, and a
worker whose silence this box reports is usually ejected here too; an exclusion follows
from the reports of two boxes.
"""

import msgspec

from ..ids import BoxId
from ..ids import Millis
from ..ids import WorkerId
from ..tables.fleet import Fleet
from ..utils import unit_hash

MIN_REPORTERS = 2
"""Number of boxes that must have found a worker silent. A single box may also have
reported a worker that is only busy with a long request."""

REPORT_VALID_MS = 2_500
"""How long a report is valid at most, in ms. Each box ignores it after a time of its
own within this limit, so that only a few boxes at a time test whether the worker is
back."""

MIN_VALID_SHARE = 0.4
"""Smallest part of `REPORT_VALID_MS` for which a box considers a report valid."""


class SilenceReport(msgspec.Struct, frozen=True):
    """A report that a worker was silent to a box, and when, in ms."""

    worker: WorkerId
    box: BoxId
    at: Millis


def record_silence(fleet: Fleet, report: SilenceReport, now: Millis) -> bool:
    """Record a report unless it is too old; return whether it is new to this box."""
    if now - report.at >= REPORT_VALID_MS or report.worker not in fleet.workers.rows:
        return False
    reports = fleet.silence_reports.setdefault(report.worker, {})
    if reports.get(report.box, Millis(-1)) >= report.at:
        return False
    reports[report.box] = report.at
    return True


def expire_silence_reports(fleet: Fleet, now: Millis) -> None:
    """Remove the reports that are no longer valid at any box."""
    for worker, reports in list(fleet.silence_reports.items()):
        for box, at in list(reports.items()):
            if now - at >= REPORT_VALID_MS:
                del reports[box]
        if not reports:
            del fleet.silence_reports[worker]


def newest_silence_reports(fleet: Fleet, now: Millis) -> tuple[SilenceReport, ...]:
    """Return the newest reports of each worker, as many as peers need to exclude it."""
    expire_silence_reports(fleet, now)
    newest: list[SilenceReport] = []
    for worker, reports in fleet.silence_reports.items():
        ordered = sorted(reports.items(), key=lambda report: -report[1])
        newest += [
            SilenceReport(worker, box, at) for box, at in ordered[:MIN_REPORTERS]
        ]
    return tuple(newest)


def silent_workers(fleet: Fleet, now: Millis) -> set[WorkerId]:
    """Return the workers that this box excludes because boxes report them as silent."""
    return {worker for worker in fleet.silence_reports if is_silent(fleet, worker, now)}


def is_silent(fleet: Fleet, worker: WorkerId, now: Millis) -> bool:
    """Return whether this box excludes a worker because boxes report it as silent."""
    row = fleet.workers.rows.get(worker)
    reports = fleet.silence_reports.get(worker)
    if row is None or not reports:
        return False
    fraction = unit_hash("silence", f"{fleet.identity.box}/{worker}")
    valid_ms = REPORT_VALID_MS * (MIN_VALID_SHARE + (1 - MIN_VALID_SHARE) * fraction)
    reporter_count = sum(
        at > row.last_byte_at and now - at < valid_ms for at in reports.values()
    )
    return reporter_count >= MIN_REPORTERS
