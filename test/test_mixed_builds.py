"""Hosts of an old build beside the new one, as processes, replaced under traffic."""

import asyncio
import re
import signal

import pytest

from test.entry_builders import call, wait_until
from test.old_builds import extract_build
from test.test_target_limits import allowed, most_in_a_window
from trials.soak_fleet import Fleet

CALLERS = 6
# A change of the coordinator takes a second, see `entry._cluster.outgoing`; the rest
# is for four processes and their callers on a busy machine.
ONE_COORDINATOR_S = 6.0
STEP_S = 0.7
STOP_S = 12.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
LIMIT_PER_S = 4.0
# By then all hosts had a response of each target.
LIMIT_KNOWN_AFTER_S = 1.0


class MixedFleet:
    """A fleet of processes under traffic, whose hosts are replaced by another build."""

    def __init__(self, folder, builds, is_mixed):
        self.builds = builds
        self.fleet = Fleet(folder, None, builds["old"] if is_mixed else None)
        self.killed = set()
        self.answers = []
        self.lost = []
        self._number = 0
        self._is_over = False
        self._tasks = []

    async def start(self, build):
        """Start with one build; in a mixed fleet with every other host on each."""
        await self.fleet.start(self.builds[build])
        self._tasks = [asyncio.create_task(self._call()) for _ in range(CALLERS)]

    async def _call(self):
        """Call hosts that serve, one request after the other, until the end."""
        while not self._is_over:
            self._number += 1
            number = self._number
            hosts = self.fleet.live_hosts()
            host = hosts[number % len(hosts)]
            name = ("read", "file", "talk")[number % 3]
            request_id = f"{name}-{number}"
            method = "POST" if name == "file" else "GET"
            body = b"x" if name == "file" else b""
            try:
                response = await call(
                    host, f"/{name}/x", request_id, method=method, body=body
                )
            except (OSError, EOFError, TimeoutError) as exc:
                self.lost.append((request_id, host.name, type(exc).__name__))
            else:
                self.answers.append((request_id, host.name, response))

    async def replace(self, host, build):
        """Stop a host as an operator does, and start it with another build."""
        host.is_stopped = True
        host.signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_S):
            await host.process.wait()
        host.build_folder = self.builds[build]
        await host.start()
        await wait_until(host.has_started, 10.0)
        await self.one_coordinator()
        await asyncio.sleep(STEP_S)

    async def kill(self, host):
        """Kill a host; what its callers lose is not held against it."""
        host.is_stopped = True
        self.killed.add(host.name)
        await host.kill()
        return await self.one_coordinator()

    async def start_again(self, host):
        """Start a host that was killed."""
        await host.start()
        await wait_until(host.has_started, 10.0)
        return await self.one_coordinator()

    def count(self, *routes):
        """Return how many requests of some routes were answered."""
        return sum(each[0].partition("-")[0] in routes for each in self.answers)

    async def rollout_state(self):
        """Return the state of the ledger's rollout once it has ended."""

        def state():
            return (self.fleet.store.value("status/rollout/ledger") or {}).get("state")

        await wait_until(lambda: state() not in (None, "running"), 10.0)
        return state()

    def host(self, name):
        return next(host for host in self.fleet.hosts if host.name == name)

    async def one_coordinator(self):
        """Wait until all hosts use the same coordinator; return its name."""
        hosts = self.fleet.live_hosts()
        await wait_until(
            lambda: len({coordinator_of(host) for host in hosts}) == 1,
            ONE_COORDINATOR_S,
        )
        return coordinator_of(hosts[0])

    async def coordinated_by(self, name):
        """Wait until all hosts use a certain host's coordinator."""
        hosts = self.fleet.live_hosts()
        await wait_until(
            lambda: {coordinator_of(host) for host in hosts} == {name},
            ONE_COORDINATOR_S,
        )

    async def close(self):
        self._is_over = True
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.fleet.close()


def _own_log(host):
    return host.log.read_bytes()[host._log_begin :].decode()


def coordinator_of(host):
    """Return which host's coordinator a host uses, by its log."""
    homes = re.findall(r'"home": "([^"]*)"[^\n]*switched coordinator', _own_log(host))
    return homes[-1] if homes else host.name


def check_promises(mixed, max_failed):
    """Check what callers and targets saw; `max_failed` is a fraction of the calls."""
    runs = mixed.fleet.runs()
    twice = [i for i, count in runs.items() if i.startswith("file") and count > 1]
    assert not twice
    failed = []
    for request_id, host, response in mixed.answers:
        if response.status == 200:
            assert response.headers.get("x-server-seal")
            named = response.headers.get("x-request-id", request_id)
            assert named == request_id
        elif response.status in (408, 421, 429, 503):
            assert not (request_id.startswith("file") and runs[request_id])
            failed.append((request_id, host, response.status))
        else:
            failed.append((request_id, host, response.status))
    assert not [each for each in mixed.lost if each[1] not in mixed.killed]
    assert len(failed) <= len(mixed.answers) * max_failed
    logs = {host.name: host.log.read_text() for host in mixed.fleet.hosts}
    for name, log in logs.items():
        assert "malformed frame" not in log, name
        assert "could not handle a message" not in log, name
        assert "unexpected error" not in log, name


