"""Port numbers for processes on loopback."""

import functools
import itertools
import os
import socket

__all__ = ["free_port"]

# Below the ephemeral port range, so that no outgoing connection can take a port
# between the check here and its use.
MIN_PORT = 12_000
PORT_COUNT = 18_000
# A process takes its ports from one block, which it reserves, so that runs beside each
# other can't take the same port between the check and its use either.
BLOCK_PORTS = 1_000
# Nothing else listens on this loopback address.
RESERVATION_HOST = "127.0.0.2"
_offsets = itertools.count()


@functools.cache
def _reserve_block(pid):
    """Return (first port, reservation) of a block that no other process has."""
    count = PORT_COUNT // BLOCK_PORTS
    for number in range(count):
        first = MIN_PORT + (pid + number) % count * BLOCK_PORTS
        sock = socket.socket()
        try:
            sock.bind((RESERVATION_HOST, first))
        except OSError:
            sock.close()
            continue
        return first, sock
    raise RuntimeError(f"all {count} blocks of ports are in use")


def free_port():
    """Return a free loopback port; it comes again after `BLOCK_PORTS` calls."""
    first, _ = _reserve_block(os.getpid())
    for _ in range(BLOCK_PORTS):
        port = first + next(_offsets) % BLOCK_PORTS
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise RuntimeError(f"no port of {first} to {first + BLOCK_PORTS - 1} is free")
