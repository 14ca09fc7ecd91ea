"""Rollouts while the store comes back from an older copy."""

from types import SimpleNamespace

from lovagepier import platform
from lovagepier.decisions.rollouts.rollout_plan import Stage
from lovagepier.entry._coordination.rollouts import RESTORE_PERIOD_S, Rollouts
from lovagepier.entry._store.evacuations import Evacuations
from lovagepier.entry.store_types import RolloutOrder
from lovagepier.platform import Item, make_revision

KEY = platform.rollout_state_key("model")


def order(era, number, version="v2"):
    return RolloutOrder("model", version, 15.0, make_revision(era, number))


class Fixture:
    """A rollout of one service, its view of the store and what it writes there."""

    def __init__(self, known):
        self.state = None
        self.written = []
        self.view = SimpleNamespace(
            orders={"model": known},
            rollout_state=lambda service: self.state,
            targets={},
            last_answer_at=None,
            restored_at=None,
            evacuations=Evacuations(),
        )
        self.cfg = SimpleNamespace(moves_exposure_share=0.1, moves_exposure_slack=50)
        self.rollouts = Rollouts(self.cfg, self.view, self._write)
        self.rollouts.refresh(0.0)

    def _write(self, key, value, expected):
        self.written.append((key, value, expected))

    def stage(self):
        return self.rollouts._rollouts["model"].plan.stage


def test_an_order_of_a_copy_does_not_begin_its_rollout_anew():
    fixture = Fixture(order(1, 18))
    fixture.rollouts.roll_back("model", make_revision(1, 18), "failures")
    fixture.view.restored_at = 5.0
    for again in (order(2, 18), order(2, 21)):
        fixture.view.orders = {"model": again}
        fixture.rollouts.refresh(6.0)
        assert fixture.stage() == Stage.ROLLED_BACK


def test_the_state_that_a_copy_lacks_is_written_again():
    fixture = Fixture(order(1, 18))
    fixture.rollouts.roll_back("model", make_revision(1, 18), "failures")
    fixture.rollouts.write_states(1.0)
    _, value, _ = fixture.written[-1]
    fixture.state = Item(KEY, value, make_revision(1, 30), make_revision(1, 30))
    fixture.rollouts.refresh(2.0)
    count = len(fixture.written)
    fixture.rollouts.write_states(3.0)
    assert len(fixture.written) == count
    fixture.view.restored_at = 5.0
    fixture.view.orders = {"model": order(2, 18)}
    fixture.state = None
    fixture.rollouts.refresh(5.0)
    fixture.rollouts.write_states(6.0)
    assert len(fixture.written) == count + 1


def test_a_starting_host_adopts_the_end_of_a_rollout_of_an_earlier_era():
    old = Fixture(order(1, 18))
    old.rollouts.roll_back("model", make_revision(1, 18), "failures")
    old.rollouts.write_states(1.0)
    _, value, _ = old.written[-1]
    fixture = Fixture(order(2, 18))
    fixture.state = Item(KEY, value, make_revision(2, 17), make_revision(2, 17))
    fixture.rollouts.refresh(1.0)
    assert fixture.stage() == Stage.ROLLED_BACK


def test_another_version_after_a_restore_is_a_new_order():
    fixture = Fixture(order(1, 18))
    fixture.rollouts.roll_back("model", make_revision(1, 18), "failures")
    fixture.view.restored_at = 5.0
    fixture.view.orders = {"model": order(2, 19, "v3")}
    fixture.rollouts.refresh(6.0)
    assert fixture.stage() == Stage.CANARY


def test_the_same_version_ordered_later_is_a_new_order():
    fixture = Fixture(order(1, 18))
    fixture.rollouts.roll_back("model", make_revision(1, 18), "failures")
    fixture.view.restored_at = 5.0
    fixture.view.orders = {"model": order(2, 40)}
    fixture.rollouts.refresh(5.0 + RESTORE_PERIOD_S)
    assert fixture.stage() == Stage.CANARY
