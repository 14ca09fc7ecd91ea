"""One entry host: its servers, its view of the world and its standing work."""

import asyncio
import random
import signal
import threading
import uuid

from result import Err

from lovagepier.entry._desk import Desk
from lovagepier.entry._frontend import GRACE_MARGIN_S, Frontend
from lovagepier.entry._home import Home
from lovagepier.entry._links import LinkServer
from lovagepier.entry._mirror import LEASE_S, Registrar, Watcher, WriteKey
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._view import HOST_PREFIX, StoreView, encode_host
from lovagepier.errors import UserError
from lovagepier.logs import component_logger
from lovagepier.settings import read_settings_file

__all__ = ["EntryHost"]

# The home's clock for waiting work that can't be served any more.
TICK_S = 0.05
# Its clock while nothing waits.
IDLE_TICK_S = 0.25
# A host that is told to stop takes new requests this long: callers that keep an
# old answer of the directory still come.
LINGER_S = 2.2
# The settings file may change without a signal; it is looked at this often.
SETTINGS_CHECK_S = 5.0
# What only a start can change: names and addresses that are in use.
FIXED_SETTINGS = frozenset(
    (
        "callers_directory",
        "callers_listen",
        "callers_ready",
        "host_name",
        "metrics_listen",
        "peers_listen",
        "store_address",
    )
)
# Kept connections are told to go after this.
CLOSE_IDLE_S = 1.0
# How often a stopping host looks whether it has ended its work.
DRAIN_STEP_S = 0.05
# Steps of a host's power: half a core, 50 Mbit/s. What goes through a home at 60
# hosts needs no more than `MOST_POWER` of them.
POWER_CORES = 0.5
POWER_MBPS = 50.0
MOST_POWER = 4

_log = component_logger("node")


def _power(cfg):
    """Return how fit a host is to be home: more cores and a wider link first."""
    cores = cfg.host_cores * cfg.host_core_share
    cores = min(int(cores / POWER_CORES), MOST_POWER)
    link = min(int(cfg.host_link_mbps / POWER_MBPS), MOST_POWER)
    return min(cores, link)


