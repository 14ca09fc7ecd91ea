"""Choose which node carries a duty, by weighted hashing over live nodes."""

import xxhash

__all__ = ["choose_home", "rank", "shard_of", "stable_draw"]

_SCALE = 2.0**64


def _digest(text):
    return xxhash.xxh3_64_intdigest(text.encode())


def _score(duty, name):
    return _digest(f"{duty}\x00{name}")


def rank(duty, names):
    """Return `names` ordered by preference for `duty`, best first.

    Removing a name moves only the duties that name carried.
    """
    return sorted(names, key=lambda name: (-_score(duty, name), name))


def choose_home(duty, names):
    """Return the preferred node for `duty`, or None without nodes."""
    return max(names, key=lambda name: (_score(duty, name), name), default=None)


def stable_draw(text):
    """Map `text` to a float in [0, 1), the same on every node."""
    return _digest(text) / _SCALE


def shard_of(text, count):
    """Map `text` to a shard number in [0, count)."""
    return _digest(text) % count
