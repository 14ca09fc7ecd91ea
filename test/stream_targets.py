"""Targets that play raw answers, and callers that note how a stream ended for them."""

import asyncio
import contextlib
import socket
import struct

from lovagepier.entry._store import actors
from test.entry_builders import HOST, KEY, connect, wait_until
from test.platform_standins import TargetStandin

EVENTS = 4
SEAL = "s.of-a-target"


def piece(number, end=b"\n\n"):
    """Return the bytes of the event with that id."""
    return b"id: %d\ndata: piece %d%s" % (number, number, end)


WHOLE = b"".join(piece(number) for number in range(1, EVENTS + 1))


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def head(status=200, *, seal=True, kind="text/event-stream", length="chunked", more=()):
    """Return a function from a request id to the bytes of a response's head.

    `length` is "chunked", None for a body that ends with the connection, or a number.
    """

    def make(request_id):
        lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}", *more]
        if kind:
            lines.append(f"Content-Type: {kind}")
        if seal:
            lines.append(f"X-Server-Seal: {SEAL}")
        if length == "chunked":
            lines.append("Transfer-Encoding: chunked")
        elif length is not None:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    return make


class Answer:
    """What a target sends to one request, and how its connection goes on.

    `parts` are bytes, functions from the request id to bytes, or pauses in seconds, and
    sent one by one. `end` is "keep", "fin", "reset" or "silent".
    """

    def __init__(self, *parts, end="keep"):
        self.parts = parts
        self.end = end


STREAM_HEAD = head()


def stream(*numbers, start=STREAM_HEAD, last=LAST_CHUNK, end="keep"):
    """Return an `Answer`: a chunked stream of the events with these ids."""
    return Answer(start, *(chunk(piece(n)) for n in numbers), last, end=end)


def whole(status, body, *, kind="text/plain", more=(), end="keep"):
    """Return an `Answer` with a length."""
    return Answer(head(status, kind=kind, length=len(body), more=more), body, end=end)


class StreamTarget(TargetStandin):
    """A target that plays the answers of `script`, in order of arrival.

    Several targets may share one script. `asked` lists the Last-Event-Id of each
    request, None if it had none; `played` counts the answers that were sent to their
    end. After its script it resumes as it is asked to.
    """

    def __init__(self, target_id, service, script=None, asked=None):
        super().__init__(target_id, service)
        self.mode = "play"
        self.script = [] if script is None else script
        self.asked = [] if asked is None else asked
        self.played = 0

    async def _play(self, writer, seal, headers, request_id):
        last_id = headers.get("last-event-id")
        self.asked.append(last_id)
        answer = self.script.pop(0) if self.script else None
        if answer is None:
            start = int(last_id) if last_id and last_id.isdigit() else 0
            answer = stream(*range(start + 1, EVENTS + 1))
        for part in answer.parts:
            if isinstance(part, float):
                await asyncio.sleep(part)
                continue
            writer.write(part(request_id) if callable(part) else part)
            await writer.drain()
            # Each part arrives by itself.
            await asyncio.sleep(0.001)
        self.played += 1
        if answer.end == "silent":
            await asyncio.sleep(30)
        if answer.end == "reset":
            # Let what was sent be read first.
            await asyncio.sleep(0.01)
            reset(writer)
            raise ConnectionError
        if answer.end == "fin":
            writer.close()
            raise ConnectionError


