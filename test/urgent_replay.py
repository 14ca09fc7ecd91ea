"""Replays two bursts at a pool of engines: long answers first, urgent requests next.

It drives a `PoolScheduler` without a network. 30 engines of unlike speed have 7 places
each and admit in order of arrival. Between the bursts one account sends five times its
usual load.
"""

import heapq
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field

from lovagepier.decisions.placement.rendezvous import hash_fraction
from lovagepier.decisions.placement.scheduler import PoolScheduler, SchedulerOptions
from lovagepier.decisions.placement.work import Grant, Outcome, Refusal, Work

__all__ = ["KINDS", "Kind", "Replay"]

ENGINES = 30
PLACES = 7
SPEEDS = (0.6, 1.7, 1.7)
PROMPT_TOKENS_PER_S = 41_400.0
STEP_S = 0.00463
# Each further running request lengthens a step by this fraction. With it the usual load
# takes two thirds of the places, and about as many long requests are refused without
# `reserve_room` as were seen on such days (264).
STEP_GROWTH = 0.16
EVENT_TOKENS = 5
# One way between an entry host and the coordinator or an engine.
DELAY_S = 0.002
TICK_S = 0.02
# Tiers of a scheduler for each tier of requests, as the coordinator has them.
BANDS = 3
LATE_BAND = 2
# Callers abandon a request without an event after this many objectives.
PATIENCE_OBJECTIVES = 4.0
# Callers wait for a Retry-After up to this fraction of their remaining time.
RETRY_FRACTION = 1 / 3
MAX_TRIES = 3
# The host's bounds of a Retry-After.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0
BIG_SHARE = 0.1
ACCOUNTS = ("big", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9")


@dataclass(frozen=True)
class Kind:
    """A kind of request; times in seconds, `bursts` are (start, end, factor)."""

    name: str
    tier: int
    prompt: int
    output: int
    objective: float
    limit: float
    rate: float
    bursts: tuple = ()


KINDS = (
    Kind("long", 2, 543, 300, 2.0, 15.0, 63.0, ((10.0, 15.5, 2.1),)),
    Kind("medium", 1, 1800, 25, 1.5, 4.0, 108.0),
    Kind("urgent", 0, 2890, 50, 0.835, 6.2, 50.0, ((17.0, 20.6, 1.5),)),
)
ACCOUNT_BURST = (14.5, 17.5, 5.0)
# Engines that are lost in the trial of it.
LOST_FRACTION = 1 / 3


@dataclass(slots=True)
class Call:
    """A caller's request, all its tries and what became of it."""

    kind: Kind
    account: str
    prompt: int
    output: int
    at: float
    tries: int = 0
    tried_at: float = 0.0
    dispatches: int = 0
    first_at: float | None = None
    ended_at: float | None = None
    refused: list = field(default_factory=list)
    runs: list = field(default_factory=list)

    @property
    def size(self):
        """Seconds at an idle engine of speed 1."""
        return self.prompt / PROMPT_TOKENS_PER_S + self.output * STEP_S

    @property
    def is_on_time(self):
        """Whether the first event came by the objective, and the end by the limit."""
        return self.is_served and self.first_at - self.at <= self.kind.objective

    @property
    def is_served(self):
        """Whether the whole answer came by the limit."""
        return self.ended_at is not None and self.ended_at - self.at <= self.kind.limit


class _Run:
    __slots__ = ("call", "first_mark", "granted_at", "has_arrived", "mark", "work")

    def __init__(self, call, work, granted_at):
        self.call = call
        self.work = work
        self.granted_at = granted_at
        self.has_arrived = False


class _Engine:
    """Continuous batching: prompts one after the other, one token a step for each."""

    def __init__(self, name, speed, step_growth):
        self.name = name
        self.speed = speed
        self.step_growth = step_growth
        self.queue = deque()
        self.reading = deque()
        self.read_until = 0.0
        self.steps = 0.0
        self.at = 0.0
        self.marks = []
        self.taken = 0
        self.version = 0

    def step_s(self):
        load = 1.0 + self.step_growth * (max(len(self.marks), 1) - 1)
        return STEP_S * load / self.speed

    def advance(self, now):
        """Advance to a time; return the runs with a first event, and those done."""
        self.steps += (now - self.at) / self.step_s() if self.marks else 0.0
        self.at = now
        first, done = [], []
        for run in [r for r in self.marks if r.first_mark <= self.steps + 1e-6]:
            run.first_mark = float("inf")
            first.append(run)
        for run in [r for r in self.marks if r.mark <= self.steps + 1e-6]:
            self.marks.remove(run)
            self.taken -= 1
            done.append(run)
        while self.reading and self.reading[0][0] <= now + 1e-9:
            run = self.reading.popleft()[1]
            run.mark = self.steps + run.call.output
            run.first_mark = self.steps + min(EVENT_TOKENS, run.call.output)
            self.marks.append(run)
        while self.queue and self.taken < PLACES:
            self.taken += 1
            run = self.queue.popleft()
            seconds = run.call.prompt / PROMPT_TOKENS_PER_S / self.speed
            self.read_until = max(self.read_until, now) + seconds
            self.reading.append((self.read_until, run))
        return first, done

    def next_event(self):
        times = [self.reading[0][0]] if self.reading else []
        if self.marks:
            mark = min(min(r.mark, r.first_mark) for r in self.marks)
            times.append(self.at + max(mark - self.steps, 0.0) * self.step_s())
        return min(times, default=None)


class Replay:
    """One replay; `options` are those of the scheduler.

    `takeover_at` is when another coordinator takes over, `loss_at` when a third of
    the engines is lost; None for never. `calls` are all requests.
    """

    def __init__(
        self,
        seed=1,
        kinds=KINDS,
        takeover_at=None,
        loss_at=None,
        step_growth=STEP_GROWTH,
        **options,
    ):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.options = options
        self.events = []
        self.number = 0
        self.calls = []
        self.waiting = {}
        self.running = {}
        self.engines = {
            f"e{n}": _Engine(f"e{n}", SPEEDS[n % len(SPEEDS)], step_growth)
            for n in range(ENGINES)
        }
        self.scheduler = self._make_scheduler(0.0)
        self.takeover_at = takeover_at
        if takeover_at is not None:
            self._at(takeover_at, self._take_over)
        if loss_at is not None:
            self._at(loss_at, self._lose_engines)

    def _make_scheduler(self, now):
        options = SchedulerOptions(
            tiers=16 * BANDS,
            demote_late=True,
            shed_pause_s=0.05,
            max_waiting=2000,
            **self.options,
        )
        scheduler = PoolScheduler(options, random.Random(2))
        for name in self.engines:
            scheduler.set_target(name, "z1", "v1", "i1", now, slots=PLACES)
        return scheduler

    def _at(self, time, call, *args):
        self.number += 1
        heapq.heappush(self.events, (time, self.number, call, args))

    def run(self, seconds=32.0):
        """Play the load; requests come for `seconds`. Return this replay."""
        self._arrivals(seconds)
        for n in range(int((seconds + 16.0) / TICK_S)):
            self._at(n * TICK_S, self._tick)
        while self.events:
            time, _, call, args = heapq.heappop(self.events)
            call(time, *args)
        return self

    def _arrivals(self, seconds):
        for kind in self.kinds:
            most = kind.rate * 4.0
            now = 0.0
            while (now := now + self.rng.expovariate(most)) < seconds:
                account = "big"
                big, rest = kind.rate * BIG_SHARE, kind.rate * (1 - BIG_SHARE)
                factor = next((f for a, b, f in kind.bursts if a <= now < b), 1.0)
                if ACCOUNT_BURST[0] <= now < ACCOUNT_BURST[1]:
                    big *= ACCOUNT_BURST[2]
                draw = self.rng.random() * most
                if draw >= big + rest * factor:
                    continue
                if draw >= big:
                    account = self.rng.choice(ACCOUNTS[1:])
                call = Call(kind, account, *self._sizes(kind), now)
                self.calls.append(call)
                self._at(now, self._send, call)

    def _sizes(self, kind):
        scale = self.rng.lognormvariate(-0.08, 0.4)
        return [max(int(n * scale), EVENT_TOKENS) for n in (kind.prompt, kind.output)]

    # Callers

    def _send(self, now, call):
        call.tries += 1
        call.tried_at = now
        call.dispatches = 0
        self._offer(now + DELAY_S, call, now)

    def _offer(self, now, call, tried_at):
        self.number += 1
        kind = call.kind
        work = Work(
            id=f"n1/{self.number}",
            entry="n1",
            account=call.account,
            tier=kind.tier * BANDS,
            late_tier=kind.tier * BANDS + LATE_BAND,
            deadline=call.at + kind.limit,
            soft_deadline=tried_at + kind.objective,
            abandoned_at=tried_at + PATIENCE_OBJECTIVES * kind.objective,
            route=kind.name,
            prefill_tokens=call.prompt,
            max_decode_tokens=call.output,
            decode_tokens=call.output,
            may_overbook=kind.tier == 0,
            draw=hash_fraction(str(self.number)),
            attempt=call.dispatches,
        )
        self.waiting[work.id] = (call, work, tried_at)
        self._take(now, self.scheduler.offer(work, now))

    def _take(self, now, decisions):
        for decision in decisions:
            call, work, _ = self.waiting.pop(decision.work.id)
            if isinstance(decision, Grant):
                run = _Run(call, work, now)
                self.running[work.id] = (run, decision.target)
                call.dispatches += 1
                self._at(now + 2 * DELAY_S, self._dispatch, run, decision.target)
            else:
                assert isinstance(decision, Refusal), decision
                call.refused.append((now, now - call.at, decision.why))
                self._retry(now, call, decision.retry_after or 0.0)

    def _retry(self, now, call, wait):
        left = call.at + call.kind.limit - now
        wait = min(max(wait, MIN_RETRY_S), MAX_RETRY_S, left * RETRY_FRACTION)
        if call.tries < MAX_TRIES and left > 0:
            self._at(now + wait, self._send, call)

    # Engines

    def _dispatch(self, now, run, target):
        engine = self.engines.get(target)
        if engine is None:
            self._finish(now, run, target, "not-run")
            return
        call = run.call
        call.runs.append(target)
        run.has_arrived = True
        engine.queue.append(run)
        self._wake(now, engine, engine.version)

    def _wake(self, now, engine, version):
        if version != engine.version or engine.name not in self.engines:
            return
        engine.version += 1
        first, done = engine.advance(now)
        for run in first:
            run.call.first_at = now
            seconds = now - run.granted_at - 2 * DELAY_S
            self._at(now + 2 * DELAY_S, self._first, run.work.id, seconds)
        for run in done:
            run.call.ended_at = now
            self._at(now + 2 * DELAY_S, self._finish, run, engine.name, "ok")
        due = engine.next_event()
        if due is not None:
            self._at(due, self._wake, engine, engine.version)

    def _first(self, now, work_id, seconds):
        self.scheduler.first_byte(work_id, seconds, now)

    def _finish(self, now, run, target, status):
        self.running.pop(run.work.id, None)
        total = now - run.granted_at
        outcome = Outcome(run.work.id, target, status, None, total, run.call.output)
        if status != "ok":
            outcome = Outcome(run.work.id, target, status)
        self._take(now, self.scheduler.finish(outcome, now))
        if status != "ok":
            self._offer(now, run.call, run.call.at)

    def _tick(self, now):
        self._take(now, self.scheduler.tick(now))

    # Failures

    def _take_over(self, now):
        self.scheduler = self._make_scheduler(now)
        for run, target in self.running.values():
            self.scheduler.adopt_running(run.work, target, now)
        waiting, self.waiting = self.waiting, {}
        for call, _, tried_at in waiting.values():
            self._offer(now, call, tried_at)

    def _lose_engines(self, now):
        for name in list(self.engines)[: int(ENGINES * LOST_FRACTION)]:
            del self.engines[name]
            self.scheduler.targets.remove(name, now)
            lost = [run for run, target in self.running.values() if target == name]
            for run in lost:
                if run.has_arrived:
                    self._finish(now + DELAY_S, run, name, "died")

    # Figures

    def groups(self):
        """Return {(kind, "all", "top" for the largest tenth or "fifth"): calls}."""
        groups = defaultdict(list)
        for kind in self.kinds:
            calls = sorted((c for c in self.calls if c.kind is kind), key=_size)
            groups[kind.name, "all"] = calls
            groups[kind.name, "top"] = calls[int(len(calls) * 0.9) :]
            groups[kind.name, "fifth"] = calls[
                int(len(calls) * 0.7) : -len(calls) // 10
            ]
        return groups


def _size(call):
    return call.size
