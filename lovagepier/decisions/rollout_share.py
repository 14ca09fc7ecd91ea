"""The share of traffic a rollout gives its new version at a given time."""

from dataclasses import dataclass

__all__ = ["Rollout", "RolloutState", "share_at", "state_at"]

FIRST_SHARE = 0.01
OUTCOMES_PER_DOUBLING = 16
MIN_FULL_SHARE_OUTCOMES = 112
MIN_CLEAN_OUTCOMES = 8
MAX_THIN_SHARE = 0.25
MIN_HOLD_SUSPICION = 0.5
CATCH_UP_FRACTION = 0.5
WATCH_FRACTION = 0.25


@dataclass(slots=True, frozen=True)
class Rollout:
    """One rollout of a model's traffic from an old version to a new one.

    `steps` is ((fraction of the way in [0, 1], share), ...) in time order;
    `start` and `finish_by` are seconds of wall-clock time.
    """

    id: str
    model: str
    old: str
    new: str
    start: float
    finish_by: float
    steps: tuple = ((0.0, 0.01), (0.25, 0.1), (0.5, 0.5), (0.8, 1.0))


@dataclass(slots=True, frozen=True)
class RolloutState:
    """What the merged evidence says of a rollout.

    `clean_outcomes` counts outcomes of the new version, `total_outcomes` those of both,
    `elapsed` the seconds over which they were seen.
    """

    clean_outcomes: int = 0
    total_outcomes: int = 0
    rolled_back: bool = False
    suspicion: float = 0.0


def planned_share(rollout, now):
    """Return the share that the operators' schedule gives at `now`."""
    if now < rollout.start:
        return 0.0
    length = max(rollout.finish_by - rollout.start, 1e-9)
    fraction = (now - rollout.start) / length
    share = 0.0
    for at, value in rollout.steps:
        if fraction >= at:
            share = value
    return 1.0 if fraction >= 1.0 else share


def evidence_cap(clean_outcomes):
    """Return the share that `clean_outcomes` clean outcomes have earned."""
    if clean_outcomes >= MIN_FULL_SHARE_OUTCOMES:
        return 1.0
    doublings = clean_outcomes // OUTCOMES_PER_DOUBLING
    return min(FIRST_SHARE * 2.0**doublings, 1.0)


def catch_up_share(rollout, state, now):
    """Return the share needed to earn the rest of the evidence in time."""
    elapsed = now - rollout.start
    remaining = (rollout.finish_by - now) * CATCH_UP_FRACTION
    if elapsed <= 0:
        return 0.0
    if remaining <= 0:
        return 1.0 if state.clean_outcomes >= MIN_CLEAN_OUTCOMES else MAX_THIN_SHARE
    rate = (state.total_outcomes + 1.0) / elapsed
    share = (MIN_FULL_SHARE_OUTCOMES - state.clean_outcomes) / (rate * remaining)
    limit = 1.0 if state.clean_outcomes >= 4 * MIN_CLEAN_OUTCOMES else MAX_THIN_SHARE
    # Early on the rate is unknown; the need counts only from a quarter on.
    fraction = elapsed / max(rollout.finish_by - rollout.start, 1e-9)
    if fraction < 0.25:
        return 0.0
    return min(max(share, 0.0), limit)


def share_at(rollout, state, now):
    """Return the share in [0, 1] of the new version at `now`.

    A pure function, so nodes with the same evidence agree without asking.
    A braked rollout gets nothing. Otherwise the schedule bounds the share, the
    outcomes seen so far bound it below that, and a rollout that falls behind
    may take what it needs to finish in time.
    """
    if state.rolled_back or now < rollout.start:
        return 0.0
    planned = planned_share(rollout, now)
    earned = max(
        evidence_cap(state.clean_outcomes), catch_up_share(rollout, state, now)
    )
    share = min(planned, earned)
    if state.suspicion >= MIN_HOLD_SUSPICION:
        share = min(share, max(FIRST_SHARE, share * (1.0 - state.suspicion)))
    return share


def state_at(rollout, state, now):
    """Return one of waiting, moving, held, watching, done, taken-back."""
    if state.rolled_back:
        return "taken-back"
    if now < rollout.start:
        return "waiting"
    share = share_at(rollout, state, now)
    if share >= 1.0:
        watch = (rollout.finish_by - rollout.start) * WATCH_FRACTION
        enough = now >= rollout.finish_by or now >= rollout.finish_by - watch
        return "done" if enough else "watching"
    return "held" if share < planned_share(rollout, now) else "moving"
