"""Whether this box reaches the workers by its own connections."""

import msgspec

from ..ids import Millis
from ..ids import WorkerId


class UnreachedWorker(msgspec.Struct, frozen=True):
    """A worker that a new connection did not reach, and its row just before.

    Attributes
    ----------
    at : int
        When the connection failed, in ms.
    cold_until : int
        `WorkerRow.cold_until` before the failure was recorded, in ms.
    """

    at: Millis
    cold_until: Millis


class Partition(msgspec.Struct):
    """State of this box's own connections to workers.

    Attributes
    ----------
    since : int
        Since when no worker is reached, in ms; -1 while workers are reached.
    answerless : bool
        Whether the partition was found by missing answers: connections come up, as in a
        proxy on the way, but no worker answers.
    answered_at, answered_new_at : int
        When a worker last answered over a connection of this box, and over a new one,
        in ms; -1 for never.
    unanswered : dict
        Workers that took a request since then and did not answer, and whether over a
        new connection.
    connected_at : int
        When a connection to a worker last came up, in ms; -1 for never.
    unreached : dict
        Workers that new connections failed to reach since then.
    reached_again : set
        Workers that a probe reached since the partition began.
    ended : dict
        When a gateway last found a worker ended in this partition, in ms.
    """

    since: Millis = Millis(-1)
    connected_at: Millis = Millis(-1)
    unreached: dict[WorkerId, UnreachedWorker] = {}
    reached_again: set[WorkerId] = set()
    ended: dict[WorkerId, Millis] = {}
    answerless: bool = False
    answered_at: Millis = Millis(-1)
    answered_new_at: Millis = Millis(-1)
    unanswered: dict[WorkerId, bool] = {}
