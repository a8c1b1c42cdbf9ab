"""Roll-outs of versions ordered by the platform's operators, and their evidence.

An order is an operator's record in the store that moves a service to a version. Each
order starts one roll-out. The roll-outs that ``spanshuntd`` folds from the log are
other rows, in ``config.py``.
"""

import enum
import math

import msgspec

from ..ids import DomainId
from ..ids import Incarnation
from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerIncarnation

EPOCH_MS = 1_000
"""Length of the epochs in which answers are counted, in ms. The test that detects a
change for the worse (Shiryaev-Roberts) needs a few epochs to detect a version that
turns bad later, and at the smallest fleets one second still holds a few answers of an
entering version that gets a small share. ``evidence.py`` has longer epochs of its
own."""


class Verdict(enum.Enum):
    """State or outcome of a roll-out.

    A rolled back version gets no more requests. The counterpart in ``spanshuntd`` is
    :class:`~spanshunt.tables.config.RolloutState`, where such a roll-out is called
    pulled back.
    """

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


class Finding(enum.Enum):
    """Kinds of faults of an answer: it failed, at a loaded worker or any, was late, or
    had an error status of the worker's own.

    Failures at loaded workers are tested by themselves as well, as a version may fail
    under load alone, and while its share is small few of its answers show that.
    An answer is late if its first byte or its events come several times slower than
    usual. The counts of one kind of fault on one route are tested together; a test
    whose statistic is high is a suspicion against the entering version.
    """

    FAILED = "failed"
    SLOW = "slow"
    FAILED_UNDER_LOAD = "failed under load"
    OWN_ERROR = "with an error status"


class Tally(msgspec.Struct):
    """Counts of answers and of their faults.

    Attributes
    ----------
    answers : int
        Answers that began or failed. A failure is known at once and a complete answer
        only seconds later, so counting complete answers would overstate failures.
    failed : int
        Answers that failed.
    timed : int
        Answers of which it is known whether they were slow: those found slow or silent,
        and complete ones in which slowness would have shown.
    slow : int
        Answers that were slow.
    loaded : int
        Those of `answers` whose worker was loaded when the request was sent; see
        ``systems/load_trials.py``.
    loaded_failed : int
        Those of `failed` whose worker was loaded.
    errors : int
        Those of `failed` with an error status of the worker's own.
    """

    answers: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0
    loaded: int = 0
    loaded_failed: int = 0
    errors: int = 0

    def add(self, other: "Tally") -> None:
        """Add `other` to these counts."""
        self.answers += other.answers
        self.failed += other.failed
        self.timed += other.timed
        self.slow += other.slow
        self.loaded += other.loaded
        self.loaded_failed += other.loaded_failed
        self.errors += other.errors

    def merge(self, other: "Tally") -> None:
        """Merge other counts of the same answers by maximum, as counts only rise."""
        self.answers = max(self.answers, other.answers)
        self.failed = max(self.failed, other.failed)
        self.timed = max(self.timed, other.timed)
        self.slow = max(self.slow, other.slow)
        self.loaded = max(self.loaded, other.loaded)
        self.loaded_failed = max(self.loaded_failed, other.loaded_failed)
        self.errors = max(self.errors, other.errors)

    def trials(self, finding: Finding) -> int:
        """Return the number of answers that were checked for this fault."""
        if finding is Finding.FAILED_UNDER_LOAD:
            return self.loaded
        return self.timed if finding is Finding.SLOW else self.answers

    def faults(self, finding: Finding) -> int:
        """Return the number of answers with this fault."""
        if finding is Finding.FAILED_UNDER_LOAD:
            return self.loaded_failed
        if finding is Finding.OWN_ERROR:
            return self.errors
        return self.failed if finding is Finding.FAILED else self.slow


class TallyKey(msgspec.Struct, frozen=True):
    """Key of a tally: a route, the leaving or the entering version, and an epoch.

    Epochs are numbered from the start of the roll-out, ``RolloutRow.began``. Boxes
    report that time to each other, so that the same epoch is the same time on all.
    """

    route: str
    entering: bool
    epoch: int


class WorkerTallyKey(msgspec.Struct, frozen=True):
    """Key of a worker's tally: one run of it, and whether of the entering version."""

    worker: WorkerIncarnation
    entering: bool


class Tallies(msgspec.Struct):
    """Tallies of the answers of one order, by route and epoch and also by worker.

    Attributes
    ----------
    routes : dict
        Tallies by route, version and epoch.
    workers : dict
        Tallies by worker since the order; a sample if there are many workers.
    """

    routes: dict[TallyKey, Tally] = {}
    workers: dict[WorkerTallyKey, Tally] = {}


class RecordedSuspicion(msgspec.Struct, frozen=True):
    """A suspicion against an entering version, as recorded in the store.

    Attributes
    ----------
    route : str
        Route of the faulty answers; empty for all routes.
    finding : Finding
        Kind of fault.
    log_evidence : float
        Natural log of the Shiryaev-Roberts statistic for a rise of the share of faulty
        answers. While a roll-out runs, the version is held to be bad from 5 on.
    epoch : int
        The epoch up to which answers were counted.
    """

    route: str
    finding: Finding
    log_evidence: float
    epoch: int


