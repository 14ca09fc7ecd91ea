"""The directory after the loss of a zone, with hosts as processes."""

import asyncio
import json
import signal

import pytest

from test.entry_builders import config, connect, read_response, wait_until
from trials.proxy import Proxy
from trials.soak_fleet import HostProcess, LeasedStore

# The most that directory answers may go on naming a lost host, see REQUIREMENTS.md.
NAMED_S = 7.0
POLL_S = 0.1
ZONES = {"a1": "a", "a2": "a", "b1": "b"}


async def named_at(host):
    """Return the addresses in an answer of a host's directory, None without one."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await connect(host, "directory")
            writer.write(b"GET /resolve?region=a&zone=a1 HTTP/1.1\r\nHost: d\r\n\r\n")
            answer = await read_response(reader)
            writer.close()
    except (OSError, EOFError, TimeoutError):
        return None
    return json.loads(answer.body)["addresses"] if answer.status == 200 else []


class ZoneFleet:
    """A store and hosts in several zones, most senior first."""

    def __init__(self, folder, zones):
        self.store = LeasedStore()
        self.hosts = []
        self._folder = folder
        self._zones = zones
        self._task = None

    async def __aenter__(self):
        await self.store.start()
        rows = config()["routes"]
        rows[0]["allowed_regions"] = ["a"]
        await self.store.write("op/config", config(routes=rows))
        self._task = asyncio.create_task(self.store.expire_leases())
        for number, zone in enumerate(self._zones, 1):
            proxy = await Proxy().start(self.store.port)
            at = {"zone": zone, "region": ZONES[zone]}
            extra = {"host": at, "zones": ZONES}
            host = HostProcess(number, self._folder, proxy, "", **extra)
            self.hosts.append(host)
            await host.start()
            await wait_until(host.has_started, 10.0)
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            await host.kill()
            await host.store_proxy.close()
        self._task.cancel()
        await self.store.stop()

    async def all_named(self):
        """Wait until each host names all hosts of its region."""
        addresses = {host.address for host in self.hosts if host.cfg.host_region == "a"}
        names = {f"{address}:{port}" for address, port in addresses}
        for host in self.hosts:
            async with asyncio.timeout(15.0):
                while set(await named_at(host) or ()) != names:
                    await asyncio.sleep(POLL_S)


@pytest.mark.parametrize("has_store", [True, False])
@pytest.mark.parametrize("how", [signal.SIGKILL, signal.SIGSTOP])
def test_the_hosts_of_a_lost_zone_stop_being_named_in_time(how, has_store, tmp_path):
    # The four most senior hosts, the coordinator and its successor among them, go at
    # once. A suspended host is like one that is switched off: its connections stay.
    async def run():
        async with ZoneFleet(tmp_path, ["a1"] * 4 + ["a2", "a2", "b1"]) as fleet:
            await fleet.all_named()
            lost, left = fleet.hosts[:4], fleet.hosts[4:]
            gone = {f"{host}:{port}" for host, port in (each.address for each in lost)}
            if not has_store:
                fleet.store.fault = "silent"
            for host in lost:
                host.signal(how)
            loop = asyncio.get_running_loop()
            lost_at = last_named = loop.time()
            answers = 0
            while loop.time() < lost_at + NAMED_S + 1.0:
                asked_at = loop.time()
                for named in await asyncio.gather(*map(named_at, left)):
                    answers += bool(named)
                    if gone & set(named or ()):
                        last_named = asked_at
                await asyncio.sleep(POLL_S)
            seconds = last_named - lost_at
            assert seconds < NAMED_S
            assert answers
            # Four lost hosts at the head of the order of succession once kept the
            # others from linking to each other while the store was away.
            for host in left:
                named = await named_at(host)
                assert set(named) == {
                    f"{each.address[0]}:{each.address[1]}" for each in left[:2]
                }

    asyncio.run(run())
