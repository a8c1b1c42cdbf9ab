"""Rows about the bytes that this box holds for callers and workers."""

import msgspec

from ..ids import Millis
from ..ids import RequestId
from ..ids import WorkerId


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
    worker : str
        The worker that answers it; empty before the request was sent.
    body_bytes : int
        Bytes of the request's body.
    unread_bytes : int
        Bytes of the answer that the caller has not taken yet.
    progress_at : int
        When the caller last took bytes, or when the answer began, in ms.
    """

    worker: WorkerId = WorkerId("")
    body_bytes: int = 0
    unread_bytes: int = 0
    progress_at: Millis = Millis(0)


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
