"""Faults of a soak: signals, store and network faults, and planned work."""

import asyncio
import signal
import time

from trials.soak_fleet import SECOND_ZONE, SERVICES

__all__ = ["Faults"]

# How long a host that got SIGTERM may take to exit.
GRACE_S = 8.0
# What targets do wrong for a time, by their usual mode.
BAD_MODES = {
    "ok": (
        "error",
        "shed",
        "reset",
        "extra",
        "late_extra",
        "unnamed_extra",
        "unnamed_refusal",
        "unframed_twice",
        "unframed_extra",
        "short",
    ),
    "stream": (
        "error",
        "shed",
        "reset",
        "broken_stream",
        "stream_twice",
        "trickle",
        "rubbish",
    ),
}
PLANNED = (
    "stop_host",
    "reload_host",
    "new_config",
    "leaving_target",
    "evacuate_zone",
)
# Planned work in a soak of two builds.
REPLACEMENT = "replace_host"
UNPLANNED = (
    "kill_host",
    "freeze_host",
    "cut_host_from_store",
    "silent_store",
    "busy_store",
    "restore_store",
    "compact_store",
    "crash_target",
    "reset_target",
    "silence_target",
    "delay_target",
    "refuse_target",
    "bad_target",
)


class Faults:
    """Draws faults from a seed and ends each of them after a time."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._running = set()

    async def run(self, seconds, planned_only):
        """Inject faults for a time, several at once; wait until all have ended."""
        kinds = PLANNED if planned_only else (*PLANNED, *UNPLANNED)
        if self._fleet.old_build is not None:
            kinds = (*kinds, REPLACEMENT)
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            kind = self._rng.choice(kinds)
            self._fleet.book.faults[kind] += 1
            task = asyncio.create_task(getattr(self, f"_{kind}")())
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(self._rng.uniform(0.1, 0.8))
        while self._running:
            await asyncio.gather(*list(self._running))

    def _pick_host(self):
        # One host at least stays as it is.
        usable = [h for h in self._fleet.hosts if not h.is_stopped and not h.is_frozen]
        return self._rng.choice(usable) if len(usable) > 1 else None

    def _pick_target(self):
        return self._rng.choice(list(self._fleet.targets.values()))

    def _duration(self, most=3.0):
        return asyncio.sleep(self._rng.uniform(0.2, most))

    # Hosts

    async def _replace_host(self):
        """Stop a host and start it with the other build."""
        host = self._pick_host()
        if host is None:
            return
        is_old = host.build_folder is not None
        host.build_folder = None if is_old else self._fleet.old_build
        await self._stop(host)

    async def _stop_host(self):
        host = self._pick_host()
        if host is not None:
            await self._stop(host)

    async def _stop(self, host):
        host.is_stopped = True
        host.signal(signal.SIGTERM)
        began = time.monotonic()
        try:
            async with asyncio.timeout(GRACE_S):
                code = await host.process.wait()
        except TimeoutError:
            self._fleet.book.find("no exit within the grace", host=host.name)
            await host.kill()
        else:
            # SIGTERM ends a host of an older build that has not started yet at once.
            is_old_start = host.build_folder is not None and not host.has_started()
            if code != 0 and not (is_old_start and code == -signal.SIGTERM):
                seconds = round(time.monotonic() - began, 1)
                self._fleet.book.find(
                    "exit code", code=code, host=host.name, seconds=seconds
                )
        await self._duration(1.0)
        await host.start()

    async def _reload_host(self):
        host = self._pick_host()
        if host is not None:
            host.signal(signal.SIGHUP)

    async def _kill_host(self):
        host = self._pick_host()
        if host is None:
            return
        host.is_stopped = True
        await host.kill()
        await self._duration(1.0)
        await host.start()

    async def _freeze_host(self):
        host = self._pick_host()
        if host is None:
            return
        host.is_frozen = True
        host.signal(signal.SIGSTOP)
        await self._duration(4.0)
        host.signal(signal.SIGCONT)
        host.is_frozen = False

    # The store

    async def _cut_host_from_store(self):
        proxy = self._rng.choice(self._fleet.hosts).store_proxy
        await self._fault_proxy(proxy)

    async def _silent_store(self):
        self._fleet.store.fault = "silent"
        await self._duration(4.0)
        self._fleet.store.fault = None

    async def _busy_store(self):
        self._fleet.store.fault = "busy"
        await self._duration(4.0)
        self._fleet.store.fault = None

    async def _restore_store(self):
        copy = self._fleet.store.copy()
        await self._duration(3.0)
        self._fleet.store.restore(copy)
        for target in self._fleet.targets.values():
            await self._fleet.publish(target)
        await self._fleet.write_config()

    async def _compact_store(self):
        self._fleet.store.compact()

    async def _new_config(self):
        await self._fleet.write_config()

    # Targets

    async def _evacuate_zone(self):
        key = f"op/evacuate/{SECOND_ZONE}"
        await self._fleet.store.write(key, {})
        await self._duration()
        await self._fleet.store.remove(key)

    async def _leaving_target(self):
        """Empty a target, replace it and remove it, in order."""
        target = self._pick_target()
        service = target.service
        await self._fleet.add_target(service)
        target.leaving = True
        if target.id not in self._fleet.targets:
            return
        await self._fleet.publish(target, "draining")
        await asyncio.sleep(4.0)
        if target.id in self._fleet.targets:
            await self._fleet.end_target(target)
            await self._fleet.store.remove(f"servers/{target.id}")

    async def _crash_target(self):
        target = self._pick_target()
        others = [
            t for t in self._fleet.targets.values() if t.service == target.service
        ]
        if len(others) < 2 or target.leaving:
            return
        await self._fleet.end_target(target)
        await self._duration(2.0)
        if self._rng.random() < 0.5:
            await self._fleet.add_target(target.service, target)
        else:
            await self._fleet.store.remove(f"servers/{target.id}")
            await self._fleet.add_target(target.service)

    async def _reset_target(self):
        self._fleet.proxies[self._pick_target().id].reset()

    async def _silence_target(self):
        proxy = self._fleet.proxies[self._pick_target().id]
        proxy.silence(*self._rng.choice((("to",), ("from",), ("to", "from"))))
        await self._duration(2.0)
        proxy.restore()

    async def _delay_target(self):
        proxy = self._fleet.proxies[self._pick_target().id]
        proxy.delay_s = self._rng.uniform(0.01, 0.2)
        await self._duration()
        proxy.restore()

    async def _refuse_target(self):
        proxy = self._fleet.proxies[self._pick_target().id]
        await self._fault_proxy(proxy)

    async def _bad_target(self):
        target = self._pick_target()
        usual = SERVICES[target.service][2]
        target.mode = self._rng.choice(BAD_MODES[usual])
        await self._duration(2.0)
        target.mode = usual

    async def _fault_proxy(self, proxy):
        if self._rng.random() < 0.5:
            proxy.is_refusing = True
            proxy.reset()
        else:
            proxy.silence("to", "from")
        await self._duration(4.0)
        proxy.restore()
