"""Rows about requests that wait at this box until a worker has room for them."""

import msgspec

from ..ids import Millis
from ..ids import OrgId
from ..ids import RequestId
from ..ids import ServiceId


class Waiter(msgspec.Struct, frozen=True):
    """A request that waits at this box for room at a worker.

    Attributes
    ----------
    request, service, org : str
        The request, the service that must answer it, and the organisation that owns it.
    priority : int
        Priority of the request; 0 is the most urgent.
    since : int
        When the request began to wait, in ms.
    start_by : int
        Until when a worker must start the request so that the caller still gets the
        answer, in ms.
    bytes : int
        Bytes that the box holds for the request.
    """

    request: RequestId
    service: ServiceId
    org: OrgId
    priority: int
    since: Millis
    start_by: Millis
    bytes: int


class WaitList(msgspec.Struct):
    """All requests that wait at this box.

    Attributes
    ----------
    waiters : dict
        Waiters by service and request, in the order of their arrival.
    count : int
        Number of waiters of all services.
    bytes : int
        Bytes that the box holds for them.
    """

    waiters: dict[ServiceId, dict[RequestId, Waiter]] = {}
    count: int = 0
    bytes: int = 0


class WorkTime(msgspec.Struct):
    """Usual time that a worker of usual speed takes for a request of one route.

    Attributes
    ----------
    usual_ms : float
        Median of the time from the sending of a request to a worker with a free slot to
        the head of its answer, in ms.
    answers : int
        Number of answers that it is based on; 0 if all of them may have waited at
        their workers.
    """

    usual_ms: float
    answers: int = 1


class OrgDemand(msgspec.Struct):
    """Demand of one organisation for one service, averaged over all boxes.

    Attributes
    ----------
    per_s : float
        Requests a second that arrive at a box, whatever becomes of them.
    at : int
        When the average was last updated, in ms.
    """

    per_s: float
    at: Millis
