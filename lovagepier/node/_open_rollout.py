"""One open rollout at a node, and what its operators read of it."""

import math

from lovagepier.decisions.rollouts.capacity_hold import CapacityHold
from lovagepier.decisions.rollouts.rollback import RollbackTrigger
from lovagepier.decisions.rollouts.terms import Terms

__all__ = ["OpenRollout"]

# What a slow outcome is measured by, see `SlownessDetector.excess`.
_MEASURES = {
    "first": "first byte",
    "pace": "a token",
    "unstreamed": "a token of a whole response",
}


class OpenRollout:
    """One open rollout with its rollback trigger and its hold for capacity.

    `clear_count` is how often operators have cleared the trigger; `last_event` the
    stage and share last written to the time line. `step` is the share of the step in
    force, `excess` that of the last strained outcome observed here. `hold_cause` has
    the figures as a hold began, None if there is none. `terms` are those in which this
    node records the outcome, `term_began_at` is when the present one began.
    """

    __slots__ = (
        "announced",
        "clear_count",
        "excess",
        "hold",
        "hold_cause",
        "last_event",
        "rollout",
        "step",
        "term_began_at",
        "terms",
        "trigger",
    )

    def __init__(self, rollout, clear_count):
        self.rollout = rollout
        self.clear_count = clear_count
        self.trigger = RollbackTrigger(unchecked_outcomes=math.inf)
        self.hold = CapacityHold()
        self.hold_cause = None
        self.excess = {}
        self.step = 0.0
        self.last_event = None
        self.announced = False
        self.terms = Terms()
        self.term_began_at = float("-inf")

    @property
    def evidence_id(self):
        """The id of its evidence, which starts anew once the trigger is cleared."""
        return f"{self.rollout.id}#{self.clear_count}"

    def observe(self, row, counts, now):
        """Add merged outcomes of an evidence row.

        Return the cause if they set the trigger, and whether the hold changed.
        """
        if not counts.seen:
            return None, False
        is_new = row.version == self.rollout.new
        cause = self.trigger.observe(row.route, is_new, counts, now)
        return cause, is_new and self.hold.add(counts.seen, 0)

    def figures(self, loads):
        """Return the figures of the hold as a sentence; `loads` are `LoadCounts`."""
        text = (
            f"slow at {loads.load / 1000:.1f} requests/s a target, "
            f"compared up to {loads.compared / 1000:.1f}"
        )
        if loads.took and not self.excess:
            return f"{text}; {loads.took / 1e6:.4f} s, bar {loads.bar / 1e6:.4f} s"
        for measure, (value, bar) in self.excess.items():
            name = _MEASURES.get(measure, measure)
            text += f"; {name} in {value:.4f} s, bar {bar:.4f} s"
        return text
