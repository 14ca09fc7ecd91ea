"""Rosters: what a coordinator sends to the hosts that linked to it."""

import asyncio
import random

from lovagepier.entry._cluster.followers import Followers
from lovagepier.entry._cluster.messages import Heartbeat
from lovagepier.entry._coordination.coordinator import Coordinator
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._store.view import StoreView
from test.coordinator_builders import StandinLink
from test.entry_builders import settings


def heartbeat(name, **fields):
    values = {
        "name": name,
        "is_follower": True,
        "zone": "a1",
        "caller_address": "10.0.0.1:80",
        "draining": False,
        "version": 1,
        "as_of": 1,
        "store_age": 0.0,
    }
    return Heartbeat(**{**values, **fields})


def test_rosters_repeat_hosts_only_when_a_row_changed():
    async def scenario():
        cfg = parse_entry_settings(settings("n0", 1))
        view = StoreView()
        coordinator = Coordinator(cfg, view, random.Random(1), None, None)
        followers = Followers(cfg, view, coordinator, "boot")
        first, second = StandinLink(), StandinLink()
        followers.on_heartbeat(first, heartbeat("n1"))
        assert [row[0] for row in followers.roster(first).hosts] == ["n0", "n1"]
        followers.on_heartbeat(first, heartbeat("n1", as_of=7, store_age=1.0))
        assert followers.roster(first).hosts is None
        followers.on_heartbeat(second, heartbeat("n2"))
        assert len(followers.roster(first).hosts) == 3
        followers.on_heartbeat(second, heartbeat("n2", draining=True))
        assert followers.roster(first).hosts[2][3] is True
        followers.on_closed(second)
        assert [row[0] for row in followers.roster(first).hosts] == ["n0", "n1"]
        followers.announce_draining()
        assert followers.host_rows()[0][3] is True

    asyncio.run(scenario())
