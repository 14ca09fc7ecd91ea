"""What a crash shows reaches all hosts at once: its coordinator may be lost next."""

import asyncio

import pytest

from lovagepier.entry._cluster.followers import MIN_PUSH_INTERVAL_S, Followers
from lovagepier.entry._cluster.host_messages import HostMessages
from lovagepier.entry._cluster.messages import DispatchResult, Heartbeat, TargetDown
from test.coordinator_builders import (
    StandinLink,
    make_cfg,
    make_coordinator,
    make_request,
    make_view,
)

BODY = "fingerprint"


class CoordinatorHost:
    """The coordinator of two other hosts, with a few targets; no clock runs."""

    def __init__(self, target_count=3):
        cfg = make_cfg("n0")
        self.view = make_view(target_count, slots=4)
        self.granted = {}
        self.coordinator = make_coordinator(cfg, self.view, self._answer)
        self.followers = Followers(cfg, self.view, self.coordinator, "boot")
        self.messages = HostMessages(self.coordinator, self.followers, None)
        self.links = [StandinLink(), StandinLink()]
        for name, link in zip(("n1", "n2"), self.links, strict=True):
            beat = Heartbeat(name, True, "a1", "10.0.0.1:80", False, 1, 1, 0.0)
            self.followers.on_heartbeat(link, beat)
        # They know the hosts.
        for link in self.links:
            self.followers.roster(link)

    def _answer(self, entry, message):
        self.granted[message.id] = message.target

    def dispatch(self, request_id, fingerprint, now):
        """Have a request of n1 granted; return its target."""
        req = make_request(request_id, fingerprint=fingerprint)
        self.messages.handle("n1", req, now)
        return self.granted[request_id]

    def end(self, request_id, status, now):
        """Report how a request ended, and that its target is down if it vanished."""
        name = self.granted[request_id]
        result = DispatchResult(request_id, name, status, None, None, 0)
        self.messages.handle("n1", result, now)
        if status == "vanished":
            target = self.view.targets[name]
            down = TargetDown("read", name, target.incarnation)
            self.messages.handle("n1", down, now)


def play(scenario):
    async def run():
        host = CoordinatorHost()
        scenario(host)
        # What is due goes out before anything that takes time.
        await asyncio.sleep(0)
        return host

    return asyncio.run(run())


def crash(host, number):
    host.dispatch(f"r{number}", BODY, float(number))
    host.end(f"r{number}", "vanished", number + 0.1)


def test_suspects_are_sent_at_once():
    host = play(lambda host: crash(host, 1))
    for link in host.links:
        assert [row[0] for row in link.sent[-1].suspects] == [BODY]


def test_what_is_proved_is_sent_at_once():
    def scenario(host):
        crash(host, 1)
        crash(host, 2)

    host = play(scenario)
    for link in host.links:
        assert link.sent[-1].poisoned == [BODY]


def test_what_is_proved_is_sent_at_once_after_other_rosters():
    async def run():
        host = CoordinatorHost()
        crash(host, 1)
        await asyncio.sleep(0)
        crash(host, 2)
        await asyncio.sleep(0)
        for link in host.links:
            assert [roster.poisoned for roster in link.sent] == [[], [BODY]]

    asyncio.run(run())


def test_crashes_at_one_moment_are_sent_together():
    def scenario(host):
        for number in range(3):
            host.dispatch(f"r{number}", f"body{number}", 1.0)
        for number in range(3):
            host.end(f"r{number}", "vanished", 1.1)

    host = play(scenario)
    for link in host.links:
        assert len(link.sent) == 1


def test_crashes_one_after_the_other_are_sent_a_few_times():
    async def run():
        loop = asyncio.get_running_loop()
        host = CoordinatorHost(40)
        began_at = loop.time()
        for number in range(1, 40):
            host.dispatch(f"r{number}", f"body{number}", float(number))
            host.end(f"r{number}", "vanished", number + 0.1)
            await asyncio.sleep(0.005)
        await asyncio.sleep(MIN_PUSH_INTERVAL_S)
        most = 1 + (loop.time() - began_at) / MIN_PUSH_INTERVAL_S
        for link in host.links:
            assert 2 <= len(link.sent) <= most

    asyncio.run(run())


@pytest.mark.parametrize("status", ["ok", "failed", "unreachable", "returned"])
def test_other_results_send_nothing(status):
    def scenario(host):
        host.dispatch("r1", BODY, 1.0)
        host.end("r1", status, 1.1)

    host = play(scenario)
    assert [link.sent for link in host.links] == [[], []]
