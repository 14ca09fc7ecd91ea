"""The configuration actor: adopts higher versions and passes them on."""

import random
import threading
import time
import zlib
from dataclasses import dataclass

from lovagepier.backing import StoreError
from lovagepier.config import ConfigRecord, ConfigView, check_document
from lovagepier.logs import part_log
from lovagepier.node._actors import NodeActor, Tick
from lovagepier.node._members import PeerMessage
from lovagepier.peers import messages

__all__ = ["Adopt", "ConfigActor", "ConfigWatcher"]

FANOUT = 4
WATCHERS_PER_REGION = 2
WATCH_SECONDS = 20.0
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 5.0
PULL_PERIOD_S = 0.3
MAX_DOCUMENT_BYTES = 4 << 20


@dataclass(slots=True, frozen=True)
class Adopt:
    """A version seen in the store or at a peer; `source` says where."""

    record: ConfigRecord
    source: str


class ConfigActor(NodeActor):
    """Holds the highest version seen; never goes back."""

    part = "config"
    handlers = {Adopt: "on_adopt", PeerMessage: "on_peer", Tick: "on_tick"}

    def __init__(self, node):
        super().__init__(node)
        self._record = ConfigRecord()
        self._rng = random.Random(f"config/{node.boot}")
        self._pulled_at = float("-inf")

    def on_adopt(self, message):
        """Adopt a version if it is higher than the one in force."""
        record = message.record
        if record.version <= self._record.version:
            return
        faults = check_document(record.document)
        if faults:
            self.log.error("a stored version is invalid", version=record.version)
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
            "a version is in force", version=record.version, source=message.source
        )
        self._pass_on()

    def _pass_on(self):
        others = [n for n in self.node.roster.live if n != self.node.cfg.node_name]
        chosen = self._rng.sample(others, min(FANOUT, len(others)))
        news = messages.ConfigAnnouncement(
            self.node.cfg.node_name, self._record.version
        )
        for name in chosen:
            self.node.tell(name, news)

    def _told(self):
        data = zlib.compress(self._record.to_bytes())
        return messages.ConfigSnapshot(self._record.version, data)

    def on_peer(self, message):
        """Take in a version, or answer a pull."""
        body = message.body
        if isinstance(body, messages.ConfigPull):
            if self._record.version > body.have:
                message.reply(self._told())
            return
        if body.version <= self._record.version:
            return
        if isinstance(body, messages.ConfigAnnouncement):
            self._pull(body.origin)
            return
        record = ConfigRecord.from_bytes(_inflate(body.data))
        self.on_adopt(Adopt(record, "a peer"))

    def on_tick(self, _):
        """Pull from a peer that holds a higher version."""
        ahead = self.node.peer_ahead()
        if ahead is not None:
            self._pull(ahead)

    def _pull(self, name):
        # One pull at a time: news of a version comes from several peers.
        now = self.node.clock()
        address = self.node.roster.address(name)
        if address is None or now - self._pulled_at < PULL_PERIOD_S:
            return
        self._pulled_at = now
        fut = self.node.links.ask(address, messages.ConfigPull(self._record.version))
        fut.add_done_callback(self._on_pulled)

    def _on_pulled(self, fut):
        if fut.cancelled() or fut.exception() is not None:
            return
        self.actor_ref.tell(PeerMessage(fut.result(), lambda _: None))


def _inflate(data):
    """Return decompressed bytes, at most MAX_DOCUMENT_BYTES."""
    return zlib.decompressobj().decompress(data, MAX_DOCUMENT_BYTES)


class ConfigWatcher:
    """Reads and watches the store while this node is one of the watchers.

    Only the first nodes of each region's order watch; the others learn from
    peers, so the calls to the store don't grow with the fleet.
    """

    def __init__(self, node):
        self._node = node
        self._log = part_log("config")
        self._stopped = threading.Event()
        self._rng = random.Random(f"watch/{node.boot}")

    def start(self):
        """Run in a thread of its own until `stop`."""
        threading.Thread(target=self._run, name="config-watch", daemon=True).start()

    def stop(self):
        """End soon."""
        self._stopped.set()

    def _is_watcher(self):
        region = self._node.cfg.node_region
        ranked = self._node.roster.ranked_nodes("config-watch", region)
        return self._node.cfg.node_name in ranked[:WATCHERS_PER_REGION]

    def _run(self):
        pause = FIRST_PAUSE_S
        first = True
        while not self._stopped.is_set():
            if not first and not self._is_watcher():
                self._stopped.wait(1.0)
                continue
            try:
                self._read_and_watch()
                first = False
                pause = FIRST_PAUSE_S
            except StoreError as exc:
                self._note_outage(exc)
                # Jitter keeps the fleet from returning all at once.
                self._stopped.wait(pause * (0.5 + self._rng.random()))
                pause = min(pause * 2, MAX_PAUSE_S)

    def _read_and_watch(self):
        record = self._node.config_store.read()
        self._node.set_store_state(True, time.time())
        self._node.adopt(record, "the store")
        while not self._stopped.is_set() and self._is_watcher():
            found = self._node.store.watch(
                "lovagepier/config", record.revision, WATCH_SECONDS
            )
            self._node.set_store_state(True, time.time())
            if found is not None:
                record = ConfigRecord.from_bytes(found.value, found.mod_revision)
                self._node.adopt(record, "the store")

    def _note_outage(self, exc):
        if self._node.store_ok:
            self._log.warning("the store does not answer", why=str(exc))
            self._node.timeline.add("config", "store out of reach", why=str(exc))
        self._node.set_store_state(False, time.time())
