"""The catalog: routes, services and organisations of one catalog version.

Boxes that run ``spanshunt.platform.node`` route by it. The configuration of
``spanshuntd`` is in ``config.py``.

A catalog is replaced as a whole and rows are never changed in place, so a request that
holds a row keeps seeing the version that it was admitted under.
"""

import enum

import msgspec

from ..ids import Millis
from ..ids import ModelId
from ..ids import OrgId
from ..ids import RegionId
from ..ids import ServiceId


class RequestKind(enum.Enum):
    """Whether a request may run more than once.

    ``REPEATABLE`` requests may run more than once and ``ONCE`` requests at most once.
    ``STREAM`` requests are answered with a series of events and may be repeated only
    where the route declares that the stream can be resumed.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


class TrafficShare(msgspec.Struct, frozen=True):
    """The relative weight of one service in a route's traffic."""

    service: ServiceId
    weight: float


class RouteRow(msgspec.Struct, frozen=True):
    """One route.

    Attributes
    ----------
    name : str
        Name of the route in log lines.
    host, prefix : str
        Host and path prefix of the requests that take this route; the prefix ends with
        a slash.
    kind : RequestKind
        Whether a request of this route may run more than once.
    resumable : bool
        Whether another worker may continue a stream after its last complete event.
    shares : tuple of TrafficShare
        The services that answer it.
    models : tuple of str
        Models that may answer a request that names no model, smallest first.
    max_attempts : int
        Maximum number of workers that one request may run on.
    timeout_ms : int
        Longest time that a request may take, in ms.
    target_latency_ms : int
        Target time to the answer, or to a stream's first event, in ms.
    target_gap_ms : int
        Target for the longest pause between events of a stream, in ms; 0 for none.
    priority : int
        Priority of the requests; 0 is the most urgent.
    anonymous : bool
        Whether requests need no credential.
    regions : frozenset of str
        Regions whose workers may answer it; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[TrafficShare, ...]
    timeout_ms: Millis
    target_latency_ms: Millis
    models: tuple[ModelId, ...] = ()
    resumable: bool = False
    max_attempts: int = 1
    target_gap_ms: Millis = Millis(0)
    priority: int = 0
    anonymous: bool = False
    regions: frozenset[RegionId] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time after it may have run once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE


class ServiceRow(msgspec.Struct, frozen=True):
    """One service of the catalog.

    The row of ``spanshuntd`` is :class:`~spanshunt.tables.config.ServiceRow`.

    Attributes
    ----------
    name : str
        Its name.
    costs : dict
        Price of 1,000 generated tokens by model; a prompt token costs a quarter of a
        generated one. Empty for plain services.
    kv_capacity_tokens : int
        Capacity of the key-value cache of one engine, in tokens; 0 if unknown.
    cold_start_ms : int
        How long a worker is slow after its start, in ms; 0 for not at all.
    cold_per_s : float
        Requests a second that a cold worker can take from all boxes; 0 for unknown.
    health_path : str
        Path of a request that each worker answers at once; empty if unknown.
    """

    name: ServiceId
    costs: dict[ModelId, float] = {}
    kv_capacity_tokens: int = 0
    cold_start_ms: Millis = Millis(0)
    cold_per_s: float = 0.0
    health_path: str = ""


class OrgRow(msgspec.Struct, frozen=True):
    """One organisation of the catalog.

    The row of ``spanshuntd`` is :class:`~spanshunt.tables.config.OrgRow`.

    Attributes
    ----------
    name : str
        Its name.
    credentials : tuple of str
        Credentials that its callers may present.
    priority : int or None
        Priority of its requests; None to use the route's.
    regions : frozenset of str
        Regions whose workers may answer it; empty for any.
    """

    name: OrgId
    credentials: tuple[str, ...]
    priority: int | None = None
    regions: frozenset[RegionId] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits for what a caller may send: sizes in bytes, times in ms."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: Millis = Millis(3_000)
    idle_timeout_ms: Millis = Millis(15_000)


class Catalog(msgspec.Struct):
    """One version of all routes, services and organisations that operators declare.

    Attributes
    ----------
    version : int
        Version number; it rises with each change, in steps of any size.
    routes, services, orgs, limits
        What operators declare.
    by_host : dict
        Routes by host, longest prefix first; filled in by :func:`index_catalog`.
    by_credential : dict
        Organisations by credential; filled in by :func:`index_catalog`.
    highest_priority : dict
        Priority number of each service's most urgent route, which is the lowest number;
        filled in by :func:`index_catalog`.
    """

    version: int
    routes: tuple[RouteRow, ...]
    services: dict[ServiceId, ServiceRow]
    orgs: tuple[OrgRow, ...]
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, list[RouteRow]] = {}
    by_credential: dict[str, OrgRow] = {}
    highest_priority: dict[ServiceId, int] = {}


def index_catalog(catalog: Catalog) -> Catalog:
    """Fill in the look-up tables of a catalog and return it."""
    for route in sorted(catalog.routes, key=lambda row: -len(row.prefix)):
        catalog.by_host.setdefault(route.host, []).append(route)
        for share in route.shares:
            highest = catalog.highest_priority.get(share.service, route.priority)
            catalog.highest_priority[share.service] = min(highest, route.priority)
    for org in catalog.orgs:
        for credential in org.credentials:
            catalog.by_credential[credential] = org
    return catalog


def find_route(catalog: Catalog, host: str, path: str) -> RouteRow | None:
    """Return the route with the longest prefix of `path`, or None."""
    for route in catalog.by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None
