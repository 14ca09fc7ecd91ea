"""The targets that one call must not be granted again."""

import asyncio

__all__ = ["Exclusions"]

# How long a call waits for the views of its host and the coordinator to agree; the
# wait doubles each time.
FIRST_VIEW_WAIT_S = 0.02
MAX_VIEW_WAITS = 4


class Exclusions:
    """Targets that a call was sent to, or that this host can't send it to.

    Some are excluded because this host and the coordinator know different
    incarnations of them. One of the two views of the store is late then, usually by
    milliseconds.
    """

    __slots__ = ("_mismatched", "_names", "_waits")

    def __init__(self):
        self._names = set()
        self._mismatched = set()
        self._waits = 0

    def names(self):
        """Return the excluded targets in order."""
        return sorted(self._names | self._mismatched)

    def add(self, name):
        """Exclude a target for the rest of the call."""
        self._names.add(name)

    def discard(self, name):
        """Allow a target again."""
        self._names.discard(name)

    def add_mismatched(self, name):
        """Exclude a target whose incarnation the coordinator sees differently."""
        self._mismatched.add(name)

    async def wait_for_views(self):
        """Allow the targets again whose views differed, after a short wait.

        Return whether there were any, False after too many waits.
        """
        if not self._mismatched or self._waits >= MAX_VIEW_WAITS:
            return False
        await asyncio.sleep(FIRST_VIEW_WAIT_S * 2**self._waits)
        self._waits += 1
        self._mismatched.clear()
        return True
