"""Admission: which route a request takes and whose it is."""

import msgspec
from result import Err
from result import Ok
from result import Result

from ..ids import Millis
from ..refusals import Problem
from ..refusals import Refusal
from ..tables.catalog import Catalog
from ..tables.catalog import OrgRow
from ..tables.catalog import RouteRow
from ..tables.catalog import find_route

NOT_READY_RETRY_MS = Millis(300)
"""When to come back to a box that knows no catalog yet, in ms: a box learns it from the
store or a peer within a few round trips once either answers."""


class Asked(msgspec.Struct, frozen=True):
    """What decides about admission: where to, and the credential ("" for none)."""

    host: str
    path: str
    credential: str


class Admitted(msgspec.Struct, frozen=True):
    """A request's route, and its organisation unless the route is anonymous."""

    route: RouteRow
    org: OrgRow | None
    catalog_version: int

    @property
    def rank(self) -> int:
        """The urgency: the organisation's where it has one, else the route's."""
        if self.org is not None and self.org.rank is not None:
            return self.org.rank
        return self.route.rank


def admit(catalog: Catalog | None, asked: Asked) -> Result[Admitted, Refusal]:
    """Find route and organisation of a request in the catalog as it is now."""
    if catalog is None:
        detail = "this box knows no catalog yet"
        return Err(Refusal(Problem.NOT_READY, detail, retry_ms=NOT_READY_RETRY_MS))
    route = find_route(catalog, asked.host, asked.path)
    if route is None:
        detail = f"catalog {catalog.version} has no route for {asked.host}{asked.path}"
        return Err(Refusal(Problem.NOT_FOUND, detail))
    org = catalog.by_credential.get(asked.credential)
    if org is None and catalog.orgs and not route.anonymous:
        detail = f"the credential is not known in catalog {catalog.version}"
        return Err(Refusal(Problem.BAD_CREDENTIAL, detail))
    return Ok(Admitted(route, org, catalog.version))
