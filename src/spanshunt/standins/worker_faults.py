"""What a stand-in of a worker does wrong, and how its streams end."""

import enum


class WorkerFault(enum.Enum):
    """What a worker does wrong, or what keeps it from running a request.

    ``FULL`` and ``REPLACED`` say truly that the request has not run. ``ERROR``: its own
    500 after a run. ``MUTE``: it runs the request and says nothing. ``CUT``: a stream
    breaks off inside an event. ``STALL``: a stream falls silent. ``PAUSE``: it does for
    ``PAUSE_S``, then goes on. ``RESET``: an answer
    without a length is reset. ``OTHER``: the answer is another request's. ``EXTRA``: a
    second answer follows the first. ``LATE_EXTRA``: likewise, somewhat later.
    ``FORGET``: a connection that is used again is reset. ``OWED``: a second answer
    follows the first when the next request is read. ``UNSEALED``: the answer lacks its
    seal. ``DROP``: the connection is closed unread. ``ENDLESS_HEAD``, ``ENDLESS_LINE``,
    ``ENDLESS_CHUNKS``, ``ENDLESS_BODY``: headers, one line, chunks or bytes without a
    length come until the box closes, and are no answer.
    """

    NONE = "none"
    FULL = "full"
    REPLACED = "replaced"
    ERROR = "error"
    MUTE = "mute"
    CUT = "cut"
    STALL = "stall"
    PAUSE = "pause"
    RESET = "reset"
    OTHER = "other"
    EXTRA = "extra"
    LATE_EXTRA = "late extra"
    OWED = "owed"
    FORGET = "forget"
    UNSEALED = "unsealed"
    DROP = "drop"
    ENDLESS_HEAD = "endless head"
    ENDLESS_LINE = "endless line"
    ENDLESS_CHUNKS = "endless chunks"
    ENDLESS_BODY = "endless body"


ENDLESS = frozenset(
    {
        WorkerFault.ENDLESS_HEAD,
        WorkerFault.ENDLESS_LINE,
        WorkerFault.ENDLESS_CHUNKS,
        WorkerFault.ENDLESS_BODY,
    }
)
"""Faults whose bytes come without end."""


class StreamEnding(enum.Enum):
    """How a stream without chunks ends with its connection.

    ``WHOLE``: after its last event. The others break it off after ``CUT_AFTER`` events:
    ``INSIDE_EVENT`` and ``INSIDE_CHARACTER`` (of several bytes) close the connection,
    ``RESET`` resets it in place of an end.
    """

    WHOLE = "whole"
    INSIDE_EVENT = "inside event"
    INSIDE_CHARACTER = "inside character"
    RESET = "reset"
