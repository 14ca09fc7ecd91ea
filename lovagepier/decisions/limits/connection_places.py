"""How many descriptors each listener's connections may take.

Load: more connections at once than the process may have descriptors, at any listener.
"""

import math

__all__ = ["connection_places"]

# Descriptors that the platform reserves for files.
RESERVED_FDS = 200
MIN_PLACES = 4
# Parts of the other descriptors, by listener. The rest, a third, is for targets, links
# to peers and the store. A coordinator has a link from each other host: with the 4,100
# descriptors of the smallest machines, 585 fit.
_PARTS = {
    "callers_listen": 0.41,
    "callers_directory": 0.08,
    "callers_ready": 0.02,
    "metrics_listen": 0.02,
    "peers_listen": 0.15,
}


def connection_places(max_fds):
    """Return {listener: connections that it may have}; unlimited if `max_fds` is 0."""
    if not max_fds:
        return dict.fromkeys(_PARTS, math.inf)
    usable = max(max_fds - RESERVED_FDS, 0)
    return {name: max(int(usable * part), MIN_PLACES) for name, part in _PARTS.items()}
