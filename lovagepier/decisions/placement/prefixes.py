"""Index of the prompt prefixes that targets probably have cached."""

from collections import OrderedDict
from itertools import islice

__all__ = ["PrefixIndex"]

# A block counts as recently used if more than this fraction of the uses since the
# oldest block's came before its own last use.
RECENT_FRACTION = 0.5
# Targets examined per lookup.
MAX_HOLDERS = 8


class _TargetBlocks:
    """The blocks that one target probably holds, least recently used first.

    `clock` counts uses of blocks.
    """

    __slots__ = ("blocks", "clock")

    def __init__(self):
        self.blocks = OrderedDict()
        self.clock = 0

    def touch(self, block):
        self.clock += 1
        self.blocks[block] = self.clock
        self.blocks.move_to_end(block)

    def is_recent(self, block):
        """Return whether a block was used recently, compared with the oldest one."""
        oldest = next(iter(self.blocks.values()))
        edge = oldest + (self.clock - oldest) * RECENT_FRACTION
        return self.blocks[block] > edge


class PrefixIndex:
    """A bounded estimate of the prompt blocks that each target holds.

    A grant adds blocks at once; cache events add and remove blocks. Events arrive
    late, and some are lost. Targets evict the least recently used block, so the
    eviction of a block also removes all blocks used before it, which makes up for
    lost events. An eviction of a recently used block is outdated and ignored.
    """

    __slots__ = ("_blocks_per_target", "_by_target", "_holders")

    def __init__(self, blocks_per_target=4096):
        self._blocks_per_target = blocks_per_target
        self._by_target = {}
        self._holders = {}

    def add(self, target, blocks):
        """Record that `target` holds `blocks`, most recently used last."""
        if not blocks:
            return
        held = self._by_target.setdefault(target, _TargetBlocks())
        for block in blocks:
            held.touch(block)
            self._holders.setdefault(block, set()).add(target)
        while len(held.blocks) > self._blocks_per_target:
            self._drop_oldest(target, held)

    def remove(self, target, blocks):
        """Record that `target` evicted `blocks`."""
        held = self._by_target.get(target)
        if held is None:
            return
        for block in blocks:
            if block not in held.blocks or held.is_recent(block):
                continue
            while self._drop_oldest(target, held) != block:
                pass

    def forget(self, target):
        """Drop all blocks of `target`, for example after its restart."""
        held = self._by_target.pop(target, None)
        for block in held.blocks if held else ():
            self._unlink(target, block)

    def _drop_oldest(self, target, held):
        block, _ = held.blocks.popitem(last=False)
        self._unlink(target, block)
        return block

    def _unlink(self, target, block):
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.discard(target)
        if not holders:
            del self._holders[block]

    def hits(self, blocks):
        """Return {target: number of leading blocks held} for some targets.

        These are the holders of the deepest blocks: all targets may hold the first
        one, a prompt that every request shares, but few the rest. At most
        `MAX_HOLDERS` are examined, so the cost doesn't grow with the pool.
        """
        found = {}
        examined = set()
        for block in reversed(blocks):
            for target in islice(self._holders.get(block, ()), MAX_HOLDERS):
                if target in examined:
                    continue
                if len(examined) == MAX_HOLDERS:
                    return found
                examined.add(target)
                depth = self.depth(target, blocks)
                if depth:
                    found[target] = depth
        return found

    def depth(self, target, blocks):
        """Return the number of leading blocks that one target holds."""
        held = self._by_target.get(target)
        if held is None:
            return 0
        depth = 0
        for block in blocks:
            if block not in held.blocks:
                break
            depth += 1
        return depth
