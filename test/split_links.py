"""Links between the hosts of a fleet of processes, cut and joined again."""

import asyncio
import contextlib
import json
import os
import socket
import struct

from lovagepier.entry._store.view import HOST_PREFIX
from trials.proxy import Proxy
from trials.soak_fleet import LeasedStore

__all__ = ["SplitStore"]

# Of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
ANY = 0xFFFFFFFF
INODE_OFFSET = 84


class SplitStore(LeasedStore):
    """A store that registers hosts with the addresses of proxies to them.

    All links between hosts go through these. `hosts` are the `HostProcess`es.
    """

    def __init__(self, hosts):
        super().__init__()
        self._hosts = hosts
        self._links = {}

    async def write(self, key, value, lease=0):
        """Write an item; a registration states the proxy's address instead."""
        if key.startswith(HOST_PREFIX):
            raw = json.loads(value)
            port = int(raw["peers"].rpartition(":")[2])
            if raw["name"] not in self._links:
                self._links[raw["name"]] = await _LinkProxy(self._hosts).start(port)
            raw["peers"] = f"127.0.0.1:{self._links[raw['name']].port}"
            value = json.dumps(raw).encode()
        await super().write(key, value, lease)

    def cut(self, side, how):
        """Cut the links between a side's hosts (names) and the others.

        With `how` "reset" connections are aborted and refused; with "silent" their
        bytes wait until `join`.
        """
        for name, link in self._links.items():
            for dialer, proxy in link.by_dialer.items():
                if (name in side) == (dialer in side):
                    continue
                if how == "silent":
                    proxy.silence("to", "from")
                else:
                    proxy.is_refusing = True
                    proxy.reset()

    def join(self):
        """Restore all links."""
        for link in self._links.values():
            for proxy in link.by_dialer.values():
                proxy.restore()

    async def close_links(self):
        """Close the proxies."""
        for link in self._links.values():
            await link.close()


class _LinkProxy:
    """The proxy to one host, in parts: one for each host that may dial it."""

    def __init__(self, hosts):
        self._hosts = hosts
        self._server = None
        self.by_dialer = {host.name: Proxy() for host in hosts}
        self.port = None

    async def start(self, target_port):
        for proxy in self.by_dialer.values():
            proxy.target_port = target_port
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        pids = {h.process.pid: h.name for h in self._hosts if h.process is not None}
        sport = writer.get_extra_info("peername")[1]
        dialer = pids.get(_owner(sport, self.port, pids))
        if dialer is None:
            # It has closed the connection by now.
            writer.transport.abort()
            return
        await self.by_dialer[dialer].accept(reader, writer)

    async def close(self):
        self._server.close()
        for proxy in self.by_dialer.values():
            proxy.reset()


def _owner(sport, dport, pids):
    """Return which process has the loopback connection between two ports, or None."""
    try:
        inode = _socket_inode(sport, dport)
    except OSError:
        # A system without socket diagnosis.
        inode = _listed_inode(sport, dport)
    name = f"socket:[{inode}]"
    return next((pid for pid in pids if name in _open_files(pid)), None)


def _socket_inode(sport, dport):
    """Return the inode of the socket at the dialing end, 0 if there is none.

    The kernel is asked (sock_diag(7)), as /proc/net/tcp has many thousand rows after
    a few tests.
    """
    address = socket.inet_aton("127.0.0.1") + bytes(12)
    ports = struct.pack("!HH", sport, dport)
    family = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ANY)
    body = family + ports + 2 * address + struct.pack("=III", 0, ANY, ANY)
    head = struct.pack("=IHHII", 16 + len(body), SOCK_DIAG_BY_FAMILY, 1, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        sock.send(head + body)
        answer = sock.recv(4096)
    if struct.unpack_from("=H", answer, 4)[0] != SOCK_DIAG_BY_FAMILY:
        return 0
    return struct.unpack_from("=I", answer, INODE_OFFSET)[0]


def _listed_inode(sport, dport):
    """Return the same from the kernel's list of all connections."""
    loopback = struct.unpack("=I", socket.inet_aton("127.0.0.1"))[0]
    wanted = [f"{loopback:08X}:{port:04X}" for port in (sport, dport)]
    with open("/proc/net/tcp", encoding="ascii") as rows:
        for row in rows:
            fields = row.split()
            if fields[1:3] == wanted:
                return int(fields[9])
    return 0


def _open_files(pid):
    """Yield the names of a process's open files, none if it has ended."""
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(FileNotFoundError):
        for number in os.listdir(folder):
            # It may have been closed meanwhile.
            with contextlib.suppress(FileNotFoundError):
                yield os.readlink(f"{folder}/{number}")
