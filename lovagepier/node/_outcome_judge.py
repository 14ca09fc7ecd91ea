"""How the outcomes at a node compare with the old version's, at which load."""

from dataclasses import dataclass, field

from lovagepier.decisions.rollouts.slowness import Pace, SlownessDetector
from lovagepier.node._rollout_loads import RolloutLoads

__all__ = ["JudgedOutcome", "OutcomeJudge"]

MIN_BAR_S = 1e-6


@dataclass(slots=True, frozen=True)
class JudgedOutcome:
    """An outcome's `pace`, None if it says nothing, with the figures of a slow one.

    `load` is the highest one of its target while it ran and `load_compared` the highest
    one that the old version's times are known for, in requests per second and target.
    Both are 0 unless the outcome is strained. `excess` is that of `SlownessDetector`.
    """

    pace: Pace | None
    load: float = 0.0
    load_compared: float = 0.0
    excess: dict = field(default_factory=dict)

    def times(self):
        """Return its (time, bar) in seconds, those that are furthest apart."""
        # Bars are rounded, so that one of a microsecond is 0.
        rows = self.excess.values()
        ratios = [(value / max(bar, MIN_BAR_S), value, bar) for value, bar in rows]
        _, *times = max(ratios, default=(0.0, 0.0, 0.0))
        return times


class OutcomeJudge:
    """Judges outcomes by the times and loads that this node knows."""

    __slots__ = ("_loads", "_node", "_slowness")

    def __init__(self, node):
        self._node = node
        self._loads = RolloutLoads(node)
        self._slowness = SlownessDetector()

    def begin(self, model):
        """Begin the comparison of a rollout."""
        self._slowness.begin(model)

    def update(self, shares):
        """Note the loads of now; `shares` is {model: (old, {new: its share})}."""
        self._loads.update(shares, self._node.clock())

    def judge(self, message, is_old):
        """Return the `JudgedOutcome` of an `OutcomeObserved`; learn if it `is_old`."""
        model, work, outcome = message.model, message.work, message.outcome
        key = (model, work.route)
        took = outcome.total_seconds or outcome.first_seconds or 0.0
        load = self._loads.highest(
            model, outcome.target, message.version, self._node.clock() - took
        )
        pace = self._pace(key, message, is_old, load)
        if pace in (None, Pace.USUAL):
            return JudgedOutcome(pace)
        excess = self._slowness.excess(key, work, outcome, model, load)
        if pace is Pace.SLOW:
            return JudgedOutcome(pace, excess=excess)
        return JudgedOutcome(pace, load, self._slowness.compared_load(key), excess)

    def _pace(self, key, message, is_old, load):
        if message.outcome.status == "late":
            past = not is_old and self._slowness.is_past_compared(key, load)
            return Pace.STRAINED if past else Pace.SLOW
        return self._slowness.classify(
            key, is_old, message.work, message.outcome, message.model, load
        )
