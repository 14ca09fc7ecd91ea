"""Limits that targets state, shared between coordinators and entry hosts."""

import math

from lovagepier.logs import component_logger

__all__ = ["StatedLimits"]

_log = component_logger("pool")


class StatedLimits:
    """What targets state as one kind of limit, applied to a coordinator's schedulers.

    `kind` is the attribute of a `TargetState` with that limit. `rows` are [target,
    incarnation, number per second] of all targets that state one. The list is replaced
    when it changes. `schedulers()` returns the `PoolScheduler`s.
    """

    __slots__ = ("_limits", "_schedulers", "kind", "rows")

    def __init__(self, kind, schedulers):
        self.kind = kind
        self._schedulers = schedulers
        self._limits = {}
        self.rows = []

    def is_limited(self, target):
        """Return whether a target is known to state a limit."""
        return target in self._limits

    def lowest(self, targets):
        """Return the lowest limit of some targets, None if none of them states one."""
        stated = [
            value for target, (_, value) in self._limits.items() if target in targets
        ]
        return min(stated, default=None)

    def expect(self, target, incarnation, value):
        """Assume the limit for a new incarnation until it states another."""
        if value is not None:
            self._limits[target] = (incarnation, value)
            self._make_rows()

    def on_stated(self, message, work_id, now):
        """Apply a `LimitStated` about the request `work_id`."""
        value = math.inf if message.per_second is None else message.per_second
        for scheduler in self._schedulers():
            if scheduler.targets.state_limit(
                self.kind, message.target, message.incarnation, value, work_id, now
            ):
                _log.info(
                    f"the {self.kind.replace('_', ' ')} of a target changed",
                    target=message.target,
                    incarnation=message.incarnation,
                    per_second=message.per_second,
                    request=work_id,
                )
                self._limits.pop(message.target, None)
                if value < math.inf:
                    self._limits[message.target] = (message.incarnation, value)
                self._make_rows()

    def replace(self, rows, now):
        """Adopt the `rows` of the coordinator in use."""
        gone = set(self._limits) - {target for target, _, _ in rows}
        for target in gone:
            incarnation, _ = self._limits.pop(target)
            self._adopt(target, incarnation, math.inf, now)
        self._limits.update((target, (inc, value)) for target, inc, value in rows)
        self.apply(now)
        self._make_rows()

    def merge(self, rows, now):
        """Adopt the `rows` of a host that had another coordinator.

        It is not known which are newer. A limit that is too low is lifted by the next
        response of its target.
        """
        for target, incarnation, value in rows:
            known_incarnation, known_value = self._limits.get(target, ("", math.inf))
            if known_incarnation != incarnation or value < known_value:
                self._limits[target] = (incarnation, value)
        self.apply(now)
        self._make_rows()

    def apply(self, now):
        """Apply all known limits, as after targets were added."""
        for target, (incarnation, value) in self._limits.items():
            self._adopt(target, incarnation, value, now)

    def drop(self, target, incarnation):
        """Drop the limit of an incarnation that is gone."""
        if self._limits.get(target, ("", 0))[0] == incarnation:
            del self._limits[target]
            self._make_rows()

    def take_over(self, now):
        """Begin to decide for hosts that another coordinator decided for until now."""
        for scheduler in self._schedulers():
            for state in scheduler.fleet:
                getattr(state, self.kind).take_over(now)

    def _adopt(self, target, incarnation, value, now):
        for scheduler in self._schedulers():
            scheduler.targets.adopt_limit(self.kind, target, incarnation, value, now)

    def _make_rows(self):
        self.rows = [
            [target, incarnation, value]
            for target, (incarnation, value) in sorted(self._limits.items())
        ]