def play(commit, tmp_path, scenario, is_mixed=False, max_failed=0.01):
    """Start a fleet of the old build, play a scenario on it and check the promises.

    In a mixed fleet every other host starts with the new build.
    """
    old = extract_build(commit, tmp_path / "old")
    folder = tmp_path / "fleet"
    folder.mkdir()

    async def run():
        mixed = MixedFleet(folder, {"old": old, "new": None}, is_mixed)
        try:
            await mixed.start("new" if is_mixed else "old")
            await scenario(mixed, await mixed.one_coordinator())
        finally:
            await mixed.close()
        check_promises(mixed, max_failed)

    asyncio.run(run())


@pytest.mark.parametrize("commit", ["3794c33", "0953dc6", "cff0e99"])
def test_hosts_are_replaced_one_after_the_other_and_back(
    cases, commit, tmp_path_factory
):
    """Replaces two hosts, takes one back, then replaces all of them.

    The newest build decides: the first host that is replaced, then the other one.
    """

    async def scenario(mixed, home):
        first, second, third, _ = (
            host
            for host in [*mixed.fleet.hosts, None]
            if host is None or host.name != home
        )
        await mixed.replace(first, "new")
        assert await mixed.one_coordinator() == first.name
        await mixed.replace(second, "new")
        assert await mixed.one_coordinator() == first.name
        await mixed.replace(first, "old")
        assert await mixed.one_coordinator() == second.name
        await mixed.fleet.write_config()
        for host in (first, third, mixed.host(home)):
            await mixed.replace(host, "new")
            assert await mixed.one_coordinator() == second.name

    def play_commit(commit):
        play(commit, tmp_path_factory.mktemp(commit), scenario)

    cases.play(play_commit)


@pytest.mark.parametrize("commit", ["3794c33", "0953dc6"])
def test_a_replaced_coordinator_does_not_part_the_fleet(
    cases, commit, tmp_path_factory
):
    """Replaces the coordinator, whose successor takes it for draining for good."""

    async def scenario(mixed, home):
        await mixed.replace(mixed.host(home), "new")
        next_home = await mixed.one_coordinator()
        assert next_home != home
        assert "registering without precedence" in mixed.host(home).log.read_text()
        others = [h for h in mixed.fleet.hosts if h.name not in (home, next_home)]
        await mixed.replace(others[0], "new")
        await mixed.one_coordinator()

    def play_commit(commit):
        play(commit, tmp_path_factory.mktemp(commit), scenario)

    cases.play(play_commit)


@pytest.mark.parametrize("commit", ["3794c33", "0953dc6"])
def test_hosts_of_either_build_take_over_from_a_killed_one(
    cases, commit, tmp_path_factory
):
    """Kills the deciding host until an old one decides, and begins anew."""

    async def scenario(mixed, home):
        assert mixed.host(home).build_folder is None
        second = await mixed.kill(mixed.host(home))
        assert mixed.host(second).build_folder is None
        third = await mixed.kill(mixed.host(second))
        assert mixed.host(third).build_folder is not None
        await mixed.fleet.write_config()
        await asyncio.sleep(STEP_S)
        for name in (home, second):
            await mixed.start_again(mixed.host(name))

    def play_commit(commit):
        play(commit, tmp_path_factory.mktemp(commit), scenario, is_mixed=True)

    cases.play(play_commit)


@pytest.mark.parametrize("commit", ["3794c33", "0953dc6"])
def test_a_mixed_fleet_keeps_a_bad_version_and_a_limit_within_bounds(
    cases, commit, tmp_path_factory
):
    """Orders a failing version, states a limit, and kills the deciding host."""

    async def scenario(mixed, home):
        fleet = mixed.fleet
        limited = [t for t in fleet.targets.values() if t.service == "ledger"]
        for target in limited:
            target.limit = LIMIT_PER_S
        limited_since = asyncio.get_running_loop().time() + LIMIT_KNOWN_AFTER_S
        new = await fleet.add_target("ledger")
        new.version = "v2"
        new.mode = "error"
        await fleet.publish(new)
        await asyncio.sleep(STEP_S)
        order = {"service": "ledger", "target": "v2", "duration_s": 6.0}
        sent_before = mixed.count("read", "file")
        await fleet.store.write("op/rollout/ledger", order)
        await asyncio.sleep(0.5)
        await mixed.kill(mixed.host(home))
        state = await mixed.rollout_state()
        assert state == "rolled_back"
        sent = mixed.count("read", "file") - sent_before
        assert len(new.runs) <= EXPOSURE_SHARE * sent + EXPOSURE_SLACK
        await mixed.start_again(mixed.host(home))
        seen = len(new.runs)
        await asyncio.sleep(STEP_S)
        assert len(new.runs) == seen
        for target in limited:
            arrived = [at for at in target.arrived_at if at >= limited_since]
            assert most_in_a_window(arrived) <= allowed(LIMIT_PER_S)

    # Callers get the bad version's errors, and refusals beyond the limit.
    def play_commit(commit):
        play(
            commit,
            tmp_path_factory.mktemp(commit),
            scenario,
            is_mixed=True,
            max_failed=1.0,
        )

    cases.play(play_commit)
