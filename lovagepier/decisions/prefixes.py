"""Where prompt prefixes are probably cached, from grants and late events."""

from collections import OrderedDict

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """A bounded guess of the prompt blocks each target holds.

    A grant counts as a cache entry at once; cache events add and remove.
    Events come late and with gaps, so every entry also ages out by the
    bound on blocks per target, oldest first.
    """

    __slots__ = ("_blocks_per_target", "_by_target", "_holders")

    def __init__(self, blocks_per_target=4096):
        self._blocks_per_target = blocks_per_target
        self._by_target = {}
        self._holders = {}

    def add(self, target, blocks):
        """Note that `target` holds `blocks`, most recently used last."""
        held = self._by_target.setdefault(target, OrderedDict())
        for block in blocks:
            held[block] = None
            held.move_to_end(block)
            self._holders.setdefault(block, set()).add(target)
        while len(held) > self._blocks_per_target:
            oldest, _ = held.popitem(last=False)
            self._unlink(target, oldest)

    def remove(self, target, blocks):
        """Note that `target` evicted `blocks`."""
        held = self._by_target.get(target)
        if held is None:
            return
        for block in blocks:
            if held.pop(block, self) is None:
                self._unlink(target, block)

    def forget(self, target):
        """Drop all that is known of `target`, after a restart or a gap."""
        for block in self._by_target.pop(target, ()):
            self._unlink(target, block)

    def resize(self, blocks_per_target):
        """Set how many blocks a target is believed to hold."""
        self._blocks_per_target = blocks_per_target

    def _unlink(self, target, block):
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.discard(target)
        if not holders:
            del self._holders[block]

    def hits(self, blocks):
        """Return {target: leading blocks held} for targets with any.

        Work is bounded by the length of the longest match.
        """
        found = {}
        for depth, block in enumerate(blocks, start=1):
            holders = self._holders.get(block)
            if not holders:
                break
            for target in holders:
                if found.get(target, 0) == depth - 1:
                    found[target] = depth
        return found
