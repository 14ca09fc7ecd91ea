"""Schedule loads of versions ahead of their rollouts within the weight store's rate."""

from dataclasses import dataclass

__all__ = ["Load", "plan_loads"]

# Loads are planned to start this many times their expected duration before the need.
LEAD_FACTOR = 1.5


@dataclass(slots=True, frozen=True)
class Load:
    """One order: `target` loads `version`, beginning at `begin`; times in seconds."""

    target: str
    version: str
    begin: float
    seconds: float


def plan_loads(wanted, rate_bytes, now, lead=LEAD_FACTOR):
    """Plan loads one after another so that each ends before it is needed.

    `wanted` is [(time of need, target, version, bytes)]; `rate_bytes` is the weight
    store's rate in bytes per second. Loads are scheduled backward from the latest
    need, so that none starts earlier than necessary. Those that would begin in the
    past begin at `now`, and the following ones after them. Without enough time, loads
    end late; the earliest need comes first.
    """
    rate = max(rate_bytes, 1.0)
    ordered = sorted(wanted)
    begins = []
    edge = float("inf")
    for needed_at, _, _, size in reversed(ordered):
        seconds = size / rate * lead
        edge = min(edge, needed_at) - seconds
        begins.append(edge)
    begins.reverse()
    plans = []
    free_at = now
    for (_, target, version, size), begin in zip(ordered, begins, strict=True):
        seconds = size / rate
        at = max(begin, free_at)
        plans.append(Load(target, version, at, seconds))
        free_at = at + seconds
    return plans
