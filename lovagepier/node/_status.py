"""The status of a node, as the operators' API reports it."""

import time

from lovagepier import build_name
from lovagepier.formats import OWN_FORMATS

__all__ = ["node_status"]


def node_status(node):
    """Return a node's status in types that JSON and CBOR can carry."""
    return {
        "node": node.cfg.node_name,
        "zone": node.cfg.node_zone,
        "region": node.cfg.node_region,
        "boot": node.boot,
        "build": build_name(),
        "formats": OWN_FORMATS,
        "version": node.view.version,
        "stopping": node.stopping.is_set(),
        "store_ok": node.store_ok,
        "store_calls": node.store.calls,
        "running": node.permits.count(),
        "live": list(node.roster.live),
        "pools": node.pools.statuses(),
        "moves": dict(node.rollout_states),
        "peer_bytes_sent": node.links.bytes_sent,
        "peer_bytes_received": node.links.bytes_received,
        "cpu_seconds": time.process_time(),
        "uptime": node.wall() - node.started_at,
    }
