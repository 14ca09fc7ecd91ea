"""Actors that call the platform's store: the watch, and the registration and writes.

Blocking calls run in the actors' threads. The callables that the actors are given
pass results to the host's event loop.
"""

import random
import time
from dataclasses import dataclass

import pykka
from result import Err

from lovagepier.logs import component_logger
from lovagepier.platform import PlatformStore, number_of

__all__ = ["LEASE_TTL_S", "Registrar", "Registration", "Watcher", "WriteKey"]

# A watch call waits this long for changes; a dead connection is noticed as soon.
WATCH_TIMEOUT_S = 2.0
# Pause after each batch of changes, so that many changes come in few batches.
WATCH_BATCH_PAUSE_S = 0.1
# Delay after a failed call: doubles with each failure and has random jitter.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.2
# First calls after a start are delayed at random, so that all hosts starting at once,
# as after a power failure, do not overload the store.
MAX_START_DELAY_S = 0.05
# A registration survives three missed renewals.
LEASE_TTL_S = 3.0
RENEW_INTERVAL_S = 0.9
# How soon a paused watcher notices that it is wanted again or that its host stops.
PAUSED_CHECK_INTERVAL_S = 0.5
# The registrar sleeps this long between checks, which is how long a write may wait.
REGISTRAR_IDLE_S = 0.15
_HTTP_GONE = 410
_HTTP_NOT_FOUND = 404

_log = component_logger("platform")


@dataclass(slots=True, frozen=True)
class _Step:
    """Tells an actor to continue its periodic work."""


@dataclass(slots=True, frozen=True)
class WriteKey:
    """Asks to write a key if it is at revision `expected`, None for any revision.

    The key is removed after `lease_s` seconds, unless that is 0.
    """

    key: str
    value: bytes
    expected: int | None
    lease_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Registration:
    """Asks to register this host with another value."""

    value: bytes


class _Backoff:
    """Exponential delays with jitter after failed calls."""

    __slots__ = ("_delay_s", "failures")

    def __init__(self):
        self.failures = 0
        self._delay_s = MIN_BACKOFF_S

    def failed(self):
        """Count a failure and sleep; the delay doubles with each one in a row."""
        self.failures += 1
        time.sleep(random.uniform(0.5, 1.0) * self._delay_s)
        self._delay_s = min(self._delay_s * 2, MAX_BACKOFF_S)

    def succeeded(self):
        """Reset the delay; return whether the calls before had failed."""
        had_failed = self.failures > 0
        self.failures = 0
        self._delay_s = MIN_BACKOFF_S
        return had_failed


