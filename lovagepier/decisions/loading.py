"""Order version loads ahead of their moves within the weight store's rate."""

from dataclasses import dataclass

__all__ = ["Load", "plan_loads"]

LEAD_FACTOR = 1.5


@dataclass(slots=True, frozen=True)
class Load:
    """One order: load `version` at `target`, to begin at `begin` seconds."""

    target: str
    version: str
    begin: float
    seconds: float


def plan_loads(wanted, rate_bytes, now, lead=LEAD_FACTOR):
    """Plan loads one after another so that each ends before its need.

    `wanted` is [(needed at, target, version, bytes)]; `rate_bytes` is the
    weight store's bytes a second. Loads are scheduled backward from the
    latest need, so none starts earlier than it must, and forward again from
    `now` where they would overlap the past. Earliest need goes first.
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
