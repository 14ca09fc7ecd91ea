"""Listening sockets, opened as the first step of a start.

Callers that connect while the rest is still loading wait in the backlog; without
it they would be refused by a host that is about to serve. For this reason the
module imports nothing that is slow to load.
"""

import socket

from lovagepier.errors import UserError

__all__ = ["ACCEPT_BACKLOG", "accept_established", "open_sockets"]

# Connections that may wait to be accepted on each socket.
ACCEPT_BACKLOG = 512
# What the kernel holds for a connection that isn't read; it takes twice this. Otherwise
# the kernel lets the buffer grow to some megabytes. A path with a round trip of 16 ms
# still carries 8 MB/s.
RECEIVE_BUFFER_BYTES = 128 * 1024
_LISTEN_SETTINGS = (
    "callers_listen",
    "callers_directory",
    "callers_ready",
    "metrics_listen",
)


def open_sockets(cfg):
    """Return {settings attribute: non-blocking listening socket}.

    Raise `UserError` if an address can't be used.
    """
    return {
        name: _listen(name, getattr(cfg, name), cfg.host_memory_mb)
        for name in _LISTEN_SETTINGS
    }


def accept_established(sock):
    """Yield the established connections in the queue of a listening socket."""
    while True:
        try:
            accepted, _ = sock.accept()
        except OSError:
            return
        yield accepted


def _listen(name, address, has_bounds):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if has_bounds:
        # Accepted connections inherit it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    try:
        sock.bind(address)
        sock.listen(ACCEPT_BACKLOG)
    except OSError as exc:
        section, key = name.split("_", 1)
        host, port = address
        raise UserError(f"[{section}] {key} = {host}:{port} cannot be bound: {exc}")
    return sock
