"""What a process may hold for callers and targets, and which caller is refused first.

Load: many callers at once that send bodies of legal size and stop short of their end,
many open connections, and responses that aren't read.
"""

from dataclasses import dataclass

__all__ = ["MemoryAccount", "MemoryParts", "memory_parts", "refusal_rank"]

MIB = 1 << 20
# Parts of the machine's memory. The rest is for the program, what fragmentation costs
# and the kernel's buffers.
CALLERS_PART = 0.3
TARGETS_PART = 1 / 8
# Of the callers' part, connections may take so much, and so may bodies.
PURPOSE_SHARE = 0.75
# Two of the longest bodies, one of them in two copies while its parts are joined.
MIN_CALLERS_BYTES = 12 * MIB
# A target may take half of it, which is to hold the longest body.
MIN_TARGETS_BYTES = 8 * MIB
MAX_TARGETS_BYTES = 48 * MIB
# A body of which nothing came for this long is refused before those that still come.
STALL_S = 0.25


@dataclass(slots=True, frozen=True)
class MemoryParts:
    """The bytes that callers and targets may take.

    `purpose` is how much of the callers' part their connections, or their bodies, get.
    """

    callers: int
    purpose: int
    targets: int


def memory_parts(memory_bytes):
    """Return the `MemoryParts` of a machine."""
    callers = max(int(memory_bytes * CALLERS_PART), MIN_CALLERS_BYTES)
    targets = max(int(memory_bytes * TARGETS_PART), MIN_TARGETS_BYTES)
    return MemoryParts(
        callers, int(callers * PURPOSE_SHARE), min(targets, MAX_TARGETS_BYTES)
    )


class MemoryAccount:
    """The bytes held, by purpose: `connections`, `bodies` and `targets`.

    Connections and bodies share the callers' part, and neither can take all of it.
    """

    __slots__ = ("bodies", "connections", "parts", "targets")

    def __init__(self, parts):
        self.parts = parts
        self.bodies = 0
        self.connections = 0
        self.targets = 0

    def take_body(self, size):
        """Count `size` bytes of callers' bodies; return False if they don't fit."""
        if not self._has_room(self.bodies + size, size):
            return False
        self.bodies += size
        return True

    def take_connection(self, size):
        """Count a connection of `size` bytes; return False if it doesn't fit."""
        if not self._has_room(self.connections + size, size):
            return False
        self.connections += size
        return True

    def _has_room(self, of_purpose, size):
        if of_purpose > self.parts.purpose:
            return False
        return self.bodies + self.connections + size <= self.parts.callers


def refusal_rank(held, responses, tier, silent_s):
    """Return the rank of a body that is being received; the highest is refused first.

    Bodies that have stopped come first, then less urgent tiers, then who has sent most
    and was answered least.
    """
    return silent_s >= STALL_S, tier, held / (1 + responses)
