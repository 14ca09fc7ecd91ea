"""Entry hosts, their settings and configuration, and raw HTTP callers for tests."""

import asyncio
import contextlib

from lovagepier.entry._host import EntryHost
from lovagepier.entry._settings import parse_entry_settings
from lovagepier.entry._sockets import open_sockets
from test.platform_standins import StoreStandin, TargetStandin
from trials.ports import free_port

KEY = "key-of-blue"
HOST = "api.example"


def settings(name, store_port, zone="a1", seeds="", **extra):
    """Return the INI text for a host on free ports; `extra` maps sections to keys."""
    ports = [free_port() for _ in range(5)]
    sections = {
        "host": {"name": name, "zone": zone, "region": "a", "first_start": "true"},
        "zones": {"a1": "a", "a2": "a"},
        "callers": {
            "listen": f"127.0.0.1:{ports[0]}",
            "directory": f"127.0.0.1:{ports[1]}",
            "ready": f"127.0.0.1:{ports[2]}",
        },
        "peers": {"listen": f"127.0.0.1:{ports[3]}", "seeds": seeds},
        "metrics": {"listen": f"127.0.0.1:{ports[4]}"},
        "store": {"address": f"127.0.0.1:{store_port}"},
    }
    for section, keys in extra.items():
        sections.setdefault(section, {}).update(keys)
    lines = []
    for section, keys in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in keys.items()]
    return "\n".join(lines)


def route(name, kind, service, **extra):
    """Return a route with prefix /NAME/ as in the stored configuration."""
    raw = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
    }
    raw.update(extra)
    return raw


def config(version=1, **extra):
    """Return a configuration as it is stored; `extra` replaces top-level entries."""
    raw = {
        "version": version,
        "routes": [
            route("read", "idempotent", "ledger"),
            route("file", "non_idempotent", "ledger", max_attempts=1),
            route("talk", "streaming", "model", stream_resume=True),
            route("note", "streaming", "model", max_attempts=1),
        ],
        "services": [
            {"name": "ledger", "max_conns": 100},
            {"name": "model", "max_conns": 100, "engine": {"slots": 4, "stride": 2}},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 10000,
            "header_timeout_ms": 400,
            "idle_timeout_ms": 900,
        },
        "tenants": [{"name": "blue", "api_keys": [KEY], "priority": 1}],
    }
    raw.update(extra)
    return raw


class EntryFleet:
    """A store, targets and entry hosts on one event loop."""

    def __init__(self):
        self.store = None
        self.targets = {}
        self.hosts = []
        self.tasks = []

    async def add_target(self, target_id, service, **options):
        target = await TargetStandin(target_id, service, **options).start()
        self.targets[target_id] = target
        await self.store.write(f"servers/{target_id}", target.entry())
        return target

    async def host(self, name, path=None, **options):
        text = path.read_text() if path else settings(name, self.store.port, **options)
        cfg = parse_entry_settings(text)
        host = EntryHost(cfg, str(path or ""), open_sockets(cfg))
        self.hosts.append(host)
        self.tasks.append(asyncio.create_task(host.run()))
        return host

    async def close(self):
        for host in self.hosts:
            for actor in (host._watcher, host._registrar):
                if actor is not None:
                    actor.stop(block=False)
        for task in self.tasks:
            task.cancel()
        for target in self.targets.values():
            await target.stop()
        await self.store.stop()


@contextlib.asynccontextmanager
async def entry_fleet(hosts=1, targets=True, **host_options):
    """Start a fleet; each host has a configuration and knows its coordinator."""
    fleet = EntryFleet()
    fleet.store = await StoreStandin().start()
    await fleet.store.write("op/config", config())
    if targets:
        await fleet.add_target("w1", "ledger")
        await fleet.add_target("m1", "model")
    for number in range(hosts):
        host = await fleet.host(f"n{number + 1}", **host_options)
        await wait_until(lambda host=host: host.view.catalog is not None)
        await wait_until(lambda host=host, n=number: len(host.view.members()) == n + 1)
    await wait_until(lambda: all(h.cluster.coordinator_name for h in fleet.hosts))
    try:
        yield fleet
    finally:
        await fleet.close()


async def wait_until(condition, seconds=5.0):
    """Wait until `condition()` is true; the timeout only ends a test that hangs."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


class Response:
    """A response as received; `is_complete` is False for a truncated one."""

    def __init__(self, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete


def raw_request(path, request_id, method="GET", key=KEY, headers=(), body=b""):
    """Return the bytes of a request, with its body if one is given."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"Authorization: Token {key}",
        *headers,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def connect(host, endpoint="listen"):
    """Connect to an endpoint of a host: listen, directory or ready."""
    address = getattr(host.cfg, f"callers_{endpoint}")
    return await asyncio.open_connection(*address)


async def read_response(reader):
    """Read one response, chunked or with a Content-Length."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        return Response(status, headers, *await _read_chunks(reader))
    length = int(headers.get("content-length", 0))
    try:
        return Response(status, headers, await reader.readexactly(length), True)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status, headers, b"", False)


async def _read_chunks(reader):
    body = b""
    try:
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return body, False


async def call(host, path, request_id, **options):
    """Send one request on a new connection; return the `Response`."""
    reader, writer = await connect(host)
    try:
        writer.write(raw_request(path, request_id, **options))
        async with asyncio.timeout(10):
            return await read_response(reader)
    finally:
        writer.close()
