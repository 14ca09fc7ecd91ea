"""Simulates the rollout decisions with seeded random runs of good and bad versions.

Requests arrive at random, go to the new version with the probability of its
share, and end after a service time. Their outcomes reach the decision after a
further delay, as evidence from other nodes does. No process is started.
"""

import heapq
import random
from dataclasses import dataclass

from lovagepier.decisions.evidence import Counts
from lovagepier.decisions.rollback import RollbackTrigger
from lovagepier.decisions.rollout_share import Rollout, RolloutState, share_at, state_at
from lovagepier.decisions.slowness import SlownessDetector
from lovagepier.decisions.work import Outcome, Work

__all__ = ["FAULTS", "RolloutRun", "run_rollout", "run_rollouts", "summarize"]

STEP_S = 0.1
EVIDENCE_DELAY_S = 0.25
ROUTES = ("report", "note", "lookup", "letter")
FAULTS = (
    "fails-at-once",
    "fails-late",
    "fails-under-load",
    "fails-on-one-route",
    "slow-at-once",
    "slow-late",
    "slow-on-one-route",
)


@dataclass(slots=True)
class RolloutRun:
    """The result of one run; times are in seconds from its start.

    `fault` is one of FAULTS, or empty for a good version. `exposed` is the number of
    requests that the fault acted on, `exposed_after_rollback` those among them
    that were sent after the rollback. `first_fault_at` is when the first
    outcome of the fault reached the decision.
    """

    fault: str
    rolled_back: bool
    completed: bool
    requests: int
    exposed: int
    exposed_after_rollback: int
    first_fault_at: float | None
    rolled_back_at: float | None


class _Traffic:
    """Draws the outcomes of requests in one run, with the fault of the new version."""

    def __init__(self, fault, rng, rate, length):
        self.fault = fault
        self.rng = rng
        self.rate = rate
        self.length = length
        self.severity = rng.uniform(0.3, 1.0)
        self.onset = length * rng.uniform(0.3, 0.9) if "late" in fault else 0.0
        self.route = rng.choice(ROUTES)
        self.base_failure_rate = rng.uniform(0.0, 0.03)

    def is_faulty(self, route, share, now):
        """Return whether the fault acts on a request to the new version."""
        if not self.fault or now < self.onset:
            return False
        if "route" in self.fault and route != self.route:
            return False
        return "load" not in self.fault or share >= 0.3

    def outcome(self, is_new, route, share, now):
        """Return (service time in seconds, failed, tokens, faulty) of one request."""
        tokens = 20 if route in ("note", "lookup") else 120
        pace = 0.01 * self.rng.lognormvariate(0, 0.25)
        failed = self.rng.random() < self.base_failure_rate
        faulty = is_new and self.is_faulty(route, share, now)
        if faulty and self.fault.startswith("fails"):
            failed = failed or self.rng.random() < self.severity
        if faulty and self.fault.startswith("slow"):
            pace *= 1.0 + 3.0 * self.severity
        return tokens * pace, failed, tokens, faulty


def run_rollout(fault, seed, rate=20.0, length=120.0):
    """Simulate one rollout; return a `RolloutRun`.

    `fault` is one of FAULTS, or empty for a good version. `rate` is in requests
    a second, `length` is the planned duration in seconds.
    """
    rng = random.Random(f"{seed}/{fault}")
    traffic = _Traffic(fault, rng, rate, length)
    rollout = Rollout("m", "drafter", "v1", "v2", 0.0, length)
    trigger = RollbackTrigger()
    detector = SlownessDetector()
    run = RolloutRun(fault, False, False, 0, 0, 0, None, None)
    pending = []
    clean = total = number = 0
    end = length * 1.3
    for step in range(int(end / STEP_S)):
        now = step * STEP_S
        while pending and pending[0][0] <= now:
            _, _, is_new, route, failed, slow, faulty = heapq.heappop(pending)
            counts = Counts(1, int(failed), int(slow and not failed))
            trigger.observe(route, is_new, counts, now)
            total += 1
            clean += is_new and not failed and not slow
            if faulty and (failed or slow) and run.first_fault_at is None:
                run.first_fault_at = now
        if trigger.is_set and run.rolled_back_at is None:
            run.rolled_back_at = now
        state = RolloutState(clean, total, trigger.is_set, trigger.suspicion())
        share = share_at(rollout, state, now)
        if state_at(rollout, state, now) == "done" and now <= length:
            run.completed = True
        for _ in range(_poisson(rng, rate * STEP_S)):
            run.requests += 1
            number += 1
            is_new = rng.random() < share
            route = rng.choice(ROUTES)
            seconds, failed, tokens, faulty = traffic.outcome(is_new, route, share, now)
            run.exposed += faulty
            if faulty and run.rolled_back_at is not None:
                run.exposed_after_rollback += 1
            slow = _is_slow(detector, is_new, route, seconds, tokens)
            at = now + seconds + EVIDENCE_DELAY_S
            heapq.heappush(pending, (at, number, is_new, route, failed, slow, faulty))
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


def _is_slow(detector, is_new, route, seconds, tokens):
    work = Work("x", "", "", 0, 0.0, prefill_tokens=100)
    outcome = Outcome("x", "", "ok", 0.05, 0.05 + seconds, tokens)
    return detector.judge(route, not is_new, work, outcome)


def run_rollouts(runs, seed=1, rate=20.0, length=120.0):
    """Simulate `runs` bad and `runs` good rollouts; return all `RolloutRun`s."""
    results = []
    for number in range(runs):
        fault = FAULTS[number % len(FAULTS)]
        results.append(run_rollout(fault, f"{seed}/{number}", rate, length))
        results.append(run_rollout("", f"{seed}/{number}", rate, length))
    return results


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
