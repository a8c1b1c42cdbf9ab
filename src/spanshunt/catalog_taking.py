"""Taking a catalog in: what a box believes never goes back."""

import typing as t

from result import Err
from result import Result

from .logs import log_event
from .peers.packing import pack
from .tables.catalog import Catalog
from .tables.fleet import Fleet

Decode = t.Callable[[bytes], Result[Catalog, str]]
"""Decodes a catalog as it came from the store."""


def take_catalog(
    fleet: Fleet, raw: bytes, decode: Decode, *, source: str, packed: bytes = b""
) -> bool:
    """Take a catalog in if it is newer; what a box believes never goes back.

    `packed` is the same as it came from a peer; it is packed here if it did not.
    """
    decoded = decode(raw)
    if isinstance(decoded, Err):
        log_event("ERROR", "catalog unreadable", detail=decoded.err_value)
        return False
    catalog = decoded.ok_value
    if fleet.catalog is not None and catalog.version <= fleet.catalog.version:
        return False
    before = fleet.catalog.version if fleet.catalog is not None else None
    fleet.catalog, fleet.catalog_packed = catalog, packed or pack(raw)
    log_event(
        "INFO",
        "catalog",
        version=catalog.version,
        before=before,
        routes=len(catalog.routes),
        orgs=len(catalog.orgs),
        source=source,
    )
    return True
