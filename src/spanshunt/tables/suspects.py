"""Request contents that workers were processing when they ended.

A worker counts as ended if a connection to it is refused, in an attempt or in the probe
after a connection broke, or if another run or another worker is found at its address or
under its id.
"""

import msgspec

from ..ids import BoxId
from ..ids import Fingerprint
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerIncarnation

CLEARED_MS = 60_000
"""How long a complete answer clears a content, in ms: ends up to this time after it do
not count either. A content that crashes workers is never answered, while a harmless
frequent one meets ending workers by chance."""


class BrokenConnection(msgspec.Struct, frozen=True):
    """An attempt whose connection ended before its answer was complete.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the request's content.
    service : str
        The service that the request was sent to.
    at : int
        When the connection ended, in ms.
    parts : tuple of str
        Names of the shared parts of its prompt.
    """

    fingerprint: Fingerprint
    service: ServiceId
    at: Millis
    parts: tuple[str, ...] = ()


class SuspectRequest(msgspec.Struct):
    """A request content suspected of crashing workers.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the content.
    service : str
        The service that the requests were sent to.
    ends : dict
        Runs of workers that ended while processing the content, and when, in ms.
    versions : set of str
        Versions that these workers ran.
    cleared_at : int
        When a worker last answered the content completely and went on running, in ms;
        -1 for never. Ends up to `CLEARED_MS` after it do not count. An operator's
        release sets it `CLEARED_MS` before the release, so that ends right after a
        release count again.
    shared : bool
        Whether this row is sent to other boxes. It is set once the request is over
        without a complete answer, once a second end counts, or once other boxes or an
        operator know the content, and never unset. Before that the next worker mostly
        answers the request, and the row is deleted.
    changed_at : int
        When this row last changed, in ms.
    quarantined_by : str
        The first box by name that decided to quarantine the content; empty for none.
    quarantined_at : int
        When this box quarantined the content or heard of the quarantine, in ms; -1 for
        never.
    recorded : bool
        Whether the quarantine is recorded in the platform's store.
    dropped_at : int
        When this box removed that record, in ms; -1 for not removed.
    """

    fingerprint: Fingerprint
    service: ServiceId
    ends: dict[WorkerIncarnation, Millis] = {}
    versions: set[VersionId] = set()
    cleared_at: Millis = Millis(-1)
    shared: bool = False
    changed_at: Millis = Millis(0)
    quarantined_by: BoxId = BoxId("")
    quarantined_at: Millis = Millis(-1)
    recorded: bool = False
    dropped_at: Millis = Millis(-1)

    def counted_ends(self) -> dict[WorkerIncarnation, Millis]:
        """Return the ends later than `CLEARED_MS` after the last complete answer."""
        since = self.cleared_at + CLEARED_MS if self.cleared_at >= 0 else -1
        return {run: at for run, at in self.ends.items() if at > since}

    def last_end(self) -> Millis:
        """Return when a worker last ended with the content, in ms; -1 for never."""
        return max(self.ends.values(), default=Millis(-1))
