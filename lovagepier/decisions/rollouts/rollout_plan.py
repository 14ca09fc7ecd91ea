"""The stages of a service's rollout and the share of traffic in each of them.

The number of requests that a bad version may get in all is bounded. So the new
version gets a small share (canary) as long as possible, then most new requests, so late
that the bound holds until the outcomes under that load are in, while the old version
still serves some to compare with. At last it gets all, early enough for the old
version's requests to end in time.
"""

from dataclasses import dataclass

from lovagepier.decisions.queueing.request_rate import MIN_RATE_SPAN_S, RequestRate

__all__ = [
    "RESUMED_WATCH_S",
    "SLOW_QUANTILE",
    "RolloutPlan",
    "RolloutProgress",
    "Stage",
    "may_follow",
]

# The bar of the `SlownessDetector`. There is no way back once all traffic has moved, so
# a slow version must show in the few outcomes of its canary stage.
SLOW_QUANTILE = 0.9
# Fractions of the two parts of the exposure bound that the canary stage may use. The
# rest is for the time between the switch of all traffic and the verdict.
CANARY_SLACK_FRACTION = 0.5
CANARY_SHARE_FRACTION = 0.4
# It is used within this fraction of the time, so that a bad version shows early, at a
# share of at most `MAX_CANARY_SHARE`.
CANARY_SPEND_FRACTION = 0.25
MAX_CANARY_SHARE = 0.5
# Outcomes of the new version that are needed for the switch.
MIN_OUTCOMES = 24
# The canary stage lasts while the suspicion is higher. It is the verdict, too: a
# version that is suspected more is rolled back once the exposure bound is reached.
MAX_SWITCH_SUSPICION = 0.3
# The same for how much worse the new version is, in standard deviations.
MAX_SWITCH_SCORE = 3.0
# A suspicion up to `MAX_ALONE_SUSPICION` counts with at least this score.
MIN_BOTH_SCORE = 1.5
MAX_ALONE_SUSPICION = 0.7
# The new version's share from the switch on. The rest shows what slows both versions.
WATCH_SHARE = 0.67
# The time between the switch and `MAX_END_FRACTION`, as fractions of the whole time.
MIN_WATCH_FRACTION = 0.05
MAX_WATCH_FRACTION = 0.45
# The old version's requests get this many times their mean time to end, within these
# fractions of the whole time. Meanwhile all new requests go to the new version.
OLD_MEAN_TIMES = 2.0
OLD_MEAN_WEIGHT = 0.05
MIN_OLD_FRACTION = 0.02
MAX_OLD_FRACTION = 0.04
# Traffic may rise by this factor without reaching the exposure bound early.
RATE_MARGIN = 1.25
# Span of the samples that the current rate of requests is taken from.
RATE_SPAN_S = 3.0
# Requests sent before the next step count as sent, in seconds of traffic.
STEP_AHEAD_S = 0.25
# At the latest moment the rollout switches with fewer outcomes, or is rolled back:
# without outcomes, if more than `MAX_FAILED_FRACTION` of them failed, or if the
# suspicion is higher than `MAX_LATE_SUSPICION`.
MAX_FAILED_FRACTION = 0.3
MAX_LATE_SUSPICION = 0.5
# Before this fraction of the time the rollout is not done: answers of a slow version
# come late, and after the end there is no way back.
MIN_END_FRACTION = 0.8
# At this fraction of the time the rollout is done in any case. Requests that still run
# on the old version are cut off by the platform. The rest is for a change of the
# coordinator and for the store.
MAX_END_FRACTION = 0.93
# A coordinator that begins or resumes in the middle of a rollout lacks the outcomes of
# the time before. It waits for so long, and for `MIN_OUTCOMES` of the new version until
# the whole time is over, before it ends the rollout.
RESUMED_WATCH_S = 1.0
# The stored states that may follow each stored state, None for no state yet. The
# platform acts on the end of a rollout, so an end is never replaced.
_NEXT_STATES = {
    None: ("running", "done", "taken-back"),
    "running": ("running", "done", "taken-back"),
    "done": (),
    "taken-back": (),
}


