"""The share of traffic a move gives its new version at a given time."""

from dataclasses import dataclass

__all__ = ["Move", "MoveState", "share_at", "state_at"]

FIRST_SHARE = 0.01
DOUBLING_OUTCOMES = 16
FULL_OUTCOMES = 112
MIN_JUDGED = 8
THIN_SHARE = 0.25
HOLD_SUSPICION = 0.5
CATCH_UP_PART = 0.5
WATCH_PART = 0.25


@dataclass(slots=True, frozen=True)
class Move:
    """One move of a model's traffic from an old version to a new one.

    `steps` is ((part of the way in [0, 1], share), ...) in time order;
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
class MoveState:
    """What the merged evidence says of a move.

    `judged` counts outcomes of the new version, `all_seen` those of both,
    `elapsed` the seconds over which they were seen.
    """

    judged: int = 0
    all_seen: int = 0
    braked: bool = False
    suspicion: float = 0.0


def planned_share(move, now):
    """Return the share that the operators' schedule gives at `now`."""
    if now < move.start:
        return 0.0
    length = max(move.finish_by - move.start, 1e-9)
    part = (now - move.start) / length
    share = 0.0
    for at, value in move.steps:
        if part >= at:
            share = value
    return 1.0 if part >= 1.0 else share


def evidence_cap(judged):
    """Return the share that `judged` clean outcomes have earned."""
    if judged >= FULL_OUTCOMES:
        return 1.0
    doublings = judged // DOUBLING_OUTCOMES
    return min(FIRST_SHARE * 2.0**doublings, 1.0)


def catch_up_share(move, state, now):
    """Return the share needed to earn the rest of the evidence in time."""
    elapsed = now - move.start
    remaining = (move.finish_by - now) * CATCH_UP_PART
    if elapsed <= 0:
        return 0.0
    if remaining <= 0:
        return 1.0 if state.judged >= MIN_JUDGED else THIN_SHARE
    rate = (state.all_seen + 1.0) / elapsed
    share = (FULL_OUTCOMES - state.judged) / (rate * remaining)
    limit = 1.0 if state.judged >= 4 * MIN_JUDGED else THIN_SHARE
    # Early on the rate is unknown; the need counts only from a quarter on.
    part = elapsed / max(move.finish_by - move.start, 1e-9)
    if part < 0.25:
        return 0.0
    return min(max(share, 0.0), limit)


def share_at(move, state, now):
    """Return the share in [0, 1] of the new version at `now`.

    A pure function, so nodes with the same evidence agree without asking.
    A braked move gets nothing. Otherwise the schedule bounds the share, the
    outcomes seen so far bound it below that, and a move that falls behind
    may take what it needs to finish in time.
    """
    if state.braked or now < move.start:
        return 0.0
    planned = planned_share(move, now)
    earned = max(evidence_cap(state.judged), catch_up_share(move, state, now))
    share = min(planned, earned)
    if state.suspicion >= HOLD_SUSPICION:
        share = min(share, max(FIRST_SHARE, share * (1.0 - state.suspicion)))
    return share


def state_at(move, state, now):
    """Return one of waiting, moving, held, watching, done, taken-back."""
    if state.braked:
        return "taken-back"
    if now < move.start:
        return "waiting"
    share = share_at(move, state, now)
    if share >= 1.0:
        watch = (move.finish_by - move.start) * WATCH_PART
        enough = now >= move.finish_by or now >= move.finish_by - watch
        return "done" if enough else "watching"
    return "held" if share < planned_share(move, now) else "moving"