class RolloutRow(msgspec.Struct):
    """One order to move a service to a version, and the roll-out that it started.

    While the roll-out runs, `announced` is set. Once this box judges it successful,
    `succeeded_since` is set; the verdict follows when it is `recorded`, by this box or
    by another one. A rollback takes effect at once and is recorded afterwards. If the
    version turns bad after its success, `turned_bad_reason` is set, and then
    `rollback_recorded` if workers of other versions are left. After a restore of the
    store, `announced`, `recorded` and `rollback_recorded` may be unset again.
    :class:`~spanshunt.tables.config.RolloutRow` is the row of the same name in
    ``spanshuntd``.

    Attributes
    ----------
    service, version : str
        The service, and the version that it moves to.
    order : int
        Offset in the operators' stream at which the order was first known. With the
        service it identifies the order, and sessions are drawn by it.
    duration_ms : int
        How long the roll-out may take, in ms.
    began : int
        When the roll-out began, in ms of this box's monotonic clock, as reported by the
        box that saw the order first.
    seen : bool
        Whether `began` is from a box that saw the order arrive. Otherwise it is derived
        from a wall-clock time, which may be wrong by seconds, or from the start of this
        box.
    verdict : Verdict
        Outcome of the roll-out, or that it is running.
    reason : str
        Evidence for the verdict, as text for operators.
    recorded : bool
        Whether the verdict is known to be recorded in the platform's store.
    announced : bool
        Whether the start of the roll-out is known to be recorded in the store.
    recorded_suspicion : RecordedSuspicion or None
        The suspicion recorded in the platform's store; None for none.
    suspected_at : int
        Since when this box has a strong suspicion whose log evidence exceeds the
        recorded one by at least ``judging.MIN_RECORD_INCREASE``, in ms; -1 for none.
    judged_at : int
        When this box reached the verdict or learned of it, in ms.
    succeeded_since : int
        Since when this box judges the version successful while no verdict is recorded,
        in ms; -1 for not.
    turned_bad_reason : str
        Evidence that the version turned bad after its success, as text for operators;
        empty for none.
    turned_bad_checked_at : int
        When this box last checked whether the version turned bad, in ms.
    rollback_recorded : bool
        Whether the rollback after `turned_bad_reason` is known to be recorded.
    extra : float
        Share of the order's requests that the entering version may get in addition to
        ``ExposureBounds.share``. It is a part of ``ExposureBounds.slack``, divided by
        the estimated number of requests of the order; boxes take the greatest value.
    full_from_ms : int
        Postponed age of the order, counted from `began`, at which all requests move to
        the entering version, in ms. A box postpones it if this step would exceed the
        exposure bounds or while the version is suspected. The planned age applies if it
        is later; 0 if the step was not postponed.
    has_turns : bool
        Whether the workers of the entering version get its requests in turns, a few
        workers at a time; see ``systems/load_trials.py``.
    usual_load : float
        Mean load that the version's workers would have if they had carried the leaving
        version's requests since the order began, as a fraction of their slots.
    loads_measured : int
        Number of measurements in that mean.
    loaded_from : float
        Load from which on a worker counts as loaded, as a fraction of its slots;
        infinite while unknown.
    barred : frozenset of str
        Versions that were rolled back in earlier orders; their workers may still be
        listed.
    newest_order : int
        The order's newest offset in the stream. It differs from `order` if the order
        was written again after the store was restored from a copy. Another order with a
        greater offset replaces this row.
    before : int
        The newest offset of the order that this one replaced; -1 for none. After a
        restore of the store, it tells an older order that the store still holds from a
        newer one.
    own : Tallies
        Tallies of this box.
    same_domain : dict
        Tallies of the other boxes in this failure domain, by incarnation.
    other_domains : dict
        Summed tallies of the other failure domains.
    changes : int
        Number of changes to any of these tallies.
    total : Tallies
        Cached sum of the tallies, read through `pooled_tallies`.
    total_changes : int
        The number of changes at which `total` was computed; -1 for never.
    """

    service: ServiceId
    version: VersionId
    order: Offset
    duration_ms: Millis
    began: Millis
    seen: bool = True
    verdict: Verdict = Verdict.RUNNING
    reason: str = ""
    recorded: bool = False
    announced: bool = False
    recorded_suspicion: RecordedSuspicion | None = None
    suspected_at: Millis = Millis(-1)
    judged_at: Millis = Millis(0)
    succeeded_since: Millis = Millis(-1)
    turned_bad_reason: str = ""
    turned_bad_checked_at: Millis = Millis(0)
    rollback_recorded: bool = False
    extra: float = 0.0
    full_from_ms: int = 0
    has_turns: bool = False
    usual_load: float = 0.0
    loads_measured: int = 0
    loaded_from: float = math.inf
    barred: frozenset[VersionId] = frozenset()
    newest_order: Offset = Offset(-1)
    before: Offset = Offset(-1)
    own: Tallies = msgspec.field(default_factory=Tallies)
    same_domain: dict[Incarnation, Tallies] = {}
    other_domains: dict[DomainId, Tallies] = {}
    changes: int = 0
    total: Tallies = msgspec.field(default_factory=Tallies)
    total_changes: int = -1


class ExposureBounds(msgspec.Struct, frozen=True):
    """Bounds of the requests that a bad version may get from all boxes together.

    Of one order's requests it may get ``share`` times their number plus ``slack``.

    Attributes
    ----------
    share : float
        Share of the order's requests, in 0 to 1.
    slack : float
        Number of requests allowed in addition.
    """

    share: float = 0.15
    slack: float = 0.0


class Rollouts(msgspec.Struct):
    """All orders, and the bounds of what an entering version may get.

    Attributes
    ----------
    bounds : ExposureBounds
        Bounds of the requests that a bad version may get.
    rows : dict
        The newest order of each service.
    order_wait_ms : int
        Within which an order that was written must be known here, in ms.
    withheld : dict
        Until when versions without an order get nothing, by service and version; see
        ``systems/withholding.py``.
    """

    bounds: ExposureBounds = ExposureBounds()
    rows: dict[ServiceId, RolloutRow] = {}
    order_wait_ms: int = 2_000
    withheld: dict[tuple[ServiceId, VersionId], Millis] = {}
