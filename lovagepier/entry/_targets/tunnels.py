"""Connections to targets through other entry hosts."""

import asyncio
import itertools

from lovagepier.entry._cluster.links import dial
from lovagepier.entry._targets.conn import TargetConnection
from lovagepier.entry._targets.pool import ConnectFailed
from lovagepier.entry._targets.tunnel_messages import (
    TunnelClosed,
    TunnelData,
    TunnelFlow,
    TunnelOpen,
    TunnelOpened,
)
from lovagepier.entry._targets.tunnel_server import MAX_TUNNEL_DATA_BYTES

__all__ = ["HostUnreachable", "Tunnels"]

# The other host connects within 0.3 s and then compares with another target.
OPEN_TIMEOUT_S = 0.45
# A link without tunnels is closed after this time.
MAX_IDLE_LINK_S = 10.0
# One with tunnels is closed if its host was not live for this time. While the
# coordinator changes, a stopping host may be missing for a moment.
MAX_MISSING_S = 1.0


class HostUnreachable(Exception):
    """The host that should connect to a target could not be asked."""


class _Tunnel(asyncio.Transport):
    """The transport of a `TargetConnection` through another host.

    `opened` is done once the other host is connected, or failed with `ConnectFailed`.
    """

    def __init__(self, link, number, protocol):
        super().__init__()
        self._protocol = protocol
        self._closing = False
        self.link = link
        self.number = number
        self.opened = asyncio.get_running_loop().create_future()

    def write(self, data):
        """Send bytes to the target."""
        if self._closing:
            return
        for start in range(0, len(data), MAX_TUNNEL_DATA_BYTES):
            part = bytes(data[start : start + MAX_TUNNEL_DATA_BYTES])
            self.link.send(TunnelData(self.number, part))

    def pause_reading(self):
        """Ask the other host to read no more from the target."""
        self.link.send(TunnelFlow(self.number, True))

    def resume_reading(self):
        """Ask the other host to read from the target again."""
        self.link.send(TunnelFlow(self.number, False))

    def get_write_buffer_size(self):
        """Return 0: written bytes are the link's at once."""
        return 0

    def is_closing(self):
        """Return whether either side has ended the tunnel."""
        return self._closing

    def close(self):
        """End the tunnel; the other host closes its connection."""
        self.abort()

    def abort(self):
        """End the tunnel; the other host closes its connection."""
        if not self._closing:
            self._closing = True
            self.link.send(TunnelClosed(self.number, "closed here"))
            self._protocol.connection_lost(None)

    def on_opened(self):
        """Hand the tunnel to its protocol."""
        if not self.opened.done():
            self._protocol.connection_made(self)
            self.opened.set_result(self._protocol)

    def on_data(self, data):
        """Pass the target's bytes to the protocol."""
        if not self._closing:
            self._protocol.data_received(data)

    def on_closed(self, message):
        """Pass the end of the tunnel to whoever waits for it."""
        self._closing = True
        if not self.opened.done():
            self.opened.set_exception(_failure(message))
            return
        if not message.why:
            self._protocol.eof_received()
            self._protocol.connection_lost(None)
        else:
            self._protocol.connection_lost(ConnectionError(message.why))


def _failure(message):
    is_unsure = not (message.refused or message.silent)
    needs_others = not is_unsure and not message.is_sure
    return ConnectFailed(message.why, message.refused, is_unsure, needs_others)


