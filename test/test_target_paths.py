"""Entry hosts that lose their paths to targets which other hosts still reach."""

import asyncio

import pytest

from lovagepier.entry._targets.pool import ConnectFailed, TargetConnectionPool
from test.entry_builders import call, entry_fleet, wait_until
from test.test_crashes import fingerprint_of

CONNECT_TIMEOUT_S = 0.3


class CuttablePool(TargetConnectionPool):
    """A pool whose new connections fail in one way while its host is in `cuts`."""

    __slots__ = ()
    cuts = {}
    opened_conns = []

    async def open(self, target):
        await self._fail_if_cut()
        conn = await super().open(target)
        self.opened_conns.append((id(self), conn))
        return conn

    async def connect(self, make_protocol, target):
        await self._fail_if_cut()
        return await super().connect(make_protocol, target)

    async def _fail_if_cut(self):
        how = self.cuts.get(id(self))
        if how == "refused":
            raise ConnectFailed("ConnectionRefusedError", refused=True)
        if how == "silent":
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            raise ConnectFailed("TimeoutError")


def cut(host, how):
    """Cut a host off from all targets: its connections end, new ones fail."""
    pool = host.frontend.target_connections
    CuttablePool.cuts[id(pool)] = how
    for owner, conn in CuttablePool.opened_conns:
        if owner == id(pool):
            conn._transport.abort()


def mend(host):
    CuttablePool.cuts.pop(id(host.frontend.target_connections))


def run_scenario(scenario, hosts=3):
    async def run():
        async with entry_fleet(hosts=hosts) as fleet:
            await wait_until(
                lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n1"}
            )
            await wait_until(
                lambda: all(len(h.cluster.live_hosts()) == hosts for h in fleet.hosts)
            )
            CuttablePool.cuts.clear()
            CuttablePool.opened_conns.clear()
            for host in fleet.hosts:
                host.frontend.target_connections.__class__ = CuttablePool
            await scenario(fleet)

    asyncio.run(run())


async def statuses_at(host, count=4):
    """Return the statuses of some requests of each kind at a host."""
    statuses = []
    for number in range(count):
        for path, method in (
            ("/read/x", "GET"),
            ("/file/x", "POST"),
            ("/note/x", "POST"),
        ):
            request_id = f"{host.cfg.host_name}-{number}-{path}"
            response = await call(host, path, request_id, method=method)
            statuses.append(response.status)
    return statuses


@pytest.mark.parametrize("how", ["refused", "silent"])
@pytest.mark.parametrize("names", [("n3",), ("n1",), ("n1", "n3")])
def test_hosts_cut_off_from_all_targets_serve_their_callers(how, names):
    """Guards against RECOVER: a host without a path served 16 of 78 requests."""

    async def scenario(fleet):
        for host in fleet.hosts:
            if host.cfg.host_name in names:
                cut(host, how)
        for host in fleet.hosts:
            assert set(await statuses_at(host)) == {200}

    run_scenario(scenario)


def test_what_a_cut_off_host_sees_of_targets_is_no_crash():
    """Guards against sound targets taken out of use, and sound bodies refused."""

    async def scenario(fleet):
        first, second, _ = fleet.hosts
        fleet.targets["m1"].work_s = 0.4
        running = [
            asyncio.create_task(call(second, path, f"r{path}"))
            for path in ("/note/a", "/note/b", "/talk/c")
        ]
        await wait_until(lambda: len(fleet.targets["m1"].runs) == 3)
        cut(second, "refused")
        await asyncio.gather(*running)
        detector = first.coordinator.poison_detector
        scheduler = first.coordinator._pool("model").scheduler
        for path in ("/note/a", "/note/b", "/talk/c"):
            assert not detector.is_suspect(fingerprint_of(first, path))
        state = scheduler.fleet.get("m1")
        assert not state.down and state.takes_work(first._loop.time())

    run_scenario(scenario)


def test_a_stream_goes_on_through_another_host():
    async def scenario(fleet):
        second = fleet.hosts[1]
        target = fleet.targets["m1"]
        target.mode, target.events, target.gap_s = "stream", 8, 0.1
        running = asyncio.create_task(call(second, "/talk/x", "r1"))
        await wait_until(lambda: target.runs)
        await asyncio.sleep(0.25)
        cut(second, "refused")
        response = await running
        assert response.is_complete
        numbers = [line for line in response.body.decode().split() if line.isdigit()]
        ids = [numbers[index] for index in range(0, len(numbers), 2)]
        assert ids == [str(number) for number in range(1, 9)]

    run_scenario(scenario)


def test_a_host_uses_its_own_path_again_once_it_is_back():
    async def scenario(fleet):
        third = fleet.hosts[2]
        cut(third, "refused")
        assert set(await statuses_at(third, count=1)) == {200}
        mend(third)
        pool = third.frontend.target_connections
        await wait_until(lambda: any(o == id(pool) for o, _ in pool.opened_conns))
        assert set(await statuses_at(third)) == {200}

    run_scenario(scenario)
