"""Admission: finds the route and the organisation of a request in the catalog.

This module serves a box that runs ``spanshunt.platform.node``. The catalog is what such
a box routes by; ``spanshuntd`` routes by a configuration instead.
"""

import msgspec
from result import Err
from result import Ok
from result import Result

from ..ids import Millis
from ..ids import RegionId
from ..ids import ServiceId
from ..refusals import Problem
from ..refusals import Refusal
from ..tables.catalog import Catalog
from ..tables.catalog import OrgRow
from ..tables.catalog import RouteRow
from ..tables.catalog import find_route
from ..tables.fleet import Fleet

CATALOG_WAIT_FRACTION, MAX_CATALOG_WAIT_MS = 0.125, 1_000
"""How long a request waits at a box that knows no catalog yet: a fraction of the time
that its caller has left, and the upper bound in ms. A box reads the catalog as soon as
it starts, so a short wait often suffices, and a refusal would fail a request whose
caller has no attempt left."""

RETRY_FRACTION, MAX_RETRY_MS = 1 / 6, 2_000
"""When a caller should retry at a box that still knows no catalog: a fraction of the
time that the caller has left, and the upper bound in ms. At the end of the wait above,
neither the store nor a peer has answered; as outages last for seconds, an earlier retry
would mostly be refused again."""


class AdmissionRequest(msgspec.Struct, frozen=True):
    """The properties of a request that decide its admission.

    Attributes
    ----------
    host, path : str
        Host and path of the request.
    credential : str
        Credential that the caller presents; empty for none.
    left_ms : int
        How long the caller still waits, in ms.
    """

    host: str
    path: str
    credential: str
    left_ms: int = 0


class Admission(msgspec.Struct, frozen=True):
    """The route of a request, and its organisation unless the route is anonymous."""

    route: RouteRow
    org: OrgRow | None
    catalog_version: int

    @property
    def priority(self) -> int:
        """Priority of the organisation if it has one, else of the route."""
        if self.org is not None and self.org.priority is not None:
            return self.org.priority
        return self.route.priority

    @property
    def regions(self) -> tuple[frozenset[RegionId], ...]:
        """Allowed regions of the route and of the organisation; both apply."""
        org = self.org.regions if self.org is not None else frozenset()
        return self.route.regions, org


def catalog_wait_ms(left_ms: int) -> float:
    """Return how long to wait for the first catalog, in ms."""
    return max(0.0, min(MAX_CATALOG_WAIT_MS, CATALOG_WAIT_FRACTION * left_ms))


def admit(
    catalog: Catalog | None, asked: AdmissionRequest
) -> Result[Admission, Refusal]:
    """Return the route and the organisation of a request in the current catalog."""
    if catalog is None:
        return Err(_not_ready_refusal("this box knows no catalog yet", asked.left_ms))
    route = find_route(catalog, asked.host, asked.path)
    if route is None:
        detail = f"catalog {catalog.version} has no route for {asked.host}{asked.path}"
        return Err(Refusal(Problem.NOT_FOUND, detail))
    org = catalog.by_credential.get(asked.credential)
    if org is None and catalog.orgs and not route.anonymous:
        detail = f"the credential is not known in catalog {catalog.version}"
        return Err(Refusal(Problem.BAD_CREDENTIAL, detail))
    return Ok(Admission(route, org, catalog.version))


def steps_below_highest(fleet: Fleet, service: ServiceId, priority: int) -> int:
    """Return how many priorities lie between a request and its service's highest."""
    if fleet.catalog is None:
        return 0
    return max(0, priority - fleet.catalog.highest_priority.get(service, 0))


def unproved_catalog_refusal(catalog: Catalog | None, left_ms: int) -> Refusal:
    """Return the refusal for a box that can't tell whether its catalog is the newest.

    It stands in for a refusal by that catalog, which a newer one might not give. It
    asks the caller to retry.
    """
    known = catalog.version if catalog is not None else "none"
    detail = f"this box can't verify that catalog {known} is the newest"
    return _not_ready_refusal(detail, left_ms)


def _not_ready_refusal(detail: str, left_ms: int) -> Refusal:
    retry_ms = Millis(int(min(MAX_RETRY_MS, RETRY_FRACTION * left_ms)))
    return Refusal(Problem.NOT_READY, detail, retry_ms=retry_ms)
