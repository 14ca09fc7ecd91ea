"""A model of targets that pause hosts or leave, over splits, restarts and freezes."""

from dataclasses import replace

from lovagepier.decisions.placement.work import Grant, Outcome, Refusal
from test.builders import ended
from test.rate_model import RateModel

SLOTS = 6
PAUSE_SHARE = 0.08
PAUSES_S = (0.3, 1.0, 3.0)
LOST_RESULTS = 0.03
MAX_MESSAGE_S = 0.06
# When a link is lost with a result, the coordinator drops the request that long later.
RELINK_S = 1.0
# Hosts follow another coordinator this long after theirs froze.
NOTICE_FREEZE_S = 0.5


class StatementModel(RateModel):
    """Callers at several hosts, and targets that state pauses or that they leave.

    Hosts split, join, restart and freeze; messages may overtake one another and some
    results are lost. Targets whose name is in `leave_at` say so in all answers from
    that time on. With `heeds` False hosts ignore what targets state.

    `arrivals` are (target, host, time); `pauses` are (target, host, time of the
    refusal, seconds); `passed_on` is the first time at which a host had an answer of a
    leaving target, by (target, host). `excused` are (host, time) of restarts and of the
    ends of freezes.
    """

    targets = ("t0", "t1", "t2", "t3")
    slots = SLOTS

    def __init__(self, seed, leave_at=None, heeds=True, **options):
        self.leave_at = leave_at or {}
        self.heeds = heeds
        self.pauses = []
        self.passed_on = {}
        self.excused = []
        self.served = set()
        self.refused = set()
        self.lost = set()
        self._waiting = {}
        self._running = {}
        self._leaving = {}
        super().__init__(seed, [(0, None)], **options)

    # Messages and faults

    def _message(self, name, call):
        """Deliver a message to a host, not while it is frozen nor after a restart."""
        host = self.hosts[name]

        def deliver():
            if self.hosts[name] is not host:
                return
            if name in self.frozen:
                wait = self.frozen[name] - self.now
                self._after(wait, wait + 0.02, deliver)
                return
            call()

        self._after(0.001, MAX_MESSAGE_S, deliver)

    def _make_host(self, name):
        self.excused.append((name, self.now))
        self._leaving[name] = set()
        for request_id, work in list(self._waiting.items()):
            if work.entry == name:
                self._lose(request_id)
        for request_id, (work, _) in list(self._running.items()):
            if work.entry == name:
                self._lose(request_id)
        host = super()._make_host(name)
        host.scheduler.old_version = None
        return host

    def _lose(self, request_id):
        self._waiting.pop(request_id, None)
        self._running.pop(request_id, None)
        self.lost.add(request_id.partition("'")[0])

    def _change(self):
        if self.rng.random() < 0.3:
            self._freeze(self.rng.choice(self.names), self.rng.uniform(0.5, 3.0))
        else:
            super()._change()

    def _freeze(self, name, seconds):
        self.frozen[name] = self.now + seconds
        others = [other for other in self.names if other != name]

        def thaw():
            self.frozen.pop(name, None)
            self.excused.append((name, self.now))

        self._after(seconds, seconds, thaw)
        self._after(
            NOTICE_FREEZE_S, NOTICE_FREEZE_S, lambda: self._group([others, [name]])
        )

    def _leave(self, name, coordinator):
        """Tell the new coordinator what a host runs, knows and waits for."""
        own = self.hosts[name]

        def tell():
            current = self.hosts[own.coordinator]
            if self.hosts[name] is not own or current is coordinator:
                return
            rows = own.scheduler.pauses.rows(name, self.now)
            current.scheduler.pauses.merge_rows(name, rows, self.now)
            self._mark_leaving(current.name, self._leaving[name])
            for work, target in list(self._running.values()):
                if work.entry == name:
                    current.scheduler.adopt_running(work, target, self.now)
            for work in list(self._waiting.values()):
                if work.entry == name:
                    self._ask(work)

        def drop():
            if self.hosts[name].coordinator == coordinator.name:
                return
            coordinator.scheduler.forget_entry(name, self.now)
            for work_id in coordinator.scheduler.running_of(name):
                outcome = Outcome(work_id, "", "lost")
                self._take(coordinator, coordinator.scheduler.finish(outcome, self.now))

        self._message(name, tell)
        self._message(coordinator.name, drop)

    def _send_rosters(self):
        for host in self.hosts.values():
            if host.name not in self.frozen and host.coordinator not in self.frozen:
                self._mark_leaving(host.name, self._leaving[host.coordinator])

    def _mark_leaving(self, name, targets):
        self._leaving[name] = self._leaving[name] | targets
        for target in self._leaving[name]:
            self.hosts[name].scheduler.targets.set_draining(target, True)

    # Requests

    def _make_work(self, request_id, name):
        work = super()._make_work(request_id, name)
        return replace(work, deadline=self.now + 20.0, decode_tokens=1)

    def _ask(self, work):
        self._waiting[work.id] = work
        coordinator = self.hosts[self.hosts[work.entry].coordinator]

        def offer():
            follows = self.hosts[work.entry].coordinator == coordinator.name
            if follows and work.id in self._waiting:
                # Schedulers change what they are offered.
                own = replace(work)
                self._take(coordinator, coordinator.scheduler.offer(own, self.now))

        self._message(coordinator.name, offer)

    def _take(self, coordinator, decisions):
        for decision in decisions:
            if isinstance(decision, (Grant, Refusal)):
                self._message(
                    decision.work.entry,
                    lambda decision=decision: self._decide(coordinator, decision),
                )

    def _decide(self, coordinator, decision):
        work = decision.work
        if isinstance(decision, Refusal):
            if self._waiting.pop(work.id, None) is not None:
                self.refused.add(work.id)
            return
        name, target = work.entry, decision.target
        own = self.hosts[name].scheduler.pauses
        if self._waiting.pop(work.id, None) is None:
            self._report(coordinator, work, target, "returned")
            return
        is_paused = own.is_paused(name, target, "i1", self.now)
        if is_paused or target in self._leaving[name]:
            for row, incarnation, seconds in own.rows(name, self.now):
                until = self.now + seconds
                coordinator.scheduler.pauses.pause(name, row, incarnation, until)
            self._report(coordinator, work, target, "returned")
            self._ask_again(work, work.exclude | {target})
            return
        self._running[work.id] = (work, target)
        self._after(0.001, MAX_MESSAGE_S, lambda: self._reach(work, target))

    def _ask_again(self, work, exclude):
        # Without another target that takes it, the request waits for one.
        if set(self.targets) - self._leaving[work.entry] <= exclude:
            exclude = frozenset()
        self._ask(replace(work, id=f"{work.id}'", exclude=frozenset(exclude)))

    def _report(self, coordinator, work, target, status):
        def finish():
            outcome = ended(work, target, status)
            self._take(coordinator, coordinator.scheduler.finish(outcome, self.now))

        self._message(coordinator.name, finish)

    # Targets

    def _reach(self, work, target):
        self.arrivals.append((target, work.entry, self.now))
        if work.id not in self._running:
            # Its host has restarted, so its connection is gone.
            return
        is_leaving = self.now >= self.leave_at.get(target, float("inf"))
        pause_s = 0.0
        if self.rng.random() < PAUSE_SHARE:
            pause_s = self.rng.choice(PAUSES_S)
            self.pauses.append((target, work.entry, self.now, pause_s))
        took = 0.0 if pause_s else self.rng.uniform(0.05, 0.3)
        self._after(
            took,
            took,
            lambda: self._message(
                work.entry, lambda: self._answer(work, target, pause_s, is_leaving)
            ),
        )

    def _answer(self, work, target, pause_s, is_leaving):
        if self._running.pop(work.id, None) is None:
            return
        name = work.entry
        coordinator = self.hosts[self.hosts[name].coordinator]
        if is_leaving:
            self.passed_on.setdefault((target, name), self.now)
        if is_leaving and self.heeds:
            self._mark_leaving(name, {target})
            self._message(
                coordinator.name,
                lambda: self._mark_leaving(coordinator.name, {target}),
            )
        if pause_s:
            until = self.now + pause_s
            for host in (self.hosts[name], coordinator) if self.heeds else ():
                host.scheduler.pauses.pause(name, target, "i1", until)
            self._ask_again(work, work.exclude | {target})
        else:
            self.served.add(work.id.partition("'")[0])
        if self.rng.random() >= LOST_RESULTS:
            status = "paused" if pause_s else "ok"
            self._report(coordinator, work, target, status)
        else:
            self._after(
                RELINK_S,
                RELINK_S,
                lambda: self._report(coordinator, work, target, "lost"),
            )

    # Results

    def most_in_a_pause(self):
        """Return how many requests reached a target in a pause of their host at most.

        The first half second does not count, nor does what comes after a fault of the
        host that excuses it.
        """
        most = 0
        for target, host, at, seconds in self.pauses:
            until = min([at + seconds, *self._excuses(host, at)])
            most = max(most, self._count(target, host, at + 0.5, until))
        return most

    def latest_after_leaving(self):
        """Return the longest time from such an answer at a host to a later arrival."""
        latest = 0.0
        for (target, host), at in self.passed_on.items():
            until = min(self._excuses(host, at), default=float("inf"))
            times = [
                when - at
                for name, entry, when in self.arrivals
                if (name, entry) == (target, host) and at < when < until
            ]
            latest = max([latest, *times])
        return latest

    def _excuses(self, host, since):
        return [at for name, at in self.excused if name == host and at >= since]

    def _count(self, target, host, begin, end):
        return sum(
            (name, entry) == (target, host) and begin < when < end
            for name, entry, when in self.arrivals
        )
