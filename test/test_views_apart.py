"""Hosts whose views of the store are apart for a moment after a target restarted."""

import asyncio
import contextlib

import pytest

from test.entry_builders import call, wait_until
from test.test_leaving_targets import run_scenario

LAG_S = 0.08


@contextlib.asynccontextmanager
async def view_held(host):
    """Keep changes of the store from a host's view, and apply them at the end."""
    view, held = host.view, []
    apply_events = view._apply_events

    def hold(*args):
        held.append(args)
        return []

    view._apply_events = hold
    try:
        yield
    finally:
        view._apply_events = apply_events
        for args in held:
            host._on_changed_keys(apply_events(*args))


async def restart_only_target(fleet):
    """Start another incarnation of the ledger's only target under its id."""
    target = fleet.targets["w1"]
    await fleet.store.remove("servers/w2")
    for host in fleet.hosts:
        await wait_until(lambda host=host: len(host.view.targets) == 2)
    target.born = 2
    return target


@pytest.mark.parametrize("late", ["n1", "n2"])
@pytest.mark.parametrize("path", ["/read/x", "/file/x"])
def test_a_view_that_is_late_does_not_refuse_the_only_target(late, path):
    """Either the coordinator (n1) or the host that asks it (n2) is behind."""

    async def scenario(fleet):
        hosts = {host.cfg.host_name: host for host in fleet.hosts}
        target = await restart_only_target(fleet)
        async with view_held(hosts[late]):
            await fleet.store.write("servers/w1", target.entry())
            for name, host in hosts.items():
                if name != late:
                    await wait_until(
                        lambda host=host: host.view.target("w1").started_at_ms == 2
                    )
            calling = asyncio.create_task(call(hosts["n2"], path, "r1"))
            await asyncio.sleep(LAG_S)
        response = await calling
        assert response.status == 200
        assert [request_id for request_id, *_ in target.runs] == ["r1"]

    run_scenario(scenario)


def test_a_host_that_stays_behind_refuses_soon():
    async def scenario(fleet):
        host = fleet.hosts[1]
        target = await restart_only_target(fleet)
        async with view_held(host):
            await fleet.store.write("servers/w1", target.entry())
            await wait_until(
                lambda: fleet.hosts[0].view.target("w1").started_at_ms == 2
            )
            response = await call(host, "/read/x", "r1")
        assert response.status == 503
        assert not target.arrivals

    run_scenario(scenario)
