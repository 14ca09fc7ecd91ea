"""Stand-ins for the platform's store, workers and clients, and a small deployment.

Only the standard library is used. The store and the workers are processes of their own
(`python3 standins.py store ...`, `python3 standins.py worker ...`), so that what they
do takes no time from the clients, which run in the script of a case.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent
LOOPBACK = "127.0.0.1"
BEAT_S = 1.2
# The portion of its answers that a bad version fails.
BAD_SHARE = 0.5
NO_ANSWER = (OSError, TimeoutError, asyncio.IncompleteReadError)
HOST = "ficu95.example"
TENANT_KEY = "i9n73hh2b9wu3fexd9dn"


# HTTP


async def read_message(reader):
    """Return (first line, headers, body) of a message with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    else:
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    return first, headers, body


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def response(status, body=b"", headers=()):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def ask(address, method, path, body=None, timeout_s=3.0):
    """Make one call on a new connection; return (status, decoded JSON or None)."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: -\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            first, _, answer = await read_message(reader)
        finally:
            writer.close()
    return int(first.split()[1]), json.loads(answer) if answer else None


class _Server:
    """Serves requests; subclasses define `respond`."""

    async def start(self, port):
        server = await asyncio.start_server(self._serve, LOOPBACK, port)
        async with server:
            await server.serve_forever()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                await self.respond(method, path, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        finally:
            writer.close()


# The platform's store


class Store(_Server):
    """Items, conditional writes, leases and watches, as PROTOCOL.md tells them.

    A call of /x-fault sets `fault`: with "silent" no call is answered, and a call that
    was not answered stays so; with "" all is well. /x-cut cuts the waiting watches.
    """

    def __init__(self):
        self.items = {}
        self.revision = 10
        self.history = []
        self.leases = {}
        self.fault = ""
        self.cuts = 0
        self._changed = asyncio.Condition()
        self._waiting = set()

    async def run(self, port):
        """Serve, and end leases."""
        ending = asyncio.create_task(self._end_leases())
        await self.start(port)
        ending.cancel()

    async def _end_leases(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if self.fault:
                # Leases pause while the store is down.
                for lease, (ttl_ms, until) in self.leases.items():
                    self.leases[lease] = (ttl_ms, until + now - before)
                continue
            for lease, (_, until) in list(self.leases.items()):
                if until <= now:
                    await self._end(lease)

    async def _end(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            await self._remove(key)

    async def _record(self, event):
        self.history.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            await self._record({"key": key, "revision": self.revision, "deleted": True})

    async def respond(self, method, path, headers, body, writer):
        """Answer one call."""
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query, True).items()}
        if url.path == "/x-fault":
            self.fault = query.get("how", "")
            writer.write(response(200))
            return
        if url.path == "/x-cut":
            cut = list(self._waiting)
            for waiting in cut:
                waiting.transport.abort()
            writer.write(response(200, json.dumps({"cut": len(cut)}).encode()))
            return
        if self.fault == "silent":
            await asyncio.sleep(3600)
        status, answer = await self._call(method, url.path, query, body, writer)
        if self.fault == "silent":
            await asyncio.sleep(3600)
        writer.write(response(status, json.dumps(answer).encode(), ["Store-Era: 1"]))

    async def _call(self, method, path, query, body, writer):
        call = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (
                (404, {}) if item is None else (200, {**item, "as_of": self.revision})
            )
        if path == "/kv-range":
            return 200, self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query, writer)
        if path == "/kv-txn":
            return await self._write(call)
        if path == "/kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            self.leases[lease] = (
                call["ttl_ms"],
                time.monotonic() + call["ttl_ms"] / 1e3,
            )
            return 200, {"lease": lease, "ttl_ms": call["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self._end(lease)
            return 200, {}
        ttl_ms, _ = self.leases[lease]
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1e3)
        return 200, {"ttl_ms": ttl_ms}

    def _range(self, prefix, after):
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys]
        return {"items": items, "has_more": False, "as_of": self.revision}

    async def _watch(self, query, writer):
        after, prefix = int(query["after"]), query["prefix"]
        self._waiting.add(writer)
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1e3):
                async with self._changed:
                    await self._changed.wait_for(lambda: self.revision > after)
        except TimeoutError:
            pass
        finally:
            self._waiting.discard(writer)
        events = [
            event
            for event in self.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        return 200, {"events": events, "as_of": self.revision}

    async def _write(self, call):
        expected = call.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                known = [self.items.get(each["key"]) for each in expected]
                return 412, {"items": [item for item in known if item]}
        for row in call.get("writes", []):
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        revision = self.revision
        for row in call.get("writes", []):
            known = self.items.get(row["key"])
            self.items[row["key"]] = {
                "key": row["key"],
                "value": row["value"],
                "revision": revision,
                "created_rev": known["created_rev"] if known else revision,
                "lease": row.get("lease", 0),
            }
            await self._record(dict(self.items[row["key"]]))
        for key in call.get("remove", []):
            if self.items.pop(key, None) is not None:
                await self._record({"key": key, "revision": revision, "deleted": True})
        return 200, {"revision": revision}


async def put(store, key, document, **call):
    """Write a document to the store, as the operator or a worker does."""
    value = base64.b64encode(json.dumps(document).encode()).decode()
    write = {"key": key, "value": value, "lease": 0}
    return await ask(store, "POST", "/kv-txn", {"writes": [write], **call})


async def remove(store, key):
    """Remove a key from the store."""
    return await ask(store, "POST", "/kv-txn", {"remove": [key]})


# Workers


class Worker(_Server):
    """A sound worker of a plain service, registered in the store.

    It writes one line for each request that reaches it to its log. The mode of
    /x-mode is that of a faulty worker: "endless-chunks" and "endless-heads" answer each
    request with bytes that don't end until the caller closes; "bad" fails a portion.
    """

    def __init__(self, options):
        self.id = options["id"]
        self.options = options
        self.log = Path(options["log"])
        self.mode = ""
        self.registers = True
        self.slots = asyncio.Semaphore(options["slots"])
        self.waiting = 0
        self.born = int(time.time() * 1000)

    async def run(self):
        """Serve, and register until told otherwise."""
        beating = asyncio.create_task(self._beat())
        await self.start(self.options["port"])
        beating.cancel()

    async def _beat(self):
        store = (LOOPBACK, self.options["store"])
        seq = 0
        while True:
            if self.registers:
                seq += 1
                entry = {
                    "service": self.options["service"],
                    "address": f"{LOOPBACK}:{self.options['port']}",
                    "zone": self.options["zone"],
                    "version": self.options.get("version", "v1"),
                    "slots": self.options["slots"],
                    "state": "ready",
                    "cold_left_ms": 0,
                    "seq": seq,
                    "born": self.born,
                }
                with contextlib.suppress(*NO_ANSWER):
                    await put(store, f"servers/{self.id}", entry)
            await asyncio.sleep(BEAT_S)

    def note(self, **what):
        """Write a line to the log."""
        line = {"at": time.time(), "worker": self.id, **what}
        with self.log.open("a") as file:
            file.write(json.dumps(line) + "\n")

    async def respond(self, method, path, headers, body, writer):
        """Run one request."""
        url = urlsplit(path)
        if url.path == "/x-mode":
            query = parse_qs(url.query, True)
            self.mode = query.get("how", [""])[0]
            writer.write(response(200))
            return
        if url.path == "/x-leave":
            # A worker that never reports draining: only its entry is removed.
            self.registers = False
            writer.write(response(200))
            return
        if url.path == "/healthz":
            writer.write(response(200, b"", [f"X-Instance-Id: {self.id}"]))
            return
        request_id = headers.get("x-request-id", "")
        echo = [f"X-Request-Id: {request_id}"]
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.id):
            self.note(id=request_id, what="other instance expected")
            writer.write(response(421, b"", [*echo, "X-Not-Executed: 1"]))
            return
        self.note(id=request_id, what="reached", method=method, path=path)
        if self.waiting >= 24:
            writer.write(response(503, b"", [*echo, "X-Not-Executed: 1"]))
            return
        self.waiting += 1
        try:
            async with self.slots:
                self.note(id=request_id, what="run")
                await asyncio.sleep(self.options["work_s"])
        finally:
            self.waiting -= 1
        if self.mode.startswith("endless"):
            await self._send_endlessly(writer, echo)
            return
        if self.mode == "bad" and random.random() < BAD_SHARE:
            self.note(id=request_id, what="failed")
            seal = f"X-Server-Seal: {self.id}.{request_id}"
            writer.write(response(500, b"", [*echo, seal]))
            return
        self.note(id=request_id, what="answered")
        body = f"{self.id} {request_id} ".encode().ljust(800, b".")
        seal = f"X-Server-Seal: {self.id}.{request_id}"
        writer.write(response(200, body, [*echo, seal]))

    async def _send_endlessly(self, writer, echo):
        head = "\r\n".join(["HTTP/1.1 200 OK", *echo, f"X-Server-Seal: {self.id}"])
        if self.mode == "endless-chunks":
            writer.write(head.encode() + b"\r\nTransfer-Encoding: chunked\r\n\r\n")
            part = b"1\r\n.\r\n" * 4096
        elif self.mode == "endless-heads":
            writer.write(head.encode() + b"\r\nConnection: close\r\n\r\n")
            part = b"HTTP/1.1 200 OK\r\n\r\n" * 2048
        else:
            writer.write(head.encode() + b"\r\nConnection: close\r\n\r\n")
            part = b"." * 32768
        sent = 0
        try:
            while True:
                writer.write(part)
                await writer.drain()
                sent += len(part)
        finally:
            self.note(what="the caller closed", sent=sent)


# Clients


class Answer:
    """What a client got: `status` is 0 without a whole answer; times are monotonic."""

    __slots__ = ("body", "ended", "headers", "host", "id", "route", "sent", "status")

    def line(self):
        """Return the line of the record."""
        return {
            "id": self.id,
            "route": self.route,
            "host": self.host,
            "sent": round(self.sent, 3),
            "took": round(self.ended - self.sent, 3),
            "status": self.status,
            "seal": self.headers.get("x-server-seal", ""),
        }


_ids = iter(range(1, 1 << 40))
_RUN = os.urandom(4).hex()


async def request(host, method, prefix, path, deadline_ms, headers=(), body=b""):
    """Send one request on a new connection; return its `Answer`."""
    answer = Answer()
    answer.id = f"{_RUN}{next(_ids):08x}"
    answer.route, answer.host = prefix, host.name
    answer.status, answer.headers, answer.body = 0, {}, b""
    answer.sent = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1e3 + 1.0):
            reader, writer = await asyncio.open_connection(*host.front)
            lines = [
                f"{method} {prefix}{path} HTTP/1.1",
                f"Host: {HOST}",
                f"X-Request-Id: {answer.id}",
                f"X-Deadline-Ms: {deadline_ms}",
                f"Authorization: Token {TENANT_KEY}",
                *headers,
            ]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            first, answer.headers, answer.body = await read_message(reader)
            answer.status = int(first.split()[1])
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        answer.ended = time.monotonic()
        if writer is not None:
            writer.close()
    return answer


# A small deployment


class Host:
    """One entry host: its addresses and its process."""

    def __init__(self, name, zone, ports):
        self.name = name
        self.zone = zone
        self.front, self.ready, self.control, self.directory, self.metrics = (
            (LOOPBACK, port) for port in ports
        )
        self.process = None
        self.starts = 0


_given_ports = set()


def free_ports(count):
    """Return free ports below those that the system gives to clients by itself."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind((LOOPBACK, port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            ports.append(port)
    return ports


