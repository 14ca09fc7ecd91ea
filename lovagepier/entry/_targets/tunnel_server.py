"""Connects other entry hosts to targets that they can't reach themselves."""

import asyncio

from lovagepier.entry._targets.comparison import TargetComparison
from lovagepier.entry._targets.pool import ConnectFailed
from lovagepier.entry._targets.tunnel_messages import (
    TunnelClosed,
    TunnelData,
    TunnelFlow,
    TunnelOpen,
    TunnelOpened,
)
from lovagepier.logs import component_logger

__all__ = ["MAX_TUNNEL_DATA_BYTES", "TunnelServer"]

# Tunnels of all hosts at a time; further ones go to another host.
MAX_TUNNELS = 200
MAX_TUNNEL_DATA_BYTES = 64 * 1024
# Reading from targets pauses while a link has more messages than this to send.
MAX_BACKLOG_MESSAGES = 64
BACKLOG_POLL_S = 0.02

_log = component_logger("targets")


class _TargetEnd(asyncio.Protocol):
    """The connection to a target at the end of one tunnel."""

    __slots__ = (
        "_link",
        "_loop",
        "_on_end",
        "_paused",
        "has_ended",
        "number",
        "transport",
    )

    def __init__(self, link, number, on_end):
        self._link = link
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        self.has_ended = False
        self._paused = False
        self.number = number
        self.transport = None

    def connection_made(self, transport):
        """Store the transport."""
        self.transport = transport

    def data_received(self, data):
        """Send the target's bytes to the other host."""
        for start in range(0, len(data), MAX_TUNNEL_DATA_BYTES):
            part = bytes(data[start : start + MAX_TUNNEL_DATA_BYTES])
            self._link.send(TunnelData(self.number, part))
        if self._link.backlog > MAX_BACKLOG_MESSAGES:
            self.transport.pause_reading()
            self._loop.call_later(BACKLOG_POLL_S, self._resume)

    def set_paused(self, paused):
        """Pause or resume on behalf of the other host."""
        self._paused = paused
        if paused:
            self.transport.pause_reading()
        else:
            self._resume()

    def _resume(self):
        if self.has_ended or self._paused:
            return
        if self._link.backlog > MAX_BACKLOG_MESSAGES:
            self._loop.call_later(BACKLOG_POLL_S, self._resume)
        else:
            self.transport.resume_reading()

    def eof_received(self):
        """Pass on the clean end of the target's bytes."""
        self._end("")

    def connection_lost(self, exc):
        """Pass on the loss of the connection."""
        self._end(f"reset: {exc}" if exc else "closed")

    def _end(self, why):
        if not self.has_ended:
            self.has_ended = True
            self._link.send(TunnelClosed(self.number, why))
            self._on_end(self)

    def abort(self):
        """Close at once without telling the other host, which has ended the tunnel."""
        self.has_ended = True
        self._on_end(self)
        self.transport.abort()


class TunnelServer:
    """The tunnels that other hosts opened through this one.

    `connections` is this host's `TargetConnectionPool`, `is_broken(incarnation)`
    tells whether it has lost its own path to a target, `is_paused(target)` whether that
    wants nothing from this host. While `is_stopping`, no tunnel is opened.
    """

    def __init__(self, view, connections, is_broken, is_paused):
        self._view = view
        self._connections = connections
        self._is_broken = is_broken
        self._is_paused = is_paused
        self._comparison = TargetComparison(view, connections, is_broken)
        self._loop = asyncio.get_running_loop()
        self._ends = {}
        self._opening = {}
        self.is_stopping = False

    @property
    def is_serving(self):
        """Whether any tunnel is open."""
        return bool(self._ends or self._opening)

    def on_message(self, link, message):
        """Handle a message about tunnels from an accepted link."""
        key = (link, message.number)
        if isinstance(message, TunnelOpen):
            if key not in self._opening and key not in self._ends:
                task = self._loop.create_task(self._open(link, message))
                self._opening[key] = task
            return
        end = self._ends.get(key)
        if isinstance(message, TunnelClosed):
            if key in self._opening:
                self._opening.pop(key).cancel()
            elif end is not None:
                end.abort()
        elif end is None:
            # Its end is on the way to the sender.
            return
        elif isinstance(message, TunnelData):
            end.transport.write(message.data)
        elif isinstance(message, TunnelFlow):
            end.set_paused(message.paused)

    def on_closed(self, link):
        """End the tunnels of a link that ended; their targets stop working."""
        for key in [key for key in self._opening if key[0] is link]:
            self._opening.pop(key).cancel()
        for key in [key for key in self._ends if key[0] is link]:
            self._ends[key].abort()

    async def _open(self, link, message):
        key = (link, message.number)
        try:
            answer = await self._connect(link, message)
        finally:
            self._opening.pop(key, None)
        link.send(answer)

    async def _connect(self, link, message):
        number = message.number
        target = self._view.target(message.target)
        if target is None or target.incarnation != message.incarnation:
            return TunnelClosed(number, "unknown target")
        if target.draining:
            return TunnelClosed(number, "the target is draining")
        if self._view.evacuations.holds(target):
            return TunnelClosed(number, "the target's zone is evacuated")
        if self._is_paused(target):
            return TunnelClosed(number, "the target wants nothing from this host")
        if self.is_stopping:
            return TunnelClosed(number, "the host is stopping")
        if len(self._ends) + len(self._opening) > MAX_TUNNELS:
            return TunnelClosed(number, "too many tunnels")
        if self._is_broken(target.incarnation):
            return TunnelClosed(number, "no path to the target")
        key = (link, number)

        def forget(end):
            self._ends.pop(key, None)

        try:
            end = await self._connections.connect(
                lambda: _TargetEnd(link, number, forget), target
            )
        except ConnectFailed as exc:
            alike, any_other = await self._comparison.reaches_others(target)
            _log.info(
                "could not connect another host to a target",
                host=message.host,
                target=target.id,
                why=str(exc),
                reaches_service=alike,
                reaches_others=any_other,
            )
            refused = any_other and exc.refused
            silent = any_other and not exc.refused
            return TunnelClosed(number, str(exc), refused, silent, alike)
        if end.has_ended:
            return TunnelClosed(number, "closed")
        self._ends[key] = end
        return TunnelOpened(number)
