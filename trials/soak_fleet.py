"""The fleet of a soak: a store and targets on the event loop, hosts as processes."""

import asyncio
import os
import signal
import sys
import time
from collections import Counter

from lovagepier.entry._settings import parse_entry_settings
from test.entry_builders import config, route, settings
from test.platform_standins import StoreStandin, TargetStandin
from trials.proxy import Proxy

__all__ = ["SERVICES", "STREAM_EVENTS", "Fleet"]

HOSTS = 4
# The first letter of target names, their number and their usual mode.
SERVICES = {"ledger": ("w", 2, "ok"), "model": ("m", 3, "stream")}
# Every other target is in this zone, the rest in the hosts' own.
SECOND_ZONE = "a2"
STREAM_EVENTS = 4
EVENT_GAP_S = 0.1
WORK_S = 0.15
LEASE_CHECK_S = 0.1


class LeasedStore(StoreStandin):
    """A store whose leases end unless they are renewed."""

    def __init__(self):
        super().__init__()
        self._renewed_at = {}

    async def _call(self, method, path, query, body):
        status, result = await super()._call(method, path, query, body)
        if path == "/kv-lease":
            self._renewed_at[result["lease"]] = time.monotonic()
        elif path.startswith("/kv-keep/") and status == 200:
            self._renewed_at[int(path.rsplit("/", 1)[1])] = time.monotonic()
        return status, result

    async def expire_leases(self):
        """End leases in time, except while the store does not answer."""
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = time.monotonic()
            if self.fault is not None:
                for lease in self._renewed_at:
                    self._renewed_at[lease] += LEASE_CHECK_S
                continue
            for lease, ttl_ms in list(self.leases.items()):
                if now > self._renewed_at.get(lease, now) + ttl_ms / 1000:
                    await self.end_lease(lease)


class SoakTarget(TargetStandin):
    """A target whose mode may change while it works on a request."""

    async def _shed(self, writer, seal, headers, request_id):
        """Answer a request that began before this mode as usual."""
        usual = SERVICES[self.service][2]
        await getattr(self, f"_{usual}")(writer, seal, headers, request_id)


