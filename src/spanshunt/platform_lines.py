"""Log lines that tell what a box believes of catalogs, domains, peers and the store."""

from .ids import BoxId
from .ids import DomainId
from .ids import Millis
from .logs import log_event
from .peers.news_items import BusyBoxNews
from .systems.arrivals import box_share
from .systems.blaming import live_peers
from .systems.following_workers import is_served_by_store
from .systems.proving import newest_reported_version
from .systems.proving import proof_age
from .tables.fleet import Fleet


def catalog_fields(fleet: Fleet, now: Millis) -> dict[str, object]:
    """Return which catalog a box knows and how sure it is that it is the newest."""
    waiting = fleet.long_poll_since
    return {
        "catalog": fleet.catalog.version if fleet.catalog else None,
        "proof_age_ms": proof_age(fleet, now),
        "proof_by": fleet.catalog_proof.source,
        "waiting_ms": now - waiting if waiting >= 0 else None,
        "served": is_served_by_store(fleet, now),
        "peers_heard": len(live_peers(fleet, now)),
        "newest_told": newest_reported_version(fleet),
    }


def log_newer_catalog(fleet: Fleet, source: BoxId, version: int, now: Millis) -> None:
    """Log that a peer told of a newer catalog, before this box has it."""
    log_event(
        "INFO",
        "newer catalog told",
        version=version,
        source=source,
        **catalog_fields(fleet, now),
    )


def log_evacuation(fleet: Fleet, domain: DomainId, source: str) -> None:
    """Log that a failure domain was emptied or given back, as this box knows now."""
    row = fleet.evacuations[domain]
    log_event(
        "WARNING" if row.active else "INFO",
        "domain emptied" if row.active else "domain given back",
        domain=domain,
        known=domain in fleet.regions,
        order=row.order,
        workers=sum(row.domain == domain for row in fleet.workers.rows.values()),
        source=source,
    )


def log_older_store(fleet: Fleet, source: str) -> None:
    """Log that the store came back from a copy, as this box knows now."""
    log_event("WARNING", "store came back older", era=fleet.store.era, source=source)


def log_busy_box(fleet: Fleet, item: BusyBoxNews, source: BoxId, now: Millis) -> None:
    """Log that a peer told of a busy box, and which part of limits is left here."""
    log_event(
        "INFO",
        "busy box told",
        service=item.service,
        box=item.box,
        per_s=round(item.per_s, 1),
        age_ms=item.age_ms,
        limit_part=round(box_share(fleet, item.service, now), 3),
        source=source,
    )
