"""The entry host process: startup, settings reload, periodic work and shutdown."""

import asyncio
import random
import signal
import threading
import uuid

from result import Err

from lovagepier import build_name
from lovagepier.clocks import uptime
from lovagepier.decisions.limits.connection_places import connection_places
from lovagepier.decisions.rollouts.terms import Terms
from lovagepier.entry._callers.frontend import GRACE_MARGIN_S, Frontend
from lovagepier.entry._cluster.capacity import capacity_score
from lovagepier.entry._cluster.cluster import Cluster
from lovagepier.entry._cluster.links import LinkServer
from lovagepier.entry._coordination.coordinator import Coordinator
from lovagepier.entry._coordination.verdicts import Verdicts
from lovagepier.entry._loop_monitor import LoopMonitor
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._signals import HANDLED_SIGNALS, RELOAD_SIGNAL, STOP_SIGNALS
from lovagepier.entry._store.actors import (
    LEASE_TTL_S,
    Registrar,
    Registration,
    Watcher,
    WriteKey,
)
from lovagepier.entry._store.view import HOST_PREFIX, StoreView, encode_host
from lovagepier.entry._targets.tunnel_messages import TUNNEL_MESSAGES
from lovagepier.errors import UserError
from lovagepier.formats import OWN_FORMATS
from lovagepier.logs import component_logger
from lovagepier.platform import number_of
from lovagepier.settings import read_settings_file

__all__ = ["EntryHost"]

# Interval of the coordinator's tick while requests wait.
TICK_S = 0.05
# Interval of the coordinator's tick while nothing waits.
IDLE_TICK_S = 0.25
# A stopping host accepts connections for at least this long: callers with a cached
# directory response still use it.
MIN_DRAIN_S = 2.2
# The longest lease that the store grants.
VERDICT_LEASE_S = 600.0
# A restarted host asks the store only if it has no link to another host by then.
PEERS_FIRST_S = 0.12
# The settings file may change without a signal, so it is also polled.
SETTINGS_POLL_S = 5.0
# Settings that take effect only at a start: names and addresses in use, and what pools
# are made with.
STARTUP_SETTINGS = frozenset(
    (
        "callers_directory",
        "callers_listen",
        "callers_ready",
        "host_max_fds",
        "host_memory_mb",
        "host_name",
        "metrics_listen",
        "peers_listen",
        "scheduling_pace",
        "scheduling_reserve_room",
        "store_address",
    )
)
# A stopping host leaves idle connections open for this long.
IDLE_CLOSE_DELAY_S = 1.0
# A stopping host closes a connection without a response once it was idle this long.
MIN_IDLE_S = 0.3
# A stopping host accepts no more connections this long before its work ends.
LISTEN_MARGIN_S = 0.2
# After its work has ended, a stopping host leaves callers this long to take responses.
END_MARGIN_S = 0.25
# How often a stopping host checks whether its work is complete.
DRAIN_POLL_S = 0.05
_log = component_logger("node")


def _log_unhandled(loop, context):
    """Log what no task or callback handled; the loop goes on."""
    _log.error(
        "unexpected error", what=context["message"], exc_info=context.get("exception")
    )


