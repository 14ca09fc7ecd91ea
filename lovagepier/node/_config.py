"""Distribution of the configuration: the store's watcher and gossip among nodes."""

import random
import threading
import time
import zlib
from dataclasses import dataclass

from lovagepier.backing import StoreError
from lovagepier.config import ConfigRecord, ConfigView, check_document
from lovagepier.logs import component_logger
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.node._members import PeerMessage
from lovagepier.peers import messages

__all__ = ["AdoptConfig", "ConfigActor", "ConfigWatcher"]

ANNOUNCE_FANOUT = 4
WATCHERS_PER_REGION = 2
WATCH_TIMEOUT_S = 20.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
MIN_PULL_INTERVAL_S = 0.3
MAX_DOCUMENT_BYTES = 4 << 20


@dataclass(slots=True, frozen=True)
class AdoptConfig:
    """A configuration read from the store or received from a peer.

    `source` names the origin, for logs and the time line.
    """

    record: ConfigRecord
    source: str


class ConfigActor(NodeActor):
    """Keeps the highest version seen, announces it to peers and answers pulls.

    The version in force at a node never decreases.
    """

    component = "config"
    handlers = {
        AdoptConfig: "on_adopt",
        PeerMessage: "on_peer_message",
        Tick: "on_tick",
    }

    def __init__(self, node):
        super().__init__(node)
        self._record = ConfigRecord()
        self._rng = random.Random(f"config/{node.boot}")
        self._last_pull_at = float("-inf")

    def on_adopt(self, message):
        """Put a version in force if it is valid and higher than the current one."""
        record = message.record
        if record.version <= self._record.version:
            return
        faults = check_document(record.document)
        if faults:
            self.log.error("ignored an invalid configuration", version=record.version)
            return
        self._record = record
        self.node.set_view(ConfigView(record.version, record.document))
        self.node.timeline.add(
            "config",
            f"version {record.version} in force",
            why=f"learnt from {message.source}",
            version=record.version,
        )
        self.log.info(
            "configuration in force", version=record.version, source=message.source
        )
        self._announce()

    def _announce(self):
        others = [n for n in self.node.roster.live if n != self.node.cfg.node_name]
        chosen = self._rng.sample(others, min(ANNOUNCE_FANOUT, len(others)))
        announcement = messages.ConfigAnnouncement(
            self.node.cfg.node_name, self._record.version
        )
        for name in chosen:
            self.node.tell(name, announcement)

    def _snapshot(self):
        data = zlib.compress(self._record.to_bytes())
        return messages.ConfigSnapshot(self._record.version, data)

    def on_peer_message(self, message):
        """Answer a pull, react to an announcement or adopt a received version."""
        body = message.body
        if isinstance(body, messages.ConfigPull):
            if self._record.version > body.known_version:
                message.reply(self._snapshot())
            return
        if body.version <= self._record.version:
            return
        if isinstance(body, messages.ConfigAnnouncement):
            self._pull(body.origin)
            return
        record = ConfigRecord.from_bytes(_decompress(body.data))
        self.on_adopt(AdoptConfig(record, "a peer"))

    def on_tick(self, _):
        """Pull from a peer whose probes report a higher version.

        This covers announcements that were lost.
        """
        peer = self.node.peer_with_newer_config()
        if peer is not None:
            self._pull(peer)

    def _pull(self, name):
        # Several peers announce the same version; the interval limits this node
        # to one pull for it.
        now = self.node.clock()
        address = self.node.roster.address(name)
        if address is None or now - self._last_pull_at < MIN_PULL_INTERVAL_S:
            return
        self._last_pull_at = now
        fut = self.node.links.ask(address, messages.ConfigPull(self._record.version))
        fut.add_done_callback(self._on_pulled)

    def _on_pulled(self, fut):
        if fut.cancelled() or fut.exception() is not None:
            return
        self.actor_ref.tell(PeerMessage(fut.result(), lambda _: None))


def _decompress(data):
    """Return the decompressed bytes, truncated at `MAX_DOCUMENT_BYTES`."""
    return zlib.decompressobj().decompress(data, MAX_DOCUMENT_BYTES)


class ConfigWatcher:
    """Reads the configuration at start and watches the store while selected.

    Only the first `WATCHERS_PER_REGION` ranked nodes of each region watch; the
    others learn from peers, so the calls to the store don't grow with the
    number of nodes.
    """

    def __init__(self, node):
        self._node = node
        self._log = component_logger("config")
        self._stopped = threading.Event()
        self._rng = random.Random(f"watch/{node.boot}")

    def start(self):
        """Run in a background thread until `stop`."""
        threading.Thread(target=self._run, name="config-watch", daemon=True).start()

    def stop(self):
        """Ask the thread to end; it does so after the call in progress."""
        self._stopped.set()

    def _is_watcher(self):
        region = self._node.cfg.node_region
        ranked = self._node.roster.ranked_nodes("config-watch", region)
        return self._node.cfg.node_name in ranked[:WATCHERS_PER_REGION]

    def _run(self):
        backoff = MIN_BACKOFF_S
        is_first_read = True
        while not self._stopped.is_set():
            if not is_first_read and not self._is_watcher():
                self._stopped.wait(1.0)
                continue
            try:
                self._read_and_watch()
                is_first_read = False
                backoff = MIN_BACKOFF_S
            except StoreError as exc:
                self._note_outage(exc)
                # Jitter keeps the nodes from retrying all at the same moment.
                self._stopped.wait(backoff * (0.5 + self._rng.random()))
                backoff = min(backoff * 2, MAX_BACKOFF_S)

    def _read_and_watch(self):
        record = self._node.config_store.read()
        self._node.set_store_state(True, time.time())
        self._node.adopt_config(record, "the store")
        while not self._stopped.is_set() and self._is_watcher():
            found = self._node.store.watch(
                "lovagepier/config", record.revision, WATCH_TIMEOUT_S
            )
            self._node.set_store_state(True, time.time())
            if found is not None:
                record = ConfigRecord.from_bytes(found.value, found.mod_revision)
                self._node.adopt_config(record, "the store")

    def _note_outage(self, exc):
        if self._node.store_ok:
            self._log.warning("store unreachable", why=str(exc))
            self._node.timeline.add("config", "store out of reach", why=str(exc))
        self._node.set_store_state(False, time.time())
