"""How long a new request of a pool has to wait in its queue."""

from lovagepier.decisions.placement.residence import may_go

__all__ = ["expected_wait", "limited_wait"]


def limited_wait(fleet, ahead, regions=()):
    """Return the seconds that rate limits alone let a new request wait.

    `ahead` requests wait before it. 0 while any target that takes requests has no
    limit. Only targets in `regions` count, all if there are none.
    """
    rate = 0.0
    for state in fleet:
        if state.is_out:
            continue
        if regions and not may_go(regions, state.region):
            continue
        if not state.rate_limit.is_stated:
            return 0.0
        rate += state.rate_limit.starts_within(1.0)
    return ahead / rate if rate else 0.0


def expected_wait(fleet, ahead, tokens, regions=()):
    """Return the expected queueing time in seconds of a new request.

    `ahead` requests wait before it, of `tokens` output tokens each. Infinite where
    requests wait and no target can take any. Only targets in `regions` count, all if
    there are none.
    """
    if not ahead:
        return 0.0
    rate = sum(
        min(
            max(state.limit.value, 1.0) / max(state.speed.token_seconds * tokens, 1e-3),
            state.rate_limit.starts_within(1.0),
        )
        for state in fleet
        if not state.is_out and may_go(regions, state.region)
    )
    return ahead / rate if rate else float("inf")
