"""The recent events of one process, kept in memory for operators."""

import itertools
import threading
import time
from collections import deque

__all__ = ["Timeline", "merge_events"]

MAX_EVENTS = 20_000


class Timeline:
    """The last `MAX_EVENTS` events with wall-clock time and sequence number.

    Each event names the component, what happened, why, and the request or
    rollout ("move") that it belongs to. API keys and bodies must not be added.
    """

    def __init__(self, node, wall=time.time):
        self._node = node
        self._wall = wall
        self._events = deque(maxlen=MAX_EVENTS)
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()

    def add(self, component, event, why="", request="", move="", **facts):
        """Add one event; further keyword arguments become its facts."""
        entry = {
            "at": self._wall(),
            "node": self._node,
            "part": component,
            "event": event,
        }
        for name, value in (("why", why), ("request", request), ("move", move)):
            if value:
                entry[name] = value
        if facts:
            entry["facts"] = facts
        with self._lock:
            entry["number"] = next(self._numbers)
            self._events.append(entry)

    def find(self, request="", move="", since=0.0, limit=1000):
        """Return the newest matching events, oldest of them first.

        `request` matches the end of a request id, `since` is in Unix seconds.
        """
        with self._lock:
            events = list(self._events)
        found = [
            event
            for event in events
            if event["at"] >= since
            and (not request or event.get("request", "").endswith(request))
            and (not move or event.get("move") == move)
        ]
        return found[-limit:]


def merge_events(lists):
    """Merge the events of several processes by time, without duplicates."""
    seen = {}
    for events in lists:
        for event in events:
            seen[(event["node"], event["number"])] = event
    return sorted(seen.values(), key=lambda e: (e["at"], e["node"], e["number"]))
