"""Checks whether a target that broke off a response still accepts connections."""

import asyncio

from lovagepier.entry._messages import TargetDown
from lovagepier.entry._target_conn import ConnectFailed
from lovagepier.logs import component_logger

__all__ = ["TargetChecks"]

_log = component_logger("targets")


class TargetChecks:
    """Tells a crashed target from one that lost a single connection.

    `connections` is the `TargetConnectionPool`, `send(message)` sends a `TargetDown`
    to the coordinator.
    """

    __slots__ = ("_connections", "_loop", "_send", "_tasks")

    def __init__(self, connections, send):
        self._connections = connections
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._tasks = {}

    def start(self, target):
        """Check a target, unless this incarnation of it is being checked."""
        key = target.incarnation
        if key not in self._tasks:
            self._tasks[key] = self._loop.create_task(self._check(target))

    async def _check(self, target):
        try:
            conn = await self._connections.open(target)
        except ConnectFailed as exc:
            _log.info(
                "a target that broke off accepts no connection",
                target=target.id,
                why=str(exc),
                refused=exc.refused,
            )
            # Without an answer the target may only be cut off.
            if exc.refused:
                self._send(TargetDown(target.service, target.id, target.incarnation))
        else:
            self._connections.put_idle(target, conn)
        finally:
            del self._tasks[target.incarnation]
