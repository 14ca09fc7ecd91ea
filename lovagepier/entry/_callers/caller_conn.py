"""Callers' HTTP/1.1 connections: h11 on an asyncio transport.

cheroot, which `web` uses, serves a request in a blocked thread that can't notice
when its caller disconnects; an asyncio transport reports it at once. See
docs/PLATFORM.md.
"""

import asyncio
import socket
import struct

import h11

from lovagepier.logs import component_logger

__all__ = ["BadRequest", "CallerConnection", "CallerDisconnected"]

# Reading from a connection pauses while more bytes than this are unparsed.
MAX_UNPARSED_BYTES = 256 * 1024
# Relaying to a slow caller pauses while its transport buffers more than this.
MAX_WRITE_BUFFER_BYTES = 64 * 1024

_log = component_logger("callers")


class CallerDisconnected(Exception):
    """The caller disconnected."""


class BadRequest(Exception):
    """An unreadable or oversized request; `status` is that of the response."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


class CallerConnection(asyncio.Protocol):
    """One accepted connection; `serve(conn)` runs as its task.

    `limits()` returns the current `CallerLimits`. `on_close(conn)` is called once
    the connection is lost. The task is cancelled when the caller disconnects
    while a request is being served (`serving`). `closing` means that the
    connection ends after the current response.
    """

    __slots__ = (
        "_drained",
        "_http",
        "_idle_since",
        "_limits",
        "_loop",
        "_on_close",
        "_readable",
        "_reading",
        "_resets_on_close",
        "_responses",
        "_serve",
        "_task",
        "_transport",
        "closing",
        "disconnected",
        "serving",
        "unparsed_bytes",
    )

    def __init__(self, serve, limits, on_close):
        self._serve = serve
        self._limits = limits
        self._on_close = on_close
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_head_bytes
        )
        self._loop = asyncio.get_running_loop()
        self._idle_since = self._loop.time()
        self._responses = 0
        self._transport = None
        self._task = None
        self._readable = None
        self._drained = None
        self._reading = True
        self._resets_on_close = False
        self.unparsed_bytes = 0
        self.disconnected = False
        self.closing = False
        self.serving = False

    # Transport events

    def connection_made(self, transport):
        """Start the connection's task."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        self._task = self._loop.create_task(self._run())

    def data_received(self, data):
        """Pass bytes to the parser; pause reading if too many are unparsed."""
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError:
            # The caller sent more after the last request of the connection.
            return
        self.unparsed_bytes += len(data)
        if self.serving and self.unparsed_bytes > MAX_UNPARSED_BYTES and self._reading:
            self._reading = False
            self._transport.pause_reading()
        self._wake(self._readable)

    def eof_received(self):
        """Treat a half-closed connection as a disconnect."""
        self._on_disconnect()

    def connection_lost(self, exc):
        """Note that the caller disconnected."""
        self._on_disconnect()
        self._on_close(self)

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

    # Requests

    async def _run(self):
        try:
            await self._serve(self)
        except (CallerDisconnected, asyncio.CancelledError):
            pass
        except Exception as exc:  # noqa: BLE001  a failing connection must not end the host
            _log.error("connection closed after an unexpected error", exc_info=exc)
        finally:
            self.close()

    async def _next_event(self, timeout_s):
        """Return the parser's next event.

        Raise `BadRequest` for invalid HTTP, `CallerDisconnected` if the caller is
        gone and TimeoutError if no bytes arrive for `timeout_s`.
        """
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                raise BadRequest(exc.error_status_hint or 400, str(exc))
            if event is not h11.NEED_DATA:
                return event
            if self.disconnected:
                raise CallerDisconnected
            self._readable = self._loop.create_future()
            if not self._reading:
                self._reading = True
                self._transport.resume_reading()
            try:
                async with asyncio.timeout(timeout_s):
                    await self._readable
            finally:
                self._readable = None
                self.unparsed_bytes = 0

    async def read_head(self):
        """Return (h11.Request, arrival in loop seconds), or None to end the connection.

        Waits up to the idle timeout for the first bytes, then up to the head
        timeout for the whole head. Raise `BadRequest` for a head that is invalid,
        too long or too slow.
        """
        limits = self._limits()
        if not await self._wait_for_bytes(limits.idle_timeout_s):
            return None
        arrived_at = self._loop.time()
        try:
            event = await self._next_event(limits.head_timeout_s)
        except TimeoutError:
            raise BadRequest(408, "the head took too long")
        if isinstance(event, h11.Request):
            _check_framing(event)
            if _head_bytes(event) > limits.max_head_bytes:
                raise BadRequest(431, "the head is too long")
            return event, arrived_at
        return None

    async def _wait_for_bytes(self, timeout_s):
        if self._http.trailing_data[0]:
            return True
        if self.closing and self._responses:
            return False
        self._readable = self._loop.create_future()
        try:
            async with asyncio.timeout(timeout_s):
                await self._readable
        except TimeoutError:
            return False
        finally:
            self._readable = None
        return not self.disconnected and bool(self._http.trailing_data[0])

    def close_when_idle(self, min_idle_s):
        """End the connection after its current or next response, as in a shutdown.

        It is closed without one only after `min_idle_s` without a request: the next
        request may be on its way, the first one on a new connection above all.
        """
        self.closing = True
        if not self.serving and self._loop.time() - self._idle_since >= min_idle_s:
            self._wake(self._readable)

    async def read_body(self):
        """Return the whole body; raise `BadRequest` if it is too long or too slow.

        Sends 100 Continue first if the caller expects it.
        """
        limits = self._limits()
        if self._http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(proceed))
        parts = []
        size = 0
        while True:
            try:
                event = await self._next_event(limits.head_timeout_s)
            except TimeoutError:
                raise BadRequest(408, "the body took too long")
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise BadRequest(413, "the body is too long")
            parts.append(bytes(event.data))

    # Responses

    def send_head(self, status, headers):
        """Send a response's head; h11 derives the framing from `headers`.

        A body that ends with the connection is complete for its caller after any
        orderly close, so until its end the connection is reset by whatever closes it.
        """
        if self._ends_with_connection(headers):
            self._set_reset_on_close(True)
        if self.closing:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers, reason=b"")
        self._write(self._http.send(response))

    async def send_data(self, data):
        """Send a part of the body; wait while the transport's buffer is full.

        Raise `CallerDisconnected` if the caller is gone.
        """
        self._write(self._http.send(h11.Data(data=data)))
        if self._drained is not None:
            await asyncio.shield(self._drained)
        if self.disconnected:
            raise CallerDisconnected

    def end_response(self):
        """End the response; return whether the connection can be reused."""
        self._responses += 1
        self._idle_since = self._loop.time()
        self._write(self._http.send(h11.EndOfMessage()))
        self._set_reset_on_close(False)
        if (
            self._http.our_state is not h11.DONE
            or self._http.their_state is not h11.DONE
        ):
            return False
        if self.closing:
            return False
        self._http.start_next_cycle()
        return True

    def _ends_with_connection(self, headers):
        version = self._http.their_http_version
        has_length = any(name == b"content-length" for name, _ in headers)
        return not has_length and (version is None or version < b"1.1")

    def _set_reset_on_close(self, is_set):
        if self._resets_on_close == is_set or self._transport.is_closing():
            return
        self._resets_on_close = is_set
        sock = self._transport.get_extra_info("socket")
        linger = struct.pack("ii", int(is_set), 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _write(self, data):
        if data and not self._transport.is_closing():
            self._transport.write(data)

    def send_response(self, status, headers, body):
        """Send a whole response; return whether the connection can be reused."""
        self.send_head(status, [*headers, (b"content-length", b"%d" % len(body))])
        if body:
            self._write(self._http.send(h11.Data(data=body)))
        return self.end_response()

    @property
    def can_respond(self):
        """Whether no part of a response has been sent yet."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def reject_unread(self, status):
        """Respond to a request that could not be read; the connection then ends."""
        self.closing = True
        if not self.can_respond or self._transport.is_closing():
            return
        try:
            self.send_head(status, [(b"content-length", b"0")])
            self._write(self._http.send(h11.EndOfMessage()))
        except h11.LocalProtocolError as exc:
            _log.info("could not send a response", status=status, why=str(exc))

    def abort(self):
        """Close the connection at once, without the end of the current response."""
        self.closing = True
        self._transport.abort()

    def close(self):
        """Close the connection once all buffered bytes have been sent."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.close()


def _head_bytes(request):
    """Return the size of a head; the parser limits only incomplete ones."""
    line = len(request.method) + len(request.target) + len(" HTTP/1.1\r\n") + 1
    return line + sum(len(n) + len(v) + len(": \r\n") for n, v in request.headers)


def _check_framing(request):
    """Reject ambiguous framing, which would allow request smuggling."""
    names = [name for name, _ in request.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequest(400, "two framings of one body")
    if names.count(b"host") != 1:
        raise BadRequest(400, "not one host")
