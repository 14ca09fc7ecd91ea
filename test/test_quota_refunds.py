"""Requests that no target was asked for don't count against their account's quota."""

from types import SimpleNamespace

import pytest

from lovagepier.entry._cluster.messages import Granted, Refused
from lovagepier.entry.catalog import Account
from lovagepier.errors import ErrorKind
from test.coordinator_builders import (
    make_cfg,
    make_coordinator,
    make_request,
    make_view,
)

# Requests that an account may send at once; its quota gains next to nothing later.
BURST = 10


class FullCoordinator:
    """A coordinator with one target of one place, and the answers that it sent."""

    def __init__(self):
        account = Account("blue", (), 1, 1e-6, BURST, False, 1.0)
        view = make_view(1, slots=1)
        view.catalog = SimpleNamespace(
            accounts={"blue": account}, service_names={"read"}, services={}
        )
        self.answers = []
        self.coordinator = make_coordinator(
            make_cfg(), view, lambda entry, answer: self.answers.append(answer)
        )

    def ask(self, request_id, entry="n1", cost=1.0, now=0.0):
        """Ask for a grant for a request of the account; return its `ErrorKind`."""
        request = make_request(request_id, account="blue", cost=cost)
        before = len(self.answers)
        self.coordinator.on_dispatch_request(entry, request, now)
        kinds = [a.kind for a in self.answers[before:] if isinstance(a, Refused)]
        return kinds[0] if kinds else None

    def left(self):
        """Return how many more requests the account may send."""
        count = 0
        while self.ask(f"count-{count}", "n9") != ErrorKind.OVER_QUOTA:
            count += 1
        return count


def left_of(running):
    """Return how many requests are left of a quota when `running` were sent."""
    return FullCoordinator().left() - running


def full():
    coordinator = FullCoordinator()
    coordinator.ask("running")
    assert isinstance(coordinator.answers[0], Granted)
    return coordinator


def test_what_waits_is_charged():
    coordinator = full()
    coordinator.ask("r1")
    coordinator.ask("r2")
    assert coordinator.left() == left_of(3)


def test_a_withdrawn_request_is_given_back():
    coordinator = full()
    for name in ("r1", "r2"):
        coordinator.ask(name)
        coordinator.coordinator.on_withdraw("n1", name, 0.1)
    assert coordinator.left() == left_of(1)


def test_a_request_withdrawn_twice_is_given_back_once():
    coordinator = full()
    coordinator.ask("r1")
    coordinator.ask("r2")
    for _ in range(2):
        coordinator.coordinator.on_withdraw("n1", "r1", 0.1)
    assert coordinator.left() == left_of(2)


def test_a_request_that_was_granted_is_not_given_back():
    coordinator = full()
    coordinator.coordinator.on_withdraw("n1", "running", 0.1)
    assert coordinator.left() == left_of(1)


def test_a_second_attempt_gives_nothing_back():
    coordinator = full()
    coordinator.ask("r1", cost=0.0)
    coordinator.coordinator.on_withdraw("n1", "r1", 0.1)
    assert coordinator.left() == left_of(1)


@pytest.mark.parametrize("waiting", [1, 3])
def test_what_waited_at_a_lost_host_is_given_back(waiting):
    coordinator = full()
    for number in range(waiting):
        coordinator.ask(f"r{number}", "n2")
    coordinator.coordinator.on_entry_lost("n2", 0.1)
    assert coordinator.left() == left_of(1)


def test_a_withdrawn_request_leaves_its_place_within_the_quota():
    """Without slack or overage the account is over its quota later, too."""
    coordinator = full()
    quotas = coordinator.coordinator._account_quotas
    for _ in range(BURST):
        coordinator.ask("r1")
        coordinator.coordinator.on_withdraw("n1", "r1", 0.1)
    level = quotas.base_quotas._buckets["blue"].level
    assert level == pytest.approx(BURST - 1, abs=0.01)
