"""Port numbers for processes on loopback."""

import itertools
import os
import socket

__all__ = ["free_port"]

# Below the ephemeral port range, so that no outgoing connection can take a port
# between the check here and its use.
MIN_PORT = 12_000
PORT_COUNT = 18_000
_offsets = itertools.count(os.getpid() * 211)


def free_port():
    """Return a free loopback port, a different one on each call."""
    while True:
        port = MIN_PORT + next(_offsets) % PORT_COUNT
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
