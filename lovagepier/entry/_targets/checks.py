"""Finds out why a target closed early or is silent: a crash, a lost path or neither."""

import asyncio

from lovagepier.entry._cluster.messages import TargetDown
from lovagepier.entry._targets.pool import ConnectFailed
from lovagepier.logs import component_logger

__all__ = ["TargetChecks"]

_log = component_logger("targets")


class TargetChecks:
    """Connects to a target once more after a request was lost there.

    `connector` is the `TargetConnector`, `put_idle(target, conn)` keeps a connection
    for reuse, `send(message)` sends a `TargetDown` to the coordinator.
    """

    __slots__ = ("_callbacks", "_connector", "_loop", "_put_idle", "_send", "_tasks")

    def __init__(self, connector, put_idle, send):
        self._connector = connector
        self._put_idle = put_idle
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._tasks = {}
        self._callbacks = {}

    def start(self, target, on_checked):
        """Check a target, once for all that ask while the check lasts.

        `on_checked(is_broken)` is called with whether only this host's path to the
        target is broken, before a crash is reported.
        """
        key = target.incarnation
        self._callbacks.setdefault(key, []).append(on_checked)
        if key not in self._tasks:
            self._tasks[key] = self._loop.create_task(self._check(target))

    async def _check(self, target):
        is_broken = False
        has_crashed = False
        try:
            conn = await self._connector.open(target)
        except ConnectFailed as exc:
            _log.info(
                "a target that broke off accepts no connection",
                target=target.id,
                why=str(exc),
                refused=exc.refused,
                unsure=exc.is_unsure,
            )
            has_crashed = exc.refused
            # No host can tell whose fault it is: it is not held against the target.
            is_broken = exc.is_unsure
        else:
            is_broken = bool(conn.via)
            if is_broken:
                conn.close()
            else:
                self._put_idle(target, conn)
        finally:
            del self._tasks[target.incarnation]
            for on_checked in self._callbacks.pop(target.incarnation):
                on_checked(is_broken)
        if has_crashed:
            self._send(TargetDown(target.service, target.id, target.incarnation))