class EntryHost:
    """Runs until SIGTERM or SIGINT, then completes the requests that it has begun.

    SIGHUP reloads the settings file. `began_at` is when the process began, in loop
    seconds, None for now: if all hosts were lost, nothing was admitted since.
    """

    def __init__(self, cfg, settings_path, sockets, began_at=None):
        self.cfg = cfg
        self._path = settings_path
        self._sockets = sockets
        self._settings_text = read_settings_file(settings_path) if settings_path else ""
        self._loop = asyncio.get_running_loop()
        self._boot = uuid.uuid4().hex[:12]
        self.view = StoreView()
        self.coordinator = Coordinator(
            cfg, self.view, random.Random(self._boot), self._send, self._write_state
        )
        self._verdicts = Verdicts(
            self.view, self.coordinator.poison_detector, self._write_verdict
        )
        if cfg.host_first_start != "true":
            # The quotas may have been used up in full before this start.
            now = self._loop.time()
            self.coordinator.take_over(now if began_at is None else began_at)
        self.cluster = Cluster(
            cfg, self.view, self.coordinator, self._on_changed_keys, self._boot
        )
        self.frontend = Frontend(cfg, self.view, self.cluster, self.coordinator)
        self._terms = Terms()
        self._loop_monitor = LoopMonitor(self.frontend.metrics)
        self._watcher = None
        self._registrar = None
        self._stopping = asyncio.Event()
        self._watching = threading.Event()
        if not self.cluster.candidates.starts_with_peers:
            self._watching.set()

    # Start and stop

    async def run(self):
        """Serve until told to stop; return after a graceful shutdown."""
        for signum in STOP_SIGNALS:
            self._loop.add_signal_handler(signum, self._stopping.set)
        self._loop.add_signal_handler(RELOAD_SIGNAL, self._reload)
        # They are blocked during the start of a process.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        self._loop.set_exception_handler(_log_unhandled)
        self._start_actors()
        self._loop.call_later(PEERS_FIRST_S, self._set_watching)
        self._loop_monitor.start()
        try:
            await self._serve()
        finally:
            self._loop_monitor.stop()
            self._stop_actors()

    async def _serve(self):
        links = LinkServer(
            self._on_link_message,
            self._on_link_closed,
            self.cluster.link_counts,
            connection_places(int(self.cfg.host_max_fds))["peers_listen"],
        )
        await links.start(self.cfg.peers_listen)
        await self.frontend.listen(self._sockets)
        tasks = [
            self._loop.create_task(self.cluster.run()),
            self._loop.create_task(self._tick_forever()),
            self._loop.create_task(self._reload_forever()),
            self._loop.create_task(self.frontend.connector.run()),
        ]
        _log.info(
            "started",
            host=self.cfg.host_name,
            boot=self._boot,
            build=build_name(),
            formats=OWN_FORMATS,
        )
        try:
            await self._stopping.wait()
            await self._drain()
        finally:
            for task in tasks:
                task.cancel()
            # No other host is to follow this one any more.
            links.close()
        _log.info("stopped", host=self.cfg.host_name)

    def _start_actors(self):
        address = self.cfg.store_address

        # Actors run in threads of their own: their results go to the event loop.
        def on_loop(handler):
            def call(*args):
                try:
                    self._loop.call_soon_threadsafe(handler, *args)
                except RuntimeError:
                    if not self._loop.is_closed():
                        raise
                    _log.debug("discarded a result of the store after the host's end")

            return call

        self._watcher = Watcher.start(
            address,
            self._watching,
            lambda: self.view.as_of,
            on_loop(self._on_snapshot),
            on_loop(self._on_events),
            on_loop(self._on_store_fault),
        )
        key = f"{HOST_PREFIX}{self.cfg.host_name}.{self._boot}"
        lease = max(LEASE_TTL_S, self.cfg.store_lease_least)
        self._registrar = Registrar.start(
            address,
            key,
            self._registration(),
            lease,
            on_loop(self._on_written),
            on_loop(self.cluster.candidates.on_registered),
        )

    def _stop_actors(self):
        """Stop the actors after their current calls, the registrar once it has left."""
        self._watcher.stop(block=False)
        self._registrar.stop(block=False)

    def _registration(self):
        host, port = self.cfg.peers_listen
        score = capacity_score(self.cfg) + self.cluster.candidates.precedence.points
        return encode_host(self.cfg.host_name, f"{host}:{port}", score)

    def _on_link_message(self, link, message):
        if isinstance(message, TUNNEL_MESSAGES):
            self.frontend.tunnel_server.on_message(link, message)
        else:
            self.cluster.on_message(link, message)

    def _on_link_closed(self, link):
        self.frontend.tunnel_server.on_closed(link)
        self.cluster.followers.on_closed(link)

    def _reload(self):
        """Reload the settings file; changes that need a restart are only logged."""
        try:
            text = read_settings_file(self._path)
            if text == self._settings_text:
                return
            new_cfg = parse_entry_settings(text, self._path)
        except UserError as exc:
            _log.error("settings not reloaded; keeping the old ones", why=str(exc))
            return
        self._settings_text = text
        changed = [
            n for n in new_cfg.__slots__ if getattr(new_cfg, n) != getattr(self.cfg, n)
        ]
        for name in changed:
            if name not in STARTUP_SETTINGS:
                setattr(self.cfg, name, getattr(new_cfg, name))
        _log.info(
            "settings reloaded",
            changed=[name for name in changed if name not in STARTUP_SETTINGS],
            at_next_start=[name for name in changed if name in STARTUP_SETTINGS],
        )

    async def _reload_forever(self):
        while self._path:
            await asyncio.sleep(SETTINGS_POLL_S)
            self._reload()

    async def _drain(self):
        started_at = self._loop.time()
        stops_at = started_at + self.cfg.shutdown_grace - GRACE_MARGIN_S
        _log.info("told to stop", open=self.frontend.open_connections)
        self.frontend.stop_by(stops_at)
        self.cluster.announce_draining()
        self.cluster.choose_coordinator()
        if self._registrar is not None:
            self._registrar.proxy().leave()
        listens_until = stops_at - LISTEN_MARGIN_S
        while (now := self._loop.time()) < listens_until:
            self.frontend.give_back_late()
            if now - started_at >= IDLE_CLOSE_DELAY_S:
                self.frontend.close_idle(MIN_IDLE_S)
            if not self.frontend.is_serving and now - started_at >= MIN_DRAIN_S:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        await self.frontend.close()
        # Requests on connections that were accepted last are answered as well.
        self.frontend.give_back_late()
        await asyncio.sleep(DRAIN_POLL_S)
        ends_at = max(stops_at, self._loop.time()) + END_MARGIN_S
        while (now := self._loop.time()) < ends_at:
            # Tunnels of other hosts end with the process.
            has_tunnels = self.frontend.tunnel_server.is_serving and now < stops_at
            if not self.frontend.open_connections and not has_tunnels:
                break
            self.frontend.close_idle(MIN_IDLE_S)
            await asyncio.sleep(DRAIN_POLL_S)
        self.frontend.reject_unread()

    # Changes in the store

    def _on_snapshot(self, items, as_of):
        self.cluster.replication.discard_changes()
        had_catalog = self.view.catalog is not None
        self._on_changed_keys(self.view.on_scan(items, as_of, self._loop.time()))
        if not had_catalog:
            # Hosts that started with this one wait for its view of the store.
            self.cluster.followers.push_rosters_soon(at_once=True)

    def _on_events(self, events, as_of):
        after = self.view.as_of
        before = {event.key: self.view.items.get(event.key) for event in events}
        self._on_changed_keys(self.view.on_events(events, as_of, self._loop.time()))
        self.cluster.replication.record_changes(before, after)

    def _on_store_fault(self, why):
        self.view.on_fault(self._loop.time())

    def _on_changed_keys(self, changed):
        if changed:
            self._refresh()
        if self.view.catalog is not None:
            self.frontend.has_catalog.set()

    def _refresh(self):
        self._verdicts.read(self._loop.time())
        # The number of hosts decides how much of each quota this one may admit.
        self.cluster.update_shares()
        try:
            self.coordinator.refresh(self._loop.time())
        except Exception as exc:  # noqa: BLE001  changes must still reach the followers
            _log.error("could not refresh the schedulers", exc_info=exc)
        self.cluster.choose_coordinator()
        incarnations = {target.incarnation for target in self.view.targets.values()}
        self.frontend.target_connections.close_stale(incarnations)

    def _write_state(self, key, value, expected):
        self._registrar.tell(WriteKey(key, value, expected))

    def _write_verdict(self, key, value):
        self._registrar.tell(WriteKey(key, value, None, VERDICT_LEASE_S))

    def _on_written(self, message, result):
        if isinstance(result, Err):
            _log.warning(
                "could not write to the store",
                key=message.key,
                why=str(result.err_value),
            )
        else:
            _log.info(
                "wrote to the store",
                key=message.key,
                revision=number_of(result.ok_value),
            )

    async def _tick_forever(self):
        while True:
            pause_s = TICK_S if self.coordinator.has_waiting() else IDLE_TICK_S
            self._loop_monitor.expect(pause_s)
            await asyncio.sleep(pause_s)
            self._loop_monitor.tick()
            now = self._loop.time()
            try:
                if self.view.expire_lapsed(now):
                    self._refresh()
                is_coordinator = self.cluster.coordinator_name == self.cfg.host_name
                why = self._terms.beginning(is_coordinator, uptime())
                if why:
                    self.coordinator.rollouts.begin_term(now, why)
                self.coordinator.tick(now, is_coordinator)
                if is_coordinator:
                    self.coordinator.rollouts.write_states(now)
                    self._verdicts.write(now)
                if self.cluster.candidates.precedence.must_withdraw(
                    is_coordinator, now
                ):
                    self._registrar.tell(Registration(self._registration()))
                self.cluster.followers.push_rosters()
                self._set_watching()
            except Exception as exc:  # noqa: BLE001  a failing tick must not end the host
                _log.error("tick failed", exc_info=exc)

    def _set_watching(self):
        wanted = self.cluster.should_watch()
        if wanted == self._watching.is_set():
            return
        _log.info(
            "watching the store"
            if wanted
            else "following the store through the coordinator"
        )
        if wanted:
            self._watching.set()
        else:
            self._watching.clear()

    def _send(self, entry, message):
        self.cluster.send_to_host(entry, message)
