"""A small deployment as separate processes, with stand-ins, for the cases 6 to 10.

The hosts run with the command of the deploy file. The store is the project's own
stand-in; clients and workers are here. Every address is a loopback address.
"""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from test.platform_standins import StoreStandin  # noqa: E402

NAME = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
# As on the pages' example of a configuration.
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
SEAL = "X-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1"
# Exit code of a case in which the rule was broken; Python itself uses 1.
BROKEN = 42
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with times."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def write(self, *words):
        """Write one line."""
        at = time.monotonic() - self._began
        print(f"{at:8.3f}", *words, file=self._file, flush=True)

    def say(self, *words):
        """Write one line, and print it."""
        self.write(*words)
        print(*words, flush=True)


def free_port():
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def route(name, kind, service, **extra):
    """Return a route with prefix /NAME/ as it is stored."""
    return {
        "name": f"r-{name}",
        "host": NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
        **extra,
    }


def configuration(version=7, routes=(), services=(), tenants=None):
    """Return a configuration as the operator writes it."""
    if tenants is None:
        tenants = [{"name": TENANT, "api_keys": [KEY], "priority": 1}]
    return {
        "version": version,
        "routes": list(routes),
        "services": list(services),
        "limits": LIMITS,
        "tenants": tenants,
    }


class Host:
    """One entry host: its process, its addresses and its settings."""

    def __init__(self, name, zone, region, store_port, seeds=""):
        self.name = name
        ports = [free_port() for _ in range(5)]
        self.listen, self.directory, self.ready, self.control, metrics = ports
        # The fields of deploy/settings.ini.template, filled in.
        self.settings = "\n".join(
            [
                "[host]",
                f"name = {name}",
                f"zone = {zone}",
                f"region = {region}",
                "first_start = true",
                "link_mbps = 1000.0",
                "cores = 2",
                "core_share = 0.537",
                "memory_mb = 150",
                "max_fds = 4100",
                "[zones]",
                "montego = cornwall",
                "mandeville = cornwall",
                "kingston = surrey",
                "[callers]",
                f"listen = 127.0.0.1:{self.listen}",
                f"directory = 127.0.0.1:{self.directory}",
                f"ready = 127.0.0.1:{self.ready}",
                "directory_ttl_most = 5s",
                "[peers]",
                f"listen = 127.0.0.1:{self.control}",
                f"seeds = {seeds or f'127.0.0.1:{self.control}'}",
                "[metrics]",
                f"listen = 127.0.0.1:{metrics}",
                "[store]",
                f"address = 127.0.0.1:{store_port}",
                "lease_least = 1000ms",
                "[budgets]",
                "retry_ratio = 0.2",
                "retry_slack = 54",
                "quota_overage = 0.1",
                "quota_slack = 110000",
                "quota_window = 8s",
                "[targets]",
                "cold_overage = ",
                "cold_slack = ",
                "[moves]",
                "exposure_share = 0.1",
                "exposure_slack = 50",
                "[shutdown]",
                "grace = 8s",
                "[logs]",
                "level = info",
                "format = json",
            ]
        )
        self.process = None

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None


