"""Targets whose bytes never end, or never complete an event.

Each case asserts three things: the entry host closes the connection, what it has read
by then is bounded, and the caller gets a true answer.
"""

import asyncio

import pytest

from lovagepier.entry._callers.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLong,
)
from lovagepier.entry._targets.conn import MAX_BODY_BYTES, MAX_STALE_BYTES
from test.entry_builders import call, entry_fleet, wait_until

# What the kernel and both transports may hold beyond what the entry host has read.
BUFFERED_BYTES = 16 * 1024 * 1024


def run_scenario(scenario):
    async def run():
        async with entry_fleet() as fleet:
            await scenario(fleet)

    asyncio.run(run())


@pytest.mark.parametrize(
    "mode",
    [
        "endless_head",
        "endless_interim",
        "endless_unframed",
        "endless_chunks",
        "endless_stale",
    ],
)
def test_an_endless_response_is_cut_and_reported_as_lost(mode):
    async def scenario(fleet):
        target = fleet.targets["w1"]
        target.mode = mode
        answer = await call(fleet.hosts[0], "/file/x", "r1", method="POST", body=b"1")
        # It has run, and no promise to the contrary may be made.
        assert answer.status == 502
        assert len(target.runs) == 1
        assert target.sent < max(MAX_BODY_BYTES, MAX_STALE_BYTES) + BUFFERED_BYTES

    run_scenario(scenario)


def test_a_repeatable_call_goes_on_elsewhere_after_an_endless_response():
    async def scenario(fleet):
        fleet.targets["w1"].mode = "endless_unframed"
        await fleet.add_target("w2", "ledger")
        await wait_until(lambda: fleet.hosts[0].view.target("w2"))
        answers = [await call(fleet.hosts[0], "/read/x", f"r{n}") for n in range(4)]
        assert {answer.status for answer in answers} == {200}
        assert all(answer.body.startswith(b"done") for answer in answers)

    run_scenario(scenario)


def test_an_endless_refusal_does_not_hold_the_call():
    async def scenario(fleet):
        fleet.targets["w1"].mode = "endless_refusal"
        await fleet.add_target("w2", "ledger")
        await wait_until(lambda: fleet.hosts[0].view.target("w2"))
        for number in range(4):
            answer = await call(
                fleet.hosts[0], "/file/x", f"r{number}", method="POST", body=b"1"
            )
            assert answer.status == 200
        assert len(fleet.targets["w2"].runs) == 4

    run_scenario(scenario)


def test_a_stream_whose_event_never_ends_is_cut():
    async def scenario(fleet):
        target = fleet.targets["m1"]
        target.mode = "endless_event"
        answer = await call(fleet.hosts[0], "/note/x", "r1", method="POST", body=b"1")
        assert answer.status == 200
        assert not answer.is_complete
        assert answer.body.endswith(b"id: 2\ndata: a\n\n")
        assert target.sent < MAX_EVENT_BYTES + BUFFERED_BYTES

    run_scenario(scenario)


@pytest.mark.parametrize("mode", ["endless_event", "trickle"])
def test_a_stream_without_whole_events_goes_on_elsewhere(mode):
    async def scenario(fleet):
        fleet.targets["m1"].mode = mode
        second = await fleet.add_target("m2", "model")
        second.mode = "stream"
        await wait_until(lambda: fleet.hosts[0].view.target("m2"))
        for number in range(3):
            answer = await call(
                fleet.hosts[0], "/talk/x", f"r{number}", method="POST", body=b"1"
            )
            assert answer.status == 200
            assert answer.is_complete
            assert all(b"id: %d\n" % n in answer.body for n in (1, 2, 3, 4))
            assert answer.body.count(b"id: ") == 4
        assert fleet.targets["m1"].runs

    run_scenario(scenario)


def test_memory_of_an_incomplete_event_is_bounded():
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(EventTooLong):
        for _ in range(MAX_EVENT_BYTES // 4096 + 2):
            splitter.feed(b"a" * 4096)
