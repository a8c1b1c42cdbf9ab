"""Evidence of the pooled answers against an entering version, and what it rests on.

These are the roll-outs that an operator's order starts on a box of the platform. The
roll-outs of ``spanshuntd`` have guard rails and evidence of their own, in
``guarding.py``.
"""

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
from .exposing import full_phase_start_ms
from .own_errors import ERROR_CEILING
from .own_errors import MIN_OWN_ERRORS
from .own_errors import errors_by_epoch
from .own_errors import has_doubted_errors
from .references import Reference
from .references import build_reference
from .sequential import log_change_above
from .sequential import log_change_above_each
from .tallies import MIN_FAULTS
from .tallies import count_answers
from .tallies import count_loaded_answers
from .tallies import pooled_tallies
from .tallies import trials_by_epoch

EVIDENCE_THRESHOLD = 5.0
"""Natural log of the change statistic at which a version is bad. A series is the epochs
of one kind of fault on one route, or on all routes. In each series, a version whose
share of faults is just at the ceiling reaches the threshold once in 150 epochs at most
(e to the 5th power), on average. The lower its share, the rarer the false alarm."""

MANY_FAULTS, MANY_FAULTS_PART = 30, 0.6
"""Faulty answers of one kind, on all routes, from which on a lower evidence proves a
version bad, and that evidence as a part of the threshold. Where the leaving version is
slow as well, the shares of both differ little, and while the test gathers answers
callers get more and more faulty ones."""

SUSPECTED_PART = 0.4
"""Part of the threshold from which on a version is suspected: it neither gets all
requests nor succeeds until more answers decide. While workers of the leaving version
fail, evidence below the threshold is often that of a bad version."""

OTHER_WORKERS_FAULTS, OTHER_WORKERS_ANSWERS = 2, 4
"""Least number of faulty answers that the workers other than the worst one must have
given for the faults to be the version's, and the number of answers of those workers
from which on this is required. If a version fails half of its answers, the other
workers show two faults in four answers in most cases."""

PEER_LIVE_MS = 2_000
"""Time without a message after which a peer is not expected to record a verdict, in
ms."""


ROUTE_FINDINGS = (Finding.FAILED, Finding.SLOW, Finding.FAILED_UNDER_LOAD)
"""Kinds of faults that are tested on each route and on all. Errors of the workers' own
are tested on all sound routes together."""


