"""When the holder of a lease may give an order to a target."""

__all__ = ["may_order"]


def may_order(now, renewed_at, lease_seconds, held_since, order_seconds, fenced):
    """Return whether an order may be sent at `now` (seconds, monotonic).

    `renewed_at` is when the last successful renewal was sent, not answered,
    so the lease lasts at least until `renewed_at + lease_seconds`. A target
    that checks fencing numbers needs no more than a lease that seems held.
    One that ignores them gets orders only if the longest order ends before
    the lease can lapse, and from a new holder only once the orders of the
    holder before have ended.
    """
    left = renewed_at + lease_seconds - now
    if left <= 0:
        return False
    if fenced:
        return True
    waited_out = now - held_since >= order_seconds
    return left >= order_seconds and waited_out