class Deployment:
    """A store, workers and entry hosts; `close` ends all that was started."""

    def __init__(self, record):
        self.record = record
        self.store = None
        self.workers = []
        self.hosts = []
        self._folder = tempfile.TemporaryDirectory(prefix="case-")
        self._logs = []

    async def start_store(self, config):
        """Start the store with a configuration."""
        self.store = await StoreStandin().start()
        await self.store.write("op/config", config)

    async def add_worker(self, worker):
        """Start a worker and register it."""
        await worker.start()
        self.workers.append(worker)
        await self.store.write(f"servers/{worker.id}", worker.entry())
        return worker

    async def start_hosts(self, zones):
        """Start a host in each of some (zone, region) pairs and wait for all."""
        for number, (zone, region) in enumerate(zones, 1):
            name = f"front-{zone}-{number}"
            seeds = ",".join(f"127.0.0.1:{host.control}" for host in self.hosts[:3])
            host = Host(name, zone, region, self.store.port, seeds)
            self.hosts.append(host)
            await self.start_process(host)
        for host in self.hosts:
            await self.wait_ready(host)
        # All have joined a coordinator by then.
        await asyncio.sleep(3.0)

    async def start_process(self, host):
        """Start a host's process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        path = Path(self._folder.name) / f"{host.name}.conf"
        path.write_text(host.settings)
        log = (Path(self._folder.name) / f"{host.name}.log").open("a")
        self._logs.append(log)
        host.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env={
                "PATH": os.environ.get("PATH", ""),
                "PYTHONPATH": str(ROOT / "target/deps"),
                "LOVAGEPIER_NODE_FILE": str(path),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    async def wait_ready(self, host, seconds=15.0):
        """Wait until a host says that it is ready."""
        ends_at = time.monotonic() + seconds
        while await ready_status(host, 1.0) != 200:
            if time.monotonic() > ends_at or not host.is_running:
                raise CannotRun(f"{host.name} does not become ready")
            await asyncio.sleep(0.1)

    def log_text(self, host):
        """Return what a host has logged."""
        return (Path(self._folder.name) / f"{host.name}.log").read_text()

    async def close(self):
        """End all processes and stand-ins."""
        for host in self.hosts:
            if host.is_running:
                with contextlib.suppress(ProcessLookupError):
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        for each in (*self.workers, self.store):
            if each is not None:
                await each.stop()
        for log in self._logs:
            log.close()
        self._folder.cleanup()


class CannotRun(Exception):
    """The case could not run."""


class Worker:
    """A worker that follows the pages; `handle` answers one request that it runs.

    `runs` are (request id, path, time) of what it ran, `ended` the times at which runs
    ended by request id.
    """

    def __init__(
        self, worker_id, service, record, zone="montego", version="1", slots=6
    ):
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.record = record
        self.runs = []
        self.ended = {}
        self.work_s = 0.03
        self.running = 0
        self.port = None
        self._server = None
        self._writers = set()

    def entry(self, state="ready"):
        """Return the worker's entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 2,
            "born": 1790000000000,
        }

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                await self._answer(head, body, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, head, body, reader, writer):
        request_id = head.fields.get("x-request-id", "")
        named = [f"X-Request-Id: {request_id}", f"X-Instance-Id: {self.id}"]
        if head.fields.get("x-expect-instance", self.id) != self.id:
            writer.write(response_bytes(421, b"", named))
            return
        if head.path == "/healthz":
            writer.write(response_bytes(200, b"", named))
            return
        self.runs.append((request_id, head.path, time.monotonic()))
        self.running += 1
        self.record.write("worker", self.id, "runs", request_id, head.path[:40])
        try:
            await self.handle(head, body, reader, writer, [*named, SEAL])
        except (OSError, asyncio.CancelledError):
            self.record.write("worker", self.id, "breaks off", request_id)
            raise
        finally:
            self.running -= 1
            self.ended[request_id] = time.monotonic()
        self.record.write("worker", self.id, "answered", request_id)

    async def handle(self, head, body, reader, writer, fields):
        """Work, then answer; a worker drops a request when its connection closes."""
        await self.work(reader, self.work_s)
        writer.write(response_bytes(200, b"done " + head.path.encode(), fields))

    async def work(self, reader, seconds):
        """Work for some seconds; raise ConnectionError once the caller has gone."""
        reading = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([reading], timeout=seconds)
        if done:
            raise ConnectionError
        reading.cancel()
        await asyncio.wait([reading])


class Head:
    """The head of a request or of a response."""

    def __init__(self, first, fields):
        self.first = first
        self.fields = fields
        words = first.split(" ")
        self.path = words[1] if len(words) > 1 else ""
        self.status = int(words[1]) if words[0].startswith("HTTP/") else 0


async def read_head(reader):
    """Read a head."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return Head(lines[0], fields)


async def read_body(reader, head):
    """Read a body with a length or in chunks."""
    if head.fields.get("transfer-encoding") == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    length = int(head.fields.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


def response_bytes(status, body=b"", fields=()):
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request_bytes(
    path, request_id, method="GET", fields=(), body=b"", deadline_ms=2000
):
    """Return a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {NAME}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {KEY}",
        *fields,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def ready_status(host, seconds):
    """Ask a host whether it is ready; return the status, 0 without an answer."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", host.ready)
            try:
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return (await read_head(reader)).status
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0


async def ask(host, path, request_id, seconds=2.0, connect_s=1.0, **options):
    """Send one request on a new connection; return (status, body), (0, why) if none."""
    try:
        async with asyncio.timeout(seconds):
            async with asyncio.timeout(connect_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", host.listen)
            try:
                options.setdefault("deadline_ms", int(seconds * 1000))
                writer.write(request_bytes(path, request_id, **options))
                head = await read_head(reader)
                return head.status, await read_body(reader, head)
            finally:
                writer.transport.abort()
    except TimeoutError:
        return 0, b"time limit"
    except (OSError, asyncio.IncompleteReadError) as exc:
        return 0, type(exc).__name__.encode()


def memory_mb(host):
    """Return the memory that a host's process has, in MB; 0 if it has ended."""
    try:
        with open(f"/proc/{host.process.pid}/status") as lines:
            for line in lines:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def steady_callers(hosts, path, seconds, record, every_s=0.1, limit_s=2.0):
    """Send ordinary idempotent requests for a time; return (time, status) rows.

    A client tries twice, at different hosts, and gives an attempt up after a third of
    the time that it has left, or a second.
    """
    rows = []

    async def one(turn):
        began = time.monotonic()
        status = 0
        for attempt in range(2):
            left = began + limit_s - time.monotonic()
            if left <= 0.05:
                break
            host = hosts[(turn + attempt) % len(hosts)]
            request_id = f"ordinary-{turn}-{attempt}-{int(began * 1000)}"
            record.write("client asks", host.name, request_id)
            wait = left if attempt else min(1.0, left / 3)
            status, body = await ask(host, path, request_id, wait)
            record.write("client gets", request_id, status, body[:30])
            if status == 200:
                break
        rows.append((began, status))

    tasks = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        tasks.append(asyncio.create_task(one(len(tasks))))
        await asyncio.sleep(every_s)
    await asyncio.gather(*tasks)
    return rows


