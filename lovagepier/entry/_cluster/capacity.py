"""A host's capacity as coordinator, and the shares that its coordinator hands out."""

__all__ = ["CapacityShares", "capacity_score"]

# From this fraction of the live hosts on, a coordinator uses all targets. With
# fewer hosts, another coordinator may be using the same targets.
FULL_CAPACITY_FRACTION = 0.6
# A host whose registration lapsed counts this long as one that may still hand out
# quotas: longer than most network partitions last, and a host that was killed is
# back sooner.
LAPSED_HOST_RETENTION_S = 20.0
# Minimum number of hosts assumed to share the targets while registrations still
# come in.
MIN_STARTUP_HOSTS = 8
# Cores and link rate per point of a host's capacity score. The coordinator of 60 hosts
# needs no more than `MAX_CAPACITY_SCORE` points.
CORES_PER_POINT = 0.5
MBPS_PER_POINT = 50.0
MAX_CAPACITY_SCORE = 4


def capacity_score(cfg):
    """Return the host's score as coordinator, limited by its cores and its link."""
    cores = cfg.host_cores * cfg.host_core_share
    cores = min(int(cores / CORES_PER_POINT), MAX_CAPACITY_SCORE)
    link = min(int(cfg.host_link_mbps / MBPS_PER_POINT), MAX_CAPACITY_SCORE)
    return min(cores, link)


class CapacityShares:
    """Splits targets and quotas between coordinators that can't reach each other.

    Each coordinator takes its share by the number of hosts that it decides for,
    so that all of them together hand out no more than the whole.
    """

    def __init__(self, view):
        self._view = view
        self._seen_at = {}

    def compute(self, host_count, starting, now):
        """Return (fraction of the targets, fraction of the quotas).

        `host_count` is the number of hosts that use this coordinator, this host
        included. `starting` tells that this host has just started and may not
        have found all others yet.
        """
        members = self._view.members()
        recent_count = self._count_recent(members, now)
        if not host_count:
            return 1.0, 1.0
        min_hosts = MIN_STARTUP_HOSTS if starting else 1
        target_share = host_count / max(len(members), min_hosts)
        quota_share = host_count / max(recent_count, min_hosts)
        if target_share >= FULL_CAPACITY_FRACTION:
            target_share = 1.0
        return target_share, min(quota_share, 1.0)

    def _count_recent(self, members, now):
        for name in members:
            self._seen_at[name] = now
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at >= LAPSED_HOST_RETENTION_S:
                del self._seen_at[name]
        return len(self._seen_at)
