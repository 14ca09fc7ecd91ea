"""Hosts of two builds that can't reach each other for a time, as processes."""

import asyncio

import pytest

from test.entry_builders import KEY, wait_until
from test.metered_fleet import MeteredFleet, Quota
from test.old_builds import extract_build
from test.split_links import SplitStore
from test.test_mixed_builds import (
    LIMIT_KNOWN_AFTER_S,
    LIMIT_PER_S,
    ONE_COORDINATOR_S,
    check_promises,
    coordinator_of,
)
from test.test_target_limits import allowed, most_in_a_window

# Little burst: a quota given out twice for a time shows.
QUOTA = Quota(rate_per_s=6.0, burst=6.0, slack=15.0)
STAYING = 8
BEFORE_S, SPLIT_S, AFTER_S = 1.0, 5.0, 2.0
# n1 and n3 run the old build.
SIDES = {"builds": ("n1", "n3"), "mixed": ("n1", "n2")}


def chosen_by(mixed, names):
    """Return the coordinators that some hosts use."""
    return {coordinator_of(mixed.host(name)) for name in names}


def served_since(mixed, count, names):
    """Return which of some hosts gave a 200 after the first `count` responses."""
    rows = mixed.answers[count:]
    return {host for _, host, r in rows if r.status == 200} & set(names)


async def play(mixed, side, how):
    """Cut the links between a side and the others under traffic, then join them."""
    loop = asyncio.get_running_loop()
    names = [host.name for host in mixed.fleet.hosts]
    others = tuple(name for name in names if name not in side)
    await mixed.one_coordinator()
    limited = [t for t in mixed.fleet.targets.values() if t.service == "ledger"]
    for target in limited:
        target.limit = LIMIT_PER_S
    limited_since = loop.time() + LIMIT_KNOWN_AFTER_S
    await asyncio.sleep(BEFORE_S)
    await mixed.spent()
    store = mixed.fleet.store
    store.cut(side, how)
    for part in (side, others):
        await wait_until(
            lambda part=part: (
                len(each := chosen_by(mixed, part)) == 1 and each < set(part)
            ),
            ONE_COORDINATOR_S,
        )
    count = len(mixed.answers)
    await asyncio.sleep(SPLIT_S)
    assert not chosen_by(mixed, side) & chosen_by(mixed, others)
    assert served_since(mixed, count, names) == set(names)
    store.join()
    await mixed.one_coordinator()
    count = len(mixed.answers)
    await asyncio.sleep(AFTER_S)
    assert served_since(mixed, count, names) == set(names)
    await mixed.one_coordinator()
    for target in limited:
        arrived = [at for at in target.arrived_at if at >= limited_since]
        assert most_in_a_window(arrived) <= allowed(LIMIT_PER_S)


@pytest.mark.parametrize(
    "commit, sides, how",
    [
        ("3794c33", "builds", "silent"),
        ("0953dc6", "mixed", "reset"),
        ("9a1d31e", "builds", "reset"),
        ("9a1d31e", "mixed", "silent"),
    ],
)
def test_a_split_between_builds_keeps_limits_and_ends_with_one_coordinator(
    cases, commit, sides, how, tmp_path_factory
):
    def run(commit, sides, how):
        folder = tmp_path_factory.mktemp(commit)
        builds = {"old": extract_build(commit, folder / "old"), "new": None}
        mixed = MeteredFleet(folder, builds, QUOTA)
        store = mixed.fleet.store = SplitStore(mixed.fleet.hosts)

        async def run():
            try:
                await mixed.start_hosts()
                mixed.begin(
                    *(mixed.stay("file", KEY, "/file/x") for _ in range(2)),
                    *(mixed.stay("blue", KEY, "/read/x", "/talk/x") for _ in range(3)),
                    *(
                        mixed.stay("metered", "metered", "/note/x")
                        for _ in range(STAYING)
                    ),
                    mixed.keep_within("/talk/x"),
                )
                await play(mixed, SIDES[sides], how)
            finally:
                await mixed.close()
                await store.close_links()

        asyncio.run(run())
        check_promises(mixed, max_failed=1.0)
        mixed.check_quotas()

    # The cases make their folders at the same time, in threads.
    tmp_path_factory.getbasetemp()
    cases.play(run)
