"""Replicates the contents of the store between hosts: snapshots and deltas."""

import asyncio
import zlib

import cbor2

from lovagepier.entry._cluster.deltas import apply_delta, make_delta
from lovagepier.entry._cluster.messages import (
    SnapshotRequest,
    StoreDelta,
    StoreSnapshot,
)
from lovagepier.platform import Event, Item, is_key

__all__ = ["Replication"]

# A peer that has been ahead for this long is asked for a snapshot. The store's watch
# or the coordinator's deltas usually close the gap sooner.
MAX_LAG_S = 0.7
# The same for a peer with a newer configuration. The coordinator's delta arrives
# within one heartbeat, and snapshot requests of 60 hosts at once would block the
# coordinator for a second.
MAX_CONFIG_LAG_S = 0.3
# A snapshot is reused for this long while the configuration stays the same.
SNAPSHOT_CACHE_S = 0.5
MIN_SNAPSHOT_REQUEST_INTERVAL_S = 0.25
ZLIB_LEVEL = 6


def _pack(rows):
    """Return rows as compressed bytes; a configuration shrinks to about a tenth.

    Without compression, 30 whole configurations of 350 routes fill a narrow link
    between regions for two seconds and delay the coordinator's heartbeats.
    """
    return zlib.compress(cbor2.dumps(rows), ZLIB_LEVEL)


def _unpack(packed):
    return cbor2.loads(zlib.decompress(packed))


class Replication:
    """Keeps this host's view of the store up to date with its peers'.

    `apply_keys(keys)` is called with the keys that changed in the view.
    """

    def __init__(self, view, apply_keys):
        self._view = view
        self._apply_keys = apply_keys
        self._loop = asyncio.get_running_loop()
        self._requested_at = 0.0
        self._newest_seen = None
        self._behind_since = 0.0
        self._unsent_changes = {}
        self._unsent_after = None
        self._snapshot = None
        self._snapshot_at = 0.0
        self._snapshot_version = 0

    def request_if_behind(self, link, message):
        """Ask a peer for a snapshot if this host has been behind it for too long.

        `message` is a `Heartbeat` or `Roster`. A peer that is no further than this
        host does not reset the time that this host has been behind another peer.
        """
        now = self._loop.time()
        if self._newest_seen is not None and self._has(self._newest_seen):
            self._newest_seen = None
        if self._has(message):
            return
        if self._newest_seen is None:
            self._newest_seen = message
            self._behind_since = now
        max_lag = (
            MAX_CONFIG_LAG_S if message.version > self._view.version else MAX_LAG_S
        )
        if not self._view.version:
            max_lag = 0.0
        is_stuck = now - self._behind_since >= max_lag
        if is_stuck and now - self._requested_at > MIN_SNAPSHOT_REQUEST_INTERVAL_S:
            self._requested_at = now
            link.send(SnapshotRequest(self._view.as_of))

    def _has(self, message):
        return (
            message.version <= self._view.version and message.as_of <= self._view.as_of
        )

    def record_changes(self, changed, after):
        """Record changes that the next delta must contain.

        `changed` maps keys to their `Item` before the change, `after` is the
        revision that this host had before.
        """
        if self._unsent_after is None:
            self._unsent_after = after
        for key, before in changed.items():
            if is_key(key):
                self._unsent_changes.setdefault(key, before)

    def discard_changes(self):
        """Drop recorded changes, because the whole contents are read again.

        The followers then see a gap and ask for a snapshot.
        """
        self._unsent_after = None
        self._unsent_changes = {}

    def send_delta(self, links):
        """Send the recorded changes, with only the last state of each key."""
        after, as_of = self._unsent_after, self._view.as_of
        self._unsent_after = None
        changed, self._unsent_changes = self._unsent_changes, {}
        if after is None or as_of <= after or not links:
            return
        rows = [self._row(key, before, as_of) for key, before in changed.items()]
        message = StoreDelta(after, as_of, _pack(rows))
        for link in links:
            link.send(message)

    def _row(self, key, before, as_of):
        item = self._view.items.get(key)
        if item is None:
            return [key, as_of, 0, None, 0]
        steps = make_delta(before and before.value, item.value)
        if steps is None:
            return [key, item.revision, item.create_revision, item.value, 0]
        return [key, item.revision, item.create_revision, steps, before.revision]

    def on_delta(self, delta):
        """Apply a `StoreDelta` from the coordinator."""
        if delta.after > self._view.as_of:
            # A delta in between was missed; `request_if_behind` closes the gap.
            return
        events = []
        for row in _unpack(delta.packed):
            event = self._event(*row)
            if event is None:
                return
            events.append(event)
        now = self._loop.time()
        self._apply_keys(self._view.on_delta(events, delta.as_of, now))

    def _event(self, key, revision, create_revision, value, base):
        """Return the `Event` of a row, or None if its base is not known here."""
        if value is None:
            return Event(key, revision, None)
        if base:
            known = self._view.items.get(key)
            if known is not None and known.revision >= revision:
                return Event(key, known.revision, known)
            # A document that can't be decoded here has no value, but may at the sender.
            if known is None or known.revision != base or not known.value:
                return None
            value = apply_delta(known.value, value)
        return Event(key, revision, Item(key, value, revision, create_revision))

    def snapshot(self):
        """Return a `StoreSnapshot` of this host's view, a recent one if possible."""
        now = self._loop.time()
        if (
            self._snapshot is not None
            and self._snapshot_version == self._view.version
            and now - self._snapshot_at < SNAPSHOT_CACHE_S
        ):
            return self._snapshot
        self._snapshot = self._make_snapshot()
        self._snapshot_version = self._view.version
        self._snapshot_at = now
        return self._snapshot

    def _make_snapshot(self):
        rows = [
            [item.key, item.value, item.revision, item.create_revision]
            for item in self._view.items.values()
        ]
        return StoreSnapshot(self._view.as_of, _pack(rows))

    def on_snapshot(self, snapshot):
        """Replace this host's view with a peer's `StoreSnapshot` if that is newer."""
        items = [Item(*row) for row in _unpack(snapshot.packed)]
        self.discard_changes()
        self._apply_keys(
            self._view.on_snapshot(items, snapshot.as_of, self._loop.time())
        )
