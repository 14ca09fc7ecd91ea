"""The rate limits of targets, shared between coordinators and entry hosts."""

import math

from lovagepier.logs import component_logger

__all__ = ["RateLimits"]

_log = component_logger("pool")


class RateLimits:
    """What targets state as their limits, applied to the schedulers of a coordinator.

    `rows` are [target, incarnation, requests per second] of all targets that state a
    limit. The list is replaced when it changes. `schedulers()` returns the
    `PoolScheduler`s.
    """

    __slots__ = ("_limits", "_schedulers", "rows")

    def __init__(self, schedulers):
        self._schedulers = schedulers
        self._limits = {}
        self.rows = []

    def is_limited(self, target):
        """Return whether a target is known to state a limit."""
        return target in self._limits

    def on_stated(self, message, work_id, now):
        """Apply a `RateLimitStated` about the request `work_id`."""
        rate = math.inf if message.rate is None else message.rate
        for scheduler in self._schedulers():
            if scheduler.set_rate_limit(
                message.target, message.incarnation, rate, work_id, now
            ):
                _log.info(
                    "the rate limit of a target changed",
                    target=message.target,
                    incarnation=message.incarnation,
                    rate=message.rate,
                    request=work_id,
                )
                self._limits.pop(message.target, None)
                if rate < math.inf:
                    self._limits[message.target] = (message.incarnation, rate)
                self._make_rows()

    def replace(self, rows, now):
        """Adopt the `rows` of the coordinator in use."""
        gone = set(self._limits) - {target for target, _, _ in rows}
        for target in gone:
            incarnation, _ = self._limits.pop(target)
            self._adopt(target, incarnation, math.inf, now)
        self._limits.update((target, (inc, rate)) for target, inc, rate in rows)
        self.apply(now)
        self._make_rows()

    def merge(self, rows, now):
        """Adopt the `rows` of a host that had another coordinator.

        It is not known which are newer. A limit that is too low is lifted by the next
        response of its target.
        """
        for target, incarnation, rate in rows:
            known_incarnation, known_rate = self._limits.get(target, ("", math.inf))
            if known_incarnation != incarnation or rate < known_rate:
                self._limits[target] = (incarnation, rate)
        self.apply(now)
        self._make_rows()

    def apply(self, now):
        """Apply all known limits, as after targets were added."""
        for target, (incarnation, rate) in self._limits.items():
            self._adopt(target, incarnation, rate, now)

    def drop(self, target, incarnation):
        """Drop the limit of an incarnation that is gone."""
        if self._limits.get(target, ("", 0))[0] == incarnation:
            del self._limits[target]
            self._make_rows()

    def take_over(self, now):
        """Begin to decide for hosts that another coordinator decided for until now."""
        for scheduler in self._schedulers():
            for state in scheduler.fleet:
                state.rate_limit.empty(now)

    def _adopt(self, target, incarnation, rate, now):
        for scheduler in self._schedulers():
            state = scheduler.fleet.get(target)
            if state is not None and state.incarnation == incarnation:
                state.rate_limit.adopt(rate, now)

    def _make_rows(self):
        self.rows = [
            [target, incarnation, rate]
            for target, (incarnation, rate) in sorted(self._limits.items())
        ]
