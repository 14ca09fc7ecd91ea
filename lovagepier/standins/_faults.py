"""Faults that tests inject over HTTP."""

import threading
import time

__all__ = ["Faults"]


class Faults:
    """The injected faults: a value for each name, which expires after some seconds."""

    __slots__ = ("_lock", "_faults")

    def __init__(self):
        self._lock = threading.Lock()
        self._faults = {}

    def apply(self, body):
        """Set faults from {"name": {"value": x, "seconds": s}}; null clears one.

        The value defaults to 1, the duration to unlimited.
        """
        with self._lock:
            for name, fault in body.items():
                if fault is None:
                    self._faults.pop(name, None)
                    continue
                seconds = fault.get("seconds", 1e9)
                until = time.monotonic() + seconds
                self._faults[name] = (fault.get("value", 1), until)

    def value(self, name, default=0):
        """Return the value of an active fault, otherwise `default`."""
        with self._lock:
            entry = self._faults.get(name)
            if entry is None or time.monotonic() > entry[1]:
                return default
            return entry[0]
