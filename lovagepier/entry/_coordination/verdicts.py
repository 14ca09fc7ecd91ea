"""Verdicts on poison in the store, from where they return after a loss of all hosts."""

import json

import xxhash

from lovagepier import platform

__all__ = ["POISON_PREFIX", "Verdicts", "decode_verdict"]

POISON_PREFIX = "lovagepier/poison/"
# A verdict that the store does not show yet is written again after this.
REWRITE_INTERVAL_S = 2.0
# Verdicts written at one time, as the store's rate of writes is limited.
MAX_WRITES = 4


def _key(name):
    # Names of parts are the callers' and may be too long for a key.
    return POISON_PREFIX + xxhash.xxh3_128_hexdigest(name.encode())


def decode_verdict(key, value):
    """Return the poisonous name in a store entry; raise ValueError or KeyError.

    The key is made from the name, so an entry of another writer is unlikely to pass.
    """
    name = platform.load_document(value)["name"]
    if not isinstance(name, str) or _key(name) != key:
        raise platform.DocumentError("names another part than its key")
    return name


class Verdicts:
    """Keeps the store's verdicts and those of the detector alike.

    `write(key, value)` writes a key under a lease: verdicts age out of the store
    unless a coordinator remembers them.
    """

    __slots__ = ("_detector", "_view", "_write", "_written_at")

    def __init__(self, view, detector, write):
        self._view = view
        self._detector = detector
        self._write = write
        self._written_at = {}

    def read(self, now):
        """Merge the verdicts that the store holds."""
        self._detector.merge_poisoned(self._view.poisoned.values(), now)

    def write(self, now):
        """Write verdicts that the store lacks, a few at a time."""
        stored = set(self._view.poisoned.values())
        poisoned = self._detector.poisoned()
        missing = {name: None for name in poisoned if name not in stored}
        self._written_at = {
            name: at for name, at in self._written_at.items() if name in missing
        }
        due = [
            name
            for name in missing
            if now - self._written_at.get(name, float("-inf")) >= REWRITE_INTERVAL_S
        ]
        for name in due[:MAX_WRITES]:
            self._written_at[name] = now
            self._write(_key(name), json.dumps({"name": name}).encode())
