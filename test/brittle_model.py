"""A model of targets that fall over when they must reject too many requests."""

from collections import deque
from dataclasses import replace

from lovagepier.decisions.placement.partition import slots_for_host
from lovagepier.decisions.placement.work import Outcome
from lovagepier.entry._cluster.messages import LimitStated
from test.builders import ended
from test.rate_model import DETECTION_S, RateModel

SLOTS = 4
QUEUE = 4
# Targets let none wait from this long after they first stated their limit.
CONTACT_S = 3.0
RESTART_S = 4.0
MAX_ATTEMPTS = 3
# Some callers leave; their targets may notice late.
LEAVE_PROBABILITY = 0.05
LEAVE_NOTICE_S = 0.3


class _Target:
    """`rejected_at` are the times of the rejections of the last second."""

    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.running = {}
        self.queue = deque()
        self.rejected_at = deque()
        self.is_down = False
        self.falls = []


class BrittleModel(RateModel):
    """Callers at several hosts and targets that state `limits` of rejections.

    `served` are the times at which callers got their responses, `rejections` counts
    them. With `heeds` False the hosts ignore what targets state.
    """

    kind = "rejection_limit"
    targets = ("t0", "t1", "t2")
    slots = SLOTS

    def __init__(self, seed, limits, heeds=True, **options):
        self.standins = {name: _Target(name) for name in self.targets}
        self.heeds = heeds
        self.served = []
        self.rejections = 0
        self._running = {}
        super().__init__(seed, limits, **options)

    def falls(self):
        """Return the times at which targets fell over."""
        return sorted(at for target in self.standins.values() for at in target.falls)

    def _delay(self):
        return self.rng.uniform(0.15, 0.25) if self.rng.random() < 0.02 else 0.01

    # Hosts and coordinators

    def _make_host(self, name):
        host = super()._make_host(name)
        host.scheduler.old_version = None
        for target in self.standins.values():
            self._register(host, target)
        for request_id, (work, _) in list(self._running.items()):
            if work.entry == name:
                del self._running[request_id]
        return host

    def _register(self, host, target):
        host.scheduler.set_target(
            target.name,
            "a1",
            "v1",
            f"i{target.incarnation}",
            self.now,
            slots=SLOTS,
            rejection_limit=host.limits.lowest(self.standins) if self.heeds else None,
        )

    def _set_share(self, host, share):
        """Let a coordinator that loses hosts notice late, others at once."""
        was_coordinator = host.coordinator == host.name

        def apply():
            if was_coordinator and host.coordinator != host.name:
                return
            host.scheduler.targets.set_rate_share(share, self.now)
            slots = {name: SLOTS for name in self.targets}
            usable = slots_for_host(host.name, slots, share)
            for state in host.scheduler.fleet:
                state.limit.value = usable[state.name]
                host.scheduler.fleet.reindex(state)

        if was_coordinator and share < host.scheduler.targets.rate_share:
            self._after(0.0, DETECTION_S, apply)
        else:
            apply()

    def _leave(self, name, coordinator):
        super()._leave(name, coordinator)

        def tell():
            current = self.hosts[self.hosts[name].coordinator]
            if current is coordinator:
                return
            coordinator.scheduler.forget_entry(name, self.now)
            for work_id in coordinator.scheduler.running_of(name):
                outcome = Outcome(work_id, "", "lost")
                self._take(coordinator, coordinator.scheduler.finish(outcome, self.now))
            for work, target in list(self._running.values()):
                if work.entry == name:
                    current.scheduler.adopt_running(work, target, self.now)

        self._after(0.0, 0.1, tell)

    def _make_work(self, request_id, name):
        work = super()._make_work(request_id, name)
        tier = self.rng.choice((0, 0, 2))
        return replace(work, tier=tier, late_tier=tier + 1, decode_tokens=1)

    # Requests

    def _arrive(self, coordinator, grant):
        work = grant.work
        target = self.standins[grant.target]
        if work.entry not in self.hosts or work.id in self._running:
            return
        self._running[work.id] = (work, target.name)
        if target.is_down:
            self._end(work, target, "unreachable")
        elif len(target.running) < SLOTS:
            self._begin(work, target)
        elif len(target.queue) < self._queue_length():
            target.queue.append(work)
        else:
            self._reject(work, target)

    def _queue_length(self):
        stated = self.limit_at(self.now - CONTACT_S) if self.now > CONTACT_S else None
        return QUEUE if stated is None else 0

    def _begin(self, work, target):
        target.running[work.id] = work
        incarnation = target.incarnation
        took = self.rng.uniform(0.05, 0.35)
        if self.rng.random() < LEAVE_PROBABILITY:
            left = self.rng.uniform(0.0, took)
            self._after(left, left, lambda: self._end(work, target, "cancelled"))
            took = min(took, left + self.rng.uniform(0.0, LEAVE_NOTICE_S))
        self._after(took, took, lambda: self._finish(work, target, incarnation))

    def _finish(self, work, target, incarnation):
        if target.incarnation != incarnation or target.is_down:
            return
        target.running.pop(work.id, None)
        self._end(work, target, "ok")
        if target.queue:
            self._begin(target.queue.popleft(), target)

    def _reject(self, work, target):
        self.rejections += 1
        limit = self.limit_at(self.now)
        target.rejected_at.append(self.now)
        while target.rejected_at[0] <= self.now - 1.0:
            target.rejected_at.popleft()
        self._end(work, target, "not-run")
        if limit is not None and len(target.rejected_at) > limit:
            self._fall(target)

    def _fall(self, target):
        target.falls.append(self.now)
        target.is_down = True
        for work in [*target.running.values(), *target.queue]:
            self._end(work, target, "vanished")
        target.running.clear()
        target.queue.clear()
        target.rejected_at.clear()
        self._after(RESTART_S, RESTART_S, lambda: self._restart_target(target))

    def _restart_target(self, target):
        target.is_down = False
        target.incarnation += 1
        for host in self.hosts.values():
            self._after(0.0, 0.2, lambda host=host: self._learn(host.name, target))

    def _learn(self, name, target):
        host = self.hosts[name]
        incarnation = f"i{target.incarnation}"
        if self.heeds and host.scheduler.fleet.get(target.name):
            host.limits.expect(
                target.name, incarnation, host.limits.lowest(self.standins)
            )
        self._register(host, target)
        host.scheduler.targets.begin_probing(target.name)

    def _end(self, work, target, status):
        """Let the host of a request, and then its coordinator, learn its outcome."""
        if self._running.pop(work.id, None) is None:
            return
        stated = self.limit_at(self.now)
        incarnation = f"i{target.incarnation}"
        if status in ("ok", "not-run"):
            news = LimitStated(work.id, target.name, incarnation, stated, self.kind)
            self._after(0.0, self._delay(), lambda: self._hear(work, news))
        self._after(
            0.01, self._delay() + 0.01, lambda: self._report(work, target, status)
        )
        if status == "ok":
            self.served.append(self.now)

    def _hear(self, work, news):
        host = self.hosts[work.entry]
        if not self.heeds:
            return
        if news.per_second is not None or host.limits.is_limited(news.target):
            coordinator = self.hosts[host.coordinator]
            coordinator.limits.on_stated(news, work.id, self.now)

    def _report(self, work, target, status):
        coordinator = self.hosts[self.hosts[work.entry].coordinator]
        outcome = ended(work, target.name, status)
        self._take(coordinator, coordinator.scheduler.finish(outcome, self.now))
        attempts = work.id.count("'")
        if status in ("not-run", "unreachable") and attempts < MAX_ATTEMPTS:
            excluded = work.exclude | {target.name}
            if status == "unreachable":
                excluded = work.exclude
            self._ask(replace(work, id=f"{work.id}'", exclude=excluded))
