"""A reading of the list of backend servers, and what it changed."""

import msgspec

from ..ids import Millis
from ..ids import WorkerId
from .workers import ServiceVersion
from .workers import WorkerRow


class ListedWorker(msgspec.Struct, frozen=True):
    """One entry of the list.

    Attributes
    ----------
    row : WorkerRow
        The worker.
    draining : bool
        Whether the entry says that the worker leaves, which marks the worker as
        leaving.
    cold_ms : int or None
        How much longer the worker is cold after its start, in ms; None if unknown.
    problem : str
        Description of an invalid value in the entry; empty for none.
    """

    row: WorkerRow
    draining: bool
    cold_ms: Millis | None = None
    problem: str = ""


class ListChange(msgspec.Struct, frozen=True):
    """Changes by a list.

    Attributes
    ----------
    came : tuple
        Workers, or new incarnations of them, that were added to the table.
    leaving : tuple
        Workers that the list newly says are leaving.
    gone : tuple
        Workers that were removed from the table.
    kept : tuple
        Workers that are newly missing: absent from the list, but still used.
    replaced : tuple
        Former rows of workers that ended unplanned and have a successor in the list.
    withheld : tuple
        Services with a new version that gets nothing until its order may be known.
    """

    came: tuple[WorkerId, ...] = ()
    leaving: tuple[WorkerId, ...] = ()
    gone: tuple[WorkerId, ...] = ()
    kept: tuple[WorkerId, ...] = ()
    replaced: tuple[WorkerRow, ...] = ()
    withheld: tuple[ServiceVersion, ...] = ()

    @property
    def empty(self) -> bool:
        """Whether nothing changed."""
        return not (self.came or self.leaving or self.gone or self.kept)

    def as_fields(self) -> dict[str, list[str]]:
        """Return fields of a log line."""
        return {
            "came": list(self.came),
            "leaving": list(self.leaving),
            "gone": list(self.gone),
            "kept": list(self.kept),
            "withheld": [f"{service}/{version}" for service, version in self.withheld],
        }
