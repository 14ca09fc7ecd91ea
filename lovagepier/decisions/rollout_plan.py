"""The stages of a service's rollout and the share of traffic in each of them.

The number of requests that a bad version may get in all is bounded. So the new
version gets a small share (canary) until there is enough evidence, then all new
requests at once, early enough for the old version's requests to end in time.
"""

from dataclasses import dataclass

__all__ = ["SLOW_QUANTILE", "RolloutPlan", "RolloutProgress", "Stage"]

# The bar of the `SlownessDetector`. There is no way back once all traffic has moved, so
# a slow version must show in the few outcomes of its canary stage.
SLOW_QUANTILE = 0.9
# Fraction of the exposure bound that the canary stage may use. The rest is for
# requests in flight at a rollback.
CANARY_EXPOSURE_FRACTION = 0.55
# The canary stage lasts at least this fraction of the time, and until there are
# `MIN_OUTCOMES` of the new version.
MIN_CANARY_FRACTION = 0.45
MIN_OUTCOMES = 12
# It also lasts while the suspicion is higher: a bad version that gets all requests
# exceeds its exposure before the next outcomes are in.
MAX_SWITCH_SUSPICION = 0.3
# At this fraction of the time the rollout switches with fewer outcomes, or is rolled
# back: without outcomes, if more than `MAX_FAILED_FRACTION` of them failed, or if the
# suspicion is higher than `MAX_LATE_SUSPICION`.
MAX_SWITCH_FRACTION = 0.7
MAX_FAILED_FRACTION = 0.3
MAX_LATE_SUSPICION = 0.5
# Before this fraction of the time the rollout is not done: answers of a slow version
# come late, and after the end there is no way back.
MIN_END_FRACTION = 0.8
# At this fraction of the time the rollout is done in any case. Requests that still run
# on the old version are cut off by the platform.
MAX_END_FRACTION = 0.93


class Stage:
    """The stages of a rollout.

    In logs a canary stage is called a trial, and a rollback taken back.
    """

    CANARY = "trial"
    SWITCHED = "switched"
    DONE = "done"
    ROLLED_BACK = "taken-back"


@dataclass(slots=True)
class RolloutProgress:
    """The evidence for a plan: counts since the rollout began, and its targets.

    `sent` counts the requests of the service, `sent_new` those granted to the new
    version, `outcomes_new` the outcomes of the new version and `failed_new` those
    that failed. `new_ready` tells whether a target of the new version takes
    requests, `old_running` how many requests still run on the old version.
    `suspicion` is the overall one of the `RollbackTrigger`, 1.0 rolls back.
    """

    sent: int = 0
    sent_new: int = 0
    outcomes_new: int = 0
    new_ready: bool = False
    old_running: int = 0
    failed_new: int = 0
    suspicion: float = 0.0


def _is_promising(progress):
    """Return whether the rollout may switch with little evidence.

    Targets of a version that often fails are ejected before there are enough
    outcomes for a rollback.
    """
    if progress.suspicion > MAX_LATE_SUSPICION:
        return False
    return progress.failed_new < progress.outcomes_new * MAX_FAILED_FRACTION


class RolloutPlan:
    """One rollout: `step` advances its stage, `share` bounds its exposure.

    `duration` is the time for the whole rollout and `began` its start, in seconds. A
    bad version may get `exposure_share` of the requests plus `exposure_slack`.
    """

    __slots__ = ("_duration", "_share", "_slack", "began", "cause", "stage")

    def __init__(self, duration, exposure_share, exposure_slack, began):
        self._duration = duration
        self._share = exposure_share
        self._slack = exposure_slack
        self.began = began
        self.stage = Stage.CANARY
        self.cause = ""

    def roll_back(self, cause):
        """Roll back unless the rollout has ended; this is final."""
        if self.stage in (Stage.CANARY, Stage.SWITCHED):
            self.stage = Stage.ROLLED_BACK
            self.cause = cause

    def step(self, progress, now):
        """Advance the rollout to `now` and return its stage."""
        fraction = (now - self.began) / self._duration
        if self.stage == Stage.CANARY:
            known = progress.outcomes_new >= MIN_OUTCOMES and progress.new_ready
            trusted = known and progress.suspicion <= MAX_SWITCH_SUSPICION
            if fraction >= MIN_CANARY_FRACTION and trusted:
                self.stage = Stage.SWITCHED
            elif fraction >= MAX_SWITCH_FRACTION:
                if progress.new_ready and _is_promising(progress):
                    self.stage = Stage.SWITCHED
                else:
                    self.roll_back("too little good evidence in time")
        elif self.stage == Stage.SWITCHED:
            ended = not progress.old_running and fraction >= MIN_END_FRACTION
            if ended or fraction >= MAX_END_FRACTION:
                self.stage = Stage.DONE
        return self.stage

    def share(self, progress):
        """Return the fraction of new requests that go to the new version."""
        if self.stage in (Stage.SWITCHED, Stage.DONE):
            return 1.0
        if self.stage == Stage.ROLLED_BACK:
            return 0.0
        room = self._share * progress.sent + self._slack
        if progress.sent_new + 1 > room * CANARY_EXPOSURE_FRACTION:
            return 0.0
        # Use up the exposure early: a bad version then shows sooner.
        return min(self._share * 2.0, 0.5)
