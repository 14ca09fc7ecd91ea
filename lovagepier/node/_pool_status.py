"""The status of a pool, as a node's status contains it."""

__all__ = ["PoolStatus"]

STATUS_PERIOD_S = 0.5


class PoolStatus:
    """Publishes the status of a `PoolActor` every `STATUS_PERIOD_S`."""

    __slots__ = ("_last_status_at", "_pool")

    def __init__(self, pool):
        self._pool = pool
        self._last_status_at = float("-inf")

    def publish(self, counts, now):
        """Publish the status if it is due; `counts` are those of the answers."""
        if now - self._last_status_at < STATUS_PERIOD_S:
            return
        self._last_status_at = now
        pool = self._pool
        status = {
            "epoch": pool.epoch,
            "waiting": pool.scheduler.waiting.sizes(),
            "counts": dict(counts),
            "targets": [_target_status(state) for state in pool.scheduler.fleet],
        }
        pool.node.pools.publish(pool.subject, pool.region, status)


def _target_status(state):
    return {
        "name": state.name,
        "version": state.version,
        "in_flight": state.in_flight,
        "limit": round(state.limit.value, 1),
        "leaving": state.draining,
        "down": state.down,
        "ms_a_token": round(state.speed.token_seconds * 1000, 2),
        "prefill_rate": round(state.speed.prefill_rate),
    }
