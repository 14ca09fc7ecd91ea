"""The current values that an entry host shows on its metrics listener."""

from lovagepier.entry._build_gauges import build_gauges
from lovagepier.platform import era_of, number_of

__all__ = ["host_gauges"]


def host_gauges(frontend, now):
    """Return the gauges of an entry host by name; `frontend` is its `Frontend`."""
    return {
        "config_version": frontend.view.version,
        "store_era": era_of(frontend.view.as_of),
        "store_revision": number_of(frontend.view.as_of),
        "store_age_seconds": round(frontend.view.store_age(now), 3),
        "unreadable_documents": frontend.view.undecoded_count,
        "unreadable_document_changes": frontend.view.undecoded_changes,
        "targets": len(frontend.view.targets),
        "evacuated_zones": len(frontend.view.evacuations.zones),
        "evacuated_targets": frontend.view.evacuations.count(
            frontend.view.targets.values()
        ),
        "cold_targets": frontend.coordinator.cold_targets.count(now),
        "hosts": len(frontend.view.members()),
        "callers_open": frontend.open_connections,
        "waiting": frontend.coordinator.waiting_count(),
        "residence_targets_left_out": frontend.coordinator.residence_left_out(),
        **frontend.coordinator.room_counts(),
        # Whether this host is the coordinator.
        "is_home": int(frontend.cluster.coordinator_name == frontend.cfg.host_name),
        "target_connections_opened": frontend.target_connections.opened,
        "memory_connections_bytes": frontend.memory_account.connections,
        "memory_bodies_bytes": frontend.memory_account.bodies,
        "body_bytes_reserved": frontend.body_memory.held,
        "bodies_waiting": frontend.body_memory.waiting_count,
        **frontend.coordinator.pace_gauges(),
        **build_gauges(frontend.cluster.live_hosts(), frontend.cluster.link_counts),
    }
