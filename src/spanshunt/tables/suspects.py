"""Contents and prompt parts that workers were processing when they ended.

A worker counts as ended if a connection to it is refused, in an attempt or in the probe
after a connection broke, or if another run or another worker is found at its address or
under its id.
"""

import typing as t

import msgspec

from ..ids import BoxId
from ..ids import Fingerprint
from ..ids import Millis
from ..ids import ServiceId
from ..ids import VersionId
from ..ids import WorkerIncarnation

CLEARED_MS = 60_000
"""How long an answer clears a feature, in ms: ends up to this time after it do not
count either. A feature that crashes workers is never answered, while a harmless
frequent one meets ending workers by chance."""

NEVER_CLEARED = Millis(-(2**53))
"""Stands for the time of an answer that never came, in ms. The start of the machine is
time 0, and an operator's release soon after it clears at a time before."""

CONTENT_POSITION = -1
"""Position of a feature that is a whole content, not a part of a prompt."""


class RequestFeature(t.NamedTuple):
    """What a request has in common with others: its content, or a part of its prompt.

    Attributes
    ----------
    fingerprint : str
        Identifies the feature at all boxes.
    position : int
        Index of the part in its prompt; `CONTENT_POSITION` for the content.
    name : str
        Name of the part, as the caller states it; empty for the content.
    """

    fingerprint: Fingerprint
    position: int = CONTENT_POSITION
    name: str = ""


class BrokenConnection(msgspec.Struct, frozen=True):
    """An attempt whose connection ended before its answer was complete.

    Attributes
    ----------
    features : tuple of RequestFeature
        The request's content and the shared parts of its prompt.
    service : str
        The service that the request was sent to.
    at : int
        When the connection ended, in ms.
    sent : int
        When the request was sent to the worker, in ms.
    """

    features: tuple[RequestFeature, ...]
    service: ServiceId
    at: Millis
    sent: Millis


class SuspectFeature(msgspec.Struct):
    """A feature of requests that is suspected of crashing workers.

    Attributes
    ----------
    fingerprint : str
        Fingerprint of the feature.
    service : str
        The service that the requests were sent to.
    position : int
        Largest index of the part in a prompt; `CONTENT_POSITION` for a content.
    ends : dict
        Runs of workers that ended while processing the feature, and when, in ms.
    sent : dict
        When the oldest request with the feature was sent to the worker among those that
        an end broke, in ms, by run. Ends read from the store have no entry here.
    requests, own_requests : int
        Number of requests with the feature that these ends broke at one box: the most
        of any box, and that of this one.
    versions : set of str
        Versions that these workers ran.
    cleared_at : int
        When an answer last cleared the feature, in ms; `NEVER_CLEARED` for never. Ends
        up to `CLEARED_MS` after it do not count. An operator's release, or a stream
        that outlives ends, sets it `CLEARED_MS` before, so that later ends count again.
    shared : bool
        Whether this row is sent to other boxes. It is set once the request is over
        without a complete answer, once a second end counts, or once other boxes or an
        operator know the feature, and never unset. Before that the next worker mostly
        answers the request, and the row is deleted.
    changed_at : int
        When this row last changed, in ms.
    quarantined_by : str
        The first box by name that decided to quarantine the feature; empty for none.
    quarantined_at : int
        When this box quarantined the feature or heard of the quarantine, in ms; -1 for
        never.
    recorded : bool
        Whether the quarantine is recorded in the platform's store.
    dropped_at : int
        When this box removed that record, in ms; -1 for not removed.
    """

    fingerprint: Fingerprint
    service: ServiceId
    position: int = CONTENT_POSITION
    ends: dict[WorkerIncarnation, Millis] = {}
    sent: dict[WorkerIncarnation, Millis] = {}
    requests: int = 0
    own_requests: int = 0
    versions: set[VersionId] = set()
    cleared_at: Millis = NEVER_CLEARED
    shared: bool = False
    changed_at: Millis = Millis(0)
    quarantined_by: BoxId = BoxId("")
    quarantined_at: Millis = Millis(-1)
    recorded: bool = False
    dropped_at: Millis = Millis(-1)

    def counted_ends(self) -> dict[WorkerIncarnation, Millis]:
        """Return the ends later than `CLEARED_MS` after the last clearing answer."""
        since = self.cleared_at + CLEARED_MS
        return {run: at for run, at in self.ends.items() if at > since}

    def longest_run(self) -> Millis | None:
        """Return the longest time between a send and an end that counts, in ms.

        Ends that no longer count are included; None if no time is known of one that
        does.
        """
        if any(run not in self.sent for run in self.counted_ends()):
            return None
        runs = [self.ends[run] - sent for run, sent in self.sent.items()]
        return Millis(max(runs, default=0))

    def last_end(self) -> Millis:
        """Return when a worker last ended with the feature, in ms; -1 for never."""
        return max(self.ends.values(), default=Millis(-1))
