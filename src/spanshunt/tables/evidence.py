"""Evidence of the quality of versions: counts that boxes pool.

Each origin counts its own attempts and counts only grow. Boxes therefore merge by
taking the larger count, in any order and any number of times.
"""

import typing as t

import msgspec

from ..ids import ClassId
from ..ids import OrgId
from ..ids import VersionId

EPOCH_MS = 60_000
"""Length of the epochs in which evidence is counted, in ms. Epochs are numbered by the
wall clock and thus match on all boxes. ``rollouts.py`` has shorter epochs of its own,
numbered from the start of a roll-out."""

EPOCHS = 60
"""Number of epochs kept, which is one hour."""


class Cell(t.NamedTuple):
    """The version, request class and organisation that a count belongs to."""

    version: VersionId
    request_class: ClassId
    org: OrgId


class Counts(msgspec.Struct, array_like=True):
    """Observed results of a version.

    Attributes
    ----------
    runs : int
        Attempts that ended, successful or not.
    errors : int
        Attempts that failed because of the engine.
    slow : int
        Attempts whose first token came late.
    rated, good : int
        Rated answers, and the number of them rated good.
    prompt_tokens, output_tokens : int
        Tokens of prompts and of generated output.
    """

    runs: int = 0
    errors: int = 0
    slow: int = 0
    rated: int = 0
    good: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def add(self, other: "Counts") -> None:
        """Add `other` to these counts."""
        self.runs += other.runs
        self.errors += other.errors
        self.slow += other.slow
        self.rated += other.rated
        self.good += other.good
        self.prompt_tokens += other.prompt_tokens
        self.output_tokens += other.output_tokens

    def subtract(self, other: "Counts") -> None:
        """Subtract `other` from these counts."""
        self.runs -= other.runs
        self.errors -= other.errors
        self.slow -= other.slow
        self.rated -= other.rated
        self.good -= other.good
        self.prompt_tokens -= other.prompt_tokens
        self.output_tokens -= other.output_tokens

    def covers(self, other: "Counts") -> bool:
        """Return whether these counts are at least as recent as `other`."""
        return self.runs >= other.runs and self.rated >= other.rated


class EpochCounts(msgspec.Struct, array_like=True):
    """One origin's counts of one cell in one epoch, as peers exchange them.

    Attributes
    ----------
    origin : str
        The incarnation that counts.
    epoch : int
        Wall-clock time divided by :data:`EPOCH_MS`.
    version, request_class, org : str
        The cell that the counts belong to.
    counts : Counts
        The counts up to now.
    """

    origin: str
    epoch: int
    version: VersionId
    request_class: ClassId
    org: OrgId
    counts: Counts

    @property
    def cell(self) -> Cell:
        """The cell that the counts belong to."""
        return Cell(self.version, self.request_class, self.org)


class EvidenceKey(t.NamedTuple):
    """Key of a row of the evidence table."""

    origin: str
    epoch: int
    cell: Cell


class Pool(msgspec.Struct):
    """Counts summed over origins and epochs.

    Attributes
    ----------
    cells : dict
        Sums by cell.
    classes : dict
        Sums by version and class, over all organisations.
    orgs : dict
        Organisations that have a cell, by version and class.
    """

    cells: dict[Cell, Counts] = {}
    classes: dict[tuple[VersionId, ClassId], Counts] = {}
    orgs: dict[tuple[VersionId, ClassId], set[OrgId]] = {}


class Evidence(msgspec.Struct):
    """All evidence known to this box.

    Attributes
    ----------
    rows : dict
        Counts by key.
    pool : Pool
        Sums of the counts, updated with each change.
    by_version : dict
        Keys of the rows by version.
    changed : dict
        Number of the last change by row, in ascending order.
    next_change : int
        Number of the next change.
    """

    rows: dict[EvidenceKey, Counts] = {}
    pool: Pool = msgspec.field(default_factory=Pool)
    by_version: dict[VersionId, set[EvidenceKey]] = {}
    changed: dict[EvidenceKey, int] = {}
    next_change: int = 0
