"""A model of hosts, coordinators and one target that states rate limits."""

import random

from lovagepier.decisions.placement.work import Grant
from lovagepier.entry._cluster.messages import LimitStated
from lovagepier.entry._coordination.stated_limits import StatedLimits
from test.builders import ended, make_scheduler, make_work

STEP_S = 0.02
ROSTER_S = 0.25
# How long a coordinator keeps its share after hosts were cut off from it, and how long
# it keeps the requests of hosts that left it on their own.
DETECTION_S = 0.8
NOTICE_S = 0.1
SLOTS = 50
TARGET = "t"


class _Host:
    """One host's coordinator, `coordinator` is the host of the one that it uses."""

    def __init__(self, name, kind, targets, slots):
        self.name = name
        self.scheduler = make_scheduler((), slots=float(slots))
        for target in targets:
            self.scheduler.set_target(target, "a1", "v1", "i1", 0.0, slots=slots)
        self.limits = StatedLimits(kind, lambda: [self.scheduler])
        self.coordinator = None


class RateModel:
    """Callers at several hosts, whose coordinators change, and one limited target.

    `limits` are (time, requests per second or None) pairs; the last that has begun is
    stated in all responses. With `changes` the hosts split into groups and join again,
    and hosts restart. `arrivals` are the times at which the target got requests.
    Subclasses may have more targets, whose `kind` of limit is another, and hosts that
    are `frozen` until a time, by name.
    """

    kind = "rate_limit"
    targets = (TARGET,)
    slots = SLOTS

    def __init__(self, seed, limits, hosts=7, per_second=30.0, changes=True):
        self.rng = random.Random(seed)
        self.limits = limits
        self.per_second = per_second
        self.changes = changes
        self.now = 0.0
        self.frozen = {}
        self.names = [f"n{number}" for number in range(hosts)]
        self.hosts = {name: self._make_host(name) for name in self.names}
        self.events = []
        self.arrivals = []
        self.requests = 0
        self._group([self.names])

    def _make_host(self, name):
        return _Host(name, self.kind, self.targets, self.slots)

    def limit_at(self, now):
        """Return the limit that responses state at a time."""
        return [rate for at, rate in self.limits if at <= now][-1]

    def run(self, seconds):
        """Play for a time."""
        until = self.now + seconds
        next_roster = self.now
        next_change = self.now + self.rng.uniform(1.0, 4.0)
        while self.now < until:
            self.now += STEP_S
            if self.rng.random() < self.per_second * STEP_S:
                self._request()
            self._handle_events()
            if self.changes and self.now >= next_change:
                next_change = self.now + self.rng.uniform(0.5, 4.0)
                self._change()
            if self.now >= next_roster:
                next_roster = self.now + ROSTER_S
                self._send_rosters()
            for host in self.hosts.values():
                if host.name not in self.frozen:
                    self._take(host, host.scheduler.tick(self.now))

    def _after(self, low, high, call):
        self.events.append((self.now + self.rng.uniform(low, high), call))

    def _handle_events(self):
        due = [event for event in self.events if event[0] <= self.now]
        self.events = [event for event in self.events if event[0] > self.now]
        for _, call in sorted(due, key=lambda event: event[0]):
            call()

    # Hosts

    def _change(self):
        kind = self.rng.choice(("split", "join", "join", "restart", "lose"))
        if kind == "split":
            names = self.rng.sample(self.names, len(self.names))
            cut = self.rng.randrange(1, len(names))
            self._group([names[:cut], names[cut:]])
        elif kind == "restart":
            name = self.rng.choice(self.names)
            self.hosts[name] = self._make_host(name)
            others = [other for other in self.names if other != name]
            self._group([[*others, name]])
        else:
            names = list(self.names)
            if kind == "lose":
                self.rng.shuffle(names)
            self._group([names])

    def _group(self, groups):
        """Let the first host of each group decide for the whole group."""
        for names in groups:
            coordinator = self.hosts[names[0]]
            share = len(names) / len(self.names)
            if coordinator.coordinator not in (None, coordinator.name):
                coordinator.limits.take_over(self.now)
            self._set_share(coordinator, share)
            for name in names:
                host = self.hosts[name]
                if host.coordinator not in (None, names[0]) and name != names[0]:
                    coordinator.limits.merge(host.limits.rows, self.now)
                if host.coordinator not in (None, names[0]):
                    self._leave(name, self.hosts[host.coordinator])
                host.coordinator = names[0]

    def _set_share(self, host, share):
        if share >= host.scheduler.targets.rate_share:
            host.scheduler.targets.set_rate_share(share, self.now)
            return

        def apply():
            if host.coordinator == host.name:
                host.scheduler.targets.set_rate_share(share, self.now)

        self._after(0.0, DETECTION_S, apply)

    def _leave(self, name, coordinator):
        """Let a coordinator notice soon that a host no longer uses it."""

        def drop():
            for work in list(coordinator.scheduler.waiting.works()):
                if (
                    work.entry == name
                    and self.hosts[name].coordinator != coordinator.name
                ):
                    coordinator.scheduler.withdraw(work.id, self.now)

        self._after(0.0, NOTICE_S, drop)

    def _send_rosters(self):
        for host in self.hosts.values():
            coordinator = self.hosts[host.coordinator]
            if coordinator is not host:
                host.limits.replace(coordinator.limits.rows, self.now)

    # Requests

    def _request(self):
        self.requests += 1
        self._ask(self._make_work(f"r{self.requests}", self.rng.choice(self.names)))

    def _make_work(self, request_id, name):
        return make_work(
            request_id, entry=name, deadline=self.now + 2.0, decode_tokens=20
        )

    def _ask(self, work):
        coordinator = self.hosts[self.hosts[work.entry].coordinator]
        self._take(coordinator, coordinator.scheduler.offer(work, self.now))

    def _take(self, coordinator, decisions):
        for decision in decisions:
            if isinstance(decision, Grant):
                self._after(
                    0.001, 0.15, lambda grant=decision: self._arrive(coordinator, grant)
                )

    def _arrive(self, coordinator, grant):
        work = grant.work
        self.arrivals.append(self.now)
        self._after(0.02, 0.6, lambda: self._respond(coordinator, work))

    def _respond(self, coordinator, work):
        """Deliver the response's limit; the news of it may overtake each other."""
        host = self.hosts[work.entry]
        rate = self.limit_at(self.now)
        if rate is not None or host.limits.is_limited(TARGET):
            news = LimitStated(work.id, TARGET, "i1", rate)
            self._after(0.001, 0.3, lambda: self._hear(host, work, news))
        outcome = ended(work, TARGET)
        self._after(
            0.3,
            0.5,
            lambda: self._take(
                coordinator, coordinator.scheduler.finish(outcome, self.now)
            ),
        )

    def _hear(self, host, work, news):
        coordinator = self.hosts[host.coordinator]
        coordinator.limits.on_stated(news, work.id, self.now)
