"""Rows about the bytes that this box holds for callers and workers."""

import msgspec

from ..ids import Millis
from ..ids import RequestId


class BoxLimits(msgspec.Struct, frozen=True):
    """Resources of this box, from its settings; 0 for an unknown one.

    Attributes
    ----------
    cpu_share : float
        Processor time that the process may use, in cores.
    memory_mb : int
        Memory that the process may use, in MB.
    link_mbps : float
        Bandwidth of the box's link, in Mbit/s.
    max_fds : int
        Descriptors that the process may have open.
    """

    cpu_share: float = 0.0
    memory_mb: int = 0
    link_mbps: float = 0.0
    max_fds: int = 0


class HeldAnswer(msgspec.Struct):
    """Bytes that the box holds for one request.

    Attributes
    ----------
    body_bytes : int
        Bytes of the request's body.
    unread_bytes : int
        Bytes of the answer that the caller has not taken yet.
    partial_bytes : int
        Bytes of an event that its worker has not completed yet.
    progress_at : int
        When the caller last took bytes, or when the first unread ones came, in ms; for
        an answer that the box still collects, when its worker last sent any.
    offered : bool
        Whether the caller is being sent the answer; False while the box still collects
        it.
    cut : bool
        Whether the answer is being cut off to free its bytes.
    """

    body_bytes: int = 0
    unread_bytes: int = 0
    partial_bytes: int = 0
    progress_at: Millis = Millis(0)
    offered: bool = False
    cut: bool = False


class ByteMarks(msgspec.Struct, frozen=True):
    """Marks of the account of bytes, in bytes.

    Attributes
    ----------
    low : int
        Below it, no body is refused before it is read.
    high : int
        From it on, reading from workers is paused for callers who are behind.
    bound : int
        From it on, large bodies are refused, answers with unread bytes are paused, and
        those without progress are cut, one at a time.
    answer : int
        Most unread bytes of one answer.
    worker : int
        Most bytes of bodies on the way to one worker, unless it is a single body.
    """

    low: int
    high: int
    bound: int
    answer: int
    worker: int


class ByteAccount(msgspec.Struct):
    """All bytes that the box holds for requests in progress.

    Attributes
    ----------
    held : dict
        What it holds for each request.
    total : int
        Sum of all bytes held.
    """

    held: dict[RequestId, HeldAnswer] = {}
    total: int = 0
