"""Faults that tests switch on over HTTP."""

import threading
import time

__all__ = ["Faults"]


class Faults:
    """Named faults with numbers, each until a time on the monotonic clock."""

    __slots__ = ("_lock", "_set")

    def __init__(self):
        self._lock = threading.Lock()
        self._set = {}

    def apply(self, body):
        """Set faults from {"name": {"value": x, "seconds": s}}; null clears."""
        with self._lock:
            for name, fault in body.items():
                if fault is None:
                    self._set.pop(name, None)
                    continue
                seconds = fault.get("seconds", 1e9)
                until = time.monotonic() + seconds
                self._set[name] = (fault.get("value", 1), until)

    def value(self, name, default=0):
        """Return the number of an active fault, else `default`."""
        with self._lock:
            entry = self._set.get(name)
            if entry is None or time.monotonic() > entry[1]:
                return default
            return entry[0]
