"""The order in which entry hosts take over as coordinator.

The most senior host that can be reached is the coordinator. Seniority is by capacity
score, then by age of the registration, so that a host that restarts does not take over.
No election is needed: hosts that see the same registrations choose alike.
"""

__all__ = ["rank_candidates"]


def _seniority_key(host):
    return -host.capacity_score, host.create_revision


def rank_candidates(members, own_name, stale, draining, own_last):
    """Return the names of hosts that may be coordinator, most senior first.

    `members` are registrations with `name`, `capacity_score` and `create_revision`.
    The names in `stale` restarted since: what is registered is not their present
    incarnation, so its age is not that incarnation's. They and the names in `draining`
    are left out. The own host is always among the candidates: at its place by
    seniority, or as the last one if it has no valid registration or with `own_last`.
    """
    ranked = sorted(members, key=_seniority_key)
    names = [host.name for host in ranked]
    names = [name for name in names if name not in stale and name not in draining]
    if own_last or own_name not in names:
        names = [name for name in names if name != own_name]
        names.append(own_name)
    return names
