"""The node: starts the actors, routes peer messages and stops gracefully."""

import contextlib
import itertools
import queue
import threading
import time
import uuid
from collections import deque

import pykka

from lovagepier import build_name
from lovagepier.backing import HostList, WeightStore, open_store
from lovagepier.clocks import uptime
from lovagepier.config import ConfigStore, ConfigView, empty_document
from lovagepier.errors import UserError
from lovagepier.formats import OWN_FORMATS
from lovagepier.logs import component_logger
from lovagepier.metrics import Metrics
from lovagepier.node._actors import Tick, post
from lovagepier.node._config import AdoptConfig, ConfigActor, ConfigWatcher
from lovagepier.node._ledger import LedgerActor
from lovagepier.node._members import Leave, MembersActor
from lovagepier.node._orders import Orders
from lovagepier.node._peer_routes import PeerRoutes
from lovagepier.node._permits import PermitClient
from lovagepier.node._pools import Pools
from lovagepier.node._rollouts import OutcomeObserved, RolloutsActor
from lovagepier.node._roster import Roster
from lovagepier.node._settlements import Settlements
from lovagepier.node._status import node_status
from lovagepier.node._targets import TargetReader
from lovagepier.node._timeline import Timeline
from lovagepier.peers import Links, messages

__all__ = ["Node"]

TICK_S = 0.025
MEMBERS_EVERY_TICKS = 4
CONFIG_EVERY_TICKS = 16
ROLLOUTS_EVERY_TICKS = 4
POOL_EVERY_TICKS = 2
# For the ledger and rollouts actors while they have nothing to do.
IDLE_EVERY_TICKS = 40
OUTCOME_FLUSH_S = 0.3
MAX_SETTLEMENT_WAIT_S = 15.0
DRAIN_POLL_S = 0.1
# Other nodes may name a stopping node as an entry host for this long.
ENTRY_LIST_LAG_S = 1.0
MAX_POISON_FINGERPRINTS = 1000
MAX_ADOPT_WAIT_S = 1.0
LATE_ANSWER_TIMEOUT_S = 60.0
ADOPT_POLL_S = 0.002


