"""The open connections of callers: their places, their memory, and which one is closed.

A connection is closed for another one before the process runs out of descriptors or
memory.
"""

import asyncio
import os
from itertools import islice

from lovagepier.decisions.limits.connection_places import connection_places
from lovagepier.decisions.limits.memory_account import (
    MemoryAccount,
    memory_parts,
    refusal_rank,
)
from lovagepier.logs import component_logger

__all__ = ["CallerConnections", "memory_account"]

# What a connection takes: 10 KB were measured for an idle one, and the rest is for
# bytes that wait to be parsed or sent.
CONNECTION_BYTES = 16 * 1024
# Bodies among which the one to refuse is chosen, the oldest first: a choice among all
# would let a caller make the host compare thousands for each part that it sends.
MAX_COMPARED = 64

_log = component_logger("callers")


def memory_account(memory_mb):
    """Return the process's `MemoryAccount`; 0 stands for the memory of the machine."""
    size = int(memory_mb * 1024 * 1024)
    if not size:
        size = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return MemoryAccount(memory_parts(size))


class CallerConnections:
    """All open connections, by listener, and what they hold of the `account`.

    `is_short()` tells whether responses wait for memory that others hold.
    """

    __slots__ = (
        "_by_listener",
        "_is_short",
        "_loop",
        "_metrics",
        "_places",
        "_receiving",
        "account",
    )

    def __init__(self, cfg, account, metrics, is_short):
        self._loop = asyncio.get_running_loop()
        self._metrics = metrics
        self._is_short = is_short
        self._places = connection_places(int(cfg.host_max_fds))
        self._by_listener = {name: _Listener() for name in self._places}
        # Ordered by when they began to receive a body.
        self._receiving = {}
        self.account = account

    def __iter__(self):
        for listener in self._by_listener.values():
            yield from listener.conns

    def __len__(self):
        return sum(len(listener.conns) for listener in self._by_listener.values())

    @property
    def is_short(self):
        """Whether a reader that takes nothing keeps others from their responses."""
        return self._is_short()

    def count_closed(self, why, conn=None):
        """Count and log a connection that this host closes for a caller's conduct."""
        self._metrics.count(f"connections_closed_{why.replace('-', '_')}")
        _log.info(
            "closed a caller's connection",
            why=why,
            listener=conn.listener if conn else "",
            bytes=conn.held if conn else 0,
            responses=conn.responses if conn else 0,
            open=len(self),
        )

    # Places

    def add(self, conn):
        """Add a new connection; return False if there is no place for it."""
        listener = self._by_listener[conn.listener]
        while len(listener.conns) >= self._places[conn.listener]:
            if not self._close_one(listener):
                self.count_closed("no-place", conn)
                return False
        while not self.account.take_connection(CONNECTION_BYTES):
            if not self._refuse_a_body() and not self._close_one(listener):
                self.count_closed("no-place", conn)
                return False
        listener.conns[conn] = None
        listener.unanswered[conn] = None
        return True

    def _refuse_a_body(self):
        """Refuse the body that comes first; return whether any was refused for it."""
        victim = self._first_to_refuse(None)
        if victim is None:
            return False
        victim.refuse_body()
        return True

    def _close_one(self, listener):
        """Close the connection that was idle longest; return whether there was one.

        Those that never got an answer come first, those that still send a body last.
        """
        for conns in (listener.unanswered, listener.idle, listener.receiving):
            conn = next(iter(conns), None)
            if conn is not None:
                self.count_closed("evicted", conn)
                conn.abort()
                self.discard(conn)
                return True
        return False

    def discard(self, conn):
        """Remove a connection and give back what it holds."""
        listener = self._by_listener[conn.listener]
        if conn not in listener.conns:
            return
        del listener.conns[conn]
        self.account.connections -= CONNECTION_BYTES
        self.give_back(conn)
        listener.forget(conn)
        self._receiving.pop(conn, None)

    def mark_busy(self, conn):
        """Note that a request of a connection is being served."""
        self._by_listener[conn.listener].forget(conn)

    def mark_receiving(self, conn):
        """Note that a connection receives a body."""
        self._receiving[conn] = None
        self._by_listener[conn.listener].receiving[conn] = None

    def mark_received(self, conn):
        """Note that a connection no longer receives a body."""
        self._receiving.pop(conn, None)
        self._by_listener[conn.listener].receiving.pop(conn, None)

    def mark_idle(self, conn):
        """Note that a connection waits for its next request."""
        listener = self._by_listener[conn.listener]
        self.mark_received(conn)
        if conn in listener.conns:
            listener.idle[conn] = None

    # Memory

    def take(self, conn, size):
        """Take `size` bytes for a connection's body; return False if they don't fit.

        If the callers' part is used up, a body that comes before this one by
        `refusal_rank` is refused for it.
        """
        while not self.account.take_body(size):
            victim = self._first_to_refuse(conn)
            if victim is None:
                return False
            victim.refuse_body()
        conn.held += size
        return True

    def _first_to_refuse(self, conn):
        now = self._loop.time()

        def rank(each):
            return refusal_rank(
                each.held, each.responses, each.tier, now - each.received_at
            )

        rows = [each for each in islice(self._receiving, MAX_COMPARED) if each.held]
        victim = max(rows, key=rank, default=None)
        if victim is None or conn is None:
            return victim
        if victim is conn or rank(victim) <= rank(conn):
            return None
        return victim

    def give_back(self, conn):
        """Give back all that a connection took for bodies."""
        self.account.bodies -= conn.held
        conn.held = 0


class _Listener:
    """The connections of one listener, in the order in which they came to a state."""

    __slots__ = ("conns", "idle", "receiving", "unanswered")

    def __init__(self):
        self.conns = {}
        self.idle = {}
        self.receiving = {}
        self.unanswered = {}

    def forget(self, conn):
        self.unanswered.pop(conn, None)
        self.idle.pop(conn, None)
        self.receiving.pop(conn, None)