class Tunnels:
    """Opens tunnels on links of their own, one to each host that is asked.

    `host_name` is this host's; `find_address(name)` returns the (address, port) at
    which a host accepts links, or None, `find_format(name)` its format, 0 if unknown.
    `counts` are the `LinkCounts`.
    """

    def __init__(self, host_name, find_address, find_format, counts):
        self._host_name = host_name
        self._find_address = find_address
        self._find_format = find_format
        self._counts = counts
        self._loop = asyncio.get_running_loop()
        self._numbers = itertools.count(1)
        self._links = {}
        self._dialing = {}
        self._idle_since = {}
        self._missing_since = {}
        self._tunnels = {}

    async def open(self, host, target):
        """Return a connection to `target` through `host`.

        Raise `ConnectFailed` if that can't connect, `HostUnreachable` if it is silent.
        """
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                link = await self._link_to(host)
                if link is None:
                    raise HostUnreachable("no link to it")
                return await self._open_on(link, target)
        except TimeoutError:
            raise HostUnreachable("no answer")

    def tell(self, host, message):
        """Send a message to a host that this one has tunnels through."""
        link = self._links.get(host)
        if link is not None:
            link.send(message)

    async def _open_on(self, link, target):
        conn = TargetConnection()
        conn.is_reusable = False
        conn.via = link.peer
        tunnel = _Tunnel(link, next(self._numbers), conn)
        self._tunnels[tunnel.number] = tunnel
        try:
            is_sent = link.send(
                TunnelOpen(
                    tunnel.number, self._host_name, target.id, target.incarnation
                )
            )
            if not is_sent:
                raise HostUnreachable("its build opens no tunnels")
            await tunnel.opened
        except BaseException:
            tunnel.abort()
            self._tunnels.pop(tunnel.number, None)
            raise
        conn.idle_since = self._loop.time()
        return conn

    async def _link_to(self, host):
        link = self._links.get(host)
        if link is not None and link.is_open:
            return link
        waiting = self._dialing.get(host)
        if waiting is None:
            waiting = self._dialing[host] = self._loop.create_task(self._dial(host))
        return await asyncio.shield(waiting)

    async def _dial(self, host):
        """Return a new link to a host once it is open, None if it can't be opened."""
        opened = self._loop.create_future()

        def on_open(link):
            link.peer = host
            link.expect_format(self._find_format(host))
            self._links[host] = link
            opened.set_result(link)

        try:
            address = self._find_address(host)
            if address is None:
                return None
            running = self._loop.create_task(
                dial(
                    address,
                    on_open,
                    self._on_message,
                    self._on_link_closed,
                    self._counts,
                )
            )
            await asyncio.wait((opened, running), return_when=asyncio.FIRST_COMPLETED)
        finally:
            self._dialing.pop(host, None)
        return opened.result() if opened.done() else None

    def _on_message(self, link, message):
        tunnel = self._tunnels.get(getattr(message, "number", None))
        if tunnel is None or tunnel.link is not link:
            return
        if isinstance(message, TunnelOpened):
            tunnel.on_opened()
        elif isinstance(message, TunnelData):
            tunnel.on_data(message.data)
        elif isinstance(message, TunnelClosed):
            del self._tunnels[tunnel.number]
            tunnel.on_closed(message)

    def _on_link_closed(self, link):
        if self._links.get(link.peer) is link:
            del self._links[link.peer]
        for tunnel in self._tunnels_of(link):
            del self._tunnels[tunnel.number]
            tunnel.on_closed(TunnelClosed(tunnel.number, "the link ended"))

    def _tunnels_of(self, link):
        return [t for t in self._tunnels.values() if t.link is link]

    def has_links(self):
        """Return whether there is any link to a host for tunnels."""
        return bool(self._links)

    def close_unused(self, live_names):
        """Close links to hosts that are gone, and those without tunnels for long."""
        now = self._loop.time()
        for tunnel in [t for t in self._tunnels.values() if t.is_closing()]:
            self._tunnels.pop(tunnel.number, None)
        for host in self._missing_since.keys() & live_names:
            del self._missing_since[host]
        for host, link in list(self._links.items()):
            has_tunnels = bool(self._tunnels_of(link))
            if host not in live_names:
                since = self._missing_since.setdefault(host, now)
                if not has_tunnels or now - since >= MAX_MISSING_S:
                    del self._missing_since[host]
                    link.close()
            elif has_tunnels:
                self._idle_since.pop(host, None)
            elif now - self._idle_since.setdefault(host, now) >= MAX_IDLE_LINK_S:
                self._idle_since.pop(host, None)
                link.close()