class EntryHost:
    """Runs until it is told to stop; then finishes what it has begun."""

    def __init__(self, cfg, settings_path, sockets):
        self.cfg = cfg
        self._path = settings_path
        self._sockets = sockets
        self._settings_text = read_settings_file(settings_path) if settings_path else ""
        self._loop = asyncio.get_running_loop()
        self._boot = uuid.uuid4().hex[:12]
        self.view = StoreView()
        self.coordinator = Home(
            cfg, self.view, random.Random(self._boot), self._send, self._write_state
        )
        if cfg.host_first_start != "true":
            # Before this start the quotas may have been given out in full.
            self.coordinator.take_over(self._loop.time())
        self.cluster = Desk(cfg, self.view, self.coordinator, self._on_keys)
        self.frontend = Frontend(cfg, self.view, self.cluster, self.coordinator)
        self._watcher = None
        self._registrar = None
        self._stopping = asyncio.Event()
        self._watching = threading.Event()
        self._watching.set()

    # Life

    async def run(self):
        """Serve until SIGTERM; return after a graceful stop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._start_actors()
        links = LinkServer(self.cluster.on_message, self.cluster.served.on_closed)
        await links.start(self.cfg.peers_listen)
        await self.frontend.listen(self._sockets)
        tasks = [
            self._loop.create_task(self.cluster.run()),
            self._loop.create_task(self._tick_forever()),
            self._loop.create_task(self._reload_forever()),
        ]
        _log.info("started", host=self.cfg.host_name, boot=self._boot)
        await self._stopping.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        _log.info("stopped", host=self.cfg.host_name)

    def _start_actors(self):
        address = self.cfg.store_address

        def on_loop(handler):
            def call(*args):
                self._loop.call_soon_threadsafe(handler, *args)

            return call

        self._watcher = Watcher.start(
            address,
            self._watching,
            lambda: self.view.as_of,
            on_loop(self._on_scan),
            on_loop(self._on_events),
            on_loop(self._on_store_fault),
        )
        key = f"{HOST_PREFIX}{self.cfg.host_name}.{self._boot}"
        host, port = self.cfg.peers_listen
        value = encode_host(self.cfg.host_name, f"{host}:{port}", _power(self.cfg))
        lease = max(LEASE_S, self.cfg.store_lease_least)
        self._registrar = Registrar.start(
            address, key, value, lease, on_loop(self._on_written)
        )

    def _reload(self):
        """Read the settings file again; what needs a start is only logged."""
        try:
            text = read_settings_file(self._path)
            if text == self._settings_text:
                return
            fresh = parse_entry_settings(text, self._path)
        except UserError as exc:
            _log.error("kept the old settings", why=str(exc))
            return
        self._settings_text = text
        changed = [
            n for n in fresh.__slots__ if getattr(fresh, n) != getattr(self.cfg, n)
        ]
        for name in changed:
            if name not in FIXED_SETTINGS:
                setattr(self.cfg, name, getattr(fresh, name))
        _log.info(
            "settings read again",
            changed=[name for name in changed if name not in FIXED_SETTINGS],
            at_next_start=[name for name in changed if name in FIXED_SETTINGS],
        )

    async def _reload_forever(self):
        while self._path:
            await asyncio.sleep(SETTINGS_CHECK_S)
            self._reload()

    async def _drain(self):
        began = self._loop.time()
        last = began + self.cfg.shutdown_grace - GRACE_MARGIN_S
        _log.info("told to stop", open=self.frontend.open)
        self.frontend.stop_by(last)
        self.cluster.announce()
        self.cluster.choose()
        if self._registrar is not None:
            self._registrar.proxy().leave()
        await asyncio.sleep(CLOSE_IDLE_S)
        while self._loop.time() < last:
            self.frontend.close_idle()
            if not self.frontend.busy and self._loop.time() - began >= LINGER_S:
                break
            await asyncio.sleep(DRAIN_STEP_S)
        self.frontend.close()

    # The store

    def _on_scan(self, items, as_of):
        self.cluster.sharing.forget_changes()
        self._on_keys(self.view.on_scan(items, as_of, self._loop.time()))

    def _on_events(self, events, as_of):
        after = self.view.as_of
        before = {event.key: self.view.items.get(event.key) for event in events}
        self._on_keys(self.view.on_events(events, as_of, self._loop.time()))
        self.cluster.sharing.note_changes(before, after)

    def _on_store_fault(self, why):
        self.view.on_fault(self._loop.time())

    def _on_keys(self, changed):
        if changed:
            self._refresh()
        if self.view.catalog is not None:
            self.frontend.has_catalog.set()

    def _refresh(self):
        self.coordinator.refresh(self._loop.time())
        self.cluster.choose()
        lives = {target.incarnation for target in self.view.targets.values()}
        self.frontend.connections.sweep(lives)

    def _write_state(self, key, value, expected):
        self._registrar.tell(WriteKey(key, value, expected))

    def _on_written(self, message, result):
        if isinstance(result, Err):
            _log.warning("could not write", key=message.key, why=str(result.err_value))
        else:
            _log.info("wrote", key=message.key, revision=result.ok_value)

    async def _tick_forever(self):
        while True:
            await asyncio.sleep(TICK_S if self.coordinator.busy() else IDLE_TICK_S)
            now = self._loop.time()
            try:
                if self.view.expire_lapsed(now):
                    self._refresh()
                is_home = self.cluster.current == self.cfg.host_name
                self.coordinator.tick(now, is_home)
                if is_home:
                    self.coordinator.moves.tell(now)
                self.cluster.served.push_rosters()
                self._set_watching()
            except Exception as exc:  # noqa: BLE001  one fault must not end the host
                _log.error("a tick failed", exc_info=exc)

    def _set_watching(self):
        wanted = self.cluster.should_watch()
        if wanted == self._watching.is_set():
            return
        _log.info("watches the store" if wanted else "learns from the home")
        if wanted:
            self._watching.set()
        else:
            self._watching.clear()

    def _send(self, entry, message):
        self.cluster.send_to_entry(entry, message)
