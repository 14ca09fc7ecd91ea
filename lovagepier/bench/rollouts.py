"""Simulates the rollout decisions with seeded random runs of good and bad versions.

Requests arrive at random, go to the new version with the probability of its
share, and end after a service time. Their outcomes reach the decision after a
further delay, as evidence from other nodes does. Callers may leave before they have
their response. No process is started.
"""

import functools
import heapq
import math
import random
from dataclasses import dataclass, replace

from lovagepier.bench.rollout_traffic import (
    DISTURBANCES,
    FAULTS,
    SMALL_SERVICE,
    Service,
    Traffic,
)
from lovagepier.decisions.placement.target_load import TargetLoads
from lovagepier.decisions.placement.work import Work
from lovagepier.decisions.rollouts.capacity_hold import CapacityHold
from lovagepier.decisions.rollouts.evidence import Counts
from lovagepier.decisions.rollouts.rollback import RollbackTrigger
from lovagepier.decisions.rollouts.rollout_plan import (
    SLOW_QUANTILE,
    RolloutPlan,
    RolloutProgress,
    Stage,
)
from lovagepier.decisions.rollouts.rollout_share import (
    Rollout,
    RolloutState,
    share_at,
    state_at,
    step_at,
)
from lovagepier.decisions.rollouts.slowness import (
    USUAL_QUANTILE,
    Pace,
    SlownessDetector,
)
from lovagepier.decisions.rollouts.stratified import StratifiedTest

__all__ = [
    "DISTURBANCES",
    "FAULTS",
    "SMALL_SERVICE",
    "RolloutRun",
    "Service",
    "run_rollout",
    "run_rollouts",
    "summarize",
]

STEP_S = 0.1
# The old version runs alone so long before a rollout that moves all traffic at once.
WARM_UP_S = 20.0
EVIDENCE_DELAY_S = 0.25
# A completed rollout is open until the hosts have the configuration that records it.
RECORD_DELAY_S = 1.0
# A bad version may get this share of the requests and so many more (`RolloutPlan`).
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


@dataclass(slots=True)
class RolloutRun:
    """The result of one run; times are in seconds from its start.

    `fault` is one of FAULTS, or empty for a good version. `exposed` is the number of
    requests that the fault acted on, `exposed_after_rollback` those among them
    that were sent after the rollback. `sent_new` is the number of all requests to the
    new version, and `first_fault_at` when the first outcome of the fault reached the
    decision. `closed_at` is when all hosts know that it was completed, `held_at` when
    its advance first stopped for want of capacity.
    """

    fault: str
    rolled_back: bool
    completed: bool
    requests: int
    exposed: int
    exposed_after_rollback: int
    first_fault_at: float | None
    rolled_back_at: float | None
    completed_at: float | None = None
    sent_new: int = 0
    closed_at: float | None = None
    held_at: float | None = None

    @property
    def exceeds_exposure(self):
        """Whether the new version got more requests than a bad one may."""
        return self.sent_new > EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK

    @property
    def rolled_back_open(self):
        """Whether it was rolled back before it was closed."""
        if self.rolled_back_at is None:
            return False
        return self.closed_at is None or self.rolled_back_at < self.closed_at


class _GradualSchedule:
    """Raises the share step by step on clean outcomes (`rollout_share`)."""

    slow_quantile = USUAL_QUANTILE
    record_delay_s = RECORD_DELAY_S

    def __init__(self, length, steps):
        self.trigger = RollbackTrigger(unchecked_outcomes=math.inf)
        self._rollout = Rollout("m", "drafter", "v1", "v2", 0.0, length)
        if steps:
            self._rollout = replace(self._rollout, steps=steps)
        self._clean = self._total = 0
        self._hold = CapacityHold()
        self._loads = TargetLoads()
        self._reached = 0.0

    def load(self, is_new, now):
        """Return the load of a target of one version, None if it is not known."""
        return self._loads.highest("v2" if is_new else "v1", now)

    def observe_left(self, is_new, left, now):
        """Ignore callers that left: this schedule has no use for them."""

    def observe(self, is_new, failed, pace):
        self._total += 1
        self._clean += is_new and not failed and pace is Pace.USUAL
        if is_new:
            self._hold.add(1, int(pace is Pace.STRAINED and not failed))

    def step(self, run, now, targets):
        """Return (share of the new version, whether the rollout is done).

        `targets` are the numbers of targets of the new version and of the old one.
        """
        state = RolloutState(
            self._clean,
            self._total,
            self.trigger.is_set,
            self.trigger.suspicion(),
            self._hold.is_held,
            self._reached,
        )
        if self._hold.is_held and run.held_at is None:
            run.held_at = now
        is_done = state_at(self._rollout, state, now) == "done"
        self._reached = max(self._reached, step_at(self._rollout, state, now))
        share = share_at(self._rollout, state, now)
        shares = {"v2": share, "v1": 1.0 - share}
        new, old = targets
        self._loads.update(run.requests, shares, {"v2": new, "v1": old}, now)
        return share, is_done


