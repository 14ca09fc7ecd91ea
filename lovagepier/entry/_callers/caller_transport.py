"""The transport of a caller's connection: its bytes, their memory and slow callers."""

import asyncio
import contextlib

import h11

from lovagepier.logs import component_logger

__all__ = ["MAX_UNPARSED_BYTES", "BadRequest", "CallerDisconnected", "CallerTransport"]

# What is read from a socket at a time.
READ_BYTES = 64 * 1024
# Reading from a connection pauses while more bytes than this are unparsed.
MAX_UNPARSED_BYTES = 64 * 1024
# Relaying to a slow caller pauses while its transport buffers more than this.
MAX_WRITE_BUFFER_BYTES = 8 * 1024
# Bytes that each connection may hold; more are counted in steps.
FREE_BYTES = 8 * 1024
STEP_BYTES = 16 * 1024
# After the response to a request that was not read whole, what still comes is dropped
# for this long: closing at once would reset the connection, and the response with it.
LINGER_S = 1.0
# A caller that takes less than this of a response that waits, in the idle timeout (at
# least `MIN_READ_TIMEOUT_S`) or in `SHORT_READ_TIMEOUT_S` while other responses wait
# for memory, is a slow reader.
MIN_TAKEN_BYTES = 16 * 1024
MIN_READ_TIMEOUT_S = 5.0
SHORT_READ_TIMEOUT_S = 1.0
# Bytes are copied from it before the next socket is read.
_read_buffer = memoryview(bytearray(READ_BYTES))

_log = component_logger("callers")


class CallerDisconnected(Exception):
    """The caller disconnected."""


class BadRequest(Exception):
    """An unreadable, oversized or refused request; `status` is that of the response.

    `reason` names it in the metrics.
    """

    def __init__(self, status, why, reason="malformed"):
        super().__init__(why)
        self.status = status
        self.reason = reason