class Platform:
    """The platform's bound on memory: it kills a process that exceeds it.

    `kills` are the names of the hosts whose processes it has killed. A killed process
    is started again, as DEPLOY.md says.
    """

    def __init__(self, deployment, memory_mb=150, restart_s=1.0):
        self.kills = []
        self._deployment = deployment
        self._memory_mb = memory_mb
        self._restart_s = restart_s
        self._task = asyncio.create_task(self._watch())

    async def _watch(self):
        while True:
            for host in self._deployment.hosts:
                if host.is_running and memory_mb(host) > self._memory_mb:
                    await self._kill(host)
            await asyncio.sleep(0.05)

    async def _kill(self, host):
        size = memory_mb(host)
        host.process.kill()
        await host.process.wait()
        self.kills.append(host.name)
        self._deployment.record.say(
            f"the platform kills {host.name}: {size:.0f} MB, {self._memory_mb} allowed"
        )
        await asyncio.sleep(self._restart_s)
        host.settings = host.settings.replace(
            "first_start = true", "first_start = false"
        )
        await self._deployment.start_process(host)

    def stop(self):
        """Watch no more."""
        self._task.cancel()


class KeptCallers:
    """Ordinary callers that send one entry after the other on kept connections.

    `lost` are the ids of requests on a connection that had carried one before, which
    were read, as a worker got them, and whose connection then ended without an answer.
    """

    def __init__(self, deployment, record, path, at_each, limit_s=2.0):
        self._deployment = deployment
        self._record = record
        self._path = path
        self._limit_s = limit_s
        self._unanswered = []
        self._count = 0
        self.statuses = {}
        self._tasks = [
            asyncio.create_task(self._call(host))
            for host in deployment.hosts
            for _ in range(at_each)
        ]

    async def _call(self, host):
        while True:
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", host.listen
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                await self._use(host, reader, writer)
            finally:
                writer.transport.abort()

    async def _use(self, host, reader, writer):
        is_kept = False
        while True:
            self._count += 1
            request_id = f"entry-{self._count}"
            self._record.write("client sends", host.name, request_id)
            try:
                async with asyncio.timeout(self._limit_s):
                    writer.write(
                        request_bytes(self._path, request_id, "POST", (), b"tally")
                    )
                    head = await read_head(reader)
                    await read_body(reader, head)
            except TimeoutError:
                self._note(request_id, "time limit")
                return
            except (OSError, asyncio.IncompleteReadError):
                self._note(request_id, "no answer")
                if is_kept:
                    self._unanswered.append(request_id)
                return
            self._note(request_id, head.status)
            if head.fields.get("connection") == "close":
                return
            is_kept = True

    def _note(self, request_id, status):
        self._record.write("client gets", request_id, status)
        self.statuses[status] = self.statuses.get(status, 0) + 1

    @property
    def lost(self):
        """The requests that were passed on and never answered."""
        ran = {run[0] for worker in self._deployment.workers for run in worker.runs}
        return [each for each in self._unanswered if each in ran]

    def stop(self):
        """Send no more."""
        for task in self._tasks:
            task.cancel()


def play(case, folder):
    """Run a case, `await case(deployment, record)`; exit with `BROKEN` or 0.

    The case returns True if the rule was broken. Any other code means that it could
    not run.
    """

    async def run():
        record = Record(folder)
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(115):
                broken = await case(deployment, record)
        except Exception as exc:  # noqa: BLE001  whatever it is, nothing was shown
            record.say("could not run:", type(exc).__name__, exc)
            return 2
        finally:
            await deployment.close()
            left = asyncio.all_tasks() - {asyncio.current_task()}
            for task in left:
                task.cancel()
            await asyncio.gather(*left, return_exceptions=True)
        record.say("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else 0

    sys.exit(asyncio.run(run()))
