"""Which host is coordinator: by seniority, after restarts, without the store."""

import asyncio
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from lovagepier import platform
from lovagepier.decisions.membership.succession import rank_candidates
from lovagepier.entry._cluster.candidates import Candidates
from lovagepier.entry._cluster.followers import Followers
from lovagepier.entry._cluster.links import LinkCounts
from lovagepier.entry._cluster.outgoing import OutgoingLinks
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._store.view import StoreView, encode_host
from lovagepier.frames import FORMAT
from test.entry_builders import call, entry_fleet, settings, wait_until


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


class StandinLink:
    """What a host keeps of the last roster of a peer, which lists the peer alone."""

    def __init__(self, name, boot, draining):
        self.boot = boot
        self.roster = [[name, "10.0.0.1:80", "a1", draining, False, FORMAT, "0.1.0"]]


def register(view, revision, name, boot):
    key = f"lovagepier/hosts/{name}.{boot}"
    item = platform.Item(key, encode_host(name, "10.0.0.1:81"), revision, revision)
    view.on_events([platform.Event(key, revision, item)], revision, 0.0)


def test_hosts_that_drain_at_the_same_time_are_not_followed_again():
    """Replays two stops while the store keeps the registrations of both hosts.

    A follower went back to the host that its coordinator's roster did not list, and at
    that one's word on to the other. It was never long enough with the third host to
    get its roster.
    """

    async def scenario():
        cfg = parse_entry_settings(settings("n4", 1))
        view = StoreView()
        for number in range(1, 5):
            register(view, number, f"n{number}", "first")
        outgoing = OutgoingLinks(None, None, None, LinkCounts())
        followers = Followers(cfg, view, None, "first")
        candidates = Candidates(cfg, view, outgoing, followers, "first")
        for name, draining in (("n1", True), ("n2", True), ("n3", False)):
            outgoing.links[name] = StandinLink(name, "first", draining)
        for link in list(outgoing.links.values()):
            assert candidates.names(link.roster) == ["n3", "n4"]
        # A restarted host is followed by its place.
        outgoing.links["n1"] = StandinLink("n1", "second", False)
        register(view, 5, "n1", "second")
        assert candidates.names(outgoing.links["n3"].roster) == ["n3", "n4", "n1"]

    asyncio.run(scenario())
