"""Builds hosts that share one store and decide on one rollout."""

from types import SimpleNamespace

from lovagepier import platform
from lovagepier.decisions.rollouts.terms import Terms
from lovagepier.entry._coordination.rollouts import Rollouts
from lovagepier.entry._store.evacuations import Evacuations
from lovagepier.entry.store_types import RolloutOrder
from lovagepier.platform import Item

SERVICE = "model"
DURATION_S = 20.0
ORDER = RolloutOrder(SERVICE, "v2", DURATION_S, 18)
TICK_S = 0.25
REQUESTS_PER_S = 20
# Good outcomes of the new version, enough for the first stages, and then a second.
OUTCOMES = 200
OUTCOMES_PER_S = 14


class StateStore:
    """The stored state of one rollout; `states` are all that it ever held."""

    def __init__(self):
        self.item = None
        self.revision = ORDER.revision
        self.states = []

    def put(self, key, value, expected):
        """Write if the key is at revision `expected`; return whether it was."""
        if expected != (self.item.revision if self.item else 0):
            return False
        self.revision += 1
        self.item = Item(key, value, self.revision, self.revision)
        self.states.append(platform.decode_rollout_state(value)[2])
        return True


class RolloutHost:
    """A host: its writes wait in `unsent` until `land`, changes until `see`."""

    def __init__(self, store, now=0.0, is_coordinator=False):
        self.store = store
        self.unsent = []
        self.is_coordinator = is_coordinator
        self.has_outcomes = True
        self.terms = Terms()
        self.view = SimpleNamespace(
            orders={SERVICE: ORDER},
            state=None,
            rollout_state=lambda service: self.view.state,
            targets={
                "e1": SimpleNamespace(
                    service=SERVICE, version="v2", draining=False, zone="a1"
                )
            },
            last_answer_at=None,
            restored_at=None,
            evacuations=Evacuations(),
        )
        cfg = SimpleNamespace(moves_exposure_share=0.1, moves_exposure_slack=50)
        self.rollouts = Rollouts(cfg, self.view, lambda *args: self.unsent.append(args))
        self.rollouts.refresh(now)

    @property
    def plan(self):
        return self.rollouts._rollouts[SERVICE].plan

    def tick(self, now):
        progress = self.rollouts._rollouts[SERVICE].progress
        progress.sent = int(now * REQUESTS_PER_S)
        seconds = now if self.has_outcomes else 0.0
        progress.outcomes_new = OUTCOMES + int(seconds * OUTCOMES_PER_S)
        why = self.terms.beginning(self.is_coordinator, now)
        if why:
            self.rollouts.begin_term(now, why)
        if self.is_coordinator:
            self.rollouts.step(lambda service: 0, now)
            self.rollouts.write_states(now)

    def land(self):
        """Let the writes reach the store; return how many took effect."""
        writes, self.unsent = self.unsent, []
        return sum(self.store.put(*write) for write in writes)

    def see(self, now):
        """Read the store's present state."""
        self.view.state = self.store.item
        self.view.last_answer_at = now
        self.rollouts.refresh(now)

    def run(self, now, until):
        """Tick, write and read until a time; return that time."""
        while now < until:
            now += TICK_S
            self.tick(now)
            self.land()
            self.see(now)
        return now

    def find_failures(self):
        """Roll back on evidence."""
        self.rollouts.roll_back(SERVICE, ORDER.revision, "failures")
