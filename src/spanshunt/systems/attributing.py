"""Attribution of worker ends to the features that caused them.

A worker that ends was processing several requests, and each of their features is a
suspect. One end has one cause, so an end that a quarantined feature explains counts
against no other one. Of several that may explain the same ends, the one with the most
weight is quarantined first. What most requests have is present at each end by chance,
so ends weigh the less the more requests with the feature each of them broke. A content
needs three unexplained ends, a part as much weight, where workers that end at one
moment by a common cause count once (`moments`); a content that most requests have
waits while a far rarer part that lacks weight may explain them. Equal weights are
attributed to the most specific feature, a whole content before a part, and a part
before those ahead of it in the prompt, which more requests share.
"""

import heapq
import typing as t

from ..ids import Fingerprint
from ..ids import WorkerIncarnation
from ..tables.fleet import Fleet
from ..tables.suspects import CONTENT_POSITION
from ..tables.suspects import SuspectFeature
from .moments import independent_ends

QUARANTINE_ENDS = 3
"""Worker ends that quarantine a feature. Where workers also end for other reasons, 2
would quarantine many harmless requests; the third costs one more worker."""

RARER_FACTOR = 4.0
"""How many times the weight of a content a part must have to put it off. Requests whose
content ends workers are seldom many at one worker: the first one ends it."""


def attribute_ends(fleet: Fleet) -> dict[Fingerprint, SuspectFeature]:
    """Return the features that are quarantined, i.e. to which ends are attributed."""
    ends = {
        name: set(row.counted_ends())
        for name, row in fleet.suspects.items()
        if is_candidate(row)
    }
    present: dict[WorkerIncarnation, list[Fingerprint]] = {}
    for name, runs in ends.items():
        for run in runs:
            present.setdefault(run, []).append(name)
    queue = [_rank(fleet.suspects[name], runs) for name, runs in ends.items()]
    heapq.heapify(queue)
    quarantined: dict[Fingerprint, SuspectFeature] = {}
    light_parts: list[_LightPart] = []
    while queue:
        rank = heapq.heappop(queue)
        name = rank.fingerprint
        row, unexplained = fleet.suspects[name], ends[name]
        now_ranked = _rank(row, unexplained)
        weight = now_ranked.weight
        if not _has_enough(row, unexplained, weight):
            light_parts.append(_LightPart(weight, frozenset(unexplained)))
            continue
        if weight < rank.weight:
            # Another feature has explained some of its ends since it was ranked.
            heapq.heappush(queue, now_ranked)
            continue
        if _is_put_off(unexplained, weight, light_parts):
            continue
        quarantined[name] = row
        for run in list(unexplained):
            for other in present[run]:
                ends[other].discard(run)
    return quarantined


class _LightPart(t.NamedTuple):
    """A feature whose ends do not suffice yet, and their weight."""

    weight: float
    ends: frozenset[WorkerIncarnation]


def _is_put_off(
    unexplained: set[WorkerIncarnation], weight: float, light: list[_LightPart]
) -> bool:
    """Return whether a far rarer part, of too little weight yet, may explain the ends.

    Before anything was answered, a content that most requests have is present at each
    end; further ends tell the two apart.
    """
    return any(
        part.weight >= RARER_FACTOR * weight
        and len(unexplained - part.ends) < QUARANTINE_ENDS
        for part in light
    )


def is_candidate(row: SuspectFeature) -> bool:
    """Return whether enough ends count for a feature to be quarantined."""
    if len(row.ends) < QUARANTINE_ENDS:
        return False
    counted = row.counted_ends()
    return (
        len(counted) >= QUARANTINE_ENDS
        and len(independent_ends(row, counted)) >= QUARANTINE_ENDS
    )


def suspect_fingerprints(fleet: Fleet) -> set[Fingerprint]:
    """Return the features for which an end counts that no quarantined one explains.

    The quarantined ones are among them.
    """
    quarantined = attribute_ends(fleet)
    explained: set[WorkerIncarnation] = set()
    for row in quarantined.values():
        explained |= row.counted_ends().keys()
    return quarantined.keys() | {
        name
        for name, row in fleet.suspects.items()
        if row.counted_ends().keys() - explained
    }


class _Rank(t.NamedTuple):
    """Order in which ends are attributed; the least comes first."""

    order: tuple[float, bool, int, Fingerprint]

    @property
    def weight(self) -> float:
        """Weight of the ends that no feature explained when it was ranked."""
        return -self.order[0]

    @property
    def fingerprint(self) -> Fingerprint:
        """The feature."""
        return self.order[-1]


def _rank(row: SuspectFeature, unexplained: set[WorkerIncarnation]) -> _Rank:
    is_part = row.position != CONTENT_POSITION
    ends = len(independent_ends(row, unexplained))
    weight = ends * min(1.0, len(row.counted_ends()) / max(1, row.requests))
    return _Rank((-weight, is_part, -row.position, row.fingerprint))


def _has_enough(
    row: SuspectFeature, unexplained: set[WorkerIncarnation], weight: float
) -> bool:
    """Return whether what no other feature explains suffices for a quarantine."""
    is_part = row.position != CONTENT_POSITION
    enough = weight if is_part else len(independent_ends(row, unexplained))
    return enough >= QUARANTINE_ENDS
