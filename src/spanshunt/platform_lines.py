"""Log lines that tell what a box believes of failure domains and of the store."""

from .ids import DomainId
from .logs import log_event
from .tables.fleet import Fleet


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