class Suspicion(t.NamedTuple):
    """Result of the test with the strongest evidence against an entering version.

    The evidence may be weak or none; the version is suspected only from `is_strong` on.
    An operator's reason with the words "log evidence" comes from here.

    Attributes
    ----------
    route : str
        The route of the answers; empty for all routes.
    finding : Finding
        Kind of fault.
    answers, faulty : int
        Answers of the version there that were checked for this fault, and those with
        it. For `Finding.SLOW` only answers with a known time are checked.
    usual, ceiling : float
        Share of faults that the leaving version excuses at the newest epoch
        (:meth:`Reference.usual_at`), and greatest share that is still good then.
    log_evidence : float
        Natural log of the change statistic; minus infinity for no evidence. The version
        is bad from `EVIDENCE_THRESHOLD` on.
    faulty_everywhere : int
        Answers with this fault on all routes.
    """

    route: str
    finding: Finding
    answers: int
    faulty: int
    usual: float
    ceiling: float
    log_evidence: float
    faulty_everywhere: int = 0

    @property
    def is_proven(self) -> bool:
        """Whether the version is proven bad."""
        part = MANY_FAULTS_PART if self.faulty_everywhere >= MANY_FAULTS else 1.0
        return self.log_evidence >= part * EVIDENCE_THRESHOLD

    @property
    def is_strong(self) -> bool:
        """Whether the version is suspected: it may not get all requests or succeed."""
        return self.log_evidence >= SUSPECTED_PART * EVIDENCE_THRESHOLD

    @property
    def reason(self) -> str:
        """The evidence, as text for operators."""
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
        Answers of the entering version and of all other versions that this box knows.
    loaded : int
        Those of the entering version that came from loaded workers.
    errors : int
        Errors of the entering version's workers on sound routes.
    doubted : bool
        Whether these keep the version from success (:mod:`own_errors`).
    suspicion : Suspicion
        The strongest suspicion against the entering version.
    heard, boxes : int
        Number of boxes heard recently and of all known boxes, both including this one.
    """

    entering: int
    leaving: int
    loaded: int
    errors: int
    doubted: bool
    suspicion: Suspicion
    heard: int
    boxes: int


def strongest_suspicion(
    tallies: Tallies,
    uncached_from_ms: int | None,
    recorded: RecordedSuspicion | None = None,
    *,
    has_turns: bool = False,
) -> Suspicion:
    """Return the strongest suspicion against the entering version, on any route.

    Parameters
    ----------
    tallies : Tallies
        The known answers.
    uncached_from_ms : int or None
        Age of the order from which on the version's workers get prompts of which they
        have nothing cached, in ms; None for a service without prompts.
    recorded : RecordedSuspicion or None
        The recorded suspicion. It counts only if the answers that it rests on are not
        known here, as after a restart of all boxes.
    has_turns : bool
        Whether the version's workers get its requests in turns, so that answers of
        other workers than the one that fails are still to come.
    """
    routes = {key.route for key in tallies.routes} | {""}
    if recorded is not None and _has_recorded_answers(tallies, recorded):
        recorded = None
    if recorded is not None:
        routes.add(recorded.route)
    uncached_from = None if uncached_from_ms is None else uncached_from_ms // EPOCH_MS
    found = [
        _suspicion(
            tallies,
            route,
            finding,
            uncached_from,
            _recorded_log_evidence(recorded, route, finding),
            has_turns=has_turns,
        )
        for route in sorted(routes)
        for finding in ROUTE_FINDINGS
    ]
    strongest = max(found, key=lambda item: item.log_evidence)
    if strongest.is_proven:
        return strongest
    by_errors = _error_suspicion(tallies, has_turns=has_turns)
    return max(strongest, by_errors, key=lambda item: item.log_evidence)


def _has_recorded_answers(tallies: Tallies, recorded: RecordedSuspicion) -> bool:
    """Return whether any answers that the recorded suspicion rests on are known."""
    return any(key.entering and key.epoch < recorded.epoch for key in tallies.routes)


def _recorded_log_evidence(
    recorded: RecordedSuspicion | None, route: str, finding: Finding
) -> float:
    """Return the log statistic that the recorded suspicion gives a series to start."""
    if recorded is None or (recorded.route, recorded.finding) != (route, finding):
        return -math.inf
    return recorded.log_evidence


def current_suspicion(fleet: Fleet, row: RolloutRow) -> Suspicion:
    """Return the strongest suspicion against the version of an order."""
    return strongest_suspicion(
        pooled_tallies(row),
        _uncached_from_ms(fleet, row),
        row.recorded_suspicion,
        has_turns=row.has_turns,
    )


def _uncached_from_ms(fleet: Fleet, row: RolloutRow) -> int | None:
    """Return from which age of an order on its workers get uncached prompts, in ms.

    Before the full phase they get few of those; plain services have no prompts.
    """
    service = fleet.catalog.services.get(row.service) if fleet.catalog else None
    if service is not None and not service.costs:
        return None
    return full_phase_start_ms(fleet, row)


def summarise_evidence(fleet: Fleet, row: RolloutRow, now: Millis) -> EvidenceSummary:
    """Return what a judgement of an order rests on at this time."""
    tallies = pooled_tallies(row)
    return EvidenceSummary(
        entering=count_answers(tallies, entering=True),
        leaving=count_answers(tallies, entering=False),
        loaded=count_loaded_answers(tallies)[0],
        errors=sum(errors for _, errors in errors_by_epoch(tallies).values()),
        doubted=has_doubted_errors(tallies),
        suspicion=current_suspicion(fleet, row),
        heard=1 + len(live_peers(fleet, now)),
        boxes=1 + len(fleet.peers),
    )


def live_peers(fleet: Fleet, now: Millis) -> list[BoxId]:
    """Return the peers that were heard recently."""
    return [
        peer.box
        for peer in fleet.peers.values()
        if peer.heard >= 0 and 0 <= now - peer.heard < PEER_LIVE_MS
    ]


def _suspicion(
    tallies: Tallies,
    route: str,
    finding: Finding,
    uncached_from: int | None,
    start: float,
    *,
    has_turns: bool,
) -> Suspicion:
    """Return the suspicion against the entering version on a route ("" for all)."""
    reference = build_reference(tallies, route, finding, uncached_from)
    epochs = trials_by_epoch(tallies, route, finding, entering=True)
    faulty = sum(faults for _, faults in epochs.values())
    log_evidence = start
    shown = faulty >= MIN_FAULTS and _is_fault_of_version(
        tallies, finding, has_turns=has_turns
    )
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
        faulty_everywhere=_count_faults(tallies, finding),
    )


def _error_suspicion(tallies: Tallies, *, has_turns: bool) -> Suspicion:
    """Return the suspicion by errors of the workers' own, on sound routes."""
    epochs = errors_by_epoch(tallies)
    series = [epochs[number] for number in sorted(epochs)]
    faulty = sum(faults for _, faults in series)
    log_evidence = -math.inf
    if faulty >= MIN_OWN_ERRORS and _is_fault_of_version(
        tallies, Finding.OWN_ERROR, has_turns=has_turns
    ):
        log_evidence = log_change_above(series, ERROR_CEILING)
    return Suspicion(
        route="",
        finding=Finding.OWN_ERROR,
        answers=sum(answers for answers, _ in series),
        faulty=faulty,
        usual=0.0,
        ceiling=ERROR_CEILING,
        log_evidence=log_evidence,
        faulty_everywhere=faulty,
    )


def _count_faults(tallies: Tallies, finding: Finding) -> int:
    """Return the entering version's answers with a fault on all routes."""
    epochs = trials_by_epoch(tallies, "", finding, entering=True).values()
    return sum(faults for _, faults in epochs)


def _is_fault_of_version(
    tallies: Tallies, finding: Finding, *, has_turns: bool
) -> bool:
    """Return whether the faults are the version's and not those of one failing worker.

    Workers are compared over all routes, also for a suspicion on one route, as tallies
    by worker are not split by route. If the other workers gave too few answers to tell,
    the faults count as the version's, unless the others still get their turns.
    """
    entering = [tally for key, tally in tallies.workers.items() if key.entering]
    if not entering:
        return True
    worst = max(entering, key=lambda tally: tally.faults(finding))
    everywhere = trials_by_epoch(tallies, "", finding, entering=True).values()
    others = sum(trials for trials, _ in everywhere) - worst.trials(finding)
    faults = sum(faults for _, faults in everywhere) - worst.faults(finding)
    if others < OTHER_WORKERS_ANSWERS:
        return not has_turns
    return faults >= OTHER_WORKERS_FAULTS


def _at_newest_epoch(
    reference: Reference,
    epochs: dict[int, tuple[int, int]],
    value: t.Callable[[Reference, int], float],
) -> float:
    """Return a value of the reference at the newest epoch, for logs."""
    return value(reference, max(epochs, default=0))
