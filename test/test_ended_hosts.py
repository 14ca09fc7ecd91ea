"""The store's actors of a host that has ended in a process that goes on."""

import asyncio
import contextlib
import threading

import pytest
import structlog
from result import Err, Ok
from structlog.testing import capture_logs

from lovagepier.logs import set_up_logs
from lovagepier.platform import PlatformStore, StoreFault
from test.entry_builders import entry_fleet, wait_until
from trials import cluster

ACTORS_END_S = 10.0


class _HeldCall:
    """A method of the store that returns `result` once it is released."""

    def __init__(self, result, released):
        self.began = threading.Event()
        self._result = result
        self._released = released

    def __call__(self, *args):
        self.began.set()
        self._released.wait()
        return self._result


async def _end(host, task, way):
    """End a host as a signal does, or cancel it; return after its end."""
    if way == "stop":
        host._stopping.set()
    else:
        task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@pytest.fixture
def debug_logs():
    """Log at debug level, whatever tests before have set."""
    before = structlog.get_config()
    set_up_logs("debug")
    with capture_logs() as logs:
        yield logs
    structlog.configure(**before)


@pytest.mark.parametrize("way", ["stop", "cancel"])
def test_calls_to_the_store_may_end_after_their_host(way, debug_logs, monkeypatch):
    """One call fails and one succeeds after the event loop is closed."""
    released = threading.Event()
    watch = _HeldCall(Err(StoreFault(0, "cut")), released)
    renewal = _HeldCall(Ok(None), released)

    async def run():
        async with entry_fleet(shutdown={"grace": "2s"}) as fleet:
            # The host is to stop its actors itself.
            host = fleet.hosts.pop()
            monkeypatch.setattr(PlatformStore, "watch", watch)
            monkeypatch.setattr(PlatformStore, "renew_lease", renewal)
            await wait_until(lambda: watch.began.is_set() and renewal.began.is_set())
            await _end(host, fleet.tasks[0], way)
            return host._watcher, host._registrar

    actors = asyncio.run(run())
    released.set()
    try:
        cluster.wait_until(
            lambda: not any(actor.is_alive() for actor in actors),
            ACTORS_END_S,
            "the end of the actors",
        )
    finally:
        for actor in actors:
            actor.stop(block=False)
    assert [line for line in debug_logs if line["log_level"] == "error"] == []
    discarded = [line for line in debug_logs if "after the host's end" in line["event"]]
    assert {line["log_level"] for line in discarded} == {"debug"}
    assert len(discarded) == 2
