"""How far pooled answers speak against an entering version, and what they rest on."""

import math
import typing as t

from ..ids import BoxId
from ..ids import Millis
from ..tables.fleet import Fleet
from ..tables.rollouts import EPOCH_MS
from ..tables.rollouts import Finding
from ..tables.rollouts import RecordedSuspicion
from ..tables.rollouts import RolloutRow
from ..tables.rollouts import Tallies
from .exposing import full_from_ms
from .references import Reference
from .references import build_reference
from .sequential import log_change_above_each
from .tallies import MIN_FAULTS
from .tallies import count_answers
from .tallies import pooled_tallies
from .tallies import trials_by_epoch

EVIDENCE_THRESHOLD = 5.0
"""Natural log of the change statistic at which a version is bad: a sound version
reaches it about once in 150 epochs for each series looked at."""

HOLD_PART = 0.4
"""Part of that evidence from which on a version neither gets all requests nor succeeds
until more answers decide: beside ailing engines of the leaving version, evidence that
is not enough yet is often that of a bad one."""

OTHER_WORKERS_FAULTS, OTHER_WORKERS_ANSWERS = 2, 4
"""Bad answers that a version must give beyond those of its worst worker, once the
others gave so many answers: a version that fails half shows that in most cases."""

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
    def is_proven(self) -> bool:
        """Whether the version is bad."""
        return self.log_evidence >= EVIDENCE_THRESHOLD

    @property
    def blocks_success(self) -> bool:
        """Whether the version must not advance."""
        return self.log_evidence >= HOLD_PART * EVIDENCE_THRESHOLD

    @property
    def reason(self) -> str:
        """The evidence, for people."""
        where = f"route {self.route}" if self.route else "all routes"
        return (
            f"{where}: {self.faulty} of {self.answers} answers {self.finding.value}, "
            f"log evidence {self.log_evidence:.1f}"
        )


class EvidenceSummary(t.NamedTuple):
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


def strongest_suspicion(
    tallies: Tallies, full_ms: int, against: RecordedSuspicion | None = None
) -> Suspicion:
    """Return the strongest suspicion against the entering version, on any route.

    Parameters
    ----------
    tallies : Tallies
        The answers that are known.
    full_ms : int
        The order's age from which on all requests may enter, in ms.
    against : RecordedSuspicion or None
        A suspicion that was recorded: it counts where the answers that it rests on are
        not known here, as after all boxes ended.
    """
    routes = {key.route for key in tallies.routes} | {""}
    if against is not None and _has_recorded_answers(tallies, against):
        against = None
    if against is not None:
        routes.add(against.route)
    full_epoch = full_ms // EPOCH_MS
    found = [
        _suspicion(
            tallies,
            route,
            finding,
            full_epoch,
            _recorded_log_evidence(against, route, finding),
        )
        for route in sorted(routes)
        for finding in Finding
    ]
    return max(found, key=lambda item: item.log_evidence)


def _has_recorded_answers(tallies: Tallies, against: RecordedSuspicion) -> bool:
    """Tell whether answers are known that a recorded suspicion rests on."""
    return any(key.entering and key.epoch < against.epoch for key in tallies.routes)


def _recorded_log_evidence(
    against: RecordedSuspicion | None, route: str, finding: Finding
) -> float:
    """Return the log of the statistic that a recorded suspicion begins with."""
    if against is None or (against.route, against.finding) != (route, finding):
        return -math.inf
    return against.log_evidence


def current_suspicion(fleet: Fleet, row: RolloutRow) -> Suspicion:
    """Return the strongest suspicion against the version of an order."""
    return strongest_suspicion(
        pooled_tallies(row), full_from_ms(fleet, row), row.recorded_suspicion
    )


def summarise_evidence(fleet: Fleet, row: RolloutRow, now: Millis) -> EvidenceSummary:
    """Return what a judgement of an order rests on now."""
    tallies = pooled_tallies(row)
    return EvidenceSummary(
        entering=count_answers(tallies, entering=True),
        leaving=count_answers(tallies, entering=False),
        suspicion=current_suspicion(fleet, row),
        heard=1 + len(live_peers(fleet, now)),
        boxes=1 + len(fleet.peers),
    )


def live_peers(fleet: Fleet, now: Millis) -> list[BoxId]:
    """Return the peers that were heard of late."""
    return [
        peer.box
        for peer in fleet.peers.values()
        if peer.heard >= 0 and 0 <= now - peer.heard < PEER_LIVE_MS
    ]


def _suspicion(
    tallies: Tallies, route: str, finding: Finding, full_epoch: int, start: float
) -> Suspicion:
    """Return what speaks against the entering version on a route ("" for all)."""
    reference = build_reference(tallies, route, finding, full_epoch)
    epochs = trials_by_epoch(tallies, route, finding, entering=True)
    faulty = sum(faults for _, faults in epochs.values())
    log_evidence = start
    shown = faulty >= MIN_FAULTS and _is_fault_of_version(tallies, finding)
    if shown or start > -math.inf:
        numbers = sorted(epochs)
        series = [epochs[number] for number in numbers]
        ceilings = [reference.ceiling_at(number) for number in numbers]
        log_evidence = log_change_above_each(series, ceilings, start)
    return Suspicion(
        route=route,
        finding=finding,
        answers=sum(trials for trials, _ in epochs.values()),
        faulty=faulty,
        usual=_at_newest_epoch(reference, epochs, Reference.usual_at),
        ceiling=_at_newest_epoch(reference, epochs, Reference.ceiling_at),
        log_evidence=log_evidence,
    )


def _is_fault_of_version(tallies: Tallies, finding: Finding) -> bool:
    """Tell whether faults are the version's: not those of one ailing worker of it.

    Where its other workers gave too few answers to tell, they are.
    """
    entering = [tally for key, tally in tallies.workers.items() if key.entering]
    if not entering:
        return True
    worst = max(entering, key=lambda tally: tally.faults(finding))
    everywhere = trials_by_epoch(tallies, "", finding, entering=True).values()
    others = sum(trials for trials, _ in everywhere) - worst.trials(finding)
    faults = sum(faults for _, faults in everywhere) - worst.faults(finding)
    return others < OTHER_WORKERS_ANSWERS or faults >= OTHER_WORKERS_FAULTS


def _at_newest_epoch(
    reference: Reference,
    epochs: dict[int, tuple[int, int]],
    value: t.Callable[[Reference, int], float],
) -> float:
    """Return a value of the reference at the newest epoch, for logs."""
    return value(reference, max(epochs, default=0))
