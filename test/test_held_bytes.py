"""What one entry host holds of the bodies of all its requests together."""

import asyncio
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.limits.byte_budget import ByteBudget
from lovagepier.entry._targets.body_memory import (
    MAX_CAPACITY_BYTES,
    MIN_CAPACITY_BYTES,
    TARGET_SHARE,
    BodyMemory,
    default_capacity,
)
from lovagepier.entry._targets.conn import MAX_BODY_BYTES
from test.entry_builders import call, entry_fleet, wait_until

CALLS = 50
# What a host holds beside reserved bodies: what each connection has read, and its own
# state.
BYTES_A_CALL = 512 * 1024
ALLOWED_BYTES = MAX_CAPACITY_BYTES * TARGET_SHARE + CALLS * BYTES_A_CALL


async def flood(fleet, count, first=0, gap_s=0.0, path="/file/x"):
    """Send calls that may run once, one every `gap_s`; return the answers."""
    tasks = []
    for number in range(first, first + count):
        sending = call(fleet.hosts[0], path, f"r{number}", method="POST", body=b"1")
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(gap_s)
    return await asyncio.gather(*tasks)


async def add_target(fleet, name, mode, work_s=0.0, service="ledger", slots=100):
    """Add a target, with room for many calls."""
    target = await fleet.add_target(name, service, slots=slots)
    target.mode, target.work_s = mode, work_s
    await wait_until(lambda: fleet.hosts[0].view.target(name))
    return target


# A worker whose bodies did not end filled the memory of the host nearest to it.
def test_the_bodies_of_many_requests_that_do_not_end_are_bounded_together():
    async def scenario():
        async with entry_fleet(targets=False) as fleet:
            target = await add_target(fleet, "w1", "endless_paced")
            tracemalloc.start()
            try:
                answers = await flood(fleet, CALLS)
                return target, answers, tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()

    target, answers, peak = asyncio.run(scenario())
    assert len(target.runs) == CALLS
    assert {answer.status for answer in answers} == {504}
    assert peak < ALLOWED_BYTES


# It went on getting its part of all requests, as one that was only late.
def test_a_target_that_is_still_sending_at_the_deadline_is_ejected():
    async def scenario():
        async with entry_fleet(targets=False) as fleet:
            first = await add_target(fleet, "w1", "endless_paced")
            second = await add_target(fleet, "w2", "ok", work_s=0.1)
            await flood(fleet, 160, gap_s=0.025)
            before = len(first.runs), len(second.runs)
            answers = await flood(fleet, 100, first=200, gap_s=0.04)
            return len(first.runs) - before[0], before, answers

    more, before, answers = asyncio.run(scenario())
    assert min(before) >= 10
    assert more <= 10
    assert sum(answer.status == 200 for answer in answers) >= 90


def test_long_bodies_of_sound_targets_are_served_beside_those_without_end():
    async def scenario():
        async with entry_fleet(targets=False) as fleet:
            first = await add_target(fleet, "w1", "endless_paced")
            await add_target(fleet, "m1", "long", service="model", slots=4)
            flooding = asyncio.create_task(flood(fleet, CALLS))
            await wait_until(lambda: len(first.runs) == CALLS)
            # Bodies of the first target have taken all that one may have.
            await asyncio.sleep(0.5)
            answers = await flood(fleet, 30, first=100, path="/note/x")
            flooding.cancel()
            return answers

    answers = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {200}
    assert all(len(answer.body) == 1_000_000 for answer in answers)


def test_long_bodies_that_do_not_fit_together_are_served_one_after_the_other():
    async def scenario():
        async with entry_fleet(targets=False) as fleet:
            await add_target(fleet, "w1", "long")
            memory = fleet.hosts[0].frontend.body_memory = BodyMemory(4_000_000)
            return await flood(fleet, 40), memory

    answers, memory = asyncio.run(scenario())
    assert {answer.status for answer in answers} == {200}
    assert memory.held == 0
    assert memory.waiting_count == 0


def test_a_call_that_ends_while_it_waits_leaves_nothing_reserved():
    async def scenario():
        memory = BodyMemory(1000)
        first = memory.reservation("w1", "r1")
        await first.grow_to(400)
        waiting = [memory.reservation("w1", f"q{n}") for n in range(3)]
        tasks = [asyncio.create_task(each.grow_to(300)) for each in waiting]
        await asyncio.sleep(0)
        assert memory.waiting_count == 3
        tasks[0].cancel()
        await asyncio.sleep(0)
        assert memory.waiting_count == 2
        # The second is granted and cancelled in the same turn.
        first.release()
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert [each.size for each in waiting] == [0, 0, 300]
        assert memory.held == 300
        assert waiting[2].has_waited
        waiting[2].release()
        assert memory.held == 0

    asyncio.run(scenario())


def test_one_target_leaves_room_for_the_others():
    async def scenario():
        memory = BodyMemory(1000)
        await memory.reservation("w1", "r1").grow_to(5000)
        assert memory.held == 500
        stuck = asyncio.create_task(memory.reservation("w1", "r2").grow_to(1))
        await asyncio.wait_for(memory.reservation("w2", "r3").grow_to(500), 1)
        assert not stuck.done()
        stuck.cancel()

    asyncio.run(scenario())


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 700)), max_size=50),
    st.randoms(use_true_random=False),
)
def test_a_budget_is_never_exceeded(wishes, rng):
    budget = ByteBudget(1000, 0.5)
    held = []
    for owner, size in wishes:
        if budget.take(owner, size):
            held.append((owner, size))
        assert budget.held == sum(size for _, size in held) <= 1000
        for name in "abc":
            assert sum(size for owner, size in held if owner == name) <= 500
        if held and rng.random() < 0.4:
            budget.give_back(*held.pop(rng.randrange(len(held))))


def test_the_capacity_follows_from_the_memory_of_the_machine(monkeypatch):
    assert MIN_CAPACITY_BYTES <= default_capacity() <= MAX_CAPACITY_BYTES
    monkeypatch.setattr(
        "os.sysconf", {"SC_PHYS_PAGES": 36_000, "SC_PAGE_SIZE": 4096}.get
    )
    assert default_capacity() == pytest.approx(24_576_000, rel=0.01)
    assert default_capacity() * TARGET_SHARE > MAX_BODY_BYTES
