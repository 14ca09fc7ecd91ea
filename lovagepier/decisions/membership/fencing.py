"""When the holder of a lease may send an order to a target."""

__all__ = ["may_order"]


def may_order(now, renewed_at, lease_seconds, held_since, order_seconds, fenced):
    """Return whether an order may be sent at `now` (seconds, monotonic).

    `renewed_at` is when the last successful renewal was sent, not answered, so the
    lease lasts at least until `renewed_at + lease_seconds`. `held_since` is when
    this holder got the lease, `order_seconds` the longest time an order takes.

    For a target that checks fencing numbers (`fenced`) an unexpired lease is enough.
    For one that ignores them, the longest order must end before the lease can
    expire, and a new holder waits until the orders of the previous holder have
    ended.
    """
    left = renewed_at + lease_seconds - now
    if left <= 0:
        return False
    if fenced:
        return True
    waited_out = now - held_since >= order_seconds
    return left >= order_seconds and waited_out
