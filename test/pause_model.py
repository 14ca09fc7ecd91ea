"""A model of targets that pause single hosts, for tests of the scheduler."""

import heapq
import itertools
import random
from dataclasses import replace

from lovagepier.decisions.limits.pauses import Pauses
from lovagepier.decisions.placement.work import Grant, Refusal
from test.builders import ended, make_scheduler, make_work

TARGETS = 3
HOSTS = 3
SLOTS = 6
TICK_S = 0.05
LOST_RESULTS = 0.03
# When a link is lost with a result, the coordinator drops the request that long later.
RELINK_S = 1.0


class PauseModel:
    """Hosts, targets and one coordinator at a time, as timed events.

    Messages take up to 60 ms and may overtake one another; some results are lost.
    `arrivals` are (target, host, time) of requests, `pauses` are (target, host,
    time of the refusal, seconds). `served` and `refused` are request ids.
    """

    def __init__(self, seed, rate=20.0, pause_share=0.1, replace_every=None):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.pause_share = pause_share
        self.replace_every = replace_every
        self.arrivals = []
        self.pauses = []
        self.sent = []
        self.served = set()
        self.refused = set()
        self._events = []
        self._order = itertools.count()
        self._own = {f"n{number}": Pauses() for number in range(HOSTS)}
        self._waiting = {}
        self._running = {}
        self._requests = itertools.count(1)
        self._begin_coordinator()

    def _begin_coordinator(self):
        self.scheduler = make_scheduler((), slots=float(SLOTS))
        self.epoch = getattr(self, "epoch", 0) + 1
        for number in range(TARGETS):
            self.scheduler.set_target(
                f"t{number}", "a1", "v1", "i1", self.now, slots=SLOTS
            )

    def _later(self, seconds, action, *args):
        entry = (self.now + seconds, next(self._order), action, args)
        heapq.heappush(self._events, entry)

    def _message(self, action, *args):
        self._later(self.rng.uniform(0.001, 0.06), action, *args)

    def run(self, seconds):
        """Play for a time, then without new requests until all are over."""
        self._later(0.0, self._send_request, seconds)
        self._later(0.0, self._tick, seconds + 15.0)
        if self.replace_every:
            self._later(self.replace_every, self._replace, seconds)
        while self._events:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)

    def _send_request(self, until):
        if self.now >= until:
            return
        host = f"n{self.rng.randrange(HOSTS)}"
        work = make_work(
            f"{host}/r{next(self._requests)}",
            entry=host,
            deadline=self.now + 10.0,
            decode_tokens=1,
        )
        self.sent.append(work.id)
        self._ask(work)
        self._later(self.rng.expovariate(self.rate), self._send_request, until)

    def _ask(self, work):
        self._waiting[work.id] = work
        self._message(self._offer, work, self.epoch)

    # The coordinator

    def _tick(self, until):
        self._take(self.scheduler.tick(self.now))
        if self.now < until:
            self._later(TICK_S, self._tick, until)

    def _replace(self, until):
        """Begin with a new coordinator, which the hosts tell what they know."""
        self._begin_coordinator()
        for host, pauses in self._own.items():
            rows = pauses.rows(host, self.now)
            self.scheduler.pauses.merge_rows(host, rows, self.now)
        for work, target in self._running.values():
            self.scheduler.adopt_running(work, target, self.now)
        for work in list(self._waiting.values()):
            self._message(self._offer, work, self.epoch)
        if self.now < until:
            self._later(self.replace_every, self._replace, until)

    def _offer(self, work, epoch):
        if epoch == self.epoch and work.id in self._waiting:
            self._take(self.scheduler.offer(work, self.now))

    def _take(self, decisions):
        for decision in decisions:
            if isinstance(decision, (Grant, Refusal)):
                self._message(self._on_decision, decision, self.epoch)

    def _finish(self, work, target, status, epoch):
        if epoch == self.epoch:
            outcome = ended(work, target, status)
            self._take(self.scheduler.finish(outcome, self.now))

    def _on_pause(self, host, target, until):
        self.scheduler.pauses.pause(host, target, "i1", until)

    # A host

    def _on_decision(self, decision, epoch):
        work = decision.work
        if epoch != self.epoch or self._waiting.pop(work.id, None) is None:
            return
        if isinstance(decision, Refusal):
            self.refused.add(work.id)
            return
        host, target = work.entry, decision.target
        if self._own[host].is_paused(host, target, "i1", self.now):
            for name, _, seconds in self._own[host].rows(host, self.now):
                self._on_pause(host, name, self.now + seconds)
            self._finish(work, target, "returned", self.epoch)
            self._ask(work)
            return
        self._running[work.id] = (work, target)
        self._message(self._arrive, work, target)

    def _on_answer(self, work, target, pause_s):
        del self._running[work.id]
        host = work.entry
        if pause_s:
            until = self.now + pause_s
            self._own[host].pause(host, target, "i1", until)
            self._message(self._on_pause, host, target, until)
        status = "paused" if pause_s else "ok"
        if self.rng.random() >= LOST_RESULTS:
            self._message(self._finish, work, target, status, self.epoch)
        else:
            self._later(RELINK_S, self._finish, work, target, "lost", self.epoch)
        if pause_s:
            excluded = work.exclude | {target}
            self._ask(replace(work, id=f"{work.id}+", exclude=excluded))
        else:
            self.served.add(work.id.rstrip("+"))

    # A target

    def _arrive(self, work, target):
        self.arrivals.append((target, work.entry, self.now))
        if self.rng.random() < self.pause_share and not work.exclude:
            seconds = self.rng.choice((0.3, 1.0, 3.0))
            self.pauses.append((target, work.entry, self.now, seconds))
            self._message(self._on_answer, work, target, seconds)
        else:
            took = self.rng.uniform(0.05, 0.3)
            answer = self.rng.uniform(0.001, 0.06)
            self._later(took + answer, self._on_answer, work, target, 0.0)

    def most_in_a_pause(self):
        """Return how many requests reached a target in a pause of their host at most.

        The first half second does not count.
        """
        return max(
            (
                sum(
                    (name, entry) == (target, host) and at + 0.5 < when < at + seconds
                    for name, entry, when in self.arrivals
                )
                for target, host, at, seconds in self.pauses
            ),
            default=0,
        )