class _SwitchSchedule:
    """Moves all requests at once after a canary stage (`RolloutPlan`)."""

    slow_quantile = SLOW_QUANTILE
    record_delay_s = 0.0

    def __init__(self, length, steps):
        self.trigger = RollbackTrigger()
        self._plan = RolloutPlan(length, EXPOSURE_SHARE, EXPOSURE_SLACK, 0.0)
        self._progress = RolloutProgress(new_ready=True)
        self._left = StratifiedTest()

    def load(self, is_new, now):
        """Return None: this schedule compares at every load."""
        return None

    def observe_left(self, is_new, left, now):
        self._left.add(is_new, 1, int(left), now)

    def observe(self, is_new, failed, pace):
        self._progress.outcomes_new += is_new
        self._progress.failed_new += is_new and failed

    def step(self, run, now, targets):
        """Return (share of the new version, whether the rollout is done)."""
        self._progress.sent = run.requests
        self._progress.sent_new = run.sent_new
        self._progress.suspicion = self.trigger.overall_suspicion()
        self._progress.score = max(self.trigger.score(), self._left.score())
        if self.trigger.is_set:
            self._plan.roll_back(self.trigger.cause)
        stage = self._plan.step(self._progress, now)
        if stage == Stage.ROLLED_BACK:
            self.trigger.set(self._plan.cause)
        return self._plan.share(self._progress), stage == Stage.DONE


def run_rollout(
    fault,
    seed,
    rate=20.0,
    length=120.0,
    disturbance="",
    switches_at_once=False,
    service=None,
    steps=None,
):
    """Simulate one rollout; return a `RolloutRun`.

    `fault` is one of FAULTS, or empty for a good version. `disturbance` is one of
    DISTURBANCES, or empty for none. `service` is a `Service`; without it, `rate` is in
    requests a second, `length` is the planned duration in seconds. With
    `switches_at_once` all requests move at once after a canary stage, otherwise
    gradually, in the `steps` of a `Rollout` if they are given.
    """
    rng = random.Random(f"{seed}/{fault}")
    service = service or Service(rate, length)
    length = service.length
    traffic = Traffic(fault, disturbance, rng, service)
    schedule = (_SwitchSchedule if switches_at_once else _GradualSchedule)(
        length, steps
    )
    trigger = schedule.trigger
    detector = SlownessDetector(schedule.slow_quantile)
    run = RolloutRun(fault, False, False, 0, 0, 0, None, None)
    pending = []
    number = 0
    # What is sent after the time of the rollout does not raise the exposure bound.
    end = length if switches_at_once else length * 1.3
    first = -int(WARM_UP_S / STEP_S) if switches_at_once else 0
    for step in range(first, int(end / STEP_S)):
        now = step * STEP_S
        while pending and pending[0][0] <= now:
            _, _, is_new, route, failed, pace, faulty, left = heapq.heappop(pending)
            schedule.observe_left(is_new, left, now)
            if left:
                continue
            if pace is Pace.STRAINED and trigger.is_slow(route):
                pace = Pace.SLOW
            if failed or pace in (Pace.USUAL, Pace.SLOW):
                counts = Counts(1, int(failed), int(pace is Pace.SLOW and not failed))
                trigger.observe(route, is_new, counts, now)
            if now >= 0.0:
                schedule.observe(is_new, failed, pace)
            is_slow = pace in (Pace.SLOW, Pace.STRAINED)
            if faulty and (failed or is_slow) and run.first_fault_at is None:
                run.first_fault_at = now
        share, is_done = 0.0, False
        if now >= 0.0:
            share, is_done = schedule.step(run, now, traffic.target_counts())
        if trigger.is_set and run.rolled_back_at is None:
            run.rolled_back_at = now
        if is_done and now <= length:
            run.completed = True
            if run.completed_at is None:
                run.completed_at = now
                run.closed_at = now + schedule.record_delay_s
        for _ in range(_poisson(rng, service.rate * STEP_S)):
            run.requests += now >= 0.0
            number += 1
            is_new = rng.random() < share
            route = rng.choice(service.routes)
            seconds, status, tokens, faulty, target = traffic.outcome(
                is_new, route, share, now
            )
            run.sent_new += is_new
            run.exposed += faulty
            if faulty and run.rolled_back_at is not None:
                run.exposed_after_rollback += 1
            failed = status in ("failed", "late")
            outcome = traffic.as_outcome(target, seconds, tokens, status)
            pace = Pace.USUAL
            if status != "late":
                load = schedule.load(is_new, now)
                pace = _pace(detector, is_new, route, outcome, load)
            left = status == "cancelled" and pace is None
            at = now + seconds + EVIDENCE_DELAY_S
            heapq.heappush(
                pending, (at, number, is_new, route, failed, pace, faulty, left)
            )
    run.rolled_back = trigger.is_set
    return run


