"""Measures how late the event loop runs, and logs what blocks it."""

import sys
import threading
import time
import traceback

from lovagepier.logs import component_logger

__all__ = ["LoopMonitor"]

# Peers take a host for lost after a second without a message.
MAX_LAG_S = 0.5
CHECK_INTERVAL_S = 0.5
# Innermost calls named in the log line of a blocked loop.
MAX_LOGGED_CALLS = 4

_log = component_logger("node")


class LoopMonitor:
    """Watches the event loop of the thread that creates it.

    `metrics` gets the lag of each tick as `loop_lag`. While a tick is overdue by more
    than `MAX_LAG_S`, a thread logs what the loop runs, once for each tick. Code in C
    that keeps the interpreter's lock can't be named: the line comes after it.
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._thread_id = threading.get_ident()
        self._due_at = None
        self._logged_due_at = None
        self._stopped = threading.Event()

    def start(self):
        """Check the loop from a thread until `stop`."""
        threading.Thread(target=self._run, name="loop-monitor", daemon=True).start()

    def stop(self):
        """Ask the thread to end."""
        self._stopped.set()

    def expect(self, seconds):
        """Expect the next tick in so many seconds."""
        self._due_at = time.monotonic() + seconds

    def tick(self):
        """Record the lag of a tick that was expected."""
        due_at, self._due_at = self._due_at, None
        if due_at is None:
            return
        lag_s = time.monotonic() - due_at
        self._metrics.time("loop_lag", lag_s)
        if lag_s > MAX_LAG_S:
            _log.warning("the event loop was blocked", seconds=round(lag_s, 3))

    def _run(self):
        while not self._stopped.wait(CHECK_INTERVAL_S):
            self._check()

    def _check(self):
        due_at = self._due_at
        if due_at is None or due_at == self._logged_due_at:
            return
        lag_s = time.monotonic() - due_at
        if lag_s <= MAX_LAG_S:
            return
        self._logged_due_at = due_at
        frame = sys._current_frames().get(self._thread_id)
        calls = traceback.extract_stack(frame)[-MAX_LOGGED_CALLS:] if frame else []
        _log.warning(
            "the event loop is blocked",
            seconds=round(lag_s, 3),
            runs=[f"{call.filename[-40:]}:{call.lineno} {call.name}" for call in calls],
        )
