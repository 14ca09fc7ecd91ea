"""Hosts of an old build beside the new one, as processes, replaced under traffic."""

import asyncio
import re
import signal

import pytest

from test.entry_builders import call, wait_until
from test.old_builds import extract_build
from trials.soak_fleet import Fleet

CALLERS = 6
# A change of the coordinator takes a second, see `entry._outgoing`; the rest is for
# four processes and their callers on a busy machine.
ONE_COORDINATOR_S = 6.0
STEP_S = 0.7
STOP_S = 12.0


class MixedFleet:
    """A fleet of processes under traffic, whose hosts are replaced by another build."""

    def __init__(self, folder, builds):
        self.builds = builds
        self.fleet = Fleet(folder, None)
        self.answers = []
        self.lost = []
        self._number = 0
        self._is_over = False
        self._tasks = []

    async def start(self, build):
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

    def host(self, name):
        return next(host for host in self.fleet.hosts if host.name == name)

    async def one_coordinator(self):
        """Wait until all hosts use the same coordinator; return its name."""
        hosts = self.fleet.live_hosts()
        await wait_until(
            lambda: len({_home(host) for host in hosts}) == 1, ONE_COORDINATOR_S
        )
        return _home(hosts[0])

    async def close(self):
        self._is_over = True
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.fleet.close()


def _own_log(host):
    return host.log.read_bytes()[host._log_begin :].decode()


def _home(host):
    homes = re.findall(r'"home": "([^"]*)"[^\n]*switched coordinator', _own_log(host))
    return homes[-1] if homes else host.name


def check_promises(mixed):
    """Check what callers and targets saw."""
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
    assert not mixed.lost
    assert len(failed) <= len(mixed.answers) // 100
    logs = {host.name: host.log.read_text() for host in mixed.fleet.hosts}
    for name, log in logs.items():
        assert "malformed frame" not in log, name
        assert "could not handle a message" not in log, name
        assert "unexpected error" not in log, name


def play(commit, tmp_path, scenario):
    """Start a fleet of the old build, play a scenario on it and check the promises."""
    old = extract_build(commit, tmp_path / "old")
    folder = tmp_path / "fleet"
    folder.mkdir()

    async def run():
        mixed = MixedFleet(folder, {"old": old, "new": None})
        try:
            await mixed.start("old")
            await scenario(mixed, await mixed.one_coordinator())
        finally:
            await mixed.close()
        check_promises(mixed)

    asyncio.run(run())


@pytest.mark.parametrize("commit", ["3794c33", "0953dc6"])
def test_hosts_are_replaced_one_after_the_other_and_back(commit, tmp_path):
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

    play(commit, tmp_path, scenario)


@pytest.mark.parametrize("commit", ["3794c33", "0953dc6"])
def test_a_replaced_coordinator_does_not_part_the_fleet(commit, tmp_path):
    """Replaces the coordinator, whose successor takes it for draining for good."""

    async def scenario(mixed, home):
        await mixed.replace(mixed.host(home), "new")
        next_home = await mixed.one_coordinator()
        assert next_home != home
        assert "registering without precedence" in mixed.host(home).log.read_text()
        others = [h for h in mixed.fleet.hosts if h.name not in (home, next_home)]
        await mixed.replace(others[0], "new")
        await mixed.one_coordinator()

    play(commit, tmp_path, scenario)
