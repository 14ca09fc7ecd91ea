"""Seeded runs of the pure move decisions: good and bad versions, late news.

Requests arrive, are drawn by share, and end after a service time; their
outcomes reach the decision with the delay of a merge. No node takes part.
"""

import heapq
import random
from dataclasses import dataclass

from lovagepier.decisions.brake import Brake
from lovagepier.decisions.evidence import Counts
from lovagepier.decisions.shares import Move, MoveState, share_at, state_at
from lovagepier.decisions.slowness import SlownessJudge
from lovagepier.decisions.work import Outcome, Work

__all__ = ["FAULTS", "RolloutRun", "run_rollout", "run_rollouts", "summarize"]

STEP_S = 0.1
MERGE_DELAY_S = 0.25
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
    """What came of one run; times in seconds, exposure in requests."""

    fault: str
    taken_back: bool
    finished: bool
    requests: int
    exposed: int
    exposed_late: int
    shown_at: float | None
    braked_at: float | None


class _World:
    """Arrivals and outcomes of one run."""

    def __init__(self, fault, rng, rate, length):
        self.fault = fault
        self.rng = rng
        self.rate = rate
        self.length = length
        self.strength = rng.uniform(0.3, 1.0)
        self.onset = length * rng.uniform(0.3, 0.9) if "late" in fault else 0.0
        self.route = rng.choice(ROUTES)
        self.noise = rng.uniform(0.0, 0.03)

    def is_faulty(self, route, share, now):
        """Return whether the fault acts on a request of the new version."""
        if not self.fault or now < self.onset:
            return False
        if "route" in self.fault and route != self.route:
            return False
        return "load" not in self.fault or share >= 0.3

    def outcome(self, is_new, route, share, now):
        """Return (seconds, failed, pace, faulty) of one request."""
        tokens = 20 if route in ("note", "lookup") else 120
        pace = 0.01 * self.rng.lognormvariate(0, 0.25)
        failed = self.rng.random() < self.noise
        faulty = is_new and self.is_faulty(route, share, now)
        if faulty and self.fault.startswith("fails"):
            failed = failed or self.rng.random() < self.strength
        if faulty and self.fault.startswith("slow"):
            pace *= 1.0 + 3.0 * self.strength
        return tokens * pace, failed, tokens, faulty


def run_rollout(fault, seed, rate=20.0, length=120.0):
    """Run one move; `fault` is one of FAULTS or empty for a good version."""
    rng = random.Random(f"{seed}/{fault}")
    world = _World(fault, rng, rate, length)
    move = Move("m", "drafter", "v1", "v2", 0.0, length)
    brake = Brake()
    judge = SlownessJudge()
    run = RolloutRun(fault, False, False, 0, 0, 0, None, None)
    pending = []
    judged = seen = number = 0
    horizon = length * 1.3
    for step in range(int(horizon / STEP_S)):
        now = step * STEP_S
        while pending and pending[0][0] <= now:
            _, _, is_new, route, failed, slow, faulty = heapq.heappop(pending)
            counts = Counts(1, int(failed), int(slow and not failed))
            brake.observe(route, is_new, counts, now)
            seen += 1
            judged += is_new and not failed and not slow
            if faulty and (failed or slow) and run.shown_at is None:
                run.shown_at = now
        if brake.is_set and run.braked_at is None:
            run.braked_at = now
        state = MoveState(judged, seen, brake.is_set, brake.suspicion())
        share = share_at(move, state, now)
        if state_at(move, state, now) == "done" and now <= length:
            run.finished = True
        for _ in range(_arrivals(rng, rate * STEP_S)):
            run.requests += 1
            number += 1
            is_new = rng.random() < share
            route = rng.choice(ROUTES)
            seconds, failed, tokens, faulty = world.outcome(is_new, route, share, now)
            run.exposed += faulty
            if faulty and run.braked_at is not None:
                run.exposed_late += 1
            slow = _judge(judge, is_new, route, seconds, tokens)
            at = now + seconds + MERGE_DELAY_S
            heapq.heappush(pending, (at, number, is_new, route, failed, slow, faulty))
    run.taken_back = brake.is_set
    return run


def _arrivals(rng, mean):
    """Draw a Poisson number."""
    count = 0
    left = rng.expovariate(1.0)
    while left < mean:
        count += 1
        left += rng.expovariate(1.0)
    return count


def _judge(judge, is_new, route, seconds, tokens):
    work = Work("x", "", "", 0, 0.0, prefill_tokens=100)
    outcome = Outcome("x", "", "ok", 0.05, 0.05 + seconds, tokens)
    return judge.judge(route, not is_new, work, outcome)


def run_rollouts(runs, seed=1, rate=20.0, length=120.0):
    """Run `runs` bad and `runs` good moves; return all `RolloutRun`s."""
    made = []
    for number in range(runs):
        fault = FAULTS[number % len(FAULTS)]
        made.append(run_rollout(fault, f"{seed}/{number}", rate, length))
        made.append(run_rollout("", f"{seed}/{number}", rate, length))
    return made


def summarize(runs):
    """Return the measures of the aims as plain numbers."""
    bad = [run for run in runs if run.fault]
    good = [run for run in runs if not run.fault]
    shown = [run for run in bad if run.shown_at is not None]
    back = [run for run in bad if run.taken_back]
    shares = sorted(run.exposed / max(run.requests, 1) for run in bad)
    return {
        "bad": len(bad),
        "bad_shown": len(shown),
        "bad_taken_back": len(back) / max(len(shown), 1),
        "exposed_share_mean": sum(shares) / max(len(shares), 1),
        "exposed_share_max": shares[-1] if shares else 0.0,
        "under_2_percent": sum(s < 0.02 for s in shares) / max(len(shares), 1),
        "sent_after_brake": sum(run.exposed_late for run in bad),
        "seconds_shown_to_brake_median": _median(
            [run.braked_at - run.shown_at for run in back if run.shown_at is not None]
        ),
        "good": len(good),
        "good_taken_back": sum(run.taken_back for run in good) / max(len(good), 1),
        "good_finished": sum(run.finished for run in good) / max(len(good), 1),
        "by_fault": {
            fault: _fault_row([run for run in bad if run.fault == fault])
            for fault in FAULTS
        },
    }


def _fault_row(runs):
    shown = [run for run in runs if run.shown_at is not None]
    back = sum(run.taken_back for run in shown)
    shares = [run.exposed / max(run.requests, 1) for run in runs]
    return {
        "runs": len(runs),
        "taken_back": back / max(len(shown), 1),
        "exposed_max": max(shares, default=0.0),
        "exposed_mean": sum(shares) / max(len(shares), 1),
    }


def _median(values):
    ordered = sorted(values)
    return ordered[len(ordered) // 2] if ordered else 0.0
