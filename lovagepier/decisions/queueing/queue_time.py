"""How long a new request of a pool has to wait in its queue."""

__all__ = ["expected_wait", "limited_wait"]


def limited_wait(fleet, ahead):
    """Return the seconds that rate limits alone let a new request wait.

    `ahead` requests wait before it. 0 while any target that takes requests has no
    limit.
    """
    rate = 0.0
    for state in fleet:
        if state.is_out:
            continue
        if not state.rate_limit.is_stated:
            return 0.0
        rate += state.rate_limit.starts_within(1.0)
    return ahead / rate if rate else 0.0


def expected_wait(fleet, ahead, tokens):
    """Return the expected queueing time in seconds of a new request.

    `ahead` requests wait before it, of `tokens` output tokens each. Infinite where
    requests wait and no target can take any.
    """
    if not ahead:
        return 0.0
    rate = sum(
        min(
            max(state.limit.value, 1.0) / max(state.speed.token_seconds * tokens, 1e-3),
            state.rate_limit.starts_within(1.0),
        )
        for state in fleet
        if not state.is_out
    )
    return ahead / rate if rate else float("inf")
