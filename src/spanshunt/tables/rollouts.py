"""Roll-outs of versions that the platform's operators order, and their evidence."""

import enum

import msgspec

from ..ids import DomainId
from ..ids import Incarnation
from ..ids import LifeId
from ..ids import Millis
from ..ids import Offset
from ..ids import ServiceId
from ..ids import VersionId

EPOCH_MS = 1_000
"""Width of the epochs that answers are counted in, in ms. The change test needs a few
epochs to see a version that turns bad later; a second holds a few answers of a canary
at the smallest fleets served."""


class Verdict(enum.Enum):
    """How far a roll-out is."""

    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


class Finding(enum.Enum):
    """What can be wrong with an answer: it failed, or its first byte came late."""

    FAILED = "failed"
    SLOW = "slow"


class Tally(msgspec.Struct):
    """Answers and their faults.

    Attributes
    ----------
    answers : int
        Answers that began or failed: a failure shows at once, and what is whole only
        seconds later, so counting whole ones would show failures first.
    failed : int
        Those that failed.
    timed : int
        Answers of which it is known whether they were slow.
    slow : int
        Those that were.
    """

    answers: int = 0
    failed: int = 0
    timed: int = 0
    slow: int = 0

    def add(self, other: "Tally") -> None:
        """Add `other` to these counts."""
        self.answers += other.answers
        self.failed += other.failed
        self.timed += other.timed
        self.slow += other.slow

    def raise_to(self, told: "Tally") -> None:
        """Take in what was told of the same answers: counts only rise."""
        self.answers = max(self.answers, told.answers)
        self.failed = max(self.failed, told.failed)
        self.timed = max(self.timed, told.timed)
        self.slow = max(self.slow, told.slow)

    def trials(self, finding: Finding) -> int:
        """Return how many answers could have shown this fault."""
        return self.answers if finding is Finding.FAILED else self.timed

    def faults(self, finding: Finding) -> int:
        """Return how many answers had this fault."""
        return self.failed if finding is Finding.FAILED else self.slow


class EvidenceKey(msgspec.Struct, frozen=True):
    """What a tally is of: a route, the old or the new version, an epoch.

    Epochs are counted from the first sight of the order on the box that counts.
    """

    route: str
    entering: bool
    epoch: int


class WorkerKey(msgspec.Struct, frozen=True):
    """What a worker's tally is of: one life of it, and whether of the new version."""

    worker: LifeId
    entering: bool


class Tallies(msgspec.Struct):
    """Answers under an order, counted twice: by route and epoch, and by worker.

    Attributes
    ----------
    routes : dict
        By route, version and epoch.
    workers : dict
        By worker since the order; of many workers a sample.
    """

    routes: dict[EvidenceKey, Tally] = {}
    workers: dict[WorkerKey, Tally] = {}


class Against(msgspec.Struct, frozen=True):
    """How far answers spoke against an entering version when that was recorded.

    Attributes
    ----------
    route : str
        The route that they were on; empty for all.
    finding : Finding
        What was wrong with them.
    log_evidence : float
        Natural log of the change statistic.
    epoch : int
        The epoch up to which it was known.
    """

    route: str
    finding: Finding
    log_evidence: float
    epoch: int


class RolloutRow(msgspec.Struct):
    """One order to move a service to a version.

    Attributes
    ----------
    service, version : str
        What moves and where to.
    order : int
        The order's place in the operators' stream under which it was known first.
    duration_ms : int
        How long it may take.
    began : int
        When it began, in ms of this box's monotonic clock; taken from whoever saw the
        order first.
    seen : bool
        Whether this box, or one whose word it took, saw the order come. Else `began`
        rests on a time of day, which may be wrong by seconds, or on when this box
        started.
    verdict : Verdict
        How it ended, or that it runs.
    reason : str
        The evidence that a verdict rests on, for people.
    recorded : bool
        Whether the verdict is known to stand in the platform's store.
    announced : bool
        Whether it is known to stand there that the order runs.
    against : Against or None
        The suspicion that stands in the platform's store; None for none.
    suspected_at : int
        Since when this box holds a stronger one, in ms; -1 while it does not.
    judged_at : int
        When this box learned of the verdict, in ms.
    sound_at : int
        Since when this box holds that the version has succeeded, in ms, while that is
        not recorded; -1 while it does not.
    turned_bad : str
        The evidence that it turned bad after its success, for people; empty for none.
    looked_at : int
        When this box last looked for that, in ms.
    way_back_recorded : bool
        Whether it is known to be recorded that requests went back then.
    extra : float
        Part of the order's requests that the entering version may get beyond the
        allowed share, for the allowed number of requests.
    full_from_ms : int
        From which age of the order on all requests enter, in ms, where that was put
        off; 0 while it was not.
    barred : frozenset of str
        Versions that earlier orders brought in and that were taken back: their workers
        may still be listed.
    newest : int
        Its newest place there: it may have been written again after the store came
        back from a copy. A greater one of another order replaces this row.
    before : int
        The newest place of the order that this one replaced; -1 for none.
    own : Tallies
        This box's.
    near : dict
        Those of the other boxes of this failure domain, by the run of the box.
    far : dict
        Sums of other failure domains.
    changes : int
        How often any of these changed.
    total : Tallies
        Their sum as it was at `total_at` of these changes; read through `pooled`.
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
    against: Against | None = None
    suspected_at: Millis = Millis(-1)
    judged_at: Millis = Millis(0)
    sound_at: Millis = Millis(-1)
    turned_bad: str = ""
    looked_at: Millis = Millis(0)
    way_back_recorded: bool = False
    extra: float = 0.0
    full_from_ms: int = 0
    barred: frozenset[VersionId] = frozenset()
    newest: Offset = Offset(-1)
    before: Offset = Offset(-1)
    own: Tallies = msgspec.field(default_factory=Tallies)
    near: dict[Incarnation, Tallies] = {}
    far: dict[DomainId, Tallies] = {}
    changes: int = 0
    total: Tallies = msgspec.field(default_factory=Tallies)
    total_at: int = -1


class ExposeBounds(msgspec.Struct, frozen=True):
    """What a bad version may get: a share of the order's requests, and a number."""

    share: float = 0.15
    slack: float = 0.0


class Rollouts(msgspec.Struct):
    """All orders, and what a version may get while it is brought in.

    Attributes
    ----------
    bounds : ExposeBounds
        What a bad version may get.
    rows : dict
        The newest order of each service.
    """

    bounds: ExposeBounds = ExposeBounds()
    rows: dict[ServiceId, RolloutRow] = {}
