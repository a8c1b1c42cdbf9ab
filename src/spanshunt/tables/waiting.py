"""Rows about requests that wait at this box until a worker has room for them."""

import msgspec

from ..ids import Millis
from ..ids import OrgId
from ..ids import RequestId
from ..ids import ServiceId
from .rates import MeanRate


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


class OrgDemand(MeanRate):
    """Demand of one organisation for one service.

    Demand is the time of a worker's slot that its arriving requests need, in s a
    second, whatever becomes of them.

    Attributes
    ----------
    returns_until : float
        Until when the room that this box may give the organisation is left for callers
        that it refused and told to return, in ms.
    """

    returns_until: float = 0.0


class OrgShare(msgspec.Struct):
    """Share that an organisation has of a service, if it asks for more.

    Demand, share and pace are in s of a worker's slot a second.

    Attributes
    ----------
    demand_per_s, share_per_s : float
        Demand and share of the organisation at all boxes together.
    pace_per_s : float
        Part of the share that this box gives out.
    next_start_at : float
        When the organisation may start its next request here, in ms; it is over its
        share until then.
    limited_at : int
        When the organisation was last found to ask for more than its share, in ms.
    limited : bool
        Whether the share is in force.
    """

    demand_per_s: float
    share_per_s: float
    pace_per_s: float
    next_start_at: float
    limited_at: Millis
    limited: bool = True


class ServiceShares(msgspec.Struct):
    """Shares of one service that is short of room.

    Attributes
    ----------
    room_per_s : float
        Room of the service's workers, in s of a worker's slot a second.
    orgs : dict
        Shares of the organisations that ask for more than theirs.
    """

    room_per_s: float
    orgs: dict[OrgId, OrgShare] = {}