class Node:
    """The state and services that the actors of one process share.

    The attributes `view`, `roster`, `shares` and `poisoned` are replaced as a
    whole and never changed in place, so other threads read them without a lock.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.boot = uuid.uuid4().hex[:8]
        self.clock = time.monotonic
        self.wall = time.time
        self.uptime = uptime
        self.timeline = Timeline(cfg.node_name)
        self.metrics = Metrics()
        self.store = open_store(cfg)
        self.host_list = HostList(cfg)
        self.weight_store = WeightStore(cfg)
        self.config_store = ConfigStore(self.store)
        self.view = ConfigView(0, empty_document())
        self.roster = Roster(cfg.node_name, [], [], [], [])
        self.shares = {}
        self.rollout_states = {}
        self.poisoned = frozenset()
        self.store_ok = True
        self.ledger_pending = threading.Event()
        self.stopping = threading.Event()
        self._refuses_from = None
        self.stopped = threading.Event()
        self.started_at = time.time()
        self.permits = PermitClient(self)
        self._refs = {}
        self._peer_routes = PeerRoutes(self, self._refs)
        self.links = Links(cfg, self._peer_routes.handle)
        self.targets = TargetReader(self)
        self.settlements = Settlements(self)
        self.orders = Orders(self)
        self._watcher = ConfigWatcher(self)
        self._log = component_logger("node")
        self._epochs = itertools.count(1)
        self.pools = Pools(self)
        self._peer_config_versions = {}
        self._host_seeds = []
        self._expiring_handles = deque()
        self._has_open_rollouts = False

    # Start and stop

    def start(self):
        """Listen for peers and start the actors.

        Raise `UserError` if the peer address can't be listened on.
        """
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
            ("moves", RolloutsActor),
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
        self._log.info(
            "node started",
            node=self.cfg.node_name,
            boot=self.boot,
            build=build_name(),
            formats=OWN_FORMATS,
        )

    def facts(self):
        """Return what the other nodes learn about this one through membership."""
        host, port = self.cfg.peers_address
        return {
            "peer": [host, self.links.port or port],
            "url": self.cfg.callers_url,
            "zone": self.cfg.node_zone,
            "region": self.cfg.node_region,
        }

    def leave(self):
        """Begin the graceful stop: peers take over this node's pools and shards.

        Further calls do nothing.
        """
        if self.stopping.is_set():
            return
        lapsed_after = self.cfg.callers_entry_ttl + ENTRY_LIST_LAG_S
        self._refuses_from = self.clock() + lapsed_after
        self.stopping.set()
        self.timeline.add("node", "stopping", why="asked to stop")
        self._log.info("node stopping")
        post(self._refs["members"], Leave())

    @property
    def refuses_callers(self):
        """Whether this node stops and callers no longer have it in their lists."""
        return self._refuses_from is not None and self.clock() >= self._refuses_from

    def drain(self, idle_seconds, busy):
        """Wait until callers no longer use this host and no request runs.

        `idle_seconds` is how long callers keep a list of entry hosts; `busy()`
        returns the number of requests in progress. Then wait up to
        `MAX_SETTLEMENT_WAIT_S` for the ledger to confirm final states of claims.
        """
        until = self.clock() + idle_seconds
        while self.clock() < until or busy() or self.permits.count():
            time.sleep(DRAIN_POLL_S)
        until = self.clock() + MAX_SETTLEMENT_WAIT_S
        while self.settlements.count() and self.clock() < until:
            time.sleep(DRAIN_POLL_S)
        # The outcomes of the last requests may still wait in the outboxes of the
        # links to the coordinators.
        time.sleep(OUTCOME_FLUSH_S)

    def stop(self):
        """Stop the actors and links; call after `drain`."""
        self.stopped.set()
        self._watcher.stop()
        self.targets.stop()
        pykka.ActorRegistry.stop_all(block=False)
        self.links.stop()
        self._log.info("node stopped")

    def _tick(self):
        for number in itertools.count():
            if self.stopped.wait(TICK_S):
                return
            self._forget_expired()
            is_idle_tick = number % IDLE_EVERY_TICKS == 0
            if is_idle_tick or self.ledger_pending.is_set():
                post(self._refs["ledger"], Tick())
            if number % MEMBERS_EVERY_TICKS == 0:
                post(self._refs["members"], Tick())
            if is_idle_tick or (
                self._has_open_rollouts and number % ROLLOUTS_EVERY_TICKS == 0
            ):
                post(self._refs["moves"], Tick())
            if number % CONFIG_EVERY_TICKS == 0:
                post(self._refs["config"], Tick())
            if number % POOL_EVERY_TICKS == 0:
                for _, ref in self.pools.refs():
                    post(ref, Tick())

    def next_epoch(self):
        """Return a number that no earlier pool actor of this process has."""
        return next(self._epochs)

    # State published by the actors

    def set_roster(self, roster):
        """Replace the roster; pools and running requests follow their owners."""
        self.roster = roster
        self.permits.on_roster(roster)
        self.pools.on_roster(roster)

    def set_view(self, view):
        """Replace the configuration in force."""
        self.view = view
        self._has_open_rollouts = any(
            view.rollout_state(name) == "open" for name in view.rollouts
        )

    def set_shares(self, shares):
        """Replace the traffic shares: {model: (old version, {new version: share})}."""
        self.shares = shares

    def set_rollout_state(self, rollout, state, share, cause):
        """Set a rollout's state, which `status` reports."""
        self.rollout_states[rollout] = {"state": state, "share": share, "cause": cause}

    def set_store_state(self, ok, at):
        """Record whether the key-value store answers."""
        if ok and not self.store_ok:
            self.timeline.add("config", "store answers again")
        self.store_ok = ok

    def adopt_config(self, record, source):
        """Send a configuration to the actor that puts it in force."""
        post(self._refs["config"], AdoptConfig(record, source))

    def submit_patch(self, operations, base, patch_id, author):
        """Commit a patch and put the result in force at this node.

        Raise as `ConfigStore.submit`.
        """
        record = self.config_store.submit(
            operations, base, patch_id, author, self.wall()
        )
        self.adopt_config(record, f"a patch by {author}")
        self._await_view(record.version)
        return record

    def _await_view(self, version):
        # An operator who reads from this node after a patch must see its result.
        until = self.clock() + MAX_ADOPT_WAIT_S
        while self.view.version < version and self.clock() < until:
            time.sleep(ADOPT_POLL_S)

    def observe_outcome(self, subject, running, outcome):
        """Pass an outcome that a pool on this node received to the rollouts actor.

        `running` is (work, target, version) of the request. An outcome without a
        version is ignored.
        """
        work, _, version = running
        if version:
            post(self._refs["moves"], OutcomeObserved(subject, version, work, outcome))

    def announce_poison(self, fingerprint):
        """Mark a fingerprint as poison on this node and on all live peers."""
        self.add_poison([fingerprint])
        body = messages.PoisonNotice([fingerprint])
        for name in self.roster.live:
            self.tell(name, body)

    def _add_poison(self, fingerprints):
        merged = set(self.poisoned) | {str(item) for item in fingerprints}
        self.poisoned = frozenset(sorted(merged)[-MAX_POISON_FINGERPRINTS:])

    # Peers

    def seeds(self):
        """Return the seed addresses from the settings and the host list."""
        return [*self.cfg.peers_seeds, *self._host_seeds]

    def note_hosts(self, records):
        """Take the addresses of live hosts in the platform's list as seeds."""
        seeds = []
        for record in records:
            if record.peer and record.state == "live":
                host, _, port = record.peer.rpartition(":")
                if host and port.isdigit():
                    seeds.append((host, int(port)))
        self._host_seeds = seeds

    def note_peer_version(self, name, version):
        """Record the configuration version that a peer has in force."""
        self._peer_config_versions[name] = version

    def peer_with_newer_config(self):
        """Return the reachable peer with the highest version above this node's.

        Return None if there is none.
        """
        best = None
        for name, version in list(self._peer_config_versions.items()):
            if name not in self.roster.reachable:
                self._peer_config_versions.pop(name, None)
            elif version > self.view.version and (best is None or version > best[0]):
                best = (version, name)
        return best[1] if best else None

    def tell(self, name, body):
        """Send a message to a node or to this one, without delivery guarantee."""
        if name == self.cfg.node_name:
            self._peer_routes.handle(body, lambda _: None)
            return
        address = self.roster.address(name)
        if address is not None:
            self.links.tell(address, body)

    def ask_many(self, name, body, on_answer, on_error):
        """Send a message that gets one or more answers; return a handle.

        See `Links.ask_many`. The handle is 0 if no answer is awaited; the
        error given to `on_error` is None if the node's address is unknown.
        """
        if name == self.cfg.node_name:
            self._peer_routes.handle(body, on_answer)
            return 0
        address = self.roster.address(name)
        if address is None:
            on_error(None)
            return 0
        return self.links.ask_many(address, body, on_answer, on_error)

    def ask(self, name, body, timeout):
        """Send a message and wait up to `timeout` seconds for one answer.

        Return None on a timeout or if the message could not be sent.
        """
        answers = queue.SimpleQueue()

        def on_answer(answer):
            answers.put(answer)
            return True

        handle = self.ask_many(name, body, on_answer, lambda _: answers.put(None))
        try:
            return answers.get(timeout=timeout)
        except queue.Empty:
            self.links.forget(handle)
            return None

    def forget_later(self, handle):
        """Accept late answers to a message for another `LATE_ANSWER_TIMEOUT_S`."""
        if handle:
            self._expiring_handles.append(
                (self.clock() + LATE_ANSWER_TIMEOUT_S, handle)
            )

    def _forget_expired(self):
        now = self.clock()
        while self._expiring_handles and self._expiring_handles[0][0] <= now:
            _, handle = self._expiring_handles.popleft()
            self.links.forget(handle)

    # Targets

    def fetch_known_ids(self, ref, target):
        """Read a target's known request ids in the background; the actor gets them."""
        self.targets.fetch_known_ids(ref, target)

    # Status

    def status(self):
        """Return this node's status in types that JSON and CBOR can carry."""
        return node_status(self)