def may_follow(stored, state):
    """Return whether a rollout's stored state may be replaced by `state`."""
    return state in _NEXT_STATES[stored]


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
    requests, `old_running` how many requests still run on the old version and
    `old_mean_s` how long they take. `suspicion` is the overall one of the
    `RollbackTrigger`, 1.0 rolls back, and `score` its `RollbackTrigger.score`.
    `slack_fraction` is this host's part of the exposure slack, below 1 if others decide
    for themselves.
    """

    sent: int = 0
    sent_new: int = 0
    outcomes_new: int = 0
    new_ready: bool = False
    old_running: int = 0
    failed_new: int = 0
    suspicion: float = 0.0
    old_mean_s: float = 0.0
    score: float = 0.0
    slack_fraction: float = 1.0

    def count_outcome(self, is_new, failed, seconds):
        """Count an outcome; `seconds` is how long it took, None if that is unknown."""
        self.outcomes_new += is_new
        self.failed_new += is_new and failed
        if not is_new and seconds is not None:
            weight = OLD_MEAN_WEIGHT if self.old_mean_s else 1.0
            self.old_mean_s += (seconds - self.old_mean_s) * weight


def _is_suspected(progress):
    """Return whether the new version may be bad.

    The suspicion compares with what was usual before, the score with the old version's
    outcomes of the same time. A moderate suspicion needs both.
    """
    if progress.score > MAX_SWITCH_SCORE or progress.suspicion > MAX_ALONE_SUSPICION:
        return True
    is_worse = progress.score > MIN_BOTH_SCORE
    return is_worse and progress.suspicion > MAX_SWITCH_SUSPICION


def _is_promising(progress):
    """Return whether the rollout may switch with little evidence.

    Targets of a version that often fails are ejected before there are enough
    outcomes for a rollback.
    """
    if progress.suspicion > MAX_LATE_SUSPICION or progress.score > MAX_SWITCH_SCORE:
        return False
    return progress.failed_new < progress.outcomes_new * MAX_FAILED_FRACTION


class RolloutPlan:
    """One rollout: `step` advances its stage, `share` bounds its exposure.

    `duration` is the time for the whole rollout and `began` its start, in seconds. A
    bad version may get `exposure_share` of the requests plus `exposure_slack`. An end
    is provisional until the store holds it (`is_confirmed`).
    """

    __slots__ = (
        "_duration",
        "_is_final",
        "_open_stage",
        "_rate",
        "_requests",
        "_resumed_at",
        "_resumed_outcomes",
        "_share",
        "_slack",
        "began",
        "cause",
        "is_confirmed",
        "stage",
    )

    def __init__(self, duration, exposure_share, exposure_slack, began):
        self._duration = duration
        self._share = exposure_share
        self._slack = exposure_slack
        self._requests = RequestRate(RATE_SPAN_S)
        self._rate = None
        self._is_final = False
        self._open_stage = Stage.CANARY
        self._resumed_at = float("-inf")
        self._resumed_outcomes = float("-inf")
        self.is_confirmed = False
        self.began = began
        self.stage = Stage.CANARY
        self.cause = ""

    @property
    def is_open(self):
        """Whether the new version can still be rolled back."""
        return self.stage in (Stage.CANARY, Stage.SWITCHED) or (
            self.stage == Stage.DONE and not self.is_confirmed
        )

    def roll_back(self, cause):
        """Roll back unless the store holds that the rollout is done."""
        if self.is_open:
            self._end(Stage.ROLLED_BACK)
            self.cause = cause

    def confirm(self, stage):
        """Adopt the end that the store holds, DONE or ROLLED_BACK.

        Return False if the store held the other one before.
        """
        if self.is_confirmed:
            return self.stage == stage
        if self.stage != stage:
            self._end(stage)
        self.is_confirmed = True
        return True

    def resume(self, progress, now):
        """Take back a provisional end; end only with outcomes seen from now on.

        What this host decided may be outdated: others may have had the outcomes.
        """
        self._resumed_at = now
        self._resumed_outcomes = progress.outcomes_new
        if not self.is_confirmed and self.stage in (Stage.DONE, Stage.ROLLED_BACK):
            self.stage = self._open_stage
            self.cause = ""

    def _end(self, stage):
        if self.stage in (Stage.CANARY, Stage.SWITCHED):
            self._open_stage = self.stage
        self.stage = stage

    def step(self, progress, now):
        """Advance the rollout to `now` and return its stage."""
        self._learn_rate(progress, now)
        elapsed = now - self.began
        has_watched = now - self._resumed_at >= RESUMED_WATCH_S
        if self.stage == Stage.CANARY and has_watched:
            self._end_canary(progress, elapsed)
        elif self.stage == Stage.SWITCHED:
            seen = progress.outcomes_new - self._resumed_outcomes
            has_outcomes = seen >= MIN_OUTCOMES or elapsed >= self._duration
            self._end_watch(progress, elapsed, has_watched and has_outcomes)
        return self.stage

    def _learn_rate(self, progress, now):
        self._requests.add(progress.sent, now)
        current = self._requests.current()
        if current is not None:
            mean = progress.sent / max(now - self.began, MIN_RATE_SPAN_S)
            self._rate = max(current, mean)

    def _end_canary(self, progress, elapsed):
        last = self._duration * (MAX_END_FRACTION - MIN_WATCH_FRACTION)
        if elapsed >= last:
            if progress.new_ready and _is_promising(progress):
                self.stage = Stage.SWITCHED
            else:
                self.roll_back("too little good evidence in time")
            return
        known = progress.outcomes_new >= MIN_OUTCOMES and progress.new_ready
        if (
            known
            and not _is_suspected(progress)
            and elapsed >= self._switch_after(progress)
        ):
            self.stage = Stage.SWITCHED

    def _switch_after(self, progress):
        """Return when to switch, in seconds from the start.

        From then on until the end a bad version stays within its bound.
        """
        ending = self._ending_s(progress)
        watch = self._duration * MIN_WATCH_FRACTION
        if self._rate is not None:
            rate = max(self._rate * RATE_MARGIN, 1e-9)
            room = self._room(progress) - ending * rate * (1.0 - self._share)
            watch = max(watch, ending + room / (rate * (WATCH_SHARE - self._share)))
        watch = min(watch, self._duration * MAX_WATCH_FRACTION)
        return self._duration * MAX_END_FRACTION - watch

    def _ending_s(self, progress):
        """Return how long the old version's requests need to end, in seconds."""
        needed = progress.old_mean_s * OLD_MEAN_TIMES
        needed = max(needed, self._duration * MIN_OLD_FRACTION)
        return min(needed, self._duration * MAX_OLD_FRACTION)

    def _end_watch(self, progress, elapsed, is_current):
        end = self._duration * MAX_END_FRACTION
        sent_soon = (self._rate or 0.0) * STEP_AHEAD_S
        is_bound = self._room(progress) <= sent_soon
        if is_bound or elapsed >= end - self._ending_s(progress):
            if _is_suspected(progress):
                self.roll_back("suspected at the exposure bound")
                return
            self._is_final = True
        is_late = elapsed >= self._duration * MIN_END_FRACTION
        is_ended = self._is_final and is_late and not progress.old_running
        if not is_current or not (elapsed >= end or (is_bound and is_ended)):
            return
        if progress.new_ready:
            self._end(Stage.DONE)
        elif elapsed >= end:
            # Once it is done, the old version's targets are stopped.
            self.roll_back("no target of the new version at the end")

    def _room(self, progress):
        """Return how many requests the new version may still get if it is bad."""
        return self._bound(progress) - progress.sent_new

    def _bound(self, progress):
        return self._share * progress.sent + self._slack * progress.slack_fraction

    def assume_canary(self, progress):
        """Assume that a canary stage has used its part of the slack.

        A host that begins in the middle of a rollout does not know its requests.
        """
        used = int(self._slack * CANARY_SLACK_FRACTION)
        progress.sent_new = max(progress.sent_new, used)

    def _canary_bound(self, progress):
        shared = self._share * progress.sent * CANARY_SHARE_FRACTION
        slack = self._slack * progress.slack_fraction
        return shared + slack * CANARY_SLACK_FRACTION

    def share(self, progress):
        """Return the fraction of new requests that go to the new version."""
        if self.stage == Stage.DONE:
            return 1.0
        if self.stage == Stage.SWITCHED:
            return 1.0 if self._is_final else WATCH_SHARE
        if self.stage == Stage.ROLLED_BACK:
            return 0.0
        budget = self._canary_bound(progress) - progress.sent_new
        if budget < 1.0:
            return 0.0
        least = min(self._share * 2.0, MAX_CANARY_SHARE)
        if self._rate is None:
            return least
        seconds = self._duration * CANARY_SPEND_FRACTION
        wanted = budget / max(self._rate * seconds, 1e-9)
        return min(max(wanted, least), MAX_CANARY_SHARE)
