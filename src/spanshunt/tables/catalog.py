"""The catalog: routes, services and organisations as one version of it declares them.

A catalog is replaced whole. Rows are never changed in place, so a request that holds a
row keeps seeing the version that it was admitted under.
"""

import enum

import msgspec

from ..ids import Millis
from ..ids import ModelId
from ..ids import OrgId
from ..ids import RegionId
from ..ids import ServiceId


class RequestKind(enum.Enum):
    """What may be done twice.

    ``REPEATABLE`` requests may run more than once; ``ONCE`` at most once; ``STREAM``
    answers are series of events, repeatable only where the route says that they can be
    resumed.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True):
    """One service's part of a route's traffic; weights are relative."""

    service: ServiceId
    weight: float


class RouteRow(msgspec.Struct, frozen=True):
    """One route.

    Attributes
    ----------
    name : str
        For logs.
    host, prefix : str
        What a request must name to take this route; the prefix ends with a slash.
    kind : RequestKind
        What may be repeated.
    resumable : bool
        Whether a stream may go on at another worker after its last whole event.
    shares : tuple of Share
        The services that answer it.
    models : tuple of str
        Models that may answer where the caller leaves the choice, the smallest first.
    most_attempts : int
        Workers that one request may run on.
    timeout_ms : int
        Longest that a request is held, in ms.
    aim_ms : int
        Time within which the answer (a stream's first event) is worth most, in ms.
    gap_aim_ms : int
        Longest pause between events at which a stream is still in time; 0 for none.
    rank : int
        Urgency, 0 first.
    anonymous : bool
        Whether no credential is needed.
    regions : frozenset of str
        Regions whose workers may answer it; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[Share, ...]
    timeout_ms: Millis
    aim_ms: Millis
    models: tuple[ModelId, ...] = ()
    resumable: bool = False
    most_attempts: int = 1
    gap_aim_ms: Millis = Millis(0)
    rank: int = 0
    anonymous: bool = False
    regions: frozenset[RegionId] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Whether a request may run a second time after it may have run once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE


class ServiceRow(msgspec.Struct, frozen=True):
    """One service.

    Attributes
    ----------
    name : str
        Its name.
    costs : dict
        Price of 1,000 generated tokens by model; read tokens count a quarter. Empty for
        plain services.
    memory_tokens : int
        Tokens that one of its engines keeps; 0 where that is unknown.
    cold_ms : int
        How long one of its workers is slow after its start, in ms; 0 for not at all.
    cold_per_s : float
        Requests a second that a worker bears meanwhile, of all boxes; 0 for unknown.
    """

    name: ServiceId
    costs: dict[ModelId, float] = {}
    memory_tokens: int = 0
    cold_ms: Millis = Millis(0)
    cold_per_s: float = 0.0


class OrgRow(msgspec.Struct, frozen=True):
    """One organisation.

    Attributes
    ----------
    name : str
        Its name.
    credentials : tuple of str
        What its callers may show.
    rank : int or None
        The urgency of its requests, where that is its own.
    regions : frozenset of str
        Regions whose workers may answer it; empty for any.
    """

    name: OrgId
    credentials: tuple[str, ...]
    rank: int | None = None
    regions: frozenset[RegionId] = frozenset()


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send: sizes in bytes, times in ms."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: Millis = Millis(3_000)
    idle_timeout_ms: Millis = Millis(15_000)


class Catalog(msgspec.Struct):
    """One version of everything that operators declare.

    Attributes
    ----------
    version : int
        Rises with each change, in uneven steps.
    routes, services, orgs, limits
        What it declares.
    by_host : dict
        Routes by host, the longest prefix first; filled in by :func:`index`.
    by_credential : dict
        Organisations by credential; likewise.
    most_urgent : dict
        The rank of each service's most urgent route; likewise.
    """

    version: int
    routes: tuple[RouteRow, ...]
    services: dict[ServiceId, ServiceRow]
    orgs: tuple[OrgRow, ...]
    limits: CallerLimits = CallerLimits()
    by_host: dict[str, list[RouteRow]] = {}
    by_credential: dict[str, OrgRow] = {}
    most_urgent: dict[ServiceId, int] = {}


def index(catalog: Catalog) -> Catalog:
    """Fill in the look-up tables of a catalog and return it."""
    for route in sorted(catalog.routes, key=lambda row: -len(row.prefix)):
        catalog.by_host.setdefault(route.host, []).append(route)
        for share in route.shares:
            known = catalog.most_urgent.get(share.service, route.rank)
            catalog.most_urgent[share.service] = min(known, route.rank)
    for org in catalog.orgs:
        for credential in org.credentials:
            catalog.by_credential[credential] = org
    return catalog


def find_route(catalog: Catalog, host: str, path: str) -> RouteRow | None:
    """Return the route with the longest prefix that begins `path`, if any."""
    for route in catalog.by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None
