"""Keys of callers, operators and peers: hashed at rest, compared safely."""

import hashlib
import hmac

__all__ = ["bearer_token", "digest", "find_owner", "matches_any"]


def digest(key):
    """Return the SHA-256 digest of a key in lower-case hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_any(key, hashes):
    """Return whether `key` has one of `hashes`, in constant time a hash."""
    actual = digest(key)
    found = False
    for expected in hashes:
        found = hmac.compare_digest(actual, expected) or found
    return found


def find_owner(key, owner_by_hash):
    """Return the owner of `key` in {digest: owner}, or None.

    The digest of the key is looked up, so the time taken tells nothing of
    the key itself; the compare guards the last step.
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
    """Return the token of an `Authorization` header, or an empty string."""
    scheme, _, token = (header or "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""