def _poisson(rng, mean):
    """Return a Poisson-distributed number."""
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def _pace(detector, is_new, route, outcome, load):
    work = Work("x", "", "", 0, 0.0, prefill_tokens=100)
    return detector.classify(route, not is_new, work, outcome, load=load)


def run_rollouts(runs, seed=1, rate=20.0, length=120.0, map_cases=map):
    """Simulate `runs` bad and `runs` good rollouts; return all `RolloutRun`s.

    `map_cases` is called as `map` is; it may play the simulations in processes.
    """
    cases = [
        (fault, f"{seed}/{number}")
        for number in range(runs)
        for fault in (FAULTS[number % len(FAULTS)], "")
    ]
    return list(map_cases(functools.partial(_run_case, rate, length), cases))


def _run_case(rate, length, case):
    return run_rollout(*case, rate, length)


def summarize(runs):
    """Return the measures that the objectives for rollouts are stated in.

    In the keys "taken back" means rolled back, and "brake" the rollback trigger.
    """
    bad = [run for run in runs if run.fault]
    good = [run for run in runs if not run.fault]
    shown = [run for run in bad if run.first_fault_at is not None]
    rolled_back = [run for run in bad if run.rolled_back]
    shares = sorted(run.exposed / max(run.requests, 1) for run in bad)
    return {
        "bad": len(bad),
        "bad_shown": len(shown),
        "bad_taken_back": len(rolled_back) / max(len(shown), 1),
        "exposed_share_mean": sum(shares) / max(len(shares), 1),
        "exposed_share_max": shares[-1] if shares else 0.0,
        "under_2_percent": sum(s < 0.02 for s in shares) / max(len(shares), 1),
        "sent_after_brake": sum(run.exposed_after_rollback for run in bad),
        "seconds_shown_to_brake_median": _median(
            [
                run.rolled_back_at - run.first_fault_at
                for run in rolled_back
                if run.first_fault_at is not None
            ]
        ),
        "good": len(good),
        "good_taken_back": sum(run.rolled_back for run in good) / max(len(good), 1),
        "good_finished": sum(run.completed for run in good) / max(len(good), 1),
        "by_fault": {
            fault: _fault_row([run for run in bad if run.fault == fault])
            for fault in FAULTS
        },
    }


def _fault_row(runs):
    shown = [run for run in runs if run.first_fault_at is not None]
    rolled_back = sum(run.rolled_back for run in shown)
    shares = [run.exposed / max(run.requests, 1) for run in runs]
    return {
        "runs": len(runs),
        "taken_back": rolled_back / max(len(shown), 1),
        "exposed_max": max(shares, default=0.0),
        "exposed_mean": sum(shares) / max(len(shares), 1),
    }


def _median(values):
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0
