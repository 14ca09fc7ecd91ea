"""One entry host as its own process, its use of memory, and callers that misbehave."""

import asyncio
import contextlib
import os
import sys
import time

from lovagepier.entry._settings import parse_entry_settings
from test.entry_builders import (
    KEY,
    config,
    raw_request,
    read_response,
    route,
    settings,
    wait_until,
)
from test.platform_standins import StoreStandin, TargetStandin, response_bytes

MIB = 1 << 20
# A host without callers takes 36 MB, so half of this leaves 12 MB unused.
MEMORY_MB = 96
# The part of `memory_mb` by which callers may raise the memory of a host.
CALLERS_SHARE = 0.5
MAX_BODY_BYTES = 4 * MIB
# Ends a test that hangs. On the code without bounds, the floods that block a host do
# so for longer.
HANG_GUARD_S = 15.0
RESPONSE_BYTES = 2 * MIB


class LargeTarget(TargetStandin):
    """A target whose answer to an id that begins with "large" is `RESPONSE_BYTES`."""

    async def _ok(self, writer, seal, headers, request_id):
        if request_id.startswith("large"):
            body = bytes(RESPONSE_BYTES)
            writer.write(response_bytes(200, body, seal))
        else:
            await super()._ok(writer, seal, headers, request_id)


class HostProcess:
    """A running host; `calm_kb` is its memory before the flood."""

    def __init__(self, process, cfg):
        self.process = process
        self.cfg = cfg
        self.calm_kb = 0
        self.calm_fds = 0

    @property
    def peak_kb(self):
        """The most memory that the process had so far."""
        with open(f"/proc/{self.process.pid}/status") as lines:
            for line in lines:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1])
        raise ProcessLookupError

    @property
    def open_fds(self):
        """Number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    @property
    def raised_mb(self):
        """By how much the flood raised the peak of the process's memory."""
        return (self.peak_kb - self.calm_kb) / 1024

    async def ask(self, path="/read/x", endpoint="listen", **options):
        """Send one ordinary request; return its status."""
        async with asyncio.timeout(HANG_GUARD_S):
            reader, writer = await connect(self, endpoint)
            writer.write(raw_request(path, f"ask-{time.monotonic_ns()}", **options))
            resp = await read_response(reader)
            writer.close()
            return resp.status


async def connect(host, endpoint="listen"):
    """Connect to an endpoint: listen, directory, ready, metrics or peers."""
    name = f"{endpoint}_listen" if endpoint in ("metrics", "peers") else None
    return await asyncio.open_connection(
        *getattr(host.cfg, name or f"callers_{endpoint}")
    )


@contextlib.asynccontextmanager
async def host_process(path, limits=(), **host):
    """Start a store, a target and a host with `MEMORY_MB`; wait until it serves."""
    store = await StoreStandin().start()
    target = await LargeTarget("w1", "ledger").start()
    bounds = {
        "max_header_bytes": 16384,
        "max_body_bytes": MAX_BODY_BYTES,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        **dict(limits),
    }
    # Requests don't end before the flood does.
    routes = [
        route(name, "idempotent", "ledger", timeout_ms=60_000)
        for name in ("read", "file")
    ]
    await store.write("op/config", config(limits=bounds, routes=routes))
    await store.write("servers/w1", target.entry())
    text = settings("n1", store.port, host={"memory_mb": MEMORY_MB, **host})
    path.write_text(text)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lovagepier.entry",
        env={**os.environ, "LOVAGEPIER_NODE_FILE": str(path)},
        stdout=asyncio.subprocess.DEVNULL,
    )
    try:
        made = HostProcess(process, parse_entry_settings(text))
        await _wait_until_serving(made)
        yield made
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        await target.stop()
        await store.stop()


async def _wait_until_serving(host):
    async with asyncio.timeout(HANG_GUARD_S):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await host.ask() == 200:
                    break
            await asyncio.sleep(0.05)
    # The largest body and the large response are part of calm.
    assert await host.ask("/file/x", method="POST", body=bytes(MAX_BODY_BYTES)) == 200
    await asyncio.sleep(0.5)
    with open(f"/proc/{host.process.pid}/clear_refs", "w") as clear:
        # Resets VmHWM, so that calm is what the process uses between requests.
        clear.write("5")
    host.calm_kb, host.calm_fds = host.peak_kb, host.open_fds


def post_head(path="/file/x", length=None, fields=(), key=KEY):
    """Return the head of a POST request, chunked unless a length is given."""
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    raw = raw_request(path, f"r{time.monotonic_ns()}", "PUT", key, [framing, *fields])
    return raw


async def _send(host, endpoint, pieces, pause_s, reads, gate):
    """Send the pieces; then stay connected until cancelled or closed by the host."""
    writer = None
    try:
        # More at a time would overflow the backlog and connect a second later.
        async with gate:
            reader, writer = await connect(host, endpoint)
        if not reads:
            reader._transport.pause_reading()
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
        await asyncio.Event().wait()
    except OSError:
        pass
    finally:
        if writer is not None:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def flood(host, count, pieces, endpoint="listen", pause_s=0, reads=False):
    """Have `count` connections send what `pieces()` yields, for the block's length."""
    gate = asyncio.Semaphore(20)
    tasks = [
        asyncio.create_task(_send(host, endpoint, pieces(), pause_s, reads, gate))
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def settle(host, seconds=3.0):
    """Let the clients send; watch the descriptors; return the most that were open."""
    most = 0
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        most = max(most, host.open_fds)
        await asyncio.sleep(0.05)
    return most


async def check_sound(host):
    """Check the memory bound, and that each listener still answers an ordinary one."""
    assert await host.ask() == 200
    assert await host.ask("/", "ready") == 200
    assert await host.ask("/", "metrics") == 200
    assert host.process.returncode is None
    raised_mb = host.raised_mb
    print(f"raised by {raised_mb:.1f} MB from {host.calm_kb / 1024:.1f} MB")
    assert raised_mb <= CALLERS_SHARE * MEMORY_MB
    assert host.peak_kb <= MEMORY_MB * 1024


async def wait_for_fds(host, most):
    """Wait until the process has at most `most` descriptors open."""
    await wait_until(lambda: host.open_fds <= most, HANG_GUARD_S)
