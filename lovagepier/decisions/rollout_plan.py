"""The share of a service's traffic that a new version gets, and when it is done.

Answers moves under a bound on what a bad version may get in all: a small
share until the evidence is in, then everything at once, early enough for the
old version's work to end before the time is up.
"""

from dataclasses import dataclass

__all__ = ["RolloutPlan", "RolloutProgress", "Stage"]

# Part of the bound on exposure that a trial may use; the rest is for what is
# under way when the brake is set.
CANARY_EXPOSURE_FRACTION = 0.55
# The trial lasts this fraction of the time and goes on until enough is known.
MIN_CANARY_FRACTION = 0.45
# With less evidence than this at the latest switch the move is taken back.
MIN_OUTCOMES = 12
MAX_SWITCH_FRACTION = 0.7
# With little evidence, a version of which this fraction failed is not switched to.
MAX_FAILED_FRACTION = 0.3
# What is still running on the old version then is cut by the platform.
MAX_END_FRACTION = 0.93


class Stage:
    """The stages of a move."""

    CANARY = "trial"
    SWITCHED = "switched"
    DONE = "done"
    ROLLED_BACK = "taken-back"


@dataclass(slots=True)
class RolloutProgress:
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
    return progress.failed_new < progress.outcomes_new * MAX_FAILED_FRACTION


class RolloutPlan:
    """One move; `step` says at which stage it is, `allows` one more dispatch."""

    __slots__ = ("_duration", "_share", "_slack", "began", "cause", "stage")

    def __init__(self, duration, exposure_share, exposure_slack, began):
        self._duration = duration
        self._share = exposure_share
        self._slack = exposure_slack
        self.began = began
        self.stage = Stage.CANARY
        self.cause = ""

    def roll_back(self, cause):
        """End the move; final."""
        if self.stage in (Stage.CANARY, Stage.SWITCHED):
            self.stage = Stage.ROLLED_BACK
            self.cause = cause

    def step(self, progress, now):
        """Return the stage at `now`."""
        fraction = (now - self.began) / self._duration
        if self.stage == Stage.CANARY:
            known = progress.outcomes_new >= MIN_OUTCOMES and progress.new_ready
            if fraction >= MIN_CANARY_FRACTION and known:
                self.stage = Stage.SWITCHED
            elif fraction >= MAX_SWITCH_FRACTION:
                if progress.new_ready and _is_promising(progress):
                    self.stage = Stage.SWITCHED
                else:
                    self.roll_back("too little good evidence in time")
        elif self.stage == Stage.SWITCHED:
            ended = not progress.old_running and fraction >= MIN_CANARY_FRACTION
            if ended or fraction >= MAX_END_FRACTION:
                self.stage = Stage.DONE
        return self.stage

    def share(self, progress):
        """Return the fraction of new requests that goes to the new version."""
        if self.stage in (Stage.SWITCHED, Stage.DONE):
            return 1.0
        if self.stage == Stage.ROLLED_BACK:
            return 0.0
        room = self._share * progress.sent + self._slack
        if progress.sent_new + 1 > room * CANARY_EXPOSURE_FRACTION:
            return 0.0
        # The slack is spent early: what is known sooner is braked sooner.
        return min(self._share * 2.0, 0.5)
