"""Tells a target that accepts no connection from a host that reaches no target."""

import asyncio

from lovagepier.entry._targets.pool import ConnectFailed

__all__ = ["TargetComparison"]

# How long another target may take to accept a connection.
COMPARISON_TIMEOUT_S = 0.1
MAX_COMPARED_TARGETS = 2


class TargetComparison:
    """Connects to other targets than one that could not be reached.

    `connections` is this host's `TargetConnectionPool`, `is_broken(incarnation)`
    tells whether it has lost its own path to a target.
    """

    def __init__(self, view, connections, is_broken):
        self._view = view
        self._connections = connections
        self._is_broken = is_broken
        self._loop = asyncio.get_running_loop()

    async def reaches_others(self, target):
        """Return whether this host reaches others (of the target's service, at all).

        If it doesn't, its own paths may be broken, and it can't judge this target.
        Where there are no others, it can.
        """
        others = [t for t in self._view.targets.values() if t.id != target.id]
        if not others:
            return True, True
        known = [t for t in others if not self._is_broken(t.incarnation)]
        alike = [t for t in known if t.service == target.service]
        different = [t for t in known if t.service != target.service]
        compared = alike[:MAX_COMPARED_TARGETS] + different[:MAX_COMPARED_TARGETS]
        tasks = {self._loop.create_task(self._try(t)): t for t in compared}
        reached = set()
        waiting = set(tasks)
        try:
            async with asyncio.timeout(COMPARISON_TIMEOUT_S):
                while waiting and target.service not in reached:
                    done, waiting = await asyncio.wait(
                        waiting, return_when=asyncio.FIRST_COMPLETED
                    )
                    reached |= {tasks[task].service for task in done if task.result()}
        except TimeoutError:
            pass
        finally:
            for task in waiting:
                task.cancel()
        return target.service in reached, bool(reached)

    async def _try(self, target):
        """Return whether a target accepts a connection; keep that for reuse."""
        try:
            conn = await self._connections.open(target)
        except ConnectFailed:
            return False
        self._connections.put_idle(target, conn)
        return True