def deployed():
    """Return the command of the deploy file's role and its settings template."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        (role,) = tomllib.load(file)["roles"].values()
    return role["run"].split(), (ROOT / role["template"]).read_text()


def _fill(template, values, zones):
    rows = "".join(f"{zone} = {region}\n" for zone, region in zones.items())
    start, end = "{{#zones}}", "{{/zones}}"
    before, _, rest = template.partition(start)
    text = before + rows + rest.partition(end)[2].lstrip("\n")
    for name, value in values.items():
        text = text.replace("{{" + name + "}}", str(value))
    return text


class Deployment:
    """Hosts, workers and a store on loopback, with the bounds of a small site."""

    ZONES = {"montego": "cornwall", "kingston": "surrey", "mandeville": "cornwall"}

    def __init__(self, host_count, bounds=()):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = []
        self.store = (LOOPBACK, free_ports(1)[0])
        zones = list(self.ZONES)
        self.hosts = []
        for number in range(host_count):
            zone = zones[number % len(zones)]
            self.hosts.append(Host(f"front-{zone}-{number}", zone, free_ports(5)))
        self.workers = {}
        self.bounds = {
            "bounds.ttl_max_s": 5,
            "bounds.retry_budget_ratio": 0.2,
            "bounds.retry_slack": 54,
            "bounds.quota_overage": 0.1,
            "bounds.quota_slack": 110000,
            "bounds.quota_window_s": 8,
            "bounds.canary_share": 0.1,
            "bounds.canary_slack": 50,
            "bounds.grace_s": 8,
            "bounds.cold_overage": "",
            "bounds.cold_slack": "",
            **dict(bounds),
        }
        self.log_folder = self.folder / "logs"
        self.log_folder.mkdir()

    def _spawn(self, words, name, env=None):
        out = (self.log_folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=out, stderr=out
        )
        out.close()
        self.processes.append(process)
        return process

    async def start_store(self):
        """Start the store."""
        words = [sys.executable, str(HERE / "standins.py"), "store"]
        self._spawn([*words, str(self.store[1])], "store")
        await self._listens(self.store)

    async def start_worker(self, worker_id, service, zone, **options):
        """Start a worker, which registers itself."""
        port = free_ports(1)[0]
        options = {
            "id": worker_id,
            "service": service,
            "zone": zone,
            "port": port,
            "store": self.store[1],
            "slots": 6,
            "work_s": 0.045,
            "log": str(self.folder / "workers.jsonl"),
            **options,
        }
        words = [sys.executable, str(HERE / "standins.py"), "worker"]
        process = self._spawn([*words, json.dumps(options)], worker_id)
        self.workers[worker_id] = ((LOOPBACK, port), process)
        await self._listens((LOOPBACK, port))

    async def _listens(self, address):
        for _ in range(200):
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise RuntimeError(f"nothing listens on port {address[1]}")

    def start_host(self, host, first_start=True):
        """Start the process of an entry host with the deploy file's command."""
        words, template = deployed()
        seeds = ",".join(f"{LOOPBACK}:{h.control[1]}" for h in self.hosts[:3])
        values = {
            "node_name": host.name,
            "zone": host.zone,
            "region": self.ZONES[host.zone],
            "first_start": "true" if first_start else "false",
            "limits.link_mbps": "1000.0",
            "limits.cpu_cores": 2,
            "limits.cpu_share": 0.537,
            "listen.front": f"{LOOPBACK}:{host.front[1]}",
            "listen.directory": f"{LOOPBACK}:{host.directory[1]}",
            "listen.ready": f"{LOOPBACK}:{host.ready[1]}",
            "listen.control": f"{LOOPBACK}:{host.control[1]}",
            "ip": LOOPBACK,
            "internal_ports.0": host.metrics[1],
            "seed_nodes": seeds,
            "platform.address": f"{LOOPBACK}:{self.store[1]}",
            "platform.ttl_min_ms": 1000,
            **self.bounds,
        }
        path = self.folder / f"{host.name}.conf"
        path.write_text(_fill(template, values, self.ZONES))
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self.folder),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LOVAGEPIER_NODE_FILE": str(path),
        }
        host.starts += 1
        host.process = self._spawn(words, host.name, env)

    async def ready(self, host, timeout_s=20.0):
        """Wait until a host counts as ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            try:
                status, _ = await ask(host.ready, "GET", "/ready", timeout_s=1.0)
                if status == 200:
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{host.name} is not ready")

    async def configure(self, version, routes, services, tenants=None):
        """Write a configuration, as the operator does."""
        if tenants is None:
            tenants = [tenant("hule930", [TENANT_KEY])]
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": tenants,
        }
        status, _ = await put(self.store, "op/config", document)
        if status != 200:
            raise RuntimeError(f"the store answered {status}")

    def worker_lines(self):
        """Return what the workers noted, oldest first."""
        path = self.folder / "workers.jsonl"
        lines = path.read_text().splitlines() if path.exists() else []
        return sorted((json.loads(line) for line in lines), key=lambda row: row["at"])

    def host_log(self, host):
        """Return the text that a host's processes logged."""
        return (self.log_folder / f"{host.name}.log").read_text(errors="replace")

    def end(self):
        """End all processes that were started."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder, file=sys.stderr)


def tenant(name, keys, rate=0, burst=0):
    """Return a tenant of a configuration."""
    return {
        "name": name,
        "api_keys": keys,
        "priority": 1,
        "unit": "token_count",
        "plain_tokens": 200,
        "rate_per_s": rate,
        "burst": burst,
    }


def route(name, prefix, kind, service, **more):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 250,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "stream_resume": False,
        **more,
    }


def plain_service(name, max_conns=100):
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": max_conns,
        "protocol": "h1",
        "tls": False,
    }


def run_case(case, folder):
    """Run `await case(record)`; exit with 1 if it returns False, 0 if True, else 2.

    `record(**what)` writes a line to record.txt in the case's folder.
    """
    path = Path(folder) / "record.txt"
    with path.open("w") as file:

        def record(**what):
            file.write(json.dumps(what) + "\n")

        try:
            held = asyncio.run(case(record))
        except (
            OSError,
            RuntimeError,
            TimeoutError,
            asyncio.IncompleteReadError,
        ) as exc:
            record(could_not_run=f"{type(exc).__name__}: {exc}")
            print("could not run:", exc, file=sys.stderr)
            sys.exit(2)
        record(held=held)
    sys.exit(0 if held else 1)


def main(words):
    """Run a stand-in as a process."""
    kind, argument = words
    if kind == "store":
        asyncio.run(Store().run(int(argument)))
    elif kind == "worker":
        asyncio.run(Worker(json.loads(unquote(argument))).run())


if __name__ == "__main__":
    main(sys.argv[1:])
