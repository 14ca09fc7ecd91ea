"""Opens connections to targets and keeps idle ones for reuse."""

import asyncio

from lovagepier.entry._targets.conn import TargetConnection

__all__ = ["MAX_IDLE_PER_TARGET", "ConnectFailed", "TargetConnectionPool"]

# Idle connections kept to one target. Targets count those of all hosts against their
# bound on connections, and reset new ones beyond it.
MAX_IDLE_PER_TARGET = 2


class ConnectFailed(Exception):
    """No connection could be opened: nothing of the request was sent.

    `refused` tells whether the target's host refused the connection, `is_unsure`
    that the fault may be this host's: no other host could judge the target. If it
    `needs_others`, the host that judged reaches no target of the service at all.
    """

    def __init__(self, why, refused=False, is_unsure=False, needs_others=False):
        super().__init__(why)
        self.refused = refused
        self.is_unsure = is_unsure
        self.needs_others = needs_others


class TargetConnectionPool:
    """Opens connections and keeps idle ones for reuse, the latest used first.

    A connection is reused only for the same incarnation of its target. `opened`
    counts the attempts to connect.
    """

    __slots__ = ("_connect_timeout_s", "_idle", "opened")

    def __init__(self, connect_timeout_s):
        self._connect_timeout_s = connect_timeout_s
        self._idle = {}
        self.opened = 0

    def take_idle(self, target, request_id):
        """Remove and return a usable idle connection to a target, or None.

        It has not carried `request_id` before.
        """
        idle = self._idle.get((target.host, target.port, target.incarnation), [])
        for conn in reversed(list(idle)):
            if not conn.usable:
                idle.remove(conn)
                conn.close()
            elif not conn.has_carried(request_id):
                idle.remove(conn)
                return conn
        return None

    async def open(self, target):
        """Return a new connection to `target`; raise `ConnectFailed`."""
        conn = await self.connect(TargetConnection, target)
        conn.idle_since = asyncio.get_running_loop().time()
        return conn

    async def connect(self, make_protocol, target):
        """Connect a new protocol to `target` and return it; raise `ConnectFailed`."""
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                _, protocol = await loop.create_connection(
                    make_protocol, target.host, target.port
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            raise ConnectFailed(type(exc).__name__, refused)
        return protocol

    def put_idle(self, target, conn):
        """Keep a connection whose response was read to its end, for reuse.

        Beyond `MAX_IDLE_PER_TARGET` the one that was idle the longest is closed.
        """
        key = (target.host, target.port, target.incarnation)
        idle = self._idle.setdefault(key, [])
        idle.append(conn)
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.pop(0).close()

    def close_idle(self, target):
        """Close all idle connections to a target."""
        for conn in self._idle.pop((target.host, target.port, target.incarnation), ()):
            conn.close()

    def close_stale(self, incarnations):
        """Close idle connections that are too old or whose target is gone.

        `incarnations` are those of the current targets.
        """
        for key in list(self._idle):
            idle = self._idle[key]
            current = key[2] in incarnations
            for conn in [c for c in idle if not (current and c.usable)]:
                idle.remove(conn)
                conn.close()
            if not idle:
                del self._idle[key]
