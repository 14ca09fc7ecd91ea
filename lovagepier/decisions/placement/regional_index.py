"""The targets of a pool that have room, by region and by how soon each could finish.

Load pattern: many targets, few of them in the regions that a request may go to. A look
at the order of all targets would pass over the forbidden ones one by one.
"""

from sortedcontainers import SortedList

__all__ = ["RegionalIndex"]


class RegionalIndex:
    """Orders of targets by region and by the `Fleet`'s index of version and room.

    `counts` holds the number of targets by region, with or without room.
    """

    __slots__ = ("_orders", "_placed", "counts")

    def __init__(self, states):
        self._orders = {}
        self._placed = {}
        self.counts = {}
        for state in states:
            self.put(state)

    def put(self, state):
        """Update a target after any change to it. O(log n)."""
        self.drop(state.name)
        self.counts[state.region] = self.counts.get(state.region, 0) + 1
        self._placed[state.name] = (state.region, state.key)
        if state.key is not None:
            index, key = state.key
            orders = self._orders.setdefault(state.region, {})
            orders.setdefault(index, SortedList()).add(key)

    def drop(self, name):
        """Remove a target."""
        region, placed = self._placed.pop(name, (None, None))
        if region is None:
            return
        self.counts[region] -= 1
        if placed is not None:
            index, key = placed
            self._orders[region][index].discard(key)

    def names(self, region, version, may_overbook):
        """Yield the targets of a version with room in a region, soonest finish first.

        With `may_overbook`, full ones that have room for that come last.
        """
        # Targets whose region is unknown are under the empty name.
        orders = self._orders.get(region, {}) if region else {}
        for full in (False, True) if may_overbook else (False,):
            for _, name in orders.get((version, full), ()):
                yield name

    def has_room(self, regions):
        """Return whether a target in some regions has room, if only for overbooking."""
        return any(
            any(self._orders.get(region, {}).values()) for region in regions if region
        )

    def count_outside(self, regions):
        """Return the number of targets that are not in these regions."""
        inside = sum(self.counts.get(region, 0) for region in regions if region)
        return sum(self.counts.values()) - inside
