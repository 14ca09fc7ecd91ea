"""Rendezvous hashing: which of the live nodes owns a role, such as a pool."""

import xxhash

__all__ = ["choose_owner", "hash_fraction", "rank", "shard_of"]

_SCALE = 2.0**64


def _digest(text):
    return xxhash.xxh3_64_intdigest(text.encode())


def _score(role, name):
    return _digest(f"{role}\x00{name}")


def rank(role, names):
    """Return `names` ordered by preference for `role`, best first.

    Removing a name moves only the roles that it owned.
    """
    return sorted(names, key=lambda name: (-_score(role, name), name))


def choose_owner(role, names):
    """Return the preferred owner of `role`, or None if `names` is empty."""
    return max(names, key=lambda name: (_score(role, name), name), default=None)


def hash_fraction(text):
    """Hash `text` to a float in [0, 1), the same on every node."""
    return _digest(text) / _SCALE


def shard_of(text, count):
    """Hash `text` to a shard number in [0, count)."""
    return _digest(text) % count