class HostProcess:
    """One entry host: its settings file, its proxy to the store and its process.

    `build_folder` holds the package that it runs from its next start on, None for that
    of this checkout. `extra` maps sections of the settings to keys.
    """

    def __init__(self, number, folder, store_proxy, seeds, **extra):
        self.build_folder = None
        self.name = f"n{number}"
        self.path = folder / f"{self.name}.ini"
        self.log = folder / f"{self.name}.log"
        self.store_proxy = store_proxy
        text = settings(self.name, store_proxy.port, seeds=seeds, **extra)
        self.path.write_text(text)
        self.cfg = parse_entry_settings(text)
        self.address = self.cfg.callers_listen
        self.process = None
        self._log_begin = 0
        self.is_stopped = False
        self.is_frozen = False

    async def start(self):
        """Start the process and wait until its sockets are open.

        Before that a signal ends it whatever the program does.
        """
        self._log_begin = self.log.stat().st_size if self.log.exists() else 0
        env = {**os.environ, "LOVAGEPIER_NODE_FILE": str(self.path)}
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "lovagepier.entry",
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=env,
                cwd=self.build_folder,
            )
        while not await self._accepts():
            await asyncio.sleep(0.005)
        self.is_stopped = False
        self.path.write_text(
            self.path.read_text().replace("first_start = true", "first_start = false")
        )

    def has_started(self):
        """Return whether the process has logged the end of its start."""
        return b'"node: started"' in self.log.read_bytes()[self._log_begin :]

    async def _accepts(self):
        try:
            _, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return self.process.returncode is not None
        writer.close()
        return True

    def signal(self, number):
        """Send a signal if the process runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process, even while it is suspended."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class Fleet:
    """The store, the targets, the hosts and the proxies between them.

    With `old_build`, a folder with its package, every other host runs that build at
    first. `extra` maps names of hosts to further settings, see `HostProcess`.
    """

    def __init__(self, folder, book, old_build=None, extra=None):
        self.old_build = old_build
        self.extra = extra or {}
        self.folder = folder
        self.book = book
        self.store = LeasedStore()
        self.targets = {}
        self.proxies = {}
        self.gone = []
        self.hosts = []
        self.version = 1
        self._target_number = 0
        # Whether n1 registers before the others start, and so precedes its equals.
        self.registers_first = False
        self._tasks = []

    async def start(self, build_folder=None):
        """Start everything and wait until a request is served by each host.

        The hosts run the package in `build_folder`, see `HostProcess`.
        """
        await self.store.start()
        await self.write_config()
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        for service, (_, count, _) in SERVICES.items():
            for _ in range(count):
                await self.add_target(service)
        for number in range(1, HOSTS + 1):
            proxy = await Proxy().start(self.store.port)
            extra = self.extra.get(f"n{number}", {})
            host = HostProcess(number, self.folder, proxy, "", **extra)
            host.build_folder = build_folder
            if number % 2 and self.old_build is not None:
                host.build_folder = self.old_build
            self.hosts.append(host)
        if self.registers_first:
            await self.hosts[0].start()
            while not any("/hosts/n1." in key for key in self.store.items):
                await asyncio.sleep(0.02)
        await asyncio.gather(
            *(host.start() for host in self.hosts[self.registers_first :])
        )

    async def write_config(self):
        """Write the next version of the configuration; it has one more route."""
        self.version += 1
        raw = config(self.version)
        raw["routes"] += [
            route(f"added{number}", "idempotent", "ledger")
            for number in range(self.version % 5)
        ]
        await self.store.write("op/config", raw)

    async def add_target(self, service, ended=None):
        """Start a target, under the id of one that ended if one is given."""
        letter, _, mode = SERVICES[service]
        if ended is None:
            self._target_number += 1
            target = SoakTarget(f"{letter}{self._target_number}", service)
        else:
            target = SoakTarget(ended.id, service)
            target.born = ended.born + 1
        if int(target.id[1:]) % 2 == 0:
            target.zone = SECOND_ZONE
        target.mode = mode
        target.events = STREAM_EVENTS
        target.gap_s = EVENT_GAP_S
        target.work_s = WORK_S
        await target.start()
        proxy = await Proxy().start(target.port)
        self.targets[target.id] = target
        self.proxies[target.id] = proxy
        await self.publish(target)
        return target

    async def publish(self, target, state="ready"):
        """Write the target's entry, with the address of its proxy."""
        entry = target.entry(state)
        entry["address"] = f"127.0.0.1:{self.proxies[target.id].port}"
        await self.store.write(f"servers/{target.id}", entry)

    async def end_target(self, target):
        """End a target's process; its entry stays in the store."""
        del self.targets[target.id]
        self.gone.append(target)
        await target.stop()
        await self.proxies.pop(target.id).close()

    def _all_runs(self):
        for target in (*self.targets.values(), *self.gone):
            for request_id, _, path, *_ in target.runs:
                yield request_id, path.split("/")[1]

    def runs(self):
        """Return {request id: number of runs} over all targets that ever were."""
        return Counter(request_id for request_id, _ in self._all_runs())

    def routes_run(self):
        """Return {request id: name of its route} of all requests that ran."""
        return dict(self._all_runs())

    def live_hosts(self):
        """Return the hosts that callers may choose for new connections."""
        return [host for host in self.hosts if not host.is_stopped]

    async def close(self):
        """End all processes and servers."""
        for host in self.hosts:
            await host.kill()
            await host.store_proxy.close()
        for task in self._tasks:
            task.cancel()
        for target in list(self.targets.values()):
            await self.end_target(target)
        await self.store.stop()
