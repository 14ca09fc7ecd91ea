"""Which host is coordinator: by seniority, after restarts, without the store."""

import asyncio
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from lovagepier.decisions.succession import rank_candidates
from lovagepier.entry._store.view import encode_host
from test.entry_builders import call, entry_fleet, wait_until


@dataclass
class Registration:
    """What `rank_candidates` reads of a registered host."""

    name: str
    capacity_score: int
    create_revision: int


hosts = st.lists(
    st.tuples(st.integers(0, 4), st.integers(0, 1000)), max_size=9, unique=True
).map(
    lambda rows: [
        Registration(f"n{number}", score, revision)
        for number, (score, revision) in enumerate(rows)
    ]
)
names = st.sets(st.sampled_from([f"n{number}" for number in range(9)]))


@given(hosts, names, names, st.booleans())
def test_hosts_that_see_the_same_registrations_choose_alike(
    members, stale, draining, own_last
):
    first = []
    for host in members:
        ranked = rank_candidates(members, host.name, stale, draining, False)
        assert host.name in ranked
        assert len(set(ranked)) == len(ranked)
        first += [name for name in ranked[:1] if name not in stale | draining]
    assert len(set(first)) <= 1
    ranked = rank_candidates(members, "n0", stale, draining, own_last)
    if own_last or "n0" not in {host.name for host in members}:
        assert ranked[-1] == "n0"


def test_capacity_goes_before_age():
    members = [Registration("old", 1, 5), Registration("strong", 4, 9)]
    assert rank_candidates(members, "new", set(), set(), False) == [
        "strong",
        "old",
        "new",
    ]


def run_scenario(scenario, hosts):
    async def run():
        async with entry_fleet(hosts=hosts) as fleet:
            # A host whose watch ends before it has the others has no host to follow.
            await wait_until(
                lambda: all(len(h.view.members()) == hosts for h in fleet.hosts)
            )
            await scenario(fleet)

    asyncio.run(run())


def test_a_restarted_host_does_not_inherit_its_earlier_seniority():
    """Replays the start after a loss of all hosts, with old registrations listed.

    Hosts switched to each host that came back, and away when it registered anew.
    """

    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: second.cluster.coordinator_name == "n1")
        second._registrar.stop(block=False)
        await fleet.store.remove(next(k for k in fleet.store.items if "/n2." in k))
        host, port = second.cfg.peers_listen
        earlier = encode_host("n2", f"{host}:{port}", 9)
        await fleet.store.write("lovagepier/hosts/n2.before", earlier)
        await wait_until(
            lambda: all("n2.before" in " ".join(h.view.hosts) for h in fleet.hosts)
        )
        await wait_until(lambda: first.cluster._outgoing.is_known("n2"))
        assert first.cluster.coordinator_name == "n1"
        assert second.cluster.coordinator_name == "n1"
        assert (await call(second, "/read/x", "r1")).status == 200

    run_scenario(scenario, hosts=2)


def lapse(host):
    """Let a host's registration lapse as if its renewals had failed for a while."""
    host._registrar.stop(block=False)
    now = host._loop.time()
    host.cluster.candidates.on_registered(now - 10.0, now)


def test_a_coordinator_cut_off_from_the_store_follows_the_next_one():
    """Replays a cut that hits the coordinator: all others follow the next host."""

    async def scenario(fleet):
        first, second, third = fleet.hosts
        await wait_until(
            lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n1"}
        )
        first._watcher.stop(block=False)
        lapse(first)
        await fleet.store.remove(next(k for k in fleet.store.items if "/n1." in k))
        await wait_until(
            lambda: {h.cluster.coordinator_name for h in fleet.hosts} == {"n2"}
        )
        assert (await call(first, "/read/x", "r1")).status == 200
        assert "n1" in {row[0] for row in second.cluster.live_hosts()}
        assert second.coordinator._pools.share == 1.0

    run_scenario(scenario, hosts=3)


def test_the_coordinator_stays_while_the_store_answers_no_host():
    async def scenario(fleet):
        first, second = fleet.hosts
        await wait_until(lambda: second.cluster.coordinator_name == "n1")
        for host in fleet.hosts:
            host._watcher.stop(block=False)
            lapse(host)
        # The last answers came before the renewals failed.
        first.cluster.candidates._renewed_at = first._loop.time()
        heartbeats = first.cluster._rounds + 3
        await wait_until(lambda: first.cluster._rounds >= heartbeats)
        assert not first.cluster.candidates.has_lapsed()
        assert first.cluster.coordinator_name == "n1"
        assert (await call(second, "/read/x", "r1")).status == 200

    run_scenario(scenario, hosts=2)


def test_a_stronger_host_that_drained_is_followed_again_after_its_restart():
    """Stops the coordinator, which says that it drains, and starts it again.

    Its successor kept the word of its former coordinator, and never followed it again.
    """

    async def scenario(fleet):
        (weak,) = fleet.hosts
        strong = await fleet.host("n2", host={"cores": "4"})
        await wait_until(lambda: weak.cluster.coordinator_name == "n2")
        await wait_until(lambda: weak.cluster._roster)
        strong._stopping.set()
        await wait_until(lambda: weak.cluster.coordinator_name == "n1")
        await wait_until(lambda: fleet.tasks[-1].done(), 10.0)
        again = await fleet.host("n2", host={"cores": "4"})
        await wait_until(
            lambda: {h.cluster.coordinator_name for h in (weak, again)} == {"n2"}
        )
        assert (await call(weak, "/read/x", "r1")).status == 200

    run_scenario(scenario, hosts=1)
