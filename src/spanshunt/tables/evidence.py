"""Evidence of what versions are worth: counts that boxes pool.

Counts only grow and each origin counts its own, so that merging is taking the larger
one, in any order, any number of times.
"""

import typing as t

import msgspec

from ..ids import ClassId
from ..ids import OrgId
from ..ids import VersionId

EPOCH_MS = 60_000
"""Evidence is counted by epochs of this length, in ms of the wall clock."""

EPOCHS = 60
"""Epochs kept: one hour."""


class Cell(t.NamedTuple):
    """Where a count belongs."""

    version: VersionId
    request_class: ClassId
    org: OrgId


class Counts(msgspec.Struct, array_like=True):
    """What was seen of a version.

    Attributes
    ----------
    runs : int
        Attempts that ended, well or not.
    errors : int
        Attempts that failed by the engine's fault.
    slow : int
        Attempts whose first token was late.
    rated, good : int
        Answers rated, and those of them rated good.
    prompt_tokens, output_tokens : int
        Tokens read and generated.
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
        """Take `other` from these counts."""
        self.runs -= other.runs
        self.errors -= other.errors
        self.slow -= other.slow
        self.rated -= other.rated
        self.good -= other.good
        self.prompt_tokens -= other.prompt_tokens
        self.output_tokens -= other.output_tokens

    def covers(self, other: "Counts") -> bool:
        """Tell whether these counts are at least as far as `other`."""
        return self.runs >= other.runs and self.rated >= other.rated


class EpochCounts(msgspec.Struct, array_like=True):
    """One origin's counts of one cell in one epoch, as peers exchange them.

    Attributes
    ----------
    origin : str
        The incarnation that counted.
    epoch : int
        Wall clock divided by :data:`EPOCH_MS`.
    version, request_class, org : str
        The cell.
    counts : Counts
        The counts so far.
    """

    origin: str
    epoch: int
    version: VersionId
    request_class: ClassId
    org: OrgId
    counts: Counts

    @property
    def cell(self) -> Cell:
        """The cell."""
        return Cell(self.version, self.request_class, self.org)


class EvidenceKey(t.NamedTuple):
    """The key of one row of the evidence table."""

    origin: str
    epoch: int
    cell: Cell


class Pool(msgspec.Struct):
    """Sums over origins and epochs.

    Attributes
    ----------
    cells : dict
        By cell.
    classes : dict
        By version and class, over organisations.
    orgs : dict
        The organisations with a cell, by version and class.
    """

    cells: dict[Cell, Counts] = {}
    classes: dict[tuple[VersionId, ClassId], Counts] = {}
    orgs: dict[tuple[VersionId, ClassId], set[OrgId]] = {}


class Evidence(msgspec.Struct):
    """All evidence known here.

    Attributes
    ----------
    rows : dict
        The counts.
    pool : Pool
        Their sums, kept up to date with each change.
    by_version : dict
        The keys of the rows, by version.
    changed : dict
        Rows in the order of their last change, with a number that rises with each.
    ticket : int
        The number of the next change.
    """

    rows: dict[EvidenceKey, Counts] = {}
    pool: Pool = msgspec.field(default_factory=Pool)
    by_version: dict[VersionId, set[EvidenceKey]] = {}
    changed: dict[EvidenceKey, int] = {}
    ticket: int = 0
