"""A target whose bytes a test chooses, and the responses to choose from."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

from test.platform_standins import TargetStandin, _parse

STREAM_IDS = (1, 2, 3)
FRAMINGS = ("length", "chunks", "none", "http10")
# Framings whose end the bytes show; the others end with the connection.
DELIMITED = ("length", "chunks")
# Long enough for the entry host to read what was written before.
PAUSE_S = 0.03


@dataclass(slots=True)
class Turn:
    """What a target does with one request.

    Parts are written as segments of their own: `early` once the head is read, `before`
    ahead of the answer, `answer` with `joined` in one segment, `after` later. `ends`
    tells how the connection ends then: "keep", "close" or "reset". A request that it
    `executes` counts as run.
    """

    answer: bytes = b""
    executes: bool = True
    early: tuple = ()
    before: tuple = ()
    joined: bytes = b""
    after: tuple = ()
    ends: str = "keep"


@dataclass(slots=True)
class Connection:
    """One connection that the target accepted, and what has been written on it."""

    number: int
    written: list = field(default_factory=list)


class StutteringTarget(TargetStandin):
    """Answers each request as `plan(request_id, connection)` says, with a `Turn`.

    `runs` lists the ids of the requests that it executed, `executed` these and their
    paths. `on_accept` is written as soon as a connection is accepted, after `accept_s`.
    """

    def __init__(self, target_id, service, plan=None):
        super().__init__(target_id, service)
        self.plan = plan or (lambda request_id, conn: plain(request_id))
        self.on_accept = b""
        self.accept_s = 0.0
        self.accepted = 0
        self.executed = []

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        self.accepted += 1
        conn = Connection(self.accepted)
        try:
            if self.on_accept:
                await asyncio.sleep(self.accept_s)
                writer.write(self.on_accept)
            while await self._take_turn(reader, writer, conn):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _take_turn(self, reader, writer, conn):
        head = await reader.readuntil(b"\r\n\r\n")
        _, path, headers = _parse(head)
        request_id = headers["x-request-id"]
        turn = self.plan(request_id, conn)
        # Copies of the answer may be written with it.
        if turn.answer:
            conn.written.append(turn.answer)
        await _write(writer, turn.early)
        await reader.readexactly(int(headers.get("content-length", 0)))
        if turn.executes:
            self.runs.append(request_id)
            self.executed.append((request_id, path))
        await _write(writer, turn.before)
        await _write(writer, (turn.answer + turn.joined,))
        await _write(writer, turn.after, ahead=True)
        if turn.ends == "reset":
            reset(writer)
        return turn.ends == "keep"


def reset(writer):
    """Close a connection with a reset; an abort alone would end it cleanly."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _write(writer, parts, ahead=False):
    for part in parts:
        if ahead:
            await asyncio.sleep(PAUSE_S)
        if part:
            writer.write(part)
            await writer.drain()
        if not ahead and part is not parts[-1]:
            await asyncio.sleep(PAUSE_S)


def response(status, body=b"", headers=(), framing="length"):
    """Return the bytes of a response whose end is marked as `framing` says."""
    version = "1.0" if framing == "http10" else "1.1"
    lines = [f"HTTP/{version} {status} X", *headers]
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    if framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
        body = b"".join(b"%x\r\n%s\r\n" % (len(b), b) for b in (body,) if b)
        body += b"0\r\n\r\n"
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def marks(request_id, signed=True):
    """Return the headers that name a request, and the seal; no id for None."""
    lines = [] if request_id is None else [f"X-Request-Id: {request_id}"]
    return [*lines, "X-Server-Seal: s.w1"] if signed else lines


def whole_body(text):
    return b"done " + text.encode()


def stream_body(text):
    return b"".join(f"id: {n}\ndata: {text} {n}\n\n".encode() for n in STREAM_IDS)


def whole(request_id, framing="length", text=None):
    """Return a success whose body bears `text`, the id unless given.

    Without an id (None) the response is unnamed.
    """
    body = whole_body(text or request_id)
    return response(200, body, marks(request_id), framing)


def stream(request_id, framing="length", text=None):
    """Return a whole event stream."""
    headers = ["Content-Type: text/event-stream", *marks(request_id)]
    return response(200, stream_body(text or request_id), headers, framing)


def refusal(request_id, framing="length", text=None):
    """Return the statement that a request was not executed."""
    headers = [*marks(request_id, signed=False), "X-Not-Executed: 1"]
    return response(503, b"full", headers, framing)


def failure(request_id, framing="length", text=None):
    """Return a target's own failure."""
    return response(500, failure_body(text or request_id), marks(request_id), framing)


def failure_body(text):
    return b"failed " + text.encode()


KINDS = {"whole": whole, "stream": stream, "refusal": refusal, "failure": failure}


def plain(request_id, kind="whole", framing="length", text=None, **parts):
    """Return a `Turn` with an answer of a kind that ends as its framing needs."""
    parts.setdefault("ends", "keep" if framing in DELIMITED else "close")
    parts.setdefault("executes", kind != "refusal")
    return Turn(KINDS[kind](request_id, framing, text), **parts)


async def add_stuttering(fleet, target_id="w1", service="ledger", plan=None):
    """Start a `StutteringTarget` in a fleet and wait until its hosts know it."""
    target = await StutteringTarget(target_id, service, plan).start()
    fleet.targets[target_id] = target
    await fleet.store.write(f"servers/{target_id}", target.entry())
    async with asyncio.timeout(5):
        while not all(host.view.target(target_id) for host in fleet.hosts):
            await asyncio.sleep(0.01)
    return target


async def send(host, path, request_id, body=b""):
    """Send one request on a connection of its own; None if it ended unanswered."""
    from test.entry_builders import call

    method = "GET" if path.startswith("/read") and not body else "POST"
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        return await call(host, path, request_id, method=method, body=body)
    return None


# Statuses that state that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


def check_truth(answer, request_id, ran, text=None):
    """Assert that an answer is the caller's own and whole, or an honest failure.

    `ran` tells whether the target executed the request, `text` what its answer bears.
    """
    if answer is None or not answer.is_complete:
        return
    text = text or request_id
    seal = answer.headers.get("x-server-seal")
    if answer.status in NOT_RUN:
        assert not ran
    if answer.status == 500:
        assert (answer.body, seal) == (failure_body(text), "s.w1")
    elif answer.status != 200:
        assert seal is None and not answer.body
    else:
        assert answer.headers["x-request-id"] == request_id
        assert seal == "s.w1"
        assert answer.body in (whole_body(text), stream_body(text))
