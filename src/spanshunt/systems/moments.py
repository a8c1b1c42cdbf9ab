"""Moments at which several workers end together, and how many independent ends that is.

A feature that ends workers does so some time after each of its requests was sent, so
the ends are as far apart as the requests were. Where a failure domain loses power, or
all workers of a service fall over, the ends come at one moment although the requests
were sent at different times. Such a moment shows a cause that the workers have in
common; for a feature that was there by chance it is one observation, however many
workers ended.
"""

import typing as t

from ..ids import Millis
from ..ids import WorkerIncarnation
from ..tables.suspects import SuspectFeature

MOMENT_MS = 500
"""Longest time between the first and the last end of a moment, in ms: boxes notice the
ends that a failure domain's loss makes within this time of each other."""

SENT_SPREAD_MS = 50
"""Least time between the first and the last send before ends that count as one, in ms.
Requests sent closer together may all have ended their workers at about one time."""

SPREAD_RATIO = 4
"""How many times closer together than the sends the ends of a moment must be."""


class _End(t.NamedTuple):
    at: Millis
    sent: Millis | None


def independent_ends(
    row: SuspectFeature, runs: t.Collection[WorkerIncarnation]
) -> list[Millis]:
    """Return the times of the independent ends among given ends of a feature.

    The ends of one moment are one, at the time of the first. An end of which it is
    unknown when its request was sent is independent of others.
    """
    ends = sorted(
        (_End(row.ends[run], row.sent.get(run)) for run in runs),
        key=lambda end: end.at,
    )
    times: list[Millis] = []
    first = 0
    while first < len(ends):
        times.append(ends[first].at)
        first += _moment_length(ends, first)
    return times


def _moment_length(ends: t.Sequence[_End], first: int) -> int:
    """Return how many ends from the first one on belong to one moment."""
    began, sent = ends[first]
    if sent is None:
        return 1
    length, earliest, latest = 1, sent, sent
    for number, end in enumerate(ends[first + 1 :], start=2):
        spread = end.at - began
        if end.sent is None or spread > MOMENT_MS:
            break
        earliest, latest = min(earliest, end.sent), max(latest, end.sent)
        if latest - earliest >= max(SENT_SPREAD_MS, SPREAD_RATIO * spread):
            length = number
    return length
