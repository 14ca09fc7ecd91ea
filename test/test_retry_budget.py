"""The retry budget of a service over several coordinators, at once and in turn."""

import asyncio

from lovagepier.decisions.limits.retries import RetryBudget
from test.entry_builders import entry_fleet, wait_until

CAPACITY = 40.0


def spend_all(budget, now):
    """Spend what the budget allows; return how many retries that were."""
    for number in range(1000):
        if not budget.spend(now):
            return number
    raise AssertionError("the budget does not end")


def test_coordinators_that_share_a_service_share_its_retries():
    """Replays hosts cut off from each other: each allowed the whole budget."""
    budgets = []
    for _ in range(4):
        budget = RetryBudget(ratio=0.2, floor_rate=0.5, capacity=CAPACITY)
        budget.set_share(0.25, 0.0)
        for _ in range(1000):
            budget.on_first_attempt(1.0)
        budgets.append(budget)
    assert sum(spend_all(budget, 1.0) for budget in budgets) <= CAPACITY


def test_a_larger_share_adds_no_tokens_at_once():
    budget = RetryBudget(ratio=0.2, floor_rate=0.0, capacity=CAPACITY)
    budget.set_share(0.25, 0.0)
    spend_all(budget, 1.0)
    budget.set_share(1.0, 1.0)
    assert spend_all(budget, 1.0) == 0


def test_a_successor_continues_with_the_retries_that_are_left():
    """Replays kills of one coordinator after the other, each with a new budget."""

    async def scenario():
        async with entry_fleet(hosts=2) as fleet:
            first, second = fleet.hosts
            await wait_until(lambda: second.cluster.coordinator_name == "n1")
            budget = first.coordinator._pool("ledger").scheduler.retry_budget
            spend_all(budget, first._loop.time())
            left = first.cluster._rounds + 3
            await wait_until(lambda: first.cluster._rounds >= left)
            second.cluster._switch_to("n2")
            inherited = second.coordinator._pool("ledger").scheduler.retry_budget
            assert inherited.level < CAPACITY / 10

    asyncio.run(scenario())
