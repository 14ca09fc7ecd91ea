"""A model of one pool whose targets start, crash and recover, without a network."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, field
from itertools import count

from lovagepier.decisions.placement.work import Grant, Outcome, Refusal
from test.builders import make_scheduler, make_work

__all__ = ["Load", "PoolModel"]

PREFILL_RATE = 4000.0
COLD_S = 3.0
COLD_FACTOR = 3.0
# A fragile target takes 9.8 requests a second while it is cold; it crashes if it gets
# more than this number in one.
CRASH_STARTS = 15
RESTART_S = 2.0
RETRY_DOWN_S = 0.8
TICK_S = 0.05


@dataclass(slots=True)
class Load:
    """Requests per second and their size; a plain call has no prompt and one token."""

    rate: float
    prefill: int = 0
    decode: int = 1
    token_s: float = 0.02
    tier: int = 1
    objective_s: float = 0.5
    slots: int = 7

    @property
    def is_plain(self):
        return not self.prefill

    def seconds(self):
        """Return the (first, total) seconds on a warm target."""
        first = self.prefill / PREFILL_RATE + self.token_s
        return first, first + self.token_s * (self.decode - 1)


@dataclass(slots=True)
class _Standin:
    name: str
    is_fragile: bool = False
    slowness: float = 1.0
    run: int = 1
    cold_until: float = float("-inf")
    up: bool = True
    running: set = field(default_factory=set)
    starts: deque = field(default_factory=deque)

    def time_for(self, seconds, now):
        """Return how long work of `seconds` takes that starts now."""
        seconds *= self.slowness
        cold = max(min(self.cold_until - now, seconds * COLD_FACTOR), 0.0)
        return cold + seconds - cold / COLD_FACTOR


class PoolModel:
    """Plays a load on a scheduler; `good`, `late`, `lost` and `refused` count."""

    def __init__(self, names, load, pace=True, seed=1, is_fragile=False):
        self.load = load
        self.is_fragile = is_fragile
        self.now = 0.0
        self.scheduler = make_scheduler((), pace=pace)
        self.targets = {}
        self.counts = dict.fromkeys(("good", "late", "lost", "refused", "crashes"), 0)
        self.granted = []
        self._events = []
        self._order = count()
        self._rng = random.Random(seed)
        for name in names:
            self.add(name, is_cold=False)
        self._at(self._rng.expovariate(load.rate), self._arrive)
        self._at(TICK_S, self._tick)

    def add(self, name, is_cold=True, slowness=1.0):
        target = self.targets[name] = _Standin(name, self.is_fragile, slowness)
        if is_cold:
            target.cold_until = self.now + COLD_S
        self._register(target)

    def restart(self, name, after=0.0):
        """Restart a target under its name; what runs there is lost."""
        target = self.targets[name]
        self._end_all(target)
        target.up = False
        self._at(after, lambda: self._come_up(target))

    def eject(self, name):
        """Eject a target: all its requests are cut off, and three more fail."""
        state = self.scheduler.fleet.get(name)
        self._end_all(self.targets[name], "cut-off")
        for number in range(3):
            work = make_work(f"fail-{name}-{number}", deadline=self.now + 9.0)
            self.scheduler.adopt_running(work, name, self.now)
            self._finish(Outcome(work.id, name, "failed"))
        assert state.ejected_until > self.now

    def play(self, until):
        """Advance to a time; return the change of the counts."""
        before = dict(self.counts)
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until
        return {name: self.counts[name] - before[name] for name in before}

    def in_flight(self, name):
        return self.scheduler.fleet.get(name).in_flight

    def _at(self, after, action):
        heapq.heappush(self._events, (self.now + after, next(self._order), action))

    def _register(self, target):
        self._take(
            self.scheduler.set_target(
                target.name,
                "a1",
                "v1",
                f"i{target.run}",
                self.now,
                slots=self.load.slots,
            )
        )

    def _come_up(self, target):
        target.run += 1
        target.up = True
        target.cold_until = self.now + COLD_S
        target.starts.clear()
        self._register(target)

    def _tick(self):
        self._take(self.scheduler.tick(self.now))
        self._at(TICK_S, self._tick)

    def _arrive(self):
        load = self.load
        work = make_work(
            f"n1/{next(self._order)}",
            tier=load.tier,
            deadline=self.now + 20.0,
            soft_deadline=self.now + load.objective_s,
            abandoned_at=self.now + 8.0,
            prefill_tokens=load.prefill,
            max_decode_tokens=load.decode,
            decode_tokens=load.decode,
        )
        self._take(self.scheduler.offer(work, self.now))
        self._at(self._rng.expovariate(load.rate), self._arrive)

    def _take(self, decisions):
        for decision in decisions:
            if isinstance(decision, Grant):
                self._start(decision.work, self.targets[decision.target])
            elif isinstance(decision, Refusal):
                self.counts["refused"] += 1

    def _start(self, work, target):
        self.granted.append((self.now, target.name))
        if not target.up:
            self._at(0.0, lambda: self._refuse(work, target))
            return
        target.running.add(work.id)
        target.starts.append(self.now)
        while target.starts[0] <= self.now - 1.0:
            target.starts.popleft()
        is_cold = self.now < target.cold_until
        if target.is_fragile and is_cold and len(target.starts) > CRASH_STARTS:
            self.counts["crashes"] += 1
            target.up = False
            self._at(0.0, lambda: self.restart(target.name, RESTART_S))
            return
        first, total = (target.time_for(s, self.now) for s in self.load.seconds())
        if not self.load.is_plain:
            self._at(first, lambda: self._first(work, target, first))
        self._at(total, lambda: self._complete(work, target, first, total))

    def _refuse(self, work, target):
        state = self.scheduler.fleet.get(target.name)
        is_new = not state.down
        self._finish(Outcome(work.id, target.name, "unreachable"))
        self.counts["lost"] += 1
        if is_new:
            self._at(RETRY_DOWN_S, lambda: self._retry(target))

    def _retry(self, target):
        self.scheduler.targets.begin_probing(target.name, self.now)

    def _first(self, work, target, seconds):
        if work.id in target.running:
            self.scheduler.first_byte(work.id, seconds, self.now)

    def _complete(self, work, target, first, total):
        if work.id not in target.running:
            return
        target.running.discard(work.id)
        began_at = self.now - total + first
        is_late = began_at > work.soft_deadline
        self.counts["late" if is_late else "good"] += 1
        first = None if self.load.is_plain else first
        self._finish(
            Outcome(work.id, target.name, "ok", first, total, self.load.decode)
        )

    def _end_all(self, target, status="vanished"):
        lost, target.running = sorted(target.running), set()
        for work_id in lost:
            self.counts["lost"] += 1
            self._finish(Outcome(work_id, target.name, status))

    def _finish(self, outcome):
        self._take(self.scheduler.finish(outcome, self.now))
