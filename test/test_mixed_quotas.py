"""A quota nearly spent through hosts of two builds, as processes.

Callers send all the time more than their account may, and some leave while they wait
and come back. The coordinator changes to the other build and back.
"""

import asyncio
import signal

import pytest

from test.entry_builders import KEY
from test.metered_fleet import MeteredFleet, Quota
from test.old_builds import extract_build
from test.test_mixed_builds import STOP_S, check_promises

QUOTA = Quota(rate_per_s=3.0, burst=30.0, slack=5.0)
# More callers of another account than the two targets have places, so that some wait.
SLOTS, WORK_S = 2, 0.15
BUSY_CALLERS = 10
STAYING, LEAVING = 10, 4
PHASE_S = 3.0
# Cores of the hosts, so that one of the old build (n1) and one of the new build (n2)
# coordinate in this order.
CORES = {
    "old": {"n1": 2, "n2": 0.5, "n3": 0.4, "n4": 0.4},
    "new": {"n2": 2, "n1": 2, "n3": 0.4, "n4": 0.4},
}
ORDER = {"old": ("n1", "n2"), "new": ("n2", "n1")}


async def play(mixed, first, signum):
    """Change the coordinator from the build `first` to the other one and back."""
    await mixed.start_hosts()
    for target in mixed.fleet.targets.values():
        target.work_s = WORK_S
        target.slots = SLOTS
        await mixed.fleet.publish(target)
    paths = "/read/x", "/file/x"
    mixed.begin(
        *(mixed.stay("blue", KEY, *paths) for _ in range(BUSY_CALLERS)),
        *(mixed.stay("metered", "metered", *paths) for _ in range(STAYING)),
        mixed.keep_within("/read/x"),
    )

    def begin_leaving():
        mixed.begin(*(mixed.leave(*paths) for _ in range(LEAVING)))

    before, after = ORDER[first]
    await mixed.coordinated_by(before)
    if first == "new":
        begin_leaving()
    await mixed.spent()
    host = mixed.host(before)
    host.is_stopped = True
    if signum == signal.SIGKILL:
        mixed.killed.add(before)
    host.signal(signum)
    await mixed.coordinated_by(after)
    if first == "old":
        # Before, they would use up the quota: an older coordinator gives nothing back.
        begin_leaving()
    await asyncio.sleep(PHASE_S)
    async with asyncio.timeout(STOP_S):
        await host.process.wait()
    await mixed.start_again(host)
    await asyncio.sleep(PHASE_S / 2)


@pytest.mark.parametrize(
    "commit, first, signum",
    [
        ("3794c33", "old", signal.SIGKILL),
        ("0953dc6", "new", signal.SIGTERM),
        ("9a1d31e", "old", signal.SIGTERM),
        ("9a1d31e", "new", signal.SIGKILL),
    ],
)
def test_a_quota_nearly_spent_holds_while_the_coordinator_changes_builds(
    cases, commit, first, signum, tmp_path_factory
):
    def run(commit, first, signum):
        folder = tmp_path_factory.mktemp(commit)
        builds = {"old": extract_build(commit, folder / "old"), "new": None}
        mixed = MeteredFleet(folder, builds, QUOTA, CORES[first])

        async def run():
            try:
                await play(mixed, first, signum)
            finally:
                await mixed.close()

        asyncio.run(run())
        check_promises(mixed, max_failed=1.0)
        mixed.check_quotas()
        if first == "new":
            assert mixed.left - set(mixed.ran())

    # The cases make their folders at the same time, in threads.
    tmp_path_factory.getbasetemp()
    cases.play(run)
