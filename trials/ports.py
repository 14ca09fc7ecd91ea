"""Ports of the loopback address."""

import itertools
import os
import socket

__all__ = ["free_port"]

# Below the range that the system draws outgoing ports from, so that no
# connection can take a port between the look here and its use.
FIRST_PORT = 12_000
PORTS = 18_000
_numbers = itertools.count(os.getpid() * 211)


def free_port():
    """Return a loopback port that is free and given out only once."""
    while True:
        port = FIRST_PORT + next(_numbers) % PORTS
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
