"""The store comes back from an older copy: what it lost, and what must stay."""

import asyncio

from test.entry_builders import call, config, entry_fleet, route, wait_until


def config_with(version, *names):
    """Return a configuration that has these routes besides the usual ones."""
    routes = config()["routes"] + [
        route(name, "idempotent", "ledger") for name in names
    ]
    return config(version, routes=routes)


async def write_many(store, count):
    """Raise the store's revision by changes that concern no host."""
    for number in range(count):
        await store.write(f"other/{number % 3}", {"n": number})


def run_scenario(scenario, hosts=2):
    async def run():
        async with entry_fleet(hosts=hosts) as fleet:
            await scenario(fleet)

    asyncio.run(run())


def test_a_configuration_written_after_a_restore_comes_into_force():
    """Replays restored: its revision is lower than one that hosts had before."""

    async def scenario(fleet):
        store = fleet.store
        copy = store.copy()
        await store.write("op/config", config_with(2, "lost"))
        await write_many(store, 20)
        await wait_until(lambda: all(h.view.as_of > 20 for h in fleet.hosts))
        store.restore(copy)
        await store.write("op/config", config_with(3, "later"))
        await wait_until(lambda: all(h.view.version == 3 for h in fleet.hosts))
        for number, host in enumerate(fleet.hosts):
            assert (await call(host, "/later/x", f"r{number}")).status == 200

    run_scenario(scenario)


def test_a_confirmed_configuration_stays_in_force_after_a_restore():
    """Also at a host that starts while the store shows an older one."""

    async def scenario(fleet):
        store = fleet.store
        copy = store.copy()
        await store.write("op/config", config_with(2, "lost"))
        await wait_until(lambda: all(h.view.version == 2 for h in fleet.hosts))
        store.restore(copy)
        late = await fleet.host("n9")
        await wait_until(lambda: late.view.version == 2)
        for number, host in enumerate(fleet.hosts):
            assert (await call(host, "/lost/x", f"r{number}")).status == 200

    run_scenario(scenario)


def test_the_store_gets_few_calls_after_a_restore():
    """Replays restored: one host read the store 70 times a second for good."""

    async def scenario(fleet):
        store = fleet.store
        copy = store.copy()
        await write_many(store, 20)
        await wait_until(lambda: all(h.view.as_of > 20 for h in fleet.hosts))
        store.restore(copy)
        calls = len(store.calls)
        await asyncio.sleep(1.0)
        scans = [path for _, path in store.calls[calls:] if path == "/kv-range"]
        # A scan takes two pages here; each of two hosts may need a second one.
        assert len(scans) <= 8

    run_scenario(scenario)


def test_a_target_that_left_before_a_restore_gets_no_work_though_it_is_back():
    async def scenario(fleet):
        store = fleet.store
        await fleet.add_target("w2", "ledger")
        gone, draining = fleet.targets["w1"], await fleet.add_target("w3", "ledger")
        await wait_until(lambda: all(h.view.target("w3") for h in fleet.hosts))
        copy = store.copy()
        await store.remove("servers/w1")
        await store.write("servers/w3", draining.entry("draining"))
        await wait_until(
            lambda: all(
                h.view.target("w1") is None and h.view.target("w3").draining
                for h in fleet.hosts
            )
        )
        store.restore(copy)
        await store.write("op/config", config_with(3, "later"))
        await wait_until(lambda: all(h.view.version == 3 for h in fleet.hosts))
        for number in range(12):
            host = fleet.hosts[number % 2]
            assert (await call(host, "/later/x", f"r{number}")).status == 200
        assert not gone.arrivals and not draining.arrivals

    run_scenario(scenario)


def test_a_target_that_a_copy_lacks_keeps_its_work():
    async def scenario(fleet):
        store = fleet.store
        copy = store.copy()
        new = await fleet.add_target("m7", "chat")
        routes = [*config()["routes"], route("chat", "idempotent", "chat")]
        await store.write("op/config", config(2, routes=routes))
        await wait_until(lambda: all(h.view.version == 2 for h in fleet.hosts))
        store.restore(copy)
        await store.write("op/config", config(3, routes=routes))
        await wait_until(lambda: all(h.view.version == 3 for h in fleet.hosts))
        assert (await call(fleet.hosts[1], "/chat/x", "r1")).status == 200
        assert new.arrivals

    run_scenario(scenario)


def test_a_host_whose_registration_was_lost_registers_again():
    async def scenario(fleet):
        store = fleet.store
        (key,) = (key for key in store.items if "hosts/n2" in key)
        copy = store.copy()
        del copy[0][key]
        store.restore(copy)
        await wait_until(lambda: key in store.items)

    run_scenario(scenario)


def test_a_lease_that_outlived_its_key_brings_the_key_back():
    """The copy was made between the grant of a lease and the write of its key."""

    async def scenario(fleet):
        store = fleet.store
        (key,) = (key for key in store.items if "hosts/n2" in key)
        leases = dict(store.leases)
        copy = store.copy()
        del copy[0][key]
        store.restore(copy)
        store.leases = leases
        await wait_until(lambda: key in store.items)

    run_scenario(scenario)
