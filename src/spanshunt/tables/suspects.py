"""Requests that were at a worker when it ended."""

import msgspec

from ..ids import Fingerprint
from ..ids import Millis
from ..ids import RequestId


class Break(msgspec.Struct, frozen=True):
    """An attempt whose connection ended before its answer was whole.

    Attributes
    ----------
    request : str
        The request.
    fingerprint : str
        Its content.
    at : int
        When the connection ended, in ms.
    """

    request: RequestId
    fingerprint: Fingerprint
    at: Millis
