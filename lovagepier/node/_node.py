"""The node: starts the actors, routes messages, stops without cutting."""

import contextlib
import itertools
import queue
import threading
import time
import uuid
from collections import deque

import pykka

from lovagepier.backing import HostList, WeightStore, open_store
from lovagepier.config import ConfigStore, ConfigView, empty_document
from lovagepier.errors import UserError
from lovagepier.logs import part_log
from lovagepier.metrics import Metrics
from lovagepier.node._actors import Tick, post
from lovagepier.node._config import Adopt, ConfigActor, ConfigWatcher
from lovagepier.node._ledger import Claimed, LedgerActor, Released, Settled
from lovagepier.node._members import Leave, MembersActor, PeerMessage
from lovagepier.node._orders import Orders
from lovagepier.node._permits import Permits
from lovagepier.node._pools import Pools
from lovagepier.node._rollouts import MovesActor, Observed
from lovagepier.node._roster import Roster
from lovagepier.node._settlements import Settlements
from lovagepier.node._targets import TargetReader
from lovagepier.node._timeline import Timeline
from lovagepier.peers import Links, messages

__all__ = ["Node"]

TICK_S = 0.025
MEMBERS_EVERY = 4
CONFIG_EVERY = 16
MOVES_EVERY = 4
POOL_EVERY = 2
SLOW_EVERY = 40
SETTLE_S = 0.3
MAX_SETTLE_S = 15.0
DRAIN_CHECK_S = 0.1
MAX_CONDEMNED = 1000
ADOPT_WAIT_S = 1.0
LATE_ANSWER_S = 60.0
ADOPT_POLL_S = 0.002