def reset(writer):
    """Close a connection with a reset instead of an orderly end."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


_USUAL_PAUSE_S = actors.WATCH_BATCH_PAUSE_S


@contextlib.contextmanager
def _quick_changes():
    """Let hosts read changes of the store without their usual pause between batches.

    This is for preparations: what a test observes goes on with the usual pause.
    """
    actors.WATCH_BATCH_PAUSE_S = 0.002
    try:
        yield
    finally:
        actors.WATCH_BATCH_PAUSE_S = _USUAL_PAUSE_S


class StreamTargets:
    """Targets of one service that share one script, replaced before each test.

    Failures of earlier tests are then not held against the targets of the next.
    """

    def __init__(self, fleet, service="model"):
        self._fleet = fleet
        self._service = service
        self._names = []
        self._made = 0
        self.script = []
        self.asked = []

    async def renew(self, count):
        """Replace all targets by `count` new ones."""
        with _quick_changes():
            await self._renew(count)

    async def _renew(self, count):
        old, self._names = self._names, []
        for _ in range(count):
            self._made += 1
            name = f"{self._service}-{self._made}"
            target = StreamTarget(name, self._service, self.script, self.asked)
            self._fleet.targets[name] = await target.start()
            await self._fleet.store.write(f"servers/{name}", target.entry())
            self._names.append(name)
        for name in old:
            await self._fleet.store.remove(f"servers/{name}")
        await wait_until(lambda: self._is_known(old))
        for name in old:
            await self._fleet.targets.pop(name).stop()

    def _is_known(self, old):
        return all(
            all(host.view.target(name) for name in self._names)
            and not any(host.view.target(name) for name in old)
            for host in self._fleet.hosts
        )

    def play(self, *script):
        """Let the next requests, in order of arrival, be answered as given."""
        self.script[:] = script
        self.asked.clear()


class Seen:
    """What a caller received on one connection, and how that ended.

    `ended_by` is "fin", "reset" or "open". `status` is 0 if there was no response.
    `is_complete` is whether the body reads as complete in the response's framing;
    `extra` is what follows it.
    """

    def __init__(self, raw, ended_by, version):
        self.raw = raw
        self.ended_by = ended_by
        self.status = 0
        self.headers = {}
        self.body = self.extra = b""
        self.is_complete = False
        top, found, rest = raw.partition(b"\r\n\r\n")
        if not found:
            self.extra = raw
            return
        lines = top.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.lower()] = value.strip()
        if self.headers.get("transfer-encoding") == "chunked":
            assert version == "1.1"
            self._read_chunks(rest)
        elif "content-length" in self.headers:
            length = int(self.headers["content-length"])
            self.body, self.extra = rest[:length], rest[length:]
            self.is_complete = len(self.body) == length
        else:
            self.body = rest
            self.is_complete = ended_by == "fin"

    def _read_chunks(self, rest):
        while True:
            line, found, after = rest.partition(b"\r\n")
            if not found:
                return
            size = int(line, 16)
            if not size:
                self.is_complete = after.startswith(b"\r\n")
                self.extra = after[2:]
                return
            self.body += after[:size]
            if len(after) < size + 2:
                return
            rest = after[size + 2 :]


async def receive(reader, version, seconds=5.0, settle=0.03):
    """Return what a connection brings until it ends, or until a response is whole."""
    raw = bytearray()
    ended_by = "open"
    deadline = asyncio.get_running_loop().time() + seconds
    while (left := deadline - asyncio.get_running_loop().time()) > 0:
        # Bytes after a whole response would come at once.
        may_be_whole = len(raw) < 200_000 or raw.endswith(LAST_CHUNK)
        is_whole = may_be_whole and Seen(bytes(raw), "open", version).is_complete
        try:
            async with asyncio.timeout(min(settle, left) if is_whole else left):
                data = await reader.read(65536)
        except TimeoutError:
            break
        except ConnectionError:
            ended_by = "reset"
            break
        if not data:
            ended_by = "fin"
            break
        raw += data
    return Seen(bytes(raw), ended_by, version)


async def ask(host, path, request_id, version="1.1", headers=(), body=b"{}", **options):
    """Send one request on a new connection; return what the caller has `Seen`."""
    reader, writer = await connect(host)
    try:
        lines = [
            f"POST {path} HTTP/{version}",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"Authorization: Token {KEY}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return await receive(reader, version, **options)
    finally:
        writer.transport.abort()
