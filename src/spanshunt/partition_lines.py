"""Metrics of a box's own way to workers, and of what it sends for peers."""

from .systems.brittleness import is_brittle
from .systems.partitions import gateway_room
from .systems.partitions import is_partitioned
from .tables.fleet import Fleet


def partition_lines(fleet: Fleet) -> str:
    """Return for the metrics page whether the box is partitioned, and its gateways."""
    brittle = sum(is_brittle(row) for row in fleet.workers.rows.values())
    through = sum(peer.gateway_sends for peer in fleet.peers.values())
    return (
        f"spanshunt_partitioned {int(is_partitioned(fleet))}\n"
        f"spanshunt_sends_through_gateways {through}\n"
        f"spanshunt_sends_for_peers {fleet.gateway_sends}\n"
        f"spanshunt_sends_for_peers_bytes {fleet.gateway_bytes}\n"
        f"spanshunt_gateway_room {gateway_room(fleet)}\n"
        f"spanshunt_brittle_workers {brittle}\n"
    )
