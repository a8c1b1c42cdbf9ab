"""How far pooled answers speak against an entering version, and what they rest on."""

import typing as t

from ..ids import BoxId
from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.rollouts import EvidenceKey
from ..tables.rollouts import Finding
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tally
from .sequential import log_change_above
from .tallies import FAULT_FLOORS
from .tallies import LEAST_BAD
from .tallies import add_up

CEILING_FACTOR = 2.0
"""How many times the leaving version's share of answers with a fault is still sound."""

CEILING_MOST = 0.6
"""Share of answers with a fault from which on a version is blamed in any case."""

EVIDENCE = 5.0
"""Natural log of the change statistic at which a version is bad: a sound version
reaches it about once in 150 epochs for each series looked at."""

PEER_LIVE_MS = 2_000
"""A peer not heard for this long is not counted on to record a verdict, in ms."""


class Suspicion(t.NamedTuple):
    """How far answers speak against an entering version.

    Attributes
    ----------
    route : str
        The route that they were on; empty for all.
    finding : Finding
        What was wrong with them.
    answers, faulty : int
        All answers of the version there, and those with this fault.
    usual, ceiling : float
        Share of the leaving version's answers with it, and share that is still sound.
    log_evidence : float
        Natural log of the change statistic; minus infinity for nothing at all.
    """

    route: str
    finding: Finding
    answers: int
    faulty: int
    usual: float
    ceiling: float
    log_evidence: float

    @property
    def proven(self) -> bool:
        """Whether the version is bad."""
        return self.log_evidence >= EVIDENCE

    @property
    def reason(self) -> str:
        """The evidence, for people."""
        where = f"route {self.route}" if self.route else "all routes"
        return (
            f"{where}: {self.faulty} of {self.answers} answers {self.finding.value}, "
            f"log evidence {self.log_evidence:.1f}"
        )


class Epoch(t.NamedTuple):
    """Answers of one epoch, and those with a fault."""

    answers: int
    faulty: int


class Basis(t.NamedTuple):
    """What a judgement rests on, for logs.

    Attributes
    ----------
    entering, leaving : int
        Answers of both versions that this box knows of.
    suspicion : Suspicion
        The strongest one against the entering version.
    heard, boxes : int
        Boxes heard of late, this one among them, and all that are known.
    """

    entering: int
    leaving: int
    suspicion: Suspicion
    heard: int
    boxes: int


def pooled_evidence(row: RolloutRow) -> dict[EvidenceKey, Tally]:
    """Return the evidence of all boxes, as far as this one heard."""
    return add_up(row.own, *row.near.values(), *row.far.values())


def strongest(pooled: dict[EvidenceKey, Tally]) -> Suspicion:
    """Return the strongest suspicion against the entering version, on any route."""
    routes = sorted({key.route for key in pooled} | {""})
    found = [_suspicion(pooled, route, kind) for route in routes for kind in Finding]
    return max(found, key=lambda item: item.log_evidence)


def basis_of(fleet: Fleet, row: RolloutRow, now: Millis) -> Basis:
    """Return what a judgement of an order rests on now."""
    pooled = pooled_evidence(row)
    return Basis(
        entering=count_answers(pooled, entering=True),
        leaving=count_answers(pooled, entering=False),
        suspicion=strongest(pooled),
        heard=1 + len(heard_peers(fleet, now)),
        boxes=1 + len(fleet.peers),
    )


def count_answers(pooled: dict[EvidenceKey, Tally], *, entering: bool) -> int:
    """Return how many answers of the entering or the leaving version are known."""
    return sum(
        tally.answers for key, tally in pooled.items() if key.entering is entering
    )


def heard_peers(fleet: Fleet, now: Millis) -> list[BoxId]:
    """Return the peers that were heard of late."""
    return [
        peer.box
        for peer in fleet.peers.values()
        if peer.heard >= 0 and 0 <= now - peer.heard < PEER_LIVE_MS
    ]


def _suspicion(
    pooled: dict[EvidenceKey, Tally], route: str, finding: Finding
) -> Suspicion:
    """Return what speaks against the entering version on a route ("" for all)."""
    before = _series(pooled, route, finding, entering=False)
    after = _series(pooled, route, finding, entering=True)
    answers = sum(epoch.answers for epoch in before)
    usual = sum(epoch.faulty for epoch in before) / answers if answers else 0.0
    ceiling = min(CEILING_MOST, max(FAULT_FLOORS[finding], CEILING_FACTOR * usual))
    faulty = sum(epoch.faulty for epoch in after)
    log_evidence = float("-inf")
    if faulty >= LEAST_BAD:
        series = [(epoch.answers, epoch.faulty) for epoch in after]
        log_evidence = log_change_above(series, ceiling)
    return Suspicion(
        route=route,
        finding=finding,
        answers=sum(epoch.answers for epoch in after),
        faulty=faulty,
        usual=usual,
        ceiling=ceiling,
        log_evidence=log_evidence,
    )


def _series(
    pooled: dict[EvidenceKey, Tally], route: str, finding: Finding, *, entering: bool
) -> list[Epoch]:
    """Return answers and faulty ones by epoch, oldest first; route "" takes all."""
    epochs: dict[int, Epoch] = {}
    for key, tally in pooled.items():
        if key.entering is entering and route in ("", key.route):
            old = epochs.get(key.epoch, Epoch(0, 0))
            faulty = old.faulty + tally.count_of(finding)
            epochs[key.epoch] = Epoch(old.answers + tally.answers, faulty)
    return [epochs[number] for number in sorted(epochs)]
