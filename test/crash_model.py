"""A model of targets that crash on one part of a prompt, for tests of the scheduler."""

import random

from lovagepier.decisions.placement.work import Grant, Refusal
from test.builders import ended, make_scheduler, make_work

STEP_S = 0.02
RESTART_S = 2.5
SLOTS = 6
TARGETS = 5


class _Run:
    def __init__(self, grant, begins_at, ends_at):
        self.grant = grant
        self.begins_at = begins_at
        self.ends_at = ends_at
        self.has_begun = False


def _refuses_sound(decision):
    if not isinstance(decision, Refusal) or "bad" in decision.work.parts:
        return False
    return decision.kind == "suspect-request"


class CrashModel:
    """Callers, targets and one coordinator in steps of `STEP_S`.

    A share `bad_share` of the requests has the part "bad", which ends each target
    that begins to answer it. All requests have the part "system" and a last part of
    their own, sound ones a "document" that a few of them share.
    `crashes` are the times at which targets ended, `sent_bad` those at which requests
    with the part were sent, `refused_sound` the sound requests refused as poison.
    """

    def __init__(self, seed, bad_share=0.2, rate=10.0):
        self.rng = random.Random(seed)
        self.bad_share = bad_share
        self.rate = rate
        self.now = 0.0
        self.names = [f"t{number}" for number in range(TARGETS)]
        self.scheduler = make_scheduler((), slots=float(SLOTS))
        for name in self.names:
            self._join(name)
        self.runs = {name: [] for name in self.names}
        self.restarts = []
        self.requests = 0
        self.crashes = []
        self.sent_bad = []
        self.refused_sound = []
        self.answered_sound = 0
        self.offered_sound = 0

    def _join(self, name):
        self._take(
            self.scheduler.set_target(name, "a1", "v1", "i1", self.now, slots=SLOTS)
        )

    def replace_coordinator(self):
        """Start a new scheduler with what the last one sent to other hosts."""
        old = self.scheduler
        self.scheduler = make_scheduler((), slots=float(SLOTS))
        detector = self.scheduler.poison_detector
        for name in old.poison_detector.poisoned():
            detector.merge(name, (), True, self.now)
        detector.merge_rows(old.poison_detector.suspect_rows(), self.now)
        for name in self.runs:
            self._join(name)
        for name, runs in self.runs.items():
            for run in runs:
                self.scheduler.adopt_running(run.grant.work, name, self.now)
        for work in list(old.waiting.works()):
            self._take(self.scheduler.offer(work, self.now))

    def run(self, seconds):
        """Play for a time."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            if self.rng.random() < self.rate * STEP_S:
                self._request()
            self._restart_targets()
            for name in list(self.runs):
                self._step_target(name)
            self._take(self.scheduler.tick(self.now))

    def _request(self):
        self.requests += 1
        bad = self.rng.random() < self.bad_share
        part = "bad" if bad else f"document-{self.rng.randrange(20)}"
        self.offered_sound += not bad
        self._offer(f"r{self.requests}", part, self.requests, frozenset(), 0)

    def _offer(self, request_id, part, body, exclude, attempt):
        parts = ("system", part, f"own-{body}")
        work = make_work(
            request_id,
            fingerprint=f"body-{body}",
            parts=parts[:-1],
            deadline=self.now + 8.0,
            exclude=exclude,
            attempt=attempt,
            decode_tokens=20,
        )
        self._take(self.scheduler.offer(work, self.now))

    def _take(self, decisions):
        for decision in decisions:
            work = decision.work
            if isinstance(decision, Grant) and decision.target not in self.runs:
                self._refuse_connection(decision)
            elif isinstance(decision, Grant):
                begins_at = self.now + self.rng.uniform(0.05, 0.4)
                ends_at = begins_at + self.rng.choice((0.1, 0.3, 1.0, 5.0))
                run = _Run(decision, begins_at, ends_at)
                self.runs[decision.target].append(run)
                if "bad" in work.parts:
                    self.sent_bad.append(self.now)
            elif _refuses_sound(decision):
                self.refused_sound.append(work.id)

    def _refuse_connection(self, grant):
        work = grant.work
        outcome = ended(work, grant.target, "unreachable")
        self._take(self.scheduler.finish(outcome, self.now))
        work.exclude |= {grant.target}
        self._take(self.scheduler.offer(work, self.now))

    def _step_target(self, name):
        for run in list(self.runs[name]):
            work = run.grant.work
            if not run.has_begun and self.now >= run.begins_at:
                run.has_begun = True
                if "bad" in work.parts:
                    self._crash(name)
                    return
                self.scheduler.first_byte(work.id, 0.2, self.now)
            if self.now >= run.ends_at:
                self.runs[name].remove(run)
                self.answered_sound += 1
                self._take(self.scheduler.finish(ended(work, name), self.now))

    def _crash(self, name):
        self.crashes.append(self.now)
        lost = self.runs.pop(name)
        self.restarts.append((self.now + RESTART_S, name))
        self.rng.shuffle(lost)
        for number, run in enumerate(lost):
            work = run.grant.work
            if number == 1:
                self.scheduler.targets.on_crash(name, f"{name}/i1", self.now)
            outcome = ended(work, name, "vanished")
            self._take(self.scheduler.finish(outcome, self.now))
        self.scheduler.targets.on_crash(name, f"{name}/i1", self.now)
        for run in lost:
            work = run.grant.work
            if work.attempt == 0 and "bad" not in work.parts:
                body = work.fingerprint.removeprefix("body-")
                part = work.parts[1]
                again = frozenset((name,))
                self._offer(f"{work.id}-again", part, body, again, 1)

    def _restart_targets(self):
        due = [name for at, name in self.restarts if at <= self.now]
        self.restarts = [item for item in self.restarts if item[0] > self.now]
        for name in due:
            new = f"{name.split('.')[0]}.{len(self.crashes)}"
            self.runs[new] = []
            self.scheduler.targets.remove(name, self.now)
            self._join(new)
