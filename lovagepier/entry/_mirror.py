"""The store's contents on this host: one watch, one registration, few writes.

Blocking calls run in pykka actors; what they learn goes to the host's event
loop through the callables they are given.
"""

import random
import time
from dataclasses import dataclass

import pykka
from result import Err

from lovagepier.logs import component_logger
from lovagepier.platform import PlatformStore

__all__ = ["LEASE_S", "Registrar", "Watcher", "WriteKey"]

# A watch waits this long: a connection that fell silent is noticed within it.
WATCH_WAIT_S = 2.0
# Between two answers of the watch, so that a storm of changes comes in batches.
WATCH_PAUSE_S = 0.1
# After a failed call; doubled up to the most, drawn at random.
BACKOFF_LEAST_S = 0.1
BACKOFF_MOST_S = 1.2
# A start spreads its first calls over this, against a stampede after a loss of
# power everywhere.
START_SPREAD_S = 0.05
# A registration outlives three missed renewals.
LEASE_S = 3.0
RENEW_S = 0.9
# How long a resting watcher may take to end with its host.
REST_S = 0.5
# How long a write may wait for the registrar.
REGISTRAR_STEP_S = 0.15
_GONE = 410
_NO_LEASE = 404

_log = component_logger("platform")


@dataclass(slots=True, frozen=True)
class _Step:
    """Go on with the actor's standing work."""


@dataclass(slots=True, frozen=True)
class WriteKey:
    """Write a key if it is at revision `expected` (None: whatever it is at)."""

    key: str
    value: bytes
    expected: int | None


class _Backoff:
    """Growing random pauses after failures."""

    __slots__ = ("_most", "failures")

    def __init__(self):
        self.failures = 0
        self._most = BACKOFF_LEAST_S

    def failed(self):
        """Wait; the pause doubles with each failure in a row."""
        self.failures += 1
        time.sleep(random.uniform(0.5, 1.0) * self._most)
        self._most = min(self._most * 2, BACKOFF_MOST_S)

    def worked(self):
        """Start over; return whether calls had failed before."""
        had_failed = self.failures > 0
        self.failures = 0
        self._most = BACKOFF_LEAST_S
        return had_failed


class Watcher(pykka.ThreadingActor):
    """Follows everything in the store.

    `on_scan(items, revision)` gets the whole contents, `on_events(events,
    revision)` later changes, `on_fault(why)` each failed call. Rests
    while `wanted` is not set; `known()` is the revision that this host has
    by then from elsewhere, 0 for none.
    """

    use_daemon_thread = True

    def __init__(self, address, wanted, known, on_scan, on_events, on_fault):
        super().__init__()
        self._store = PlatformStore(address)
        self._wanted = wanted
        self._known = known
        self._on_scan = on_scan
        self._on_events = on_events
        self._on_fault = on_fault
        self._backoff = _Backoff()
        self._after = None
        self._must_scan = False

    def on_start(self):
        """Begin to follow."""
        time.sleep(random.uniform(0, START_SPREAD_S))
        self.actor_ref.tell(_Step())

    def on_receive(self, message):
        """Make one call and go on."""
        if not self._wanted.wait(REST_S):
            self.actor_ref.tell(_Step())
            return
        self._after = max(self._after or 0, self._known()) or None
        if self._after is None or self._must_scan:
            self._scan()
        else:
            self._watch()
        self.actor_ref.tell(_Step())

    def _scan(self):
        answer = self._store.scan("")
        if isinstance(answer, Err):
            self._failed(answer.err_value)
            return
        items, self._after = answer.ok_value
        self._must_scan = False
        if self._backoff.worked():
            _log.info("the store is back", revision=self._after)
        self._on_scan(items, self._after)

    def _watch(self):
        answer = self._store.watch("", self._after, WATCH_WAIT_S)
        if isinstance(answer, Err):
            if answer.err_value.status == _GONE:
                _log.info("the store forgot its history", after=self._after)
                self._must_scan = True
                return
            self._failed(answer.err_value)
            return
        events, self._after = answer.ok_value
        if self._backoff.worked():
            _log.info("the store is back", revision=self._after)
        self._on_events(events, self._after)
        if events:
            time.sleep(WATCH_PAUSE_S)

    def _failed(self, fault):
        if self._backoff.failures == 0:
            _log.warning("the store does not answer", why=str(fault))
        self._on_fault(str(fault))
        self._backoff.failed()


class Registrar(pykka.ThreadingActor):
    """Keeps this host registered under a lease and writes what the home decides.

    `on_written(message, result)` gets each write's result.
    """

    use_daemon_thread = True

    def __init__(self, address, key, value, lease_s, on_written):
        super().__init__()
        self._store = PlatformStore(address)
        self._key = key
        self._value = value
        self._lease_s = lease_s
        self._on_written = on_written
        self._backoff = _Backoff()
        self._lease = None
        self._renewed_at = 0.0

    def on_start(self):
        """Begin to register."""
        time.sleep(random.uniform(0, START_SPREAD_S))
        self.actor_ref.tell(_Step())

    def on_receive(self, message):
        """Write, or renew when it is time."""
        if isinstance(message, WriteKey):
            self._on_written(
                message, self._store.put(message.key, message.value, message.expected)
            )
            return
        if self._key is None:
            return
        if self._lease is None:
            self._register()
        elif time.monotonic() - self._renewed_at >= RENEW_S:
            self._renew()
        else:
            time.sleep(REGISTRAR_STEP_S)
        self.actor_ref.tell(_Step())

    def _register(self):
        asked_at = time.monotonic()
        granted = self._store.grant_lease(self._lease_s)
        if isinstance(granted, Err):
            self._backoff.failed()
            return
        lease, _ = granted.ok_value
        written = self._store.put(self._key, self._value, lease=lease)
        if isinstance(written, Err):
            _log.warning("could not register", why=str(written.err_value))
            self._backoff.failed()
            return
        self._lease = lease
        self._renewed_at = asked_at
        self._backoff.worked()
        _log.info("registered", key=self._key, lease=lease)

    def _renew(self):
        asked_at = time.monotonic()
        answer = self._store.renew_lease(self._lease)
        if isinstance(answer, Err):
            if answer.err_value.status == _NO_LEASE:
                _log.warning("the registration has lapsed", lease=self._lease)
                self._lease = None
                return
            self._backoff.failed()
            return
        self._backoff.worked()
        self._renewed_at = asked_at

    def leave(self):
        """Give the registration up."""
        self._key = None
        if self._lease is not None:
            answer = self._store.revoke_lease(self._lease)
            if isinstance(answer, Err):
                _log.warning("could not deregister", why=str(answer.err_value))
            self._lease = None
