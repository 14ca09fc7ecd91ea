"""The share of traffic that a rollout's new version gets at a given time."""

from dataclasses import dataclass

__all__ = ["Rollout", "RolloutState", "share_at", "state_at", "step_at"]

# The share doubles from this value with every `OUTCOMES_PER_DOUBLING` clean outcomes.
FIRST_SHARE = 0.01
OUTCOMES_PER_DOUBLING = 16
# Clean outcomes that allow a share of 1.
MIN_FULL_SHARE_OUTCOMES = 112
# A rollout that is behind its schedule gets at most `MAX_THIN_SHARE` until it has four
# times this many clean outcomes. Once its time is up, this many are enough.
MIN_CLEAN_OUTCOMES = 8
MAX_THIN_SHARE = 0.25
# From this suspicion on the share is reduced.
MIN_HOLD_SUSPICION = 0.5
# Fraction of the remaining time in which a late rollout collects its evidence.
CATCH_UP_FRACTION = 0.5
# Last fraction of the rollout in which a share of 1 counts as done.
WATCH_FRACTION = 0.25


@dataclass(slots=True, frozen=True)
class Rollout:
    """One rollout of a model from an old version to a new one.

    `steps` is ((fraction of the time in [0, 1], share), ...) in time order;
    `start` and `finish_by` are seconds of wall-clock time. Where operators wrote no
    steps, half of the traffic stays with the old version, to compare with, until near
    the end.
    """

    id: str
    model: str
    old: str
    new: str
    start: float
    finish_by: float
    steps: tuple = ((0.0, 0.01), (0.25, 0.1), (0.5, 0.5), (0.95, 1.0))


@dataclass(slots=True, frozen=True)
class RolloutState:
    """The merged evidence on a rollout.

    `clean_outcomes` counts outcomes of the new version that were neither failed nor
    slow, `total_outcomes` all outcomes of both versions. `suspicion` is that of the
    `RollbackTrigger`, and `rolled_back` tells whether it is set. `is_strained` tells
    whether there is a `CapacityHold`, and `reached_step` is the share of the highest
    step that has begun.
    """

    clean_outcomes: int = 0
    total_outcomes: int = 0
    rolled_back: bool = False
    suspicion: float = 0.0
    is_strained: bool = False
    reached_step: float = 1.0


def planned_share(rollout, now):
    """Return the share that the schedule allows at `now`; 1 once the time is up."""
    if now < rollout.start:
        return 0.0
    length = max(rollout.finish_by - rollout.start, 1e-9)
    fraction = (now - rollout.start) / length
    share = 0.0
    for at, value in rollout.steps:
        if fraction >= at:
            share = value
    return 1.0 if fraction >= 1.0 else share


def step_at(rollout, state, now):
    """Return the share of the step in force: no further one begins during a hold."""
    planned = planned_share(rollout, now)
    return min(planned, state.reached_step) if state.is_strained else planned


def evidence_cap(clean_outcomes):
    """Return the greatest share that this number of clean outcomes justifies."""
    if clean_outcomes >= MIN_FULL_SHARE_OUTCOMES:
        return 1.0
    doublings = clean_outcomes // OUTCOMES_PER_DOUBLING
    return min(FIRST_SHARE * 2.0**doublings, 1.0)


def catch_up_share(rollout, state, now):
    """Return the share needed to collect the missing evidence in time."""
    elapsed = now - rollout.start
    remaining = (rollout.finish_by - now) * CATCH_UP_FRACTION
    if elapsed <= 0:
        return 0.0
    if remaining <= 0:
        return 1.0 if state.clean_outcomes >= MIN_CLEAN_OUTCOMES else MAX_THIN_SHARE
    rate = (state.total_outcomes + 1.0) / elapsed
    share = (MIN_FULL_SHARE_OUTCOMES - state.clean_outcomes) / (rate * remaining)
    limit = 1.0 if state.clean_outcomes >= 4 * MIN_CLEAN_OUTCOMES else MAX_THIN_SHARE
    # The request rate is too uncertain in the first quarter of the rollout.
    fraction = elapsed / max(rollout.finish_by - rollout.start, 1e-9)
    if fraction < 0.25:
        return 0.0
    return min(max(share, 0.0), limit)


def share_at(rollout, state, now):
    """Return the share in [0, 1] of the new version at `now`.

    A pure function, so nodes with the same evidence agree without coordination. A
    version that is rolled back gets nothing. Otherwise the share is bounded by the
    schedule and by the clean outcomes so far; a rollout that falls behind may take
    the share that it needs to finish in time. A version that is strained stays at
    its step.
    """
    if state.rolled_back or now < rollout.start:
        return 0.0
    step = step_at(rollout, state, now)
    earned = max(
        evidence_cap(state.clean_outcomes), catch_up_share(rollout, state, now)
    )
    share = min(step, earned)
    if state.suspicion >= MIN_HOLD_SUSPICION:
        share = min(share, max(FIRST_SHARE, share * (1.0 - state.suspicion)))
    return share


def state_at(rollout, state, now):
    """Return one of waiting, moving, held, watching, done, taken-back.

    "moving" is a share as scheduled, "held" one below the schedule or a version that is
    strained, "watching" a share of 1 before the last part of the time, and "taken-back"
    a rollback. A strained version that has all traffic is "done" once the time is up:
    there is nothing left to hold.
    """
    if state.rolled_back:
        return "taken-back"
    if now < rollout.start:
        return "waiting"
    share = share_at(rollout, state, now)
    if state.is_strained and not (share >= 1.0 and now >= rollout.finish_by):
        return "held"
    if share >= 1.0:
        watch = (rollout.finish_by - rollout.start) * WATCH_FRACTION
        enough = now >= rollout.finish_by or now >= rollout.finish_by - watch
        return "done" if enough else "watching"
    return "held" if share < planned_share(rollout, now) else "moving"
