"""A snapshot of the cluster's membership that assigns roles to live nodes."""

from lovagepier.decisions.placement.rendezvous import rank

__all__ = ["Roster"]

MAX_CACHED_ROLES = 4096


class Roster:
    """The live nodes, their facts, and which of them owns a role. Immutable.

    A role is a text such as "pool/SUBJECT/REGION", "ledger/SHARD" or "orders".
    Nodes with the same live members rank them alike, without communication.
    `live` holds the nodes that may take roles, `reachable` also those that are
    leaving but not dead.
    """

    __slots__ = ("_cache", "_facts", "_live_set", "dead", "live", "me", "reachable")

    def __init__(self, me, members, live, reachable, dead):
        self.me = me
        self.live = tuple(live)
        self.reachable = frozenset(reachable)
        self.dead = frozenset(dead)
        self._live_set = frozenset(live)
        self._facts = {member.name: member.facts for member in members}
        self._cache = {}

    def facts(self, name):
        """Return a node's facts (peer address, URL, zone, region), or {}."""
        return self._facts.get(name, {})

    def address(self, name):
        """Return a node's peer address as (host, port), or None if unknown."""
        peer = self.facts(name).get("peer")
        return tuple(peer) if peer else None

    def is_live(self, name):
        """Return whether a node may own roles."""
        return name in self._live_set

    def in_region(self, region):
        """Return the live nodes of a region, or all live nodes if it has none."""
        names = [n for n in self.live if self.facts(n).get("region") == region]
        return names or list(self.live)

    def ranked_nodes(self, role, region=None):
        """Return the live nodes (of a region) ranked for a role, owner first."""
        key = (role, region)
        ranked = self._cache.get(key)
        if ranked is None:
            names = self.in_region(region) if region else list(self.live)
            ranked = rank(role, names)
            if len(self._cache) < MAX_CACHED_ROLES:
                self._cache[key] = ranked
        return ranked

    def owner(self, role, region=None):
        """Return the node that owns a role, or None without live nodes."""
        ranked = self.ranked_nodes(role, region)
        return ranked[0] if ranked else None

    def owns(self, role, region=None):
        """Return whether this node owns a role."""
        return self.owner(role, region) == self.me
