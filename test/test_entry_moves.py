"""Moves between versions on the whole path: orders, evidence, brake and states told."""

import asyncio

import pytest

from test.entry_builders import call, wait_until, entry_fleet

DURATION_S = 2.0
# Much longer than what the test itself takes a call, so that neither version is slow.
WORK_S = 0.03
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50


def state_of(made):
    return made.store.value("status/rollout/ledger") or {}


async def order(made):
    raw = {"service": "ledger", "target": "v2", "duration_s": DURATION_S}
    await made.store.write("op/rollout/ledger", raw)


async def send_until(made, condition):
    """Send calls by fives until `condition()`; return how many."""
    sent = 0
    async with asyncio.timeout(15):
        while not condition():
            calls = [
                call(
                    made.hosts[number % len(made.hosts)], "/read/x", f"r{sent + number}"
                )
                for number in range(5)
            ]
            await asyncio.gather(*calls)
            sent += 5
    return sent


async def with_move(mode, hosts, scenario):
    async with entry_fleet(hosts=hosts) as made:
        new = await made.add_target("w2", "ledger", version="v2")
        new.mode = mode
        new.work_s = made.targets["w1"].work_s = WORK_S
        await wait_until(lambda: all(h.view.target("w2") for h in made.hosts))
        await order(made)
        await wait_until(lambda: state_of(made).get("state") == "running")
        await scenario(made, new)


@pytest.mark.parametrize("hosts", [1, 2])
def test_a_good_version_is_moved_to_and_told_as_completed(hosts):
    async def scenario(made, new):
        before = len(new.runs)
        await send_until(made, lambda: state_of(made)["state"] != "running")
        assert state_of(made)["state"] == "completed"
        assert state_of(made)["target"] == "v2"
        old = len(made.targets["w1"].runs)
        for number in range(20):
            assert (await call(made.hosts[0], "/read/x", f"s{number}")).status == 200
        assert len(made.targets["w1"].runs) == old
        assert len(new.runs) >= before + 20

    asyncio.run(with_move("ok", hosts, scenario))


def test_a_move_goes_on_when_its_home_is_lost():
    async def scenario(made, new):
        home, other = made.hosts
        await send_until(made, lambda: home.coordinator.moves.progress()[0][3] >= 3)
        counted = home.coordinator.moves.progress()[0]
        await wait_until(lambda: other.coordinator.moves.progress()[0][3] >= counted[3])
        await made.store.remove(next(k for k in made.store.items if "/n1." in k))
        home.cluster.served.leaving = True
        await wait_until(lambda: other.cluster.current == "n2")
        await send_until(made, lambda: state_of(made)["state"] != "running")
        assert state_of(made)["state"] == "completed"

    asyncio.run(with_move("ok", 2, scenario))


@pytest.mark.parametrize("mode", ["error", "reset"])
def test_a_bad_version_is_taken_back_and_gets_no_more(mode):
    async def scenario(made, new):
        sent = await send_until(made, lambda: state_of(made)["state"] != "running")
        assert state_of(made)["state"] == "rolled_back"
        assert len(new.runs) <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK
        exposed = len(new.runs)
        for number in range(20):
            assert (await call(made.hosts[1], "/read/x", f"s{number}")).status == 200
        assert len(new.runs) == exposed

    asyncio.run(with_move(mode, 2, scenario))


def test_a_bad_version_is_braked_while_the_store_is_down():
    async def scenario(made, new):
        made.store.fault = "busy"
        home = made.hosts[0].coordinator
        sent = await send_until(made, lambda: home.moves.brakes())
        assert len(new.runs) <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK
        exposed = len(new.runs)
        for number in range(20):
            assert (await call(made.hosts[1], "/read/x", f"s{number}")).status == 200
        assert len(new.runs) == exposed
        made.store.fault = None
        await wait_until(lambda: state_of(made)["state"] == "rolled_back", 15)

    asyncio.run(with_move("error", 2, scenario))
