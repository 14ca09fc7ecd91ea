"""Entry hosts and targets that crash under a request."""

import asyncio

import pytest

from lovagepier.decisions.crashes.poison import Run
from lovagepier.entry._targets.pool import ConnectFailed
from lovagepier.entry.call import Call, fingerprint
from test.entry_builders import HOST, call, entry_fleet, wait_until


def run_scenario(scenario, hosts=1):
    async def run():
        async with entry_fleet(hosts=hosts) as fleet:
            await wait_until(
                lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n1"}
            )
            await scenario(fleet)

    asyncio.run(run())


def fingerprint_of(host, path):
    """Return the fingerprint of what `call(host, path, ...)` sends."""
    account = next(iter(host.view.catalog.accounts.values()))
    return fingerprint(
        Call("r", "GET", path, HOST, "", None, None, 0, (), "", [], account=account)
    )


def test_a_target_that_ends_under_a_request_counts_as_crashed_at_once():
    """No other caller connects to it, and its entry stays in the store for seconds."""

    async def scenario(fleet):
        (host,) = fleet.hosts
        fleet.targets["m1"].mode = "crash"
        assert (await call(host, "/note/x", "r1")).status == 502
        detector = host.coordinator.poison_detector
        await wait_until(lambda: detector.is_suspect(fingerprint_of(host, "/note/x")))

    run_scenario(scenario)


def test_a_target_that_only_breaks_off_an_answer_has_not_crashed():
    async def scenario(fleet):
        (host,) = fleet.hosts
        fleet.targets["m1"].mode = "reset"
        assert (await call(host, "/note/x", "r1")).status == 502
        fleet.targets["m1"].mode = "ok"
        opened = host.frontend.target_connections.opened
        assert (await call(host, "/note/y", "r2")).status == 200
        assert host.frontend.target_connections.opened > opened
        detector = host.coordinator.poison_detector
        assert not detector.is_suspect(fingerprint_of(host, "/note/x"))

    run_scenario(scenario)


def test_suspects_and_verdicts_outlive_the_coordinator():
    async def scenario(fleet):
        first, second = fleet.hosts
        detector = first.coordinator.poison_detector
        now = first._loop.time()
        detector.on_crash("m7/1", [Run("bad")], now)
        detector.on_crash("m8/1", [Run("bad")], now)
        detector.on_crash("m9/1", [Run("suspected")], now)
        heard = second.coordinator.poison_detector
        await wait_until(lambda: heard.is_poison("bad"))
        await wait_until(lambda: heard.is_suspect("suspected"))
        detector.on_success("suspected")
        await wait_until(lambda: not heard.is_suspect("suspected"))

    run_scenario(scenario, hosts=2)


def test_a_new_coordinator_learns_suspects_from_the_hosts_that_join_it():
    async def scenario(fleet):
        first, second = fleet.hosts
        second.cluster._switch_to("n2")
        now = second._loop.time()
        second.coordinator.poison_detector.on_crash("m8/1", [Run("suspected")], now)
        second.cluster._switch_to("n1")
        detector = first.coordinator.poison_detector
        await wait_until(lambda: detector.is_suspect("suspected"))

    run_scenario(scenario, hosts=2)


def test_a_host_that_joins_a_coordinator_again_learns_its_suspects():
    """Its rosters are sent what changed only, and were not applied meanwhile."""

    async def scenario(fleet):
        first, second = fleet.hosts
        detector = first.coordinator.poison_detector
        heard = second.coordinator.poison_detector
        detector.on_crash("m8/1", [Run("suspected")], first._loop.time())
        await wait_until(lambda: heard.is_suspect("suspected"))
        second.cluster._switch_to("n2")
        heard.replace_rows([], second._loop.time())
        second.cluster._switch_to("n1")
        await wait_until(lambda: heard.is_suspect("suspected"))

    run_scenario(scenario, hosts=2)


def test_all_parts_of_a_prompt_but_the_last_are_suspected():
    async def scenario(fleet):
        (host,) = fleet.hosts
        fleet.targets["m1"].mode = "crash"
        parts = "X-Prompt-Prefix: a1:60,b2:200,c3:10"
        await call(host, "/note/x", "r1", headers=(parts,))
        detector = host.coordinator.poison_detector
        await wait_until(lambda: detector.is_suspect("part:b2"))
        assert detector.is_suspect("part:a1")
        assert not detector.is_suspect("part:c3")

    run_scenario(scenario)


def test_verdicts_outlive_the_loss_of_all_hosts():
    """Replays a loss of all hosts after a verdict: it took three crashes again."""

    async def scenario(fleet):
        (host,) = fleet.hosts
        detector = host.coordinator.poison_detector
        for number in range(3):
            detector.on_crash(f"m{number}/1", [Run("bad")], host._loop.time())
        await wait_until(lambda: any("poison" in key for key in fleet.store.items))
        for actor in (host._watcher, host._registrar):
            actor.stop(block=False)
        fleet.tasks.pop().cancel()
        next_host = await fleet.host("n9")
        await wait_until(lambda: next_host.coordinator.poison_detector.is_poison("bad"))

    run_scenario(scenario)