class CallerTransport(asyncio.BufferedProtocol):
    """The bytes of one accepted connection; `serve(conn)` runs as its task.

    `limits()` returns the current `CallerLimits`, `conns` are the `CallerConnections`
    that it belongs to, by its `listener`. The task is cancelled when the caller
    disconnects while a request is being served (`serving`). `closing` means that the
    connection ends after the current response. `held` are the bytes that it took for
    bodies, `received_at` (loop seconds) is when bytes last came, `responses` counts its
    responses, and `tier` is that of its request.
    """

    __slots__ = (
        "_body",
        "_body_length",
        "_conns",
        "_drained",
        "_drops_left",
        "_body_size",
        "_http",
        "_idle_since",
        "_is_refused",
        "_limits",
        "_loop",
        "_newlines",
        "_readable",
        "_reading",
        "_refusal",
        "_resets_on_close",
        "_serve",
        "_task",
        "_transport",
        "_wire_bytes",
        "closing",
        "disconnected",
        "held",
        "listener",
        "received_at",
        "responses",
        "serving",
        "tier",
        "unparsed_bytes",
    )

    def __init__(self, serve, limits, conns, listener):
        self._serve = serve
        self._limits = limits
        self._conns = conns
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_head_bytes
        )
        self._loop = asyncio.get_running_loop()
        self._idle_since = self.received_at = self._loop.time()
        self._transport = None
        self._task = None
        self._readable = None
        self._drained = None
        self._drops_left = None
        self._reading = True
        self._refusal = None
        self._resets_on_close = False
        # The body that is being received, and its length, None if it is chunked.
        self._body = None
        self._body_length = 0
        self._body_size = 0
        self._is_refused = False
        self._wire_bytes = 0
        self._newlines = 0
        self.unparsed_bytes = 0
        self.closing = False
        self.disconnected = False
        self.held = 0
        self.listener = listener
        self.responses = 0
        self.serving = False
        self.tier = 0

    def connection_made(self, transport):
        """Start the connection's task, unless it was closed for want of a place."""
        self._transport = transport
        if self._is_refused:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        self._task = self._loop.create_task(self._run())

    def get_buffer(self, sizehint):
        """Return the buffer for the next bytes, which all connections share."""
        return _read_buffer

    def buffer_updated(self, nbytes):
        """Pass bytes to the parser; pause reading if too many are unparsed."""
        if self._drops_left is not None:
            self._drops_left -= nbytes
            if self._drops_left < 0:
                self._wake(self._readable)
            return
        data = _read_buffer[:nbytes]
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            # The caller sent more after the last request of the connection.
            return
        self.unparsed_bytes += nbytes
        if self._body is not None:
            self.received_at = self._loop.time()
            self._wire_bytes += nbytes
        elif not self.serving:
            self._newlines += bytes(data).count(b"\n")
        if self.unparsed_bytes > FREE_BYTES or self._body is not None:
            self._take_memory()
        if self.unparsed_bytes > MAX_UNPARSED_BYTES:
            self._pause_reading()
        self._wake(self._readable)

    def _take_memory(self):
        """Count what this connection holds; refuse its body if it doesn't fit."""
        missing = self.unparsed_bytes - FREE_BYTES - self.held
        if self._body is not None:
            missing += self._body_size
        if missing <= 0:
            return
        steps = -(-missing // STEP_BYTES)
        if self._conns.take(self, steps * STEP_BYTES):
            return
        if self._body is not None or not self.serving:
            self.refuse_body()
        self._pause_reading()

    def refuse_body(self):
        """Give back the memory of a body that is being received, which is refused."""
        if self._refusal is None:
            self._refusal = BadRequest(503, "no memory for its body", "memory")
        if self._body is not None:
            self._body = []
        self._conns.give_back(self)
        self._conns.mark_received(self)
        self._wake(self._readable)

    def _pause_reading(self):
        if self._reading and not self._transport.is_closing():
            self._reading = False
            self._transport.pause_reading()

    def _resume_reading(self):
        if not self._reading and not self._transport.is_closing():
            self._reading = True
            self._transport.resume_reading()

    def eof_received(self):
        """Treat a half-closed connection as a disconnect."""
        self._on_disconnect()

    def connection_lost(self, exc):
        """Note that the caller disconnected."""
        self._on_disconnect()
        self._conns.discard(self)

    def pause_writing(self):
        """Make `send_data` wait until the transport's buffer has drained."""
        self._drained = self._loop.create_future()

    def resume_writing(self):
        """Let waiting writers continue."""
        self._wake(self._drained)
        self._drained = None

    def _wake(self, fut):
        if fut is not None and not fut.done():
            fut.set_result(None)

    def _on_disconnect(self):
        if self.disconnected:
            return
        self.disconnected = True
        self._wake(self._readable)
        self._wake(self._drained)
        if self.serving and self._task is not None:
            self._task.cancel()

    async def _run(self):
        try:
            await self._serve(self)
        except (CallerDisconnected, asyncio.CancelledError):
            pass
        except Exception as exc:  # noqa: BLE001  a failing connection must not end the host
            _log.error("connection closed after an unexpected error", exc_info=exc)
        finally:
            self.close()

    async def _wait_readable(self, timeout_s):
        if self._refusal is not None:
            raise self._refusal
        if self.disconnected:
            raise CallerDisconnected
        self._readable = self._loop.create_future()
        self._resume_reading()
        try:
            async with asyncio.timeout(timeout_s):
                await self._readable
        finally:
            self._readable = None
        if self._refusal is not None:
            raise self._refusal

    @property
    def is_backed_up(self):
        """Whether the caller has yet to take part of what was sent."""
        return self._drained is not None

    async def flush(self):
        """Wait until the caller has taken nearly all; abort if it takes too little."""
        left = self._transport.get_write_buffer_size()
        taken_at = self._loop.time()
        while self._drained is not None and not self.disconnected:
            timeout_s = max(self._limits().idle_timeout_s, MIN_READ_TIMEOUT_S)
            if self._conns.is_short:
                timeout_s = min(timeout_s, SHORT_READ_TIMEOUT_S)
            wait_s = min(max(taken_at + timeout_s - self._loop.time(), 0.0), 0.5)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await asyncio.shield(self._drained)
            size = self._transport.get_write_buffer_size()
            if left - size >= MIN_TAKEN_BYTES:
                left, taken_at = size, self._loop.time()
            elif (
                self._drained is not None and self._loop.time() >= taken_at + timeout_s
            ):
                self._conns.count_closed("slow-reader", self)
                self.abort()
                return

    async def linger(self):
        """Drop what still comes after the last response, for `LINGER_S` at most."""
        if self._transport.is_closing() or self.disconnected:
            return
        is_whole = self._http.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)
        if is_whole and not self._http.trailing_data[0]:
            return
        self._conns.give_back(self)
        self._drops_left = self._limits().max_body_bytes + MAX_UNPARSED_BYTES
        self._readable = self._loop.create_future()
        self._transport.write_eof()
        self._resume_reading()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LINGER_S):
                await self._readable

    def _write(self, data):
        if data and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self):
        """Close the connection at once, without the end of the current response."""
        self.closing = self._is_refused = True
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        """Close the connection once all buffered bytes have been sent.

        It is aborted if the caller doesn't take them within the idle timeout.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.close()
        if self._transport.get_write_buffer_size():
            self._loop.call_later(self._limits().idle_timeout_s, self._transport.abort)
