"""The store's entries that register entry hosts."""

import json

from lovagepier import platform
from lovagepier.entry.store_types import HostRecord
from lovagepier.frames import FORMAT

__all__ = ["HOST_PREFIX", "decode_host", "encode_host"]

HOST_PREFIX = "lovagepier/hosts/"
# No host states a higher capacity score.
MAX_CAPACITY_SCORE = 1000
# No build has a higher format.
MAX_FORMAT = 999_999


def encode_host(name, peer_address, capacity_score=0):
    """Return the value of the store entry that registers an entry host."""
    return json.dumps(
        {
            "name": name,
            "peers": peer_address,
            "power": capacity_score,
            "format": FORMAT,
        }
    ).encode()


def decode_host(item):
    """Return the `HostRecord` in a store `Item`; raise `DocumentError`."""
    raw = platform.load_document(item.value)
    name, _, boot = item.key[len(HOST_PREFIX) :].rpartition(".")
    if platform.read_text(raw, "name") != platform.read_name(name):
        raise platform.DocumentError("names another host than its key")
    host, port = platform.decode_address(raw["peers"])
    if ":" in host:
        raise platform.DocumentError("links are opened to IPv4 addresses only")
    return HostRecord(
        name=name,
        peer_address=f"{host}:{port}",
        create_revision=item.create_revision,
        capacity_score=platform.read_whole(raw, "power", 0, MAX_CAPACITY_SCORE),
        boot=platform.read_name(boot),
        # Builds up to format 4 don't state theirs.
        format=platform.read_whole({"format": 0, **raw}, "format", 0, MAX_FORMAT),
    )