class Watcher(pykka.ThreadingActor):
    """Watches all keys of the store.

    `on_scan(items, revision)` gets the whole contents, `on_events(events,
    revision)` later changes, `on_fault(why)` each failed call. The watcher
    pauses while the event `wanted` is not set; `known()` returns the revision
    that this host has by then from its peers, 0 for none.
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
        self._must_rescan = False

    def on_start(self):
        """Start watching after a random delay."""
        time.sleep(random.uniform(0, MAX_START_DELAY_S))
        self.actor_ref.tell(_Step())

    def on_receive(self, message):
        """Make one call to the store, unless paused, and schedule the next."""
        try:
            if self._wanted.wait(PAUSED_CHECK_INTERVAL_S):
                self._step()
        except Exception as exc:  # noqa: BLE001  an error would end the actor
            _log.error("a step of the watch failed", exc_info=exc)
            # What the call brought may be lost.
            self._must_rescan = True
            self._backoff.failed()
        self.actor_ref.tell(_Step())

    def _step(self):
        self._after = max(self._after or 0, self._known()) or None
        if self._after is None or self._must_rescan:
            self._scan()
        else:
            self._watch()

    def _scan(self):
        answer = self._store.scan("")
        if isinstance(answer, Err):
            self._failed(answer.err_value)
            return
        items, self._after = answer.ok_value
        self._must_rescan = False
        if self._backoff.succeeded():
            _log.info("the store answers again", revision=number_of(self._after))
        self._on_scan(items, self._after)

    def _watch(self):
        answer = self._store.watch("", self._after, WATCH_TIMEOUT_S)
        if isinstance(answer, Err):
            if answer.err_value.status == _HTTP_GONE:
                _log.info(
                    "the store no longer has the revision that the watch was at",
                    after=number_of(self._after),
                    era=self._store.era,
                )
                self._must_rescan = True
                return
            # The pages of a scan are shorter, and without the history.
            self._must_rescan = answer.err_value.is_unreadable
            self._failed(answer.err_value)
            return
        events, self._after = answer.ok_value
        if self._backoff.succeeded():
            _log.info("the store answers again", revision=number_of(self._after))
        self._on_events(events, self._after)
        if events:
            time.sleep(WATCH_BATCH_PAUSE_S)

    def _failed(self, fault):
        if self._backoff.failures == 0:
            _log.warning("the store does not answer", why=str(fault))
        self._on_fault(str(fault))
        self._backoff.failed()


class Registrar(pykka.ThreadingActor):
    """Keeps this host registered under a lease and makes the coordinator's writes.

    `on_written(message, result)` gets the result of each `WriteKey`, and
    `on_registered(renewed_at, until)` each renewal and until when the registration is
    valid, both in monotonic seconds.
    """

    use_daemon_thread = True

    def __init__(self, address, key, value, lease_s, on_written, on_registered):
        super().__init__()
        self._store = PlatformStore(address)
        self._key = key
        self._value = value
        self._lease_s = lease_s
        self._on_written = on_written
        self._on_registered = on_registered
        self._backoff = _Backoff()
        self._lease = None
        self._era = 0
        self._renewed_at = 0.0

    def on_start(self):
        """Start to register after a random delay."""
        time.sleep(random.uniform(0, MAX_START_DELAY_S))
        self.actor_ref.tell(_Step())

    def on_receive(self, message):
        """Make the write of a `WriteKey`, else register or renew if it is time."""
        try:
            if isinstance(message, WriteKey):
                self._on_written(message, self._write(message))
                return
            if isinstance(message, Registration):
                self._replace(message.value)
                return
            self._step()
        except Exception as exc:  # noqa: BLE001  an error would end the actor
            _log.error("a call to the store failed", exc_info=exc)
            self._backoff.failed()
        if isinstance(message, _Step) and self._key is not None:
            self.actor_ref.tell(_Step())

    def _step(self):
        if self._key is None:
            return
        if self._lease is None:
            self._register()
        elif time.monotonic() - self._renewed_at >= RENEW_INTERVAL_S:
            self._renew()
        else:
            time.sleep(REGISTRAR_IDLE_S)

    def _write(self, message):
        if not message.lease_s:
            return self._store.put(message.key, message.value, message.expected)
        return self._put_leased(
            message.key, message.value, message.lease_s, message.expected
        ).map(lambda written: written[1])

    def _put_leased(self, key, value, lease_s, expected=None):
        """Write a key under a new lease; return Ok((lease, revision))."""
        granted = self._store.grant_lease(lease_s)
        if isinstance(granted, Err):
            return granted
        lease, _ = granted.ok_value
        written = self._store.put(key, value, expected, lease)
        return written.map(lambda revision: (lease, revision))

    def _register(self):
        called_at = time.monotonic()
        written = self._put_leased(self._key, self._value, self._lease_s)
        if isinstance(written, Err):
            _log.warning("could not register this host", why=str(written.err_value))
            self._backoff.failed()
            return
        self._lease, _ = written.ok_value
        self._era = self._store.era
        self._note_renewal(called_at)
        _log.info("registered this host", key=self._key, lease=self._lease)

    def _replace(self, value):
        """Register with another value; its age stays."""
        self._value = value
        if self._key is None or self._lease is None:
            return
        written = self._store.put(self._key, value, lease=self._lease)
        if isinstance(written, Err):
            _log.warning(
                "could not register this host again", why=str(written.err_value)
            )
            # The next step registers it anew.
            self._lease = None

    def _renew(self):
        called_at = time.monotonic()
        answer = self._store.renew_lease(self._lease)
        if isinstance(answer, Err):
            if answer.err_value.status == _HTTP_NOT_FOUND:
                _log.warning("the lease of the registration expired", lease=self._lease)
                self._lease = None
                return
            self._backoff.failed()
            return
        if self._store.era == self._era or self._restore_key():
            self._note_renewal(called_at)

    def _restore_key(self):
        """Write the key again in a new era; return whether the lease still holds.

        The store may have come back from a copy that was made between the grant of the
        lease and the write of the key.
        """
        written = self._store.put(self._key, self._value, lease=self._lease)
        if isinstance(written, Err):
            _log.warning(
                "could not register this host again", why=str(written.err_value)
            )
            self._lease = None
            return False
        _log.info("registered this host again in a new era", era=self._store.era)
        self._era = self._store.era
        return True

    def _note_renewal(self, called_at):
        """Count the lease from when it was asked for, as the store may have later."""
        self._backoff.succeeded()
        self._renewed_at = called_at
        self._on_registered(called_at, called_at + self._lease_s)

    def leave(self):
        """Revoke the lease, which removes the registration."""
        self._key = None
        if self._lease is not None:
            answer = self._store.revoke_lease(self._lease)
            if isinstance(answer, Err):
                _log.warning(
                    "could not revoke the lease of the registration",
                    why=str(answer.err_value),
                )
            self._lease = None
