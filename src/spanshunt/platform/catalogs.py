"""The operators' configuration, decoded from the platform's wire."""

from result import Err
from result import Ok
from result import Result

from ..ids import Millis
from ..ids import ModelId
from ..ids import OrgId
from ..ids import RegionId
from ..ids import ServiceId
from ..quantities import YEAR_MS
from ..quantities import Amount
from ..quantities import Revision
from ..quantities import Whole
from ..tables.catalog import CallerLimits
from ..tables.catalog import Catalog
from ..tables.catalog import OrgRow
from ..tables.catalog import RequestKind
from ..tables.catalog import RouteRow
from ..tables.catalog import ServiceRow
from ..tables.catalog import TrafficShare
from ..tables.catalog import index_catalog
from .wire import Seconds
from .wire import Wire
from .wire import decode

_KINDS = {"safe": RequestKind.REPEATABLE, "streaming": RequestKind.STREAM}
"""Kinds of request by the wire's word; a word not known here may run at most once."""


class _Share(Wire, frozen=True, rename="pascal"):
    backend: str
    weight: Amount = 1.0


class _Route(Wire, frozen=True, rename="pascal"):
    name: str
    hostname: str
    path_prefix: str
    route_type: str = "unsafe"
    timeout_ms: Whole = 60_000
    target_latency_ms: Whole = 1_000
    # The rank: 0 is the most urgent.
    priority: Whole = 0
    # Models that may answer, the smallest first.
    sizes: tuple[str, ...] = ()
    backend: str = ""
    traffic_split: tuple[_Share, ...] = ()
    max_attempts: Whole = 1
    anonymous: bool = False
    stream_resume: bool = False
    gap_aim_ms: Whole = 0
    # Where its workers may be; none for anywhere.
    allowed_regions: tuple[str, ...] = ()


class _Model(Wire, frozen=True, rename="pascal"):
    name: str
    # Price of 1,000 generated tokens.
    cost: Amount = 0.0


class _Engine(Wire, frozen=True, rename="pascal"):
    models: tuple[_Model, ...] = ()
    # Memory of one worker, in tokens of prompts and answers.
    kv_capacity_tokens: Whole = 0


class _Service(Wire, frozen=True, rename="pascal"):
    name: str
    engine: _Engine | None = None
    # How long a worker is slow after its start, in s.
    cold_start_s: Seconds = 0.0
    # Requests a second that it bears meanwhile, of all senders.
    cold_per_s: Amount = 0.0
    # Where a GET asks a worker whether it is healthy.
    health_path: str = ""


class _Org(Wire, frozen=True, rename="pascal"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Whole | None = None
    # Where workers may be that answer it; none for anywhere.
    allowed_regions: tuple[str, ...] = ()


class _Limits(Wire, frozen=True, rename="pascal"):
    max_header_bytes: Whole = 16_384
    max_body_bytes: Whole = 4_194_304
    header_timeout_ms: Whole = 3_000
    idle_timeout_ms: Whole = 15_000


class _Config(Wire, frozen=True, rename="pascal"):
    version: Revision
    routes: tuple[_Route, ...] = ()
    # Services, not their workers.
    backends: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Org, ...] = ()


def decode_catalog(raw: bytes) -> Result[Catalog, str]:
    """Decode the operators' configuration."""
    decoded = decode(raw, _Config)
    if isinstance(decoded, Err):
        return decoded
    config = decoded.ok_value
    limits = config.limits
    return Ok(
        index_catalog(
            Catalog(
                version=config.version,
                routes=tuple(_route(row) for row in config.routes),
                services={
                    ServiceId(row.name): _service(row) for row in config.backends
                },
                orgs=tuple(_org(row) for row in config.tenants),
                limits=CallerLimits(
                    header_bytes=limits.max_header_bytes,
                    body_bytes=limits.max_body_bytes,
                    header_timeout_ms=_span(limits.header_timeout_ms),
                    idle_timeout_ms=_span(limits.idle_timeout_ms),
                ),
            )
        )
    )


def _route(row: _Route) -> RouteRow:
    split = row.traffic_split or (_Share(row.backend),)
    return RouteRow(
        name=row.name,
        host=row.hostname.lower(),
        prefix=row.path_prefix,
        kind=_KINDS.get(row.route_type, RequestKind.ONCE),
        shares=tuple(
            TrafficShare(ServiceId(part.backend), part.weight) for part in split
        ),
        timeout_ms=_span(row.timeout_ms),
        target_latency_ms=_span(row.target_latency_ms),
        models=tuple(ModelId(name) for name in row.sizes),
        resumable=row.stream_resume,
        max_attempts=max(1, row.max_attempts),
        target_gap_ms=_span(row.gap_aim_ms),
        priority=row.priority,
        anonymous=row.anonymous,
        regions=_regions(row.allowed_regions),
    )


def _span(ms: int) -> Millis:
    """Return a span of a configuration, at most a year: no timer waits for longer."""
    return Millis(min(ms, YEAR_MS))


def _org(row: _Org) -> OrgRow:
    regions = _regions(row.allowed_regions)
    return OrgRow(OrgId(row.name), row.api_keys, row.priority, regions)


def _regions(names: tuple[str, ...]) -> frozenset[RegionId]:
    return frozenset(RegionId(name) for name in names)


def _service(row: _Service) -> ServiceRow:
    engine = row.engine or _Engine()
    return ServiceRow(
        name=ServiceId(row.name),
        costs={ModelId(model.name): model.cost for model in engine.models},
        kv_capacity_tokens=engine.kv_capacity_tokens,
        cold_start_ms=Millis(int(row.cold_start_s * 1_000)),
        cold_per_s=row.cold_per_s,
        health_path=row.health_path,
    )
