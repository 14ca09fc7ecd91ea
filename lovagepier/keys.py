"""Keys of callers, operators and peers: stored as hashes, compared in constant time."""

import hashlib
import hmac

__all__ = ["bearer_token", "digest", "find_owner", "matches_any"]


def digest(key):
    """Return the SHA-256 digest of a key in lower-case hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_any(key, hashes):
    """Return whether the digest of `key` is among `hashes`.

    All of them are compared, each in constant time.
    """
    actual = digest(key)
    found = False
    for expected in hashes:
        found = hmac.compare_digest(actual, expected) or found
    return found


def find_owner(key, owner_by_hash):
    """Return the owner of `key` in {digest: owner}, or None.

    The lookup is by digest, so its duration reveals nothing about the key itself;
    the final comparison takes constant time.
    """
    actual = digest(key)
    for expected, owner in _candidates(actual, owner_by_hash):
        if hmac.compare_digest(actual, expected):
            return owner
    return None


def _candidates(actual, owner_by_hash):
    owner = owner_by_hash.get(actual)
    return [(actual, owner)] if owner is not None else []


def bearer_token(header):
    """Return the bearer token in an `Authorization` header, "" if there is none."""
    scheme, _, token = (header or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
