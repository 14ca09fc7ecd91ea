"""Grants that a call can no longer use are returned, so that no slot stays taken."""

import asyncio

import pytest

from lovagepier.entry._callers import exchange as _exchange
from lovagepier.entry._callers import stream_relay as _stream_relay
from lovagepier.entry._cluster.requests import Requests
from lovagepier.entry._targets.checks import TargetChecks
from test.entry_builders import connect, entry_fleet, raw_request, wait_until
from test.stream_targets import Answer, StreamTargets, chunk, head, piece

# An event, then silence: another target is asked for after 0.1 s.
SILENT = Answer(head(), chunk(piece(1)), end="silent")


def play(scenario):
    async def run():
        async with entry_fleet(targets=False) as fleet:
            targets = StreamTargets(fleet)
            await targets.renew(2)
            targets.play(SILENT)
            host = fleet.hosts[0]
            _, writer = await connect(host)
            body = b"{}"
            writer.write(raw_request("/talk/x", "r1", method="POST", body=body))
            await scenario(host, writer)
            assert not host.cluster.requests._running
            assert len(targets.asked) == 1

    asyncio.run(run())


@pytest.fixture(autouse=True)
def quick_silence(monkeypatch):
    monkeypatch.setattr(_stream_relay, "MIN_SILENCE_TIMEOUT_S", 0.1)


def test_a_caller_that_leaves_while_the_lost_target_is_checked(monkeypatch):
    checked = []
    monkeypatch.setattr(_exchange, "CHECK_WAIT_S", 5.0)
    monkeypatch.setattr(
        TargetChecks, "start", lambda self, target, report: checked.append(report)
    )

    async def scenario(host, writer):
        # The next target is granted already.
        await wait_until(lambda: checked)
        writer.transport.abort()
        await wait_until(lambda: not host.frontend.open_connections)
        checked[0](False)

    play(scenario)


def test_a_caller_that_leaves_at_the_moment_of_the_grant(monkeypatch):
    grants = []
    on_answer = Requests.on_answer

    async def scenario(host, writer):
        def leave_after(self, message):
            on_answer(self, message)
            grants.append(message)
            if len(grants) == 2:
                # The task that waits for the grant ends first, then the call's.
                (conn,) = host.frontend._caller_conns
                asyncio.get_running_loop().call_soon(conn._on_disconnect)

        monkeypatch.setattr(Requests, "on_answer", leave_after)
        await wait_until(lambda: len(grants) == 2)
        await wait_until(lambda: not host.frontend.is_serving)
        writer.transport.abort()
        await asyncio.sleep(0.3)

    play(scenario)
