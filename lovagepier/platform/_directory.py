"""Directory lookups: which entry hosts a caller may use."""

import json
from urllib.parse import parse_qs, urlsplit

__all__ = ["decode_lookup", "encode_addresses"]

LOOKUP_PATH = "/resolve"


def decode_lookup(target):
    """Return (region, zone) of a lookup's request target, or None for another path.

    A missing query parameter gives an empty string.
    """
    try:
        parts = urlsplit(target)
    except ValueError:
        # Such as an unclosed bracket of an IPv6 address.
        return None
    if parts.path != LOOKUP_PATH:
        return None
    query = parse_qs(parts.query)
    return query.get("region", [""])[0], query.get("zone", [""])[0]


def encode_addresses(addresses, ttl_s):
    """Return the JSON body of a lookup's response.

    `addresses` are HOST:PORT texts; the caller may cache them for `ttl_s`.
    """
    return json.dumps({"addresses": addresses, "ttl_s": ttl_s}).encode()