class Node:
    """What the actors of one process share.

    Readers take the attributes `view`, `roster`, `shares` as they are: each
    is replaced whole and never changed in place.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.boot = uuid.uuid4().hex[:8]
        self.clock = time.monotonic
        self.wall = time.time
        self.timeline = Timeline(cfg.node_name)
        self.metrics = Metrics()
        self.store = open_store(cfg)
        self.host_list = HostList(cfg)
        self.weight_store = WeightStore(cfg)
        self.config_store = ConfigStore(self.store)
        self.view = ConfigView(0, empty_document())
        self.roster = Roster(cfg.node_name, [], [], [], [])
        self.shares = {}
        self.move_states = {}
        self.condemned = frozenset()
        self.store_ok = True
        self.ledger_pending = threading.Event()
        self.stopping = threading.Event()
        self.stopped = threading.Event()
        self.began = time.time()
        self.permits = Permits(self)
        self.links = Links(cfg, self._on_peer_message)
        self.targets = TargetReader(self)
        self.settlements = Settlements(self)
        self.orders = Orders(self)
        self._watcher = ConfigWatcher(self)
        self._log = part_log("node")
        self._epochs = itertools.count(1)
        self.pools = Pools(self)
        self._peer_versions = {}
        self._host_seeds = []
        self._expiring = deque()
        self._moving = False
        self._refs = {}

    # Life

    def start(self):
        """Listen to peers and start the actors; raise `UserError`."""
        try:
            self.links.start()
        except OSError as exc:
            host, port = self.cfg.peers_listen
            raise UserError(
                f"[peers] listen = {host}:{port} can't be listened on: {exc}"
            )
        for name, cls in (
            ("members", MembersActor),
            ("config", ConfigActor),
            ("moves", MovesActor),
            ("ledger", LedgerActor),
        ):
            self._refs[name] = cls.start(self)
        with contextlib.suppress(Exception):
            self.note_hosts(self.host_list.read())
        self._watcher.start()
        self.targets.start()
        self.settlements.start()
        self.orders.start()
        threading.Thread(target=self._tick, name="ticks", daemon=True).start()
        self.timeline.add("node", "started", boot=self.boot)
        self._log.info("the node runs", node=self.cfg.node_name, boot=self.boot)

    def facts(self):
        """Return what peers need to know of this node."""
        host, port = self.cfg.peers_address
        return {
            "peer": [host, self.links.port or port],
            "url": self.cfg.callers_url,
            "zone": self.cfg.node_zone,
            "region": self.cfg.node_region,
        }

    def leave(self):
        """Take no new duties: tell peers, hand over pools and shards."""
        if self.stopping.is_set():
            return
        self.stopping.set()
        self.timeline.add("node", "stopping", why="asked to stop")
        self._log.info("the node is stopping")
        post(self._refs["members"], Leave())

    def drain(self, idle_seconds, busy):
        """Wait until callers' kept entries have lapsed and nothing runs.

        `busy()` returns the number of requests in hand.
        """
        until = self.clock() + idle_seconds
        while self.clock() < until or busy() or self.permits.count():
            time.sleep(DRAIN_CHECK_S)
        until = self.clock() + MAX_SETTLE_S
        while self.settlements.count() and self.clock() < until:
            time.sleep(DRAIN_CHECK_S)
        # The outcomes of the last requests are still on their way to homes.
        time.sleep(SETTLE_S)

    def stop(self):
        """End the actors and links; call after `drain`."""
        self.stopped.set()
        self._watcher.stop()
        self.targets.stop()
        pykka.ActorRegistry.stop_all(block=False)
        self.links.stop()
        self._log.info("the node has stopped")

    def _tick(self):
        for number in itertools.count():
            if self.stopped.wait(TICK_S):
                return
            self._expire()
            slow = number % SLOW_EVERY == 0
            if slow or self.ledger_pending.is_set():
                post(self._refs["ledger"], Tick())
            if number % MEMBERS_EVERY == 0:
                post(self._refs["members"], Tick())
            if slow or (self._moving and number % MOVES_EVERY == 0):
                post(self._refs["moves"], Tick())
            if number % CONFIG_EVERY == 0:
                post(self._refs["config"], Tick())
            if number % POOL_EVERY == 0:
                for _, ref in self.pools.refs():
                    post(ref, Tick())

    def next_epoch(self):
        """Return a number for a new pool home of this process."""
        return next(self._epochs)

    # What actors publish

    def set_roster(self, roster):
        """Take in a new roster; duties may have moved."""
        self.roster = roster
        self.permits.on_roster(roster)
        self.pools.on_roster(roster)

    def set_view(self, view):
        """Take in a new version of the configuration."""
        self.view = view
        self._moving = any(view.move_state(name) == "open" for name in view.moves)

    def set_shares(self, shares):
        """Take in {model: (old version, {new version: share})}."""
        self.shares = shares

    def set_move_state(self, move, state, share, cause):
        """Take in a move's state for those who ask."""
        self.move_states[move] = {"state": state, "share": share, "cause": cause}

    def set_store_state(self, ok, at):
        """Note whether the key-value service answers."""
        if ok and not self.store_ok:
            self.timeline.add("config", "store answers again")
        self.store_ok = ok

    def adopt(self, record, source):
        """Hand a configuration to the actor that adopts it."""
        post(self._refs["config"], Adopt(record, source))

    def submit_patch(self, operations, base, patch_id, author):
        """Commit a patch and adopt it; raise as `ConfigStore.submit`."""
        record = self.config_store.submit(
            operations, base, patch_id, author, self.wall()
        )
        self.adopt(record, f"a patch by {author}")
        self._await_view(record.version)
        return record

    def _await_view(self, version):
        # Whoever patches here must read here what was accepted.
        until = self.clock() + ADOPT_WAIT_S
        while self.view.version < version and self.clock() < until:
            time.sleep(ADOPT_POLL_S)

    def observe_outcome(self, subject, running, outcome):
        """Hand an outcome at a pool home to the moves actor."""
        work, _, version = running
        if version:
            post(self._refs["moves"], Observed(subject, version, work, outcome))

    def spread_condemned(self, fingerprint):
        """Refuse a fingerprint here and tell all peers."""
        self._condemn([fingerprint])
        body = messages.PoisonNotice([fingerprint])
        for name in self.roster.live:
            self.tell(name, body)

    def _condemn(self, fingerprints):
        merged = set(self.condemned) | {str(item) for item in fingerprints}
        self.condemned = frozenset(sorted(merged)[-MAX_CONDEMNED:])

    # Peers

    def seeds(self):
        """Return the peer addresses from settings and the host list."""
        return [*self.cfg.peers_seeds, *self._host_seeds]

    def note_hosts(self, records):
        """Take in the platform's host list."""
        seeds = []
        for record in records:
            if record.peer and record.state == "live":
                host, _, port = record.peer.rpartition(":")
                if host and port.isdigit():
                    seeds.append((host, int(port)))
        self._host_seeds = seeds

    def note_peer_version(self, name, version):
        """Note the configuration version that a peer has in force."""
        self._peer_versions[name] = version

    def peer_ahead(self):
        """Return a reachable peer with a higher version, or None."""
        best = None
        for name, version in list(self._peer_versions.items()):
            if name not in self.roster.reachable:
                self._peer_versions.pop(name, None)
            elif version > self.view.version and (best is None or version > best[0]):
                best = (version, name)
        return best[1] if best else None

    def tell(self, name, body):
        """Send a message to a node, this one included; it may get lost."""
        if name == self.cfg.node_name:
            self._on_peer_message(body, lambda _: None)
            return
        address = self.roster.address(name)
        if address is not None:
            self.links.tell(address, body)

    def converse(self, name, body, sink, on_lost):
        """Send a message that gets one or more answers; return a handle."""
        if name == self.cfg.node_name:
            self._on_peer_message(body, sink)
            return 0
        address = self.roster.address(name)
        if address is None:
            on_lost(None)
            return 0
        return self.links.converse(address, body, sink, on_lost)

    def ask(self, name, body, timeout):
        """Send a message and wait for one answer; None where none comes."""
        answers = queue.SimpleQueue()

        def sink(answer):
            answers.put(answer)
            return True

        handle = self.converse(name, body, sink, lambda _: answers.put(None))
        try:
            return answers.get(timeout=timeout)
        except queue.Empty:
            self.links.forget(handle)
            return None

    def expire_later(self, handle):
        """Stop waiting for late answers of a handle after a while."""
        if handle:
            self._expiring.append((self.clock() + LATE_ANSWER_S, handle))

    def _expire(self):
        now = self.clock()
        while self._expiring and self._expiring[0][0] <= now:
            _, handle = self._expiring.popleft()
            self.links.forget(handle)

    def _on_peer_message(self, body, reply):
        route = _ROUTES.get(type(body))
        if route is not None:
            route(self, body, reply)

    def _to_members(self, body, reply):
        post(self._refs["members"], PeerMessage(body, reply))

    def _to_config(self, body, reply):
        post(self._refs["config"], PeerMessage(body, reply))

    def _to_moves(self, body, reply):
        post(self._refs["moves"], PeerMessage(body, reply))

    def _to_strikes(self, body, reply):
        self._condemn(body.rows)

    def _to_ledger(self, body, reply):
        wrap = {
            messages.ClaimRequest: lambda: Claimed(body, reply),
            messages.ClaimSettle: lambda: Settled(body, reply),
            messages.ClaimRelease: lambda: Released(body, reply),
        }[type(body)]
        told = post(self._refs["ledger"], wrap())
        if not told and isinstance(body, messages.ClaimRequest):
            reply(messages.ClaimResponse("unavailable"))

    def _to_events(self, body, reply):
        found = self.timeline.find(body.request, body.move, body.since, body.limit)
        reply(messages.EventsResponse(found))

    def _to_status(self, body, reply):
        reply(messages.StatusResponse(self.status()))

    # Targets

    def fetch_known_ids(self, ref, target):
        """Have a target asked for the ids it was given."""
        self.targets.fetch_known_ids(ref, target)

    # Reading

    def status(self):
        """Return this node's status as plain data."""
        return {
            "node": self.cfg.node_name,
            "zone": self.cfg.node_zone,
            "region": self.cfg.node_region,
            "boot": self.boot,
            "version": self.view.version,
            "stopping": self.stopping.is_set(),
            "store_ok": self.store_ok,
            "store_calls": self.store.calls,
            "running": self.permits.count(),
            "live": list(self.roster.live),
            "pools": self.pools.statuses(),
            "moves": dict(self.move_states),
            "peer_bytes_sent": self.links.bytes_sent,
            "peer_bytes_received": self.links.bytes_received,
            "cpu_seconds": time.process_time(),
            "uptime": self.wall() - self.began,
        }


def _to_pools(name):
    def route(node, body, reply):
        getattr(node.pools, name)(body, reply)

    return route


_ROUTES = {
    messages.Probe: Node._to_members,
    messages.ProbeAck: Node._to_members,
    messages.ConfigAnnouncement: Node._to_config,
    messages.ConfigPull: Node._to_config,
    messages.ConfigSnapshot: Node._to_config,
    messages.PermitRequest: _to_pools("ask"),
    messages.PoolLookup: _to_pools("look"),
    messages.PoolFirstByte: _to_pools("first_byte"),
    messages.PoolFinished: _to_pools("finished"),
    messages.PoolPause: _to_pools("pause"),
    messages.PoolWithdraw: _to_pools("withdraw"),
    messages.PoolRegister: _to_pools("register"),
    messages.ClaimRequest: Node._to_ledger,
    messages.ClaimSettle: Node._to_ledger,
    messages.ClaimRelease: Node._to_ledger,
    messages.EvidenceUpdate: Node._to_moves,
    messages.RollbackNotice: Node._to_moves,
    messages.PoisonNotice: Node._to_strikes,
    messages.EventsRequest: Node._to_events,
    messages.StatusRequest: Node._to_status,
}
