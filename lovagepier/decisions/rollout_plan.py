"""The share of a service's traffic that a new version gets, and when it is done.

Answers moves under a bound on what a bad version may get in all: a small
share until the evidence is in, then everything at once, early enough for the
old version's work to end before the time is up.
"""

from dataclasses import dataclass

__all__ = ["MovePlan", "MoveProgress", "Stage"]

# Part of the bound on exposure that a trial may use; the rest is for what is
# under way when the brake is set.
TRIAL_PART = 0.55
# The trial lasts this part of the time and goes on until enough is known.
TRIAL_UNTIL = 0.45
# With less evidence than this at the latest switch the move is taken back.
LEAST_OUTCOMES = 12
LATEST_SWITCH = 0.7
# With little evidence, a version of which this part failed is not switched to.
MOST_FAILED = 0.3
# What is still running on the old version then is cut by the platform.
LATEST_END = 0.93


class Stage:
    """The stages of a move."""

    TRIAL = "trial"
    SWITCHED = "switched"
    DONE = "done"
    TAKEN_BACK = "taken-back"


@dataclass(slots=True)
class MoveProgress:
    """What a plan is judged on: counts since the order, and targets.

    `sent` and `sent_new` are dispatches, `outcomes_new` ended ones and
    `failed_new` those of them that failed,
    `new_ready` tells whether targets of the new version take work and
    `old_running` how many requests the old version still runs.
    """

    sent: int = 0
    sent_new: int = 0
    outcomes_new: int = 0
    new_ready: bool = False
    old_running: int = 0
    failed_new: int = 0


def _is_promising(progress):
    """Return whether a version may be switched to on little evidence.

    One that fails often is ejected before enough is known to brake it.
    """
    return progress.failed_new < progress.outcomes_new * MOST_FAILED


class MovePlan:
    """One move; `step` says at which stage it is, `allows` one more dispatch."""

    __slots__ = ("_duration", "_share", "_slack", "began", "cause", "stage")

    def __init__(self, duration, exposure_share, exposure_slack, began):
        self._duration = duration
        self._share = exposure_share
        self._slack = exposure_slack
        self.began = began
        self.stage = Stage.TRIAL
        self.cause = ""

    def take_back(self, cause):
        """End the move; final."""
        if self.stage in (Stage.TRIAL, Stage.SWITCHED):
            self.stage = Stage.TAKEN_BACK
            self.cause = cause

    def step(self, progress, now):
        """Return the stage at `now`."""
        part = (now - self.began) / self._duration
        if self.stage == Stage.TRIAL:
            known = progress.outcomes_new >= LEAST_OUTCOMES and progress.new_ready
            if part >= TRIAL_UNTIL and known:
                self.stage = Stage.SWITCHED
            elif part >= LATEST_SWITCH:
                if progress.new_ready and _is_promising(progress):
                    self.stage = Stage.SWITCHED
                else:
                    self.take_back("too little good evidence in time")
        elif self.stage == Stage.SWITCHED:
            ended = not progress.old_running and part >= TRIAL_UNTIL
            if ended or part >= LATEST_END:
                self.stage = Stage.DONE
        return self.stage

    def share(self, progress):
        """Return the part of new requests that goes to the new version."""
        if self.stage in (Stage.SWITCHED, Stage.DONE):
            return 1.0
        if self.stage == Stage.TAKEN_BACK:
            return 0.0
        room = self._share * progress.sent + self._slack
        if progress.sent_new + 1 > room * TRIAL_PART:
            return 0.0
        # The slack is spent early: what is known sooner is braked sooner.
        return min(self._share * 2.0, 0.5)
