"""Row about a box that has more work than its processor can carry."""

import msgspec

from ..ids import Millis


class Overload(msgspec.Struct):
    """How late this box's event loop is, and the limit on requests that follows.

    Attributes
    ----------
    late_ms : float
        How late the last timer was, in ms.
    late_looks, calm_looks : int
        Timers in a row that were late, and that were not.
    limit : int or None
        Open requests from which on new connections are closed unread; None for none.
    closed : int
        Connections closed unread since the last log line about them.
    closed_at : int
        When the last one was closed, in ms.
    grew_at : int
        When the limit was last raised, in ms.
    taken_at : int
        When a connection was last taken while there was a limit, in ms.
    logged_at : int
        When the last log line about closed connections was due, in ms.
    """

    late_ms: float = 0.0
    late_looks: int = 0
    calm_looks: int = 0
    limit: int | None = None
    closed: int = 0
    closed_at: Millis = Millis(0)
    grew_at: Millis = Millis(0)
    taken_at: Millis = Millis(0)
    logged_at: Millis = Millis(0)
