"""Choose which node carries a role, by weighted hashing over live nodes."""

import xxhash

__all__ = ["choose_owner", "rank", "shard_of", "hash_fraction"]

_SCALE = 2.0**64


def _digest(text):
    return xxhash.xxh3_64_intdigest(text.encode())


def _score(role, name):
    return _digest(f"{role}\x00{name}")


def rank(role, names):
    """Return `names` ordered by preference for `role`, best first.

    Removing a name moves only the duties that name carried.
    """
    return sorted(names, key=lambda name: (-_score(role, name), name))


def choose_owner(role, names):
    """Return the preferred node for `role`, or None without nodes."""
    return max(names, key=lambda name: (_score(role, name), name), default=None)


def hash_fraction(text):
    """Map `text` to a float in [0, 1), the same on every node."""
    return _digest(text) / _SCALE


def shard_of(text, count):
    """Map `text` to a shard number in [0, count)."""
    return _digest(text) % count
