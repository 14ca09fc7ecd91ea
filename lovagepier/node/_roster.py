"""A snapshot of the live nodes, and which of them carries which duty."""

from lovagepier.decisions.homes import rank

__all__ = ["Roster"]

MAX_CACHED_ROLES = 4096


class Roster:
    """Who lives, where, and who is home for a duty. Never changed once made."""

    __slots__ = ("_cache", "_facts", "_live", "dead", "live", "me", "reachable")

    def __init__(self, me, members, live, reachable, dead):
        self.me = me
        self.live = tuple(live)
        self.reachable = frozenset(reachable)
        self.dead = frozenset(dead)
        self._live = frozenset(live)
        self._facts = {member.name: member.facts for member in members}
        self._cache = {}

    def facts(self, name):
        """Return a node's facts, or an empty dict."""
        return self._facts.get(name, {})

    def address(self, name):
        """Return a node's (host, port) for peers, or None."""
        peer = self.facts(name).get("peer")
        return tuple(peer) if peer else None

    def is_live(self, name):
        """Return whether a node may carry duties."""
        return name in self._live

    def in_region(self, region):
        """Return the live nodes of a region, or all where it has none."""
        names = [n for n in self.live if self.facts(n).get("region") == region]
        return names or list(self.live)

    def ranked_nodes(self, role, region=None):
        """Return the live nodes for a duty, preferred first."""
        key = (role, region)
        ranked = self._cache.get(key)
        if ranked is None:
            names = self.in_region(region) if region else list(self.live)
            ranked = rank(role, names)
            if len(self._cache) < MAX_CACHED_ROLES:
                self._cache[key] = ranked
        return ranked

    def owner(self, role, region=None):
        """Return the preferred node for a duty, or None."""
        ranked = self.ranked_nodes(role, region)
        return ranked[0] if ranked else None

    def owns(self, role, region=None):
        """Return whether this node is the preferred one."""
        return self.owner(role, region) == self.me
