"""The tokens that the requests of a target hold stay within its memory.

The load: an engine crashes if the prompts and answers that it holds exceed its memory,
though it has places free.
"""

import random

import pytest

from lovagepier.decisions.placement.work import Grant
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.platform import TARGET_PREFIX, decode_catalog
from test.builders import ended, make_scheduler, make_work
from test.coordinator_builders import make_coordinator, make_view
from test.entry_builders import settings

CAPACITY = 1_000


def make_pool(targets=2, slots=7, capacity=CAPACITY):
    scheduler = make_scheduler((), tiers=9)
    for number in range(1, targets + 1):
        scheduler.set_target(
            f"e{number}", "a1", "v1", "i1", 0.0, slots=slots, memory_tokens=capacity
        )
    return scheduler


def work(request_id, tokens, tier=6, **fields):
    """Return a request of that many tokens, half of them of its prompt."""
    half = tokens // 2
    sizes = {"prefill_tokens": half, "max_decode_tokens": tokens - half}
    return make_work(request_id, tier=tier, **sizes, **fields)


def granted(decisions):
    return [(each.work.id, each.target) for each in decisions]


def test_a_request_goes_elsewhere_or_waits_where_memory_is_short():
    pool = make_pool()
    assert len(pool.offer(work("a", 600), 0.0)) == 1
    assert len(pool.offer(work("b", 600), 0.0)) == 1
    assert {run.target for run in pool._dispatched.values()} == {"e1", "e2"}
    assert pool.offer(work("c", 600), 0.0) == []
    assert pool.policy.memory_waits
    assert granted(pool.finish(ended(make_work("a"), "e1"), 0.1))[0][0] == "c"


def test_small_requests_overtake_a_large_one_for_a_bounded_time():
    # Guards against a large request that idles a pool, and against one that starves.
    pool = make_pool(targets=1)
    pool.offer(work("a", 600), 0.0)
    assert pool.offer(work("large", 900), 0.0) == []
    assert granted(pool.offer(work("b", 100), 0.5)) == [("b", "e1")]
    assert pool.offer(work("c", 100), 1.1) == []
    pool.finish(ended(make_work("b"), "e1"), 1.2)
    assert granted(pool.finish(ended(make_work("a"), "e1"), 1.3)) == [
        ("large", "e1"),
        ("c", "e1"),
    ]


def test_an_urgent_request_that_lacks_memory_is_overtaken_for_less():
    pool = make_pool(targets=1)
    pool.offer(work("a", 600), 0.0)
    pool.offer(work("urgent", 900, tier=0, latest_on_time_start=0.8), 0.0)
    assert len(pool.offer(work("b", 100), 0.19)) == 1
    assert pool.offer(work("c", 100), 0.21) == []
    assert "lacked memory" in pool.tick(101.0)[0].why


def test_one_beyond_the_whole_memory_runs_alone():
    pool = make_pool(targets=1)
    pool.offer(work("a", 100), 0.0)
    assert pool.offer(work("huge", 5_000), 0.0) == []
    # It waits for an idle target without holding others back.
    assert len(pool.offer(work("b", 100), 9.0)) == 1
    pool.finish(ended(make_work("a"), "e1"), 9.0)
    assert granted(pool.finish(ended(make_work("b"), "e1"), 9.0)) == [("huge", "e1")]
    assert pool.offer(work("c", 1), 9.1) == []


def test_a_cached_prefix_is_no_reason_to_exceed_the_memory():
    for held, target in ((5_000, "e1"), (15_000, "e2")):
        pool = make_pool(capacity=20_000)
        running = make_work("a", prefill_tokens=0, max_decode_tokens=held)
        pool.adopt_running(running, "e1", 0.0)
        pool.prefixes.add("e1", ["p1"])
        decisions = pool.offer(work("b", 10_000, blocks=("p1",)), 0.0)
        assert granted(decisions) == [("b", target)]


def test_requests_of_another_coordinator_count():
    pool = make_pool(targets=1)
    pool.adopt_running(work("a", 600), "e1", 0.0)
    assert pool.offer(work("b", 600), 0.0) == []


def test_no_target_holds_more_than_its_memory():
    """Random sizes, ends, and restarts of the coordinator, checked at each grant."""
    rng = random.Random(5)
    pool = make_pool(targets=4, slots=7)
    running = {}
    most = 0
    for number in range(3_000):
        now = number * 0.01
        tokens = rng.choice((50, 200, 400, 900, 1_500))
        tier = rng.choice((0, 3, 6))
        decisions = pool.offer(
            work(f"r{number}", tokens, tier, deadline=now + 3.0), now
        )
        if running and rng.random() < 0.9:
            done, target = running.pop(rng.choice(list(running)))
            decisions += pool.finish(ended(done, target), now)
        for grant in decisions:
            if isinstance(grant, Grant):
                running[grant.work.id] = (grant.work, grant.target)
        if number % 500 == 499:
            pool = make_pool(targets=4, slots=7)
            for own, target in running.values():
                pool.adopt_running(own, target, now)
        for target in {target for _, target in running.values()}:
            held = [own.memory_tokens for own, at in running.values() if at == target]
            most = max(most, sum(held))
            assert sum(held) <= CAPACITY or len(held) == 1
    assert most > 0.9 * CAPACITY


@pytest.mark.parametrize("capacity", [0, 8_000])
def test_the_configuration_states_the_memory(capacity):
    # Guards against a bound that isn't configured, and against one that is unused.
    engine = {"kv_capacity": capacity} if capacity else {}
    text = f"""{{"version": 1, "routes": [], "tenants": [], "services": [
        {{"name": "read", "engine": {str(engine).replace("'", '"')}}}]}}"""
    view = make_view(2, 4)
    view.targets = {TARGET_PREFIX + name: t for name, t in view.targets.items()}
    view.catalog = decode_catalog(text.encode())
    cfg = parse_entry_settings(settings("n1", 1))
    coordinator = make_coordinator(cfg, view, lambda entry, message: None)
    fleet = coordinator._pool("read").scheduler.fleet
    assert {state.memory_tokens for state in fleet} == {capacity}
    # A coordinator with half of the slots uses half of the memory.
    coordinator.set_share(0.5, 0.5, 0.0)
    assert {state.memory_tokens for state in fleet} == {capacity / 2}
