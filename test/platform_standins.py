"""Stand-ins for the platform's store and for targets, on the test's event loop."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit


class _Http:
    """A minimal HTTP/1.1 server.

    Subclasses define `respond(method, path, headers, body, writer, reader)`.
    """

    def __init__(self):
        self.port = None
        self._server = None
        self.connections = set()
        self.tasks = set()

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, path, headers = _parse(head)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                await self.respond(method, path, headers, body, writer, reader)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()


def _parse(head):
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return method, path, headers


def response_bytes(status, body=b"", headers=()):
    """Return the bytes of a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StoreStandin(_Http):
    """Keeps items, conditional writes, leases and watches in memory.

    With `fault` "silent" it does not respond; with "busy" it responds 503. `copy`
    returns what `restore` brings back as the next era.
    """

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 10
        self.history = []
        self.oldest_revision = 10
        self.leases = {}
        self.fault = None
        self.era = 1
        self.calls = []
        self._changed = asyncio.Condition()

    async def write(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        await self._record(dict(self.items[key]))

    async def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            await self._record({"key": key, "revision": self.revision, "deleted": True})

    async def _record(self, event):
        self.history.append(event)
        async with self._changed:
            self._changed.notify_all()

    def compact(self):
        self.history = []
        self.oldest_revision = self.revision

    def copy(self):
        return {key: dict(item) for key, item in self.items.items()}, self.revision

    def restore(self, copy):
        """Return to a copy; what was written since is lost, open watches are cut."""
        items, self.revision = copy
        self.items = {key: dict(item) for key, item in items.items()}
        self.leases = {
            item["lease"]: self.leases[item["lease"]]
            for item in self.items.values()
            if item["lease"] in self.leases
        }
        self.compact()
        self.era += 1
        for writer in list(self.connections):
            writer.transport.abort()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def respond(self, method, path, headers, body, writer, reader):
        url = urlsplit(path)
        query = {key: rows[0] for key, rows in parse_qs(url.query).items()}
        self.calls.append((method, url.path))
        era = [f"Store-Era: {self.era}"]
        if self.fault == "silent":
            await asyncio.sleep(30)
        if self.fault == "busy":
            writer.write(response_bytes(503, b"", era))
            return
        status, result = await self._call(method, url.path, query, body)
        writer.write(response_bytes(status, json.dumps(result).encode(), era))

    async def _call(self, method, path, query, body):
        raw = json.loads(body) if body else {}
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return await self._txn(raw)
        if path == "/kv-lease":
            lease = 100 + len(self.leases)
            self.leases[lease] = raw["ttl_ms"]
            return 200, {"lease": lease, "ttl_ms": raw["ttl_ms"]}
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        if method == "DELETE":
            await self.end_lease(number)
        return 200, {}

    async def end_lease(self, number):
        del self.leases[number]
        for key in [k for k, v in self.items.items() if v["lease"] == number]:
            await self.remove(key)

    def _range(self, query):
        keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
        keys = [key for key in keys if key > query.get("after", "")]
        page = [self.items[key] for key in keys[:5]]
        return {"items": page, "has_more": len(keys) > 5, "as_of": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        if not self.oldest_revision <= after <= self.revision:
            return 410, {}
        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(lambda: self.revision > after)
        except TimeoutError:
            pass
        events = [event for event in self.history if event["revision"] > after]
        return 200, {"events": events, "as_of": self.revision}

    async def _txn(self, raw):
        for row in raw["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": []}
        for row in raw["writes"]:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            value = base64.b64decode(row["value"])
            await self.write(row["key"], value, row.get("lease", 0))
        return 200, {"revision": self.revision}


class TargetStandin(_Http):
    """A target that responds as its `mode` says.

    Mode "shed" refuses without executing; for others see the method of that name.
    `arrivals` lists (request id, headers) of all requests, `runs` those that it
    executed, `cancelled` the ids whose caller disconnected during `work_s`. A
    stream has `events` events, `gap_s` apart; `sent` counts the bytes of a flood.
    A request with the part `crash_part` in its prompt ends the target. With `limit`
    it names that many requests a second as its limit in each answer. While `leaving`
    it says so in each answer (`stated_leaving` are their request ids), and with `pause`
    its refusals name that many seconds. `arrived_at` are the times of `arrivals`.
    With `places` it refuses what comes while so many requests run. With
    `rejection_limit` it says in each answer that more such refusals in a second make
    it fall over, and does so.
    """

    def __init__(self, target_id, service, slots=4, version="v1", zone="a1"):
        super().__init__()
        self.id = target_id
        self.service = service
        self.slots = slots
        self.version = version
        self.zone = zone
        self.mode = "ok"
        self.runs = []
        self.arrivals = []
        self.arrived_at = []
        self.limit = None
        self.places = None
        self.running = 0
        self.rejection_limit = None
        self.rejected_at = []
        self.has_fallen = False
        self.leaving = False
        self.stated_leaving = set()
        self.pause = None
        self.events = 4
        self.gap_s = 0.0
        self.work_s = 0.0
        self.crash_part = ""
        self.cancelled = []
        self.sent = 0
        self.born = 1
        self.cold_left_ms = 0

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold_left_ms": self.cold_left_ms,
            "seq": 1,
            "born": self.born,
        }

    async def respond(self, method, path, headers, body, writer, reader):
        request_id = headers.get("x-request-id", "")
        self.arrivals.append((request_id, headers))
        self.arrived_at.append(asyncio.get_running_loop().time())
        if headers.get("x-expect-instance") != self.id:
            named = [f"X-Request-Id: {request_id}", f"X-Instance-Id: {self.id}"]
            writer.write(response_bytes(421, b"", named))
            return
        stated = [] if self.limit is None else [f"Server-Limit: {self.limit}"]
        if self.leaving:
            stated.append("Server-Leaving: 1")
            self.stated_leaving.add(request_id)
        if self.rejection_limit is not None:
            stated.append(f"Server-Brittle: {self.rejection_limit}")
        if self.places is not None and self.running >= self.places:
            await self._reject(writer, [f"X-Request-Id: {request_id}", *stated])
            return
        self.running += 1
        try:
            await self._run(method, path, headers, body, writer, reader, stated)
        finally:
            self.running -= 1

    async def _reject(self, writer, stated):
        """Refuse a request for want of room; fall over if there were too many."""
        now = asyncio.get_running_loop().time()
        self.rejected_at = [at for at in self.rejected_at if at > now - 1.0] + [now]
        writer.write(response_bytes(503, b"", ["X-Not-Executed: 1", *stated]))
        limit = self.rejection_limit
        if limit is not None and len(self.rejected_at) > limit:
            self.has_fallen = True
            await self.stop()

    async def _run(self, method, path, headers, body, writer, reader, stated):
        request_id = headers.get("x-request-id", "")
        if self.mode == "shed":
            if self.pause is not None:
                stated.append(f"Retry-After: {self.pause}")
            named = [f"X-Request-Id: {request_id}", "X-Not-Executed: 1"]
            writer.write(response_bytes(503, b"", [*named, *stated]))
            return
        self.runs.append((request_id, method, path, headers, body))
        if self.crash_part and self.crash_part in headers.get("x-prompt-prefix", ""):
            await self._crash(writer, (), headers, request_id)
        seal = [f"X-Request-Id: {request_id}", f"X-Server-Seal: s.{self.id}", *stated]
        if self.work_s and not await self._work(reader, request_id):
            return
        await getattr(self, f"_{self.mode}")(writer, seal, headers, request_id)

    async def _work(self, reader, request_id):
        """Work for `work_s`; stop early if the caller disconnects."""
        reading = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait([reading], timeout=self.work_s)
        if done and not reading.result():
            self.cancelled.append(request_id)
            raise ConnectionError
        # The connection is read again only once this read has ended.
        reading.cancel()
        await asyncio.wait([reading])
        return True

    async def _ok(self, writer, seal, headers, request_id):
        writer.write(response_bytes(200, b"done " + request_id.encode(), seal))

    async def _error(self, writer, seal, headers, request_id):
        writer.write(response_bytes(500, b"failed", seal))

    async def _reset(self, writer, seal, headers, request_id):
        """Abort the connection without a response."""
        writer.transport.abort()
        raise ConnectionError

    async def _crash(self, writer, seal, headers, request_id):
        """Abort all connections and accept no more."""
        await self.stop()
        raise ConnectionError

    async def _mute(self, writer, seal, headers, request_id):
        """Keep the connection open without a response."""
        await asyncio.sleep(30)

    async def _rubbish(self, writer, seal, headers, request_id):
        writer.write(b"\x00\x01 no protocol at all\r\n\r\n")

    async def _unsigned(self, writer, seal, headers, request_id):
        """Respond without the X-Server-Seal header."""
        writer.write(response_bytes(200, b"who knows", [f"X-Request-Id: {request_id}"]))

    async def _extra(self, writer, seal, headers, request_id):
        """Send a response to another request after the one that is due."""
        await self._ok(writer, seal, headers, request_id)
        writer.write(
            response_bytes(200, b"of another", ["X-Request-Id: other", seal[1]])
        )

    async def _late_extra(self, writer, seal, headers, request_id):
        """Send a response to another request before the one that is due."""
        writer.write(
            response_bytes(200, b"of another", ["X-Request-Id: other", seal[1]])
        )
        await self._ok(writer, seal, headers, request_id)

    async def _unnamed_extra(self, writer, seal, headers, request_id):
        """Send a response without an id before the one that is due."""
        writer.write(response_bytes(200, b"of another", seal[1:]))
        await self._ok(writer, seal, headers, request_id)

    async def _unnamed_refusal(self, writer, seal, headers, request_id):
        """Send a refusal without an id before the response that is due."""
        writer.write(response_bytes(503, b"", ["X-Not-Executed: 1"]))
        await self._ok(writer, seal, headers, request_id)

    async def _short(self, writer, seal, headers, request_id):
        """Close the connection before the end of the body."""
        head = ["HTTP/1.1 200 OK", "Content-Length: 50", *seal]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\nhalf of it")
        await writer.drain()
        writer.close()
        raise ConnectionError

    async def _repeat_unframed(self, writer, head, body, *others):
        """Send an undelimited response, then others, and close the connection."""
        raw = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        for part in (raw, *(others or (raw,))):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.close()
        raise ConnectionError

    async def _unframed_twice(self, writer, seal, headers, request_id):
        """Send an undelimited response and the same once more."""
        head = ["HTTP/1.1 200 OK", *seal]
        await self._repeat_unframed(writer, head, b"done " + request_id.encode())

    async def _unframed_extra(self, writer, seal, headers, request_id):
        """Send an undelimited response, then one to another request."""
        other = response_bytes(200, b"of another", ["X-Request-Id: other", seal[1]])
        head = ["HTTP/1.1 200 OK", *seal]
        await self._repeat_unframed(writer, head, b"done " + request_id.encode(), other)

    async def _stream_twice(self, writer, seal, headers, request_id):
        """Send an undelimited stream and the same once more."""
        start = int(headers.get("last-event-id") or 0)
        body = b"".join(
            b"id: %d\ndata: piece %d\n\n" % (number, number)
            for number in range(start + 1, self.events + 1)
        )
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *seal]
        await self._repeat_unframed(writer, head, body)

    async def _unframed(self, writer, seal, headers, request_id):
        """Mark the end of the body only by closing the connection."""
        head = ["HTTP/1.1 200 OK", *seal]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\nup to the end")
        await writer.drain()
        writer.close()
        raise ConnectionError

    async def _stream(
        self, writer, seal, headers, request_id, stop_after=None, silent=False
    ):
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            *seal,
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        start = int(headers.get("last-event-id") or 0)
        for number in range(start + 1, self.events + 1):
            if stop_after is not None and number > start + stop_after:
                _chunk(writer, f"id: {number}\ndata: ha".encode())
                await writer.drain()
                if silent:
                    await asyncio.sleep(30)
                writer.transport.abort()
                raise ConnectionError
            _chunk(writer, f"id: {number}\ndata: piece {number}\n\n".encode())
            await writer.drain()
            if self.gap_s:
                await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")

    async def _flood(self, writer, seal, headers, request_id):
        """Stream more than all buffers between target and caller hold."""
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *seal]
        head.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(1, 1000):
            _chunk(writer, b"id: %d\ndata: %s\n\n" % (number, b"a" * 100_000))
            await writer.drain()
            self.sent += 100_000
        writer.write(b"0\r\n\r\n")

    async def _endless(self, writer, seal, head, prefix=b"", unit=b"a" * 4096):
        """Send `head` and then bytes without end, until the connection closes."""
        writer.write("\r\n".join([*head, *seal]).encode() + b"\r\n\r\n" + prefix)
        while True:
            writer.write(unit)
            await writer.drain()
            self.sent += len(unit)

    async def _endless_head(self, writer, seal, headers, request_id):
        writer.write(b"HTTP/1.1 200 OK\r\n")
        await self._endless(writer, [], ["X-A: b"], unit=b"X-More: of it\r\n" * 64)

    async def _endless_interim(self, writer, seal, headers, request_id):
        """Send interim responses without end."""
        unit = b"HTTP/1.1 102 Processing\r\n\r\n"
        await self._endless(writer, [], ["HTTP/1.1 102 Processing"], unit=unit * 64)

    async def _endless_unframed(self, writer, seal, headers, request_id):
        await self._endless(writer, seal, ["HTTP/1.1 200 OK"])

    async def _endless_chunks(self, writer, seal, headers, request_id):
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        await self._endless(writer, seal, head, unit=b"1000\r\n%s\r\n" % (b"a" * 4096))

    async def _endless_small_chunks(self, writer, seal, headers, request_id):
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
        await self._endless(writer, seal, head, unit=b"1\r\na\r\n" * 1024)

    async def _endless_small_refusal(self, writer, seal, headers, request_id):
        self.runs.pop()
        head = [
            "HTTP/1.1 503 Unavailable",
            "X-Not-Executed: 1",
            "Transfer-Encoding: chunked",
        ]
        await self._endless(writer, seal, head, unit=b"1\r\na\r\n" * 1024)

    async def _endless_status_lines(self, writer, seal, headers, request_id):
        unit = b"HTTP/1.1 200 OK\r\n\r\n" * 256
        await self._endless(writer, seal, ["HTTP/1.1 200 OK"], unit=unit)

    async def _endless_status_stream(self, writer, seal, headers, request_id):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        unit = b"HTTP/1.1 200 OK\r\n\r\n" * 256
        await self._endless(writer, seal, head, unit=unit)

    async def _endless_small_events(
        self, writer, seal, headers, request_id, text=b"\n\n"
    ):
        """Stream a blank line or a comment in each chunk."""
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        unit = b"%x\r\n%s\r\n" % (len(text), text)
        await self._endless(writer, seal, head, unit=unit * 512)

    async def _endless_comments(self, writer, seal, headers, request_id):
        await self._endless_small_events(writer, seal, headers, request_id, b":\n\n")

    async def _endless_blank_lines(self, writer, seal, headers, request_id):
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        await self._endless(writer, seal, head, unit=b"\n" * 32768)

    async def _endless_paced(self, writer, seal, headers, request_id):
        """Send 1 MB/s without end."""
        head = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked", *seal]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        unit = b"8000\r\n%s\r\n" % (b"a" * 32768)
        while True:
            writer.write(unit)
            await writer.drain()
            self.sent += len(unit)
            await asyncio.sleep(len(unit) / 1e6)

    async def _long(self, writer, seal, headers, request_id):
        writer.write(response_bytes(200, b"b" * 1_000_000, seal))

    async def _endless_stale(self, writer, seal, headers, request_id):
        """Send a response to another request, without end."""
        head = ["HTTP/1.1 200 OK", "X-Request-Id: other"]
        await self._endless(writer, [], head)

    async def _endless_refusal(self, writer, seal, headers, request_id):
        """State that the request was not executed, in a response without end."""
        self.runs.pop()
        await self._endless(
            writer, seal, ["HTTP/1.1 503 Unavailable", "X-Not-Executed: 1"]
        )

    async def _endless_event(self, writer, seal, headers, request_id):
        """Stream two events, then bytes without the end of a third."""
        start = int(headers.get("last-event-id") or 0)
        events = b"".join(b"id: %d\ndata: a\n\n" % (start + n) for n in (1, 2))
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        await self._endless(writer, seal, head, prefix=events)

    async def _trickle(self, writer, seal, headers, request_id):
        """Stream two events, then parts of a comment now and then."""
        start = int(headers.get("last-event-id") or 0)
        events = b"".join(b"id: %d\ndata: a\n\n" % (start + n) for n in (1, 2))
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", *seal]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + events)
        while True:
            writer.write(b":")
            await writer.drain()
            await asyncio.sleep(0.1)

    async def _broken_stream(self, writer, seal, headers, request_id):
        await self._stream(writer, seal, headers, request_id, stop_after=2)

    async def _silent_stream(self, writer, seal, headers, request_id):
        await self._stream(writer, seal, headers, request_id, stop_after=2, silent=True)


def _chunk(writer, data):
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
