"""Connections to targets: h11 over an asyncio transport, and their pool."""

import asyncio

import h11

from lovagepier.logs import component_logger
from lovagepier.platform import decode_response

__all__ = [
    "ConnectFailed",
    "TargetConnectionLost",
    "TargetConnection",
    "TargetConnectionPool",
]

# Bytes of an answer that may wait for a slow caller before reading stops.
MAX_WAITING_BYTES = 256 * 1024
# A target's head may be this long.
MAX_HEAD_BYTES = 64 * 1024
# Idle connections are dropped before most targets drop theirs.
IDLE_S = 10.0
# A target that names its own idle limit gets this much less.
IDLE_MARGIN_S = 1.0
# Answers of earlier requests that are skipped before the connection is given up.
MAX_STRAY_ANSWERS = 4

_log = component_logger("targets")


class ConnectFailed(Exception):
    """No connection: not a byte of the request was sent."""


class TargetConnectionLost(Exception):
    """The connection ended or spoke no HTTP after the request was sent."""


class TargetConnection(asyncio.Protocol):
    """One connection; carries one request at a time."""

    __slots__ = (
        "_broken",
        "_events",
        "_http",
        "_loop",
        "_paused",
        "_readable",
        "_request",
        "_transport",
        "_waiting",
        "idle_since",
        "idle_s",
        "served",
    )

    def __init__(self):
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._http = None
        self._readable = None
        self._broken = None
        self._paused = False
        self._waiting = 0
        self._request = None
        self.idle_since = 0.0
        self.idle_s = IDLE_S
        self.served = 0

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data):
        """Hand bytes to the parser; unasked ones end an idle connection."""
        if self._http is None:
            self._fail("sent bytes that nothing had asked for")
            return
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._fail(str(exc))
        self._waiting += len(data)
        if self._waiting > MAX_WAITING_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self):
        """Note the end of the target's bytes."""
        if self._http is None:
            self._fail("closed while idle")
            return
        try:
            self._http.receive_data(b"")
        except h11.RemoteProtocolError as exc:
            self._fail(str(exc))
        self._wake()

    def connection_lost(self, exc):
        """Note a lost connection, also after a clean end."""
        if self._broken is None:
            self._broken = f"reset: {exc}" if exc else "closed"
        self._wake()

    def _fail(self, why):
        if self._broken is None:
            self._broken = why
        if self._transport is not None:
            self._transport.abort()

    def _wake(self):
        if self._readable is not None and not self._readable.done():
            self._readable.set_result(None)

    @property
    def usable(self):
        """Whether a next request may be sent on this connection."""
        return (
            self._broken is None
            and not self._transport.is_closing()
            and self._loop.time() - self.idle_since < self.idle_s
        )

    def send(self, method, target, headers, body):
        """Send one whole request."""
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._request = h11.Request(method=method, target=target, headers=headers)
        parts = [self._http.send(self._request)]
        if body:
            parts.append(self._http.send(h11.Data(data=body)))
        parts.append(self._http.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    async def _next_event(self):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                self._fail(str(exc))
                raise TargetConnectionLost(str(exc))
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            if self._broken is not None:
                raise TargetConnectionLost(self._broken)
            self._resume()
            self._readable = self._loop.create_future()
            try:
                await self._readable
            finally:
                self._readable = None

    def _resume(self):
        self._waiting = 0
        if self._paused:
            self._paused = False
            self._transport.resume_reading()

    async def read_head(self, request_id):
        """Return the `TargetResponse` to `request_id`.

        An answer with another id belongs to an earlier request and is
        skipped whole.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise TargetConnectionLost("no answer")
            answer = decode_response(
                event.status_code, list(event.headers), event.http_version
            )
            if answer.request_id in ("", request_id):
                return answer
            _log.info("skipped an answer to another request", other=answer.request_id)
            await self._skip()
        raise TargetConnectionLost("too many answers to other requests")

    async def _skip(self):
        while not isinstance(event := await self._next_event(), h11.EndOfMessage):
            if isinstance(event, h11.ConnectionClosed):
                raise TargetConnectionLost("closed in an answer to another request")
        rest = self._http.trailing_data[0]
        # The request stands as sent; only its answer is awaited anew.
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._http.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=[(b"host", b"-")],
            )
        )
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    async def read_data(self):
        """Return the next bytes of the body, or None at its whole end."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            # Without a length only a clean end tells a whole body.
            if self._broken is not None and self._broken.startswith("reset"):
                raise TargetConnectionLost(self._broken)
            return None
        raise TargetConnectionLost("the body ended early")

    def rest(self, answer):
        """Make ready for a next request; return whether there may be one."""
        done = (
            not answer.closes
            and self._broken is None
            and self._http is not None
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
            and not self._http.trailing_data[0]
            and not self._transport.get_write_buffer_size()
        )
        self._http = None
        self._request = None
        if not done:
            self.close()
            return False
        self._resume()
        self.served += 1
        self.idle_since = self._loop.time()
        if answer.idle_s is not None:
            self.idle_s = min(IDLE_S, max(answer.idle_s - IDLE_MARGIN_S, 0.0))
        return True

    def close(self):
        """Close now; a target at work on this connection stops."""
        if self._broken is None:
            self._broken = "closed here"
        if self._transport is not None:
            self._transport.abort()


class TargetConnectionPool:
    """Idle connections by address, newest first, and new ones."""

    __slots__ = ("_connect_s", "_idle", "opened")

    def __init__(self, connect_s):
        self._connect_s = connect_s
        self._idle = {}
        self.opened = 0

    def idle(self, target):
        """Take out a usable idle connection to a target's life, or None."""
        kept = self._idle.get((target.host, target.port, target.incarnation))
        while kept:
            conn = kept.pop()
            if conn.usable:
                return conn
            conn.close()
        return None

    async def open(self, target):
        """Return a new connection; raise `ConnectFailed`."""
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(self._connect_s):
                _, conn = await loop.create_connection(
                    TargetConnection, target.host, target.port
                )
        except (OSError, TimeoutError) as exc:
            raise ConnectFailed(type(exc).__name__)
        conn.idle_since = loop.time()
        return conn

    def give_back(self, target, conn):
        """Keep a connection whose answer was read whole."""
        self._idle.setdefault(
            (target.host, target.port, target.incarnation), []
        ).append(conn)

    def sweep(self, lives):
        """Drop idle connections that are old or whose target's life is over."""
        for key in list(self._idle):
            kept = self._idle[key]
            alive = key[2] in lives
            for conn in [c for c in kept if not (alive and c.usable)]:
                kept.remove(conn)
                conn.close()
            if not kept:
                del self._idle[key]