def test_a_verdict_is_written_again_until_the_store_has_it():
    async def scenario(fleet):
        (host,) = fleet.hosts
        fleet.store.fault = "busy"
        detector = host.coordinator.poison_detector
        for number in range(3):
            detector.on_crash(f"m{number}/1", [Run("bad")], host._loop.time())
        calls = len(fleet.store.calls)
        await wait_until(lambda: ("POST", "/kv-lease") in fleet.store.calls[calls:])
        fleet.store.fault = None
        await wait_until(lambda: any("poison" in key for key in fleet.store.items))

    run_scenario(scenario)


async def replace_crashed(fleet):
    """Start a target for each one that has crashed; return how many that were."""
    crashed = [
        target
        for target in fleet.targets.values()
        if target.service == "model" and not target._server.is_serving()
    ]
    for target in crashed:
        del fleet.targets[target.id]
        await fleet.store.remove(f"servers/{target.id}")
        number = int(target.id[1:]) + 10
        new = await fleet.add_target(f"m{number}", "model")
        new.crash_part = target.crash_part
    return len(crashed)


def test_a_part_is_refused_over_hosts_and_sound_requests_go_on():
    """Replays second1 over several hosts: each body is new, one part is the same."""

    async def scenario(fleet):
        for name in ("m2", "m3"):
            await fleet.add_target(name, "model")
        for target in fleet.targets.values():
            target.crash_part = "bad:"
        crashes = 0
        statuses = []
        for number in range(12):
            host = fleet.hosts[number % len(fleet.hosts)]
            for part in ("bad", "good"):
                parts = f"X-Prompt-Prefix: a1:60,{part}:200,{part}{number}:10"
                path = f"/note/{part}-{number}"
                response = await call(host, path, f"{part}{number}", headers=(parts,))
                statuses.append((part, response.status))
            crashes += await replace_crashed(fleet)
        assert crashes <= 5
        assert statuses[-2] == ("bad", 422)
        assert {status for part, status in statuses if part == "good"} == {200}

    run_scenario(scenario, hosts=3)


async def lose_coordinator(fleet):
    """End the first host, which coordinates; wait until the others follow another."""
    first, *others = fleet.hosts
    fleet.tasks[0].cancel()
    for link in list(first.cluster.followers.links.values()):
        link.close()
    first._registrar.stop(block=False)
    await fleet.store.remove(next(k for k in fleet.store.items if "/n1." in k))
    await wait_until(lambda: {h.cluster.coordinator_name for h in others} == {"n2"})


@pytest.mark.parametrize("lost_after", [1, 2, 3])
def test_a_repeated_body_crashes_few_targets_while_its_coordinator_is_lost(lost_after):
    """A caller sends the same body again and again, at any host."""

    async def scenario(fleet):
        for name in ("m2", "m3"):
            await fleet.add_target(name, "model")
        for target in fleet.targets.values():
            target.crash_part = "bad:"
        hosts = list(fleet.hosts)
        crashes = 0
        statuses = []
        for number in range(9):
            host = hosts[number % len(hosts)]
            parts = ("X-Prompt-Prefix: a1:60,bad:10",)
            response = await call(host, "/note/bad", f"bad{number}", headers=parts)
            statuses.append(response.status)
            sound = await call(host, f"/note/{number}", f"r{number}")
            assert sound.status == 200
            crashes += await replace_crashed(fleet)
            if crashes == lost_after and len(hosts) == 3:
                await lose_coordinator(fleet)
                hosts.remove(fleet.hosts[0])
        assert crashes <= 3
        assert statuses[-1] == 422

    run_scenario(scenario, hosts=3)


def test_copies_that_wait_after_three_crashes_reach_no_new_target():
    """Replays BUDGET at 72.913 s over three hosts: four copies, four new targets."""

    async def scenario(fleet):
        await fleet.store.remove("servers/m1")
        targets = [
            await fleet.add_target(name, "model", slots=1)
            for name in ("m2", "m3", "m4")
        ]
        for host in fleet.hosts:
            await wait_until(lambda host=host: len(host.view.targets) == 4)
            await wait_until(lambda host=host: "m1" not in host.view.targets)
        for target in targets:
            target.mode, target.work_s = "crash", 0.3
        copies = [
            asyncio.create_task(call(fleet.hosts[number % 3], "/note/x", f"r{number}"))
            for number in range(7)
        ]
        detector = fleet.hosts[0].coordinator.poison_detector
        body = fingerprint_of(fleet.hosts[0], "/note/x")
        await wait_until(lambda: detector.is_poison(body))
        names = ("n1", "n2", "n3", "n4")
        fresh = [await fleet.add_target(name, "model", slots=1) for name in names]
        for target in fresh:
            target.mode = "crash"
        statuses = sorted([(await copy).status for copy in copies])
        assert statuses == [422, 422, 422, 422, 502, 502, 502]
        assert not any(target.runs for target in fresh)

    run_scenario(scenario, hosts=3)


def test_a_verdict_that_arrives_while_a_request_is_refused_a_connection_ends_it():
    """Its caller was asked to come back: 503 for a body that no target may run."""

    async def scenario(fleet):
        (host,) = fleet.hosts
        detector = host.coordinator.poison_detector
        body = fingerprint_of(host, "/note/x")

        async def refuse(_target):
            detector.merge_poisoned([body], host._loop.time())
            raise ConnectFailed("refused", refused=True)

        host.frontend.connector.open = refuse
        assert (await call(host, "/note/x", "r1")).status == 422
        assert not fleet.targets["m1"].runs

    run_scenario(scenario)
