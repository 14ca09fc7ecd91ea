"""Bounds the memory for the bodies of targets' responses, over all requests."""

import asyncio
import os
from collections import deque

from lovagepier.decisions.limits.byte_budget import ByteBudget
from lovagepier.logs import component_logger

__all__ = ["FREE_BYTES", "BodyMemory", "Reservation", "default_capacity"]

# A body of this size needs no reservation.
FREE_BYTES = 16 * 1024
# The part of the machine's memory that longer bodies may take, within these bounds.
MEMORY_FRACTION = 1 / 6
MIN_CAPACITY_BYTES = 8 * 1024 * 1024
MAX_CAPACITY_BYTES = 48 * 1024 * 1024
# The part of it that one target's bodies may take.
TARGET_SHARE = 0.5

_log = component_logger("targets")


def default_capacity():
    """Return the bytes for bodies on this machine."""
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    wanted = int(memory * MEMORY_FRACTION)
    return min(max(wanted, MIN_CAPACITY_BYTES), MAX_CAPACITY_BYTES)


class BodyMemory:
    """Grants reservations in the order in which they are asked for, by target.

    A body that has none is not read further than `FREE_BYTES`, so its target has to
    wait. The process's `MemoryAccount` shows what is reserved. Each reservation is for
    a whole body: those that have one can always end.
    """

    __slots__ = ("_account", "_budget", "_loop", "_waiting")

    def __init__(self, capacity=None, account=None):
        self._account = account
        self._budget = ByteBudget(capacity or default_capacity(), TARGET_SHARE)
        self._loop = asyncio.get_running_loop()
        self._waiting = {}

    @property
    def held(self):
        """The bytes that are reserved now."""
        return self._budget.held

    @property
    def waiting_count(self):
        """Number of bodies that wait for a reservation."""
        return sum(
            not granted.cancelled()
            for waiting in self._waiting.values()
            for granted, _ in waiting
        )

    def reservation(self, owner, request_id):
        """Return an empty `Reservation` for the bodies of one request."""
        return Reservation(self, owner, request_id)

    def _reserve(self, owner, size):
        if not self._budget.take(owner, size):
            return False
        if self._account is not None:
            self._account.targets += size
        return True

    def _unreserve(self, owner, size):
        self._budget.give_back(owner, size)
        if self._account is not None:
            self._account.targets -= size

    async def _take(self, owner, size):
        """Wait until `size` bytes are reserved; return whether that took a while."""
        if owner not in self._waiting and self._reserve(owner, size):
            return False
        granted = self._loop.create_future()
        self._waiting.setdefault(owner, deque()).append((granted, size))
        try:
            await granted
        except asyncio.CancelledError:
            if not granted.cancelled():
                self._unreserve(owner, size)
            self._grant_waiting()
            raise
        return True

    def _give_back(self, owner, size):
        self._unreserve(owner, size)
        self._grant_waiting()

    def _grant_waiting(self):
        for owner, waiting in list(self._waiting.items()):
            while waiting:
                granted, size = waiting[0]
                if not granted.cancelled():
                    if not self._reserve(owner, size):
                        break
                    granted.set_result(None)
                waiting.popleft()
            if not waiting:
                del self._waiting[owner]


class Reservation:
    """The `size` bytes reserved for one request; `has_waited` if any had to wait."""

    __slots__ = ("_memory", "_owner", "_request_id", "has_waited", "size")

    def __init__(self, memory, owner, request_id):
        self._memory = memory
        self._owner = owner
        self._request_id = request_id
        self.has_waited = False
        self.size = 0

    async def grow_to(self, size):
        """Wait until `size` bytes are reserved, or as many as one target may have."""
        size = min(size, self._memory._budget.largest)
        missing = size - self.size
        if missing <= 0:
            return
        if await self._memory._take(self._owner, missing):
            if not self.has_waited:
                _log.info(
                    "a body waited for memory",
                    request=self._request_id,
                    target=self._owner,
                    bytes=missing,
                    held=self._memory.held,
                )
            self.has_waited = True
        self.size = size

    def release(self):
        """Give all bytes back."""
        size, self.size = self.size, 0
        if size:
            self._memory._give_back(self._owner, size)
